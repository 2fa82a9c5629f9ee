"""Carries moves on while this instance holds the lease of the stream ``moves``.

Every step is a function of the log, the catalogue, the verdicts and the clock,
and may be repeated, so another holder goes on wherever this one ended.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.catalogue.edits import Change, Edit
from lagoonring.endpoints.errors import FencedError
from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.moves.decide import Facts, decide, next_share, start_move
from lagoonring.moves.messages import MoveRecord, make_key
from lagoonring.moves.orders import VersionOrders, choose_hosts
from lagoonring.moves.steady import SteadyVersions
from lagoonring.settings import to_plain

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.catalogue.entries import CatalogueContent, Endpoint, Entry
    from lagoonring.kernel import Application
    from lagoonring.leases import Lease
    from lagoonring.moves.ledger import MoveLedger
    from lagoonring.moves.options import MovesOptions
    from lagoonring.moves.orders import EndpointControl

AUTHOR = "moves"
EDIT_ID_BYTES = 8
N_RECORDS_PER_SNAPSHOT = 50

logger = make_logger("moves")


class MovesHolder:
    """The duty of the one instance that carries moves on.

    Parameters
    ----------
    app : Application
        Finds the catalogue.
    ledger : MoveLedger
        The records in force.
    options : MovesOptions
        Shares, times and limits.
    control : EndpointControl
        Talks to endpoints.
    find_finding : callable
        Returns the verdict on a move's key; empty if there is none.
    count_new : callable
        Returns the results of a move's new version that were compared so far.
    tell : callable
        Called when the records in force should be told to all instances.
    """

    def __init__(
        self,
        app: Application,
        ledger: MoveLedger,
        options: MovesOptions,
        control: EndpointControl,
        *,
        find_finding: Callable[[str], str],
        count_new: Callable[[MoveRecord], int],
        tell: Callable[[], None],
    ) -> None:
        self.app = app
        self.ledger = ledger
        self.options = options
        self.control = control
        self.find_finding = find_finding
        self.count_new = count_new
        self.tell = tell
        self.fenced: set[str] = set()
        self.steady = SteadyVersions(app.clock)

    @property
    def catalogue(self) -> Any:
        """The service ``catalogue``."""
        return self.app.find("catalogue")

    async def run(self, lease: Lease) -> None:
        """Carry all moves on until the lease is lost."""
        self.fenced.clear()
        self.steady = SteadyVersions(self.app.clock)
        orders = VersionOrders(lease, self.control, self.app.clock, self.options)
        self.tell()
        if self._must_wait_out():
            await self.app.clock.sleep(self.options.order_s)
        while lease.is_held():
            await self._step(lease, orders)
            await self.app.clock.sleep(self.options.tick_s)

    def _moving(self) -> set[str]:
        """Return the entries that have a move in progress."""
        records = [kept.record for kept in self.ledger.kept.values()]
        return {record.entry for record in records if not record.is_done}

    def _must_wait_out(self) -> bool:
        """Whether an earlier holder's orders may still arrive and be obeyed."""
        content = self.catalogue.content
        for kept in self.ledger.kept.values():
            entry = content.entries.get(kept.record.entry)
            if entry is not None and not entry.checks_fencing:
                return True
        return False

    async def _step(self, lease: Lease, orders: VersionOrders) -> None:
        content = self.catalogue.content
        orders.forget(set(content.endpoints))
        try:
            await self._start_ordered(lease, content)
            for kept in list(self.ledger.kept.values()):
                if not kept.record.is_done:
                    await self._carry_on(lease, orders, kept.record)
            await self.steady.step(orders, content, self._moving())
            if self.ledger.n_since_snapshot > N_RECORDS_PER_SNAPSHOT:
                self.ledger.n_since_snapshot = 0
                await lease.append_snapshot(self.ledger.get_parts)
        except FencedError as error:
            logger.warning("An endpoint knows a later holder: {}", error)
        except LagoonringError as error:
            logger.warning("A step of the moves failed, tries again: {}", error)

    async def _start_ordered(self, lease: Lease, content: CatalogueContent) -> None:
        for name, move in content.moves.items():
            key = make_key(name, move)
            other = self.ledger.find_active(move.entry)
            is_cleaning = other is not None and other.is_final
            if self.ledger.get(key) is not None or is_cleaning:
                continue
            entry = content.entries.get(move.entry)
            record = start_move(
                key,
                name,
                move,
                entry_version=entry.version if entry else "",
                now_s=self.app.clock.time(),
                other=other,
                options=self.options,
            )
            await self._append(lease, record)

    async def _carry_on(
        self, lease: Lease, orders: VersionOrders, record: MoveRecord
    ) -> None:
        facts = await self._gather_facts(lease, orders, record)
        following = decide(record, facts, self.options)
        if following != record:
            await self._append(lease, following)
            return
        if record.phase == "finishing":
            await self._set_version(lease, record, record.to_version)
        elif record.phase == "undoing" and record.may_be_edited:
            await self._set_version(lease, record, record.from_version)
            self.fenced.add(record.key)

    async def _gather_facts(
        self, lease: Lease, orders: VersionOrders, record: MoveRecord
    ) -> Facts:
        content = self.catalogue.content
        entry = content.entries.get(record.entry)
        move = content.moves.get(record.name)
        is_ordered = move is not None and not move.cancelled
        is_ordered = is_ordered and make_key(record.name, move) == record.key
        is_next_loaded = is_cleared = False
        if entry is not None and record.is_final:
            is_cleared = await self._clear(orders, content, entry, record)
        elif entry is not None and record.phase != "undoing":
            is_next_loaded = await self._load(orders, content, entry, record)
        # The verdict is read last: it may have come during the orders.
        return Facts(
            now_s=self.app.clock.time(),
            entry_version=self._entry_version(record.entry),
            is_ordered=is_ordered,
            finding=self.find_finding(record.key),
            n_new=self.count_new(record),
            is_next_loaded=is_next_loaded,
            is_fenced=record.key in self.fenced,
            is_cleared=is_cleared or entry is None,
        )

    async def _load(
        self,
        orders: VersionOrders,
        content: CatalogueContent,
        entry: Entry,
        record: MoveRecord,
    ) -> bool:
        endpoints = find_endpoints(content, record.entry)
        if entry.kind == "plain":
            versions = [endpoint.version for endpoint in endpoints.values()]
            return record.to_version in versions
        hosts = choose_hosts(endpoints, next_share(record, self.options))
        progress = await orders.bring(
            {name: endpoints[name] for name in hosts},
            record.to_version,
            is_wanted=True,
            checks_fencing=entry.checks_fencing,
        )
        is_enough = len(progress.done) > len(progress.failing)
        return is_enough and progress.is_complete

    async def _clear(
        self,
        orders: VersionOrders,
        content: CatalogueContent,
        entry: Entry,
        record: MoveRecord,
    ) -> bool:
        is_finished = record.phase == "finished"
        version = record.from_version if is_finished else record.to_version
        is_drained = self.app.clock.time() >= record.since_s + self.options.drain_s
        if entry.kind == "plain" or entry.version == version:
            return True
        if not is_drained:
            return False
        progress = await orders.bring(
            find_endpoints(content, record.entry),
            version,
            is_wanted=False,
            checks_fencing=entry.checks_fencing,
        )
        return progress.is_complete and not progress.failing

    async def _set_version(
        self, lease: Lease, record: MoveRecord, version: str
    ) -> None:
        """Set the entry's version by an edit.

        The base revision is taken before the lease is checked: what a later
        holder writes comes after it, so that this edit then conflicts.
        """
        revision = self.catalogue.revision
        content = self.catalogue.content
        entry = content.entries.get(record.entry)
        is_condemned = bool(self.find_finding(record.key))
        is_wrong = is_condemned and version == record.to_version
        if entry is None or is_wrong or not lease.is_held():
            return
        changes = make_changes(content, record, version)
        edit = Edit(
            edit_id=make_edit_id(record, version, revision, lease.fencing_number),
            author=AUTHOR,
            base_revision=revision,
            changes=changes,
            note=f"move {record.name}: {record.phase}, {record.reason}",
        )
        await self.catalogue.apply(edit)

    async def _append(self, lease: Lease, record: MoveRecord) -> None:
        record = attrs.evolve(record, holder=lease.holder)
        await lease.append(record)
        self.tell()

    def _entry_version(self, name: str) -> str:
        entry = self.catalogue.content.entries.get(name)
        return entry.version if entry else ""


