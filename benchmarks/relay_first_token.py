"""Measures added time to the first token and processor time per event under load.

A process of callers keeps streams of known speed open through one relay, the bare
relay or the entry, in alternating rounds. Meanwhile this process sends short probes,
four at a time, alternately directly to the engines and through that relay. Prints one
JSON object per size::

    python benchmarks/relay_first_token.py --streams 150 300 600
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import statistics
import subprocess
import sys
import time
from typing import Any

import aiohttp
from processes import cpu_s, memory_mb
from relay_cost import CallerStats, Relays, run_relays, stream_request

TOKEN_S = 0.05
N_ENGINES = 4
N_PROBE_TOKENS = 1
N_PROBERS = 4
PROBE_PAUSE_S = 0.01
N_TOKENS_PER_REQUEST = 375
RAMP_S = 3.0
WORKER_TIMEOUT_S = 30.0


def main() -> None:
    """Run all sizes, or the callers if started as their process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[150, 300, 600])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--caller-of", default="")
    options = parser.parse_args()
    if options.caller_of:
        n_events = asyncio.run(
            _run_callers(options.caller_of, options.streams[0], options)
        )
        print(n_events, flush=True)
        return
    for n_streams in options.streams:
        print(json.dumps(measure(n_streams, options)), flush=True)


def measure(n_streams: int, options: argparse.Namespace) -> dict[str, Any]:
    """Return the results of both relays with a number of open streams."""
    with run_relays(N_ENGINES, TOKEN_S) as relays:
        rounds: dict[str, list[dict[str, Any]]] = {"bare": [], "entry": []}
        for _ in range(options.rounds):
            for name, results in rounds.items():
                results.append(_measure_round(name, n_streams, relays, options))
    return {
        "n_streams": n_streams,
        "load_average": round(os.getloadavg()[0], 1),
        **{name: _summarise(results) for name, results in rounds.items()},
    }


def _measure_round(
    name: str, n_streams: int, relays: Relays, options: argparse.Namespace
) -> dict[str, Any]:
    url = relays.bare_url if name == "bare" else relays.entry_url
    pid = relays.bare_pid if name == "bare" else relays.entry_pid
    command = [sys.executable, __file__, "--caller-of", url]
    command += ["--streams", str(n_streams), "--seconds", str(options.seconds)]
    callers = subprocess.Popen(command, stdout=subprocess.PIPE)
    initial_cpu_s = cpu_s(pid)
    time.sleep(RAMP_S)
    started_s, started_cpu_s = time.monotonic(), cpu_s(pid)
    direct_s, through_s, n_failed = asyncio.run(_probe(url, relays, options.seconds))
    core_share = (cpu_s(pid) - started_cpu_s) / (time.monotonic() - started_s)
    resident_mb = memory_mb(pid)
    output, _ = callers.communicate(timeout=WORKER_TIMEOUT_S)
    n_events = int(output) + N_PROBE_TOKENS * len(through_s)
    return {
        "direct_s": direct_s,
        "through_s": through_s,
        "n_failed": n_failed,
        "cpu_us_per_event": 1e6 * (cpu_s(pid) - initial_cpu_s) / n_events,
        "core_share": core_share,
        "memory_mb": resident_mb,
        "n_events": n_events,
    }


async def _probe(
    url: str, relays: Relays, duration_s: float
) -> tuple[list[float], list[float], int]:
    direct, through = CallerStats(), CallerStats()
    end_s = time.monotonic() + duration_s
    indices = itertools.count()

    async def probe_repeatedly(session: aiohttp.ClientSession) -> None:
        while time.monotonic() < end_s:
            index = next(indices)
            engine = relays.engine_urls[index % len(relays.engine_urls)]
            for target, stats in ((engine, direct), (url, through)):
                await stream_request(session, target, index, N_PROBE_TOKENS, stats)
                await asyncio.sleep(PROBE_PAUSE_S)

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(*(probe_repeatedly(session) for _ in range(N_PROBERS)))
    return (
        direct.first_tokens_s,
        through.first_tokens_s,
        direct.n_failed + through.n_failed,
    )


async def _run_callers(url: str, n_streams: int, options: argparse.Namespace) -> int:
    """Keep streams open, each restarted when it ends, and count events."""
    stats = CallerStats()
    end_s = time.monotonic() + RAMP_S + options.seconds
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = [
            asyncio.create_task(_stream_repeatedly(session, url, index, end_s, stats))
            for index in range(n_streams)
        ]
        await asyncio.gather(*callers)
    if stats.n_failed:
        raise RuntimeError(f"Got {stats.n_failed} failed streams, expected none.")
    return stats.n_events


async def _stream_repeatedly(
    session: aiohttp.ClientSession,
    url: str,
    index: int,
    end_s: float,
    stats: CallerStats,
) -> None:
    # Starts are spread over the ramp, so that restarts stay spread as well. An answer
    # that would outlast the round is cut short.
    await asyncio.sleep(RAMP_S * 0.8 * (index * 0.618 % 1))
    while (left_s := end_s - time.monotonic()) > 2 * TOKEN_S:
        n_tokens = min(N_TOKENS_PER_REQUEST, int(left_s / TOKEN_S))
        await stream_request(session, url, index, n_tokens, stats)


def _summarise(rounds: list[dict[str, Any]]) -> dict[str, Any]:
    direct_ms = [1000 * s for result in rounds for s in result["direct_s"]]
    through_ms = [1000 * s for result in rounds for s in result["through_s"]]
    added_p95_by_round_ms = [
        _p95(result["through_s"]) * 1000 - _p95(result["direct_s"]) * 1000
        for result in rounds
    ]
    return {
        "n_probes": len(through_ms),
        "n_failed": sum(result["n_failed"] for result in rounds),
        "direct_p50_p95_ms": [
            round(statistics.median(direct_ms), 2),
            round(_p95(direct_ms), 2),
        ],
        "through_p50_p95_ms": [
            round(statistics.median(through_ms), 2),
            round(_p95(through_ms), 2),
        ],
        "added_p50_ms": round(
            statistics.median(through_ms) - statistics.median(direct_ms), 2
        ),
        "added_p95_ms": round(_p95(through_ms) - _p95(direct_ms), 2),
        "added_p95_ms_by_round": [round(value, 2) for value in added_p95_by_round_ms],
        "cpu_us_per_event": [round(result["cpu_us_per_event"], 1) for result in rounds],
        "core_share": [round(result["core_share"], 2) for result in rounds],
        "n_events": [result["n_events"] for result in rounds],
        "memory_mb": [round(result["memory_mb"], 1) for result in rounds],
    }


def _p95(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.95 * (len(ordered) - 1))]


if __name__ == "__main__":
    main()
