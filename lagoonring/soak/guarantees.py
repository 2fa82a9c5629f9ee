"""Guarantees that a soak checks against the requests sent, answered and run."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.duty_client import USAGE_PATH
from lagoonring.soak.callers import TIMEOUT_SLACK_S
from lagoonring.soak.connection import SentRequest
from lagoonring.soak.deployment import (
    BOUNDS,
    BURST,
    LIMITED_ORGANISATION,
    ORGANISATIONS,
    RATE_PER_S,
)
from lagoonring.soak.endpoints import Run, make_body, make_signature
from lagoonring.soak.faults import SETTLE_S
from lagoonring.soak.messages import PlannedWork
from lagoonring.soak.moves import Order, Status, find_undone
from lagoonring.soak.overlaps import find_overlaps
from lagoonring.soak.planned_work import find_lost
from lagoonring.soak.routes import LIVE, STREAMS, UNSAFE, timeout_s
from lagoonring.soak.streams import find_disorder
from lagoonring.standins.platform_standin import DutyCall

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


NOT_RUN_STATUSES = (408, 421, 429, 503)
DENIED_STATUSES = (401, 403, 404)
MAX_DRAIN_LAG_S = BOUNDS.drain_s
MAX_CONFIG_LAG_S = BOUNDS.config_s
SCHEDULING_SLACK_S = 0.5  # added to time bounds for the scheduling of this machine
MIN_RECOVERED_SHARE = 0.9
RECOVERY_S = 6.0  # half of the recovery time that the platform's operators allow


@attrs.frozen
class Violation:
    """A violated guarantee, with a description of the violation.

    That of a request names the instance at which it arrived.
    """

    guarantee: str
    detail: str


@attrs.define(kw_only=True)
class SoakRecord:
    """Everything observed during a soak; times are on the monotonic clock.

    ``disrupted_spans`` holds, by instance name, the spans in which a fault disrupted
    the instance; ``store_disrupted_spans`` holds those of the store.
    ``unplanned_spans`` holds, by the name of an instance or endpoint, the spans in
    which something other than planned work disrupted it; ``unreached_spans`` those in
    which a link fault kept instances from an endpoint. ``misbehaving_ids`` are the
    requests that callers which don't behave may have sent whole; no others of theirs
    may run. ``lost_path_spans`` holds the spans in which an instance, by its name, did
    not reach engines that others reached; ``relays`` the names of the instances that
    relayed a request, by its id.
    """

    requests: list[SentRequest]
    runs: list[Run]
    duty_calls: list[DutyCall]
    route_acked_s: dict[str, float]
    route_removed_s: dict[str, float]
    drain_started_s: dict[str, float]
    disrupted_spans: dict[str, list[tuple[float, float]]]
    store_disrupted_spans: list[tuple[float, float]]
    unplanned_spans: dict[str, list[tuple[float, float]]]
    planned_work: list[PlannedWork]
    unexpected_exits: dict[str, int]
    faults_ended_s: float
    orders: list[Order] = attrs.field(factory=list)
    statuses: list[Status] = attrs.field(factory=list)
    ended_s: float = math.inf
    misbehaving_ids: set[str] = attrs.field(factory=set)
    unreached_spans: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    lost_path_spans: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    relays: dict[str, set[str]] = attrs.field(factory=dict)

    def is_undisrupted(self, instance: str, start_s: float, end_s: float) -> bool:
        """Return whether no fault hit the instance or the store in a time span."""
        spans = [*self.disrupted_spans.get(instance, ()), *self.store_disrupted_spans]
        return not any(
            since_s - SCHEDULING_SLACK_S < end_s and start_s < until_s
            for since_s, until_s in spans
        )


def check(record: SoakRecord) -> list[Violation]:
    """Return all violations of the guarantees."""
    runs = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    found: list[Violation] = []
    for sent in record.requests:
        found += _check_answer(record, sent, runs[sent.request_id])
        found += _check_order(record, sent, runs[sent.request_id])
    found += [Violation("twice", detail) for detail in find_overlaps(record, runs)]
    found += [Violation("lost", detail) for detail in find_lost(record, runs)]
    found += _check_runs(record)
    found += _check_limit(record)
    found += _check_retries(record)
    found += _check_duties(record.duty_calls)
    found += _check_recovery(record)
    found += [
        Violation("moved", detail)
        for detail in find_undone(record.orders, record.statuses, record.ended_s)
    ]
    return found


def _check_answer(
    record: SoakRecord, sent: SentRequest, runs: list[Run]
) -> Iterator[Violation]:
    """Check the answer to one request against the endpoints' runs of it."""
    detail = f"{sent.request_id} at {sent.instance}: {sent.path} {sent.status}"
    is_success = sent.status is not None and sent.status < 300 and sent.is_complete
    if is_success and not _is_correct(sent, runs):
        yield Violation("mixed", f"{detail} {sent.answer[:200]!r}")
    n_runs = sum(not run.is_moved for run in runs)
    if sent.path.startswith((UNSAFE, LIVE)) and n_runs > 1:
        yield Violation("twice", f"{detail} ran at {[run.endpoint for run in runs]}")
    if (
        sent.path.startswith((UNSAFE, LIVE))
        and sent.status in NOT_RUN_STATUSES
        and runs
    ):
        yield Violation("refused", f"{detail} ran at {runs[0].endpoint}")
    if sent.status in DENIED_STATUSES and _must_be_configured(record, sent):
        yield Violation("denied", f"{detail} {sent.answer[:200]!r}")
    if _must_be_removed(record, sent) and sent.status == 200:
        yield Violation("config", f"{detail} on a route that was removed")
    took_s = sent.ended_s - sent.sent_s
    if took_s > timeout_s(sent.path) + TIMEOUT_SLACK_S and record.is_undisrupted(
        sent.instance, sent.sent_s - SETTLE_S, sent.ended_s
    ):
        yield Violation("held", f"{detail} took {took_s:.2f} s {sent.error}")
    if sent.status in (429, 503) and sent.retry_after is None:
        yield Violation("refused", f"{detail} without a time to come back")


