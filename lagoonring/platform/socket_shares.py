"""How many of a process's sockets serve callers and other instances."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

from lagoonring.peers.receive_limits import ReceiveLimits
from lagoonring.requests.accepting import MAX_ACCEPTED

if TYPE_CHECKING:
    from lagoonring.serving.settings import NodeSettings

RESERVED_FDS = 200  # the platform reserves them for files
# Endpoints, other instances and the platform need the rest.
CALLERS_SHARE = 0.75
PEERS_SHARE = 0.5  # used up by peers alone; strangers get a part of it


def max_caller_sockets(max_fds: int, share: float = CALLERS_SHARE) -> int:
    """Return the sockets that serve callers, of all that the process may open.

    The rest of their share is for connections whose requests are refused.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds, soft_limit)
    n_sockets = int((max_fds - RESERVED_FDS) * share)
    return max(n_sockets - n_spare_sockets(n_sockets), 1)


def n_spare_sockets(n_sockets: int) -> int:
    """Return the sockets beside others for connections that are refused or closing."""
    return min(n_sockets // 16 + 1, MAX_ACCEPTED)


def make_receive_limits(settings: NodeSettings) -> ReceiveLimits:
    """Return the limits of the port for messages of other instances."""
    return ReceiveLimits(
        max_connections=max_caller_sockets(settings.max_fds, PEERS_SHARE),
        memory_bytes=settings.memory_bytes,
    )
