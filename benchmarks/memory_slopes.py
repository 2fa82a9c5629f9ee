"""Measures the memory of one entry process and how it grows.

Each point is a fresh process. Prints as JSON the memory of each import, or the
resident memory by number of endpoints or organisations in the catalogue (with the
processor time of a change), of open streams, or of finished answers::

    python benchmarks/memory_slopes.py imports
    python benchmarks/memory_slopes.py endpoints 8 170 340 670
    python benchmarks/memory_slopes.py organisations 5 50 100
    python benchmarks/memory_slopes.py streams 0 100 300
    python benchmarks/memory_slopes.py answers 0 200 800
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import aiohttp
from capacity_deployment import KEY, Deployment, publish, run_deployment
from processes import HOST, cpu_s, memory_mb

from lagoonring.requests.authentication import hash_key

if TYPE_CHECKING:
    from capacity_deployment import Item

IMPORTS = (
    "asyncio",
    "attrs",
    "msgspec",
    "logbook",
    "aiohttp",
    "aiohttp.web",
    "prometheus_client",
    "typer",
    "xxhash",
    "lagoonring.cli.entry_command",
)
SETTLE_S = 3.0
N_EDITS = 20
EDIT_PAUSE_S = 0.1
N_DATA_CENTRES = 7
N_ENDPOINTS = 3
STREAM_SETTLE_S = 2.0
ANSWER_BATCH_SIZE = 20
N_TOKENS = 375
SLOW_ENGINE_OPTIONS = {"token_s": 0.5, "batch_growth": 0, "n_slots": 1000}
FAST_ENGINE_OPTIONS = {"token_s": 0.0005, "batch_growth": 0, "n_slots": 1000}
SETTINGS = {
    "instance": "entry-0",
    "data_centre": "plateau",
    "log_url": "http://127.0.0.1:1",
    "peers": {"address": "127.0.0.1:0", "keys": ["a-benchmark-peer-key"]},
}
IMPORT_CODE = """
import json, os, sys
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
def mb():
    return int(open("/proc/self/statm").read().split()[1]) * PAGE_BYTES / 2**20
grown = {"interpreter": mb()}
for name in sys.argv[2:]:
    before = mb()
    __import__(name)
    grown[name] = mb() - before
before, known = mb(), set(sys.modules)
import lagoonring.cli.entry_command as entry
entry.run_logged = lambda settings: None
entry.command(["--settings", sys.argv[1]], standalone_mode=False)
grown["reading the command line"] = mb() - before
grown["total"] = mb()
packages = {name.partition(".")[0] for name in set(sys.modules) - known}
print(json.dumps([grown, sorted(packages)]))
"""


def main() -> None:
    """Run the chosen measurement and print its points."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("imports", *MEASUREMENTS))
    parser.add_argument("sizes", type=int, nargs="*")
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args()
    for _ in range(options.repeats):
        if options.kind == "imports":
            print(json.dumps(measure_imports()), flush=True)
        for size in options.sizes:
            point = asyncio.run(MEASUREMENTS[options.kind](size))
            load = round(os.getloadavg()[0], 1)
            row = {options.kind: size, **point, "load_average": load}
            print(json.dumps(row), flush=True)


