"""The application service that provides the platform's log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from lagoonring.endpoints.connections import CheckedConnector
from lagoonring.kernel import BaseService
from lagoonring.platform.log import MAX_PAGE_RECORDS
from lagoonring.platform.store_log import LogClient

if TYPE_CHECKING:
    from lagoonring.platform.log import Log, Page

MAX_CONNECTIONS = 16


class LogService(BaseService):
    """Provides one shared log; implements :class:`lagoonring.platform.log.Log`.

    Parameters
    ----------
    log : Log or None
        An existing log, such as a stand-in.
    url : str
        Root URL of the log; the service then creates a client at start.
    """

    name = "log"

    def __init__(self, log: Log | None = None, *, url: str = "") -> None:
        if (log is None) == (not url):
            raise ValueError(
                f"Got log {log!r} and url {url!r}, expected exactly one. "
                "Pass either a log or its URL."
            )
        self.log = log
        self.url = url
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session; connections are opened on demand."""
        if self.url:
            connector = CheckedConnector(limit=MAX_CONNECTIONS)
            self.session = aiohttp.ClientSession(connector=connector)
            self.log = LogClient(self.url, self.session)

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset; errors as in ``LogClient``."""
        return await self._get_log().append(stream, data)

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = MAX_PAGE_RECORDS,
        wait_s: float = 0.0,
    ) -> Page:
        """Return records from an offset; errors as in ``LogClient``."""
        log = self._get_log()
        return await log.read(stream, from_offset, limit=limit, wait_s=wait_s)

    def _get_log(self) -> Log:
        if self.log is None:
            raise RuntimeError(
                "Got a call before start, expected one after. Start the application."
            )
        return self.log
