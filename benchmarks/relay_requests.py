"""Measures the cost and the first-token time of short requests without other load.

Requests of one token are sent at a fixed rate directly to the engines, to the bare
relay and to the entry, in interleaved rounds. Prints a JSON object per target and
round::

    python benchmarks/relay_requests.py --rate 16
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import statistics
import time
from typing import Any

import aiohttp
from processes import cpu_s
from relay_cost import CallerStats, run_relays, stream_request

TOKEN_S = 0.02
N_ENGINES = 3
SETTLE_S = 1.0


def main() -> None:
    """Run the rounds and print the results of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=16.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    with run_relays(N_ENGINES, TOKEN_S) as relays:
        targets = (
            ("direct", relays.engine_urls, None),
            ("bare", [relays.bare_url], relays.bare_pid),
            ("entry", [relays.entry_url], relays.entry_pid),
        )
        for _ in range(options.rounds):
            idle = _idle_share(relays.entry_pid)
            for name, urls, pid in targets:
                row = _measure_round(
                    urls, pid, idle if name == "entry" else 0.0, options
                )
                load = round(os.getloadavg()[0], 1)
                print(json.dumps({"target": name, **row, "load_average": load}))


def _idle_share(pid: int) -> float:
    initial_cpu_s = cpu_s(pid)
    time.sleep(2 * SETTLE_S)
    return (cpu_s(pid) - initial_cpu_s) / (2 * SETTLE_S)


def _measure_round(
    urls: list[str], pid: int | None, idle_share: float, options: argparse.Namespace
) -> dict[str, Any]:
    stats = CallerStats()
    initial_cpu_s = cpu_s(pid) if pid else 0.0
    start_s = time.monotonic()
    asyncio.run(_send_requests(urls, options, stats))
    used_s = (cpu_s(pid) if pid else 0.0) - initial_cpu_s
    used_s -= idle_share * (time.monotonic() - start_s)
    first_ms = sorted(1000 * s for s in stats.first_tokens_s)
    return {
        "n_requests": len(first_ms),
        "n_failed": stats.n_failed,
        "first_token_p50_ms": round(statistics.median(first_ms), 2),
        "first_token_p95_ms": round(first_ms[int(0.95 * (len(first_ms) - 1))], 2),
        "cpu_ms_per_request": round(1000 * used_s / len(first_ms), 2) if pid else None,
    }


async def _send_requests(
    urls: list[str], options: argparse.Namespace, stats: CallerStats
) -> None:
    url_cycle = itertools.cycle(urls)
    async with aiohttp.ClientSession() as session:
        tasks = []
        for index in range(int(options.rate * options.seconds)):
            request = stream_request(session, next(url_cycle), index, 1, stats)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / options.rate)
        await asyncio.gather(*tasks)


if __name__ == "__main__":
    main()
