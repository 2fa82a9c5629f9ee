"""Moves of a service to another version: orders, views and the share of requests."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from lagoonring.kernel import Clock
    from lagoonring.serving.follower import Follower

VIEW_AGE_S = 2.0  # without news of the move nothing more runs on its version
POINTS = 1 << 32


class MoveState(enum.Enum):
    """How a move stands."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen(kw_only=True)
class MoveOrder:
    """An operator's order: a service, its new version and the time allowed.

    ``offset`` is where the order stands in the store; it names the move.
    ``is_old`` says that it stood there when this process started.
    """

    service: str
    target: str
    duration_s: float
    offset: int = -1
    is_old: bool = False


@attrs.frozen(kw_only=True)
class MoveView:
    """How a move stands, as its holder tells.

    ``revision`` orders the views of a move: the fencing number of the holder, and
    a number that the holder counts up.
    """

    offset: int
    target: str
    state: MoveState
    share: float
    revision: tuple[int, int]


@attrs.define
class HeardView:
    """A view and when it was heard, on the monotonic clock."""

    view: MoveView
    heard_s: float


class MoveGate:
    """Tells which versions a request may run on.

    Parameters
    ----------
    follower : Follower
        Has the orders in force.
    """

    def __init__(self, follower: Follower, clock: Clock) -> None:
        self.follower = follower
        self.clock = clock
        self.views: dict[str, HeardView] = {}

    def update(self, service: str, view: MoveView) -> bool:
        """Take in a view; return whether it is news."""
        known = self.views.get(service)
        now_s = self.clock.monotonic()
        if known is not None:
            before = known.view
            if (view.offset, view.revision) < (before.offset, before.revision):
                return False
            if (view.offset, view.revision) == (before.offset, before.revision):
                return False
            if view.offset == before.offset and _is_final(before.state):
                return False
        self.views[service] = HeardView(view, now_s)
        return True

    def state_of(self, order: MoveOrder) -> MoveState:
        """Return how the move of an order stands."""
        known = self.views.get(order.service)
        if known is None or known.view.offset != order.offset:
            return MoveState.RUNNING
        return known.view.state

    def share_of(self, order: MoveOrder) -> float:
        """Return the share of requests for the new version; 0 without fresh news."""
        known = self.views.get(order.service)
        if known is None or known.view.offset != order.offset:
            return 0.0
        if self.clock.monotonic() - known.heard_s > VIEW_AGE_S:
            return 0.0
        return known.view.share

    def allowed(
        self, service: str, versions: Collection[str], request_id: str
    ) -> set[str]:
        """Return those of the versions present that a request may run on."""
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
        if target and point_of(request_id) < self.share_of(order):
            return target
        return others


def point_of(request_id: str) -> float:
    """Return a number from 0 to 1 that is the same for a request everywhere."""
    return xxhash.xxh32_intdigest(request_id.encode()) / POINTS


def _is_final(state: MoveState) -> bool:
    return state is not MoveState.RUNNING
