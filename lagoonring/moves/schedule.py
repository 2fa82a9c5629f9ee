"""The shares of a move over time, fitted to its deadline.

The trial takes most of the time and each later share is held just so long that
the new version never has had more than ``exposure`` of all requests since the
trial began. Whenever the fault shows, few requests have then met it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError

if TYPE_CHECKING:
    from lagoonring.moves.options import MovesOptions


class DeadlineTooNearError(LagoonringError, TimeoutError):
    """No time is left for loading, trial, ramp and a possible undo."""

    code = "deadline_too_near"
    status = 409


@attrs.frozen(kw_only=True)
class Step:
    """A share of requests and how long it is held, in seconds."""

    share: float
    hold_s: float


def plan_steps(time_left_s: float, options: MovesOptions) -> list[Step]:
    """Return the steps of trial and ramp that fit in the time left.

    Parameters
    ----------
    time_left_s : float
        Seconds until the deadline, the move being loaded.
    options : MovesOptions
        ``undo_s`` and ``order_s`` are kept free at the end.

    Raises
    ------
    DeadlineTooNearError
        If less than ``tick_s`` per step is left.
    """
    usable_s = time_left_s - reserve_s(options)
    per_trial_s = ramp_per_trial(options)
    n_steps = len(options.ramp)
    trial_s = min(options.trial_s, usable_s / (1 + n_steps * per_trial_s))
    if trial_s * per_trial_s < options.tick_s:
        raise DeadlineTooNearError(
            f"Got {time_left_s:.1f} s before the deadline, expected at least "
            f"{least_time_s(options):.1f} s.",
            remedy="Order the move again with a later deadline.",
        )
    hold_s = trial_s * per_trial_s
    ramp = [Step(share=share, hold_s=hold_s) for share in options.ramp]
    return [Step(share=options.trial_share, hold_s=trial_s), *ramp]


def reserve_s(options: MovesOptions) -> float:
    """Return the seconds before the deadline that are kept for an undo."""
    return options.undo_s + options.order_s


def least_time_s(options: MovesOptions) -> float:
    """Return the shortest time from loaded to deadline that can be planned."""
    per_trial_s = ramp_per_trial(options)
    trial_s = options.tick_s / per_trial_s
    return reserve_s(options) + trial_s * (1 + len(options.ramp) * per_trial_s)


def share_at(steps: list[Step], elapsed_s: float) -> float | None:
    """Return the share in force, or None when all steps have passed."""
    for step in steps:
        if elapsed_s < step.hold_s:
            return step.share
        elapsed_s -= step.hold_s
    return None


def ramp_per_trial(options: MovesOptions) -> float:
    """Return the hold of a ramp step for each second of trial."""
    excess = sum(options.ramp) - options.exposure * len(options.ramp)
    room = max(options.exposure - options.trial_share, 1e-6)
    return min(1.0, room / excess) if excess > 0 else 1.0
