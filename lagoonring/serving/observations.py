"""Results at endpoints, shared between instances; data without input or output.

In a large deployment an instance sends an endpoint only a few requests a minute, too
few to notice by itself that the endpoint is down, slow or fails. Every instance
therefore reports sums of its recent results, hubs add them up, and their digests
describe the endpoints that differ from the typical one of their service. This answers
the load in which some endpoints crash, hang, fail or turn slow while others are fine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

HALF_LIFE_S = 2.0  # of results; an endpoint that recovers is used again soon
DOWN_S = 1.0  # after a failed connection, without a later result of any instance
MIN_REPORTED_WEIGHT = 0.05  # less has no influence on the sums
MIN_SAMPLES = 2.0  # decayed number of times from which on a speed is believed
PRIOR_SAMPLES = 1.0  # typical results that are assumed in addition
MIN_FAILURE_SHARE = 0.1  # below it an endpoint does not differ from others
MIN_SLOWDOWN = 1.3  # ratio to the typical time; less is within the spread of samples
SCALE = 100  # messages hold hundredths as integers, which take less space than floats

# Decayed numbers of successes, failures and times, in hundredths; sums of the service
# times in ms and of the prefill times in ns per token; ages in ms of the last result
# and of the last failed connection, or -1.
ObservationRow = tuple[int, int, int, int, int, int, int]
# Failure share in percent, time in percent of the typical one, and the remaining ms in
# which the endpoint counts as down.
ConditionRow = tuple[int, int, int]
# Typical service time in ms and prefill time in ns per token.
TypicalRow = tuple[int, int]


@attrs.define
class Observation:
    """Decayed sums of the results at one endpoint, as of ``at_s``.

    Times are on the monotonic clock. ``result_s`` is the time of the last result,
    ``unreachable_s`` that of the last failed connection; both are None if there was
    none.
    """

    at_s: float = 0.0
    n_ok: float = 0.0
    n_failed: float = 0.0
    n_times: float = 0.0
    service_s: float = 0.0
    token_s: float = 0.0
    result_s: float | None = None
    unreachable_s: float | None = None

    def decay(self, now_s: float) -> None:
        """Decay the sums to the current time."""
        factor = 0.5 ** (max(now_s - self.at_s, 0.0) / HALF_LIFE_S)
        self.at_s = now_s
        self.n_ok *= factor
        self.n_failed *= factor
        self.n_times *= factor
        self.service_s *= factor
        self.token_s *= factor

    def record_result(self, *, ok: bool, now_s: float) -> None:
        """Count a result of the endpoint."""
        self.decay(now_s)
        self.n_ok += ok
        self.n_failed += not ok
        self.result_s = now_s

    def record_time(
        self, now_s: float, *, service_s: float = 0.0, token_s: float = 0.0
    ) -> None:
        """Count a service time, or a prefill time per token."""
        self.decay(now_s)
        self.n_times += 1
        self.service_s += service_s
        self.token_s += token_s

    def record_unreachable(self, now_s: float) -> None:
        """Record a failed connection."""
        self.unreachable_s = now_s

    def add(self, other: Observation, now_s: float) -> None:
        """Add the results of other instances."""
        self.decay(now_s)
        other.decay(now_s)
        self.n_ok += other.n_ok
        self.n_failed += other.n_failed
        self.n_times += other.n_times
        self.service_s += other.service_s
        self.token_s += other.token_s
        self.result_s = _latest(self.result_s, other.result_s)
        self.unreachable_s = _latest(self.unreachable_s, other.unreachable_s)

    def is_relevant(self, now_s: float) -> bool:
        """Return whether other instances can use this observation."""
        self.decay(now_s)
        is_down = self.unreachable_s is not None and (
            now_s - self.unreachable_s < DOWN_S
        )
        return is_down or self.n_ok + self.n_failed > MIN_REPORTED_WEIGHT

    def down_left_s(self, now_s: float) -> float:
        """Return how long the endpoint still counts as down."""
        if self.unreachable_s is None:
            return 0.0
        if self.result_s is not None and self.result_s > self.unreachable_s:
            return 0.0
        return max(self.unreachable_s + DOWN_S - now_s, 0.0)


@attrs.frozen
class Typical:
    """Typical times at the endpoints of a service; 0 if there are no samples."""

    service_s: float
    token_s: float


@attrs.frozen
class Condition:
    """How an endpoint differs from the typical one of its service.

    ``slowdown`` is the ratio of its time to the typical one.
    """

    failure_share: float = 0.0
    slowdown: float = 1.0
    down_s: float = 0.0


def to_row(seen: Observation, now_s: float) -> ObservationRow:
    """Return an observation as sent in messages."""
    seen.decay(now_s)
    return (
        round(seen.n_ok * SCALE),
        round(seen.n_failed * SCALE),
        round(seen.n_times * SCALE),
        round(seen.service_s * 1e3),
        round(seen.token_s * 1e9),
        _age_ms(seen.result_s, now_s),
        _age_ms(seen.unreachable_s, now_s),
    )


def from_row(row: ObservationRow, now_s: float) -> Observation:
    """Return an observation received in a message."""
    n_ok, n_failed, n_times, service_ms, token_ns, result_ms, unreachable_ms = row
    return Observation(
        now_s,
        n_ok / SCALE,
        n_failed / SCALE,
        n_times / SCALE,
        service_ms / 1e3,
        token_ns / 1e9,
        _time_of_age(result_ms, now_s),
        _time_of_age(unreachable_ms, now_s),
    )


def find_typical(seen: Iterable[Observation]) -> Typical:
    """Return the median of the endpoints' average times."""
    known = [one for one in seen if one.n_times >= MIN_SAMPLES]
    return Typical(
        service_s=_median([one.service_s / one.n_times for one in known]),
        token_s=_median([one.token_s / one.n_times for one in known]),
    )


