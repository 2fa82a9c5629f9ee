"""Client of the administration API for the command line."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import attrs
import msgspec
import typer

from lagoonring.cli.exits import Exit

TIMEOUT_S = 15.0
FAULTY_STATUSES = (400, 413, 422)
REFUSED_STATUSES = (401, 403, 404, 409)


@attrs.frozen
class Connection:
    """Where the administration API is and who asks."""

    url: str
    token: str = attrs.field(repr=False)


def ask(
    connection: Connection,
    method: str,
    path: str,
    *,
    content: Any = None,
    params: dict[str, str] | None = None,
) -> Any:
    """Return the answer's JSON, or end the program with the fitting exit code."""
    return asyncio.run(_ask(connection, method, path, content, params))


async def _ask(
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
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, url, data=body, headers=headers, params=params
            ) as answer,
        ):
            data = await answer.read()
            status = answer.status
    except aiohttp.ClientConnectorError:
        raise _fail(
            f"Got no connection to {connection.url}, expected an entry instance. "
            "Name another one with --url.",
            Exit.UNREACHABLE,
        ) from None
    except (TimeoutError, aiohttp.ClientError) as error:
        raise _fail(
            f"Got no answer of {connection.url} ({type(error).__name__}). "
            "Look up what became of the order before giving it again.",
            Exit.UNKNOWN if method != "GET" else Exit.UNREACHABLE,
        ) from None
    return _decode(status, data)


def _decode(status: int, data: bytes) -> Any:
    try:
        document = msgspec.json.decode(data)
    except msgspec.DecodeError:
        raise _fail(f"Got status {status} without JSON.", Exit.FAILED) from None
    if status < 400:
        return document
    error = document.get("error", {}) if isinstance(document, dict) else {}
    message = f"[{error.get('code')}] {error.get('message')} {error.get('remedy')}"
    raise _fail(message, exit_for(status, error.get("outcome", "")))


def exit_for(status: int, outcome: str) -> Exit:
    """Return the exit code for an error answer."""
    if outcome == "unknown" and status >= 500:
        return Exit.UNKNOWN
    if status in FAULTY_STATUSES:
        return Exit.FAULTY
    if status in REFUSED_STATUSES:
        return Exit.REFUSED
    return Exit.UNREACHABLE if status in (502, 503, 504) else Exit.FAILED


def _fail(message: str, code: Exit) -> typer.Exit:
    typer.echo(f"lagoonring: {message}", err=True)
    return typer.Exit(int(code))
