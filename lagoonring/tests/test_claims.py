from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from lagoonring.claims import (
    ClaimFateUnknownError,
    ClaimsUnavailableError,
    KeyReusedError,
    StoredAnswer,
    scoped_key,
)
from lagoonring.claims.records import MAX_ANSWER_BYTES
from lagoonring.errors import Outcome
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.bookings import FAULTS, run_bookings
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.claims import FAST_OPTIONS, CatalogueDouble, ClaimsFleet
from lagoonring.tests.builders.logs import VirtualClock, run_virtual

KEY = scoped_key("hann", "booking", "k1")
ANSWER = StoredAnswer(status=201, content_type="text/plain", body=b"seat 7")


async def make_fleet(n_instances, *, n_kept=None, seed=0, n_data_centres=1, **options):
    log = LogStandin(VirtualClock(), n_kept=n_kept)
    log.faults.delay_s = 0.005
    fleet = ClaimsFleet(
        log,
        random.Random(seed),
        attrs.evolve(FAST_OPTIONS, **options),
        n_data_centres=n_data_centres,
    )
    booking = {"kind": "plain", "owner": "a", "service_class": "desk"}
    entries = {"booking": booking, "safe": {**booking, "deduplicates": True}}
    for _ in range(n_instances):
        await fleet.add(CatalogueDouble(make_catalogue(entries=entries)))
    await asyncio.sleep(5)
    return fleet


async def claim(instance, claim_id, key=KEY, entry="booking", fingerprint="f", **more):
    return await instance.claims.claim(key, fingerprint, claim_id, entry=entry, **more)


async def run_seed(seed, n_bookings, n_kept):
    n_data_centres = 1 + seed % 2
    fleet = await make_fleet(
        0,
        n_kept=n_kept,
        seed=seed,
        n_data_centres=n_data_centres,
        snapshot_every=15,
    )
    recorder = await run_bookings(fleet, fleet.rng, n_bookings=n_bookings)
    streams = fleet.log.streams.values()
    recorder.stuck = recorder.find_stuck(fleet)
    recorder.n_forgotten = sum(stream.first_offset > 0 for stream in streams)
    await fleet.stop()
    return recorder


@pytest.mark.parametrize("seed", range(4))
def test_no_booking_runs_twice_under_faults(seed):
    recorder = run_virtual(run_seed(seed, 300, n_kept=60))
    assert recorder.find_run_twice() == []
    assert recorder.find_falsely_not_run() == []
    assert recorder.wrong_answers == []
    assert set(recorder.n_faults) == set(FAULTS)
    assert recorder.n_forgotten == FAST_OPTIONS.n_slots
    # After the faults no key is stuck, and nearly all bookings are answered.
    assert recorder.stuck == []
    lasts = [outcomes[-1] for outcomes in recorder.outcomes_by_key.values()]
    assert lasts.count("not_run") + lasts.count("unknown") < 0.1 * len(lasts)
    assert len(recorder.runs) > 0.8 * len(lasts)


def test_a_key_is_granted_once_and_its_answer_is_replayed():
    async def check():
        fleet = await make_fleet(3)
        first, second, third = fleet.instances
        answers = await asyncio.gather(claim(first, "1"), claim(second, "2"))
        assert sorted(answer.state for answer in answers) == ["granted", "in_progress"]
        winner, loser = ("1", "2") if answers[0].state == "granted" else ("2", "1")
        assert (await claim(third, winner)).state == "granted"
        with pytest.raises(KeyReusedError) as caught:
            await claim(third, "3", fingerprint="other")
        assert (caught.value.status, caught.value.outcome) == (422, Outcome.NOT_RUN)
        await asyncio.sleep(FAST_OPTIONS.in_progress_s + 1)
        assert (await claim(third, "4")).state == "unknown"
        assert not await second.claims.finish(KEY, loser, ANSWER)
        assert await second.claims.finish(KEY, winner, ANSWER)
        for instance in fleet.instances:
            stored = (await claim(instance, "5")).answer
            assert (stored.status, stored.body) == (201, b"seat 7")
        assert not await first.claims.release(KEY, winner)
        assert (await claim(first, winner)).state == "finished"
        await fleet.stop()

    run_virtual(check())


