"""Runs an entry instance until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING, Any

from lagoonring.entry.application import make_entry_application
from lagoonring.logs import JsonLinesHandler, make_logger

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lagoonring.settings.entry_settings import EntrySettings

COLLECTOR_THRESHOLDS = (5_000, 20, 50)

logger = make_logger("entry")


async def run_entry(settings: EntrySettings) -> None:
    """Serve until SIGTERM, SIGINT or a notice, then drain and stop.

    A second signal ends the drain at once.
    """
    app = make_entry_application(settings)
    hurried = asyncio.Event()

    def on_signal() -> None:
        if app.leaving.is_set():
            hurried.set()
        app.leave(settings.grace_s)

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await app.start()
    _calm_collector()
    http = app.find("http")
    print(
        f"ready http://{settings.host}:{http.port} "
        f"data_centre={settings.data_centre} instance={settings.instance}",
        flush=True,
    )
    await app.leaving.wait()
    grace_s = settings.grace_s if app.grace_s is None else app.grace_s
    logger.info("Draining for at most {} s.", grace_s)
    await _drain(app.drain(grace_s), hurried)
    await app.stop()
    logger.info("Stopped.")


def _calm_collector() -> None:
    """Keep what the start made out of collections, and full ones rare.

    A full collection stops every stream; little here forms cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


async def _drain(drain: Coroutine[Any, Any, None], hurried: asyncio.Event) -> None:
    """Run the drain until it is done or hurried."""
    drained = asyncio.ensure_future(drain)
    hurry = asyncio.ensure_future(hurried.wait())
    await asyncio.wait({drained, hurry}, return_when=asyncio.FIRST_COMPLETED)
    for task in (drained, hurry):
        task.cancel()
    await asyncio.gather(drained, hurry, return_exceptions=True)


def run_logged(settings: EntrySettings) -> None:
    """Run an entry instance with structured logs on standard error."""
    with JsonLinesHandler(level=settings.log_level).applicationbound():
        asyncio.run(run_entry(settings))
