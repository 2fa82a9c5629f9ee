"""Measures requests per second to the platform's log, by number of instances.

Runs real entry processes of one data centre with one chat per second each. Counts the
reads and appends of all processes together and the records added to each stream.
Prints a JSON object per size and window::

    python benchmarks/capacity_log.py 2 4 8
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
from typing import Any

import aiohttp
from capacity_deployment import KEY, Deployment, run_deployment
from processes import HOST

from lagoonring.platform.store import PAGE_HEADER

N_ENDPOINTS = 3
N_SLOTS = 8
WARM_UP_S = 12.0
CALL_INTERVAL_S = 1.0
N_TOKENS = 4
STREAMS = (
    "charges",
    "audit",
    "config",
    "moves",
    "fleet-plateau",
    *(f"claims-{slot}" for slot in range(N_SLOTS)),
)


def main() -> None:
    """Run each size and print the results of its windows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[2, 4, 8])
    parser.add_argument("--windows", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for n_nodes in options.sizes:
        asyncio.run(measure(n_nodes, options))


async def measure(n_nodes: int, options: argparse.Namespace) -> None:
    """Run one deployment and print what each window counted."""
    async with (
        run_deployment(n_nodes, N_ENDPOINTS) as deployment,
        aiohttp.ClientSession() as session,
    ):
        calls = [
            asyncio.create_task(_call_repeatedly(session, port))
            for port in deployment.ports
        ]
        await asyncio.sleep(WARM_UP_S)
        for _ in range(options.windows):
            row = await _measure_window(deployment, session, options.seconds)
            load = round(os.getloadavg()[0], 1)
            print(json.dumps({"n_nodes": n_nodes, **row, "load_average": load}))
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


async def _measure_window(
    deployment: Deployment, session: aiohttp.ClientSession, duration_s: float
) -> dict[str, Any]:
    before = await _read_end_offsets(deployment, session)
    n_reads, n_posts = deployment.log.n_reads, deployment.log.n_posts
    n_bytes = deployment.log.n_bytes
    start_s = time.monotonic()
    await asyncio.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    n_reads = deployment.log.n_reads - n_reads
    n_posts = deployment.log.n_posts - n_posts
    n_bytes = deployment.log.n_bytes - n_bytes
    after = await _read_end_offsets(deployment, session)
    n_added = {name: after[name] - before[name] for name in STREAMS}
    claims = sum(n for name, n in n_added.items() if name.startswith("claims"))
    others = {n: n_added[n] for n in STREAMS if not n.startswith("claims")}
    records = {"claims": claims, **others}
    return {
        "reads_per_s": round(n_reads / elapsed_s, 2),
        "appends_per_s": round(n_posts / elapsed_s, 2),
        "bytes_per_s": round(n_bytes / elapsed_s),
        "records_per_s": {n: round(k / elapsed_s, 2) for n, k in records.items()},
    }


async def _read_end_offsets(
    deployment: Deployment, session: aiohttp.ClientSession
) -> dict[str, int]:
    end_offsets = {}
    for name in STREAMS:
        url = f"http://{HOST}:{deployment.log_port}/log-read"
        query = {"topic": name, "part": "0", "from": "0"}
        async with session.get(url, params=query) as response:
            end_offsets[name], _ = PAGE_HEADER.unpack_from(await response.read())
    return end_offsets


async def _call_repeatedly(session: aiohttp.ClientSession, port: int) -> None:
    body = {
        "model": "guide",
        "messages": [{"role": "user", "content": f"question {port}"}],
        "max_tokens": N_TOKENS,
    }
    url = f"http://{HOST}:{port}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {KEY}"}
    while True:
        async with session.post(url, json=body, headers=headers) as response:
            await response.read()
        await asyncio.sleep(CALL_INTERVAL_S)


if __name__ == "__main__":
    main()
