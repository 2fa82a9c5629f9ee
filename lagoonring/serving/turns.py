"""Decides the turn of requests to model engines, and holds those that wait for it.

`triage` decides from what this module gathers: the placement, the demand by rank, the
usage of organisations and the requests that are held here.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs
import xxhash

from lagoonring.logs import make_logger
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.holding import POLL_S, QUEUED_POLL_S, HeldRequest, Holding
from lagoonring.serving.room import admitted_share, room_of
from lagoonring.serving.triage import (
    Claim,
    Decision,
    Pressure,
    Turn,
    decide,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.kernel import Clock
    from lagoonring.serving.exchange import Exchange
    from lagoonring.serving.follower import Follower
    from lagoonring.serving.metrics import ServingMetrics
    from lagoonring.serving.placer import Placer
    from lagoonring.serving.quotas import Quotas
    from lagoonring.serving.requests import Job
    from lagoonring.serving.room import Room

LEVEL_FLOOR = 0.05  # of the room, for each level, so that none is starved
MIN_SPREAD_USE = 0.6  # of the endpoints' time; below it queues are short everywhere
SPREAD = 1.5  # times the delay of sums; far more would lose the prompt caches
SHORT_SHARE = 0.2  # of the shortest objective; a longer usual queue is a shortage
TARGET_SHARE = 0.3  # of the shortest objective, that queues have in a shortage
ROOM_AGE_S = 0.05  # far less than the delay of the sums
HASH_RANGE = 2**64

logger = make_logger("turns")


@attrs.frozen(kw_only=True)
class ServiceRoom:
    """What is asked of a service by level, the room there, and unseen queues.

    ``room`` is in endpoints that are fully busy, ``unseen_s`` what the queue of an
    endpoint has probably grown by since the sums were made.
    """

    asked: dict[int, float]
    room: float
    queue_s: float
    unseen_s: float
    spread_s: float = 0.0


NO_ROOM = ServiceRoom(asked={}, room=math.inf, queue_s=0.0, unseen_s=0.0)


class Turns:
    """Decides whether jobs are sent, held or refused.

    Parameters
    ----------
    placer : Placer
        Knows the endpoints and how long requests wait there.
    follower : Follower
        Holds the organisations and their limits.
    quotas : Quotas
        Tells what organisations use of their limits.
    room : Room
        Tells what is asked of the services.
    exchange : Exchange
        Tells how many instances there are, and how old their sums may be.
    """

    def __init__(
        self,
        placer: Placer,
        follower: Follower,
        quotas: Quotas,
        room: Room,
        exchange: Exchange,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.placer = placer
        self.follower = follower
        self.quotas = quotas
        self.room = room
        self.exchange = exchange
        self.clock = clock
        self.metrics = metrics
        self.holding = Holding(clock)
        self.objectives_s: dict[str, dict[int, float]] = {}
        self.rooms: dict[str, tuple[float, ServiceRoom]] = {}
        placer.spread_s_of = lambda service: self._room_of(service).spread_s

    def record_arrival(self, job: Job) -> None:
        """Count what a job asks for, before it is decided."""
        if job.route.kind is not RequestKind.STREAM:
            return
        job.is_over_share = self._is_over_share(job)
        self.room.record_arrival(job.service, job.level, job.work_s)
        objectives_s = self.objectives_s.setdefault(job.service, {})
        known_s = objectives_s.get(job.urgency, math.inf)
        objectives_s[job.urgency] = min(known_s, job.route.objective_s)

    def assess(self, job: Job, held: HeldRequest | None = None) -> Decision:
        """Return the turn of a job that has a placement."""
        assert job.placement is not None
        if held is None and not self._is_short(job.service):
            return Decision(Turn.SEND, "room", math.inf, math.inf)
        claim = self._claim(job, held)
        pressure = self._pressure(job, held)
        decision = decide(claim, pressure)
        if decision.turn is not Turn.SEND and held is None:
            self._log(job, decision, pressure)
        return decision

    def _is_short(self, service: str) -> bool:
        """Return whether the usual queue endangers the most urgent requests."""
        room = self._room_of(service)
        objective_s = self._shortest_objective_s(service)
        return room.queue_s + room.unseen_s > SHORT_SHARE * objective_s

    def _shortest_objective_s(self, service: str) -> float:
        objectives_s = self.objectives_s.get(service, {})
        return min(objectives_s.values(), default=math.inf)

    def _claim(self, job: Job, held: HeldRequest | None) -> Claim:
        assert job.placement is not None
        ahead_s = 0.0
        if held is None:
            ahead_s = self.holding.expected_wait_s(job.service, self._order(job))
        now_s = self.clock.monotonic()
        return Claim(
            objective_s=job.route.objective_s,
            left_s=job.deadline_s - now_s,
            own_s=job.placement.own_s,
            lot=_lot(job),
            waited_s=now_s - job.request.received_s,
            ahead_s=ahead_s,
            is_over_share=job.is_over_share,
        )

    def _pressure(self, job: Job, held: HeldRequest | None) -> Pressure:
        assert job.placement is not None
        service = self._room_of(job.service)
        asked = service.asked
        total = sum(asked.values())
        above = sum(rate for level, rate in asked.items() if level < job.level)
        objectives_s = self.objectives_s.get(job.service, {})
        queue_s = job.placement.queue_s
        if above > 0:
            # Where urgent requests go next is not known; they meet the usual queue.
            queue_s = max(queue_s, service.queue_s)
        queue_s = max(queue_s + service.unseen_s, 0.0)
        if held is not None and not self.holding.is_first(held):
            queue_s = math.inf  # room goes to those ahead first
        share = 1.0
        if total > service.room:
            floor = LEVEL_FLOOR * service.room / max(asked.get(job.level, 0.0), 1e-9)
            share = max(admitted_share(asked, service.room, job.level), floor)
        return Pressure(
            queue_s=queue_s,
            admitted_share=share,
            urgent_share=above / total if total > 0 else 0.0,
            urgent_objective_s=min(
                (
                    objective_s
                    for urgency, objective_s in objectives_s.items()
                    if urgency < job.urgency
                ),
                default=job.route.objective_s,
            ),
        )

    def _room_of(self, service: str) -> ServiceRoom:
        """Return what is known of a service, some hundredths of a second old."""
        now_s = self.clock.monotonic()
        at_s, known = self.rooms.get(service, (-math.inf, NO_ROOM))
        if now_s - at_s < ROOM_AGE_S:
            return known
        speeds, queues_s = self.placer.describe(service)
        delay_s = self.exchange.report_delay_s()
        others = self.exchange.count_instances() - 1
        unseen = self.room.sent_since(service, now_s - delay_s) * others
        unseen_s = max(unseen / max(sum(speeds), 1.0) - delay_s, 0.0)
        queue_s = sum(queues_s) / max(len(queues_s), 1)
        target_s = TARGET_SHARE * self._shortest_objective_s(service)
        asked = self.room.total().get(service, {})
        use = min(sum(asked.values()) / max(sum(speeds), 1.0), 1.0)
        known = ServiceRoom(
            asked=asked,
            room=room_of(sum(speeds), queue_s=queue_s, target_s=target_s),
            queue_s=queue_s,
            unseen_s=unseen_s,
            spread_s=max(use - MIN_SPREAD_USE, 0.0) * SPREAD * delay_s,
        )
        self.rooms[service] = (now_s, known)
        return known

    def _order(self, job: Job) -> tuple[int, float]:
        """Return the place of a job among held ones: level, then latest beginning."""
        assert job.placement is not None
        begins_s = job.request.received_s + job.route.objective_s
        return job.level, begins_s - job.placement.own_s

    def may_hold(self, job: Job) -> bool:
        """Return whether there is room to hold another job."""
        return self.holding.has_room(len(job.request.body))

    @contextmanager
    def hold(self, job: Job) -> Iterator[HeldRequest]:
        """Count a job as held inside the block."""
        held = HeldRequest(job.service, self._order(job), len(job.request.body))
        since_s = self.clock.monotonic()
        with self.holding.hold(held):
            self.metrics.held.set(self.holding.n_held)
            try:
                yield held
            finally:
                waited_s = self.clock.monotonic() - since_s
                job.waited_s += waited_s
                self.metrics.held_s.labels(str(job.urgency)).observe(waited_s)
        self.metrics.held.set(self.holding.n_held)

    async def wait(self, held: HeldRequest, slack_s: float) -> None:
        """Wait until a held job is to be assessed again."""
        poll_s = POLL_S if self.holding.is_first(held) else QUEUED_POLL_S
        await self.clock.sleep(min(poll_s, max(slack_s, POLL_S)))

    def _is_over_share(self, job: Job) -> bool:
        configuration = self.follower.configuration
        if configuration is None or job.organisation is None:
            return False
        return self.quotas.is_over_share(
            job.organisation, configuration.organisations, self.clock.monotonic()
        )

    def _log(self, job: Job, decision: Decision, pressure: Pressure) -> None:
        assert job.placement is not None
        self.metrics.turns.labels(decision.turn.value, decision.reason).inc()
        logger.info(
            "Request is to wait." if decision.turn is Turn.HOLD else "Request refused.",
            extra={
                "request_id": job.request.request_id,
                "service": job.service,
                "urgency": job.urgency,
                "organisation": job.organisation.name if job.organisation else None,
                "is_over_share": job.is_over_share,
                "reason": decision.reason,
                "queue_s": round(pressure.queue_s, 3),
                "admitted_share": round(pressure.admitted_share, 3),
                "limit_s": round(decision.limit_s, 3),
                "slack_s": round(decision.slack_s, 3),
                "n_held": self.holding.n_held,
            },
        )


def concerns(job: Job) -> bool:
    """Return whether the turn of a job is decided: new requests to model engines."""
    is_new = job.n_runs == 0 and not job.has_begun and job.last_event is None
    return job.route.kind is RequestKind.STREAM and is_new


def _lot(job: Job) -> float:
    """Return a number from 0 to 1 that is the same at each decision on a job."""
    return xxhash.xxh3_64_intdigest(job.request.request_id.encode()) / HASH_RANGE
