"""Applies operators' documents and endpoint records from the store as they change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform.log import generation_of
from lagoonring.serving.configuration import Configuration
from lagoonring.serving.evacuation_orders import EvacuationOrder, apply_evacuation
from lagoonring.serving.feeds import KeyedFeed
from lagoonring.serving.moves import MoveOrder
from lagoonring.serving.warming import bounded_warm_up

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application
    from lagoonring.platform.store import KeyedRecord
    from lagoonring.serving.endpoints import Endpoint, EndpointRecord, EndpointTable
    from lagoonring.serving.feeds import KeyedLog
    from lagoonring.serving.metrics import ServingMetrics
    from lagoonring.serving.relay import StoreRelay
    from lagoonring.serving.settings import Bounds

DOCUMENT_WAIT_SHARE = 0.5  # of config_s, to detect a dead connection within it
ENDPOINT_POLL_SHARE = 0.3  # of drain_s, the bound for draining endpoints
CHECK_INTERVAL_S = 0.1  # far less than pages of other instances stay fresh
RETRY_INTERVAL_S = 0.25  # an eighth of config_s, to bridge short outages
RETRIES_PER_CENTRE_S = 16.0  # of all instances of a data centre but its hub
MAX_RETRY_SHARE = 0.25  # of the bound on changes, however many instances retry
RECOVERY_S = 2.2  # endpoints are registered again 2 s after an outage
MIN_STABLE_S = 6.0  # three heartbeats and a read; no record can have expired
DEFAULT_CACHE_TOKENS = 100_000  # for services without an engine description

Document = Configuration | EvacuationOrder | MoveOrder

logger = make_logger("follower")


class Follower(BaseService):
    """Keeps the configuration, the move orders and the endpoints up to date.

    Parameters
    ----------
    documents, records : KeyedLog
        The operators' documents and the endpoints' records.
    read_document : callable
        Decodes a key and content, None for a removed document, to a
        `Configuration`, an `EvacuationOrder` or a `MoveOrder`, or to None
        if the document does not concern instances.
    read_record : callable
        Decodes an id and content to an `EndpointRecord`.
    relay : StoreRelay
        Shares the records read with the other instances of the data centre.
    bounds : Bounds
        Times within which changes must be in force.

    Attributes
    ----------
    appeared_s : float
        Time at which the last new endpoint was discovered.
    """

    name = "follower"

    def __init__(
        self,
        app: Application,
        table: EndpointTable,
        metrics: ServingMetrics,
        *,
        documents: KeyedLog,
        records: KeyedLog,
        read_document: Callable[[str, bytes | None], Document | None],
        read_record: Callable[[str, bytes], EndpointRecord],
        relay: StoreRelay,
        bounds: Bounds,
    ) -> None:
        self.app = app
        self.table = table
        self.metrics = metrics
        self.documents = KeyedFeed(documents)
        self.records = KeyedFeed(records)
        self.read_document = read_document
        self.read_record = read_record
        self.relay = relay
        self.bounds = bounds
        self.document_wait_s = DOCUMENT_WAIT_SHARE * bounds.config_s
        self.endpoint_poll_s = ENDPOINT_POLL_SHARE * bounds.drain_s
        relay.add("documents", self.documents, self.apply_document)
        relay.add("records", self.records, self.apply_record)
        self.configuration: Configuration | None = None
        self.orders: dict[str, MoveOrder] = {}
        self.listeners: list[Callable[[], None]] = []
        self.endpoint_listeners: list[Callable[[Endpoint, str], None]] = []
        self.failed_at_s: dict[str, float] = {}
        self.is_unavailable: dict[str, bool] = {}
        self.pending_removals: dict[str, float] = {}
        self.confirm_until_s: dict[str, float] = {}
        self.peer_read_s = float("-inf")
        self.appeared_s = float("-inf")
        self.started_s = app.clock.monotonic()
        self.has_read = asyncio.Event()

    async def wait_until_read(self, limit_s: float) -> None:
        """Wait until documents and records were read, for at most ``limit_s``."""
        if self.has_read.is_set():
            return
        try:
            async with asyncio.timeout(limit_s):
                await self.has_read.wait()
        except TimeoutError:
            logger.info("Serving before the store was read.")

    async def start(self) -> None:
        """Start to follow the store."""
        self.app.spawn("documents", self._follow_documents)
        self.app.spawn("records", self._follow_records)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of configuration or orders."""
        self.listeners.append(listener)

    def read_well_for_s(self) -> float:
        """Return the time since the last failed read of the records, or the start."""
        now_s = self.app.clock.monotonic()
        return now_s - self.failed_at_s.get("records", self.started_s)

    def record_peer_read(self, read_well_for_s: float) -> None:
        """Record that another instance can read the store, unless it failed lately."""
        if read_well_for_s > MIN_STABLE_S:
            self.peer_read_s = self.app.clock.monotonic()

    async def _follow_documents(self) -> None:
        while True:
            if self.relay.is_fresh("documents"):
                await self.app.clock.sleep(CHECK_INTERVAL_S)
                continue
            changes = await self._poll(
                "documents", self.documents, self.document_wait_s, self.apply_document
            )
            self._update_has_read()
            if not changes:
                # An empty answer may come early; do not poll again at once.
                await self.app.clock.sleep(
                    self._retry_interval_s() if changes is None else CHECK_INTERVAL_S
                )

    async def _follow_records(self) -> None:
        while True:
            self._remove_pending()
            if self.relay.is_fresh("records"):
                await self.app.clock.sleep(CHECK_INTERVAL_S)
                continue
            changes = await self._poll("records", self.records, 0.0, self.apply_record)
            self._update_has_read()
            await self.app.clock.sleep(
                self._retry_interval_s() if changes is None else self.endpoint_poll_s
            )

    def _retry_interval_s(self) -> float:
        """Return the time between reads of a store that fails.

        The hub bridges short outages for the others, which poll so that the calls of
        a large data centre do not grow with its instances.
        """
        n_local = self.relay.count_local()
        if self.relay.is_preferred_reader() or n_local <= 1:
            return RETRY_INTERVAL_S
        shared_s = n_local / RETRIES_PER_CENTRE_S
        max_s = MAX_RETRY_SHARE * self.relay.change_s
        return max(RETRY_INTERVAL_S, min(shared_s, max_s))

    async def _poll(
        self,
        name: str,
        feed: KeyedFeed,
        wait_s: float,
        apply: Callable[[KeyedRecord], bool],
    ) -> list[KeyedRecord] | None:
        """Return the records with an effect, or None if the store is unavailable."""
        before = feed.offset
        try:
            changes = await feed.poll(wait_s=wait_s)
        except LagoonringError as error:
            self.failed_at_s[name] = self.app.clock.monotonic()
            if not self.is_unavailable.get(name):
                self.is_unavailable[name] = True
                logger.warning(
                    "Lost the store's {}.", name, extra={"error": str(error)}
                )
            return None
        if self.is_unavailable.get(name):
            self.is_unavailable[name] = False
            logger.info("Regained the store's {}.", name, extra={"offset": feed.offset})
        changes += self._remove_unconfirmed(name, feed, before)
        changes = [record for record in changes if apply(record)]
        self.relay.publish(name, before, changes)
        return changes

    def _remove_unconfirmed(
        self, name: str, feed: KeyedFeed, before: int | None
    ) -> list[KeyedRecord]:
        """Return the keys that a returned store still lacks after some time."""
        now_s = self.app.clock.monotonic()
        assert feed.offset is not None
        if before is not None and generation_of(feed.offset) > generation_of(before):
            self.confirm_until_s[name] = now_s + RECOVERY_S
            logger.warning(
                "The store's {} returned from an older copy.",
                name,
                extra={
                    "before": before,
                    "offset": feed.offset,
                    "n_missing": len(feed.unconfirmed),
                },
            )
        if not feed.unconfirmed or now_s < self.confirm_until_s[name]:
            return []
        return feed.remove_unconfirmed()

    def _update_has_read(self) -> None:
        feeds = (self.documents, self.records)
        if all(feed.offset is not None for feed in feeds):
            self.has_read.set()

    def apply_document(self, record: KeyedRecord) -> bool:
        """Put a document in force; an invalid one changes nothing.

        Returns whether other instances of the data centre need the record.
        """
        try:
            document = self.read_document(record.key, record.value)
        except Exception as error:
            self.metrics.faulty_documents.labels("document").inc()
            logger.error(
                "Document rejected.",
                extra={
                    "key": record.key,
                    "offset": record.offset,
                    "error": repr(error),
                },
            )
            return False
        if document is None:
            return False
        if isinstance(document, EvacuationOrder):
            return apply_evacuation(self.table, document, self.app.clock.monotonic())
        if isinstance(document, Configuration):
            self._apply_configuration(document, record.offset)
        else:
            is_old = self.documents.n_reads == 0
            document = attrs.evolve(
                document, offset=record.offset, written=record.offset, is_old=is_old
            )
            known = self.orders.get(document.service)
            if known is not None and known.is_rewritten_as(document):
                self.orders[document.service] = attrs.evolve(
                    known, written=record.offset
                )
                return True
            self.orders[document.service] = document
            logger.info(
                "Move order received.",
                extra={
                    "service": document.service,
                    "target": document.target,
                    "duration_s": document.duration_s,
                    "offset": record.offset,
                },
            )
        for listener in self.listeners:
            listener()
        return True

    def _apply_configuration(self, configuration: Configuration, offset: int) -> None:
        before = self.configuration.version if self.configuration else None
        if before is not None and configuration.version <= before:
            return
        self.configuration = configuration
        self._set_warm_ups(configuration)
        self.table.max_pauses_s = configuration.max_pauses_s()
        self.metrics.configuration_version.set(configuration.version)
        logger.info(
            "Configuration in force.",
            extra={
                "version": configuration.version,
                "before": before,
                "offset": offset,
                "n_routes": len(configuration.routes),
            },
        )

    def apply_bounds(self, bounds: Bounds) -> None:
        """Apply the bounds that can change without a restart."""
        self.bounds = bounds
        if self.configuration is not None:
            self._set_warm_ups(self.configuration)

    def _set_warm_ups(self, configuration: Configuration) -> None:
        self.table.warm_ups = {
            entry.name: bounded_warm_up(
                entry.warm_up,
                excess=self.bounds.cold_excess,
                slack=self.bounds.cold_slack,
            )
            for entry in configuration.services.values()
            if entry.warm_up is not None
        }

    def apply_record(self, record: KeyedRecord) -> bool:
        """Apply an endpoint's record or its removal.

        Returns whether more than the record's sequence number changed.
        """
        if record.value is None:
            self._schedule_removal(record.key, self.app.clock.monotonic())
            return True
        try:
            content = self.read_record(record.key, record.value)
        except Exception as error:
            # Whatever is wrong with one record, the others have to be followed.
            self.metrics.faulty_documents.labels("record").inc()
            logger.warning(
                "Endpoint record rejected.",
                extra={
                    "endpoint": record.key,
                    "offset": record.offset,
                    "error": repr(error),
                },
            )
            return False
        is_back = self.pending_removals.pop(record.key, None) is not None
        change = self.table.apply(
            content,
            n_cache_tokens=self._cache_tokens(content.service),
            now_s=self.app.clock.monotonic(),
        )
        if change == "appeared":
            self.appeared_s = self.app.clock.monotonic()
        if change:
            self._notify_listeners(content.endpoint, change)
            logger.info(
                "Endpoint {}.",
                change,
                extra={
                    "endpoint": content.endpoint,
                    "service": content.service,
                    "address": content.address,
                    "version": content.version,
                    "state": content.state.value,
                    "offset": record.offset,
                    "reclaimable": content.is_reclaimable,
                },
            )
        return bool(change) or is_back

    def _notify_listeners(self, name: str, change: str) -> None:
        endpoint = self.table.find(name)
        if endpoint is not None:
            for listener in self.endpoint_listeners:
                listener(endpoint, change)

    def _cache_tokens(self, service: str) -> int:
        entry = self.configuration.services.get(service) if self.configuration else None
        if entry is None or entry.engine is None:
            return DEFAULT_CACHE_TOKENS
        return entry.engine.n_cache_tokens

    def _schedule_removal(self, name: str, now_s: float) -> None:
        """Remove an endpoint, after a store outage only if it does not return.

        If another instance could read the store throughout, only this instance lost
        the store, and the removal takes effect at once.
        """
        due_s = self.failed_at_s.get("records", -RECOVERY_S) + RECOVERY_S
        if now_s < due_s and now_s - self.peer_read_s > RECOVERY_S:
            self.pending_removals[name] = due_s
        else:
            self._remove(name, "removed")

    def _remove_pending(self) -> None:
        now_s = self.app.clock.monotonic()
        for name, due_s in list(self.pending_removals.items()):
            if now_s >= due_s:
                del self.pending_removals[name]
                self._remove(name, "missing after an outage")

    def _remove(self, name: str, reason: str) -> None:
        if self.table.remove(name) is not None:
            logger.info("Endpoint gone.", extra={"endpoint": name, "reason": reason})
