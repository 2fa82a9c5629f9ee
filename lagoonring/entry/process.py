"""Runs an entry instance until it receives a signal or a notice to stop."""

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

GC_THRESHOLDS = (5_000, 20, 50)

logger = make_logger("entry")


async def run_entry(settings: EntrySettings) -> None:
    """Serve until SIGTERM, SIGINT or a reclaim notice, then drain and stop.

    Another signal aborts the drain.
    """
    app = make_entry_application(settings)
    aborted = asyncio.Event()

    def handle_signal() -> None:
        if app.leaving.is_set():
            aborted.set()
        app.leave(settings.grace_s)

    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_signal)
    await app.start()
    _configure_gc()
    http = app.find("http")
    print(
        f"ready http://{settings.host}:{http.port} "
        f"data_centre={settings.data_centre} instance={settings.instance}",
        flush=True,
    )
    await app.leaving.wait()
    grace_s = app.remaining_grace_s()
    logger.info("Draining for at most {} s.", grace_s)
    await _drain(app.drain(grace_s), aborted)
    await app.stop()
    logger.info("Stopped.")


def _configure_gc() -> None:
    """Exclude objects made at start from garbage collection, and collect rarely.

    A full collection pauses every stream, and few objects form reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _drain(drain: Coroutine[Any, Any, None], aborted: asyncio.Event) -> None:
    """Run the drain until it completes or is aborted."""
    drained = asyncio.ensure_future(drain)
    abort_waiter = asyncio.ensure_future(aborted.wait())
    await asyncio.wait({drained, abort_waiter}, return_when=asyncio.FIRST_COMPLETED)
    for task in (drained, abort_waiter):
        task.cancel()
    await asyncio.gather(drained, abort_waiter, return_exceptions=True)


def run_logged(settings: EntrySettings) -> None:
    """Run an entry instance with structured logs on standard error."""
    with JsonLinesHandler(level=settings.log_level).applicationbound():
        asyncio.run(run_entry(settings))
