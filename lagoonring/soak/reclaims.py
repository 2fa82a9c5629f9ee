"""Faults in which engines are reclaimed with a notice of seconds."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.soak.deployment import DATA_CENTRES
from lagoonring.soak.engines import SoakEngine, ready_engines
from lagoonring.soak.kv_moves import CallOutcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lagoonring.soak.deployment import SoakDeployment
    from lagoonring.soak.faults import Fault

MIN_NOTICE_S = 0.8
MAX_NOTICE_S = 3.0
BOOT_S = 1.0  # from the end of an engine to the start of the next one
# What becomes of the calls that stop the runs of a reclaimed engine.
OUTCOMES = (
    (CallOutcome.DONE,),
    (CallOutcome.DONE, CallOutcome.LATE),
    (CallOutcome.LOST,),
    (CallOutcome.NOT_EXECUTED,),
    (CallOutcome.DELAYED,),
    (CallOutcome.NOT_FOUND,),
    (CallOutcome.NO_ROOM,),
    tuple(CallOutcome),
)


def choose_notice_s(fault: Fault) -> float:
    """Return the notice with which a fault reclaims engines."""
    return min(MIN_NOTICE_S + fault.for_s / 2, MAX_NOTICE_S)


async def reclaim(engine: SoakEngine, fault: Fault, notice_s: float) -> None:
    """Reclaim an engine, and start the next one after it."""
    engine.outcomes = OUTCOMES[(fault.pick >> 8) % len(OUTCOMES)]
    await engine.reclaim(notice_s)
    await asyncio.sleep(BOOT_S)
    engine.outcomes = OUTCOMES[0]
    await engine.start()


async def _reclaim_engine(deployment: SoakDeployment, fault: Fault) -> None:
    engines = ready_engines(deployment.endpoints)
    if engines:
        engine = engines[fault.pick % len(engines)]
        await reclaim(engine, fault, choose_notice_s(fault))


async def _reclaim_busiest(deployment: SoakDeployment, fault: Fault) -> None:
    engines = ready_engines(deployment.endpoints)
    if engines:
        busiest = max(engines, key=lambda engine: len(engine.streams))
        await reclaim(busiest, fault, choose_notice_s(fault))


async def _reclaim_centre(deployment: SoakDeployment, fault: Fault) -> None:
    centre = DATA_CENTRES[fault.pick % len(DATA_CENTRES)]
    engines = ready_engines(deployment.endpoints)
    await asyncio.gather(
        *(
            reclaim(engine, fault, choose_notice_s(fault))
            for engine in engines
            if engine.data_centre == centre
        )
    )


RECLAIM_FAULTS: dict[str, Callable[[SoakDeployment, Fault], Awaitable[None]]] = {
    "reclaim_engine": _reclaim_engine,
    "reclaim_busiest": _reclaim_busiest,
    "reclaim_centre": _reclaim_centre,
}

# What a stream that is moved to another engine must withstand.
RECLAIM_KINDS = (
    *RECLAIM_FAULTS,
    "planned_stop",
    "reload",
    "add_route",
    "store_loses_answers",
    "store_silent",
)