def test_a_released_key_may_be_claimed_again_but_not_with_the_same_claim_id():
    async def check():
        fleet = await make_fleet(2)
        first, second = fleet.instances
        assert (await claim(first, "1")).state == "granted"
        assert await first.claims.release(KEY, "1")
        with pytest.raises(ClaimsUnavailableError, match="barred"):
            await claim(second, "1")
        assert (await claim(second, "2", fingerprint="new")).state == "granted"
        await fleet.stop()

    run_virtual(check())


def test_concurrent_claims_share_appends():
    async def check():
        fleet = await make_fleet(2, n_slots=1)
        n_before = fleet.log.n_appends
        answers = await asyncio.gather(
            *(claim(fleet.instances[i % 2], f"{i}", key=f"k{i}") for i in range(100))
        )
        assert {answer.state for answer in answers} == {"granted"}
        assert fleet.log.n_appends - n_before <= 4
        await fleet.stop()

    run_virtual(check())


def test_claims_are_refused_at_once_while_the_log_is_unreachable():
    async def check():
        fleet = await make_fleet(2)
        first, second = fleet.instances
        await claim(first, "1")
        assert await first.claims.finish(KEY, "1", ANSWER)
        assert (await claim(first, "2")).answer.body == b"seat 7"
        fleet.log.faults.is_out = True
        await asyncio.sleep(FAST_OPTIONS.lease.duration_s)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with pytest.raises(ClaimsUnavailableError) as caught:
            await claim(second, "3", key="new")
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after_s == FAST_OPTIONS.retry_after_s
        granted = await claim(second, "4", key="new", entry="safe")
        assert (granted.state, granted.is_recorded) == ("granted", False)
        # A key known to have finished is still reported so, never as not run.
        assert (await claim(second, "5")).state == "finished"
        assert loop.time() - started_s < 0.2
        await fleet.stop()

    run_virtual(check())


def test_a_data_centre_cut_off_from_the_log_claims_through_another():
    async def check():
        fleet = await make_fleet(2, n_data_centres=2, n_slots=1)
        owner = next(i for i in fleet.instances if i.claims.owners[0].lease.is_held())
        other = next(i for i in fleet.instances if i is not owner)
        other.log.is_cut_off = True
        await asyncio.sleep(FAST_OPTIONS.lease.duration_s)
        assert (await claim(other, "1")).state == "granted"
        fleet.network.cut_off.add(owner.name)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        with pytest.raises(ClaimsUnavailableError, match="the log out"):
            await claim(other, "2", key="new")
        assert loop.time() - started_s < 0.5
        await fleet.stop()

    run_virtual(check())


def test_claims_are_granted_soon_after_the_log_is_first_reached():
    """Instances of a deployment may start shortly before the log is reachable.

    With a long lease poll interval, the first claims would then be refused for
    that interval, 30 s here.
    """

    async def check():
        lease = attrs.evolve(FAST_OPTIONS.lease, poll_s=30.0)
        fleet = await make_fleet(0, n_slots=1, lease=lease)
        instance = await fleet.add(CatalogueDouble(make_catalogue()))
        instance.log.is_cut_off = True
        await asyncio.sleep(1.0)
        instance.log.is_cut_off = False
        await asyncio.sleep(1.0)
        assert (await claim(instance, "1")).state == "granted"
        await fleet.stop()

    run_virtual(check())


def test_a_grant_with_a_lost_reply_is_unknown_and_then_released():
    async def check():
        fleet = await make_fleet(2, n_slots=1)
        owner = next(i for i in fleet.instances if i.claims.owners)
        client = next(i for i in fleet.instances if i is not owner)
        gate = fleet.network.gates[client.name] = asyncio.Event()
        deadline_s = asyncio.get_running_loop().time() + 3
        with pytest.raises(ClaimFateUnknownError) as caught:
            await claim(client, "1", deadline_s=deadline_s)
        assert caught.value.outcome is Outcome.UNKNOWN
        assert (await claim(owner, "2")).state == "in_progress"
        gate.set()
        del fleet.network.gates[client.name]
        await asyncio.sleep(5)
        assert (await claim(owner, "3")).state == "granted"
        # An owner that was not reached has granted nothing: not run, not unknown.
        fleet.network.cut_off.add(client.name)
        client.log.is_cut_off = True
        with pytest.raises(ClaimsUnavailableError):
            await claim(client, "4", key="new", deadline_s=deadline_s + 9)
        await fleet.stop()

    run_virtual(check())


