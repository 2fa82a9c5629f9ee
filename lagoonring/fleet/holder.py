"""Manages a data centre's fleet while this instance holds the fleet's lease."""

from __future__ import annotations

import hashlib
import uuid
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.catalogue.edits import Change, Edit
from lagoonring.errors import LagoonringError
from lagoonring.fleet.demand import (
    DemandHysteresis,
    DemandTracker,
    ReclaimRisk,
    slots_by_class,
)
from lagoonring.fleet.ledger import FleetLedger
from lagoonring.fleet.messages import DemandReport, FleetRecord, Intent, make_token
from lagoonring.fleet.planning import (
    PlanningInputs,
    count_instances,
    find_refused_markets,
    is_plan_running,
    merge_plans,
    plan_entries,
)
from lagoonring.fleet.reconcile import (
    Steps,
    View,
    find_plan_changes,
    reconcile,
)
from lagoonring.leases import LeaseStream
from lagoonring.logs import make_logger
from lagoonring.platform.cloud import StartOrder, StartRefusedError
from lagoonring.routing.messages import EndpointLoad
from lagoonring.settings import to_plain

if TYPE_CHECKING:
    from lagoonring.catalogue.entries import CatalogueContent
    from lagoonring.fleet.options import FleetOptions
    from lagoonring.fleet.planner import Plan
    from lagoonring.kernel import Application
    from lagoonring.leases import Lease
    from lagoonring.platform.cloud import Cloud, CloudInstance

AUTHOR = "fleet"
EDIT_ID_BYTES = 8
N_RECORDS_PER_SNAPSHOT = 100
IDLE_MARGIN_S = 2.0
LOAD_KIND = "endpoint_load"

logger = make_logger("fleet")


