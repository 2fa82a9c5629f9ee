"""The promises that a soak checks, over what was sent, answered and run."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.duty_client import USAGE_PATH
from lagoonring.soak.callers import LATE_S, TIMEOUT_S, Sent
from lagoonring.soak.deployment import (
    BOUNDS,
    BURST,
    LIMITED,
    ORGANISATIONS,
    RATE_PER_S,
    RESUMABLE,
    UNSAFE,
)
from lagoonring.soak.endpoints import Run, body_of, events_of, stamp_of
from lagoonring.soak.faults import SETTLE_S
from lagoonring.standins.platform_standin import DutyCall

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


NOT_RUN_STATUSES = (408, 421, 429, 503)
WRONG_STATUSES = (401, 403, 404)
DRAIN_S = BOUNDS.drain_s
CONFIG_S = BOUNDS.config_s
SLACK_S = 0.5  # of this machine's own scheduling, for what has a bound in time
RECOVERED_SHARE = 0.9
RECOVER_S = 6.0  # half of what the platform's operators allow


@attrs.frozen
class Violation:
    """A promise that was broken, and by what."""

    guarantee: str
    detail: str


@attrs.define(kw_only=True)
class Record:
    """What a soak saw.

    ``touch_lost`` holds spans in which an instance was out of touch, by name;
    ``store_lost`` those of the store. Times on the monotonic clock.
    """

    sent: list[Sent]
    runs: list[Run]
    duty_calls: list[DutyCall]
    route_acked_s: dict[str, float]
    route_removed_s: dict[str, float]
    drained_s: dict[str, float]
    touch_lost: dict[str, list[tuple[float, float]]]
    store_lost: list[tuple[float, float]]
    own_ends: dict[str, int]
    calm_from_s: float

    def is_in_touch(self, instance: str, start_s: float, end_s: float) -> bool:
        """Whether neither an instance nor the store was disturbed in a time."""
        spans = [*self.touch_lost.get(instance, ()), *self.store_lost]
        return not any(a - SLACK_S < end_s and start_s < b for a, b in spans)


def check(record: Record) -> list[Violation]:
    """Return the promises that were broken."""
    runs = defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    found: list[Violation] = []
    for sent in record.sent:
        found += _check_answer(record, sent, runs[sent.request_id])
    found += _check_runs(record)
    found += _check_limit(record)
    found += _check_duties(record.duty_calls)
    found += _check_end(record)
    return found


def _check_answer(record: Record, sent: Sent, runs: list[Run]) -> Iterator[Violation]:
    """Check one request by what its caller got and what ran."""
    detail = f"{sent.request_id} at {sent.instance}: {sent.path} {sent.status}"
    is_success = sent.status is not None and sent.status < 300 and sent.is_whole
    if is_success and not _is_sound(sent, runs):
        yield Violation("mixed", f"{detail} {sent.answer[:200]!r}")
    if sent.path.startswith(UNSAFE) and len(runs) > 1:
        yield Violation("twice", f"{detail} ran at {[run.endpoint for run in runs]}")
    if sent.path.startswith(UNSAFE) and sent.status in NOT_RUN_STATUSES and runs:
        yield Violation("refused", f"{detail} ran at {runs[0].endpoint}")
    if sent.status in WRONG_STATUSES and _must_be_known(record, sent):
        yield Violation("denied", f"{detail} {sent.answer[:200]!r}")
    if _must_be_gone(record, sent) and sent.status == 200:
        yield Violation("config", f"{detail} on a route that was removed")
    took_s = sent.ended_s - sent.sent_s
    if took_s > TIMEOUT_S + LATE_S and record.is_in_touch(
        sent.instance, sent.sent_s - SETTLE_S, sent.ended_s
    ):
        yield Violation("held", f"{detail} took {took_s:.2f} s {sent.error}")
    if sent.status in (429, 503) and sent.retry_after is None:
        yield Violation("refused", f"{detail} without a time to come back")


def _is_sound(sent: Sent, runs: list[Run]) -> bool:
    """Whether an answer is the whole one that an endpoint gave to the request."""
    if sent.signature not in {stamp_of(sent.request_id, run.endpoint) for run in runs}:
        return False
    if sent.path.startswith(RESUMABLE):
        return sent.answer == b"".join(events_of(sent.request_id))
    return sent.answer == body_of(sent.request_id)


def _extra_route(sent: Sent, routes: Iterable[str]) -> str | None:
    return next((it for it in routes if sent.path.startswith(it)), None)


def _must_be_known(record: Record, sent: Sent) -> bool:
    """Whether every configuration that may be in force has route and key."""
    route = _extra_route(sent, record.route_acked_s)
    if route is None:
        return True
    if route in record.route_removed_s:
        return False
    due_s = record.route_acked_s[route] + CONFIG_S + SLACK_S
    return sent.sent_s > due_s and record.is_in_touch(
        sent.instance, record.route_acked_s[route] - SETTLE_S, sent.sent_s
    )


def _must_be_gone(record: Record, sent: Sent) -> bool:
    route = _extra_route(sent, record.route_removed_s)
    if route is None:
        return False
    removed_s = record.route_removed_s[route]
    return sent.sent_s > removed_s + CONFIG_S + SLACK_S and record.is_in_touch(
        sent.instance, removed_s - SETTLE_S, sent.sent_s
    )


def _check_runs(record: Record) -> Iterator[Violation]:
    """Check what endpoints ran against what was sent."""
    sent_by_id = {sent.request_id: sent for sent in record.sent}
    for run in record.runs:
        sent = sent_by_id.get(run.request_id)
        if sent is None:
            yield Violation("unasked", f"{run}")
            continue
        if (run.path, run.body, run.organisation) != (
            sent.path,
            sent.body,
            sent.organisation,
        ):
            yield Violation("unasked", f"{run} for {sent.path} of {sent.organisation}")
        drained_s = record.drained_s.get(run.endpoint, math.inf)
        is_late = sent.sent_s > drained_s + DRAIN_S + SLACK_S
        if is_late and record.is_in_touch(
            sent.instance, drained_s - SETTLE_S, run.began_s
        ):
            yield Violation("drain", f"{run} {run.began_s - drained_s:.2f} s after it")


def _check_limit(record: Record) -> Iterator[Violation]:
    """Check the limit of an organisation in sliding windows."""
    assert LIMITED in ORGANISATIONS
    window_s = BOUNDS.quota_window_s
    allowed = RATE_PER_S * window_s + BURST
    allowed = allowed * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack
    first: dict[str, float] = {}
    for run in record.runs:
        if run.organisation == LIMITED:
            first.setdefault(run.request_id, run.began_s)
    times_s = sorted(first.values())
    start = 0
    for index, time_s in enumerate(times_s):
        while times_s[start] < time_s - window_s:
            start += 1
        if index - start + 1 > allowed:
            n_runs = index - start + 1
            yield Violation(
                "quota", f"{n_runs} runs of {LIMITED}, allowed {allowed:.0f}"
            )
            return


def _check_duties(calls: list[DutyCall]) -> Iterator[Violation]:
    """Check that windows are reported once, by one holder at a time."""
    told: dict[int, dict[str, int]] = {}
    holders: dict[int, str] = {}
    for call in calls:
        if call.path != USAGE_PATH:
            continue
        window, counts = call.content["window"], call.content["counts"]
        if told.setdefault(window, counts) != counts:
            yield Violation(
                "one", f"window {window} told as {told[window]} and {counts}"
            )
        holder = holders.setdefault(call.fencing_number, call.holder)
        if holder != call.holder:
            number = call.fencing_number
            yield Violation("one", f"{number} used by {holder} and {call.holder}")


def _check_end(record: Record) -> Iterator[Violation]:
    """Check that all is well again once the faults are over."""
    for instance, n_ends in record.own_ends.items():
        if n_ends:
            yield Violation("ended", f"{instance} ended by itself {n_ends} times")
    late = [
        sent
        for sent in record.sent
        if sent.sent_s > record.calm_from_s + RECOVER_S
        and sent.organisation != LIMITED
        and _must_be_known(record, sent)
    ]
    n_good = sum(sent.status == 200 and sent.is_whole for sent in late)
    if not late or n_good < RECOVERED_SHARE * len(late):
        yield Violation("recover", f"{n_good} of {len(late)} answered after the faults")
