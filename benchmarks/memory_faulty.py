"""Measures the memory of one entry process under invalid requests; it must not grow.

Sends rounds of malformed JSON, wrong keys, unknown entries, oversized bodies and
aborted uploads, and prints the resident memory after each round::

    python benchmarks/memory_faulty.py --rounds 16 --requests 3000
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from typing import Any

import aiohttp
from processes import HOST, free_ports, memory_mb, run_with_settings, wait_for
from relay_cost import KEY, _entry_settings, _publish_catalogue

CHAT = "/v1/chat/completions"
MAX_CONCURRENT_REQUESTS = 20
OVERSIZED_BODY_BYTES = 2 << 20


def main() -> None:
    """Run all rounds and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    print(json.dumps(measure(options.rounds, options.requests), indent=2))


def measure(n_rounds: int, n_requests: int) -> dict[str, Any]:
    """Return the resident memory before the first and after each round."""
    entry_port, peer_port, log_port = free_ports(3)
    log = {"standins": [{"kind": "log", "port": log_port}]}
    settings = _entry_settings(entry_port, peer_port, log_port)
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(run_with_settings("standin_command", log))
        wait_for(
            f"http://{HOST}:{log_port}/log-read?topic=config&part=0&from=0", process
        )
        _publish_catalogue(log_port, ["http://127.0.0.1:9"])
        entry = stack.enter_context(run_with_settings("entry_command", settings))
        wait_for(f"http://{HOST}:{entry_port}/readyz", entry)
        memories_mb = [memory_mb(entry.pid)]
        for _ in range(n_rounds):
            asyncio.run(send_round(entry_port, n_requests))
            memories_mb.append(memory_mb(entry.pid))
    return {
        "requests_per_round": n_requests,
        "memory_mb": [round(value_mb, 1) for value_mb in memories_mb],
    }


async def send_round(port: int, n_requests: int) -> None:
    """Send invalid requests of all kinds in turn."""
    url = f"http://{HOST}:{port}"
    valid_headers = {"Authorization": f"Bearer {KEY}"}
    invalid_requests = [
        (CHAT, valid_headers, b"{"),
        (CHAT, {"Authorization": "Bearer no"}, b"{}"),
        (CHAT, valid_headers, b'{"model":"none","messages":[{"role":"user"}]}'),
        ("/services/none/x", valid_headers, b"{}"),
        (CHAT, valid_headers, b"x" * OVERSIZED_BODY_BYTES),
    ]
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with aiohttp.ClientSession() as session:

        async def send(number: int) -> None:
            async with semaphore:
                if number % 10 == 0:
                    await abort_upload(port)
                    return
                path, headers, body = invalid_requests[number % len(invalid_requests)]
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.post(
                        url + path, data=body, headers=headers
                    ) as response:
                        await response.read()

        await asyncio.gather(*(send(number) for number in range(n_requests)))


async def abort_upload(port: int) -> None:
    """Start an upload and close the connection before its end."""
    _, writer = await asyncio.open_connection(HOST, port)
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n"
    )
    writer.write(head.encode() + b"{" * 5000)
    await writer.drain()
    writer.close()


if __name__ == "__main__":
    main()
