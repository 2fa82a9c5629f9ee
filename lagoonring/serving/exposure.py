"""Keeps count of the requests that a new version may have got.

The counts are in the instances' memory and end with their processes, but the limit
holds for the whole move. The holder of the duties therefore records how many requests
it grants to the new version before it lets them go there. A holder that takes the move
over waits for the instances' counts; if some are missing, it assumes that everything
granted was used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.serving.moves import MoveState

if TYPE_CHECKING:
    from collections.abc import Sequence

SETTLE_S = 1.5  # until the counts of all instances have reached a new holder
MIN_GRANT = 16
GRANTS_PER_BUDGET = 4  # fewer records of larger grants lose more of them in a restart


@attrs.frozen(kw_only=True)
class MoveRecord:
    """What a holder records of a move for the holders after it.

    ``n_granted`` requests may have been sent to the new version, of which ``n_counted``
    were counted when the record was written.
    """

    started_s: float
    state: MoveState
    n_granted: int = 0
    n_counted: int = 0

    def encode(self) -> tuple[float, str, int, int]:
        """Return the record in the form that is written."""
        return self.started_s, self.state.value, self.n_granted, self.n_counted


def decode_record(content: bytes | msgspec.Raw) -> MoveRecord:
    """Return a record; those of earlier releases have no grants."""
    values: Sequence = msgspec.json.decode(content)
    started_s, state, *counts = values
    n_granted, n_counted = counts if counts else (0, 0)
    return MoveRecord(
        started_s=started_s,
        state=MoveState(state),
        n_granted=n_granted,
        n_counted=n_counted,
    )


@attrs.define(kw_only=True)
class Exposure:
    """The requests that a move's new version has been granted and has got.

    Attributes
    ----------
    n_lost : int
        Requests that earlier processes may have sent and that nobody counts any more.
    counted_from_s : float
        Time since the order from which on all requests are counted.
    is_settled : bool
        Whether the counts of all instances are known.
    """

    record: MoveRecord
    taken_over_s: float | None = None
    n_lost: int = 0
    counted_from_s: float = 0.0
    is_settled: bool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.is_settled = self.taken_over_s is None

    def settle(self, n_counted: int, elapsed_s: float) -> None:
        """Assess what was lost, once the counts of all instances must be known."""
        if self.taken_over_s is None or self.is_settled:
            return
        if elapsed_s - self.taken_over_s < SETTLE_S:
            return
        self.is_settled = True
        if n_counted < self.record.n_counted:
            self.n_lost = self.record.n_granted - n_counted
            self.counted_from_s = self.taken_over_s

    def next_grant(self, n_counted: int, budget: float) -> MoveRecord | None:
        """Return the record to write before more requests are let through, if any."""
        n_used = n_counted + self.n_lost
        grant = max(MIN_GRANT, int(budget / GRANTS_PER_BUDGET))
        if n_used + grant // 2 < self.record.n_granted:
            return None
        return attrs.evolve(self.record, n_granted=n_used + grant, n_counted=n_counted)

    def grant(self, n_counted: int, n_more: int) -> MoveRecord:
        """Return the record to write before a number of requests is let through."""
        n_granted = max(self.record.n_granted, n_counted + self.n_lost + n_more)
        return attrs.evolve(self.record, n_granted=n_granted, n_counted=n_counted)
