"""JSON requests to platform services, with errors that say if they had an effect."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.endpoints.transport import read_bounded
from lagoonring.errors import AnswerLostError, InvalidInputError, UnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 1.0
MAX_SHOWN_BYTES = 200


class PlatformUnavailableError(UnavailableError):
    """A platform service did not accept the request; it had no effect."""

    code = "platform_unavailable"


class PlatformAnswerLostError(AnswerLostError):
    """A platform service may have executed the request; its answer was lost."""

    code = "platform_answer_lost"


class PlatformRejectedError(InvalidInputError):
    """A platform service rejected the request as invalid, with ``status``."""

    code = "platform_rejected"

    def __init__(self, message: str, *, status: int) -> None:
        super().__init__(message, remedy="Correct the request.")
        self.status = status


class PlatformClient:
    """Base class of the clients of the platform's services.

    Parameters
    ----------
    url : str
        Root URL of the service.
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url.rstrip("/")
        self.session = session


async def request_json(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    kind: type[T] | Any,
    *,
    content: Any = None,
    params: Mapping[str, str] | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> T:
    """Send a request with a JSON body and decode the answer to type ``kind``.

    Raises
    ------
    PlatformUnavailableError
        If the request had no effect: no connection, status 429 or 503, or a GET
        request that failed.
    PlatformAnswerLostError
        If it may have had an effect.
    PlatformRejectedError
        For any other status from 400 to 499.
    """
    body = None if content is None else msgspec.json.encode(content)
    sent_headers = dict(headers or {})
    if content is not None:
        sent_headers["Content-Type"] = "application/json"
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    try:
        async with session.request(
            method,
            url,
            data=body,
            params=params,
            headers=sent_headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            answer = await read_bounded(response)
            _raise_unless_ok(response, answer)
            return decode_json(answer or b"null", kind)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise _unavailable(url, repr(error), RETRY_AFTER_S) from error
    except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
        if method == "GET":
            raise _unavailable(url, repr(error), RETRY_AFTER_S) from error
        raise PlatformAnswerLostError(
            f"Got no answer of {url} ({error!r}), expected one.",
            remedy="Read the state back before asking again.",
            retry_after_s=RETRY_AFTER_S,
        ) from error


def _raise_unless_ok(response: aiohttp.ClientResponse, answer: bytes) -> None:
    status = response.status
    if status < 300:
        return
    shown = answer[:MAX_SHOWN_BYTES].decode(errors="replace")
    if status in (429, 503):
        delay_s = _read_delay_s(response.headers.get("Retry-After"))
        raise _unavailable(str(response.url), f"status {status} ({shown})", delay_s)
    if 400 <= status < 500:
        raise PlatformRejectedError(
            f"Got status {status} of {response.url} ({shown}), expected 200.",
            status=status,
        )
    raise aiohttp.ClientPayloadError(f"status {status} ({shown})")


def _read_delay_s(text: str | None) -> float:
    try:
        return float(text or RETRY_AFTER_S)
    except ValueError:
        return RETRY_AFTER_S


def _unavailable(url: str, got: str, retry_after_s: float) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f"Got {got} for {url}, expected an answer.",
        remedy="Try again when the platform's service is back.",
        retry_after_s=retry_after_s,
    )
