"""Errors raised by leases."""

from __future__ import annotations

from lagoonring.errors import LagoonringError


class LeaseLostError(LagoonringError, RuntimeError):
    """The lease is no longer held; the requested operation had no effect."""

    code = "lease_lost"
    status = 409

    def __init__(self, stream: str, holder: str, epoch: int) -> None:
        super().__init__(
            f"Got epoch {epoch} of lease {stream} held by {holder or 'nobody'}, "
            "expected the own epoch.",
            remedy="Stop the work that the lease guards, and acquire it again.",
        )