def measure_imports() -> dict[str, Any]:
    """Return the MB that each import in turn adds to a fresh process.

    The last step parses the command line with the run itself stubbed out, and lists
    the packages imported by that step.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(SETTINGS, file)
        file.flush()
        command = [sys.executable, "-c", IMPORT_CODE, file.name, *IMPORTS]
        output = subprocess.run(command, capture_output=True, check=True).stdout
    growth_mb, packages = json.loads(output)
    rounded = {name: round(value, 1) for name, value in growth_mb.items()}
    return {**rounded, "packages_at_run": packages}


async def measure_endpoints(n_endpoints: int) -> dict[str, Any]:
    """Return memory and cost of a change for endpoints in other data centres."""
    items: list[Item] = []
    for index in range(n_endpoints):
        endpoint = {
            "entry": "guide",
            "data_centre": f"far-{index % (N_DATA_CENTRES - 1)}",
            "url": f"http://10.0.{index // 250}.{index % 250}:8000",
            "instance": f"engine-{index:04}",
        }
        items.append(("endpoints", f"far-{index:04}", endpoint))
    return await _measure_catalogue(items)


async def measure_organisations(n_organisations: int) -> dict[str, Any]:
    """Return memory and cost of a change for organisations that have limits."""
    limits = {"requests_per_s": 100, "tokens_per_s": 40_000, "n_concurrent": 400}
    items: list[Item] = []
    for index in range(n_organisations):
        organisation = {"key_hashes": [hash_key(f"key-{index}")], "limits": limits}
        items.append(("organisations", f"organisation-{index}", organisation))
    return await _measure_catalogue(items)


async def _measure_catalogue(items: list[Item]) -> dict[str, Any]:
    started_s = time.monotonic()
    async with run_deployment(1, N_ENDPOINTS, items=items) as deployment:
        ready_s = time.monotonic() - started_s
        pid = deployment.processes[0].pid
        ready_cpu_s = cpu_s(pid)
        await asyncio.sleep(SETTLE_S)
        resident_mb = memory_mb(pid)
        idle_share = (cpu_s(pid) - ready_cpu_s) / SETTLE_S
        used_s = await _measure_edits(deployment)
        idle_s = idle_share * (N_EDITS * EDIT_PAUSE_S + SETTLE_S)
        return {
            "memory_mb": round(resident_mb, 1),
            "memory_after_edits_mb": round(memory_mb(pid), 1),
            "start_cpu_s": round(ready_cpu_s, 2),
            "deployment_ready_s": round(ready_s, 2),
            "idle_core_percent": round(100 * idle_share, 1),
            "change_cpu_ms": round(1000 * (used_s - idle_s) / N_EDITS, 1),
        }


async def _measure_edits(deployment: Deployment) -> float:
    """Make edits and return the processor seconds that the entry used meanwhile."""
    before_s = cpu_s(deployment.processes[0].pid)
    revision = 0
    for number in range(N_EDITS):
        change: Item = ("classes", "assistant", {"deadline_ms": 500_000 + number})
        revision = await asyncio.to_thread(
            publish, deployment.log_port, revision, [change]
        )
        await asyncio.sleep(EDIT_PAUSE_S)
    await asyncio.sleep(SETTLE_S)
    return cpu_s(deployment.processes[0].pid) - before_s


async def measure_streams(n_streams: int) -> dict[str, Any]:
    """Return memory with open streams that have each delivered a few tokens."""
    async with (
        run_deployment(
            1, N_ENDPOINTS, engine_options=SLOW_ENGINE_OPTIONS
        ) as deployment,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        tasks = [
            asyncio.create_task(_request_stream(session, deployment.ports[0], index))
            for index in range(n_streams)
        ]
        await asyncio.sleep(STREAM_SETTLE_S + SETTLE_S)
        resident_mb = memory_mb(deployment.processes[0].pid)
        n_open = sum(not task.done() for task in tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return {"memory_mb": round(resident_mb, 1), "n_open": n_open}


async def measure_answers(n_answers: int) -> dict[str, Any]:
    """Return memory after finished answers, retained so that callers can refetch."""
    async with (
        run_deployment(
            1, N_ENDPOINTS, engine_options=FAST_ENGINE_OPTIONS
        ) as deployment,
        aiohttp.ClientSession() as session,
    ):
        for first in range(0, n_answers, ANSWER_BATCH_SIZE):
            batch = range(first, min(n_answers, first + ANSWER_BATCH_SIZE))
            requests = [
                _request_stream(session, deployment.ports[0], index) for index in batch
            ]
            await asyncio.gather(*requests)
        await asyncio.sleep(1.0)
        return {"memory_mb": round(memory_mb(deployment.processes[0].pid), 1)}


async def _request_stream(
    session: aiohttp.ClientSession, port: int, index: int
) -> None:
    body = {
        "model": "guide",
        "messages": [{"role": "user", "content": f"question {index}"}],
        "stream": True,
        "max_tokens": N_TOKENS,
    }
    url = f"http://{HOST}:{port}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {KEY}"}
    async with session.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            raise RuntimeError(f"Got status {response.status}, expected 200.")
        while await response.content.readany():
            pass


MEASUREMENTS = {
    "endpoints": measure_endpoints,
    "organisations": measure_organisations,
    "streams": measure_streams,
    "answers": measure_answers,
}

if __name__ == "__main__":
    main()
