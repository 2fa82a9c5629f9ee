"""Membership, gossip and calls between entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.lazy import load_lazily

if TYPE_CHECKING:
    from lagoonring.peers.errors import (
        PeerAnswerLostError,
        PeerCallError,
        PeerUnreachableError,
        RowTooLargeError,
        UnknownKindError,
    )
    from lagoonring.peers.messages import Member, MemberState
    from lagoonring.peers.options import PeersOptions, SeedMember
    from lagoonring.peers.service import PeersService

__all__ = [
    "Member",
    "MemberState",
    "PeerAnswerLostError",
    "PeerCallError",
    "PeerUnreachableError",
    "PeersOptions",
    "PeersService",
    "RowTooLargeError",
    "SeedMember",
    "UnknownKindError",
]

__getattr__ = load_lazily(
    __name__,
    {
        "errors": (
            "PeerAnswerLostError",
            "PeerCallError",
            "PeerUnreachableError",
            "RowTooLargeError",
            "UnknownKindError",
        ),
        "messages": (
            "Member",
            "MemberState",
        ),
        "options": (
            "PeersOptions",
            "SeedMember",
        ),
        "service": ("PeersService",),
    },
)
