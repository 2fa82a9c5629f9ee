"""Exchanges the answers of two requests, as a fault."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")

SWAP_TIMEOUT_S = 5.0


class AnswerSwap(Generic[T]):
    """Pairs requests up so that each gets the answer of the other."""

    def __init__(self) -> None:
        self.first: tuple[T, asyncio.Future[T]] | None = None

    async def swap(self, item: T) -> T:
        """Wait for another item and return it, or the own one after a timeout."""
        if self.first is not None:
            other, first_future = self.first
            self.first = None
            first_future.set_result(item)
            return other
        future: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self.first = (item, future)
        try:
            await asyncio.wait([future], timeout=SWAP_TIMEOUT_S)
            return future.result() if future.done() else item
        finally:
            if self.first is not None and self.first[1] is future:
                self.first = None
