"""Reads what endpoints ran and what the cloud charged, from the stand-ins."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import attrs
import msgspec

if TYPE_CHECKING:
    from lagoonring.load.options import LoadSettings

T = TypeVar("T")

TIMEOUT_S = 3.0
HOUR_S = 3600.0
READ_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, msgspec.MsgspecError)


@attrs.frozen(kw_only=True)
class EngineCounts:
    """What an engine did since its start, or in a run."""

    n_requests: int = 0
    n_tokens: int = 0
    n_tokens_recomputed: int = 0
    n_blocks_prefilled: int = 0
    n_blocks_cached: int = 0
    n_crashes: int = 0
    n_requests_while_leaving: int = 0

    def minus(self, other: EngineCounts) -> EngineCounts:
        """Return what was done since ``other`` was read."""
        mine, others = attrs.asdict(self), attrs.asdict(other)
        return EngineCounts(**{name: n - others[name] for name, n in mine.items()})

    def plus(self, other: EngineCounts) -> EngineCounts:
        """Return the sum of both."""
        mine, others = attrs.asdict(self), attrs.asdict(other)
        return EngineCounts(**{name: n + others[name] for name, n in mine.items()})


@attrs.frozen(kw_only=True)
class ServiceRuns:
    """What a plain service ran."""

    n_runs: int = 0
    by_key: dict[str, int] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Snapshot:
    """Counts of all stand-ins at one time; those that don't answer are missing."""

    engines: dict[str, EngineCounts] = attrs.field(factory=dict)
    services: dict[str, ServiceRuns] = attrs.field(factory=dict)
    costs: dict[str, float] = attrs.field(factory=dict)


async def read_snapshot(
    session: aiohttp.ClientSession, settings: LoadSettings
) -> Snapshot:
    """Read the counts of all stand-ins at once."""
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
    found_costs = await _gather(costs)
    return Snapshot(
        engines=await _gather(engines),
        services=await _gather(services),
        costs=_sum_costs(found_costs.get("", {})),
    )


async def read_json(
    session: aiohttp.ClientSession,
    url: str,
    kind: type[T],
    *,
    headers: dict[str, str] | None = None,
) -> T | None:
    """Return the JSON at a URL, None if there is none to be had."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with session.get(url, headers=headers, timeout=timeout) as answer:
            if answer.status != 200:
                return None
            return msgspec.json.decode(await answer.read(), type=kind)
    except READ_ERRORS:
        return None


def endpoint_hours_cost(settings: LoadSettings, duration_s: float) -> float:
    """Return the bill of all endpoints by their prices, without a cloud."""
    targets = [*settings.engines.values(), *settings.services.values()]
    return sum(target.price_per_hour for target in targets) * duration_s / HOUR_S


async def _gather(readings: dict[str, Any]) -> dict[str, Any]:
    values = await asyncio.gather(*readings.values())
    found = zip(readings, values, strict=True)
    return {name: value for name, value in found if value is not None}


def _sum_costs(document: dict[str, Any]) -> dict[str, float]:
    return {
        name: float(value)
        for name, value in document.items()
        if isinstance(value, int | float)
    }
