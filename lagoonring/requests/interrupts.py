"""Blocks of code that can be ended from outside, with an error of their own."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from lagoonring.errors import LagoonringError


class Interrupts:
    """The running blocks of one kind.

    Unlike a cancelled task, an interrupted block raises an error that its caller can
    answer with, and its task goes on.
    """

    def __init__(self) -> None:
        self.scopes: set[asyncio.Timeout] = set()
        self.empty = asyncio.Event()
        self.empty.set()

    @contextlib.asynccontextmanager
    async def hold(self, make_error: Callable[[], LagoonringError]) -> AsyncIterator:
        """Run a block; raise the error from ``make_error`` if it is interrupted."""
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self.scopes.add(scope)
                self.empty.clear()
                yield
        except TimeoutError:
            if not scope.expired():
                raise
            raise make_error() from None
        finally:
            self.scopes.discard(scope)
            if not self.scopes:
                self.empty.set()

    def interrupt_all(self) -> None:
        """Interrupt all running blocks; those that have been, go on to end."""
        now_s = asyncio.get_running_loop().time()
        for scope in self.scopes:
            if scope.when() is None:
                scope.reschedule(now_s)