def find_endpoints(content: CatalogueContent, entry: str) -> dict[str, Endpoint]:
    """Return the endpoints of an entry by name."""
    return {
        name: endpoint
        for name, endpoint in content.endpoints.items()
        if endpoint.entry == entry
    }


def make_changes(
    content: CatalogueContent, record: MoveRecord, version: str
) -> list[Change]:
    """Return the changes that set the version of an entry and its engines."""
    entry = attrs.evolve(content.entries[record.entry], version=version)
    changes = [Change(section="entries", name=record.entry, item=to_plain(entry))]
    if entry.kind == "plain":
        return changes
    known = (record.from_version, record.to_version)
    for name, endpoint in find_endpoints(content, record.entry).items():
        if endpoint.version in known and endpoint.version != version:
            item = to_plain(attrs.evolve(endpoint, version=version))
            changes.append(Change(section="endpoints", name=name, item=item))
    return changes


def make_edit_id(record: MoveRecord, version: str, revision: int, epoch: int) -> str:
    """Return the id of an edit: equal for a repeat, and only for that."""
    text = f"{record.key}\x00{record.phase}\x00{version}\x00{revision}\x00{epoch}"
    digest = hashlib.blake2b(text.encode(), digest_size=EDIT_ID_BYTES).hexdigest()
    return f"move-{digest}"
