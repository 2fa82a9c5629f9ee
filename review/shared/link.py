"""A link from an instance to the platform that can lose a packet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65536


class Link:
    """Forwards connections to a port.

    What is sent after a loss is held until the lost packet is sent once more, and is
    dropped if the sender resets its connection before that.

    Parameters
    ----------
    target : int
        Port on the loopback interface.
    is_lost : callable
        Asked for each chunk of the instance; returns the seconds until it is sent
        once more, or 0 if it arrives.
    """

    def __init__(self, target: int, is_lost: Callable[[bytes], float]) -> None:
        self.target = target
        self.is_lost = is_lost
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.create_task(self._forward(to_reader, writer))
        try:
            await self._forward_lossy(reader, to_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            back.cancel()
            writer.transport.abort()
            to_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()

    async def _forward_lossy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            held = [chunk]
            end_s = asyncio.get_running_loop().time() + self.is_lost(chunk)
            while (left_s := end_s - asyncio.get_running_loop().time()) > 0:
                try:
                    async with asyncio.timeout(left_s):
                        chunk = await reader.read(CHUNK_BYTES)
                except TimeoutError:
                    break
                if not chunk:
                    return
                held.append(chunk)
            writer.write(b"".join(held))
            await writer.drain()
