"""Measures the time of admitting a request and of refreshing the limit shares.

Prints microseconds per admitted and released request, with and without waiting
requests, and per refresh of the shares with 57 instances in 7 data centres::

    python benchmarks/limits_cost.py
"""

from __future__ import annotations

import asyncio
import time

import attrs

from lagoonring.catalogue import CatalogueContent
from lagoonring.kernel import Application
from lagoonring.limits import AdmitRequest, LimitsOptions, LimitsService
from lagoonring.limits.shares import Demand, DemandSummary
from lagoonring.settings import convert

N_REQUESTS = 3_000
N_WAITING = 200
N_REFRESHES = 100
N_INSTANCES = 57
N_DATA_CENTRES = 7
N_ORGANISATIONS = 20
N_ENTRIES = 6
MICROSECONDS_PER_S = 1e6


@attrs.frozen
class FixedMember:
    """A member that is always alive."""

    instance: str
    data_centre: str
    state: str = "alive"


class FixedPeers:
    """Peers whose rows do not change."""

    name = "peers"

    def __init__(self) -> None:
        self.me = FixedMember("e0", "centre-0")
        self.others = [
            FixedMember(f"e{number}", "centre-0") for number in range(1, N_INSTANCES)
        ]
        self.others += [
            FixedMember(f"x{number}", f"centre-{number}")
            for number in range(1, N_DATA_CENTRES)
        ]
        per_s = {f"org:org-{number}": 2.0 for number in range(N_ORGANISATIONS)}
        per_s |= {f"entry:entry-{number}": 3.0 for number in range(N_ENTRIES)}
        self.by_kind = {
            "demand": {
                (member.instance, "requests"): Demand(per_s=per_s)
                for member in self.others[: N_INSTANCES - 1]
            },
            "summary": {
                (member.instance, f"demand:{member.data_centre}"): DemandSummary(
                    data_centre=member.data_centre,
                    n_instances=N_INSTANCES,
                    time_s=0.0,
                    per_s={scope: 57 * value for scope, value in per_s.items()},
                )
                for member in self.others[N_INSTANCES - 1 :]
            },
        }

    def members(self) -> list[FixedMember]:
        """Return the other members."""
        return self.others

    def rows(self, kind: str, value_type: type) -> dict:
        """Return the rows of a kind."""
        return self.by_kind[kind]

    def publish(self, kind: str, name: str, value: object) -> None:
        """Discard the row."""


class FixedCatalogue:
    """A catalogue that does not change."""

    name = "catalogue"

    def subscribe(self, callback) -> None:
        """Call back once, with the whole content."""
        limits = {"requests_per_s": 1e6, "tokens_per_s": 1e9, "n_concurrent": 1000000}
        raw_content = {
            "organisations": {
                f"org-{number}": {"limits": limits} for number in range(N_ORGANISATIONS)
            },
            "classes": {"chat": {}},
            "entries": {
                f"entry-{number}": {
                    "kind": "model",
                    "owner": "bench",
                    "service_class": "chat",
                }
                for number in range(N_ENTRIES)
            },
        }
        callback(convert(raw_content, CatalogueContent), 0)


async def start_limits(peers: FixedPeers | None, capacity: int) -> LimitsService:
    """Return a started service with a capacity per entry."""
    app = Application()
    app.add(FixedCatalogue())
    if peers is not None:
        app.add(peers)
    limits = LimitsService(app, LimitsOptions(), capacity=lambda entry: capacity)
    await limits.start()
    return limits


def make_request(number: int) -> AdmitRequest:
    """Return a request of one of the organisations."""
    return AdmitRequest(
        organisation=f"org-{number % N_ORGANISATIONS}",
        entry=f"entry-{number % N_ENTRIES}",
        service_class="chat",
        n_tokens_most=200,
        deadline_s=time.monotonic() + 600,
    )


async def measure_admit(n_waiting: int) -> float:
    """Return seconds per request, with free capacity or with requests waiting."""
    limits = await start_limits(None, 1 if n_waiting else 1_000_000)
    permits = [await limits.admit(make_request(0))] if n_waiting else []

    async def wait_for_permit(number: int) -> None:
        permits.append(await limits.admit(make_request(N_ENTRIES * number)))

    tasks = [asyncio.ensure_future(wait_for_permit(n)) for n in range(n_waiting)]
    await asyncio.sleep(0)
    start_s = time.perf_counter()
    for number in range(N_REQUESTS):
        if not n_waiting:
            (await limits.admit(make_request(number))).release(100)
            continue
        permits.pop().release(100)
        tasks.append(asyncio.ensure_future(wait_for_permit(number)))
        while not permits:
            await asyncio.sleep(0)
    elapsed_s = time.perf_counter() - start_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await limits.app.stop()
    return elapsed_s / N_REQUESTS


async def measure_refresh() -> float:
    """Return seconds per refresh of all shares."""
    limits = await start_limits(FixedPeers(), 1_000_000)
    for number in range(N_ORGANISATIONS * N_ENTRIES):
        (await limits.admit(make_request(number))).release(100)
    start_s = time.perf_counter()
    for _ in range(N_REFRESHES):
        limits.refresh()
    elapsed_s = time.perf_counter() - start_s
    await limits.app.stop()
    return elapsed_s / N_REFRESHES


async def run() -> None:
    """Run all measurements and print the results."""
    free_us = MICROSECONDS_PER_S * await measure_admit(0)
    waiting_us = MICROSECONDS_PER_S * await measure_admit(N_WAITING)
    refresh_us = MICROSECONDS_PER_S * await measure_refresh()
    print(f"admit and release, places free       {free_us:9.1f} us")
    print(f"admit and release, {N_WAITING} waiting       {waiting_us:9.1f} us")
    print(f"refresh of all shares                {refresh_us:9.1f} us")


if __name__ == "__main__":
    asyncio.run(run())
