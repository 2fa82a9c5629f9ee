"""Appends of a lease holder that the log executes after newer ones."""

from __future__ import annotations

import msgspec
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.leases import LeaseStream
from lagoonring.leases.records import LeaseRecord, LeaseState, encode_record
from lagoonring.platform.log import LogAnswerLostError
from lagoonring.standins.log_standin import LogFaults, LogStandin
from lagoonring.tests.builders.lease_clusters import STREAM, LeaseCluster, Words


class NewestWord(Words):
    """Guarded data: the newest valid word."""

    def on_data(self, offset, time_s, payload):
        self.words = [msgspec.json.decode(payload)]


async def lose_append(cluster, lease, word, **faults):
    """Append a word whose append is not answered and executed three seconds later."""
    cluster.log.faults = LogFaults(n_late_appends=1, late_s=3.0, **faults)
    with pytest.raises(LogAnswerLostError):
        await lease.append(word)


@pytest.mark.parametrize("is_truncated", [False, True])
async def test_an_append_that_is_executed_late_does_not_replace_newer_data(
    is_truncated,
):
    # Guards against a completed move that runs again after a restart of all.
    cluster = LeaseCluster()
    first, _ = cluster.leases
    await first.acquire()
    await lose_append(cluster, first, "running")
    newest = await first.append("completed")
    await first.renew()
    await cluster.clock.advance(3.0)
    await first.renew()
    if is_truncated:
        cluster.log.forget(STREAM, before=newest + 1)
    stream, words = await cluster.read_all(NewestWord())
    assert words == ([] if is_truncated else ["completed"])
    assert stream.state == first.stream.state
    assert cluster.words[0].words == ["completed"]


async def test_an_append_that_is_executed_late_counts_until_another_is_appended():
    cluster = LeaseCluster()
    first, second = cluster.leases
    await first.acquire()
    await lose_append(cluster, first, "late")
    await cluster.clock.advance(3.0)
    await first.append("next")
    await lose_append(cluster, first, "too late")
    await first.release()
    await second.acquire()
    await second.append("other")
    await cluster.clock.advance(3.0)
    assert (await cluster.read_all())[1] == ["late", "next", "other"]


async def test_a_late_append_still_shows_that_its_writer_was_alive():
    # Earlier releases take it for a renewal, and must agree on who may take the lease.
    cluster = LeaseCluster()
    first, second = cluster.leases
    await first.acquire()
    await lose_append(cluster, first, "late")
    await first.append("next")
    await cluster.clock.advance(3.0)
    assert await second.acquire() is None
    assert second.stream.state.renewal == 2


async def test_data_of_earlier_releases_has_no_numbers_and_counts():
    log = LogStandin()
    take = LeaseRecord(kind="take", token="t", holder="old", state=LeaseState())
    await log.append(STREAM, encode_record(take))
    for word in "ab":
        payload = msgspec.Raw(msgspec.json.encode(word))
        record = LeaseRecord(kind="data", token=word, epoch=0, payload=payload)
        await log.append(STREAM, encode_record(record))
    words = Words()
    await LeaseStream(log, STREAM, ManualClock(), words).read_to_end()
    assert words.words == ["a", "b"]


def test_earlier_releases_find_their_fields_in_a_numbered_record():
    """They ignore fields that they do not know."""
    state = LeaseState(epoch=3, renewal=4, holder="a", is_released=False, number=7)
    record = LeaseRecord(kind="data", token="t", epoch=3, state=state, number=8)
    written = msgspec.json.decode(encode_record(record))
    assert written.pop("number") == 8
    assert written["state"].pop("number") == 7
    assert set(written) == {
        *("kind", "token", "holder", "epoch", "state", "at"),
        *("payload", "group", "part", "n_parts"),
    }
    assert set(written["state"]) == {
        *("epoch", "renewal", "holder", "is_released", "last", "is_known"),
    }