class FleetHolder:
    """Starts and stops instances of a data centre; the duty of one lease holder.

    Parameters
    ----------
    app : Application
        Provides ``catalogue``, ``peers``, ``routing`` and ``log``.
    data_centre : str
        Data centre whose instances are started and stopped.
    ledger : FleetLedger
        The current intents and demand report.
    find_cloud : callable
        Returns the cloud client.
    options : FleetOptions
        Intervals, delays and margins.
    """

    def __init__(
        self,
        app: Application,
        data_centre: str,
        ledger: FleetLedger,
        find_cloud: Any,
        options: FleetOptions,
    ) -> None:
        self.app = app
        self.data_centre = data_centre
        self.ledger = ledger
        self.find_cloud = find_cloud
        self.options = options
        self.demand = DemandTracker(data_centre)
        self.risk = ReclaimRisk()
        self.demand_hysteresis = DemandHysteresis(
            margin=options.cancel_margin, settle_s=options.settle_s
        )
        self.refusals: dict[tuple[str, str], tuple[float, float]] = {}
        self.other_streams: dict[str, LeaseStream] = {}
        self.reported_s = 0.0
        self.reported_refused: frozenset[tuple[str, str]] = frozenset()
        self.sampled_s = 0.0
        self.plan_met_since_s: float | None = None
        self.has_loads = False
        self.plans: dict[str, Plan] = {}

    async def run(self, lease: Lease) -> None:
        """Run :meth:`step` at each tick until the lease is lost."""
        self.demand.restore(self.ledger.demand)
        self.plan_met_since_s = None
        self.reported_s = 0.0
        self.sampled_s = self.app.clock.time()
        while lease.is_held():
            try:
                await self.step(lease)
            except LagoonringError as error:
                logger.warning("Fleet reconciliation failed; retrying: {}", error)
            await self.app.clock.sleep(self.options.tick_s)

    async def step(self, lease: Lease) -> None:
        """Reconcile cloud, catalogue and intents once, then follow the plan."""
        cloud: Cloud = self.find_cloud()
        revision = self.app.find("catalogue").revision
        content = self.app.find("catalogue").content
        instances = await cloud.list_instances()
        by_token = await self._confirm_missing(cloud, instances)
        loads = self._read_loads()
        self._record_samples(content, instances, loads)
        view = self._make_view(content, by_token, loads)
        steps = reconcile(
            view,
            drain_s=self.options.drain_s,
            versions={name: entry.version for name, entry in content.entries.items()},
            n_slots=slots_by_class(content, instances),
        )
        await self._execute(lease, cloud, steps)
        await self._edit_catalogue(lease, revision, content, steps)
        await self._apply_plan(lease, cloud, view, content, instances)
        await self._report_demand(lease)
        if self.ledger.n_since_snapshot > N_RECORDS_PER_SNAPSHOT:
            self.ledger.n_since_snapshot = 0
            await lease.append_snapshot(self.ledger.get_parts)

    def _make_view(
        self,
        content: CatalogueContent,
        by_token: dict[str, CloudInstance],
        loads: dict[str, EndpointLoad],
    ) -> View:
        intents = dict(self.ledger.intents)
        drained_s = {
            item.instance: item.since_s
            for item in intents.values()
            if item.state == "draining"
        }
        idle = {
            name
            for name, load in loads.items()
            if load.n_running + load.n_waiting == 0
            and load.time_s > drained_s.get(name, float("inf")) + IDLE_MARGIN_S
        }
        return View(
            now_s=self.app.clock.time(),
            data_centre=self.data_centre,
            intents=intents,
            instances=by_token,
            endpoints=content.endpoints,
            idle=frozenset(idle),
        )

    async def _confirm_missing(
        self, cloud: Cloud, instances: list[CloudInstance]
    ) -> dict[str, CloudInstance]:
        """Return instances by token.

        An instance that an open intent names, so that it was there before, is
        queried by its token if the list lacks it.
        """
        by_token = {item.token: item for item in instances}
        for intent in self.ledger.open_intents():
            if intent.instance and intent.token not in by_token:
                for item in await cloud.list_instances(intent.token):
                    by_token[item.token] = item
        return by_token

    async def _execute(self, lease: Lease, cloud: Cloud, steps: Steps) -> None:
        for intent in steps.changed:
            await lease.append(FleetRecord(intent=intent))
        for name in steps.leaving:
            self.app.find("routing").leaving(name)
        for intent in steps.starts:
            await self._start(lease, cloud, intent)
        for name in steps.stops:
            if lease.is_held():
                logger.info("Stopping instance {}.", name)
                await cloud.stop_instance(name)

    async def _start(self, lease: Lease, cloud: Cloud, intent: Intent) -> None:
        if not lease.is_held():
            return
        order = StartOrder(
            token=intent.token,
            instance_class=intent.instance_class,
            data_centre=intent.data_centre,
            market=intent.market,
        )
        key = (intent.goal, intent.market)
        try:
            started = await cloud.start_instance(order)
        except StartRefusedError as error:
            self._record_refusal(key)
            closed = attrs.evolve(
                intent,
                state="closed",
                since_s=self.app.clock.time(),
                reason=error.message,
            )
            await lease.append(FleetRecord(intent=closed))
            return
        self.refusals.pop(key, None)
        recorded = attrs.evolve(intent, instance=started.instance)
        await lease.append(FleetRecord(intent=recorded))
        logger.info("Started instance {} for {}.", started.instance, intent.goal)

    def _record_refusal(self, key: tuple[str, str]) -> None:
        _, previous_s = self.refusals.get(key, (0.0, 0.0))
        options = self.options
        delay_s = min(max(2 * previous_s, options.backoff_s), options.backoff_limit_s)
        self.refusals[key] = (self.app.clock.time() + delay_s, delay_s)
        logger.info("Start for {} ({}) refused; backing off for {} s.", *key, delay_s)

    async def _edit_catalogue(
        self, lease: Lease, revision: int, content: CatalogueContent, steps: Steps
    ) -> None:
        """Add and remove endpoints by an edit of the revision that was read.

        The edit conflicts if the catalogue has changed since.
        """
        changes = [
            Change(section="endpoints", name=name, item=to_plain(endpoint))
            for name, endpoint in steps.added.items()
        ]
        changes += [
            Change(section="endpoints", name=name, item=None)
            for name in dict.fromkeys(steps.removed)
        ]
        if not changes or not lease.is_held():
            return
        edit = Edit(
            edit_id=_make_edit_id(changes, revision, lease.fencing_number),
            author=AUTHOR,
            base_revision=revision,
            changes=changes,
            note=f"instances of {self.data_centre}",
        )
        await self.app.find("catalogue").apply(edit)

    async def _apply_plan(
        self,
        lease: Lease,
        cloud: Cloud,
        view: View,
        content: CatalogueContent,
        instances: list[CloudInstance],
    ) -> None:
        prices = await cloud.read_prices()
        reports = await self._read_reports()
        demand = Counter(self.demand.predict(self.options.horizon_s))
        for report in reports:
            demand.update(report.demand)
        view = attrs.evolve(view, intents=dict(self.ledger.intents))
        planning = PlanningInputs(
            content=content,
            instances=instances,
            prices=prices,
            demand=self.demand_hysteresis.update(demand, self.app.clock.time()),
            risk=self.risk,
            running=count_instances(content, instances, view),
            refused=self._refused_markets().union(*map(find_refused_markets, reports)),
        )
        self.plans = plan_entries(planning, self.options)
        plan = merge_plans(self.plans)
        changes = find_plan_changes(
            view,
            plan,
            make_token=self._make_token,
            may_stop=self._may_stop(is_plan_running(plan, content, instances, view)),
        )
        for intent in changes[: self.options.n_starts]:
            await lease.append(FleetRecord(intent=intent))
        for intent in changes[: self.options.n_starts]:
            if intent.state == "wanted":
                await self._start(lease, cloud, intent)

    def _may_stop(self, is_plan_met: bool) -> bool:
        """Return whether the plan has been met for ``settle_s``.

        Without any load report the demand is unknown, so nothing is stopped.
        """
        now_s = self.app.clock.time()
        if not (is_plan_met and self.has_loads):
            self.plan_met_since_s = None
            return False
        if self.plan_met_since_s is None:
            self.plan_met_since_s = now_s
        return now_s - self.plan_met_since_s >= self.options.settle_s

    async def _read_reports(self) -> list[DemandReport]:
        """Return the newest demand reports of the other data centres."""
        goals = self.app.find("catalogue").content.fleet.values()
        others = {goal.data_centre for goal in goals} - {self.data_centre}
        reports = [(await self._read_stream(name)).demand for name in sorted(others)]
        return [report for report in reports if report is not None]

    async def _read_stream(self, data_centre: str) -> FleetLedger:
        stream = self.other_streams.get(data_centre)
        if stream is None:
            stream = LeaseStream(
                self.app.find("log"),
                make_stream(data_centre),
                self.app.clock,
                FleetLedger(),
            )
            self.other_streams[data_centre] = stream
        await stream.read_to_end()
        assert isinstance(stream.data, FleetLedger)
        return stream.data

    async def _report_demand(self, lease: Lease) -> None:
        now_s = self.app.clock.time()
        refused = self._refused_markets()
        is_due = now_s - self.reported_s >= self.options.note_s
        if not is_due and refused == self.reported_refused:
            return
        self.reported_s = now_s
        self.reported_refused = refused
        report = self.demand.make_report(self.options.horizon_s, now_s, refused)
        await lease.append(FleetRecord(demand=report))

    def _record_samples(
        self,
        content: CatalogueContent,
        instances: list[CloudInstance],
        loads: dict[str, EndpointLoad],
    ) -> None:
        now_s = self.app.clock.time()
        self.risk.add(instances, now_s - self.sampled_s)
        self.sampled_s = now_s
        self.demand.add(content, loads, now_s)
        self.has_loads = bool(loads)

    def _read_loads(self) -> dict[str, EndpointLoad]:
        """Return the newest load report of each endpoint."""
        newest: dict[str, EndpointLoad] = {}
        rows = self.app.find("peers").rows(LOAD_KIND, EndpointLoad)
        for (_, name), load in rows.items():
            if name not in newest or load.time_s > newest[name].time_s:
                newest[name] = load
        return newest

    def _refused_markets(self) -> frozenset[tuple[str, str]]:
        now_s = self.app.clock.time()
        return frozenset(
            key for key, (until_s, _) in self.refusals.items() if until_s > now_s
        )

    def _make_token(self) -> str:
        unique = uuid.UUID(int=self.app.rng.getrandbits(128), version=4).hex
        return make_token(self.data_centre, unique)


def make_stream(data_centre: str) -> str:
    """Return the name of the log stream of a data centre's fleet."""
    return f"fleet-{data_centre}"


def _make_edit_id(changes: list[Change], revision: int, epoch: int) -> str:
    data = msgspec.json.encode([changes, revision, epoch], order="sorted")
    digest = hashlib.blake2b(data, digest_size=EDIT_ID_BYTES).hexdigest()
    return f"fleet-{digest}"
