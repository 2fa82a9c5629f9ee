"""Bookings under faults: who ran what, and what callers were told."""

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

RUN_S = 0.3
RESEND_S = 4.0
N_SENDINGS_MOST = 6


@attrs.define
class Recorder:
    """Runs by key and by sending, and what was told of each sending."""

    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    sendings_run: set[str] = attrs.field(factory=set)
    told: dict[str, str] = attrs.field(factory=dict)
    outcomes_by_key: dict[str, list[str]] = attrs.field(factory=dict)
    wrong_answers: list[str] = attrs.field(factory=list)
    unheard: dict[str, set[str]] = attrs.field(factory=dict)
    stuck: list[str] = attrs.field(factory=list)
    n_forgotten: int = 0
    n_faults: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def run(self, key: str, sending: str) -> None:
        """Note that an endpoint ran a sending."""
        self.runs[key] += 1
        self.sendings_run.add(sending)

    def tell(self, key: str, sending: str, what: str) -> None:
        """Note what the caller was told of a sending."""
        self.told[sending] = what
        self.outcomes_by_key.setdefault(key, []).append(what)

    def find_run_twice(self) -> list[str]:
        """Return the keys that ran more than once."""
        return [key for key, n_runs in self.runs.items() if n_runs > 1]

    def find_falsely_not_run(self) -> list[str]:
        """Return the sendings that ran although their caller was told not."""
        return [
            sending
            for sending, what in self.told.items()
            if what == "not_run" and sending in self.sendings_run
        ]

    def find_stuck(self, fleet: ClaimsFleet) -> list[str]:
        """Return the keys that never ran and that no instance died with.

        A key may stay claimed if an instance died while it served it, or while
        it tried to take an unheard grant back; one whose last sending was not
        run may be sent again.
        """
        return [
            key
            for key, told in self.outcomes_by_key.items()
            if key not in self.runs
            and told[-1] != "not_run"
            and key not in fleet.keys_cut
            and not self.unheard.get(key, set()) & fleet.killed
        ]

    def count_outcomes(self) -> collections.Counter[str]:
        """Return the number of sendings by what was told."""
        return collections.Counter(self.told.values())


async def send(
    instance: Instance, recorder: Recorder, rng: random.Random, key: str, sending: str
) -> str:
    """Serve one sending of a booking as the pipeline of requests does."""
    claims = instance.claims
    try:
        answer = await claims.claim(key, f"print of {key}", sending, entry="booking")
    except LagoonringError as error:
        if error.outcome is Outcome.NOT_RUN:
            return "not_run"
        recorder.unheard.setdefault(key, set()).add(instance.name)
        return "unknown"
    if answer.state == "finished":
        body = answer.answer.body if answer.answer else None
        if body not in (key.encode(), None):
            recorder.wrong_answers.append(sending)
        return "finished"
    if answer.state != "granted":
        return answer.state
    if rng.random() < 0.1:
        # Provably not run, for example a refused connection.
        instance.in_background(key, claims.release(key, sending))
        return "not_run"
    await asyncio.sleep(rng.uniform(0, RUN_S))
    recorder.run(key, sending)
    await asyncio.sleep(rng.uniform(0, RUN_S))
    if rng.random() < 0.05:
        return "unknown"
    stored = StoredAnswer(status=200, content_type="text/plain", body=key.encode())
    instance.in_background(key, claims.finish(key, sending, stored))
    return "ran"


async def book(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, key: str
) -> None:
    """Send a booking until its outcome is known, at times twice at once."""
    for index in range(N_SENDINGS_MOST):
        n_copies = 2 if rng.random() < 0.15 else 1
        sendings = [f"{key}/{index}/{copy}" for copy in range(n_copies)]
        results = await asyncio.gather(
            *(_send_somewhere(fleet, recorder, rng, key, name) for name in sendings)
        )
        if "ran" in results or "finished" in results:
            return
        await asyncio.sleep(rng.uniform(0, RESEND_S))


async def _send_somewhere(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, key: str, sending: str
) -> str:
    if not fleet.instances:
        return "unknown"
    instance = rng.choice(fleet.instances)
    task = instance.in_background(key, send(instance, recorder, rng, key, sending))
    await asyncio.wait({task})
    told = "unknown" if task.cancelled() else task.result()
    recorder.tell(key, sending, told)
    return told


async def disturb(
    fleet: ClaimsFleet, recorder: Recorder, rng: random.Random, n_instances: int
) -> None:
    """Put faults in, for ever; cancel it and call :func:`heal` to end them."""
    kinds: list[str] = []
    while True:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        # In rounds, so that no kind is missing.
        kinds = kinds or rng.sample(list(FAULTS), len(FAULTS))
        kind = kinds.pop()
        recorder.n_faults[kind] += 1
        await FAULTS[kind](fleet, rng)
        while len(fleet.instances) < n_instances:
            await fleet.add()


def heal(fleet: ClaimsFleet) -> None:
    """End all faults that last."""
    fleet.log.faults.is_out = False
    fleet.log.faults.n_lost_answers = 0
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


def _later(delay_s: float, act) -> None:
    asyncio.get_running_loop().call_later(delay_s, act)


FAULTS = {
    "kill": _kill,
    "drain": _drain,
    "pause": _pause,
    "outage": _outage,
    "lost answers": _lose_answers,
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
    n_at_once: int = 40,
) -> Recorder:
    """Make bookings under faults, heal, and send each once more."""
    recorder = Recorder()
    for _ in range(n_instances):
        await fleet.add()
    faults = asyncio.create_task(disturb(fleet, recorder, rng, n_instances))
    keys = [f"key-{index}" for index in range(n_bookings)]
    places = asyncio.Semaphore(n_at_once)

    async def book_in_turn(key: str) -> None:
        async with places:
            await book(fleet, recorder, rng, key)

    await asyncio.gather(*(book_in_turn(key) for key in keys))
    faults.cancel()
    await asyncio.gather(faults, return_exceptions=True)
    heal(fleet)
    await asyncio.sleep(30)
    heal(fleet)
    for key in keys:
        await _send_somewhere(fleet, recorder, rng, key, f"{key}/last")
    return recorder
