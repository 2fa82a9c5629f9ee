"""Runs a case: sets up the deployment, plays it and tells whether the rule held."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from lagoonring.standins.platform_standin import PlatformStandin
from review.shared_2.deployment import CouldNotRunError, Deployment, Record
from review.shared_2.standins import LateStore, Requesters, Server

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Awaitable, Callable
    from pathlib import Path


@attrs.define(kw_only=True)
class Stage:
    """What a case plays on."""

    record: Record
    store: LateStore
    cloud: PlatformStandin
    deployment: Deployment
    session: aiohttp.ClientSession
    requesters: Requesters
    is_disturbed: bool
    servers: list[Server] = attrs.field(factory=list)
    tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    @property
    def urls(self) -> list[str]:
        """Root URLs of all instances."""
        return [instance.url for instance in self.deployment.instances]

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        """Run a task until it or the case ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


@asynccontextmanager
async def open_stage(record: Record, *, is_disturbed: bool) -> AsyncGenerator[Stage]:
    """Start the platform; in the end, stop all that was started."""
    store, cloud = LateStore(record), PlatformStandin()
    await store.start()
    await cloud.start()
    deployment = Deployment(record, store=store.address, cloud=cloud.address)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        stage = Stage(
            record=record,
            store=store,
            cloud=cloud,
            deployment=deployment,
            session=session,
            requesters=Requesters(session, record),
            is_disturbed=is_disturbed,
        )
        try:
            yield stage
        finally:
            deployment.stop()
            for task in stage.tasks:
                task.cancel()
            for server in stage.servers:
                await server.stop()
            await store.stop()
            await cloud.stop()


def run_case(folder: Path, play: Callable[[Stage], Awaitable[bool]]) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(folder / "record.txt")
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record.add("begins", trouble=int(is_disturbed))

    async def run() -> bool:
        async with open_stage(record, is_disturbed=is_disturbed) as stage:
            return await play(stage)

    try:
        is_broken = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        # Whatever is wrong with the case itself must not look like a broken rule.
        if not isinstance(error, CouldNotRunError):
            traceback.print_exc()
        record.add("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        record.write()
        sys.exit(2)
    record.add("broken" if is_broken else "held")
    record.write()
    print("broken" if is_broken else "held")
    sys.exit(int(is_broken))
