"""Free TCP ports for tests and benchmarks."""

from __future__ import annotations

import contextlib
import random
import socket

HOST = "127.0.0.1"
PORT_FIRST = 10_000
PORT_LAST = 32_000
PORT_RNG = random.SystemRandom()


def free_ports(n_ports: int) -> list[int]:
    """Return ports that were free when they were checked.

    They are below the range that the system uses for outgoing connections, so that no
    outgoing connection can occupy them in the meantime.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < n_ports:
            port = PORT_RNG.randrange(PORT_FIRST, PORT_LAST)
            candidate = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                candidate.bind((HOST, port))
                ports.append(port)
    return ports
