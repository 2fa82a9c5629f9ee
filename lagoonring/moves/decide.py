"""Decides the next phase of a move as a pure function of the known facts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.moves.messages import MoveRecord
from lagoonring.moves.schedule import (
    DeadlineTooNearError,
    least_time_s,
    plan_steps,
    ramp_hold_ratio,
    reserve_s,
)

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import Move
    from lagoonring.moves.messages import Phase
    from lagoonring.moves.options import MovesOptions

MAX_SLACK_SHARE = 0.2


@attrs.frozen(kw_only=True)
class Facts:
    """Facts from which the lease holder decides the next phase.

    Attributes
    ----------
    now_s : float
        Epoch seconds.
    entry_version : str
        Version of the entry in the catalogue; empty if the entry was removed.
    is_ordered : bool
        Whether the catalogue still contains the order, not cancelled.
    finding : str
        Reason for rejecting the new version; empty if there is none.
    n_new : int
        Number of results of the new version in the comparison.
    is_next_loaded : bool
        Whether the endpoints needed for the next share have loaded the new version.
    is_fenced : bool
        Whether edits of earlier holders can no longer set the new version.
    is_unloaded : bool
        Whether no endpoint still has the discarded version loaded.
    """

    now_s: float
    entry_version: str
    is_ordered: bool = True
    finding: str = ""
    n_new: int = 0
    is_next_loaded: bool = False
    is_fenced: bool = False
    is_unloaded: bool = False


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
    """Return the first record of an ordered move, in phase loading or refused."""
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
    reason = _refusal_reason(record, move, entry_version, now_s, other, options)
    if reason:
        return attrs.evolve(record, phase="refused", reason=reason)
    return record


def decide(record: MoveRecord, facts: Facts, options: MovesOptions) -> MoveRecord:
    """Return the next record, or ``record`` itself if nothing changes."""
    if record.is_done:
        return record
    if record.is_final:
        return _decide_cleanup(record, facts, options)
    if record.phase == "undoing":
        return _decide_undoing(record, facts, options)
    reason = _undo_reason(record, facts, options)
    if reason:
        return _enter_phase(record, "undoing", facts, share=0.0, step=0, reason=reason)
    if record.phase == "loading":
        return _decide_loading(record, facts, options)
    if record.phase == "finishing":
        return _decide_finishing(record, facts, options)
    return _decide_step(record, facts, options)


def next_share(record: MoveRecord, options: MovesOptions) -> float:
    """Return the share that endpoints should now be loaded for."""
    if record.phase == "loading":
        return options.trial_share
    shares = (options.trial_share, *options.ramp)
    if record.phase in ("trial", "ramp") and record.step + 1 < len(shares):
        return shares[record.step + 1]
    return 1.0


def hold_s(record: MoveRecord, n_new: int, options: MovesOptions) -> float:
    """Return how long the current step is held, in seconds.

    The trial lasts for its planned time, or longer while it has too few results.
    The length of a ramp step is proportional to the trial's. Both are shortened if
    an outage or a change of holder has used up time.

    Parameters
    ----------
    record : MoveRecord
        A move in phase trial or ramp.
    n_new : int
        Number of results of the new version so far.
    options : MovesOptions
        Shares and limits.
    """
    hold_ratio = ramp_hold_ratio(options)
    n_steps_left = len(options.ramp) + 1 - record.step
    left_s = record.deadline_s - reserve_s(options) - record.since_s
    if record.step > 0:
        planned_s = record.trial_s * hold_ratio
        return max(options.tick_s, min(planned_s, left_s / n_steps_left))
    has_enough_results = n_new >= options.n_trial
    slack_s = min(options.slack_s, MAX_SLACK_SHARE * left_s)
    max_s = (left_s - slack_s) / (1 + len(options.ramp) * hold_ratio)
    return max(
        options.tick_s, min(options.trial_s, max_s) if has_enough_results else max_s
    )


def _refusal_reason(
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
    min_s = least_time_s(options)
    if move.deadline_s - now_s < min_s:
        left_s = move.deadline_s - now_s
        return f"{left_s:.0f} s left, at least {min_s:.0f} s needed"
    return ""


def _undo_reason(record: MoveRecord, facts: Facts, options: MovesOptions) -> str:
    if facts.finding:
        return facts.finding
    if not facts.is_ordered:
        return "cancelled by an operator"
    move_versions = (record.from_version, record.to_version)
    if facts.entry_version not in move_versions:
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
        return _enter_phase(record, "undoing", facts, share=0.0, step=0, reason=reason)
    started = attrs.evolve(record, trial_started_s=facts.now_s)
    share = options.trial_share
    return _enter_phase(started, "trial", facts, share=share, step=0, reason="loaded")


def _decide_step(record: MoveRecord, facts: Facts, options: MovesOptions) -> MoveRecord:
    held_s = facts.now_s - record.since_s
    if held_s < hold_s(record, facts.n_new, options) or not facts.is_next_loaded:
        return record
    if record.phase == "trial":
        record = attrs.evolve(record, trial_s=held_s)
    step = record.step + 1
    if step <= len(options.ramp):
        share = options.ramp[step - 1]
        return _enter_phase(
            record, "ramp", facts, share=share, step=step, reason="no fault"
        )
    share = record.share
    record = attrs.evolve(record, may_be_edited=True)
    return _enter_phase(
        record, "finishing", facts, share=share, step=0, reason="no fault"
    )


def _decide_finishing(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    if facts.entry_version != record.to_version:
        return record
    return _enter_phase(record, "finished", facts, share=1.0, step=0, reason="no fault")


def _decide_undoing(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    is_in_force = facts.entry_version == record.to_version
    if record.may_be_edited and (is_in_force or not facts.is_fenced):
        return record
    reason = record.reason
    return _enter_phase(record, "undone", facts, share=0.0, step=0, reason=reason)


def _decide_cleanup(
    record: MoveRecord, facts: Facts, options: MovesOptions
) -> MoveRecord:
    drained_s = record.since_s + options.drain_s
    is_late = facts.now_s > drained_s + options.clean_limit_s
    if facts.now_s < drained_s or not (facts.is_unloaded or is_late):
        return record
    return attrs.evolve(record, step=1)


def _enter_phase(
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
