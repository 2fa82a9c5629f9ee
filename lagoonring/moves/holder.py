"""Advances moves while this instance holds the lease of the stream ``moves``.

Every step depends only on the log, the catalogue, the verdicts and the clock, and is
safe to repeat, so that another holder can continue from any point.
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
from lagoonring.moves.steady import VersionSync
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
    """Starts and advances moves; the duty of one lease holder.

    Parameters
    ----------
    app : Application
        Provides ``catalogue`` and the clock.
    ledger : MoveLedger
        The current records.
    options : MovesOptions
        Shares, times and limits.
    control : EndpointControl
        Sends orders to endpoints and reads their state.
    get_finding : callable
        Returns the reason for rejecting a move's new version, by the move's key;
        empty if there is none.
    count_new_results : callable
        Returns the number of results of a move's new version compared so far.
    publish_records : callable
        Called when the current records should be published to all instances.
    """

    def __init__(
        self,
        app: Application,
        ledger: MoveLedger,
        options: MovesOptions,
        control: EndpointControl,
        *,
        get_finding: Callable[[str], str],
        count_new_results: Callable[[MoveRecord], int],
        publish_records: Callable[[], None],
    ) -> None:
        self.app = app
        self.ledger = ledger
        self.options = options
        self.control = control
        self.get_finding = get_finding
        self.count_new_results = count_new_results
        self.publish_records = publish_records
        self.fenced: set[str] = set()
        self.version_sync = VersionSync(app.clock)

    @property
    def catalogue(self) -> Any:
        """The service ``catalogue``."""
        return self.app.find("catalogue")

    async def run(self, lease: Lease) -> None:
        """Advance all moves at each tick until the lease is lost."""
        self.fenced.clear()
        self.version_sync = VersionSync(self.app.clock)
        orders = VersionOrders(lease, self.control, self.app.clock, self.options)
        self.publish_records()
        if self._may_have_late_orders():
            await self.app.clock.sleep(self.options.order_s)
        while lease.is_held():
            await self._step(lease, orders)
            await self.app.clock.sleep(self.options.tick_s)

    def _entries_in_move(self) -> set[str]:
        """Return the entries that have a move in progress."""
        records = [stored.record for stored in self.ledger.stored.values()]
        return {record.entry for record in records if not record.is_done}

    def _may_have_late_orders(self) -> bool:
        """Return whether late orders of an earlier holder may still be obeyed."""
        content = self.catalogue.content
        for stored in self.ledger.stored.values():
            entry = content.entries.get(stored.record.entry)
            if entry is not None and not entry.checks_fencing:
                return True
        return False

    async def _step(self, lease: Lease, orders: VersionOrders) -> None:
        content = self.catalogue.content
        orders.forget(set(content.endpoints))
        try:
            await self._start_ordered(lease, content)
            for stored in list(self.ledger.stored.values()):
                if not stored.record.is_done:
                    await self._advance(lease, orders, stored.record)
            await self.version_sync.step(orders, content, self._entries_in_move())
            if self.ledger.n_since_snapshot > N_RECORDS_PER_SNAPSHOT:
                self.ledger.n_since_snapshot = 0
                await lease.append_snapshot(self.ledger.get_parts)
        except FencedError as error:
            logger.warning(
                "An endpoint refused an order because of a later lease holder: {}",
                error,
            )
        except LagoonringError as error:
            logger.warning("Advancing the moves failed; retrying: {}", error)

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

    async def _advance(
        self, lease: Lease, orders: VersionOrders, record: MoveRecord
    ) -> None:
        facts = await self._gather_facts(lease, orders, record)
        next_record = decide(record, facts, self.options)
        if next_record != record:
            await self._append(lease, next_record)
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
        is_next_loaded = is_unloaded = False
        if entry is not None and record.is_final:
            is_unloaded = await self._unload_version(orders, content, entry, record)
        elif entry is not None and record.phase != "undoing":
            is_next_loaded = await self._load_version(orders, content, entry, record)
        # The verdict is read last, since it may arrive while orders are sent.
        return Facts(
            now_s=self.app.clock.time(),
            entry_version=self._entry_version(record.entry),
            is_ordered=is_ordered,
            finding=self.get_finding(record.key),
            n_new=self.count_new_results(record),
            is_next_loaded=is_next_loaded,
            is_fenced=record.key in self.fenced,
            is_unloaded=is_unloaded or entry is None,
        )

    async def _load_version(
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
        progress = await orders.reconcile(
            {name: endpoints[name] for name in hosts},
            record.to_version,
            is_wanted=True,
            checks_fencing=entry.checks_fencing,
        )
        is_majority_done = len(progress.done) > len(progress.failing)
        return is_majority_done and progress.is_complete

    async def _unload_version(
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
        progress = await orders.reconcile(
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

        The base revision is read before the lease is checked. Any write of a later
        holder then has a higher revision, so that this edit conflicts with it.
        """
        revision = self.catalogue.revision
        content = self.catalogue.content
        entry = content.entries.get(record.entry)
        is_rejected = bool(self.get_finding(record.key))
        is_forbidden = is_rejected and version == record.to_version
        if entry is None or is_forbidden or not lease.is_held():
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
        self.publish_records()

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
    """Return the id of an edit, equal only for repeats of the same edit."""
    text = f"{record.key}\x00{record.phase}\x00{version}\x00{revision}\x00{epoch}"
    digest = hashlib.blake2b(text.encode(), digest_size=EDIT_ID_BYTES).hexdigest()
    return f"move-{digest}"
