"""The routes of a soak, by path prefix, and their time limits."""

from __future__ import annotations

TIMEOUT_S = 3.0  # as configured for the routes
LONG_TIMEOUT_S = 6.0
RESUMABLE, UNSAFE, SAFE = "/stream/", "/unsafe/", "/safe/"
# Streams of some seconds: those that another endpoint may resume, and others.
LONG, LIVE = "/long/", "/live/"
STREAMS = (RESUMABLE, LONG, LIVE)
LONG_STREAMS = (LONG, LIVE)


def timeout_s(path: str) -> float:
    """Return the timeout of the route of a path, in seconds."""
    return LONG_TIMEOUT_S if path.startswith(LONG_STREAMS) else TIMEOUT_S