def assess(seen: Observation, typical: Typical, now_s: float) -> Condition | None:
    """Return the condition of an endpoint, or None if it is a typical one."""
    seen.decay(now_s)
    n_results = seen.n_ok + seen.n_failed + PRIOR_SAMPLES
    failure_share = seen.n_failed / n_results
    slowdown = _slowdown(seen, typical)
    condition = Condition(
        failure_share=failure_share if failure_share >= MIN_FAILURE_SHARE else 0.0,
        slowdown=slowdown if slowdown >= MIN_SLOWDOWN else 1.0,
        down_s=seen.down_left_s(now_s),
    )
    return None if condition == Condition() else condition


def encode_conditions(conditions: Mapping[str, Condition]) -> dict[str, ConditionRow]:
    """Return conditions by endpoint as sent in messages."""
    return {
        name: (
            round(condition.failure_share * 100),
            round(condition.slowdown * 100),
            round(condition.down_s * 1e3),
        )
        for name, condition in conditions.items()
    }


def decode_condition(row: ConditionRow) -> Condition:
    """Return a condition received in a message."""
    failure_percent, slowdown_percent, down_ms = row
    return Condition(failure_percent / 100, slowdown_percent / 100, down_ms / 1e3)


def _slowdown(seen: Observation, typical: Typical) -> float:
    ratios = [
        (total_s + PRIOR_SAMPLES * typical_s)
        / ((seen.n_times + PRIOR_SAMPLES) * typical_s)
        for total_s, typical_s in (
            (seen.service_s, typical.service_s),
            (seen.token_s, typical.token_s),
        )
        if typical_s > 0
    ]
    return max(ratios, default=1.0)


def _median(samples: list[float]) -> float:
    return sorted(samples)[len(samples) // 2] if samples else 0.0


def _latest(one: float | None, other: float | None) -> float | None:
    if one is None or other is None:
        return other if one is None else one
    return max(one, other)


def _age_ms(at_s: float | None, now_s: float) -> int:
    return -1 if at_s is None else round((now_s - at_s) * 1e3)


def _time_of_age(age_ms: int, now_s: float) -> float | None:
    return None if age_ms < 0 else now_s - age_ms / 1e3