def test_large_and_truncated_answers_have_no_body():
    async def check():
        fleet = await make_fleet(1, answer_cache_bytes=0)
        (instance,) = fleet.instances
        await claim(instance, "1")
        body = b"x" * (MAX_ANSWER_BYTES + 1)
        await instance.claims.finish(KEY, "1", attrs.evolve(ANSWER, body=body))
        stored = (await claim(instance, "2")).answer
        assert (stored.status, stored.body, stored.n_bytes) == (201, None, len(body))
        assert len(stored.digest) == 32
        await claim(instance, "1", key="other")
        await instance.claims.finish("other", "1", ANSWER)
        assert (await claim(instance, "2", key="other")).answer == attrs.evolve(
            ANSWER,
            n_bytes=6,
            digest=(await claim(instance, "3", "other")).answer.digest,
        )
        for stream in list(fleet.log.streams):
            fleet.log.forget(stream, before=1 << 30)
        stored = (await claim(instance, "3", key="other")).answer
        assert (stored.status, stored.body) == (201, None)
        await fleet.stop()

    run_virtual(check())


def count_held(fleet):
    return sum(
        owner.lease.is_held()
        for instance in fleet.instances
        for owner in instance.claims.owners.values()
    )


def test_slots_are_balanced_and_a_drained_instance_hands_over_at_once():
    async def check():
        fleet = await make_fleet(3, n_slots=32)
        counts = [len(instance.claims.owners) for instance in fleet.instances]
        assert sum(counts) == 32 and min(counts) > 3
        leaving = fleet.instances[0]
        leaving.app.draining = True
        await leaving.app.drain(2)
        assert not leaving.claims.owners
        # The successors were notified, so they acquire the slots without delay.
        await asyncio.sleep(0.05)
        assert count_held(fleet) == 32
        # Requests that it still serves can be claimed through the other instances.
        await asyncio.sleep(FAST_OPTIONS.balance_s)
        for index in range(8):
            assert (await claim(leaving, "0", key=f"late{index}")).state == "granted"
        await fleet.kill(leaving)
        for index in range(64):
            assert (await claim(fleet.instances[0], "1", key=f"k{index}")).state
        await fleet.stop()

    run_virtual(check())


def test_keys_expire_after_the_window_equally_at_all_readers():
    async def check():
        fleet = await make_fleet(2, n_slots=1, claims_window_s=60)
        first, second = fleet.instances
        await claim(first, "1")
        await asyncio.sleep(59)
        assert (await claim(second, "2")).state == "in_progress"
        await asyncio.sleep(2)
        await claim(second, "3", key="other")
        assert (await claim(second, "4")).state == "granted"
        owner = next(i for i in fleet.instances if i.claims.owners)
        table = owner.claims.owners[0].table
        await fleet.kill(owner)
        await asyncio.sleep(5)
        (successor,) = fleet.instances
        await claim(successor, "5", key="third")
        rows = successor.claims.owners[0].table.rows
        assert list(table.rows) == list(rows)[:-1]
        await fleet.stop()

    run_virtual(check())


def test_a_full_table_refuses_new_keys():
    async def check():
        fleet = await make_fleet(1, n_slots=1, n_rows_most=2)
        (instance,) = fleet.instances
        for index in range(2):
            await claim(instance, "1", key=f"k{index}")
        with pytest.raises(ClaimsUnavailableError, match="full"):
            await claim(instance, "1", key="k3")
        assert await instance.claims.finish("k0", "1", ANSWER)
        await fleet.stop()

    run_virtual(check())


def test_slots_spread_over_data_centres_and_survive_the_loss_of_one():
    async def check():
        fleet = await make_fleet(6, n_data_centres=2, n_slots=16)
        held = [
            {slot for slot, owner in i.claims.owners.items() if owner.lease.is_held()}
            for i in fleet.instances
        ]
        assert sum(len(slots) for slots in held) == 16
        assert len(set.union(*held[::2])) > 3 and len(set.union(*held[1::2])) > 3
        for index in range(40):
            answers = await asyncio.gather(
                *(
                    claim(instance, instance.name, key=f"k{index}")
                    for instance in fleet.instances
                )
            )
            states = sorted(answer.state for answer in answers)
            assert states == ["granted", *["in_progress"] * 5]
        for instance in fleet.instances[::2]:
            await fleet.kill(instance)
        await asyncio.sleep(3 * FAST_OPTIONS.lease.duration_s)
        for index in range(40):
            answer = await claim(fleet.instances[0], "late", key=f"k{index}")
            assert answer.state == "in_progress"
        await fleet.stop()

    run_virtual(check())