def _check_order(
    record: SoakRecord, sent: SentRequest, runs: list[Run]
) -> Iterator[Violation]:
    """Check the order of a stream's events.

    The end of a process ends the answers of callers without chunks regularly.
    """
    may_be_cut = sent.is_old and any(
        since_s <= sent.ended_s and sent.sent_s <= until_s + SCHEDULING_SLACK_S
        for since_s, until_s in record.unplanned_spans.get(sent.instance, ())
    )
    for detail in find_disorder(sent, runs, may_be_cut=may_be_cut):
        relays = sorted(record.relays.get(sent.request_id, ()))
        by = f" by {', '.join(relays)}" if relays else ""
        yield Violation("order", f"{sent.request_id} at {sent.instance}{by}: {detail}")


def _is_correct(sent: SentRequest, runs: list[Run]) -> bool:
    """Return whether the answer is from an endpoint that ran it, and is its answer.

    The events of a stream are checked by `find_disorder`.
    """
    if sent.signature not in {
        make_signature(sent.request_id, run.endpoint) for run in runs
    }:
        return False
    if sent.path.startswith(STREAMS):
        return True
    return sent.answer == make_body(sent.request_id)


def _extra_route(sent: SentRequest, routes: Iterable[str]) -> str | None:
    return next((route for route in routes if sent.path.startswith(route)), None)


def _must_be_configured(record: SoakRecord, sent: SentRequest) -> bool:
    """Return whether every configuration that may be in force has route and key."""
    route = _extra_route(sent, record.route_acked_s)
    if route is None:
        return True
    if route in record.route_removed_s:
        return False
    due_s = record.route_acked_s[route] + MAX_CONFIG_LAG_S + SCHEDULING_SLACK_S
    return sent.sent_s > due_s and record.is_undisrupted(
        sent.instance, record.route_acked_s[route] - SETTLE_S, sent.sent_s
    )


def _must_be_removed(record: SoakRecord, sent: SentRequest) -> bool:
    route = _extra_route(sent, record.route_removed_s)
    if route is None:
        return False
    removed_s = record.route_removed_s[route]
    return (
        sent.sent_s > removed_s + MAX_CONFIG_LAG_S + SCHEDULING_SLACK_S
        and record.is_undisrupted(sent.instance, removed_s - SETTLE_S, sent.sent_s)
    )


