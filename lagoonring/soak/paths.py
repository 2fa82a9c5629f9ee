"""Links to endpoints whose paths from some instances can be lost."""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import TYPE_CHECKING

from lagoonring.standins.link_standin import LinkStandin, reset_connection

if TYPE_CHECKING:
    import asyncio
    from asyncio.trsock import TransportSocket
    from collections import Counter
    from collections.abc import Sequence

    from lagoonring.standins.options import LinkOptions

# Linux: an option of sockets, and instructions of packet filters (linux/filter.h).
ATTACH_FILTER = 26
SOURCE_OFFSET = (-0x100000 + 12) & 0xFFFFFFFF  # of the source in the IP header
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
DROP, KEEP = 0, 0xFFFFFFFF
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("HL")  # number of instructions and their address


class PathLink(LinkStandin):
    """A link that drops the packets with which some hosts open connections.

    Parameters
    ----------
    options : LinkOptions
        Target, control port, delay.
    lost : Counter of str
        How many faults keep each host away; owned by the caller, who calls
        `apply_lost` after each change.
    """

    def __init__(self, options: LinkOptions, lost: Counter[str]) -> None:
        super().__init__(options)
        self.lost = lost

    async def start(self) -> None:
        """Listen; see `LinkStandin.start`."""
        await super().start()
        self.apply_lost()

    def apply_lost(self) -> None:
        """Drop the packets of the hosts that are kept away, and no others."""
        hosts = sorted(host for host, n_faults in self.lost.items() if n_faults > 0)
        if self.listener is not None:
            for sock in self.listener.sockets:
                drop_from(sock, hosts)

    def reset_from(self, host: str) -> None:
        """Reset the connections that a host has opened."""
        for writer in list(self.writers):
            if _peer(writer) == host:
                reset_connection(writer)


def drop_from(sock: socket.socket | TransportSocket, hosts: Sequence[str]) -> None:
    """Let a listening socket drop all packets from some IPv4 addresses."""
    program = [(LOAD_WORD, 0, 0, SOURCE_OFFSET)]
    for n_skipped, host in zip(range(len(hosts), 0, -1), hosts, strict=True):
        (address,) = struct.unpack("!I", socket.inet_aton(host))
        program.append((JUMP_IF_EQUAL, n_skipped, 0, address))
    program += [(RETURN, 0, 0, KEEP), (RETURN, 0, 0, DROP)]
    content = b"".join(INSTRUCTION.pack(*instruction) for instruction in program)
    memory = ctypes.create_string_buffer(content)
    packed = PROGRAM.pack(len(program), ctypes.addressof(memory))
    sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, packed)  # copies the program


def _peer(writer: asyncio.StreamWriter) -> str | None:
    name = writer.get_extra_info("peername")
    return name[0] if name else None
