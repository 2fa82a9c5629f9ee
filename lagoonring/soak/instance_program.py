"""Runs an instance whose connections come from its own address.

On loopback all connections would come from the same address, so that no fault could
tell the paths of one instance from those of another. Run as a file by the Python of
the build to test; it uses nothing else of the soak's build.
"""

from __future__ import annotations

import socket
import sys
from typing import Any

LOOPBACK = "127.0.0.1"  # where a soak's endpoints and store listen
UNBOUND = ("0.0.0.0", 0)
# Leaves the choice of the port to `connect`, where one may serve many connections.
BIND_ADDRESS_NO_PORT = 24


def use_source(ip: str) -> None:
    """Let all connections of this process to endpoints and store come from an address.

    Parameters
    ----------
    ip : str
        An address on loopback.
    """

    def bind_first(event: str, arguments: tuple[Any, ...]) -> None:
        if event != "socket.connect":
            return
        sock, address = arguments
        if sock.family != socket.AF_INET or address[0] != LOOPBACK:
            return
        if sock.getsockname() == UNBOUND:
            sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
            sock.bind((ip, 0))

    sys.addaudithook(bind_first)


if __name__ == "__main__":
    from lagoonring.cli.instance_command import main

    use_source(sys.argv[1])
    main(sys.argv[2:])
