"""Watches version moves while a run goes on, as operators are shown them."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from lagoonring.load.counts import read_json
from lagoonring.load.results import MoveResult

if TYPE_CHECKING:
    import aiohttp

    from lagoonring.load.options import LoadSettings

WATCH_S = 0.5
MOVES_PATH = "/admin/moves"
ENDED_PHASES = ("finished", "undone", "refused")


class MovesWatcher:
    """Reads all moves from time to time and notes when each has ended.

    Parameters
    ----------
    settings : LoadSettings
        Entry instances and the operator's token.
    session : aiohttp.ClientSession
        Owned by the run.
    """

    def __init__(self, settings: LoadSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self.session = session
        self.rows: dict[str, dict[str, Any]] = {}
        self.seen_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.n_compared: dict[str, tuple[int, int]] = {}

    def is_needed(self) -> bool:
        """Whether the schedule orders moves and they may be read."""
        actions = self.settings.actions
        has_moves = any(action.url.endswith(MOVES_PATH) for action in actions)
        return has_moves and bool(self.settings.operator_token)

    async def watch_for_ever(self) -> None:
        """Read every half second."""
        while True:
            await self.read()
            await asyncio.sleep(WATCH_S)

    async def read(self) -> None:
        """Read the moves at the first instance that answers."""
        token = self.settings.operator_token
        headers = {"Authorization": f"Bearer {token}"}
        for entry in self.settings.entries:
            url = entry.url + MOVES_PATH
            rows = await read_json(
                self.session, url, list[dict[str, Any]], headers=headers
            )
            if rows is not None:
                self.take(rows, time.time())
                return

    def take(self, rows: list[dict[str, Any]], now_s: float) -> None:
        """Take what was shown at ``now_s``, epoch seconds."""
        for row in rows:
            name = str(row.get("name"))
            self.rows[name] = row
            self.seen_s.setdefault(name, now_s)
            n_old, n_new = self.n_compared.get(name, (0, 0))
            found = (int(row.get("n_old", 0)), int(row.get("n_new", 0)))
            self.n_compared[name] = (max(n_old, found[0]), max(n_new, found[1]))
            if row.get("phase") in ENDED_PHASES:
                self.ended_s.setdefault(name, now_s)

    def results(self) -> list[MoveResult]:
        """Return each move as it was shown last."""
        return [self._result(name, row) for name, row in sorted(self.rows.items())]

    def _result(self, name: str, row: dict[str, Any]) -> MoveResult:
        ended_s = self.ended_s.get(name)
        took_s = None if ended_s is None else round(ended_s - self.seen_s[name], 1)
        deadline_s = float(row.get("deadline_s", 0.0))
        return MoveResult(
            name=name,
            entry=str(row.get("entry", "")),
            to_version=str(row.get("to_version", "")),
            phase=str(row.get("phase", "")),
            reason=str(row.get("reason", "")),
            took_s=took_s,
            is_in_time=ended_s is not None and ended_s <= deadline_s,
            n_old=self.n_compared[name][0],
            n_new=self.n_compared[name][1],
        )
