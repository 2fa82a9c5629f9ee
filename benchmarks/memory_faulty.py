"""Memory of one entry process under faulty requests: it must not grow.

Sends rounds of bad JSON, wrong keys, unknown entries, oversized bodies and
uploads that break off, and prints the resident memory after each round.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from typing import Any

import aiohttp
from processes import HOST, free_ports, memory_mb, run_with_settings, wait_for
from relay_cost import KEY, _entry, _publish

CHAT = "/v1/chat/completions"
N_AT_ONCE = 20
LARGE_BYTES = 2 << 20


def main() -> None:
    """Run all rounds and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=6)
    parser.add_argument("--requests", type=int, default=2000)
    options = parser.parse_args()
    print(json.dumps(measure(options.rounds, options.requests), indent=2))


def measure(n_rounds: int, n_requests: int) -> dict[str, Any]:
    """Return the memory after each round of faulty requests."""
    entry_port, peer_port, log_port = free_ports(3)
    log = {"standins": [{"kind": "log", "port": log_port}]}
    settings = _entry(entry_port, peer_port, log_port)
    with contextlib.ExitStack() as stack:
        process = stack.enter_context(run_with_settings("standin_command", log))
        wait_for(
            f"http://{HOST}:{log_port}/log-read?topic=config&part=0&from=0", process
        )
        _publish(log_port, ["http://127.0.0.1:9"])
        entry = stack.enter_context(run_with_settings("entry_command", settings))
        wait_for(f"http://{HOST}:{entry_port}/readyz", entry)
        sizes = [memory_mb(entry.pid)]
        for _ in range(n_rounds):
            asyncio.run(send_round(entry_port, n_requests))
            sizes.append(memory_mb(entry.pid))
    return {
        "requests_per_round": n_requests,
        "memory_mb": [round(size, 1) for size in sizes],
    }


async def send_round(port: int, n_requests: int) -> None:
    """Send faulty requests of all kinds in turn."""
    url = f"http://{HOST}:{port}"
    good = {"Authorization": f"Bearer {KEY}"}
    kinds = [
        (CHAT, good, b"{"),
        (CHAT, {"Authorization": "Bearer no"}, b"{}"),
        (CHAT, good, b'{"model":"none","messages":[{"role":"user"}]}'),
        ("/services/none/x", good, b"{}"),
        (CHAT, good, b"x" * LARGE_BYTES),
    ]
    limit = asyncio.Semaphore(N_AT_ONCE)
    async with aiohttp.ClientSession() as session:

        async def send(number: int) -> None:
            async with limit:
                if number % 10 == 0:
                    await break_off(port)
                    return
                path, headers, body = kinds[number % len(kinds)]
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.post(
                        url + path, data=body, headers=headers
                    ) as answer:
                        await answer.read()

        await asyncio.gather(*(send(number) for number in range(n_requests)))


async def break_off(port: int) -> None:
    """Begin an upload and close the connection in the middle."""
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
