from __future__ import annotations

import asyncio
import random

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, settings

from lagoonring.kernel import ManualClock
from lagoonring.leases import (
    Duty,
    Lease,
    LeaseLostError,
    LeaseOptions,
    LeaseStream,
    rank,
)
from lagoonring.leases.records import LeaseRecord, LeaseState, encode_record
from lagoonring.platform.log import LogAnswerLostError, LogUnavailableError
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.logs import InstanceLog

OPTIONS = LeaseOptions(duration_s=6, margin_s=1, renew_interval_s=2, poll_s=1)
STREAM = "lease"


class Words:
    """Guarded data: the list of all words that counted."""

    def __init__(self):
        self.words = []

    def on_data(self, offset, time_s, payload):
        self.words.append(msgspec.json.decode(payload))

    def restore(self, parts):
        self.words = [word for part in parts for word in msgspec.json.decode(part)]

    def make_parts(self):
        half = len(self.words) // 2
        return [self.words[:half], self.words[half:]]


class Bench:
    """Instances that compete for one lease by a clock that tests advance."""

    def __init__(self, n_instances=2, **kept):
        self.clock = ManualClock()
        self.log = LogStandin(self.clock, **kept)
        self.logs = [InstanceLog(self.log) for _ in range(n_instances)]
        self.words = [Words() for _ in range(n_instances)]
        self.leases = [
            Lease(log, STREAM, f"i{index}", self.clock, OPTIONS, data=words)
            for index, (log, words) in enumerate(
                zip(self.logs, self.words, strict=True)
            )
        ]

    async def read_all(self, words=None):
        words = words or Words()
        stream = LeaseStream(self.log, STREAM, self.clock, words)
        await stream.read_to_end()
        return stream, words.words

    async def hand_over(self):
        """Let the second instance see the lease expire and take it."""
        second = self.leases[1]
        epoch = await second.acquire()
        if epoch is not None:
            return epoch
        self.clock.now_s += OPTIONS.duration_s
        return await second.acquire()


async def test_take_renew_release_and_hand_over():
    bench = Bench()
    first, second = bench.leases
    assert await first.acquire() == first.fencing_number == 0
    assert await second.acquire() is None
    for _ in range(5):
        bench.clock.now_s += OPTIONS.renew_interval_s
        await first.renew()
        assert await second.acquire() is None
    bench.clock.now_s += OPTIONS.duration_s - OPTIONS.margin_s
    assert not first.is_held()
    assert await second.acquire() is None
    bench.clock.now_s += OPTIONS.margin_s
    assert await second.acquire() == 6
    with pytest.raises(LeaseLostError, match="epoch 0"):
        await first.renew()
    await second.release()
    assert await first.acquire() == 8
    assert second.epoch is None


@pytest.mark.parametrize("gate", ["append_gate", "answer_gate", "read_gate"])
@pytest.mark.parametrize("act", ["append", "renew", "snapshot", "release"])
async def test_a_holder_paused_at_any_await_leaves_no_record_that_counts(gate, act):
    bench = Bench()
    first, second = bench.leases
    await first.acquire()
    await first.append("before")
    acts = {
        "append": lambda: first.append("late"),
        "renew": first.renew,
        "snapshot": lambda: first.append_snapshot(bench.words[0].make_parts),
        "release": first.release,
    }
    getattr(bench.logs[0], gate).clear()
    task = asyncio.create_task(acts[act]())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    was_written_first = gate != "append_gate"
    released = act == "release" and was_written_first
    before_s = bench.clock.now_s
    epoch = await bench.hand_over()
    assert (bench.clock.now_s == before_s) == released
    assert epoch is not None and not first.is_held()
    await second.append("new")
    getattr(bench.logs[0], gate).set()
    (result,) = await asyncio.gather(task, return_exceptions=True)
    if act == "release":
        assert result is None
    elif was_written_first:
        assert not isinstance(result, LogUnavailableError)
    else:
        assert isinstance(result, LeaseLostError)
    assert not first.is_held()
    with pytest.raises(LeaseLostError):
        await first.append("later")
    assert second.is_held()
    stream, words = await bench.read_all()
    assert stream.state.epoch == epoch
    late = ["late"] if act == "append" and was_written_first else []
    assert words == ["before", *late, "new"]


async def test_a_take_is_void_if_the_renewal_that_it_saw_has_moved():
    bench = Bench(3)
    first, second, third = bench.leases
    await first.acquire()
    assert await second.acquire() is None
    assert await third.acquire() is None
    bench.clock.now_s += OPTIONS.duration_s
    bench.logs[1].append_gate.clear()
    attempt = asyncio.create_task(second.acquire())
    await asyncio.sleep(0)
    assert await third.acquire() == 1
    bench.logs[1].append_gate.set()
    assert await attempt is None
    assert third.is_held() and not second.is_held()


