"""Check that planned work on an instance loses no request."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonring.soak.deployment import BOUNDS
from lagoonring.soak.endpoints import RunEnd
from lagoonring.soak.faults import SETTLE_S
from lagoonring.soak.messages import PlannedWork, WorkKind
from lagoonring.soak.routes import STREAMS, timeout_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from lagoonring.soak.connection import SentRequest
    from lagoonring.soak.endpoints import Run
    from lagoonring.soak.guarantees import SoakRecord

# The platform's rules for requests around planned work.
LOSS_SLACK_S = 0.5  # a request without an end by then counts as read
AFTER_GRACE_S = 1.0
LATEST_LONG_S = 3.0  # after SIGTERM, to send a request that may be cut at the end
AFTER_CONFIG_S = 1.0
MAX_CUT_RATIO = 3.0  # of cuts beside a change of configuration to other cuts
MAX_USED_SHARE = 0.7  # of a request's time, beside a change of configuration


def find_lost(record: SoakRecord, runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield a description of each request that planned work has lost.

    Lost are requests that an endpoint ran or that the instance must have read, and
    whose connection ended without a complete answer. That the platform allows a cut
    in the last sixth of the grace period if the request was sent within 3 s of SIGTERM
    needs no check, since such a request has reached its timeout by then.
    """
    beside_changes: dict[str, list[str]] = defaultdict(list)
    for sent in record.requests:
        ran = runs.get(sent.request_id, [])
        if not _is_cut(sent, ran) or _is_excused(record, sent, ran):
            continue
        work = _find_work(record.planned_work, sent)
        if work is None or _is_cut_at_grace_end(work, sent, ran):
            continue
        detail = _describe(work, sent, ran)
        if work.kind is not WorkKind.CHANGE:
            yield detail
        elif sent.ended_s - sent.sent_s < MAX_USED_SHARE * timeout_s(sent.path):
            beside_changes[sent.instance].append(detail)
    for instance, details in beside_changes.items():
        if _cuts_more_beside_changes(record, instance, runs):
            yield from details


def _is_cut(sent: SentRequest, ran: list[Run]) -> bool:
    """Return whether the connection ended without an answer to a request read."""
    if sent.is_complete or sent.written_s is None:
        return False
    return bool(ran) or sent.ended_s - sent.written_s > LOSS_SLACK_S


def _is_excused(record: SoakRecord, sent: SentRequest, ran: list[Run]) -> bool:
    """Return whether the time ran out or an unplanned disturbance excuses a cut."""
    if sent.ended_s - sent.sent_s >= timeout_s(sent.path):
        return True
    if any(run.end is RunEnd.BROKEN_OFF for run in ran):
        return True
    involved = [sent.instance, *record.relays.get(sent.request_id, ())]
    involved += (run.endpoint.rpartition("-")[0] for run in ran)
    spans = [span for name in involved for span in record.unplanned_spans.get(name, ())]
    if sent.path.startswith(STREAMS):
        spans += record.store_disrupted_spans
        spans += record.lost_path_spans.get(sent.instance, ())
    return any(
        since_s <= sent.ended_s and sent.sent_s - SETTLE_S <= until_s
        for since_s, until_s in spans
    )


def _is_cut_at_grace_end(work: PlannedWork, sent: SentRequest, ran: list[Run]) -> bool:
    """Return whether a run was cut in the last sixth of the grace period.

    That is allowed for requests that were sent soon after SIGTERM.
    """
    if work.kind is not WorkKind.STOP or sent.sent_s > work.at_s + LATEST_LONG_S:
        return False
    is_at_work = any(
        run.ended_s is None or run.ended_s > sent.ended_s - LOSS_SLACK_S for run in ran
    )
    return is_at_work and sent.ended_s >= work.at_s + BOUNDS.grace_s * 5 / 6


def _find_work(
    planned_work: Iterable[PlannedWork], sent: SentRequest
) -> PlannedWork | None:
    """Return the planned work around a request; a stop goes before other work."""
    around = [work for work in planned_work if _is_around(work, sent)]
    return min(
        around,
        key=lambda work: (list(WorkKind).index(work.kind), work.at_s),
        default=None,
    )


def _is_around(work: PlannedWork, sent: SentRequest) -> bool:
    if work.pid not in (None, sent.pid):
        return False
    if work.kind is WorkKind.STOP:
        return work.at_s <= sent.ended_s <= work.at_s + BOUNDS.grace_s + AFTER_GRACE_S
    if work.kind is WorkKind.RELOAD:
        return sent.sent_s <= work.at_s + BOUNDS.config_s and work.at_s <= sent.ended_s
    return work.at_s <= sent.ended_s <= work.at_s + BOUNDS.config_s + AFTER_CONFIG_S


def _cuts_more_beside_changes(
    record: SoakRecord, instance: str, runs: dict[str, list[Run]]
) -> bool:
    """Return whether an instance cuts far more requests beside changes."""
    changes = [work for work in record.planned_work if work.kind is WorkKind.CHANGE]
    n_sent, n_cut = {True: 0, False: 0}, {True: 0, False: 0}
    for sent in record.requests:
        if sent.instance != instance or sent.written_s is None:
            continue
        ran = runs.get(sent.request_id, [])
        work = _find_work(record.planned_work, sent)
        if work is not None and work.kind is not WorkKind.CHANGE:
            continue
        is_beside = any(_is_around(change, sent) for change in changes)
        n_sent[is_beside] += 1
        n_cut[is_beside] += _is_cut(sent, ran) and not _is_excused(record, sent, ran)
    return n_cut[True] * n_sent[False] > MAX_CUT_RATIO * n_cut[False] * n_sent[True]


def _describe(work: PlannedWork, sent: SentRequest, ran: list[Run]) -> str:
    at = ", ".join(f"{run.endpoint} ({run.end})" for run in ran) or "no endpoint"
    return (
        f"{sent.request_id} at {sent.instance} pid {sent.pid}: {sent.path} sent "
        f"{sent.sent_s - work.at_s:.2f} s and cut {sent.ended_s - work.at_s:.2f} s "
        f"after {work.kind}, reused {sent.is_reused}, status {sent.status}, ran at {at}"
    )
