"""Records of the stream ``moves`` and what instances tell each other of moves."""

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
    """What is in force for a move: one phase change, written by the holder.

    Attributes
    ----------
    key : str
        Identifies the order, see :func:`make_key`.
    step : int
        Index of the step of the plan that is in force.
    share : float
        Share of requests on the new version.
    trial_started_s : float
        Epoch seconds at which the trial began; 0 before.
    trial_s : float
        How long the trial lasted; 0 until it has ended.
    since_s : float
        Epoch seconds at which this phase and step began.
    reason : str
        Why the phase changed, for operators.
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
        """Whether it is decided which version serves."""
        return self.phase in FINAL_PHASES

    @property
    def is_done(self) -> bool:
        """Whether the version given up has been unloaded, too."""
        return self.phase == "refused" or (self.is_final and self.step > 0)


@attrs.frozen(kw_only=True)
class MoveNotice:
    """A row of kind ``verdict``: a move's state, or the verdict on a version.

    ``offset`` is the offset of the record that is told, so that the newest
    wins; ``finding`` is set in a verdict.
    """

    record: MoveRecord
    offset: int = -1
    finding: str = ""


def make_key(name: str, move: Move) -> str:
    """Return what identifies an order: another order by the same name differs."""
    text = f"{name}\x00{move.entry}\x00{move.to_version}\x00{move.deadline_s!r}"
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).hexdigest()
    return f"{name}-{digest}"
