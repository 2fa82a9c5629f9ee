"""Measures the control-plane overhead per node, without requests, and edit latency.

Runs real entry processes of one data centre without callers and appends edits directly
to the log. Traffic with the log and the endpoints is counted in forwarders, traffic
between the entries by their metrics. Windows are repeated; all results are per node.
Prints a JSON object per deployment::

    python benchmarks/control_cost.py --nodes 2 4 8 16
    python benchmarks/control_cost.py --nodes 4 --endpoints 3 6 12
    python benchmarks/control_cost.py --nodes 8 --changes 0 10 60
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import re
import time
from typing import TYPE_CHECKING, Any

import aiohttp
from capacity_deployment import Deployment, publish, run_deployment
from processes import HOST, cpu_s, memory_mb

if TYPE_CHECKING:
    from collections.abc import Awaitable

WARM_UP_S = 8.0
POLL_INTERVAL_S = 0.02
IN_FORCE_TIMEOUT_S = 15.0
SECONDS_PER_MINUTE = 60.0
PEER_BYTES_PATTERN = re.compile(
    r"^lagoonring_peers_bytes_(?:sent|received)_total (\S+)", re.M
)


def main() -> None:
    """Run all deployments and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[4])
    parser.add_argument("--endpoints", type=int, nargs="+", default=[3])
    parser.add_argument("--changes", type=float, nargs="+", default=[0], help="/min")
    parser.add_argument("--windows", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--edits", type=int, default=10)
    options = parser.parse_args()
    combinations = itertools.product(options.nodes, options.endpoints, options.changes)
    for n_nodes, n_endpoints, n_changes in combinations:
        report = asyncio.run(measure(n_nodes, n_endpoints, n_changes, options))
        print(json.dumps(report), flush=True)


async def measure(
    n_nodes: int, n_endpoints: int, n_changes: float, options: argparse.Namespace
) -> dict[str, Any]:
    """Return the overhead of one deployment and the latency of its edits."""
    async with (
        run_deployment(n_nodes, n_endpoints) as deployment,
        aiohttp.ClientSession() as session,
    ):
        await asyncio.sleep(WARM_UP_S)
        editing = asyncio.create_task(_edit_periodically(deployment, n_changes))
        windows = [
            await _measure_window(deployment, session, options.seconds)
            for _ in range(options.windows)
        ]
        editing.cancel()
        latencies_s = await _measure_edit_latencies(deployment, session, options.edits)
        memories_mb = [memory_mb(process.pid) for process in deployment.processes]
    return {
        "n_nodes": n_nodes,
        "n_endpoints": n_endpoints,
        "changes_per_minute": n_changes,
        "load_average": round(os.getloadavg()[0], 1),
        **{name: [w[name] for w in windows] for name in windows[0]},
        "memory_mb": [round(min(memories_mb), 1), round(max(memories_mb), 1)],
        "in_force_ms": {
            "p50": _quantile_ms(latencies_s, 0.5),
            "p95": _quantile_ms(latencies_s, 0.95),
            "max": _quantile_ms(latencies_s, 1.0),
        },
    }


async def _measure_window(
    deployment: Deployment, session: aiohttp.ClientSession, duration_s: float
) -> dict[str, float]:
    n_peers = await _read_peer_bytes(deployment, session)
    start_cpus_s = [cpu_s(process.pid) for process in deployment.processes]
    n_log, n_endpoint = deployment.n_log_bytes, deployment.n_endpoint_bytes
    start_s = time.monotonic()
    await asyncio.sleep(duration_s)
    elapsed_s = time.monotonic() - start_s
    n_log = deployment.n_log_bytes - n_log
    n_endpoint = deployment.n_endpoint_bytes - n_endpoint
    used_s = [
        cpu_s(process.pid) - before
        for process, before in zip(deployment.processes, start_cpus_s, strict=True)
    ]
    n_peers = await _read_peer_bytes(deployment, session) - n_peers
    total_s = elapsed_s * len(deployment.processes)
    return {
        "core_percent": round(100 * sum(used_s) / total_s, 2),
        "core_percent_most": round(100 * max(used_s) / elapsed_s, 2),
        "peer_bytes_per_s": round(n_peers / total_s),
        "log_bytes_per_s": round(n_log / total_s),
        "endpoint_bytes_per_s": round(n_endpoint / total_s),
    }


async def _read_peer_bytes(
    deployment: Deployment, session: aiohttp.ClientSession
) -> float:
    total = 0.0
    for port in deployment.ports:
        async with session.get(f"http://{HOST}:{port}/metrics") as response:
            total += sum(map(float, PEER_BYTES_PATTERN.findall(await response.text())))
    return total


def _make_change(number: int) -> list[tuple[str, str, dict[str, Any]]]:
    return [("classes", "assistant", {"deadline_ms": 600_000 - number})]


async def _edit_periodically(deployment: Deployment, n_per_minute: float) -> None:
    revision = 0
    for number in itertools.count(1):
        if not n_per_minute:
            return
        await asyncio.sleep(SECONDS_PER_MINUTE / n_per_minute)
        revision = await asyncio.to_thread(
            publish, deployment.log_port, revision, _make_change(number)
        )


async def _measure_edit_latencies(
    deployment: Deployment, session: aiohttp.ClientSession, n_edits: int
) -> list[float]:
    """Return the seconds from each append until each node has it in force."""
    latencies_s: list[float] = []
    revision = await _read_revision(deployment.ports[0], session)
    for number in range(n_edits):
        start_s = time.monotonic()
        revision = await asyncio.to_thread(
            publish, deployment.log_port, revision, _make_change(10_000 + number)
        )
        waits: list[Awaitable[None]] = [
            _wait_for_revision(port, session, revision) for port in deployment.ports
        ]
        for applied in asyncio.as_completed(waits, timeout=IN_FORCE_TIMEOUT_S):
            await applied
            latencies_s.append(time.monotonic() - start_s)
    return latencies_s


async def _wait_for_revision(
    port: int, session: aiohttp.ClientSession, revision: int
) -> None:
    while await _read_revision(port, session) < revision:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _read_revision(port: int, session: aiohttp.ClientSession) -> int:
    async with session.get(f"http://{HOST}:{port}/readyz") as response:
        return json.loads(await response.read())["revision"]


def _quantile_ms(values_s: list[float], quantile: float) -> float:
    ordered = sorted(values_s)
    return round(1000 * ordered[round(quantile * (len(ordered) - 1))], 1)


if __name__ == "__main__":
    main()
