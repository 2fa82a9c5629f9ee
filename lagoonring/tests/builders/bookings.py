"""Bookings under injected faults: what ran, and which outcomes callers received."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import attrs

from lagoonring.claims import StoredAnswer
from lagoonring.errors import LagoonringError, Outcome

if TYPE_CHECKING:
    import random

    from lagoonring.tests.builders.claims import ClaimsFleet, Instance

MAX_RUN_S = 0.3
MAX_RESEND_DELAY_S = 4.0
MAX_ATTEMPTS = 6


@attrs.define
class Recorder:
    """Records runs by key and attempt, and the outcome reported for each attempt."""

    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    attempts_run: set[str] = attrs.field(factory=set)
    outcomes: dict[str, str] = attrs.field(factory=dict)
    outcomes_by_key: dict[str, list[str]] = attrs.field(factory=dict)
    wrong_answers: list[str] = attrs.field(factory=list)
    unanswered: dict[str, set[str]] = attrs.field(factory=dict)
    stuck: list[str] = attrs.field(factory=list)
    n_forgotten: int = 0
    n_faults: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def record_run(self, key: str, attempt: str) -> None:
        """Record that an endpoint ran an attempt."""
        self.runs[key] += 1
        self.attempts_run.add(attempt)

    def record_outcome(self, key: str, attempt: str, outcome: str) -> None:
        """Record the outcome that the caller received for an attempt."""
        self.outcomes[attempt] = outcome
        self.outcomes_by_key.setdefault(key, []).append(outcome)

    def find_run_twice(self) -> list[str]:
        """Return the keys that ran more than once."""
        return [key for key, n_runs in self.runs.items() if n_runs > 1]

    def find_falsely_not_run(self) -> list[str]:
        """Return the attempts that ran although they were reported as not run."""
        return [
            attempt
            for attempt, outcome in self.outcomes.items()
            if outcome == "not_run" and attempt in self.attempts_run
        ]

    def find_stuck(self, fleet: ClaimsFleet) -> list[str]:
        """Return the keys that never ran, without the death of an instance as cause.

        A key may stay claimed if an instance died while it served the key, or
        while it tried to release a grant whose reply was lost. A key whose last
        attempt was not run may be sent again.
        """
        return [
            key
            for key, outcomes in self.outcomes_by_key.items()
            if key not in self.runs
            and outcomes[-1] != "not_run"
            and key not in fleet.keys_cut
            and not self.unanswered.get(key, set()) & fleet.killed
        ]

    def count_outcomes(self) -> collections.Counter[str]:
        """Return the number of attempts by outcome."""
        return collections.Counter(self.outcomes.values())


async def send(
    instance: Instance, recorder: Recorder, rng: random.Random, key: str, attempt: str
) -> str:
    """Serve one attempt of a booking as the request pipeline does."""
    claims = instance.claims
    try:
        answer = await claims.claim(key, f"print of {key}", attempt, entry="booking")
    except LagoonringError as error:
        if error.outcome is Outcome.NOT_RUN:
            return "not_run"
        recorder.unanswered.setdefault(key, set()).add(instance.name)
        return "unknown"
    if answer.state == "finished":
        body = answer.answer.body if answer.answer else None
        if body not in (key.encode(), None):
            recorder.wrong_answers.append(attempt)
        return "finished"
    if answer.state != "granted":
        return answer.state
    if rng.random() < 0.1:
        # Known not to have run, for example after a refused connection.
        instance.in_background(key, claims.release(key, attempt))
        return "not_run"
    await asyncio.sleep(rng.uniform(0, MAX_RUN_S))
    recorder.record_run(key, attempt)
    await asyncio.sleep(rng.uniform(0, MAX_RUN_S))
    if rng.random() < 0.05:
        return "unknown"
    stored = StoredAnswer(status=200, content_type="text/plain", body=key.encode())
    instance.in_background(key, claims.finish(key, attempt, stored))
    return "ran"


async def book(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, key: str
) -> None:
    """Send a booking until its outcome is known, sometimes twice concurrently."""
    for index in range(MAX_ATTEMPTS):
        n_copies = 2 if rng.random() < 0.15 else 1
        attempts = [f"{key}/{index}/{copy}" for copy in range(n_copies)]
        results = await asyncio.gather(
            *(_send_somewhere(fleet, recorder, rng, key, name) for name in attempts)
        )
        if "ran" in results or "finished" in results:
            return
        await asyncio.sleep(rng.uniform(0, MAX_RESEND_DELAY_S))


async def _send_somewhere(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, key: str, attempt: str
) -> str:
    if not fleet.instances:
        return "unknown"
    instance = rng.choice(fleet.instances)
    task = instance.in_background(key, send(instance, recorder, rng, key, attempt))
    await asyncio.wait({task})
    outcome = "unknown" if task.cancelled() else task.result()
    recorder.record_outcome(key, attempt, outcome)
    return outcome


async def inject_faults(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, n_instances: int
) -> None:
    """Inject faults until cancelled; call :func:`end_faults` to end lasting ones."""
    kinds: list[str] = []
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        # Draw without replacement, so that each kind of fault occurs.
        kinds = kinds or rng.sample(list(FAULTS), len(FAULTS))
        kind = kinds.pop()
        recorder.n_faults[kind] += 1
        await FAULTS[kind](fleet, rng)
        while len(fleet.instances) < n_instances:
            await fleet.add()


def end_faults(fleet: ClaimsFleet) -> None:
    """End all faults that are still active."""
    fleet.log.faults.is_out = False
    fleet.log.faults.n_lost_answers = 0
    fleet.log.faults.n_late_appends = 0
    fleet.log.faults.n_refused_appends = 0
    fleet.network.cut_off.clear()
    fleet.network.lost_share = 0.0
    for instance in fleet.instances:
        instance.log.is_cut_off = False
        fleet.resume(instance)


async def _kill(fleet: ClaimsFleet, rng: random.Random) -> None:
    await fleet.kill(rng.choice(fleet.instances))


async def _drain(fleet: ClaimsFleet, rng: random.Random) -> None:
    instance = rng.choice(fleet.instances)
    instance.app.draining = True
    try:
        await instance.app.drain(2)
    finally:
        await fleet.kill(instance)


async def _pause(fleet: ClaimsFleet, rng: random.Random) -> None:
    instance = rng.choice(fleet.instances)
    fleet.pause(instance)
    _later(rng.uniform(0.1, 6), lambda: fleet.resume(instance))


async def _outage(fleet: ClaimsFleet, rng: random.Random) -> None:
    fleet.log.faults.is_out = True

    def end() -> None:
        fleet.log.faults.is_out = False

    _later(rng.uniform(0.1, 3), end)


async def _lose_answers(fleet: ClaimsFleet, rng: random.Random) -> None:
    fleet.log.faults.n_lost_answers += rng.randint(1, 6)


async def _execute_late(fleet: ClaimsFleet, rng: random.Random) -> None:
    fleet.log.faults.late_s = rng.uniform(1, 6)
    fleet.log.faults.n_late_appends += rng.randint(1, 4)


async def _refuse_appends(fleet: ClaimsFleet, rng: random.Random) -> None:
    fleet.log.faults.n_refused_appends += rng.randint(1, 4)


async def _cut_from_log(fleet: ClaimsFleet, rng: random.Random) -> None:
    instance = rng.choice(fleet.instances)
    instance.log.is_cut_off = True

    def end() -> None:
        if instance in fleet.instances:
            instance.log.is_cut_off = False

    _later(rng.uniform(0.1, 5), end)


async def _cut_from_peers(fleet: ClaimsFleet, rng: random.Random) -> None:
    name = rng.choice(fleet.instances).name
    fleet.network.cut_off.add(name)
    _later(rng.uniform(0.1, 5), lambda: fleet.network.cut_off.discard(name))


async def _lose_calls(fleet: ClaimsFleet, rng: random.Random) -> None:
    fleet.network.lost_share = rng.choice([0.05, 0.2, 0.5])
    fleet.network.delay_s = rng.choice([0.0, 0.05, 1.5])

    def end() -> None:
        fleet.network.lost_share = 0.0
        fleet.network.delay_s = 0.0

    _later(rng.uniform(0.1, 4), end)


def _later(delay_s: float, callback) -> None:
    asyncio.get_running_loop().call_later(delay_s, callback)


FAULTS = {
    "kill": _kill,
    "drain": _drain,
    "pause": _pause,
    "outage": _outage,
    "lost answers": _lose_answers,
    "late appends": _execute_late,
    "refused appends": _refuse_appends,
    "cut from log": _cut_from_log,
    "cut from peers": _cut_from_peers,
    "lost calls": _lose_calls,
}


async def run_bookings(
    fleet: ClaimsFleet,
    rng: random.Random,
    *,
    n_bookings: int,
    n_instances: int = 4,
    n_concurrent: int = 40,
) -> Recorder:
    """Make bookings under faults, end the faults, and send each booking once more."""
    recorder = Recorder()
    for _ in range(n_instances):
        await fleet.add()
    faults = asyncio.create_task(inject_faults(fleet, recorder, rng, n_instances))
    keys = [f"key-{index}" for index in range(n_bookings)]
    semaphore = asyncio.Semaphore(n_concurrent)

    async def book_within_limit(key: str) -> None:
        async with semaphore:
            await book(fleet, recorder, rng, key)

    await asyncio.gather(*(book_within_limit(key) for key in keys))
    faults.cancel()
    await asyncio.gather(faults, return_exceptions=True)
    end_faults(fleet)
    await asyncio.sleep(30)
    end_faults(fleet)
    for key in keys:
        await _send_somewhere(fleet, recorder, rng, key, f"{key}/last")
    return recorder
