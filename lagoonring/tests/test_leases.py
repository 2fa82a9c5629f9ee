from __future__ import annotations

import asyncio
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from lagoonring.kernel import ManualClock
from lagoonring.leases import (
    Duty,
    Lease,
    LeaseLostError,
    LeaseStream,
    rank,
)
from lagoonring.leases.records import LeaseRecord, LeaseState, encode_record
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.lease_clusters import OPTIONS, STREAM, LeaseCluster
from lagoonring.tests.builders.logs import InstanceLog

MAX_LATE_S = 9.0  # in the random histories


async def test_take_renew_release_and_hand_over():
    cluster = LeaseCluster()
    first, second = cluster.leases
    assert await first.acquire() == first.fencing_number == 0
    assert await second.acquire() is None
    for _ in range(5):
        cluster.clock.now_s += OPTIONS.renew_interval_s
        await first.renew()
        assert await second.acquire() is None
    cluster.clock.now_s += OPTIONS.duration_s - OPTIONS.margin_s
    assert not first.is_held()
    assert await second.acquire() is None
    cluster.clock.now_s += OPTIONS.margin_s
    assert await second.acquire() == 6
    with pytest.raises(LeaseLostError, match="epoch 0"):
        await first.renew()
    await second.release()
    assert await first.acquire() == 8
    assert second.epoch is None


@pytest.mark.parametrize("gate", ["append_gate", "answer_gate", "read_gate"])
@pytest.mark.parametrize("action", ["append", "renew", "snapshot", "release"])
async def test_a_holder_paused_at_any_await_appends_no_valid_record_after_its_epoch(
    gate, action
):
    cluster = LeaseCluster()
    first, second = cluster.leases
    await first.acquire()
    await first.append("before")
    actions = {
        "append": lambda: first.append("late"),
        "renew": first.renew,
        "snapshot": lambda: first.append_snapshot(cluster.words[0].make_parts),
        "release": first.release,
    }
    getattr(cluster.logs[0], gate).clear()
    task = asyncio.create_task(actions[action]())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    was_appended = gate != "append_gate"
    released = action == "release" and was_appended
    before_s = cluster.clock.now_s
    epoch = await cluster.hand_over()
    assert (cluster.clock.now_s == before_s) == released
    assert epoch is not None and not first.is_held()
    await second.append("new")
    getattr(cluster.logs[0], gate).set()
    (result,) = await asyncio.gather(task, return_exceptions=True)
    if action == "release":
        assert result is None
    elif was_appended:
        assert not isinstance(result, LogUnavailableError)
    else:
        assert isinstance(result, LeaseLostError)
    assert not first.is_held()
    with pytest.raises(LeaseLostError):
        await first.append("later")
    assert second.is_held()
    stream, words = await cluster.read_all()
    assert stream.state.epoch == epoch
    expected_late = ["late"] if action == "append" and was_appended else []
    assert words == ["before", *expected_late, "new"]


async def test_a_take_is_rejected_if_the_lease_changed_after_it_was_read():
    cluster = LeaseCluster(3)
    first, second, third = cluster.leases
    await first.acquire()
    assert await second.acquire() is None
    assert await third.acquire() is None
    cluster.clock.now_s += OPTIONS.duration_s
    cluster.logs[1].append_gate.clear()
    attempt = asyncio.create_task(second.acquire())
    await asyncio.sleep(0)
    assert await third.acquire() == 1
    cluster.logs[1].append_gate.set()
    assert await attempt is None
    assert third.is_held() and not second.is_held()


async def test_lost_answers_are_recovered_and_outages_are_distinguished():
    cluster = LeaseCluster()
    first, second = cluster.leases
    cluster.log.faults.n_lost_answers = 1
    assert await first.acquire() == 0
    cluster.log.faults.n_lost_answers = 1
    assert await first.append("x") == 1
    cluster.log.faults.n_refused_appends = 1
    with pytest.raises(LogUnavailableError):
        await first.append("y")
    # Appended, but the log becomes unavailable before the record is read back, so
    # the outcome is unknown.
    cluster.logs[0].answer_gate.clear()
    task = asyncio.create_task(first.append("z"))
    await asyncio.sleep(0)
    cluster.logs[0].is_cut_off = True
    cluster.logs[0].answer_gate.set()
    with pytest.raises(LogAnswerLostError):
        await task
    # A take whose answer was lost is adopted by a later attempt.
    cluster.clock.now_s += OPTIONS.duration_s
    await second.stream.read_to_end()
    cluster.clock.now_s += OPTIONS.duration_s
    cluster.logs[1].answer_gate.clear()
    task = asyncio.create_task(second.acquire())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    cluster.logs[1].is_cut_off = True
    cluster.logs[1].answer_gate.set()
    with pytest.raises(LogAnswerLostError):
        await task
    cluster.logs[1].is_cut_off = False
    assert await second.acquire() == 3
    assert (await cluster.read_all())[1] == ["x", "z"]


async def test_state_and_data_survive_log_retention():
    cluster = LeaseCluster(2, n_kept=6)
    first, second = cluster.leases
    await first.acquire()
    for index in range(20):
        await first.append(index)
        await first.append_snapshot(cluster.words[0].make_parts)
        cluster.clock.now_s += 1
    stream, words = await cluster.read_all()
    assert words == list(range(20))
    assert stream.state == first.stream.state
    assert await second.acquire() is None
    assert cluster.words[1].words == list(range(20))


