"""The frame of a case: plays and judges it, and ends all that it started."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from shared.deployment import Deployment
    from shared.link import Link
    from shared.servers import Server

MAX_PLAY_S = 115.0
CANNOT_RUN = 2  # exit code


class Case:
    """A deployment, its servers and links, and what was seen of them.

    Parameters
    ----------
    deployment : Deployment
        The instances and the platform.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.servers: list[Server] = []
        self.links: list[Link] = []
        self.runs: list[dict] = []
        self.events: list[tuple[float, str]] = []

    async def run(self) -> None:
        """Play the case."""
        raise NotImplementedError

    def judge(self) -> int:
        """Write the record; return 1 if the rule was broken, else 0."""
        raise NotImplementedError

    async def stop(self) -> None:
        """End all that was started."""
        await self.deployment.stop()
        for link in self.links:
            await link.stop()
        for server in self.servers:
            await server.stop()


async def play(make_case: Callable[[], Case]) -> int:
    """Play and judge a case; return the exit code."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    case = make_case()
    try:
        async with asyncio.timeout(MAX_PLAY_S):
            await case.run()
        return case.judge()
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return CANNOT_RUN
    finally:
        await case.stop()


def main(make_case: Callable[[], Case]) -> None:
    """Play a case, and exit with its code."""
    sys.exit(asyncio.run(play(make_case)))
