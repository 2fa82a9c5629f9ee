"""How callers reach entry instances: which one, how long, when again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
import msgspec

if TYPE_CHECKING:
    from lagoonring.load.balancer import Balancer
    from lagoonring.load.options import LoadSettings

RETRY_S = 0.2
RETRY_MOST_S = 5.0
CONNECT_TIMEOUT_S = 2.0
MARGIN_S = 2.0
N_ATTEMPTS_MOST = 40
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


@attrs.frozen
class ErrorAnswer:
    """An error that an entry instance answered with."""

    status: int
    code: str
    outcome: str
    retry_after_s: float


class Callers:
    """What all callers of a run share.

    Parameters
    ----------
    settings : LoadSettings
        Keys and classes.
    session : aiohttp.ClientSession
        Owned by the run.
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

    def headers(self, organisation: str, **more: str) -> dict[str, str]:
        """Return the headers of an organisation's request."""
        key = self.settings.organisations[organisation].key
        return {"Authorization": f"Bearer {key}", **more}


class Patience:
    """Time and attempts that a caller has for one request.

    Parameters
    ----------
    deadline_s : float
        Seconds from now.
    """

    def __init__(self, deadline_s: float) -> None:
        self.loop = asyncio.get_running_loop()
        self.end_s = self.loop.time() + deadline_s
        self.n_attempts = 0

    def left_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.end_s - self.loop.time()

    def left_ms(self) -> str:
        """Return the time left as a header's value."""
        return str(max(1, round(self.left_s() * 1000)))

    def timeout(self) -> aiohttp.ClientTimeout:
        """Return the time limits of one exchange."""
        total_s = max(0.1, self.left_s() + MARGIN_S)
        return aiohttp.ClientTimeout(total=total_s, sock_connect=CONNECT_TIMEOUT_S)

    def has_more(self) -> bool:
        """Count an attempt; return whether it may be made."""
        self.n_attempts += 1
        return self.left_s() > 0 and self.n_attempts <= N_ATTEMPTS_MOST

    async def wait(self, delay_s: float) -> None:
        """Wait before the next attempt, not beyond the deadline."""
        await asyncio.sleep(max(0.0, min(delay_s, RETRY_MOST_S, self.left_s())))


async def read_error(answer: aiohttp.ClientResponse) -> ErrorAnswer:
    """Return the error in an answer; one of another program has no code."""
    data = await answer.read()
    error: dict[str, Any] = {}
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        document = None
    if isinstance(document, dict) and isinstance(document.get("error"), dict):
        error = document["error"]
    header = answer.headers.get("Retry-After", "")
    told_s = error.get("retry_after_s")
    if told_s is None:
        told_s = float(header) if header.isdecimal() else RETRY_S
    return ErrorAnswer(
        status=answer.status,
        code=str(error.get("code") or f"status_{answer.status}"),
        outcome=str(error.get("outcome") or answer.headers.get("X-Outcome", "")),
        retry_after_s=float(told_s),
    )
