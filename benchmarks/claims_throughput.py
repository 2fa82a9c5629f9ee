"""Measures claims and appends per second and latency, by number of slots.

Claims arrive at a constant rate at instances in one process, over an in-memory log
that answers after a fixed delay. The baseline appends each claim separately and
reads the stream back up to it. Usage::

    python benchmarks/claims_throughput.py --rates 200,1000 --seconds 5
"""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from typing import TYPE_CHECKING

import attrs
import msgspec
import typer

from lagoonring.claims import ClaimsOptions
from lagoonring.kernel import Clock
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.claims import ClaimsFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Claim = Callable[[str], Awaitable[None]]

LOG_DELAY_S = 0.005
SETTLE_S = 1.0
N_INSTANCES = 4
BASELINE_STREAM = "baseline"


@attrs.frozen
class Result:
    """Results of one run."""

    name: str
    rate: int
    claims_per_s: float
    appends_per_s: float
    p50_ms: float
    p95_ms: float
    cpu_share: float


class Baseline:
    """Claims with one append each, in which each claim reads the stream back itself."""

    def __init__(self, log: LogStandin) -> None:
        self.log = log
        self.keys: dict[str, str] = {}
        self.next_offset = 0

    async def claim(self, key: str) -> None:
        """Append a claim and read the stream back up to it."""
        record = msgspec.json.encode([key, uuid.uuid4().hex]).decode()
        offset = await self.log.append(BASELINE_STREAM, record)
        while self.next_offset <= offset:
            page = await self.log.read(BASELINE_STREAM, self.next_offset)
            for item in page.records:
                if item.offset >= self.next_offset:
                    name, claim_id = msgspec.json.decode(item.data)
                    self.keys.setdefault(name, claim_id)
                    self.next_offset = item.offset + 1


async def offer_load(claim: Claim, rate: int, duration_s: float) -> list[float]:
    """Make claims at a constant rate and return their latencies in seconds."""
    latencies: list[float] = []

    async def claim_one(key: str) -> None:
        started_s = time.perf_counter()
        await claim(key)
        latencies.append(time.perf_counter() - started_s)

    loop = asyncio.get_running_loop()
    start_s = loop.time()
    tasks = []
    for index in range(int(rate * duration_s)):
        await asyncio.sleep(max(0.0, start_s + index / rate - loop.time()))
        tasks.append(asyncio.create_task(claim_one(f"key-{index}")))
    await asyncio.gather(*tasks)
    return latencies


async def measure(
    name: str, log: LogStandin, claim: Claim, rate: int, duration_s: float
) -> Result:
    """Make claims at a rate and measure latency, appends and processor time."""
    n_appends, cpu_s, start_s = log.n_appends, time.process_time(), time.monotonic()
    latencies = sorted(await offer_load(claim, rate, duration_s))
    elapsed_s = time.monotonic() - start_s
    return Result(
        name=name,
        rate=rate,
        claims_per_s=len(latencies) / elapsed_s,
        appends_per_s=(log.n_appends - n_appends) / elapsed_s,
        p50_ms=1000 * latencies[len(latencies) // 2],
        p95_ms=1000 * latencies[int(len(latencies) * 0.95)],
        cpu_share=(time.process_time() - cpu_s) / elapsed_s,
    )


async def measure_slots(
    n_slots: int, rate: int, duration_s: float, interval_s: float
) -> Result:
    """Measure the service with a number of slots and a minimum append interval."""
    log = make_log()
    options = ClaimsOptions(n_slots=n_slots, append_interval_s=interval_s)
    fleet = ClaimsFleet(log, random.Random(0), options)
    for _ in range(N_INSTANCES):
        await fleet.add()
    await asyncio.sleep(SETTLE_S + 2 * fleet.options.lease.poll_s)

    async def claim(key: str) -> None:
        instance = fleet.rng.choice(fleet.instances)
        answer = await instance.claims.claim(key, "f", key, entry="booking")
        assert answer.state == "granted"

    # Warm-up: the first claims look up the owners of the slots.
    await offer_load(lambda key: claim(f"first-{key}"), 100, 1.0)
    name = f"{n_slots} slots, {1000 * interval_s:.0f} ms apart"
    result = await measure(name, log, claim, rate, duration_s)
    await fleet.stop()
    return result


async def measure_baseline(rate: int, duration_s: float) -> Result:
    """Measure the baseline of one append per claim."""
    log = make_log()
    return await measure("baseline", log, Baseline(log).claim, rate, duration_s)


def make_log() -> LogStandin:
    """Return an in-memory log that answers after the fixed delay."""
    log = LogStandin(Clock())
    log.faults.delay_s = LOG_DELAY_S
    return log


def main(
    rates: str = "200,1000",
    slots: str = "1,4,16",
    intervals_ms: str = "0,25",
    seconds: float = 5.0,
) -> None:
    """Print a line per rate and number of slots."""
    for rate in map(int, rates.split(",")):
        results = [asyncio.run(measure_baseline(rate, seconds))]
        for n_slots in map(int, slots.split(",")):
            for interval_ms in map(int, intervals_ms.split(",")):
                run = measure_slots(n_slots, rate, seconds, interval_ms / 1000)
                results.append(asyncio.run(run))
        for result in results:
            typer.echo(
                f"{result.rate:5d}/s offered  {result.name:22s} "
                f"{result.claims_per_s:6.0f} claims/s {result.appends_per_s:6.0f} "
                f"appends/s  p50 {result.p50_ms:5.1f} ms  p95 {result.p95_ms:5.1f} ms"
                f"  cpu {result.cpu_share:.2f}"
            )


if __name__ == "__main__":
    typer.run(main)
