"""Common parts of callers: headers, timeouts, retry delays, error parsing."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import msgspec

if TYPE_CHECKING:
    from lagoonring.load.balancer import Balancer
    from lagoonring.load.options import LoadSettings

RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0
CONNECT_TIMEOUT_S = 2.0
TIMEOUT_MARGIN_S = 2.0
MAX_ATTEMPTS = 40
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


@attrs.frozen
class ErrorAnswer:
    """An error response of an entry instance."""

    status: int
    code: str
    outcome: str
    retry_after_s: float


class Callers:
    """State shared by all callers of a run.

    Parameters
    ----------
    settings : LoadSettings
        Provides the organisations' API keys and the service classes.
    session : aiohttp.ClientSession
        Owned and closed by the run.
    balancer : Balancer
        Chooses entry instances.
    """

    def __init__(
        self,
        settings: LoadSettings,
        session: aiohttp.ClientSession,
        balancer: Balancer,
    ) -> None:
        self.settings = settings
        self.session = session
        self.balancer = balancer

    def headers(self, organisation: str, **extra: str) -> dict[str, str]:
        """Return the headers of an organisation's request, authorization included."""
        key = self.settings.organisations[organisation].key
        return {"Authorization": f"Bearer {key}", **extra}


class AttemptBudget:
    """Time and number of attempts available for one request.

    Parameters
    ----------
    deadline_s : float
        Time available, in seconds from now.
    """

    def __init__(self, deadline_s: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.end_s = self.loop.time() + deadline_s
        self.n_attempts = 0

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.end_s - self.loop.time()

    def remaining_ms(self) -> str:
        """Return the milliseconds left, at least 1, as a header value."""
        return str(max(1, round(self.remaining_s() * 1000)))

    def timeout(self) -> aiohttp.ClientTimeout:
        """Return the timeouts of one exchange, with a margin over the time left."""
        total_s = max(0.1, self.remaining_s() + TIMEOUT_MARGIN_S)
        return aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)

    def begin_attempt(self) -> bool:
        """Count an attempt and return whether time and attempts allow it."""
        self.n_attempts += 1
        return self.remaining_s() > 0 and self.n_attempts <= MAX_ATTEMPTS

    async def wait(self, delay_s: float) -> None:
        """Sleep before the next attempt, but not beyond the deadline."""
        await asyncio.sleep(
            max(0.0, min(delay_s, MAX_RETRY_DELAY_S, self.remaining_s()))
        )


async def read_error(answer: aiohttp.ClientResponse) -> ErrorAnswer:
    """Parse an error response; one of another program gets code ``status_<number>``."""
    data = await answer.read()
    error: dict[str, Any] = {}
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        document = None
    if isinstance(document, dict) and isinstance(document.get("error"), dict):
        error = document["error"]
    header = answer.headers.get("Retry-After", "")
    delay_s = error.get("retry_after_s")
    if delay_s is None:
        delay_s = float(header) if header.isdecimal() else RETRY_DELAY_S
    return ErrorAnswer(
        status=answer.status,
        code=str(error.get("code") or f"status_{answer.status}"),
        outcome=str(error.get("outcome") or answer.headers.get("X-Outcome", "")),
        retry_after_s=float(delay_s),
    )
