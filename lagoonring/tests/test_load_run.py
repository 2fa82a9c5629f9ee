"""Load runs: open-loop arrivals, retries, re-attachment, injected faults."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
import logbook
import msgspec
import pytest

from lagoonring.load import describe, plan_arrivals, run_load, summarise
from lagoonring.load.balancer import Balancer
from lagoonring.load.chats import ChatCaller
from lagoonring.load.checker import TokenFaults
from lagoonring.load.run import LoadRun
from lagoonring.load.sending import Callers
from lagoonring.requests.options import RequestsOptions
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.deployments import run_deployment
from lagoonring.tests.builders.load import (
    FakeEntry,
    make_chat,
    make_load_settings,
    make_target,
    serve,
    settings_for,
)

if TYPE_CHECKING:
    from lagoonring.load.arrivals import ChatArrival

TEST_TIMEOUT_S = 20.0
MOST_ATTEMPTS = RequestsOptions().n_attempts_most


def ignore_progress(line: str) -> None:
    """Discard a progress line."""


async def run_chat(arrival: ChatArrival, *urls: str):
    """Return the outcome of one chat sent to fake entry instances."""
    entries = [make_target(f"entry-{k}", url) for k, url in enumerate(urls)]
    settings = make_load_settings(entries=entries)
    async with aiohttp.ClientSession() as session, asyncio.timeout(TEST_TIMEOUT_S):
        callers = Callers(settings, session, Balancer(settings.entries, session))
        start_s = asyncio.get_running_loop().time()
        return await ChatCaller(callers, arrival, random.Random(1), start_s).run()


@pytest.mark.parametrize("n_before_break", [0, 1, 5, 8])
async def test_broken_stream_is_reattached_through_another_instance(n_before_break):
    arrival = make_chat(n_tokens=8)
    first = FakeEntry(arrival, n_before_break=n_before_break)
    second = FakeEntry(arrival, n_before_break=n_before_break)
    async with serve(first) as url, serve(second) as other_url:
        outcome = await run_chat(arrival, url, other_url)
    assert outcome.outcome == "whole"
    assert outcome.faults == TokenFaults()
    asked, attached = sorted((first, second), key=lambda entry: -entry.n_received)
    assert (asked.n_received, attached.n_received) == (1, 0)
    assert attached.positions == [f"entry-0.1:{n_before_break}"]
    assert asked.deadlines[0] <= 30_000


async def test_refused_request_is_retried_after_the_given_delay():
    arrival = make_chat()
    entry = FakeEntry(arrival, n_refused=3)
    async with serve(entry) as url:
        outcome = await run_chat(arrival, url)
    assert outcome.outcome == "whole"
    assert (outcome.n_sent, outcome.n_refusals) == (4, 3)


async def test_arrivals_do_not_wait_for_answers():
    arrival = make_chat()
    entry = FakeEntry(arrival)
    async with serve(entry) as url, asyncio.timeout(TEST_TIMEOUT_S):
        entries = [make_target("entry-0", url)]
        settings = make_load_settings(calls=[], entries=entries)
        async with aiohttp.ClientSession() as session:
            run = LoadRun(settings, 4, session, ignore_progress)
            entry.n_held = len(plan_arrivals(settings, 4))
            assert entry.n_held > 1
            await run.run()
    assert entry.n_received == entry.n_held


@pytest.mark.parametrize("n_cuts", [(3, 3, MOST_ATTEMPTS - 7), (3, 3, 3)])
async def test_run_with_injected_faults_loses_and_doubles_nothing(n_cuts):
    """A request is lost only if every one of its attempts was cut."""
    async with run_deployment(n_entries=3, n_engines=3, n_services=2) as deployment:
        batches = [engine.batch for engine in deployment.engines.values()]
        for batch, n_cut in zip(batches, n_cuts, strict=True):
            batch.set_faults(EngineFaults(n_cut=n_cut, cut_at_token=2))
        service = deployment.services["booking-0"]
        action = {
            "at_s": 0.2,
            "name": "answers lost",
            "url": f"{service.url}/faults",
            "body": {"n_lost": 2},
        }
        settings = settings_for(deployment, actions=[action])
        with logbook.TestHandler().applicationbound() as logs:
            data = await run_load(settings, 11, ignore_progress)
    report = summarise(data)
    assert [(a.name, a.status) for a in report.actions] == [("answers lost", 200)]
    cuts = Counter(
        record.extra["request_id"]
        for record in logs.records
        if record.message.endswith("failed: cut.")
    )
    assert sum(cuts.values()) == sum(n_cuts)
    n_lost = report.checks.n_lost
    assert n_lost <= sum(n_cuts) // MOST_ATTEMPTS, describe(report)
    assert n_lost == sum(n == MOST_ATTEMPTS for n in cuts.values()), describe(report)
    assert report.checks.n_faults == n_lost, describe(report)
    assert sum(batch.faults.n_cut for batch in batches) == 0
    kinds = [report.find_outcomes(kind) for kind in ("chat", "booking", "lookup")]
    assert sum(row.n for row in kinds) == report.n_arrived > 20
    assert kinds[0].n_whole == kinds[0].n - n_lost > 0
    assert report.checks.bookings.n_keys == kinds[1].n > 0
    assert report.n_replayed > 0
    assert report.engines.n_tokens >= report.checks.n_tokens > 0
    assert report.find_latency("chat", "first_token").n == kinds[0].n


async def test_run_reports_doubled_bookings_and_unread_services():
    async with run_deployment(n_services=1) as deployment:
        settings = settings_for(deployment, chats=[])
        data = await run_load(settings, 5, ignore_progress)
        assert summarise(data).checks.n_faults == 0
        url = deployment.services["booking-0"].url
        key = next(
            key for key, observed in data.observed.items() if observed.outcome == "done"
        )
        async with deployment.session.post(
            f"{url}/bookings", json={}, headers={"Idempotency-Key": key}
        ) as answer:
            assert answer.status == 200
        async with deployment.session.get(f"{url}/runs") as answer:
            runs = msgspec.json.decode(await answer.read())
        data.after.services["booking-0"].by_key.update(runs["by_key"])
    assert summarise(data).checks.bookings.n_doubled == 1
    del data.after.services["booking-0"]
    checks = summarise(data).checks
    assert checks.n_stands_unread == 1
    assert checks.bookings.n_done_but_not_run > 0


async def test_balancer_chooses_ready_instances_or_any_if_none_is_ready():
    entry = FakeEntry(make_chat())
    async with serve(entry) as url, aiohttp.ClientSession() as session:
        targets = [make_target("up", url), make_target("down", "http://127.0.0.1:1")]
        settings = make_load_settings(entries=targets)
        balancer = Balancer(settings.entries, session)
        up, down = settings.entries
        rng = random.Random(2)
        assert {balancer.choose(rng).instance for _ in range(50)} == {"up", "down"}
        await asyncio.gather(*map(balancer.probe, settings.entries))
        assert {balancer.choose(rng, down).instance for _ in range(50)} == {"up"}
        assert balancer.choose(rng, up) is up
        entry.is_ready = False
        await balancer.probe(up)
        assert {balancer.choose(rng).instance for _ in range(50)} == {"up", "down"}
        entry.is_ready = True
        await balancer.probe(up)
        assert {balancer.choose(rng).instance for _ in range(50)} == {"up"}
