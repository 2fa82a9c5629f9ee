"""Service ``catalogue``: the current content of the catalogue, and its edits.

Each instance replays the stream ``config`` of the log through
:mod:`lagoonring.catalogue.state_machine`, so all instances converge without
coordination. While the log is unreachable, newer content is fetched from peers.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.catalogue.checks import find_deadline_faults
from lagoonring.catalogue.edits import (
    STREAM,
    ConfigRecord,
    Edit,
    Snapshot,
    decode_record,
    digest_changes,
    encode_edit,
    encode_snapshot,
)
from lagoonring.catalogue.errors import (
    CatalogueBehindError,
    CatalogueNotReadyError,
    EditAnswerLostError,
)
from lagoonring.catalogue.follower import ConfigFollower, NoSnapshotError
from lagoonring.catalogue.metrics import CatalogueMetrics
from lagoonring.catalogue.options import CatalogueOptions
from lagoonring.catalogue.state_machine import Verdict, evaluate_edit, take_snapshot
from lagoonring.catalogue.verdicts import make_unreadable_error, to_revision
from lagoonring.errors import LagoonringError
from lagoonring.kernel.application import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform.log import (
    LogAnswerLostError,
    LogTruncatedError,
    LogUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.catalogue.entries import CatalogueContent
    from lagoonring.kernel import Application
    from lagoonring.platform.log import Log

    OnContent = Callable[[CatalogueContent, int], None]

ROW_KIND = "config"
ROW_NAME = "revision"
FETCH_METHOD = "catalogue.fetch"
SNAPSHOT_CHECK_S = 1.0

logger = make_logger("catalogue")


@attrs.frozen
class ConfigRow:
    """Revision and next offset that an instance publishes to its peers."""

    revision: int
    next_offset: int


class CatalogueService(BaseService):
    """Maintains the content of the catalogue and appends edits to the log.

    Parameters
    ----------
    app : Application
        Provides the log and, if present, the service ``peers``.
    options : CatalogueOptions
        Timeouts and intervals.
    log : Log or None
        Used instead of the service ``log``.
    """

    name = "catalogue"

    def __init__(
        self,
        app: Application,
        options: CatalogueOptions | None = None,
        *,
        log: Log | None = None,
    ) -> None:
        self.app = app
        self.options = options or CatalogueOptions()
        self.log_override = log
        self.ready = asyncio.Event()
        self.subscribers: list[OnContent] = []
        self.waiters: dict[tuple[str, str], list[asyncio.Future[Verdict]]] = {}
        self.state_advanced = asyncio.Event()
        self.published_revision: int | None = None
        self.failing_since_s: float | None = None
        self.snapshot_seen_s = app.clock.monotonic()
        self.last_snapshot_offset = -1
        self.peer_row_changed = asyncio.Event()

    @property
    def content(self) -> CatalogueContent:
        """Content in force at this instance."""
        return self.follower.state.content

    @property
    def revision(self) -> int:
        """Offset of the last applied edit; -1 before the first."""
        return self.follower.state.revision

    @property
    def is_ready(self) -> bool:
        """Return whether the content was read from the log or a peer."""
        return self.ready.is_set()

    @property
    def log(self) -> Log:
        """Log with the stream ``config``."""
        return self.log_override or self.app.find("log")

    async def start(self) -> None:
        """Start following the log; :attr:`ready` is set after the first read."""
        metrics = CatalogueMetrics(self.app)
        self.follower = ConfigFollower(self.log, self._on_verdict, metrics)
        self.peers = self.app.services.get("peers")
        if self.peers is not None:
            self.peers.serve(FETCH_METHOD, self._serve_fetch)
            self.peers.subscribe(
                ROW_KIND, ConfigRow, lambda *row: self.peer_row_changed.set()
            )
            self.app.spawn("catalogue.peers", self._follow_peers)
        self.app.spawn("catalogue.log", self._follow_log)
        self.app.spawn("catalogue.snapshots", self._maintain_snapshot)

    def subscribe(self, callback: OnContent) -> None:
        """Call ``callback(content, revision)`` now and after each new revision."""
        self.subscribers.append(callback)
        callback(self.content, self.revision)

    async def apply(self, edit: Edit, *, timeout_s: float | None = None) -> int:
        """Append an edit and return its revision once it is in force here.

        An edit may be retried with the same ``edit_id``; it takes effect at most
        once.

        Raises
        ------
        ConflictError
            If an item changed after the edit's base revision.
        FaultyDocumentError
            If the edit is invalid; every fault is listed.
        LogUnavailableError
            If the log did not accept the edit; nothing was changed.
        EditAnswerLostError
            If the edit may have been appended; retry it with the same id.
        """
        if not self.is_ready:
            raise CatalogueNotReadyError
        timeout_s = timeout_s or self.options.apply_timeout_s
        data = encode_edit(edit)
        if decode_record(data) is None:
            raise make_unreadable_error()
        append_state = _AppendState()
        future: asyncio.Future[Verdict] = asyncio.get_running_loop().create_future()
        waiters = self.waiters.setdefault(_waiter_key(edit), [])
        waiters.append(future)
        task = asyncio.create_task(self._append(edit, data, future, append_state))
        try:
            verdict = await self._wait_for(future, task, timeout_s)
        finally:
            task.cancel()
            waiters.remove(future)
            if not waiters:
                self.waiters.pop(_waiter_key(edit), None)
        if verdict is not None:
            return to_revision(verdict)
        if append_state.may_be_appended:
            raise EditAnswerLostError(edit.edit_id, timeout_s)
        raise append_state.refusal or CatalogueBehindError(
            edit.base_revision, self.revision
        )

    async def _append(
        self,
        edit: Edit,
        data: str,
        future: asyncio.Future[Verdict],
        append_state: _AppendState,
    ) -> None:
        await self._wait_until_read(edit.base_revision + 1)
        verdict = self._evaluate(edit)
        if verdict is not None:
            future.set_result(verdict)
            return
        while not future.done():
            was_appended = append_state.may_be_appended
            try:
                append_state.may_be_appended = True
                offset = await self.log.append(STREAM, data)
                await self._wait_until_read(offset + 1)
                return
            except LogAnswerLostError:
                append_state.may_be_appended = True
            except LogUnavailableError as error:
                append_state.refusal = error
                append_state.may_be_appended = was_appended
            # Appending twice is safe, since edits are deduplicated by their id.
            await self.app.clock.sleep(self.options.retry_s)

    def _evaluate(self, edit: Edit) -> Verdict | None:
        state = self.follower.state
        _, verdict = evaluate_edit(state, edit, state.next_offset)
        if verdict.status != "applied":
            return verdict
        faults = find_deadline_faults(edit, self.app.clock.time())
        return Verdict("invalid", faults=tuple(faults)) if faults else None

    async def _wait_for(
        self,
        future: asyncio.Future[Verdict],
        task: asyncio.Task[None],
        timeout_s: float,
    ) -> Verdict | None:
        timer = asyncio.create_task(self.app.clock.sleep(timeout_s))
        try:
            pending: set[asyncio.Future[Any]] = {future, timer, task}
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if task.done() and not future.done():
                task.result()
                pending.remove(task)
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        return future.result() if future.done() else None

    def _on_verdict(self, record: ConfigRecord, verdict: Verdict) -> None:
        if record.edit is not None:
            self._resolve_waiters(_waiter_key(record.edit), verdict)

    def _resolve_waiters(self, key: tuple[str, str], verdict: Verdict) -> None:
        for future in self.waiters.get(key, []):
            if not future.done():
                future.set_result(verdict)

    def _resolve_waiters_by_marks(self) -> None:
        for edit_id, digest in list(self.waiters):
            mark = self.follower.state.marks.get(edit_id)
            if mark is not None and mark.digest == digest:
                verdict = Verdict("duplicate", mark.revision, mark.author, first=mark)
                self._resolve_waiters((edit_id, digest), verdict)

    async def _wait_until_read(self, next_offset: int) -> None:
        while self.follower.state.next_offset < next_offset:
            await self.state_advanced.wait()

    async def _follow_log(self) -> None:
        wait_s = 0.0
        while True:
            try:
                await self.follower.poll(wait_s)
            except NoSnapshotError as error:
                logger.error("The catalogue can't be read: {}", error)
                await self.app.clock.sleep(self.options.retry_s)
                continue
            except (LogUnavailableError, LogAnswerLostError, LogTruncatedError):
                wait_s = 0.0
                if self.failing_since_s is None:
                    self.failing_since_s = self.app.clock.monotonic()
                await self.app.clock.sleep(self.options.retry_s)
                continue
            self.failing_since_s = None
            wait_s = self.options.poll_s
            self._publish_revision()

    def _publish_revision(self) -> None:
        state_advanced = self.state_advanced
        self.state_advanced = asyncio.Event()
        state_advanced.set()
        if not self.is_ready:
            self.ready.set()
            logger.info("Ready at revision {}.", self.revision)
        if self.revision == self.published_revision:
            return
        self.published_revision = self.revision
        if self.peers is not None:
            row = ConfigRow(self.revision, self.follower.state.next_offset)
            self.peers.publish(ROW_KIND, ROW_NAME, row)
        for callback in list(self.subscribers):
            try:
                callback(self.content, self.revision)
            except Exception:
                logger.exception("A subscriber failed on revision {}.", self.revision)

    async def _follow_peers(self) -> None:
        while True:
            if not self._is_log_unreachable():
                self.peer_row_changed.clear()
                await self._wait_for_row()
                continue
            origin = self._find_newer_peer()
            if origin is None or not await self._fetch(origin):
                await self.app.clock.sleep(self.options.retry_s)

    async def _wait_for_row(self) -> None:
        await self.peer_row_changed.wait()
        while not self._is_log_unreachable() and self._find_newer_peer() is not None:
            await self.app.clock.sleep(self.options.retry_s)

    def _find_newer_peer(self) -> str | None:
        assert self.peers is not None
        floor = self.revision if self.is_ready else -2
        rows = self.peers.rows(ROW_KIND, ConfigRow)
        newer = [origin for (origin, _), row in rows.items() if row.revision > floor]
        return self.app.rng.choice(sorted(newer)) if newer else None

    def _is_log_unreachable(self) -> bool:
        if not self.is_ready:
            return True
        if self.failing_since_s is None:
            return False
        failing_s = self.app.clock.monotonic() - self.failing_since_s
        return failing_s >= self.options.cut_off_after_s

    async def _fetch(self, origin: str) -> bool:
        assert self.peers is not None
        try:
            payload = await self.peers.call(
                origin, FETCH_METHOD, b"", timeout_s=self.options.peer_timeout_s
            )
            snapshot = msgspec.json.decode(payload, type=Snapshot)
            is_newer = self.follower.restore(snapshot)
        except (LagoonringError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            logger.warning(
                "Could not fetch the catalogue from {}: {!r}.", origin, error
            )
            return False
        if is_newer:
            logger.info("Fetched revision {} from {}.", self.revision, origin)
            self._resolve_waiters_by_marks()
            self._publish_revision()
        return is_newer

    async def _serve_fetch(self, sender: str, payload: bytes) -> bytes:
        if not self.is_ready:
            raise CatalogueNotReadyError
        return msgspec.json.encode(take_snapshot(self.follower.state))

    async def _maintain_snapshot(self) -> None:
        await self.ready.wait()
        check_s = min(SNAPSHOT_CHECK_S, self.options.snapshot_interval_s)
        while True:
            await self.app.clock.sleep(check_s)
            if not self._needs_snapshot():
                continue
            jitter_s = self.app.rng.uniform(0, self.options.snapshot_jitter_s)
            await self.app.clock.sleep(jitter_s)
            if self._needs_snapshot() and not self._is_log_unreachable():
                await self._write_snapshot()

    def _needs_snapshot(self) -> bool:
        follower = self.follower
        if follower.snapshot_offset > self.last_snapshot_offset:
            self.last_snapshot_offset = follower.snapshot_offset
            self.snapshot_seen_s = self.app.clock.monotonic()
        if self.revision < 0:
            return False
        n_since = follower.state.next_offset - max(0, follower.snapshot_offset)
        age_s = self.app.clock.monotonic() - self.snapshot_seen_s
        return (
            n_since > self.options.snapshot_every
            or age_s > self.options.snapshot_interval_s
            or follower.first_offset > max(0, follower.snapshot_offset)
        )

    async def _write_snapshot(self) -> None:
        data = encode_snapshot(take_snapshot(self.follower.state))
        try:
            await self.log.append(STREAM, data)
        except (LogUnavailableError, LogAnswerLostError) as error:
            logger.warning("Could not write a snapshot: {}", error)


@attrs.define
class _AppendState:
    """Outcome of the append attempts of one edit."""

    may_be_appended: bool = False
    refusal: LogUnavailableError | None = None


def _waiter_key(edit: Edit) -> tuple[str, str]:
    return edit.edit_id, digest_changes(edit)
