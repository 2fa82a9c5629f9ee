"""Faults in which an instance does not reach engines that others reach.

It asks another instance to relay its requests to them.
"""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from lagoonring.soak.engines import ready_engines
from lagoonring.soak.reclaims import MIN_NOTICE_S, choose_notice_s, reclaim

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from lagoonring.soak.deployment import Instance, SoakDeployment
    from lagoonring.soak.engines import SoakEngine
    from lagoonring.soak.faults import Fault

MIN_LOST_SHARE = 0.7  # of the engines; instances ask for a relay from more than half
MIN_LOST_S = 3.0
MAX_LOST_INSTANCES = 1 / 3  # share of the instances
LOST_S = 7.0  # for an instance to notice, and for long streams to begin by a relay
N_RECLAIMED = 4  # others relay a few streams for each engine
REGAINED_SHARES = (0.0, 0.25, 0.5)  # of a notice, until the paths are back


async def _lose_engines(deployment: SoakDeployment, fault: Fault) -> None:
    """Keep an instance from most engines, or all."""
    with lost_paths(deployment, fault, share=MIN_LOST_SHARE):
        await asyncio.sleep(MIN_LOST_S + fault.for_s)


async def _reclaim_relayed(deployment: SoakDeployment, fault: Fault) -> None:
    """Reclaim the busiest of the engines that an instance has lost.

    Runs are moved by calls of the instance itself, for which the paths come back.
    """
    notice_s = max(choose_notice_s(fault) / 2, MIN_NOTICE_S)
    with lost_paths(deployment, fault, share=1.0) as engines:
        await asyncio.sleep(LOST_S)
        ready = [one for one in ready_engines(deployment.endpoints) if one in engines]
        ready.sort(key=lambda engine: len(engine.streams), reverse=True)
        reclaiming = [
            asyncio.create_task(reclaim(engine, fault, notice_s))
            for engine in ready[:N_RECLAIMED]
        ]
        share = REGAINED_SHARES[(fault.pick >> 4) % len(REGAINED_SHARES)]
        await asyncio.sleep(share * notice_s)
    await asyncio.gather(*reclaiming)


@contextmanager
def lost_paths(
    deployment: SoakDeployment, fault: Fault, *, share: float
) -> Iterator[list[SoakEngine]]:
    """Keep an instance from a share of the engines, or one more.

    Its open connections are reset or live on.
    """
    instance = _choose_instance(deployment, fault)
    engines = ready_engines(deployment.endpoints)
    n_lost = math.ceil(share * len(engines)) + fault.pick % 2
    first = fault.pick % max(len(engines), 1)
    chosen = (engines[first:] + engines[:first])[:n_lost]
    since_s = time.monotonic()
    for engine in chosen:
        engine.lose_path(instance.ip, resets=bool(fault.pick >> 5 & 1))
    try:
        yield chosen
    finally:
        for engine in chosen:
            engine.regain_path(instance.ip)
        instance.lost_path_spans.append((since_s, time.monotonic()))


def _choose_instance(deployment: SoakDeployment, fault: Fault) -> Instance:
    """Return an instance to keep away, at most a third at a time: others relay."""
    instances = deployment.instances
    lost = set().union(*(one.lost_hosts.keys() for one in deployment.endpoints))
    kept_away = [instance for instance in instances if instance.ip in lost]
    if len(kept_away) >= max(MAX_LOST_INSTANCES * len(instances), 1):
        instances = kept_away
    return instances[fault.pick % len(instances)]


PATH_FAULTS: dict[str, Callable[[SoakDeployment, Fault], Awaitable[None]]] = {
    "lose_engines": _lose_engines,
    "reclaim_relayed": _reclaim_relayed,
}

# What a stream must withstand that another instance relays and that is moved.
RELAY_KINDS = (*PATH_FAULTS, "reclaim_busiest", "reclaim_centre", "planned_stop")
