"""Version moves on whole deployments, ordered over the administration API."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lagoonring.standins.engine_faults import EngineFaults, VersionFaults
from lagoonring.tests.builders.barriers import wait_for_members, wait_until
from lagoonring.tests.builders.deployments import (
    OPERATOR_TOKEN,
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)
from lagoonring.tests.builders.transcripts import Transcript

if TYPE_CHECKING:
    from collections.abc import Callable

CHAT = "/v1/chat/completions"
N_CALLERS = 8
FINAL = ("finished", "undone", "refused")
MAX_EXPOSURE = 0.05
QUICK = {
    "moves": {
        "trial_share": 0.02,
        "ramp": [0.2],
        "trial_s": 4.0,
        "order_s": 0.1,
        "undo_s": 1.0,
        "drain_s": 0.1,
        "check_s": 0.05,
        "tick_s": 0.05,
        "publish_s": 0.1,
    }
}
SECTIONS = {
    "entries": {
        "guide": {
            "checks_fencing": True,
            "versions": {"1": {"weights": ""}, "2": {"weights": ""}},
        }
    }
}


async def operate(
    deployment: Deployment, method: str, path: str, order: Any = None
) -> Any:
    """Use the administration API of the first instance."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    url = f"{deployment.url(0)}/admin/{path}"
    async with deployment.session.request(
        method, url, json=order, headers=headers
    ) as answer:
        assert answer.status == 200, await answer.text()
        return await answer.json()


async def move_under_load(deployment: Deployment, within_s: float) -> dict[str, Any]:
    """Order a move to version 2, send requests meanwhile, return the final status."""
    is_over = asyncio.Event()

    async def send_requests(number: int) -> None:
        n_sent = 0
        while not is_over.is_set():
            body = chat_body(f"question {number} {n_sent}", n_tokens=4)
            url = deployment.url(number % len(deployment.entries)) + CHAT
            async with deployment.session.post(
                url, json=body, headers=headers_of()
            ) as answer:
                assert answer.status == 200, await answer.text()
            n_sent += 1

    callers = [asyncio.create_task(send_requests(n)) for n in range(N_CALLERS)]
    order = {
        "move_id": "first",
        "entry": "guide",
        "to_version": "2",
        "deadline_in_s": within_s,
    }
    await operate(deployment, "POST", "moves", order)
    try:
        return await wait_for_move(deployment, lambda move: move["phase"] in FINAL)
    finally:
        is_over.set()
        await asyncio.gather(*callers)


async def wait_for_move(
    deployment: Deployment, matches: Callable[[dict[str, Any]], bool]
) -> dict[str, Any]:
    while True:
        for move in await operate(deployment, "GET", "moves"):
            if matches(move):
                return move
        await asyncio.sleep(0.02)


def share_of_version(deployment: Deployment, version: str) -> float:
    """Return the share of all attempts that ran on a version."""
    counts = [
        engine.batch.n_requests_by_version for engine in deployment.engines.values()
    ]
    n_all = sum(sum(count.values()) for count in counts)
    return sum(count.get(version, 0) for count in counts) / n_all


async def test_bad_version_is_undone_and_no_caller_sees_it():
    transcript = Transcript()
    async with run_deployment(
        n_entries=2, n_engines=2, entry=QUICK, sections=SECTIONS
    ) as deployment:
        await wait_for_members(deployment)
        for engine in deployment.engines.values():
            faults = {"2": VersionFaults(error_share=1.0)}
            engine.batch.set_faults(EngineFaults(versions=faults))
        move = await move_under_load(deployment, 30.0)
        transcript.say("operator", f"move first: {move['phase']}")
        assert share_of_version(deployment, "2") <= MAX_EXPOSURE
        content = deployment.entries[1].find("catalogue").content
        transcript.say(
            "catalogue", f"version of guide: {content.entries['guide'].version}"
        )
    transcript.check("move-undone")


async def test_good_version_is_in_force_by_the_deadline():
    transcript = Transcript()
    async with run_deployment(
        n_entries=2, n_engines=2, entry=QUICK, sections=SECTIONS
    ) as deployment:
        await wait_for_members(deployment)
        move = await move_under_load(deployment, 14.0)
        transcript.say("operator", f"move first: {move['phase']}")
        content = deployment.entries[1].find("catalogue").content
        transcript.say(
            "catalogue", f"version of guide: {content.entries['guide'].version}"
        )
    transcript.check("move-done")


async def test_version_that_crashes_its_engine_is_undone():
    async with run_deployment(
        n_entries=2, n_engines=4, entry=QUICK, sections=SECTIONS
    ) as deployment:
        await wait_for_members(deployment)
        for engine in deployment.engines.values():
            faults = {"2": VersionFaults(crash=True)}
            engine.batch.set_faults(EngineFaults(versions=faults, restart_s=0.1))
        move = await move_under_load(deployment, 30.0)
        assert move["phase"] == "undone"
        assert share_of_version(deployment, "2") <= MAX_EXPOSURE


async def test_failing_trial_at_a_single_endpoint_fails_no_request():
    """The only engine of the new version fails, so retries must use the old one."""
    async with run_deployment(n_engines=3, sections=SECTIONS) as deployment:
        engine = deployment.engines["guide-0"]
        engine.orders.state.versions = ["1", "2"]
        engine.batch.set_faults(
            EngineFaults(versions={"2": VersionFaults(error_share=1.0)})
        )
        app = deployment.entries[0]
        app.find("moves").choose_version = lambda entry, request_id: "2"
        table = app.find("routing").table
        await wait_until(lambda: table.states["guide-0"].runs("2"))
        for index in range(4):
            body = chat_body(f"question {index}", n_tokens=4)
            async with deployment.session.post(
                deployment.url(0) + CHAT, json=body, headers=headers_of()
            ) as answer:
                assert answer.status == 200, await answer.text()
        assert engine.batch.n_requests_by_version["2"] > 0


async def test_request_is_sent_to_a_failing_trial_only_once():
    """Crashes that a faulty version causes must not be blamed on the request.

    After the first crash the request must be retried on the old version.
    """
    near = {f"guide-{n}": {"data_centre": "plateau"} for n in range(4)}
    sections = {**SECTIONS, "endpoints": near}
    async with run_deployment(n_engines=4, sections=sections) as deployment:
        for engine in deployment.engines.values():
            engine.orders.state.versions = ["1", "2"]
            faults = {"2": VersionFaults(crash=True)}
            engine.batch.set_faults(EngineFaults(versions=faults, restart_s=0.05))
        app = deployment.entries[0]
        app.find("moves").choose_version = lambda entry, request_id: "2"
        states = app.find("routing").table.states
        await wait_until(lambda: any(s.runs("2") for s in states.values()))
        body = chat_body("question", n_tokens=4)
        async with deployment.session.post(
            deployment.url(0) + CHAT, json=body, headers=headers_of()
        ) as answer:
            assert answer.status == 200, await answer.text()
        assert count_requests(deployment, "2") == 1


def count_requests(deployment: Deployment, version: str) -> int:
    """Return the number of attempts started on a version."""
    counts = [
        engine.batch.n_requests_by_version for engine in deployment.engines.values()
    ]
    return sum(count.get(version, 0) for count in counts)
