"""Answers that end with their connection, for callers that know no chunks.

Such a caller takes a closed connection for the end of the answer, whoever closes it.
The connection is therefore set to be reset from the begin of the answer on, and to be
closed once the answer is complete.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

CHUNKED_SINCE = (1, 1)
RESET = struct.pack("ii", 1, 0)  # linger for no time
CLOSE = struct.pack("ii", 0, 0)


def begin_unframed(request: web.BaseRequest) -> None:
    """Reset the caller's connection whenever it ends, unless chunks frame the answer.

    Call it before an answer without a length begins.
    """
    _set_linger(request, RESET)


def end_unframed(request: web.BaseRequest) -> None:
    """Close the caller's connection regularly, since the answer is complete."""
    _set_linger(request, CLOSE)


def _set_linger(request: web.BaseRequest, linger: bytes) -> None:
    if request.version >= CHUNKED_SINCE or request.transport is None:
        return
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
