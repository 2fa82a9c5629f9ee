"""Calls to model engines that move the KV cache of a run."""

from __future__ import annotations

import math
from typing import Annotated
from urllib.parse import quote

import aiohttp
import attrs
import msgspec
from yarl import URL

from lagoonring.decoding import decode_json
from lagoonring.endpoints.transport import read_bounded
from lagoonring.logs import make_logger

MOVE_PATH = "/kv-move"
HANDLE_PATH = "/kv-handle/"
REPORT_PATH = "/report"
NOT_FOUND = 404
REPORT_TIMEOUT_S = 0.5  # a fifth of the usual reclaim notice
MOVE_TIMEOUT_S = 1.5  # a copy takes milliseconds but queues behind earlier copies
CONNECT_TIMEOUT_S = 0.3

logger = make_logger("engines")


# Eleven days at most.
MillisecondsLeft = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]


class _MoveResponse(msgspec.Struct):
    handle: str | int | None = None
    # Number of stream events that the engine has generated so far.
    createRevision: int | None = None

    @property
    def n_events(self) -> int:
        return self.createRevision or 0


class _EngineReport(msgspec.Struct):
    # Time until the platform reclaims the engine, if known.
    leaves_ms: MillisecondsLeft | None = None


@attrs.frozen
class MovedRun:
    """A stopped run: the engine that retains its KV cache, and the cache's handle.

    ``is_copied`` is whether the target engine has a copy as well, ``n_events`` how many
    events of its stream the run had generated, 0 if that is not known.
    """

    address: str
    handle: str
    is_copied: bool = True
    n_events: int = 0


@attrs.frozen
class CopyResult:
    """Whether there was room for a copy, and the run as the target holds it.

    The run is None if the engine did not name its copy.
    """

    has_room: bool
    run: MovedRun | None = None


class EngineCalls:
    """Reads reclaim times from engines and moves runs between engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def read_time_left(self, address: str) -> float | None:
        """Return the seconds until an engine is reclaimed.

        Infinite if it reports no time, or has no report; None if it gave no answer that
        can be read.
        """
        timeout = aiohttp.ClientTimeout(
            total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.get(
                f"http://{address}{REPORT_PATH}",
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await read_bounded(response)
            if response.status == NOT_FOUND:
                return math.inf
            if response.status != 200:
                raise aiohttp.ClientPayloadError(f"status {response.status}")
            report = decode_json(body, _EngineReport)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
            logger.warning(
                "Could not read an engine's report.",
                extra={"address": address, "error": repr(error)},
            )
            return None
        return math.inf if report.leaves_ms is None else report.leaves_ms / 1000

    async def still_answers(self, address: str) -> bool:
        """Return whether an engine answers on a new connection.

        One that is being stopped may still answer on those that it has.
        """
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            return await EngineCalls(session).read_time_left(address) is not None

    async def copy(self, source: str, request_id: str, target: str) -> CopyResult:
        """Copy the KV cache of a run that goes on.

        The copy holds memory and a slot of the target until the run is continued there.
        """
        answer = await self._call_move(source, request_id, target, is_last=False)
        if answer is None or answer[0] != 200:
            return CopyResult(has_room=False)
        copy = answer[1]
        if copy.handle is None:
            return CopyResult(has_room=True)
        run = MovedRun(source, str(copy.handle), n_events=copy.n_events)
        return CopyResult(has_room=True, run=run)

    async def stop_and_copy(
        self, source: str, request_id: str, target: str
    ) -> MovedRun | None:
        """Stop a run and copy its KV cache from one engine to another.

        Returns
        -------
        MovedRun or None
            None if there is no such run, or the call failed with unknown effect.
        """
        answer = await self._call_move(source, request_id, target, is_last=True)
        if answer is None:
            return None
        status, moved = answer
        logger.info(
            "Call to stop a run answered.",
            extra={
                "request_id": request_id,
                "source": source,
                "target": target,
                "status": status,
                "handle": moved.handle,
            },
        )
        if moved.handle is None or status not in (200, 503):
            return None
        # Status 503: the target refused the copy, so only the source has the cache.
        return MovedRun(
            source,
            str(moved.handle),
            is_copied=status == 200,
            n_events=moved.n_events,
        )

    async def free(self, address: str, handle: str) -> bool:
        """Free a copy on an engine; return whether that has it no longer."""
        timeout = aiohttp.ClientTimeout(
            total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"http://{address}{HANDLE_PATH}{quote(handle, safe='')}"
        try:
            async with self.session.delete(
                URL(url, encoded=True), timeout=timeout, allow_redirects=False
            ) as response:
                await read_bounded(response)
                return response.status in (200, 204, NOT_FOUND)
        except (TimeoutError, aiohttp.ClientError) as error:
            logger.warning(
                "Freeing a copy failed.",
                extra={"address": address, "handle": handle, "error": repr(error)},
            )
            return False

    async def _call_move(
        self, source: str, request_id: str, target: str, *, is_last: bool
    ) -> tuple[int, _MoveResponse] | None:
        """Return status and answer of a copy, or None if the call failed."""
        content: dict[str, object] = {"id": request_id, "target": target}
        if is_last:
            content["last"] = True
        timeout = aiohttp.ClientTimeout(
            total=MOVE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.post(
                f"http://{source}{MOVE_PATH}",
                data=msgspec.json.encode(content),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                status, body = response.status, await read_bounded(response)
            return status, decode_json(body or b"{}", _MoveResponse)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
            logger.warning(
                "Moving a run to another engine failed.",
                extra={
                    "request_id": request_id,
                    "source": source,
                    "is_last": is_last,
                    "error": repr(error),
                },
            )
            return None
