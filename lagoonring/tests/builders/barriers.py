"""Barriers of a deployment: hold all streams at a token, wait, release them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lagoonring.standins.engine_faults import EngineFaults

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.tests.builders.callers import Caller
    from lagoonring.tests.builders.deployments import Deployment

POLL_INTERVAL_S = 0.005


def hold_all(deployment: Deployment, n_tokens: int) -> None:
    """Hold every stream after its endpoint has sent ``n_tokens``."""
    for engine in deployment.engines.values():
        engine.batch.set_faults(EngineFaults(hold_at_token=n_tokens))


def release_all(deployment: Deployment) -> None:
    """Release all held streams."""
    for engine in deployment.engines.values():
        engine.batch.set_faults(EngineFaults())


async def wait_until_held(deployment: Deployment, n_streams: int = 1) -> str:
    """Return the name of the first engine that holds ``n_streams`` streams."""
    waits = {
        asyncio.create_task(engine.batch.wait_until_held(n_streams)): name
        for name, engine in deployment.engines.items()
    }
    done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    return waits[done.pop()]


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, limited by the deployment's timeout."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)


async def wait_for_tokens(caller: Caller, n_tokens: int) -> None:
    """Wait until a caller has received at least ``n_tokens`` tokens."""
    await wait_until(lambda: len(caller.ids) >= n_tokens)


async def wait_for_members(deployment: Deployment) -> None:
    """Wait until every instance knows all the others."""
    n_others = len(deployment.entries) - 1
    for app in deployment.entries:
        peers = app.find("peers")
        await wait_until(lambda peers=peers: len(peers.members()) >= n_others)
