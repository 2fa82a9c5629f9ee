"""What endpoints say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.logs import make_logger
from lagoonring.serving.warming import record_cold

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.serving.endpoints import Endpoint, EndpointTable

LIFTED_SHARED_S = 10.0  # many rounds of the exchange
SAME_S = 0.05  # statements closer in time may be one that came by two ways
MAX_SHARED_AGE_S = 3600.0
NO_LIMIT_MILLI = -1

# Incarnation (its start in ms), limit in thousandths per second or ``NO_LIMIT_MILLI``,
# the age of what it said of its limits in ms, whether the endpoint is leaving, and
# thousandths of the requests that it can refuse a second or ``NO_LIMIT_MILLI``.
StatementRow = tuple[int, int, int, bool, int]

logger = make_logger("endpoints")


@attrs.frozen(kw_only=True)
class Statement:
    """What one answer says of its endpoint.

    ``limit_per_s`` is the number of requests per second that the endpoint takes from
    all instances together, None if it names no limit. ``unreadable`` is the text of a
    limit that can't be read; the limit known before then stays. ``is_leaving`` says
    that the endpoint takes no new work until its end. ``pause_s`` is the time for
    which it wants no request of this instance. ``n_refusable`` is the number of
    requests that it can refuse within a second without falling over, None if any.
    ``cold_left_s`` is how much longer it is cold, 0 if it does not say so.
    """

    limit_per_s: float | None = None
    unreadable: str | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    n_refusable: float | None = None
    cold_left_s: float = 0.0


@attrs.frozen
class KnownLimit:
    """The last limits that an endpoint named, None for none, and when it did.

    ``said_s`` is on the monotonic clock, ``n_refusable`` as in `Statement`.
    """

    limit_per_s: float | None
    said_s: float
    n_refusable: float | None = None

    @property
    def is_none(self) -> bool:
        """Whether the endpoint named no limit of either kind."""
        return self.limit_per_s is None and self.n_refusable is None


NO_LIMIT = KnownLimit(None, float("-inf"))


def record_statement(
    table: EndpointTable, endpoint: Endpoint, statement: Statement, now_s: float
) -> None:
    """Apply what an answer received here says of its endpoint."""
    if statement.is_leaving:
        table.mark_leaving(endpoint, source="answer")
    if statement.pause_s > 0:
        _pause(endpoint, statement.pause_s, now_s)
    elif now_s >= endpoint.paused_until_s:
        endpoint.is_on_trial = False
    if record_cold(endpoint, statement.cold_left_s, now_s, source="answer"):
        endpoint.cold_seen_until_s = endpoint.cold_until_s
    if statement.unreadable is not None:
        logger.warning(
            "Endpoint's limit is unreadable; the last one stays.",
            extra={"endpoint": endpoint.name, "got": statement.unreadable},
        )
        return
    said = KnownLimit(statement.limit_per_s, now_s, statement.n_refusable)
    _set_limit(endpoint, said, source="answer")


def statement_rows(
    endpoints: Iterable[Endpoint], now_s: float
) -> dict[str, StatementRow]:
    """Return what endpoints said of themselves, as sent to other instances.

    Includes limits that were lifted recently, so that all instances learn of it.
    """
    rows = {}
    for endpoint in endpoints:
        limit, age_s = endpoint.limit, now_s - endpoint.limit.said_s
        is_lifted = endpoint.was_limited and age_s < LIFTED_SHARED_S
        if limit.is_none and not is_lifted and not endpoint.is_leaving:
            continue
        rows[endpoint.name] = (
            endpoint.record.born_ms,
            _to_milli(limit.limit_per_s),
            round(min(age_s, MAX_SHARED_AGE_S) * 1e3),
            endpoint.is_leaving,
            _to_milli(limit.n_refusable),
        )
    return rows


def apply_statement_rows(
    table: EndpointTable, rows: dict[str, StatementRow], now_s: float
) -> None:
    """Apply what endpoints said to other instances, unless it is older."""
    for name, row in rows.items():
        born_ms, limit_milli, age_ms, is_leaving, refusable_milli = row
        endpoint = table.find(name)
        if endpoint is None or endpoint.record.born_ms != born_ms:
            continue
        if is_leaving:
            table.mark_leaving(endpoint, source="instances")
        said_s = now_s - age_ms / 1e3
        if said_s <= endpoint.limit.said_s + SAME_S:
            continue
        said = KnownLimit(
            _from_milli(limit_milli), said_s, _from_milli(refusable_milli)
        )
        _set_limit(endpoint, said, source="instances")


def _pause(endpoint: Endpoint, pause_s: float, now_s: float) -> None:
    if now_s >= endpoint.paused_until_s:
        logger.info(
            "Endpoint wants no requests for a time.",
            extra={"endpoint": endpoint.name, "pause_s": pause_s},
        )
    endpoint.paused_until_s = max(endpoint.paused_until_s, now_s + pause_s)
    endpoint.is_on_trial = True


def _set_limit(endpoint: Endpoint, limit: KnownLimit, *, source: str) -> None:
    known, endpoint.limit = endpoint.limit, limit
    if not limit.is_none:
        endpoint.was_limited = True
    if attrs.evolve(limit, said_s=known.said_s) != known:
        _log_change(endpoint, known, source=source)


def _to_milli(number: float | None) -> int:
    return NO_LIMIT_MILLI if number is None else round(number * 1000)


def _from_milli(milli: int) -> float | None:
    return None if milli == NO_LIMIT_MILLI else milli / 1000


def _log_change(endpoint: Endpoint, known: KnownLimit, *, source: str) -> None:
    logger.info(
        "Endpoint's limit changed.",
        extra={
            "endpoint": endpoint.name,
            "limit_per_s": endpoint.limit.limit_per_s,
            "was_per_s": known.limit_per_s,
            "n_refusable": endpoint.limit.n_refusable,
            "source": source,
        },
    )
