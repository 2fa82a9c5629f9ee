"""Reads counters of the endpoint stand-ins and costs of the cloud stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import attrs
import msgspec

if TYPE_CHECKING:
    from lagoonring.load.options import LoadSettings

T = TypeVar("T")

READ_TIMEOUT_S = 3.0
HOUR_S = 3600.0
READ_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, msgspec.MsgspecError)


@attrs.frozen(kw_only=True)
class EngineCounts:
    """Counters of an engine, since its start or over a run."""

    n_requests: int = 0
    n_tokens: int = 0
    n_tokens_recomputed: int = 0
    n_blocks_prefilled: int = 0
    n_blocks_cached: int = 0
    n_crashes: int = 0
    n_requests_while_leaving: int = 0

    def minus(self, other: EngineCounts) -> EngineCounts:
        """Return the differences from the earlier counters ``other``."""
        mine, others = attrs.asdict(self), attrs.asdict(other)
        return EngineCounts(**{name: n - others[name] for name, n in mine.items()})

    def plus(self, other: EngineCounts) -> EngineCounts:
        """Return the sums of both sets of counters."""
        mine, others = attrs.asdict(self), attrs.asdict(other)
        return EngineCounts(**{name: n + others[name] for name, n in mine.items()})


@attrs.frozen(kw_only=True)
class ServiceRuns:
    """Runs of a plain service, in total and by idempotency key."""

    n_runs: int = 0
    by_key: dict[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Snapshot:
    """Counters of all stand-ins at one time; those that did not answer are absent."""

    engines: dict[str, EngineCounts] = attrs.field(factory=dict)
    services: dict[str, ServiceRuns] = attrs.field(factory=dict)
    costs: dict[str, float] = attrs.field(factory=dict)


async def read_snapshot(
    session: aiohttp.ClientSession, settings: LoadSettings
) -> Snapshot:
    """Read the counters of all stand-ins, concurrently within each kind."""
    engines = {
        name: read_json(session, f"{target.url}/counts", EngineCounts)
        for name, target in settings.engines.items()
    }
    services = {
        name: read_json(session, f"{target.url}/runs", ServiceRuns)
        for name, target in settings.services.items()
    }
    costs = {}
    if settings.cloud_url:
        costs[""] = read_json(session, f"{settings.cloud_url}/costs", dict[str, Any])
    cost_documents = await _gather_available(costs)
    return Snapshot(
        engines=await _gather_available(engines),
        services=await _gather_available(services),
        costs=_sum_costs(cost_documents.get("", {})),
    )


async def read_json(
    session: aiohttp.ClientSession,
    url: str,
    kind: type[T],
    *,
    headers: dict[str, str] | None = None,
) -> T | None:
    """Return the decoded JSON at a URL, None on any error or status but 200."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    try:
        async with session.get(url, headers=headers, timeout=timeout) as answer:
            if answer.status != 200:
                return None
            return msgspec.json.decode(await answer.read(), type=kind)
    except READ_ERRORS:
        return None


def compute_endpoint_cost(settings: LoadSettings, duration_s: float) -> float:
    """Return the cost of all endpoints from their prices, for runs without a cloud."""
    targets = [*settings.engines.values(), *settings.services.values()]
    return sum(target.price_per_hour for target in targets) * duration_s / HOUR_S


async def _gather_available(readings: dict[str, Any]) -> dict[str, Any]:
    values = await asyncio.gather(*readings.values())
    pairs = zip(readings, values, strict=True)
    return {name: value for name, value in pairs if value is not None}


def _sum_costs(document: dict[str, Any]) -> dict[str, float]:
    return {
        name: float(value)
        for name, value in document.items()
        if isinstance(value, int | float)
    }
