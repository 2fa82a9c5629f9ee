"""Runs load on a deployment: timed arrivals, scheduled actions, progress lines."""

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
    from lagoonring.load.checker import ObservedBooking
    from lagoonring.load.counts import Snapshot
    from lagoonring.load.options import Action, LoadSettings
    from lagoonring.load.outcomes import RequestOutcome

    ProgressCallback = Callable[[str], None]

START_DELAY_S = 0.2
PROGRESS_INTERVAL_S = 2.0
ACTION_TIMEOUT_S = 10.0
MAX_SNAPSHOT_READS = 10
SNAPSHOT_RETRY_S = 0.5


class LoadRun:
    """One load run on a running deployment.

    Parameters
    ----------
    settings : LoadSettings
        Targets, load and scheduled actions.
    seed : int
        All random choices are a function of the seed and the settings.
    session : aiohttp.ClientSession
        Owned by the caller.
    show : callable
        Called with each progress line.
    """

    def __init__(
        self,
        settings: LoadSettings,
        seed: int,
        session: aiohttp.ClientSession,
        show: ProgressCallback,
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.session = session
        self.show = show
        self.balancer = Balancer(settings.entries, session)
        self.callers = Callers(settings, session, self.balancer)
        self.moves = MovesWatcher(settings, session)
        self.recorder = Recorder(settings)
        self.observed: dict[str, ObservedBooking] = {}
        self.actions: list[ActionResult] = []
        self.start_s = 0.0

    async def run(self) -> RunData:
        """Run to the end and return the collected data."""
        loop = asyncio.get_running_loop()
        arrivals = plan_arrivals(self.settings, self.seed)
        self.show(f"{len(arrivals)} arrivals in {self.settings.duration_s} s.")
        before = await read_snapshot(self.session, self.settings)
        self.start_s = loop.time() + START_DELAY_S
        background_jobs = [
            asyncio.create_task(job) for job in self._make_background_jobs()
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for action in self.settings.actions:
                    group.create_task(self._run_action_at(action))
                await self._start_arrivals(arrivals, group)
        finally:
            for job in background_jobs:
                job.cancel()
        took_s = loop.time() - self.start_s
        for action in self.settings.last_actions:
            await self._run_action(action)
        after = await self._read_final_snapshot()
        if self.moves.is_needed():
            await self.moves.read()
        self.show(self._progress_line())
        return RunData(
            settings=self.settings,
            seed=self.seed,
            took_s=took_s,
            recorder=self.recorder,
            observed=self.observed,
            before=before,
            after=after,
            moves=self.moves.results(),
            actions=self.actions,
        )

    def _make_background_jobs(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that run until the last request has ended."""
        background_jobs = [self._show_progress()]
        if self.settings.balancer_check_s > 0:
            period_s = self.settings.balancer_check_s
            background_jobs.append(self.balancer.probe_forever(period_s))
        if self.moves.is_needed():
            background_jobs.append(self.moves.watch_forever())
        return background_jobs

    async def _start_arrivals(
        self, arrivals: list[Arrival], group: asyncio.TaskGroup
    ) -> None:
        loop = asyncio.get_running_loop()
        for arrival in arrivals:
            delay_s = self.start_s + arrival.at_s - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            self.recorder.record_arrival(arrival.at_s)
            group.create_task(self._run_request(arrival))

    async def _run_request(self, arrival: Arrival) -> None:
        rng = random.Random(f"{self.seed} {arrival.name}")
        start_s = self.start_s + arrival.at_s
        if isinstance(arrival, ChatArrival):
            outcome = await ChatCaller(self.callers, arrival, rng, start_s).run()
        else:
            outcome = await self._run_call(arrival, rng, start_s)
        self.recorder.record_outcome(arrival.at_s, outcome)

    async def _run_call(
        self, arrival: CallArrival, rng: random.Random, start_s: float
    ) -> RequestOutcome:
        caller = CallCaller(self.callers, arrival, rng, start_s)
        if arrival.key:
            self.observed[arrival.key] = caller.observed
        return await caller.run()

    async def _run_action_at(self, action: Action) -> None:
        delay_s = self.start_s + action.at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, delay_s))
        await self._run_action(action)

    async def _run_action(self, action: Action) -> None:
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

    async def _read_final_snapshot(self) -> Snapshot:
        """Read all counters, retrying while restarted endpoints do not answer yet."""
        for _ in range(MAX_SNAPSHOT_READS):
            after = await read_snapshot(self.session, self.settings)
            n_read = len(after.engines) + len(after.services)
            if n_read == len(self.settings.engines) + len(self.settings.services):
                return after
            await asyncio.sleep(SNAPSHOT_RETRY_S)
        return after

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            self.show(self._progress_line())

    def _progress_line(self) -> str:
        recorder = self.recorder
        elapsed_s = asyncio.get_running_loop().time() - self.start_s
        return (
            f"{elapsed_s:.0f} s: {recorder.n_arrived} arrived, "
            f"{recorder.n_arrived - recorder.n_ended} in progress, "
            f"{recorder.count(WHOLE)} whole, {recorder.count(REFUSED)} refused, "
            f"{recorder.count(LOST)} lost."
        )


async def run_load(
    settings: LoadSettings, seed: int, show: ProgressCallback
) -> RunData:
    """Run the load of the settings on their deployment; return the collected data."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await LoadRun(settings, seed, session, show).run()
