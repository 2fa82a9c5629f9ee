"""Decides how a move goes on, over plain data.

Answers a version that fails or slows down on some of its requests, at once or
later: it gets a bounded number of requests until the move is nearly due, and none
once the comparison with the version in force speaks against it.
"""

from __future__ import annotations

import enum

import attrs

ALLOWANCE_SHARE = 0.6  # of the exposure; requests are on their way while counts are
SHARE_MOST = 0.3  # leaves most requests for the comparison's other side
SHARE_LEAST = 0.02
MOVE_ALL_S = 2.6  # before the time limit: for requests on the old version to end
COMPLETE_S = 1.3  # before the time limit: for the store to take the status
N_RESULTS_LEAST = 8  # of the new version; fewer show nothing


class Step(enum.Enum):
    """What to do with a move now."""

    TRY = "try"
    MOVE_ALL = "move_all"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@attrs.frozen(kw_only=True)
class Progress:
    """How a move stands; times in seconds since the order.

    ``n_all`` and ``n_new`` are requests since the order, of all versions and of
    the new one; ``is_condemned`` is what the comparison says.
    """

    elapsed_s: float
    duration_s: float
    n_all: int
    n_new: int
    n_old_running: int
    is_condemned: bool
    is_target_present: bool


def decide(progress: Progress) -> Step:
    """Return the next step of a move."""
    left_s = progress.duration_s - progress.elapsed_s
    if progress.is_condemned:
        return Step.ROLL_BACK
    if left_s > MOVE_ALL_S:
        return Step.TRY
    if not progress.is_target_present or progress.n_new < N_RESULTS_LEAST:
        return Step.TRY if left_s > COMPLETE_S else Step.ROLL_BACK
    if left_s <= COMPLETE_S or not progress.n_old_running:
        return Step.COMPLETE
    return Step.MOVE_ALL


def choose_share(
    progress: Progress, *, exposure_share: float, exposure_slack: float
) -> float:
    """Return the share of requests that tries the new version.

    Spends what the new version may get evenly over the time that is left.
    """
    allowed = exposure_share * progress.n_all + exposure_slack
    n_left = ALLOWANCE_SHARE * allowed - progress.n_new
    if n_left <= 0:
        return 0.0
    left_s = max(progress.duration_s - MOVE_ALL_S - progress.elapsed_s, 1.0)
    rate = progress.n_all / max(progress.elapsed_s, 1.0)
    n_coming = max(rate * left_s, 1.0)
    return min(max(n_left / n_coming, SHARE_LEAST), SHARE_MOST)
