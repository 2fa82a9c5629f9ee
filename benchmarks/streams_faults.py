"""Checks streams under random reclaims, disconnects, swapped or late answers and kills.

Runs a deployment of entry instances and engines in one process. Callers check every
token and re-attach through a random instance when their connection ends early. Prints
one JSON object; exits with status 1 if a token was lost, duplicated or from another
request, or if a stream was not completed::

    python benchmarks/streams_faults.py --streams 10000
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter

import aiohttp
import attrs

from lagoonring.catalogue.edits import Change, Edit
from lagoonring.logs import JsonLinesHandler
from lagoonring.settings import to_plain
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.callers import Caller, expected_text
from lagoonring.tests.builders.deployments import (
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)

N_ENTRIES = 4
N_ENGINES = 6
MAX_TOKENS = 40
MAX_SENDS = 200
FAULT_INTERVAL_S = 0.15
RECLAIM_NOTICE_S = 1.0
ENTRY = {
    "log_level": "ERROR",
    "requests": {
        "handover_margin_s": 1.0,
        "first_token_timeout_s": 2.0,
        "between_tokens_timeout_s": 0.5,
        "keep_answers_s": 60.0,
        "kept_answers_bytes": 64 << 20,
    },
    "retries": {"budget_share": 1.0, "budget_floor_per_s": 1000.0},
}


@attrs.define
class TrialStats:
    """Counts of the outcomes, refusals and injected faults, and the errors found."""

    n_whole: int = 0
    n_resent: int = 0
    n_attached: int = 0
    refused: Counter = attrs.field(factory=Counter)
    faults: Counter = attrs.field(factory=Counter)
    wrong: list[str] = attrs.field(factory=list)


def main() -> int:
    """Run one trial and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=10_000)
    parser.add_argument("--at-once", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with JsonLinesHandler(level="ERROR").applicationbound():
        stats = asyncio.run(run(options.streams, options.at_once, options.seed))
    document = attrs.asdict(stats)
    document["wrong"] = stats.wrong[:10]
    document["n_wrong"] = len(stats.wrong)
    document["seed"] = options.seed
    print(json.dumps(document, indent=2))
    return 1 if stats.wrong or stats.n_whole != options.streams else 0


async def run(n_streams: int, n_at_once: int, seed: int) -> TrialStats:
    """Run all streams while faults are injected."""
    rng = random.Random(seed)
    stats = TrialStats()
    numbers = iter(range(n_streams))
    started_s = time.monotonic()
    async with run_deployment(
        n_entries=N_ENTRIES,
        n_engines=N_ENGINES,
        engine={"token_s": 0.01, "n_slots": 64},
        entry=ENTRY,
        hang_s=3600.0,
    ) as deployment:
        faults = asyncio.create_task(inject_faults(deployment, rng, stats))
        workers = [
            run_caller(deployment, numbers, random.Random(f"{seed} {n}"), stats)
            for n in range(n_at_once)
        ]
        progress = asyncio.create_task(show_progress(stats, started_s))
        await asyncio.gather(*workers)
        for task in (faults, progress):
            task.cancel()
        await asyncio.gather(faults, progress, return_exceptions=True)
    return stats


async def show_progress(stats: TrialStats, started_s: float) -> None:
    """Print a line to standard error every few seconds."""
    while True:
        await asyncio.sleep(5)
        elapsed_s = time.monotonic() - started_s
        print(f"{elapsed_s:.0f} s: {stats.n_whole} whole", file=sys.stderr, flush=True)


async def run_caller(
    deployment, numbers, rng: random.Random, stats: TrialStats
) -> None:
    """Run requests one after the other."""
    for number in numbers:
        await request_until_complete(deployment, number, rng, stats)


async def request_until_complete(
    deployment: Deployment, number: int, rng: random.Random, stats: TrialStats
) -> None:
    """Send a request until its answer is complete, checking each token received."""
    question = f"question {number}"
    n_tokens = rng.randint(1, MAX_TOKENS)
    caller = Caller()
    for _ in range(MAX_SENDS):
        code = await send(deployment, rng, caller, question, n_tokens, stats)
        if caller.errors:
            code = caller.errors[-1]["code"]
            caller.errors.clear()
        check_received(caller, question, n_tokens, stats)
        if caller.is_ended:
            stats.n_whole += 1
            return
        if code:
            stats.refused[code] += 1
            if code in ("unknown_request", "attempts_exhausted", "no_endpoint"):
                caller = Caller()
                stats.n_resent += 1
            await asyncio.sleep(0.05)
    stats.wrong.append(f"{question}: not whole after {MAX_SENDS} sends")


async def send(
    deployment: Deployment,
    rng: random.Random,
    caller: Caller,
    question: str,
    n_tokens: int,
    stats: TrialStats,
) -> str:
    """Send the request, or re-attach if it has an id; return an error code or ''."""
    url = deployment.url(rng.randrange(N_ENTRIES))
    session = deployment.session
    if caller.request_id:
        stats.n_attached += 1
        last_event_id = caller.ids[-1] if caller.ids else f"{caller.request_id}:0"
        request = session.get(
            f"{url}/v1/streams/{caller.request_id}",
            headers=headers_of(**{"Last-Event-ID": last_event_id}),
        )
    else:
        request = session.post(
            f"{url}/v1/chat/completions",
            json=chat_body(question, n_tokens, stream=True),
            headers=headers_of(),
        )
    try:
        async with request as response:
            if response.status != 200:
                return (await response.json())["error"]["code"]
            await caller.read(response)
    except (aiohttp.ClientError, ConnectionError):
        return "" if caller.request_id else "no_connection"
    return ""


def check_received(
    caller: Caller, question: str, n_tokens: int, stats: TrialStats
) -> None:
    """Record an error if a token is missing, duplicated or from another request."""
    numbers = [int(event_id.rpartition(":")[2]) for event_id in caller.ids]
    expected = expected_text(question, n_tokens)
    is_correct = numbers == list(range(1, len(numbers) + 1))
    is_correct = is_correct and expected.startswith(caller.text)
    if caller.is_ended:
        is_correct = is_correct and caller.text == expected
    if not is_correct:
        stats.wrong.append(f"{question}: tokens {numbers}, text {caller.text!r}")


async def inject_faults(
    deployment: Deployment, rng: random.Random, stats: TrialStats
) -> None:
    """Inject random faults until cancelled."""
    kinds = [cut, cross, delay, stall, reclaim_endpoint, kill_entry]
    weights = [6, 4, 4, 1, 3, 1]
    while True:
        await asyncio.sleep(FAULT_INTERVAL_S)
        kind = rng.choices(kinds, weights)[0]
        stats.faults[kind.__name__] += 1
        await kind(deployment, rng)


async def cut(deployment: Deployment, rng: random.Random) -> None:
    """Disconnect the next streams of an engine."""
    set_faults(deployment, rng, n_cut=3, cut_at_token=rng.randint(0, 20))


async def cross(deployment: Deployment, rng: random.Random) -> None:
    """Swap the answers of the next pairs of requests of an engine."""
    set_faults(deployment, rng, n_crossed=4)


async def delay(deployment: Deployment, rng: random.Random) -> None:
    """Delay the answers to the next requests of an engine."""
    set_faults(deployment, rng, n_late=4, late_s=rng.uniform(0, 1.0))


async def stall(deployment: Deployment, rng: random.Random) -> None:
    """Stall the next streams of an engine."""
    set_faults(deployment, rng, n_stalled=2, stall_at_token=rng.randint(0, 20))


async def reclaim_endpoint(deployment: Deployment, rng: random.Random) -> None:
    """Announce the reclaim of an engine, then replace its instance."""
    name = rng.choice(sorted(deployment.engines))
    app = rng.choice(deployment.entries)
    app.find("routing").leaving(name)
    for other in deployment.entries:
        other.find("requests").endpoint_leaving(name, RECLAIM_NOTICE_S)
    await asyncio.sleep(RECLAIM_NOTICE_S / 4)
    deployment.engines[name].batch.set_faults(EngineFaults())
    catalogue = app.find("catalogue")
    item = to_plain(catalogue.content.endpoints[name])
    item["instance"] = f"machine-{rng.getrandbits(32):08x}"
    edit = Edit(
        edit_id=item["instance"],
        author="awa",
        base_revision=catalogue.revision,
        changes=[Change(section="endpoints", name=name, item=item)],
    )
    await catalogue.apply(edit)


async def kill_entry(deployment: Deployment, rng: random.Random) -> None:
    """Drain and stop an entry instance, then start it again."""
    index = rng.randrange(N_ENTRIES)
    app = deployment.entries[index]
    await app.drain(1.0)
    await app.stop()
    await asyncio.sleep(RECLAIM_NOTICE_S / 4)
    await deployment.start_entry(index)
    await deployment.entries[index].find("catalogue").ready.wait()


def set_faults(deployment: Deployment, rng: random.Random, **faults) -> None:
    """Set the faults of a random engine."""
    engine = deployment.engines[rng.choice(sorted(deployment.engines))]
    engine.batch.set_faults(EngineFaults(**faults))


if __name__ == "__main__":
    sys.exit(main())
