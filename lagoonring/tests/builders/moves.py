"""Builders of moves, of version counts and of instances that advance moves."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

import attrs
import msgspec

from lagoonring.catalogue import (
    CatalogueOptions,
    CatalogueService,
    Change,
    Edit,
    Move,
)
from lagoonring.endpoints.errors import (
    EndpointConnectError,
    EndpointCutError,
    FencedError,
)
from lagoonring.endpoints.messages import EngineOrder, EngineState
from lagoonring.kernel import Application, Clock, ManualClock
from lagoonring.leases import LeaseOptions
from lagoonring.leases.records import LeaseState, decode_record, fold
from lagoonring.moves.counts import CellCounts, VersionCounts
from lagoonring.moves.ledger import MoveLedger
from lagoonring.moves.messages import MoveRecord
from lagoonring.moves.options import MovesOptions
from lagoonring.moves.service import MovesService
from lagoonring.routing.messages import AttemptResult
from lagoonring.settings import to_plain
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.claims import PeerNetwork
from lagoonring.tests.builders.gates import Gate, GatedClock, GatedLog


def make_move(**fields: Any) -> Move:
    """Return an order to move ``guide`` to version 2 by 2000 s."""
    move = Move(entry="guide", to_version="2", deadline_s=2_000.0)
    return attrs.evolve(move, **fields)


def make_record(**fields: Any) -> MoveRecord:
    """Return a record of a move of ``guide`` from version 1 to 2."""
    record = MoveRecord(
        key="m-1",
        name="m",
        entry="guide",
        from_version="1",
        to_version="2",
        deadline_s=2_000.0,
        phase="loading",
    )
    return attrs.evolve(record, **fields)


def make_payload(value: Any) -> msgspec.Raw:
    """Return a value encoded as in the stream."""
    return msgspec.Raw(msgspec.json.encode(value))


def make_counts(
    *, share: float, bad: tuple[int, int], started_s: float = 0.0
) -> VersionCounts:
    """Return totals of one cell; ``bad`` holds failures of old and new version."""
    cell = CellCounts(
        n_old=1000, n_new=20, bad_old=[bad[0], 0, 0], bad_new=[bad[1], 0, 0]
    )
    return VersionCounts(
        move="m", started_s=started_s, share=share, cells={"plan|0": cell}
    )


OPTIONS = MovesOptions(
    trial_s=20,
    n_trial=20,
    undo_s=6,
    order_s=1,
    drain_s=2,
    clean_limit_s=10,
    tick_s=0.5,
    check_s=1,
    publish_s=0.5,
)
LEASE_OPTIONS = LeaseOptions(duration_s=3, margin_s=0.5, renew_interval_s=1, poll_s=0.5)
STEP_S = 0.25
LOAD_S = 2.0
N_REQUESTS_PER_STEP = 40
FIRST_TOKEN_S = 0.1
BETWEEN_TOKENS_S = 0.03


@attrs.define
class EngineDouble:
    """An engine that executes orders.

    ``is_out``, ``can_load`` and ``n_lost_answers`` inject faults.
    """

    checks_fencing: bool = True
    versions: list[str] = attrs.field(factory=lambda: ["1"])
    loading: dict[str, float] = attrs.field(factory=dict)
    fencing: int = -1
    is_out: bool = False
    can_load: bool = True
    n_lost_answers: int = 0
    orders: list[EngineOrder] = attrs.field(factory=list)

    def handle_order(self, wanted: EngineOrder, now_s: float) -> None:
        """Execute an order."""
        if self.checks_fencing and wanted.fencing < self.fencing:
            raise FencedError("Got an old order.")
        self.fencing = max(self.fencing, wanted.fencing)
        self.orders.append(wanted)
        if wanted.kind == "load_version":
            self.loading.setdefault(wanted.name, now_s + LOAD_S)
        else:
            self.loading.pop(wanted.name, None)
            self.versions = [name for name in self.versions if name != wanted.name]

    def finish_loading(self, now_s: float) -> None:
        """Complete the loads that are due by now."""
        for name, due_s in list(self.loading.items()):
            if self.can_load and due_s <= now_s:
                del self.loading[name]
                self.versions = sorted({*self.versions, name})


class ControlDouble:
    """Controls engine doubles by URL, through a gate."""

    def __init__(
        self, engines: dict[str, EngineDouble], clock: Clock, gate: Gate
    ) -> None:
        self.engines = engines
        self.clock = clock
        self.gate = gate

    async def order(self, url: str, wanted: EngineOrder) -> None:
        """Send an order."""
        await self.gate.wait()
        engine = self._find(url)
        engine.handle_order(wanted, self.clock.time())
        await self.gate.wait()
        if engine.n_lost_answers > 0:
            engine.n_lost_answers -= 1
            raise EndpointCutError("Got no answer.")

    async def read_state(self, url: str) -> EngineState:
        """Return the state."""
        await self.gate.wait()
        engine = self._find(url)
        engine.finish_loading(self.clock.time())
        state = EngineState(
            versions=list(engine.versions),
            loading=list(engine.loading),
            fencing=engine.fencing,
        )
        await self.gate.wait()
        return state

    def _find(self, url: str) -> EngineDouble:
        engine = self.engines[url]
        if engine.is_out:
            raise EndpointConnectError("Got no connection.")
        return engine


@attrs.define(kw_only=True)
class Instance:
    """An instance with the services that moves need."""

    name: str
    app: Application
    gate: Gate
    catalogue: CatalogueService
    moves: MovesService


class MovesCluster:
    """Instances that advance moves over one log, with engines and traffic.

    Parameters
    ----------
    n_instances, n_engines : int
        Number of instances and engines; engines are spread over 3 data centres.
    checks_fencing : bool
        Whether the engines check fencing numbers.
    """

    def __init__(
        self,
        n_instances: int = 3,
        n_engines: int = 5,
        *,
        checks_fencing: bool = True,
        kind: str = "model",
    ) -> None:
        self.clock = ManualClock()
        self.log = LogStandin(self.clock)
        self.network = PeerNetwork()
        self.n_instances = n_instances
        self.checks_fencing = checks_fencing
        self.kind = kind
        self.urls = [f"http://127.0.0.1:{9000 + i}" for i in range(n_engines)]
        self.engines = {url: EngineDouble(checks_fencing) for url in self.urls}
        self.instances: list[Instance] = []
        self.failing_share = 0.0
        self.rng = random.Random(5)
        self.n_requests = 0
        self.new_times_s: list[float] = []
        self.verdict_s: float | None = None

    async def start(self) -> None:
        """Start the instances and write the catalogue."""
        for index in range(self.n_instances):
            await self.add(f"i{index}", seed=index)
        await self.edit(*self.make_changes())

    async def add(self, name: str, *, seed: int) -> Instance:
        """Start one instance."""
        gate = Gate()
        clock = GatedClock(self.clock, gate)
        log = GatedLog(self.log, gate)
        app = Application(clock=clock, rng=random.Random(seed))
        app.add(log)
        peers = app.add(self.network.join(name))
        catalogue = app.add(
            CatalogueService(
                app, CatalogueOptions(retry_s=0.2, cut_off_after_s=1), log=log
            )
        )
        control = ControlDouble(self.engines, self.clock, gate)
        moves = MovesService(app, OPTIONS, lease_options=LEASE_OPTIONS, control=control)
        app.add(moves)
        instance = Instance(
            name=name, app=app, gate=gate, catalogue=catalogue, moves=moves
        )
        self.instances.append(instance)
        await app.start()
        await self.clock.advance(STEP_S)
        await peers.start()
        return instance

    async def stop(self) -> None:
        """Stop all instances."""
        for instance in self.instances:
            instance.gate.open()
        for instance in self.instances:
            await instance.app.stop()

    def make_changes(self) -> list[Change]:
        """Return the changes of the first catalogue."""
        entry = {
            "kind": self.kind,
            "owner": "asso",
            "service_class": "chat",
            "checks_fencing": self.checks_fencing,
        }
        changes = [
            Change(section="organisations", name="asso", item={}),
            Change(section="classes", name="chat", item={}),
            Change(section="entries", name="guide", item=entry),
        ]
        for index, url in enumerate(self.urls):
            item = {"entry": "guide", "data_centre": f"dc{index % 3}", "url": url}
            if self.kind == "plain":
                item["version"] = str(1 + index % 2)
            changes.append(
                Change(section="endpoints", name=f"guide-{index}", item=item)
            )
        return changes

    async def edit(self, *changes: Change) -> int:
        """Apply an edit at the first instance that is not stopped."""
        catalogue = self.live()[0].catalogue
        edit = Edit(
            edit_id=f"e{self.rng.random()}",
            author="ana",
            base_revision=catalogue.revision,
            changes=list(changes),
        )
        task = asyncio.create_task(catalogue.apply(edit))
        await self.clock.advance(STEP_S)
        while not task.done():
            await self.clock.advance(STEP_S)
        return task.result()

    async def order(self, name: str = "m", *, in_s: float = 60.0, **fields: Any) -> int:
        """Order a move of ``guide`` to version 2."""
        item = to_plain(make_move(deadline_s=self.clock.time() + in_s))
        return await self.edit(
            Change(section="moves", name=name, item={**item, **fields})
        )

    def live(self) -> list[Instance]:
        """Return the instances that are not stopped."""
        return [item for item in self.instances if not item.gate.stopped]

    def holder(self) -> Instance | None:
        """Return the instance that holds the lease."""
        for instance in self.instances:
            lease = instance.moves.lease
            if lease is not None and lease.is_held():
                return instance
        return None

    async def run(self, seconds: float, *, until: Any = None) -> bool:
        """Advance the clock under traffic; return whether ``until`` became true."""
        for _ in range(int(seconds / STEP_S)):
            if until is not None and until():
                return True
            self.send()
            await self.clock.advance(STEP_S)
        return until is not None and until()

    def send(self) -> None:
        """Send requests to all instances that are not stopped."""
        now_s = self.clock.time()
        for instance in self.live():
            for _ in range(N_REQUESTS_PER_STEP):
                self._send_one(instance, now_s)
            if instance.moves.findings and self.verdict_s is None:
                self.verdict_s = now_s

    def _send_one(self, instance: Instance, now_s: float) -> None:
        self.n_requests += 1
        moves = instance.moves
        version = moves.choose_version("guide", f"r{self.n_requests}")
        is_new = version == "2"
        if is_new:
            self.new_times_s.append(now_s)
        fails = is_new and self.rng.random() < self.failing_share
        result = AttemptResult(
            ok=not fails,
            kind="error" if fails else "",
            n_tokens=10,
            first_token_s=FIRST_TOKEN_S * self.rng.lognormvariate(0, 0.2),
            between_tokens_s=BETWEEN_TOKENS_S * self.rng.lognormvariate(0, 0.1),
        )
        moves.observe("guide", version, "plan", result)

    def record(self, name: str = "m") -> MoveRecord | None:
        """Return the newest record of a move over all live instances."""
        found: dict[int, MoveRecord] = {}
        for instance in self.live():
            for stored in instance.moves.ledger.stored.values():
                if stored.record.name == name:
                    found[stored.offset] = stored.record
        return found[max(found)] if found else None

    def is_done(self, name: str = "m") -> bool:
        """Return whether a move has ended, clean-up included."""
        record = self.record(name)
        return record is not None and record.is_done

    def phases(self) -> list[str]:
        """Return the valid phases in log order, repeated steps merged."""
        recorded_phases: list[str] = []
        ledger = MoveLedger(lambda offset, record: recorded_phases.append(record.phase))
        state = LeaseState()
        for record in self.log.streams["moves"].records:
            decoded = decode_record(record.data)
            assert decoded is not None
            state, counts = fold(state, decoded, record.offset)
            if counts and decoded.kind == "data":
                ledger.on_data(record.offset, record.time_s, decoded.payload)
        return [phase for phase, _ in itertools.groupby(recorded_phases)]
