"""Lets two requests swap what they will be answered."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")

CROSSING_TIMEOUT_S = 5.0


class Crossing(Generic[T]):
    """A place where requests meet in pairs."""

    def __init__(self) -> None:
        self.first: tuple[T, asyncio.Future[T]] | None = None

    async def swap(self, item: T) -> T:
        """Wait for another item and return it; the own one if none comes."""
        if self.first is not None:
            other, partner = self.first
            self.first = None
            partner.set_result(item)
            return other
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self.first = (item, future)
        try:
            await asyncio.wait([future], timeout=CROSSING_TIMEOUT_S)
            return future.result() if future.done() else item
        finally:
            if self.first is not None and self.first[1] is future:
                self.first = None
