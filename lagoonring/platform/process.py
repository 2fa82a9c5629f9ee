"""Runs an instance on the platform until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from lagoonring.logs import make_logger
from lagoonring.logs.queued import QueuedLinesHandler
from lagoonring.platform.application import make_application

if TYPE_CHECKING:
    from lagoonring.serving.settings import NodeSettings

GRACE_RESERVE_S = 0.7  # of the time to SIGKILL, for closing what is open
COLLECTOR_THRESHOLDS = (5_000, 20, 50)

logger = make_logger("instance")


async def run_instance(settings: NodeSettings, *, metrics_port: int) -> None:
    """Serve until SIGTERM, then finish what is open and stop."""
    app = make_application(settings)
    loop = asyncio.get_running_loop()
    grace_s = settings.bounds.grace_s - GRACE_RESERVE_S
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, app.leave, grace_s)
    loop.add_signal_handler(signal.SIGHUP, lambda: logger.info("Got SIGHUP."))
    await app.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
    logger.info(
        "Started.",
        extra={"instance": settings.instance, "data_centre": settings.data_centre},
    )
    await app.leaving.wait()
    logger.info("Leaving.", extra={"grace_s": grace_s})
    await app.drain(grace_s)
    await app.stop()
    logger.info("Stopped.")


def run_logged(settings: NodeSettings, *, metrics_port: int) -> None:
    """Run an instance with structured logs on standard output."""
    handler = QueuedLinesHandler()
    with handler.applicationbound():
        try:
            asyncio.run(run_instance(settings, metrics_port=metrics_port))
        finally:
            handler.close()
