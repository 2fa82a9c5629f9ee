"""Schedule of a move's shares, fitted to its deadline.

The trial takes most of the time. Each later share is held only as long as the new
version's part of all requests since the start of the trial stays within
``exposure``. This bounds the requests affected by a fault, whenever it is detected.
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
    """A share of requests on the new version, held for ``hold_s`` seconds."""

    share: float
    hold_s: float


def plan_steps(time_left_s: float, options: MovesOptions) -> list[Step]:
    """Return the steps of trial and ramp that fit in the time left.

    Parameters
    ----------
    time_left_s : float
        Seconds until the deadline once the new version is loaded.
    options : MovesOptions
        ``undo_s`` and ``order_s`` are reserved before the deadline.

    Raises
    ------
    DeadlineTooNearError
        If less than ``tick_s`` per step is left.
    """
    usable_s = time_left_s - reserve_s(options)
    hold_ratio = ramp_hold_ratio(options)
    n_steps = len(options.ramp)
    trial_s = min(options.trial_s, usable_s / (1 + n_steps * hold_ratio))
    if trial_s * hold_ratio < options.tick_s:
        raise DeadlineTooNearError(
            f"Got {time_left_s:.1f} s before the deadline, expected at least "
            f"{least_time_s(options):.1f} s.",
            remedy="Order the move again with a later deadline.",
        )
    hold_s = trial_s * hold_ratio
    ramp = [Step(share=share, hold_s=hold_s) for share in options.ramp]
    return [Step(share=options.trial_share, hold_s=trial_s), *ramp]


def reserve_s(options: MovesOptions) -> float:
    """Return the time, in seconds, reserved before the deadline for an undo."""
    return options.undo_s + options.order_s


def least_time_s(options: MovesOptions) -> float:
    """Return the minimum time, in seconds, from loading's end to the deadline."""
    hold_ratio = ramp_hold_ratio(options)
    trial_s = options.tick_s / hold_ratio
    return reserve_s(options) + trial_s * (1 + len(options.ramp) * hold_ratio)


def share_at(steps: list[Step], elapsed_s: float) -> float | None:
    """Return the current share, or None after all steps have passed."""
    for step in steps:
        if elapsed_s < step.hold_s:
            return step.share
        elapsed_s -= step.hold_s
    return None


def ramp_hold_ratio(options: MovesOptions) -> float:
    """Return the hold time of a ramp step as a fraction of the trial's."""
    excess = sum(options.ramp) - options.exposure * len(options.ramp)
    headroom = max(options.exposure - options.trial_share, 1e-6)
    return min(1.0, headroom / excess) if excess > 0 else 1.0
