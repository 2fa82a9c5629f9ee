"""Measures processor time per message of pynng patterns, both ends in one process.

Compares the patterns that could link entry instances, read with pynng's coroutines or
with non-blocking reads when the socket's descriptor is readable, and measures the
memory of many links. Prints JSON; times are microseconds of processor time, including
the threads of the library.

    python benchmarks/peers_patterns.py
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING

import pynng

if TYPE_CHECKING:
    from collections.abc import Callable

    Connect = Callable[[], tuple[pynng.Socket, pynng.Socket]]

MESSAGE = b"x" * 200
SETTLE_S = 0.3
PAGE_BYTES = 4096


def make_connector(sender_type: type, receiver_type: type) -> Connect:
    """Return a function that makes a connected pair of sockets."""

    def connect() -> tuple[pynng.Socket, pynng.Socket]:
        receiver = receiver_type(recv_buffer_size=64)
        listener = receiver.listen("tcp://127.0.0.1:0")
        sender = sender_type(send_buffer_size=16)
        sender.dial(f"tcp://{listener.local_address}", block=True)
        return sender, receiver

    return connect


async def measure_coroutines(connect: Connect, n_messages: int) -> float:
    """Send with ``asend`` and receive with ``arecv``."""
    sender, receiver = connect()
    await asyncio.sleep(SETTLE_S)
    start_s = time.process_time()
    for _ in range(n_messages):
        await sender.asend(MESSAGE)
        await receiver.arecv()
    used_s = time.process_time() - start_s
    sender.close()
    receiver.close()
    return used_s / n_messages * 1e6


async def measure_descriptor(connect: Connect, n_messages: int) -> float:
    """Send and receive without blocking, woken by the receive descriptor."""
    sender, receiver = connect()
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    drained = asyncio.Event()
    n_read = 0

    def read() -> None:
        nonlocal n_read
        try:
            while True:
                receiver.recv(block=False)
                n_read += 1
        except pynng.TryAgain:
            drained.set()

    descriptor = receiver.recv_fd
    loop.add_reader(descriptor, read)
    start_s = time.process_time()
    for n_sent in range(1, n_messages + 1):
        sender.send(MESSAGE, block=False)
        while n_read < n_sent:
            drained.clear()
            await drained.wait()
    used_s = time.process_time() - start_s
    loop.remove_reader(descriptor)
    sender.close()
    receiver.close()
    return used_s / n_messages * 1e6


async def measure_contexts(connect: Connect, n_messages: int) -> float:
    """Send requests and replies through contexts; each counts as one message."""
    requester, replier = connect()
    await asyncio.sleep(SETTLE_S)
    start_s = time.process_time()
    for _ in range(n_messages // 2):
        with (
            requester.new_context() as request_context,
            replier.new_context() as reply_context,
        ):
            await request_context.asend(MESSAGE)
            await reply_context.arecv()
            await reply_context.asend(MESSAGE)
            await request_context.arecv()
    used_s = time.process_time() - start_s
    requester.close()
    replier.close()
    return used_s / n_messages * 1e6


async def measure_links(n_links: int) -> dict:
    """Return the memory used by many links to one socket, both ends included."""
    initial_mb = resident_mb()
    receiver = pynng.Pull0()
    listener = receiver.listen("tcp://127.0.0.1:0")
    links = [pynng.Push0() for _ in range(n_links)]
    for link in links:
        link.dial(f"tcp://{listener.local_address}", block=True)
    await asyncio.sleep(SETTLE_S)
    report = {"n_links": n_links, "memory_mb": resident_mb() - initial_mb}
    for link in links:
        link.close()
    receiver.close()
    return report


def resident_mb() -> float:
    """Return the resident memory of this process."""
    n_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return n_pages * PAGE_BYTES / 1e6


async def measure_all(n_messages: int) -> dict:
    """Measure every pattern."""
    pair = make_connector(pynng.Pair0, pynng.Pair0)
    push = make_connector(pynng.Push0, pynng.Pull0)
    request = make_connector(pynng.Req0, pynng.Rep0)
    return {
        "pair_coroutines_us": await measure_coroutines(pair, n_messages),
        "push_coroutines_us": await measure_coroutines(push, n_messages),
        "request_contexts_us": await measure_contexts(request, n_messages),
        "pair_descriptor_us": await measure_descriptor(pair, n_messages),
        "push_descriptor_us": await measure_descriptor(push, n_messages),
        "links": await measure_links(90),
    }


def main() -> None:
    """Parse arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--n-messages", type=int, default=3000)
    arguments = parser.parse_args()
    report = asyncio.run(measure_all(arguments.n_messages))
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
