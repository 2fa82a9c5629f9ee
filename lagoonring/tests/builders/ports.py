"""Free TCP ports for tests and benchmarks."""

from __future__ import annotations

import contextlib
import random
import socket

HOST = "127.0.0.1"
PORT_FIRST = 10_000
PORT_LAST = 32_000
PORTS = random.SystemRandom()


def free_ports(n_ports: int) -> list[int]:
    """Return ports that were free a moment ago.

    They are below the range from which the system takes the ports of outgoing
    connections, so that none of those takes them meanwhile.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < n_ports:
            port = PORTS.randrange(PORT_FIRST, PORT_LAST)
            one = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                one.bind((HOST, port))
                ports.append(port)
    return ports
