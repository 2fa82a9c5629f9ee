"""Moves of a service to another version: orders, states and the share of requests."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import xxhash

from lagoonring.platform.log import generation_of

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonring.kernel import Clock
    from lagoonring.serving.follower import Follower

MAX_VIEW_AGE_S = 2.0  # without a fresher view the new version gets no requests
N_HASH_VALUES = 1 << 32


class MoveState(enum.Enum):
    """State of a move."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class MoveOrder:
    """An operator's order: a service, its new version and the time allowed.

    ``offset`` is the offset of the order in the store and identifies the move.
    ``written`` is where the order was written last: a store that returned from an
    older copy gets it again. ``is_old`` says that the order existed when this process
    started.
    """

    service: str
    target: str
    duration_s: float
    offset: int = -1
    written: int = -1
    is_old: bool = False

    def is_rewritten_as(self, other: MoveOrder) -> bool:
        """Return whether another order is this one, written again after a return."""
        is_same = (self.target, self.duration_s) == (other.target, other.duration_s)
        return is_same and generation_of(other.written) > generation_of(self.written)

    @property
    def name(self) -> str:
        """The name that identifies the order's move."""
        return f"{self.service}@{self.offset}"


@attrs.frozen(kw_only=True)
class MoveView:
    """State of a move as published by the holder of the lease.

    ``revision`` orders the views of a move: the fencing number of the holder, and
    a counter that the holder increments. The share is in force for ``valid_s`` from
    when the view is received.
    """

    offset: int
    target: str
    state: MoveState
    share: float
    revision: tuple[int, int]
    valid_s: float = MAX_VIEW_AGE_S


@attrs.define
class ReceivedView:
    """A view and the time it was received, on the monotonic clock."""

    view: MoveView
    received_s: float


class MoveGate:
    """Decides on which versions a request may run.

    Parameters
    ----------
    follower : Follower
        Provides the orders in force.
    """

    def __init__(self, follower: Follower, clock: Clock) -> None:
        self.follower = follower
        self.clock = clock
        self.views: dict[str, ReceivedView] = {}

    def update(self, service: str, view: MoveView) -> bool:
        """Apply a received view; return whether it is newer than the known one."""
        known = self.views.get(service)
        now_s = self.clock.monotonic()
        if known is not None:
            current = known.view
            if (view.offset, view.revision) < (current.offset, current.revision):
                return False
            if (view.offset, view.revision) == (current.offset, current.revision):
                return False
            if view.offset == current.offset and _is_final(current.state):
                return False
        self.views[service] = ReceivedView(view, now_s)
        return True

    def state_of(self, order: MoveOrder) -> MoveState:
        """Return the state of an order's move."""
        known = self.views.get(order.service)
        if known is None or known.view.offset != order.offset:
            return MoveState.RUNNING
        return known.view.state

    def running_order(self, service: str) -> MoveOrder | None:
        """Return the order of a service's move, or None if it is not moving."""
        order = self.follower.orders.get(service)
        if order is None or _is_final(self.state_of(order)):
            return None
        return order

    def share_of(self, order: MoveOrder) -> float:
        """Return the share of requests for the new version; 0 without a fresh view."""
        known = self.views.get(order.service)
        if known is None or known.view.offset != order.offset:
            return 0.0
        if self.clock.monotonic() - known.received_s > known.view.valid_s:
            return 0.0
        return known.view.share

    def allowed(
        self, service: str, versions: Collection[str], request_id: str
    ) -> set[str]:
        """Return the present versions on which a request may run."""
        present = set(versions)
        order = self.follower.orders.get(service)
        if order is None:
            return present
        others = present - {order.target}
        target = present & {order.target}
        state = self.state_of(order)
        if state is MoveState.ROLLED_BACK:
            return others
        if state is MoveState.COMPLETED:
            return target or others
        if target and hash_fraction(request_id) < self.share_of(order):
            return target
        return others


def hash_fraction(request_id: str) -> float:
    """Return a number from 0 to 1 that every instance derives from a request's id."""
    return xxhash.xxh32_intdigest(request_id.encode()) / N_HASH_VALUES


def _is_final(state: MoveState) -> bool:
    return state is not MoveState.RUNNING
