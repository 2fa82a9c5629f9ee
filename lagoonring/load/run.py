"""Drives a running deployment: arrivals on time, actions, progress, report."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from lagoonring.load.arrivals import CallArrival, ChatArrival, plan_arrivals
from lagoonring.load.balancer import Balancer
from lagoonring.load.calls import CallCaller
from lagoonring.load.chats import ChatCaller
from lagoonring.load.counts import READ_ERRORS, read_snapshot
from lagoonring.load.moves import MovesWatcher
from lagoonring.load.outcomes import LOST, REFUSED, WHOLE
from lagoonring.load.recorder import Recorder
from lagoonring.load.results import ActionResult
from lagoonring.load.sending import Callers
from lagoonring.load.summary import RunData

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lagoonring.load.arrivals import Arrival
    from lagoonring.load.checker import ToldBooking
    from lagoonring.load.counts import Snapshot
    from lagoonring.load.options import Action, LoadSettings
    from lagoonring.load.outcomes import RequestOutcome

    Show = Callable[[str], None]

LEAD_S = 0.2
PROGRESS_S = 2.0
ACTION_TIMEOUT_S = 10.0
N_PATIENT_READS = 10
READ_AGAIN_S = 0.5


class LoadRun:
    """One run.

    Parameters
    ----------
    settings : LoadSettings
        What to ask of whom, and what goes wrong when.
    seed : int
        All that is drawn is a function of it and the settings.
    session : aiohttp.ClientSession
        Owned by the caller.
    show : callable
        Takes lines about the progress.
    """

    def __init__(
        self,
        settings: LoadSettings,
        seed: int,
        session: aiohttp.ClientSession,
        show: Show,
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.session = session
        self.show = show
        self.balancer = Balancer(settings.entries, session)
        self.callers = Callers(settings, session, self.balancer)
        self.moves = MovesWatcher(settings, session)
        self.recorder = Recorder(settings)
        self.told: dict[str, ToldBooking] = {}
        self.actions: list[ActionResult] = []
        self.start_s = 0.0

    async def run(self) -> RunData:
        """Run to the end and return what was found."""
        loop = asyncio.get_running_loop()
        arrivals = plan_arrivals(self.settings, self.seed)
        self.show(f"{len(arrivals)} arrivals in {self.settings.duration_s} s.")
        before = await read_snapshot(self.session, self.settings)
        self.start_s = loop.time() + LEAD_S
        helpers = [asyncio.create_task(helper) for helper in self._make_helpers()]
        try:
            async with asyncio.TaskGroup() as group:
                for action in self.settings.actions:
                    group.create_task(self._act_at(action))
                await self._start_arrivals(arrivals, group)
        finally:
            for helper in helpers:
                helper.cancel()
        took_s = loop.time() - self.start_s
        for action in self.settings.last_actions:
            await self._act(action)
        after = await self._read_patiently()
        if self.moves.is_needed():
            await self.moves.read()
        self.show(self._progress_line())
        return RunData(
            settings=self.settings,
            seed=self.seed,
            took_s=took_s,
            recorder=self.recorder,
            told=self.told,
            before=before,
            after=after,
            moves=self.moves.results(),
            actions=self.actions,
        )

    def _make_helpers(self) -> list[Coroutine[Any, Any, None]]:
        """Return what goes on beside the callers until the last has its answer."""
        helpers = [self._show_progress()]
        if self.settings.balancer_check_s > 0:
            period_s = self.settings.balancer_check_s
            helpers.append(self.balancer.probe_for_ever(period_s))
        if self.moves.is_needed():
            helpers.append(self.moves.watch_for_ever())
        return helpers

    async def _start_arrivals(
        self, arrivals: list[Arrival], group: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            delay_s = self.start_s + arrival.at_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self.recorder.arrived(arrival.at_s)
            group.create_task(self._carry(arrival))

    async def _carry(self, arrival: Arrival) -> None:
        rng = random.Random(f"{self.seed} {arrival.name}")
        start_s = self.start_s + arrival.at_s
        if isinstance(arrival, ChatArrival):
            outcome = await ChatCaller(self.callers, arrival, rng, start_s).run()
        else:
            outcome = await self._call(arrival, rng, start_s)
        self.recorder.ended(arrival.at_s, outcome)

    async def _call(
        self, arrival: CallArrival, rng: random.Random, start_s: float
    ) -> RequestOutcome:
        caller = CallCaller(self.callers, arrival, rng, start_s)
        if arrival.key:
            self.told[arrival.key] = caller.told
        return await caller.run()

    async def _act_at(self, action: Action) -> None:
        delay_s = self.start_s + action.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay_s))
        await self._act(action)

    async def _act(self, action: Action) -> None:
        headers = {"Content-Type": "application/json"}
        if action.token:
            headers["Authorization"] = f"Bearer {action.token}"
        data = None if action.body is None else msgspec.json.encode(action.body)
        timeout = aiohttp.ClientTimeout(total=ACTION_TIMEOUT_S)
        at_s = asyncio.get_running_loop().time() - self.start_s
        try:
            async with self.session.request(
                action.method, action.url, data=data, headers=headers, timeout=timeout
            ) as answer:
                await answer.read()
                status = answer.status
        except READ_ERRORS:
            status = 0
        self.actions.append(
            ActionResult(at_s=round(at_s, 2), name=action.name, status=status)
        )
        self.show(f"Action {action.name!r} at {at_s:.1f} s: status {status}.")

    async def _read_patiently(self) -> Snapshot:
        """Read all counts; endpoints that begin again get some seconds."""
        for _ in range(N_PATIENT_READS):
            after = await read_snapshot(self.session, self.settings)
            n_found = len(after.engines) + len(after.services)
            if n_found == len(self.settings.engines) + len(self.settings.services):
                return after
            await asyncio.sleep(READ_AGAIN_S)
        return after

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_S)
            self.show(self._progress_line())

    def _progress_line(self) -> str:
        recorder = self.recorder
        passed_s = asyncio.get_running_loop().time() - self.start_s
        return (
            f"{passed_s:.0f} s: {recorder.n_arrived} arrived, "
            f"{recorder.n_arrived - recorder.n_ended} in progress, "
            f"{recorder.count(WHOLE)} whole, {recorder.count(REFUSED)} refused, "
            f"{recorder.count(LOST)} lost."
        )


async def run_load(settings: LoadSettings, seed: int, show: Show) -> RunData:
    """Drive the deployment of the settings and return what was found."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await LoadRun(settings, seed, session, show).run()