def _check_runs(record: SoakRecord) -> Iterator[Violation]:
    """Check the endpoints' runs against the requests sent."""
    sent_by_id = {sent.request_id: sent for sent in record.requests}
    for run in record.runs:
        sent = sent_by_id.get(run.request_id)
        if sent is None and run.request_id in record.misbehaving_ids:
            continue
        if sent is None:
            yield Violation("unasked", f"{run}")
            continue
        if (run.path, run.body, run.organisation) != (
            sent.path,
            sent.body,
            sent.organisation,
        ):
            yield Violation("unasked", f"{run} for {sent.path} of {sent.organisation}")
        drain_started_s = record.drain_started_s.get(run.endpoint, math.inf)
        is_late = sent.sent_s > drain_started_s + MAX_DRAIN_LAG_S + SCHEDULING_SLACK_S
        if is_late and record.is_undisrupted(
            sent.instance, drain_started_s - SETTLE_S, run.began_s
        ):
            yield Violation(
                "drain",
                f"{run} at {sent.instance} {run.began_s - drain_started_s:.2f} s "
                "after it",
            )


def _check_limit(record: SoakRecord) -> Iterator[Violation]:
    """Check the quota of the limited organisation in sliding windows."""
    assert LIMITED_ORGANISATION in ORGANISATIONS
    window_s = BOUNDS.quota_window_s
    allowed = RATE_PER_S * window_s + BURST
    allowed = allowed * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack
    first: dict[str, float] = {}
    for run in record.runs:
        if run.organisation == LIMITED_ORGANISATION:
            first.setdefault(run.request_id, run.began_s)
    times_s = sorted(first.values())
    n_most = max(
        (
            bisect_right(times_s, start_s + window_s) - index
            for index, start_s in enumerate(times_s)
        ),
        default=0,
    )
    if n_most > allowed:
        yield Violation(
            "quota", f"{n_most} runs of {LIMITED_ORGANISATION}, allowed {allowed:.1f}"
        )


def _check_retries(record: SoakRecord) -> Iterator[Violation]:
    """Check the retry budget of all instances in windows that begin with a retry.

    The requests are those of the window, of the one before it or of the one half a
    window before it, whichever has most. Runs stand for arrivals: what an endpoint
    refuses is not recorded.
    """
    window_s = BOUNDS.retry_window_s
    sent_s = sorted(sent.sent_s for sent in record.requests)
    began: set[str] = set()
    retries_s = []
    for run in sorted(record.runs, key=lambda run: run.began_s):
        if run.is_moved:
            continue  # the same run
        if run.request_id in began:
            retries_s.append(run.began_s)
        began.add(run.request_id)

    def count(times_s: list[float], start_s: float) -> int:
        return bisect_right(times_s, start_s + window_s) - bisect_left(times_s, start_s)

    for start_s in retries_s:
        n_retries = count(retries_s, start_s)
        n_requests = max(
            count(sent_s, start_s - before_s)
            for before_s in (0.0, window_s / 2, window_s)
        )
        allowed = BOUNDS.retry_ratio * n_requests + BOUNDS.retry_slack
        if n_retries > allowed:
            detail = f"{n_retries} for {n_requests} requests, allowed {allowed:.0f}"
            yield Violation("retries", detail)
            return


def _check_duties(calls: list[DutyCall]) -> Iterator[Violation]:
    """Check that each usage window has one report and each fencing number one holder.

    A window may be reported again with the same counts.
    """
    reported_counts: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    for call in calls:
        if call.path != USAGE_PATH:
            continue
        window, counts = call.content["window"], call.content["counts"]
        if reported_counts.setdefault(window, counts) != counts:
            yield Violation(
                "one", f"window {window} told as {reported_counts[window]} and {counts}"
            )
        holder = holders.setdefault(call.fencing_number, call.holder)
        if holder != call.holder:
            number = call.fencing_number
            yield Violation("one", f"{number} used by {holder} and {call.holder}")


def _check_recovery(record: SoakRecord) -> Iterator[Violation]:
    """Check that the deployment recovers after the faults and no instance exited.

    Exits caused by a fault don't count.
    """
    for instance, n_ends in record.unexpected_exits.items():
        if n_ends:
            yield Violation("ended", f"{instance} ended by itself {n_ends} times")
    late = [
        sent
        for sent in record.requests
        if sent.sent_s > record.faults_ended_s + RECOVERY_S
        and sent.organisation != LIMITED_ORGANISATION
        and _must_be_configured(record, sent)
    ]
    n_good = sum(sent.status == 200 and sent.is_complete for sent in late)
    if not late or n_good < MIN_RECOVERED_SHARE * len(late):
        yield Violation("recover", f"{n_good} of {len(late)} answered after the faults")
