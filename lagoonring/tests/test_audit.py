"""Tests that each audit record is shown exactly once, despite faults of the log."""

from __future__ import annotations

import asyncio
import random

import msgspec

from lagoonring.audit import AuditService
from lagoonring.audit.messages import STREAM
from lagoonring.audit.reader import MOVES_STREAM
from lagoonring.audit.service import MAX_QUEUED, MAX_RECORDS_READ, RETRY_S
from lagoonring.fleet.messages import FleetRecord, Intent
from lagoonring.kernel import Application, ManualClock
from lagoonring.leases import Lease
from lagoonring.moves.messages import MoveRecord
from lagoonring.platform.log import RECORD_LIMIT_BYTES
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.operators import LogService, make_audit


async def flush_queue(
    audit: AuditService, clock: ManualClock, n_retries: int = 1
) -> None:
    """Wait until the queue is appended, with ``n_retries`` retries."""
    for _ in range(n_retries):
        await clock.advance(RETRY_S)
    async with asyncio.timeout(10):
        await audit.queue_flushed.wait()


async def test_a_record_whose_append_was_not_answered_is_shown_once():
    clock = ManualClock()
    log, audit = make_audit(clock)
    await audit.start()
    log.faults.n_lost_answers = 2
    audit.record("awa", "config.apply", "entries.guide")
    audit.record("awa", "move.order", "moves.m")
    await flush_queue(audit, clock, n_retries=3)
    assert log.streams[STREAM].next_offset == 4
    actions = [record.action for record in await audit.read()]
    assert actions == ["config.apply", "move.order"]
    await audit.app.stop()


async def test_records_queued_during_an_outage_are_appended_in_order():
    clock = ManualClock()
    log, audit = make_audit(clock)
    await audit.start()
    log.faults.is_out = True
    for number in range(5):
        audit.record("awa", f"action.{number}")
    await clock.advance(3 * RETRY_S)
    assert not log.streams.get(STREAM)
    log.faults.is_out = False
    await flush_queue(audit, clock)
    actions = [record.action for record in await audit.read()]
    assert actions == [f"action.{number}" for number in range(5)]
    await audit.app.stop()


async def test_a_full_queue_drops_the_oldest_records_and_records_their_number():
    clock = ManualClock()
    log, audit = make_audit(clock)
    log.faults.is_out = True
    await audit.start()
    for number in range(MAX_QUEUED + 7):
        audit.record("awa", f"action.{number}")
    assert len(audit.queue) == MAX_QUEUED
    log.faults.is_out = False
    await flush_queue(audit, clock)
    records = await audit.read(limit=2 * MAX_QUEUED)
    assert len(records) == MAX_QUEUED + 1
    assert records[0].action == "action.7"
    assert (records[-1].action, records[-1].detail) == ("audit.dropped", "7 records")
    await audit.app.stop()


async def test_a_long_text_is_truncated_to_fit_the_log():
    """A record that the log rejects for its size would block all later ones."""
    clock = ManualClock()
    _, audit = make_audit(clock)
    await audit.start()
    audit.record("awa", "config.apply", "x" * (2 * RECORD_LIMIT_BYTES))
    await flush_queue(audit, clock, n_retries=0)
    (record,) = await audit.read()
    assert len(record.target) < 1000
    assert str(2 * RECORD_LIMIT_BYTES) in record.target
    await audit.app.stop()


async def test_newest_are_read_from_a_long_and_truncated_stream():
    clock = ManualClock()
    log, audit = make_audit(clock)
    await audit.start()
    for number in range(MAX_RECORDS_READ + 50):
        await log.append(STREAM, "not a record")
        if number % 100 == 0:
            audit.record("awa", f"action.{number}")
            await flush_queue(audit, clock, n_retries=0)
    log.forget(STREAM, before=1000)
    matching = await audit.read(limit=3, action="action")
    assert [record.action for record in matching] == [
        f"action.{number}"
        for number in range(MAX_RECORDS_READ - 200, MAX_RECORDS_READ + 1, 100)
    ]
    await audit.app.stop()


class FakeCatalogue:
    """Service ``catalogue`` with fixed content."""

    name = "catalogue"

    def __init__(self, content):
        self.content = content


def make_audit_with_catalogue(log, clock) -> AuditService:
    goal = {"entry": "guide", "data_centre": "plateau", "instance_class": "large"}
    content = make_catalogue(fleet={"guide-plateau": goal})
    app = Application(clock=clock, rng=random.Random(0))
    app.services["log"] = LogService(log)
    app.add(FakeCatalogue(content))
    return app.add(AuditService(app, "entry-0"))


def make_move(phase: str, reason: str = "") -> MoveRecord:
    return MoveRecord(
        key="m-1",
        name="m",
        entry="guide",
        from_version="1",
        to_version="2",
        deadline_s=0.0,
        phase=phase,
        reason=reason,
        holder="entry-1",
    )


async def test_decisions_written_after_a_lost_lease_are_not_shown():
    clock = ManualClock()
    log, _ = make_audit(clock)
    audit = make_audit_with_catalogue(log, clock)
    lease = Lease(log, MOVES_STREAM, "entry-1", clock)
    assert await lease.acquire() is not None
    await lease.append(make_move("loading"))
    stale = log.streams[MOVES_STREAM].records[-1].data
    await lease.append(make_move("undone", "first_token on chat"))
    await lease.release()
    # A record appended after the lease was lost must be ignored.
    late = msgspec.json.decode(stale)
    late["token"] = "late"
    await log.append(MOVES_STREAM, msgspec.json.encode(late).decode())
    fleet = Lease(log, "fleet-plateau", "entry-2", clock)
    assert await fleet.acquire() is not None
    intent = Intent(
        token="lagoonring/plateau/1",
        goal="guide-plateau",
        entry="guide",
        data_centre="plateau",
        instance_class="large",
        market="reclaimable",
        reason="1 slot lacking",
    )
    await fleet.append(FleetRecord(intent=intent))
    shown = [(each.action, each.detail) for each in await audit.read()]
    assert shown == [
        ("move.loading", "guide 1 to 2, share 0"),
        ("move.undone", "guide 1 to 2, share 0: first_token on chat"),
        ("fleet.wanted", "plateau large reclaimable: 1 slot lacking"),
    ]
    assert len(await audit.read(actor="system", action="move")) == 2
    assert await audit.read(actor="awa") == []
