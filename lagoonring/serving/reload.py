"""Applies changes of the settings file without a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lagoonring.kernel import Application
    from lagoonring.serving.parts import ServingParts
    from lagoonring.serving.settings import NodeSettings

CHECK_INTERVAL_S = 2.0  # for changes without a signal, which are not urgent
APPLIED_FIELDS = (
    "bounds",
    "seed_ips",
    "store_address",
    "cloud_address",
    "max_fds",
    "memory_bytes",
)

logger = make_logger("settings")


class SettingsReload(BaseService):
    """Reloads the settings on a signal and periodically.

    Parameters
    ----------
    read : callable
        Returns the settings; raises a ``LagoonringError`` if they are invalid.
    listeners : sequence of callable
        Called with settings that have changed.
    """

    name = "settings"

    def __init__(
        self,
        app: Application,
        parts: ServingParts,
        settings: NodeSettings,
        read: Callable[[], NodeSettings],
        *,
        listeners: Sequence[Callable[[NodeSettings], None]] = (),
    ) -> None:
        self.app = app
        self.parts = parts
        self.settings = settings
        self.read = read
        self.listeners = listeners
        self.last_error = ""

    async def start(self) -> None:
        """Start to check for changes."""
        self.app.spawn("settings", self._run)

    def reload(self) -> None:
        """Apply changed settings; an invalid file changes nothing."""
        try:
            settings = self.read()
        except LagoonringError as error:
            if str(error) != self.last_error:
                logger.error("Settings rejected.", extra={"error": str(error)})
            self.last_error = str(error)
            return
        self.last_error = ""
        changed = [
            field.name
            for field in attrs.fields(type(settings))
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        if not changed:
            return
        logger.info(
            "Settings changed.",
            extra={
                "changed": changed,
                "after_restart": [
                    name for name in changed if name not in APPLIED_FIELDS
                ],
            },
        )
        self.settings = settings
        self.parts.apply_bounds(settings.bounds)
        self.parts.buffers.set_memory(settings.memory_bytes)
        self.parts.exchange.set_seeds(settings.seed_ips)
        for listener in self.listeners:
            listener(settings)

    async def _run(self) -> None:
        while True:
            await self.app.clock.sleep(CHECK_INTERVAL_S)
            self.reload()
