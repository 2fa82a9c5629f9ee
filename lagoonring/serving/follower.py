"""Follows the operators' documents and the endpoints' records in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import InvalidInputError, LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.serving.configuration import Configuration
from lagoonring.serving.feeds import KeyedFeed

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application
    from lagoonring.platform.store import KeyedRecord
    from lagoonring.serving.endpoints import Endpoint, EndpointRecord, EndpointTable
    from lagoonring.serving.feeds import KeyedLog
    from lagoonring.serving.metrics import ServingMetrics
    from lagoonring.serving.moves import MoveOrder
    from lagoonring.serving.relay import StoreRelay
    from lagoonring.serving.settings import Bounds

DOCUMENT_WAIT_SHARE = 0.5  # of config_s: a silent connection is found inside it
ENDPOINT_POLL_SHARE = 0.3  # of drain_s, after which leaving endpoints count
CHECK_S = 0.1  # a small part of the time that another's pages stay fresh
RETRY_S = 0.25  # an eighth of config_s, so that a short outage goes unnoticed
RETURN_S = 2.2  # endpoints are back in the store two seconds after an outage
WELL_S = 6.0  # three heartbeats and a read: entries can't have lapsed meanwhile
DEFAULT_CACHE_TOKENS = 100_000  # of services whose engine is not described

logger = make_logger("follower")


class Follower(BaseService):
    """Keeps the configuration, the moves ordered and the endpoints up to date.

    Parameters
    ----------
    documents, records : KeyedLog
        The operators' documents and the endpoints' records.
    read_document : callable
        From a key and content to a `Configuration`, a `MoveOrder` or None for a
        document that does not concern an instance.
    read_record : callable
        From an id and content to an `EndpointRecord`.
    relay : StoreRelay
        Shares what is read with the other instances of the data centre.
    bounds : Bounds
        Within which times changes must be in force.
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
        read_document: Callable[[str, bytes], Configuration | MoveOrder | None],
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
        self.document_wait_s = DOCUMENT_WAIT_SHARE * bounds.config_s
        self.endpoint_poll_s = ENDPOINT_POLL_SHARE * bounds.drain_s
        relay.add("documents", self.documents, self.apply_document)
        relay.add("records", self.records, self.apply_record)
        self.configuration: Configuration | None = None
        self.orders: dict[str, MoveOrder] = {}
        self.listeners: list[Callable[[], None]] = []
        self.endpoint_listeners: list[Callable[[Endpoint, str], None]] = []
        self.failed_at_s: dict[str, float] = {}
        self.is_lost: dict[str, bool] = {}
        self.due_removals: dict[str, float] = {}
        self.store_seen_well_s = float("-inf")
        self.started_s = app.clock.monotonic()
        self.has_read = asyncio.Event()

    async def wait_until_read(self, limit_s: float) -> None:
        """Wait until documents and records were read once, or for ``limit_s``."""
        if self.has_read.is_set():
            return
        try:
            async with asyncio.timeout(limit_s):
                await self.has_read.wait()
        except TimeoutError:
            logger.info("Serving before the store was read.")

    async def start(self) -> None:
        """Begin to follow."""
        self.app.spawn("documents", self._follow_documents)
        self.app.spawn("records", self._follow_records)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of configuration or orders."""
        self.listeners.append(listener)

    def read_well_for_s(self) -> float:
        """Return for how long the records could be read without a failure."""
        now_s = self.app.clock.monotonic()
        return now_s - self.failed_at_s.get("records", self.started_s)

    def record_peer_read(self, read_well_for_s: float) -> None:
        """Learn for how long another instance could read the store."""
        if read_well_for_s > WELL_S:
            self.store_seen_well_s = self.app.clock.monotonic()

    async def _follow_documents(self) -> None:
        while True:
            if self.relay.is_fresh("documents"):
                await self.app.clock.sleep(CHECK_S)
                continue
            changes = await self._poll(
                "documents", self.documents, self.document_wait_s, self.apply_document
            )
            self._note_read()
            if not changes:
                # A read may answer early with nothing; it must not be asked at once.
                await self.app.clock.sleep(RETRY_S if changes is None else CHECK_S)

    async def _follow_records(self) -> None:
        while True:
            self._remove_due()
            if self.relay.is_fresh("records"):
                await self.app.clock.sleep(CHECK_S)
                continue
            changes = await self._poll("records", self.records, 0.0, self.apply_record)
            self._note_read()
            await self.app.clock.sleep(
                self.endpoint_poll_s if changes is not None else RETRY_S
            )

    async def _poll(
        self,
        name: str,
        feed: KeyedFeed,
        wait_s: float,
        apply: Callable[[KeyedRecord], bool],
    ) -> list[KeyedRecord] | None:
        """Return what changed something, or None if the store can't be read now."""
        before = feed.offset
        try:
            changes = await feed.poll(wait_s=wait_s)
        except LagoonringError as error:
            self.failed_at_s[name] = self.app.clock.monotonic()
            if not self.is_lost.get(name):
                self.is_lost[name] = True
                logger.warning(
                    "Lost the store's {}.", name, extra={"error": str(error)}
                )
            return None
        if self.is_lost.get(name):
            self.is_lost[name] = False
            logger.info("Regained the store's {}.", name, extra={"offset": feed.offset})
        changes = [record for record in changes if apply(record)]
        self.relay.publish(name, before, changes)
        return changes

    def _note_read(self) -> None:
        feeds = (self.documents, self.records)
        if all(feed.offset is not None for feed in feeds):
            self.has_read.set()

    def apply_document(self, record: KeyedRecord) -> bool:
        """Put a document in force; a faulty one leaves what is in force.

        Returns whether other instances of the data centre need it.
        """
        if record.value is None:
            return False
        try:
            document = self.read_document(record.key, record.value)
        except InvalidInputError as error:
            self.metrics.faulty_documents.labels("document").inc()
            logger.error(
                "Refused a document.", extra={"key": record.key, "error": str(error)}
            )
            return False
        if document is None:
            return False
        if isinstance(document, Configuration):
            self._apply_configuration(document, record.offset)
        else:
            is_old = self.documents.n_reads == 0
            document = attrs.evolve(document, offset=record.offset, is_old=is_old)
            self.orders[document.service] = document
            logger.info(
                "Got a move order.",
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

    def apply_record(self, record: KeyedRecord) -> bool:
        """Take in an endpoint's record or its removal.

        Returns whether it changed more than the record's sequence.
        """
        if record.value is None:
            self._note_removal(record.key, self.app.clock.monotonic())
            return True
        try:
            content = self.read_record(record.key, record.value)
        except InvalidInputError as error:
            self.metrics.faulty_documents.labels("record").inc()
            logger.warning(
                "Refused an endpoint's record.",
                extra={"endpoint": record.key, "error": str(error)},
            )
            return False
        is_back = self.due_removals.pop(record.key, None) is not None
        change = self.table.apply(
            content, n_cache_tokens=self._cache_tokens(content.service)
        )
        if change:
            self._tell(content.endpoint, change)
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

    def _tell(self, name: str, change: str) -> None:
        endpoint = self.table.find(name)
        if endpoint is not None:
            for listener in self.endpoint_listeners:
                listener(endpoint, change)

    def _cache_tokens(self, service: str) -> int:
        entry = self.configuration.services.get(service) if self.configuration else None
        if entry is None or entry.engine is None:
            return DEFAULT_CACHE_TOKENS
        return entry.engine.n_cache_tokens

    def _note_removal(self, name: str, now_s: float) -> None:
        """Remove an endpoint; after an outage of the store only if it stays away.

        If another instance could read the store all the while, the store was not
        out, and what it tells holds at once.
        """
        due_s = self.failed_at_s.get("records", -RETURN_S) + RETURN_S
        if now_s < due_s and now_s - self.store_seen_well_s > RETURN_S:
            self.due_removals[name] = due_s
        else:
            self._remove(name, "removed")

    def _remove_due(self) -> None:
        now_s = self.app.clock.monotonic()
        for name, due_s in list(self.due_removals.items()):
            if now_s >= due_s:
                del self.due_removals[name]
                self._remove(name, "missing after an outage")

    def _remove(self, name: str, reason: str) -> None:
        if self.table.remove(name) is not None:
            logger.info("Endpoint gone.", extra={"endpoint": name, "reason": reason})