async def test_a_lease_whose_records_were_truncated_is_acquired_by_only_one_instance():
    cluster = LeaseCluster(3)
    old, second, third = cluster.leases
    await old.acquire()
    cluster.log.forget(STREAM, before=1)
    assert await second.acquire() is None
    assert await third.acquire() is None
    cluster.clock.now_s += OPTIONS.duration_s
    cluster.logs[2].append_gate.clear()
    attempt = asyncio.create_task(third.acquire())
    await asyncio.sleep(0)
    assert await second.acquire() == 1
    cluster.logs[2].append_gate.set()
    assert await attempt is None
    with pytest.raises(LeaseLostError):
        await old.renew()
    await second.append("x")
    # The former holder, whose state starts at epoch 0, agrees with new readers.
    assert await old.acquire() is None
    assert old.stream.state == second.stream.state


@st.composite
def histories(draw):
    """Actions of three instances, with some requests held and some answers lost."""
    actions = ["acquire", "append", "renew", "release", "wait", "snapshot"]
    actions += ["hold", "let go", "lose answer", "late", "forget"]
    return draw(
        st.lists(
            st.tuples(st.sampled_from(actions), st.integers(0, 2), st.integers(0, 8)),
            min_size=10,
            max_size=60,
        )
    )


@settings(derandomize=True, max_examples=150, deadline=None)
@given(histories())
def test_every_reader_agrees_on_which_records_are_valid(history):
    asyncio.run(check_history(history))


async def check_history(history):
    cluster = LeaseCluster(3)
    tasks, outcomes = [], {}
    for step, (action, index, number) in enumerate(history):
        await start_action(cluster, tasks, outcomes, step, action, index, number)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert sum(lease.is_held() for lease in cluster.leases) <= 1
    for log in cluster.logs:
        for gate in (log.append_gate, log.answer_gate, log.read_gate):
            gate.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    await cluster.clock.advance(MAX_LATE_S)
    for lease in cluster.leases:
        await lease.stream.read_to_end()
    stream, words = await cluster.read_all()
    for index in range(3):
        own = [step for step in words if history[step][1] == index]
        assert own == sorted(own)
    known = [lease for lease in cluster.leases if lease.stream.state.is_known]
    for lease in known:
        assert lease.stream.state == cluster.leases[0].stream.state
    if stream.state.is_known:
        assert stream.state == cluster.leases[0].stream.state
    if stream.first_offset == 0:
        counted = [step for step, counts in outcomes.items() if counts]
        missing = [step for step, counts in outcomes.items() if counts is False]
        assert set(counted) <= set(words)
        assert not set(missing) & set(words)


async def start_action(cluster, tasks, outcomes, step, action, index, number):
    lease, log = cluster.leases[index], cluster.logs[index]
    gates = (log.append_gate, log.answer_gate, log.read_gate)
    if action == "wait":
        await cluster.clock.advance(number)
    elif action == "hold":
        gates[number % 3].clear()
    elif action == "let go":
        for gate in gates:
            gate.set()
    elif action == "lose answer":
        cluster.log.faults.n_lost_answers = 1
    elif action == "late":
        cluster.log.faults.n_late_appends = 1
        cluster.log.faults.late_s = 1.0 + number
    elif action == "forget":
        if number == 0:
            end = cluster.log.streams[STREAM].next_offset if cluster.log.streams else 0
            cluster.log.forget(STREAM, before=end - 12)
    elif action == "append":
        tasks.append(asyncio.create_task(record_append(lease, step, outcomes)))
    elif action == "snapshot":
        make_parts = cluster.words[index].make_parts
        tasks.append(asyncio.create_task(lease.append_snapshot(make_parts)))
    else:
        tasks.append(asyncio.create_task(getattr(lease, action)()))


async def record_append(lease, step, outcomes):
    try:
        await lease.append(step)
        outcomes[step] = True
    except (LeaseLostError, LogUnavailableError):
        outcomes[step] = False
    except LogAnswerLostError:
        outcomes[step] = None


async def test_a_checkpoint_that_refers_to_truncated_records_is_not_used():
    log = LogStandin()
    for offset in range(4):
        state = LeaseState(epoch=0, renewal=offset, holder="old", is_released=False)
        record = LeaseRecord(
            kind="renew", token=f"{offset}", epoch=0, state=state, at=1
        )
        await log.append(STREAM, encode_record(record))
    log.forget(STREAM, before=3)
    stream = LeaseStream(log, STREAM, ManualClock())
    await stream.read_to_end()
    assert not stream.state.is_known


async def test_duties_run_at_one_instance_and_stop_when_the_lease_is_lost():
    clock = ManualClock()
    log = LogStandin(clock)
    logs = [InstanceLog(log) for _ in range(3)]
    running, starts = set(), []

    def make_run(index):
        async def run(lease):
            starts.append(index)
            running.add(index)
            assert lease.is_held() and len(running) == 1
            try:
                await asyncio.Event().wait()
            finally:
                running.discard(index)

        return run

    duties = [
        Duty(
            Lease(logs[index], STREAM, f"i{index}", clock, OPTIONS),
            make_run(index),
            rng=random.Random(index),
        )
        for index in range(3)
    ]
    tasks = [asyncio.create_task(duty.compete()) for duty in duties]
    for _ in range(6):
        await clock.advance(30)
        assert len(running) == 1
        (index,) = running
        for log_of in logs:
            log_of.is_cut_off = False
        logs[index].is_cut_off = True
    assert len(set(starts)) > 1
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def test_ranks_are_balanced_and_stable():
    instances = [f"i{index}" for index in range(9)]
    firsts = {name: rank(name, instances)[0] for name in map(str, range(200))}
    assert len(set(firsts.values())) == 9
    fewer = {name: rank(name, instances[:-1])[0] for name in firsts}
    moved = [name for name in firsts if firsts[name] != fewer[name]]
    assert all(firsts[name] == "i8" for name in moved)
