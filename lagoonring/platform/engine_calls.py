"""Calls to model engines that concern a run's memory."""

from __future__ import annotations

import aiohttp
import attrs
import msgspec

from lagoonring.logs import make_logger

MOVE_PATH = "/kv-move"
REPORT_PATH = "/report"
REPORT_TIMEOUT_S = 0.5  # a fifth of the usual notice
MOVE_TIMEOUT_S = 1.5  # a copy takes milliseconds, and waits for those before it
CONNECT_TIMEOUT_S = 0.3

logger = make_logger("engines")


class _Moved(msgspec.Struct):
    handle: str | int | None = None
    # Events of the stream that the engine has made so far.
    createRevision: int | None = None


class _Report(msgspec.Struct):
    # Time until the platform takes the engine away, where that is known.
    leaves_ms: float | None = None


@attrs.frozen
class MovedRun:
    """A run that was stopped: where its memory is kept, and under which handle.

    ``is_copied`` tells whether the other engine has it too.
    """

    address: str
    handle: str
    is_copied: bool = True


class EngineCalls:
    """Moves runs between engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def read_time_left(self, address: str) -> float | None:
        """Return the seconds until an engine is taken away, or None if not known."""
        timeout = aiohttp.ClientTimeout(
            total=REPORT_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.get(
                f"http://{address}{REPORT_PATH}", timeout=timeout
            ) as response:
                report = msgspec.json.decode(await response.read(), type=_Report)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
            logger.warning(
                "No report of an engine.",
                extra={"address": address, "error": repr(error)},
            )
            return None
        return None if report.leaves_ms is None else report.leaves_ms / 1000

    async def stop_and_copy(
        self, source: str, request_id: str, target: str
    ) -> MovedRun | None:
        """Stop a run and copy its memory from one engine to another.

        Returns
        -------
        MovedRun or None
            None if there is no such run, or its fate is not known.
        """
        content = {"id": request_id, "target": target, "last": True}
        timeout = aiohttp.ClientTimeout(
            total=MOVE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.post(
                f"http://{source}{MOVE_PATH}",
                data=msgspec.json.encode(content),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                status, body = response.status, await response.read()
            moved = msgspec.json.decode(body or b"{}", type=_Moved)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as error:
            logger.warning(
                "Move of a run failed.",
                extra={
                    "request_id": request_id,
                    "source": source,
                    "error": repr(error),
                },
            )
            return None
        logger.info(
            "Run stopped to move.",
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
        # With status 503 the copy was not taken; the source keeps the memory.
        return MovedRun(source, str(moved.handle), is_copied=status == 200)