async def test_lost_answers_are_found_and_outages_told_apart():
    bench = Bench()
    first, second = bench.leases
    bench.log.faults.n_lost_answers = 1
    assert await first.acquire() == 0
    bench.log.faults.n_lost_answers = 1
    assert await first.append("x") == 1
    bench.log.faults.n_refused_appends = 1
    with pytest.raises(LogUnavailableError):
        await first.append("y")
    # Appended, but the log goes out before it is read back: the fate is unknown.
    bench.logs[0].answer_gate.clear()
    task = asyncio.create_task(first.append("z"))
    await asyncio.sleep(0)
    bench.logs[0].is_cut_off = True
    bench.logs[0].answer_gate.set()
    with pytest.raises(LogAnswerLostError):
        await task
    # A take whose answer never came is noticed later.
    bench.clock.now_s += OPTIONS.duration_s
    await second.stream.read_to_end()
    bench.clock.now_s += OPTIONS.duration_s
    bench.logs[1].answer_gate.clear()
    task = asyncio.create_task(second.acquire())
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    bench.logs[1].is_cut_off = True
    bench.logs[1].answer_gate.set()
    with pytest.raises(LogAnswerLostError):
        await task
    bench.logs[1].is_cut_off = False
    assert await second.acquire() == 3
    assert (await bench.read_all())[1] == ["x", "z"]


async def test_state_and_data_outlive_retention():
    bench = Bench(2, n_kept=6)
    first, second = bench.leases
    await first.acquire()
    for index in range(20):
        await first.append(index)
        await first.append_snapshot(bench.words[0].make_parts)
        bench.clock.now_s += 1
    stream, words = await bench.read_all()
    assert words == list(range(20))
    assert stream.state == first.stream.state
    assert await second.acquire() is None
    assert bench.words[1].words == list(range(20))


async def test_a_lease_of_which_all_is_forgotten_is_taken_by_one_only():
    bench = Bench(3)
    old, second, third = bench.leases
    await old.acquire()
    bench.log.forget(STREAM, before=1)
    assert await second.acquire() is None
    assert await third.acquire() is None
    bench.clock.now_s += OPTIONS.duration_s
    bench.logs[2].append_gate.clear()
    attempt = asyncio.create_task(third.acquire())
    await asyncio.sleep(0)
    assert await second.acquire() == 1
    bench.logs[2].append_gate.set()
    assert await attempt is None
    with pytest.raises(LeaseLostError):
        await old.renew()
    await second.append("x")
    # The old reader, which knows epoch 0, agrees with the new ones.
    assert await old.acquire() is None
    assert old.stream.state == second.stream.state


@st.composite
def histories(draw):
    """Acts of three instances, some cut off or held at a gate."""
    acts = ["acquire", "append", "renew", "release", "wait", "snapshot"]
    acts += ["hold", "let go", "lose answer", "forget"]
    return draw(
        st.lists(
            st.tuples(st.sampled_from(acts), st.integers(0, 2), st.integers(0, 8)),
            min_size=10,
            max_size=60,
        )
    )


@settings(derandomize=True, max_examples=150, deadline=None)
@given(histories())
def test_any_history_counts_the_same_for_every_reader(history):
    asyncio.run(check_history(history))


async def check_history(history):
    bench = Bench(3)
    tasks, outcomes = [], {}
    for step, (act, index, number) in enumerate(history):
        await start_act(bench, tasks, outcomes, step, act, index, number)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert sum(lease.is_held() for lease in bench.leases) <= 1
    for log in bench.logs:
        for gate in (log.append_gate, log.answer_gate, log.read_gate):
            gate.set()
    await asyncio.gather(*tasks, return_exceptions=True)
    for lease in bench.leases:
        await lease.stream.read_to_end()
    stream, words = await bench.read_all()
    known = [lease for lease in bench.leases if lease.stream.state.is_known]
    for lease in known:
        assert lease.stream.state == bench.leases[0].stream.state
    if stream.state.is_known:
        assert stream.state == bench.leases[0].stream.state
    if stream.first_offset == 0:
        counted = [step for step, counts in outcomes.items() if counts]
        missing = [step for step, counts in outcomes.items() if counts is False]
        assert set(counted) <= set(words)
        assert not set(missing) & set(words)


async def start_act(bench, tasks, outcomes, step, act, index, number):
    lease, log = bench.leases[index], bench.logs[index]
    gates = (log.append_gate, log.answer_gate, log.read_gate)
    if act == "wait":
        bench.clock.now_s += number
    elif act == "hold":
        gates[number % 3].clear()
    elif act == "let go":
        for gate in gates:
            gate.set()
    elif act == "lose answer":
        bench.log.faults.n_lost_answers = 1
    elif act == "forget":
        if number == 0:
            end = bench.log.streams[STREAM].next_offset if bench.log.streams else 0
            bench.log.forget(STREAM, before=end - 12)
    elif act == "append":
        tasks.append(asyncio.create_task(note_append(lease, step, outcomes)))
    elif act == "snapshot":
        make_parts = bench.words[index].make_parts
        tasks.append(asyncio.create_task(lease.append_snapshot(make_parts)))
    else:
        tasks.append(asyncio.create_task(getattr(lease, act)()))


async def note_append(lease, step, outcomes):
    try:
        await lease.append(step)
        outcomes[step] = True
    except (LeaseLostError, LogUnavailableError):
        outcomes[step] = False
    except LogAnswerLostError:
        outcomes[step] = None


async def test_a_stale_anchor_is_no_start():
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


def test_ranks_spread_and_change_little():
    instances = [f"i{index}" for index in range(9)]
    firsts = {name: rank(name, instances)[0] for name in map(str, range(200))}
    assert len(set(firsts.values())) == 9
    fewer = {name: rank(name, instances[:-1])[0] for name in firsts}
    moved = [name for name in firsts if firsts[name] != fewer[name]]
    assert all(firsts[name] == "i8" for name in moved)
