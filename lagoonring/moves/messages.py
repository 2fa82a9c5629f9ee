"""Records of the stream ``moves`` and the rows that instances exchange on moves."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Literal

import attrs

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import Move

Phase = Literal[
    "loading", "trial", "ramp", "finishing", "undoing", "finished", "undone", "refused"
]
FINAL_PHASES = frozenset({"finished", "undone", "refused"})
KEY_BYTES = 6


@attrs.frozen(kw_only=True)
class MoveRecord:
    """State of a move after a phase change, written by the lease holder.

    Attributes
    ----------
    key : str
        Identifies the order, see :func:`make_key`.
    step : int
        Index of the current step: 0 for the trial, then 1 and up for the ramp; 1
        in a final phase after the clean-up.
    share : float
        Share of requests on the new version.
    trial_started_s : float
        Epoch seconds at which the trial began; 0 before.
    trial_s : float
        Duration of the trial, in seconds; 0 until it has ended.
    since_s : float
        Epoch seconds at which this phase and step began.
    reason : str
        Reason for the phase change, shown to operators.
    may_be_edited : bool
        Whether a holder may have set the entry to the new version.
    """

    key: str
    name: str
    entry: str
    from_version: str
    to_version: str
    deadline_s: float
    phase: Phase
    step: int = 0
    share: float = 0.0
    trial_started_s: float = 0.0
    trial_s: float = 0.0
    since_s: float = 0.0
    reason: str = ""
    holder: str = ""
    may_be_edited: bool = False

    @property
    def is_final(self) -> bool:
        """Return whether the move has been decided for one of the versions."""
        return self.phase in FINAL_PHASES

    @property
    def is_done(self) -> bool:
        """Return whether the clean-up of the discarded version has ended as well."""
        return self.phase == "refused" or (self.is_final and self.step > 0)


@attrs.frozen(kw_only=True)
class MoveNotice:
    """A row of kind ``verdict``: a move's state, or a verdict on its new version.

    ``offset`` is the stream offset of the record; the row with the largest offset
    is in force. ``finding`` is set in verdicts only.
    """

    record: MoveRecord
    offset: int = -1
    finding: str = ""


def make_key(name: str, move: Move) -> str:
    """Return the key of an order, which differs for another order of this name."""
    text = f"{name}\x00{move.entry}\x00{move.to_version}\x00{move.deadline_s!r}"
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()
    return f"{name}-{digest}"
