"""HTTP client of the administration API, for the operator command."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp
import attrs
import msgspec
import typer

from lagoonring.cli.exits import Exit
from lagoonring.endpoints.connections import CheckedConnector
from lagoonring.endpoints.transport import read_bounded

TIMEOUT_S = 15.0
MAX_WAIT_S = 60.0
RETRY_INTERVAL_S = 1.0
MAX_ANSWER_BYTES = 256 << 20
FAULTY_STATUSES = (400, 413, 422)
REFUSED_STATUSES = (401, 403, 404, 409)
UNREACHABLE_STATUSES = (502, 503, 504)


@attrs.frozen
class Connection:
    """Base URL of an entry instance, and the operator's token."""

    url: str
    token: str = attrs.field(repr=False)


class CommandError(Exception):
    """Failed API request, with a message and an exit code."""

    def __init__(self, message: str, code: Exit) -> None:
        super().__init__(message)
        self.message = message
        self.code = code


def request_or_exit(
    connection: Connection,
    method: str,
    path: str,
    *,
    content: Any = None,
    params: dict[str, str] | None = None,
) -> Any:
    """Send a request; return the JSON response, or exit with an error code."""
    try:
        return request(connection, method, path, content=content, params=params)
    except CommandError as error:
        raise fail(error.message, error.code) from None


def request(
    connection: Connection,
    method: str,
    path: str,
    *,
    content: Any = None,
    params: dict[str, str] | None = None,
) -> Any:
    """Send a request and return the JSON response.

    Raises
    ------
    CommandError
        If the request failed, with the exit code for the failure.
    """
    return asyncio.run(_send_request(connection, method, path, content, params))


def get_with_retries(
    connection: Connection, path: str, *, params: dict[str, str] | None = None
) -> Any:
    """Return the JSON response to a GET, retrying while the instance is unreachable.

    Exits with an error after :data:`MAX_WAIT_S` without a response, or at once if
    the request fails otherwise.
    """
    since_s = time.monotonic()
    is_reported = False
    while True:
        try:
            return request(connection, "GET", path, params=params)
        except CommandError as error:
            is_timed_out = time.monotonic() - since_s > MAX_WAIT_S
            if error.code != Exit.UNREACHABLE or is_timed_out:
                raise fail(error.message, error.code) from None
            if not is_reported:
                typer.echo(f"lagoonring: {error.message} Asking again.", err=True)
                is_reported = True
        time.sleep(RETRY_INTERVAL_S)


async def _send_request(
    connection: Connection,
    method: str,
    path: str,
    content: Any,
    params: dict[str, str] | None,
) -> Any:
    body = None if content is None else msgspec.json.encode(content)
    headers = {"Authorization": f"Bearer {connection.token}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    url = connection.url.rstrip("/") + path
    try:
        async with (
            aiohttp.ClientSession(
                connector=CheckedConnector(), timeout=timeout
            ) as session,
            session.request(
                method,
                url,
                data=body,
                headers=headers,
                params=params,
                allow_redirects=False,
            ) as answer,
        ):
            data = await read_bounded(answer, MAX_ANSWER_BYTES)
            status = answer.status
    except (aiohttp.InvalidURL, ValueError):
        raise CommandError(
            f"Got URL {connection.url!r}, expected one like http://HOST:PORT. "
            "Correct --url or LAGOONRING_URL.",
            Exit.USAGE,
        ) from None
    except aiohttp.ClientConnectorError:
        raise CommandError(
            f"Got no connection to {connection.url}, expected an entry instance. "
            "Select another one with --url.",
            Exit.UNREACHABLE,
        ) from None
    except (TimeoutError, aiohttp.ClientError) as error:
        raise _no_answer(connection, method, type(error).__name__) from None
    return _decode(status, data)


def _no_answer(connection: Connection, method: str, cause: str) -> CommandError:
    got = f"Got no answer from {connection.url} ({cause}), expected one"
    if method == "GET":
        return CommandError(
            f"{got}. Select another instance with --url.", Exit.UNREACHABLE
        )
    return CommandError(
        f"{got} within {TIMEOUT_S:g} s; the order may have been accepted.", Exit.UNKNOWN
    )


def _decode(status: int, data: bytes) -> Any:
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        raise CommandError(
            f"Got status {status} without JSON, expected the administration API. "
            "Check that --url is the root of an entry instance.",
            Exit.FAILED,
        ) from None
    if status < 300:
        return document
    if status < 400:
        raise CommandError(
            f"Got status {status}, expected the administration API. Check that --url "
            "is the root of an entry instance.",
            Exit.FAILED,
        )
    error = document.get("error", {}) if isinstance(document, dict) else {}
    message = f"[{error.get('code')}] {error.get('message')} {error.get('remedy')}"
    raise CommandError(message, exit_for(status, error.get("outcome", "")))


def exit_for(status: int, outcome: str) -> Exit:
    """Return the exit code for an error response."""
    if outcome == "unknown" and status >= 500:
        return Exit.UNKNOWN
    if status in FAULTY_STATUSES:
        return Exit.FAULTY
    if status in REFUSED_STATUSES:
        return Exit.REFUSED
    return Exit.UNREACHABLE if status in UNREACHABLE_STATUSES else Exit.FAILED


def fail(message: str, code: Exit) -> typer.Exit:
    """Print a message on standard error; return the exception that exits."""
    typer.echo(f"lagoonring: {message}", err=True)
    return typer.Exit(int(code))
