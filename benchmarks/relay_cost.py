"""Measures the cost of relaying in an entry instance compared with a bare relay.

Streams of known speed pass through each in turn, in the same run. Prints one JSON
object with processor time per token event, time to first token, memory and token
throughput. For the options, run ``python benchmarks/relay_cost.py --help``.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import time
import urllib.request
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
from processes import (
    HOST,
    cpu_s,
    free_ports,
    memory_mb,
    run_program,
    run_with_settings,
    wait_for,
)

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.platform.store import encode_batch
from lagoonring.platform.store_log import encode_record
from lagoonring.requests.authentication import hash_key

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY = "benchmark-key"
TOKEN_S = 0.02
N_ENGINE_PROCESSES = 3
RAMP_S = 1.0
EVENT_END = b"\n\n"


@attrs.define
class CallerStats:
    """Counts and first-token times of all callers."""

    n_events: int = 0
    first_tokens_s: list[float] = attrs.field(factory=list)
    n_failed: int = 0


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[40, 120, 240])
    parser.add_argument("--seconds", type=float, default=6.0)
    options = parser.parse_args()
    print(json.dumps(measure(options.streams, options.seconds), indent=2))


def measure(n_streams: list[int], duration_s: float) -> dict[str, Any]:
    """Return the results of the bare relay and the entry against direct calls."""
    with run_relays(N_ENGINE_PROCESSES, TOKEN_S) as relays:
        idle_mb = memory_mb(relays.entry_pid)
        rows = []
        for n in n_streams:
            direct = _measure_streams(relays.engine_urls, None, n, duration_s)
            for name, url, pid in (
                ("bare", relays.bare_url, relays.bare_pid),
                ("entry", relays.entry_url, relays.entry_pid),
            ):
                row = _measure_streams([url], pid, n, duration_s)
                row["relay"] = name
                row["added_first_token_p95_ms"] = round(
                    row["first_token_p95_ms"] - direct["first_token_p95_ms"], 2
                )
                rows.append(row)
    return {"idle_memory_mb": round(idle_mb, 1), "rows": rows}


@attrs.frozen
class Relays:
    """A bare relay and an entry in front of the same engines."""

    engine_urls: list[str]
    bare_url: str
    bare_pid: int
    entry_url: str
    entry_pid: int


@contextlib.contextmanager
def run_relays(n_engines: int, token_s: float) -> Iterator[Relays]:
    """Run engines in one process each, a log, a bare relay and an entry."""
    ports = free_ports(n_engines + 4)
    engine_ports = ports[:n_engines]
    log_port, bare_port, entry_port, peer_port = ports[n_engines:]
    urls = [f"http://{HOST}:{port}" for port in engine_ports]
    with contextlib.ExitStack() as stack:
        for port in engine_ports:
            settings = _engine_settings(port, token_s)
            stack.enter_context(run_with_settings("standin_command", settings))
        log = {"standins": [{"kind": "log", "port": log_port}]}
        process = stack.enter_context(run_with_settings("standin_command", log))
        wait_for(
            f"http://{HOST}:{log_port}/log-read?topic=config&part=0&from=0", process
        )
        _publish_catalogue(log_port, urls)
        settings = _entry_settings(entry_port, peer_port, log_port)
        entry = stack.enter_context(run_with_settings("entry_command", settings))
        bare = stack.enter_context(
            run_program(["benchmarks/relay_server.py", "--port", str(bare_port), *urls])
        )
        wait_for(f"http://{HOST}:{entry_port}/readyz", entry)
        yield Relays(
            engine_urls=urls,
            bare_url=f"http://{HOST}:{bare_port}",
            bare_pid=bare.pid,
            entry_url=f"http://{HOST}:{entry_port}",
            entry_pid=entry.pid,
        )


def _engine_settings(port: int, token_s: float) -> dict[str, Any]:
    options = {
        "token_s": token_s,
        "batch_growth": 0,
        "n_slots": 1000,
        "prefill_block_s": 0,
    }
    return {"standins": [{"kind": "engine", "port": port, "options": options}]}


def _entry_settings(port: int, peer_port: int, log_port: int) -> dict[str, Any]:
    return {
        "instance": "entry-1",
        "data_centre": "plateau",
        "port": port,
        "log_url": f"http://{HOST}:{log_port}",
        "log_level": "WARNING",
        "peers": {"address": f"{HOST}:{peer_port}", "keys": ["a-benchmark-peer-key"]},
    }


def _publish_catalogue(log_port: int, urls: list[str]) -> None:
    items = [
        ("organisations", "hann", {"key_hashes": [hash_key(KEY)]}),
        ("classes", "assistant", {"deadline_ms": 600_000}),
        (
            "entries",
            "guide",
            {"kind": "model", "owner": "hann", "service_class": "assistant"},
        ),
    ]
    for index, url in enumerate(urls):
        endpoint = {
            "entry": "guide",
            "data_centre": "plateau",
            "url": url,
            "n_slots": 1000,
        }
        items.append(("endpoints", f"guide-{index}", endpoint))
    changes = [Change(section=s, name=n, item=i) for s, n, i in items]
    edit = Edit(
        edit_id=uuid.uuid4().hex, author="bench", base_revision=-1, changes=changes
    )
    request = urllib.request.Request(
        f"http://{HOST}:{log_port}/log-append?topic=config&part=0",
        data=encode_batch([encode_record(encode_edit(edit).encode(), time.time())]),
    )
    urllib.request.urlopen(request, timeout=5).close()


def _measure_streams(
    urls: list[str], pid: int | None, n_streams: int, duration_s: float
) -> dict[str, Any]:
    stats = CallerStats()
    started_cpu_s = cpu_s(pid) if pid else 0.0
    started_s = time.monotonic()
    asyncio.run(_run_streams(urls, n_streams, duration_s, stats))
    elapsed_s = time.monotonic() - started_s
    used_s = (cpu_s(pid) if pid else 0.0) - started_cpu_s
    first_ms = sorted(1000 * s for s in stats.first_tokens_s)
    return {
        "n_streams": n_streams,
        "tokens_per_s": round(stats.n_events / elapsed_s),
        "cpu_us_per_event": round(1e6 * used_s / max(1, stats.n_events), 1),
        "core_share": round(used_s / elapsed_s, 3),
        "memory_mb": round(memory_mb(pid), 1) if pid else None,
        "first_token_p95_ms": round(first_ms[int(0.95 * (len(first_ms) - 1))], 2),
        "n_failed": stats.n_failed,
    }


async def _run_streams(
    urls: list[str], n_streams: int, duration_s: float, stats: CallerStats
) -> None:
    n_tokens = int(duration_s / TOKEN_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        tasks = []
        for index in range(n_streams):
            url = urls[index % len(urls)]
            tasks.append(
                asyncio.create_task(
                    stream_request(session, url, index, n_tokens, stats)
                )
            )
            await asyncio.sleep(RAMP_S / n_streams)
        await asyncio.gather(*tasks)


async def stream_request(
    session: aiohttp.ClientSession,
    url: str,
    index: int,
    n_tokens: int,
    stats: CallerStats,
) -> None:
    """Request one streamed answer and count its events."""
    body = {
        "model": "guide",
        "messages": [{"role": "user", "content": f"question {index}"}],
        "stream": True,
        "max_tokens": n_tokens,
    }
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": f"b{index}"}
    started_s = time.monotonic()
    is_first = True
    last_chunk = b""
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        async for chunk in response.content.iter_any():
            if is_first:
                stats.first_tokens_s.append(time.monotonic() - started_s)
                is_first = False
            stats.n_events += chunk.count(EVENT_END)
            last_chunk = chunk
    if response.status != 200 or b"[DONE]" not in last_chunk:
        stats.n_failed += 1


if __name__ == "__main__":
    main()
