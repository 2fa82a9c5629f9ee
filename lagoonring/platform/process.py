"""Runs an instance on the platform until it receives a signal to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING

from prometheus_client import Gauge

from lagoonring.logs import make_logger
from lagoonring.logs.queued import QueuedLinesHandler
from lagoonring.platform.application import make_application
from lagoonring.platform.boot import load_boot_file

if TYPE_CHECKING:
    from pathlib import Path

    from lagoonring.kernel import Application
    from lagoonring.serving.settings import NodeSettings

GRACE_RESERVE_S = 0.7  # reserved before SIGKILL, to close connections after the drain
GC_THRESHOLDS = (5_000, 20, 50)

logger = make_logger("instance")


async def run_instance(
    path: Path, *, metrics_port: int, handler: QueuedLinesHandler
) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop."""
    settings = load_boot_file(path)
    app = make_application(
        settings,
        metrics_port=metrics_port,
        read_settings=lambda: load_boot_file(path),
    )
    dropped = Gauge(
        "lagoonring_log_lines_dropped",
        "Log lines dropped because standard output did not keep up.",
        registry=app.find("metrics").registry,
    )
    dropped.set_function(lambda: handler.n_dropped)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, leave, app, settings)
    loop.add_signal_handler(signal.SIGHUP, _reload, app)
    await app.start()
    enable_gc()
    logger.info(
        "Started.",
        extra={"instance": settings.instance, "data_centre": settings.data_centre},
    )
    await app.leaving.wait()
    grace_s = app.remaining_grace_s()
    logger.info("Leaving.", extra={"grace_s": round(grace_s, 3)})
    await app.drain(grace_s)
    await app.stop()
    logger.info("Stopped.")


def enable_gc() -> None:
    """Collect the garbage of the start and exempt what is left from collections.

    The collector is disabled until then, since collections while modules are imported
    take an eighth of the start and free next to nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def leave(app: Application, settings: NodeSettings) -> None:
    """Leave within the grace period of the settings in force.

    ``settings`` are those of the start, in force until the application has read others.
    """
    if "settings" in app.services:
        reload = app.find("settings")
        reload.reload()
        settings = reload.settings
    app.leave(max(settings.bounds.grace_s - GRACE_RESERVE_S, 0.0))


def _reload(app: Application) -> None:
    logger.info("Got SIGHUP.")
    if "settings" in app.services:  # else the start is not complete; it checks soon
        app.find("settings").reload()


def run_logged(path: Path, *, metrics_port: int) -> None:
    """Run an instance with structured logs on standard output."""
    handler = QueuedLinesHandler()
    with handler.applicationbound():
        try:
            asyncio.run(run_instance(path, metrics_port=metrics_port, handler=handler))
        finally:
            handler.close()
