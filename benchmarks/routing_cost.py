"""Measures the time of a routing decision by number of endpoints.

Prints a line per number of endpoints in the data centre: median and 99th
percentile of ``choose``, and the median of ``started`` and ``ended`` together,
in microseconds::

    python benchmarks/routing_cost.py
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time

from lagoonring.catalogue import CatalogueContent
from lagoonring.kernel import Application
from lagoonring.routing import (
    AttemptResult,
    EndpointLoad,
    RouteRequest,
    RoutingOptions,
    RoutingService,
)
from lagoonring.settings import convert

N_ENDPOINTS = (8, 24, 48, 96, 192)
N_CATALOGUE = 670
N_OTHER_DATA_CENTRES = 6
N_DECISIONS = 3_000
N_BLOCKS = 32
N_CONVERSATIONS = 400
MICROSECONDS_PER_S = 1e6


class FixedCatalogue:
    """A catalogue that does not change."""

    name = "catalogue"

    def __init__(self, content: CatalogueContent) -> None:
        self.content = content

    def subscribe(self, callback) -> None:
        """Call back once, with the whole content."""
        callback(self.content, 0)


def make_content(n_local: int) -> CatalogueContent:
    """Return a catalogue with ``n_local`` endpoints in the local data centre."""
    endpoints = {}
    for number in range(N_CATALOGUE):
        is_local = number < n_local
        elsewhere = f"centre-{1 + number % N_OTHER_DATA_CENTRES}"
        endpoints[f"guide-{number}"] = {
            "entry": "guide",
            "data_centre": "centre-0" if is_local else elsewhere,
            "url": f"http://127.0.0.1:{10_000 + number}",
        }
    entry = {"kind": "model", "owner": "bench", "service_class": "chat"}
    raw_content = {
        "classes": {"chat": {}},
        "entries": {"guide": entry},
        "endpoints": endpoints,
    }
    return convert(raw_content, CatalogueContent)


def make_requests(rng: random.Random) -> list[RouteRequest]:
    """Return requests for several turns of each conversation, in random order."""
    shared_blocks = [rng.getrandbits(64) for _ in range(8)]
    requests = []
    for number in range(N_CONVERSATIONS):
        own_blocks = [rng.getrandbits(64) for _ in range(N_BLOCKS)]
        for n_own_blocks in (8, 16, 24):
            requests.append(
                RouteRequest(
                    entry="guide",
                    service_class="chat",
                    request_id=f"r{number}",
                    prefix_blocks=tuple(shared_blocks + own_blocks[:n_own_blocks]),
                    affinity_key=own_blocks[0],
                )
            )
    rng.shuffle(requests)
    return requests


async def measure(n_local: int) -> tuple[float, float, float]:
    """Return the median and 99th percentile of choose and the median of the rest."""
    rng = random.Random(1)
    app = Application(rng=rng)
    app.add(FixedCatalogue(make_content(n_local)))
    routing = RoutingService(app, RoutingOptions(), data_centre="centre-0")
    app.add(routing)
    await routing.start()
    for state in routing.table.states.values():
        if state.is_local:
            load = EndpointLoad(
                n_running=rng.randrange(6), n_slots=8, time_s=app.clock.time()
            )
            routing._handle_load("watcher", state.name, load)
    requests = make_requests(rng)
    result = AttemptResult(
        ok=True, n_tokens=50, first_token_s=0.1, between_tokens_s=0.03
    )
    choose_s = []
    bookkeeping_s = []
    for number in range(N_DECISIONS):
        request = requests[number % len(requests)]
        start_s = time.perf_counter()
        route = routing.choose(request)
        chosen_s = time.perf_counter()
        routing.started(route, request)
        routing.ended(route, request, result)
        bookkeeping_s.append(time.perf_counter() - chosen_s)
        choose_s.append(chosen_s - start_s)
    await app.stop()
    choose_s.sort()
    p99_s = choose_s[int(0.99 * len(choose_s))]
    return statistics.median(choose_s), p99_s, statistics.median(bookkeeping_s)


def main() -> None:
    """Print a line per number of endpoints."""
    print("endpoints  choose_us  choose_p99_us  started_ended_us")
    for n_local in N_ENDPOINTS:
        times = asyncio.run(measure(n_local))
        columns = [f"{value * MICROSECONDS_PER_S:9.1f}" for value in times]
        print(f"{n_local:9d}  {columns[0]}  {columns[1]:>13}  {columns[2]:>16}")


if __name__ == "__main__":
    main()
