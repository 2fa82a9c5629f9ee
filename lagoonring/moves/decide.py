"""The next phase of a move, as a function of what is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.moves.messages import MoveRecord
from lagoonring.moves.schedule import (
    DeadlineTooNearError,
    least_time_s,
    plan_steps,
    ramp_per_trial,
    reserve_s,
)

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import Move
    from lagoonring.moves.messages import Phase
    from lagoonring.moves.options import MovesOptions

SLACK_MOST = 0.2


@attrs.frozen(kw_only=True)
class Facts:
    """What the holder knows when it decides.

    Attributes
    ----------
    now_s : float
        Epoch seconds.
    entry_version : str
        Version of the entry in the catalogue; empty if the entry is gone.
    is_ordered : bool
        Whether the catalogue still orders the move.
    finding : str
        The verdict on the new version; empty if there is none.
    n_new : int
        Results of the new version that the comparison has seen.
    is_next_loaded : bool
        Whether the endpoints needed for the next share hold the new version.
    is_fenced : bool
        Whether no edit of an earlier holder can set the new version any more.
    is_cleared : bool
        Whether no endpoint holds the version that is given up.
    """

    now_s: float
    entry_version: str
    is_ordered: bool = True
    finding: str = ""
    n_new: int = 0
    is_next_loaded: bool = False
    is_fenced: bool = False
    is_cleared: bool = False


def start_move(
    key: str,
    name: str,
    move: Move,
    *,
    entry_version: str,
    now_s: float,
    other: MoveRecord | None,
    options: MovesOptions,
) -> MoveRecord:
    """Return the first record of an ordered move: loading or refused."""
    from_version = move.from_version or entry_version
    record = MoveRecord(
        key=key,
        name=name,
        entry=move.entry,
        from_version=from_version,
        to_version=move.to_version,
        deadline_s=move.deadline_s,
        phase="loading",
        since_s=now_s,
        reason=f"ordered by {move.ordered_by or 'an operator'}",
    )
    reason = _find_refusal(record, move, entry_version, now_s, other, options)
    if reason:
        return attrs.evolve(record, phase="refused", reason=reason)
    return record


def decide(record: MoveRecord, facts: Facts, options: MovesOptions) -> MoveRecord:
    """Return the record that should be in force; the same one if it is."""
    if record.is_done:
        return record
    if record.is_final:
        return _decide_cleaning(record, facts, options)
    if record.phase == "undoing":
        return _decide_undoing(record, facts, options)
    reason = _find_undo(record, facts, options)
    if reason:
        return _enter(record, "undoing", facts, share=0.0, step=0, reason=reason)
    if record.phase == "loading":
        return _decide_loading(record, facts, options)
    if record.phase == "finishing":
        return _decide_finishing(record, facts, options)
    return _decide_step(record, facts, options)


def next_share(record: MoveRecord, options: MovesOptions) -> float:
    """Return the share for which endpoints should be loaded now."""
    if record.phase == "loading":
        return options.trial_share
    shares = (options.trial_share, *options.ramp)
    if record.phase in ("trial", "ramp") and record.step + 1 < len(shares):
        return shares[record.step + 1]
    return 1.0


def hold_s(record: MoveRecord, n_new: int, options: MovesOptions) -> float:
    """Return for how long the step in force is held, in seconds.

    The trial lasts as planned when it began, or longer while it has seen too
    few results; a step of the ramp is in proportion to it. Both are shortened
    where an outage or a change of holder has used up time.

    Parameters
    ----------
    record : MoveRecord
        A move in trial or ramp.
    n_new : int
        Results of the new version so far.
    options : MovesOptions
        The shares and limits.
    """
    per_trial_s = ramp_per_trial(options)
    n_steps_left = len(options.ramp) + 1 - record.step
    left_s = record.deadline_s - reserve_s(options) - record.since_s
    if record.step > 0:
        planned_s = record.trial_s * per_trial_s
        return max(options.tick_s, min(planned_s, left_s / n_steps_left))
    is_enough = n_new >= options.n_trial
    slack_s = min(options.slack_s, SLACK_MOST * left_s)
    most_s = (left_s - slack_s) / (1 + len(options.ramp) * per_trial_s)
    return max(options.tick_s, min(options.trial_s, most_s) if is_enough else most_s)


def _find_refusal(
    record: MoveRecord,
    move: Move,
    entry_version: str,
    now_s: float,
    other: MoveRecord | None,
    options: MovesOptions,
) -> str:
    if move.cancelled:
        return "cancelled before it began"
    if other is not None:
        return f"move {other.name} of entry {move.entry} is in progress"
    if not entry_version:
        return f"no entry {move.entry}"
    if entry_version == move.to_version:
        return f"entry {move.entry} has version {entry_version} already"
    if record.from_version != entry_version:
        return f"entry {move.entry} has version {entry_version}"
    least_s = least_time_s(options)
    if move.deadline_s - now_s < least_s:
        left_s = move.deadline_s - now_s
        return f"{left_s:.0f} s left, at least {least_s:.0f} s needed"
    return ""


def _find_undo(record: MoveRecord, facts: Facts, options: MovesOptions) -> str:
    if facts.finding:
        return facts.finding
    if not facts.is_ordered:
        return "cancelled by an operator"
    known = (record.from_version, record.to_version)
    if facts.entry_version not in known:
        return f"version set to {facts.entry_version or 'none'} meanwhile"
    if facts.entry_version == record.to_version:
        return "" if record.may_be_edited else "version set by an operator meanwhile"
    latest_s = record.deadline_s - reserve_s(options)
    if record.phase == "finishing":
        latest_s = record.deadline_s - options.order_s
    if facts.now_s > latest_s:
        return f"not finished in time, still {record.phase}"
    return ""


def _decide_loading(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    if not facts.is_next_loaded:
        return record
    try:
        plan_steps(record.deadline_s - facts.now_s, options)
    except DeadlineTooNearError as error:
        reason = f"loaded too late: {error.message}"
        return _enter(record, "undoing", facts, share=0.0, step=0, reason=reason)
    started = attrs.evolve(record, trial_started_s=facts.now_s)
    share = options.trial_share
    return _enter(started, "trial", facts, share=share, step=0, reason="loaded")


def _decide_step(record: MoveRecord, facts: Facts, options: MovesOptions) -> MoveRecord:
    held_s = facts.now_s - record.since_s
    if held_s < hold_s(record, facts.n_new, options) or not facts.is_next_loaded:
        return record
    if record.phase == "trial":
        record = attrs.evolve(record, trial_s=held_s)
    step = record.step + 1
    if step <= len(options.ramp):
        share = options.ramp[step - 1]
        return _enter(record, "ramp", facts, share=share, step=step, reason="no fault")
    share = record.share
    record = attrs.evolve(record, may_be_edited=True)
    return _enter(record, "finishing", facts, share=share, step=0, reason="no fault")


def _decide_finishing(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    if facts.entry_version != record.to_version:
        return record
    return _enter(record, "finished", facts, share=1.0, step=0, reason="no fault")


def _decide_undoing(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    is_in_force = facts.entry_version == record.to_version
    if record.may_be_edited and (is_in_force or not facts.is_fenced):
        return record
    reason = record.reason
    return _enter(record, "undone", facts, share=0.0, step=0, reason=reason)


def _decide_cleaning(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    cleaned_s = record.since_s + options.drain_s
    is_late = facts.now_s > cleaned_s + options.clean_limit_s
    if facts.now_s < cleaned_s or not (facts.is_cleared or is_late):
        return record
    return attrs.evolve(record, step=1)


def _enter(
    record: MoveRecord,
    phase: Phase,
    facts: Facts,
    *,
    share: float,
    step: int,
    reason: str,
) -> MoveRecord:
    return attrs.evolve(
        record,
        phase=phase,
        share=share,
        step=step,
        since_s=facts.now_s,
        reason=reason,
    )
