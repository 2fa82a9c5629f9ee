"""Callers that don't behave: a fault in which a few connections stay open."""

from __future__ import annotations

import asyncio
import random
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

from lagoonring.platform import headers as names
from lagoonring.soak.deployment import (
    CALLER_LIMITS,
    CALLER_PORT,
    ORGANISATIONS,
    READY_PORT,
    SOAK_HOST,
)
from lagoonring.soak.routes import LONG, SAFE, UNSAFE, timeout_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from lagoonring.soak.deployment import Instance, SoakDeployment
    from lagoonring.soak.faults import Fault

    MakeHead = Callable[..., bytes]

N_CONNECTIONS = 8
N_SENT_AHEAD = 20
N_UNREAD = 2000
N_CHUNKS = 20_000  # of one byte each
PIECE_BYTES = 4096
RECEIVE_BUFFER_BYTES = 4096
SLOW_PAUSE_S = 0.1
PATHS = (UNSAFE, SAFE, LONG, "/nowhere/")


def unfinished_body(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield a request without the last byte of its body."""
    n_bytes = rng.choice([2, 2000, CALLER_LIMITS.n_body_bytes])
    yield make_head(f"Content-Length: {n_bytes}")
    yield b"a" * (n_bytes - 1)


def unfinished_pieces(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield the same in small pieces."""
    n_bytes = CALLER_LIMITS.n_body_bytes // 4
    yield make_head(f"Content-Length: {n_bytes}")
    for at in range(0, n_bytes - 1, PIECE_BYTES):
        yield b"a" * min(PIECE_BYTES, n_bytes - 1 - at)


def one_byte_chunks(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield a body in chunks of one byte, without its end."""
    yield make_head("Transfer-Encoding: chunked")
    for _ in range(N_CHUNKS // 100):
        yield b"1\r\na\r\n" * 100


def endless_trailers(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield a body that ends with trailers without end."""
    yield make_head("Transfer-Encoding: chunked") + b"1\r\na\r\n0\r\n"
    for _ in range(N_CHUNKS // 100):
        yield b"a:b\r\n" * 100


def body_over_the_limit(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield twice the bytes that a body may have."""
    n_bytes = 2 * CALLER_LIMITS.n_body_bytes
    yield make_head(f"Content-Length: {8 * n_bytes}")
    for _ in range(0, n_bytes, PIECE_BYTES * 16):
        yield b"a" * PIECE_BYTES * 16


def many_fields(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield a head with as many short fields as fit."""
    n_fields = CALLER_LIMITS.n_header_bytes // 5 - 100
    yield make_head(*["a:b"] * n_fields)


def sent_ahead(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield some requests at once."""
    yield b"".join(make_head() for _ in range(N_SENT_AHEAD))


def unread_answers(make_head: MakeHead, rng: random.Random) -> Iterator[bytes]:
    """Yield many requests for short answers."""
    for _ in range(N_UNREAD):
        yield make_head(path="/nowhere/")


SHAPES = (
    unfinished_body,
    unfinished_pieces,
    one_byte_chunks,
    endless_trailers,
    body_over_the_limit,
    many_fields,
    sent_ahead,
    unread_answers,
)


def is_framing(line: str) -> bool:
    """Return whether a line of a head announces a body; none is sent whole."""
    return line.startswith(("Content-Length:", "Transfer-Encoding:"))


def slowed(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the bytes of the pieces one by one."""
    for piece in pieces:
        for at in range(len(piece)):
            yield piece[at : at + 1]


async def misbehave(
    deployment: SoakDeployment, instance: Instance, for_s: float, rng: random.Random
) -> None:
    """Send requests of a random shape on one connection, and read no answer."""
    port = rng.choice([CALLER_PORT, CALLER_PORT, CALLER_PORT, READY_PORT])
    path, key = rng.choice(PATHS), rng.choice([*ORGANISATIONS.values(), "nobody's"])

    def make_head(*lines: str, path: str = path) -> bytes:
        request_id = f"{rng.getrandbits(64):016x}"
        if key in ORGANISATIONS.values() and not any(map(is_framing, lines)):
            deployment.misbehaving_ids.add(request_id)
        method = "POST" if lines else "GET"
        head = [
            f"{method} {path}{request_id} HTTP/1.1",
            f"Host: {SOAK_HOST}",
            f"{names.REQUEST_ID}: {request_id}",
            f"{names.DEADLINE}: {timeout_s(path) * 1000:.0f}",
            f"Authorization: Token {key}",
        ]
        return "\r\n".join([*head, *lines, "", ""]).encode()

    pieces = rng.choice(SHAPES)(make_head, rng)
    is_slow = rng.random() < 0.2
    with suppress(OSError):  # a time-out as well
        async with asyncio.timeout(for_s):
            writer = await _connect(instance.ip, port)
            try:
                for piece in slowed(pieces) if is_slow else pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(SLOW_PAUSE_S if is_slow else 0)
                await asyncio.sleep(for_s)
            finally:
                writer.transport.abort()


async def _connect(host: str, port: int) -> asyncio.StreamWriter:
    """Connect with small buffers for what is received."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, port))
    except BaseException:
        sock.close()
        raise
    _, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)
    return writer


async def misbehaving_callers(deployment: SoakDeployment, fault: Fault) -> None:
    """Let a small crowd misbehave at one instance."""
    rng = random.Random(fault.pick)
    instance = deployment.instances[fault.pick % len(deployment.instances)]
    await asyncio.gather(
        *(
            misbehave(
                deployment, instance, fault.for_s, random.Random(rng.getrandbits(64))
            )
            for _ in range(N_CONNECTIONS)
        )
    )
