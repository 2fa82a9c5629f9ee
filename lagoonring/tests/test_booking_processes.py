"""Bookings through real processes that are suspended or killed."""

from __future__ import annotations

import asyncio
import random
import signal

import aiohttp
import pytest

from lagoonring.tests.builders.deployments import headers_of
from lagoonring.tests.builders.processes import ProcessDeployment, run_processes

pytestmark = pytest.mark.processes

N_BOOKINGS = 60
N_ENTRIES = 3
MAX_ATTEMPTS = 12
TIMEOUT_S = 3.0
SHORT_LEASES = {
    "claims": {
        "lease": {
            "renew_interval_s": 0.3,
            "margin_s": 0.2,
            "duration_s": 1.0,
            "poll_s": 0.3,
        }
    }
}


async def send(
    deployment: ProcessDeployment, entry: int, key: str
) -> tuple[str, int | None]:
    """Book once; return the outcome that the caller receives and the run number."""
    url = f"{deployment.url(entry)}/services/booking/bookings"
    headers = headers_of(**{"Idempotency-Key": key})
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with deployment.session.post(
            url, json={"key": key}, headers=headers, timeout=timeout
        ) as answer:
            document = await answer.json()
    except (TimeoutError, aiohttp.ClientError):
        return "no answer", None
    if "error" in document:
        return document["error"]["outcome"], None
    return "run", document["run"]


async def book_until_settled(
    deployment: ProcessDeployment, key: str, rng: random.Random
) -> list[tuple[str, int | None]]:
    """Send a booking through random instances until its outcome is known."""
    outcomes = []
    for _ in range(MAX_ATTEMPTS):
        outcomes.append(await send(deployment, rng.randrange(N_ENTRIES), key))
        if outcomes[-1][0] == "run":
            break
        await asyncio.sleep(0.05)
    return outcomes


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
async def test_no_booking_runs_twice_while_an_instance_is_killed_or_suspended(
    signal_number,
):
    rng = random.Random(7)
    async with run_processes(n_engines=0, entry=SHORT_LEASES) as deployment:
        tasks = []
        for index in range(N_BOOKINGS):
            booking = book_until_settled(deployment, f"key-{index}", rng)
            tasks.append(asyncio.create_task(booking))
            await asyncio.sleep(0.02)
            if index == N_BOOKINGS // 3:
                deployment.signal(1, signal_number)
            if index == 2 * N_BOOKINGS // 3 and signal_number == signal.SIGSTOP:
                deployment.signal(1, signal.SIGCONT)
        outcomes = dict(
            zip(
                [f"key-{index}" for index in range(N_BOOKINGS)],
                await asyncio.gather(*tasks),
                strict=True,
            )
        )
        runs = (await deployment.get_json(f"{deployment.plain_url}/runs"))["by_key"]
        n_runs = {key: runs.get(key, 0) for key in outcomes}
        assert max(n_runs.values()) == 1
        for key, answers in outcomes.items():
            numbers = {run for outcome, run in answers if outcome == "run"}
            assert len(numbers) <= 1
            if n_runs[key] == 0:
                assert not numbers
            if answers[-1][0] == "not_run":
                assert n_runs[key] == 0, (key, answers)
        n_settled = sum(answers[-1][0] == "run" for answers in outcomes.values())
        assert n_settled > N_BOOKINGS // 2
