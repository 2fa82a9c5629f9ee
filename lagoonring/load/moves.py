"""Polls version moves during a run through the operators' HTTP API."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from lagoonring.load.counts import read_json
from lagoonring.load.results import MoveResult

if TYPE_CHECKING:
    import aiohttp

    from lagoonring.load.options import LoadSettings

POLL_INTERVAL_S = 0.5
MOVES_PATH = "/admin/moves"
ENDED_PHASES = ("finished", "undone", "refused")


class MovesWatcher:
    """Polls all moves and records when each was first seen and first seen ended.

    Parameters
    ----------
    settings : LoadSettings
        Provides the entry instances and the operator's token.
    session : aiohttp.ClientSession
        Owned and closed by the run.
    """

    def __init__(self, settings: LoadSettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self.session = session
        self.rows: dict[str, dict[str, Any]] = {}
        self.first_seen_s: dict[str, float] = {}
        self.ended_s: dict[str, float] = {}
        self.n_compared: dict[str, tuple[int, int]] = {}

    def is_needed(self) -> bool:
        """Return whether the schedule orders moves and an operator token is set."""
        actions = self.settings.actions
        has_moves = any(action.url.endswith(MOVES_PATH) for action in actions)
        return has_moves and bool(self.settings.operator_token)

    async def watch_forever(self) -> None:
        """Read the moves every 0.5 s."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read(self) -> None:
        """Read the moves from the first instance that answers."""
        token = self.settings.operator_token
        headers = {"Authorization": f"Bearer {token}"}
        for entry in self.settings.entries:
            url = entry.url + MOVES_PATH
            rows = await read_json(
                self.session, url, list[dict[str, Any]], headers=headers
            )
            if rows is not None:
                self.update(rows, time.time())
                return

    def update(self, rows: list[dict[str, Any]], now_s: float) -> None:
        """Update the state from the moves read at ``now_s``, epoch seconds.

        The compared requests are kept as maxima over all readings.
        """
        for row in rows:
            name = str(row.get("name"))
            self.rows[name] = row
            self.first_seen_s.setdefault(name, now_s)
            n_old, n_new = self.n_compared.get(name, (0, 0))
            n_requests = (int(row.get("n_old", 0)), int(row.get("n_new", 0)))
            self.n_compared[name] = (
                max(n_old, n_requests[0]),
                max(n_new, n_requests[1]),
            )
            if row.get("phase") in ENDED_PHASES:
                self.ended_s.setdefault(name, now_s)

    def results(self) -> list[MoveResult]:
        """Return the last known state of each move, sorted by name."""
        return [self._make_result(name, row) for name, row in sorted(self.rows.items())]

    def _make_result(self, name: str, row: dict[str, Any]) -> MoveResult:
        ended_s = self.ended_s.get(name)
        took_s = (
            None if ended_s is None else round(ended_s - self.first_seen_s[name], 1)
        )
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
