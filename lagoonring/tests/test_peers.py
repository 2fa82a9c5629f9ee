"""Peers services over real sockets on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import attrs
import pytest

from lagoonring.errors import LagoonringError, Outcome
from lagoonring.peers import (
    MemberState,
    PeerAnswerLostError,
    PeerCallError,
    PeerUnreachableError,
    SeedMember,
)
from lagoonring.peers.channel import MessageTooLargeError
from lagoonring.peers.errors import AddressNotUsableError
from lagoonring.tests.builders.peers import (
    Level,
    make_node,
    make_options,
    running,
    seed_of,
    wait_until,
)


async def repeat(sender: str, payload: bytes) -> bytes:
    return sender.encode() + payload


async def test_rows_and_calls_between_two_instances():
    first, second = make_node("a1"), make_node("a2")
    async with running(first, second):
        seen = {}
        second.peers.subscribe(
            "verdict",
            Level,
            lambda origin, name, value: seen.__setitem__((origin, name), value),
        )
        first.peers.publish("verdict", "guide", Level(value=3))
        first.peers.publish("endpoint_load", "guide-1", Level(value=4))
        await wait_until(lambda: seen == {("a1", "guide"): Level(value=3)})
        await wait_until(lambda: second.peers.rows("endpoint_load", Level))
        assert second.peers.rows("endpoint_load", Level) == {
            ("a1", "guide-1"): Level(value=4)
        }
        second.peers.serve("repeat", repeat)
        answer = await first.peers.call("a2", "repeat", b"!", timeout_s=5)
        assert answer == b"a1!"
        first.peers.publish("verdict", "guide", None)
        await wait_until(lambda: seen == {("a1", "guide"): None})
        assert [member.instance for member in second.peers.members()] == ["a1"]


async def test_many_calls_at_once_each_get_their_own_answer():
    first, second = make_node("a1"), make_node("b1", "almadies")
    second.peers.serve("repeat", repeat)
    async with running(first, second):
        payloads = [str(number).encode() * 50 for number in range(200)]
        answers = await asyncio.gather(
            *(
                first.peers.call("b1", "repeat", payload, timeout_s=20)
                for payload in payloads
            )
        )
        assert answers == [b"a1" + payload for payload in payloads]


async def test_calls_that_were_not_run_report_so():
    first, second, third = make_node("a1"), make_node("a2"), make_node("a3")
    async with running(first, second, third):
        first.peers.gossip.update_seeds(
            [SeedMember(instance="a9", data_centre="plateau", address="127.0.0.1:9")]
        )
        for instance, reason in {
            "nobody": "no address",
            "a9": "no connection",
            "a2": "unknown method",
            "a1": "unknown method",
        }.items():
            with pytest.raises(PeerUnreachableError, match=reason) as caught:
                await first.peers.call(instance, "repeat", b"", timeout_s=10)
            assert caught.value.outcome is Outcome.NOT_RUN


async def test_a_call_for_an_ended_incarnation_is_not_run():
    first, second = make_node("a1"), make_node("a2")
    second.peers.serve("repeat", repeat)
    async with running(first, second):
        await wait_until(first.peers.members)
        origin = first.peers.local.origins["a2"]
        origin.record = attrs.evolve(origin.record, incarnation=1)
        with pytest.raises(PeerUnreachableError, match="has ended"):
            await first.peers.call("a2", "repeat", b"", timeout_s=10)


async def test_a_replayed_call_is_not_run_by_a_later_incarnation():
    frames = []
    first, second, third = make_node("a1"), make_node("a2"), make_node("a2")
    receive = second.peers.channel.receive

    def record(frame):
        frames.append(frame)
        receive(frame)

    second.peers.channel.receive = record
    n_run = 0

    async def count(sender: str, payload: bytes) -> bytes:
        nonlocal n_run
        n_run += 1
        return b""

    for node in (second, third):
        node.peers.serve("count", count)
    async with running(first):
        async with running(second):
            seed = seed_of(second)
            first.peers.gossip.update_seeds([seed])
            await first.peers.call("a2", "count", b"", timeout_s=10)
        third.peers.channel.me = attrs.evolve(
            third.peers.channel.me, incarnation=second.peers.me.incarnation + 1
        )
        async with running(third):
            for frame in frames:
                third.peers.channel.receive(frame)
            assert third.peers.calls.tasks == set()
    assert len(frames) >= 2
    assert n_run == 1


async def test_a_call_whose_answer_is_lost_has_an_unknown_outcome():
    cut = set()
    first, second = (
        make_node(name, allow=lambda sender, receiver: sender not in cut)
        for name in ("a1", "a2")
    )
    run = asyncio.Event()

    async def book(sender: str, payload: bytes) -> bytes:
        cut.add("a2")
        run.set()
        return b"booked"

    second.peers.serve("book", book)
    async with running(first, second):
        with pytest.raises(PeerAnswerLostError) as caught:
            await first.peers.call("a2", "book", b"", timeout_s=0.5)
        assert run.is_set()
        assert caught.value.outcome is Outcome.UNKNOWN
        assert first.peers.calls.pending == {}


async def test_errors_of_handlers_are_typed():
    class SoldOutError(LagoonringError):
        code = "sold_out"
        outcome = Outcome.RUN

    async def refuse(sender: str, payload: bytes) -> bytes:
        raise SoldOutError("Got no seat.", remedy="Choose another day.")

    async def fail(sender: str, payload: bytes) -> bytes:
        raise ZeroDivisionError

    async def flood(sender: str, payload: bytes) -> bytes:
        return bytes(70_000)

    options = make_options(frame_limit_bytes=65_536)
    first, second = make_node("a1", options=options), make_node("a2", options=options)
    for method in (refuse, fail, flood):
        second.peers.serve(method.__name__, method)
    async with running(first, second):
        caught = {}
        for method in ("refuse", "fail", "flood"):
            with pytest.raises(PeerCallError) as error:
                await first.peers.call("a2", method, b"", timeout_s=10)
            caught[method] = (error.value.remote_code, error.value.outcome)
        assert caught == {
            "refuse": ("sold_out", Outcome.RUN),
            "fail": ("internal", Outcome.UNKNOWN),
            "flood": ("message_too_large", Outcome.RUN),
        }
        with pytest.raises(MessageTooLargeError):
            await first.peers.call("a2", "refuse", bytes(70_000), timeout_s=10)


async def test_calls_above_the_limit_are_not_run():
    first = make_node("a1")
    second = make_node("a2", options=make_options(n_calls_most=2))
    release = asyncio.Event()
    n_run = 0

    async def wait(sender: str, payload: bytes) -> bytes:
        nonlocal n_run
        n_run += 1
        await release.wait()
        return b""

    second.peers.serve("wait", wait)
    async with running(first, second):
        calls = [
            asyncio.create_task(first.peers.call("a2", "wait", b"", timeout_s=20))
            for _ in range(5)
        ]
        await wait_until(lambda: sum(call.done() for call in calls) == 3)
        release.set()
        results = await asyncio.gather(*calls, return_exceptions=True)
        refused = [item for item in results if isinstance(item, PeerUnreachableError)]
        assert len(refused) == 3
        assert n_run == 2


async def test_a_stop_just_after_a_frame_does_not_wait_for_the_idle_timeout():
    first, second = make_node("a1"), make_node("a2")
    async with running(first, second):
        await wait_until(lambda: first.peers.members() and second.peers.members())
        transport = first.peers.transport
        link = transport.links[second.peers.me.address]
        await wait_until(lambda: not link.queue)
        transport.post(link.address, b"frame")
        async with asyncio.timeout(10):
            await transport.stop()


def open_sockets():
    targets = []
    for name in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            targets.append(os.readlink(f"/proc/self/fd/{name}"))
    return sum(target.startswith("socket:") for target in targets)


async def test_a_stop_leaves_no_task_and_no_socket():
    async with running(make_node("warm-up")):
        pass
    tasks, sockets = asyncio.all_tasks(), open_sockets()
    nodes = [make_node(f"a{index}") for index in range(6)]
    async with running(*nodes):
        nodes[0].peers.gossip.update_seeds(
            [SeedMember(instance="a9", data_centre="plateau", address="127.0.0.1:9")]
        )
        await wait_until(lambda: all(len(node.peers.members()) == 5 for node in nodes))
    assert asyncio.all_tasks() == tasks
    await wait_until(lambda: open_sockets() <= sockets)


async def test_an_address_in_use_is_reported():
    first = make_node("a1")
    async with running(first):
        options = make_options(address=first.peers.me.address)
        second = make_node("a2", options=options)
        with pytest.raises(AddressNotUsableError, match="expected a free address"):
            await second.app.start()
    await second.app.start()
    await second.stop()


PAUSED_PROGRAM = """
import asyncio, sys
from lagoonring.peers import SeedMember
from lagoonring.tests.builders.peers import Level, make_node, make_options

async def main():
    options = make_options(suspect_after_s=1.0, dead_after_s=2.0, pause_s=0.5)
    node = make_node("a3", options=options)
    await node.app.start()
    node.peers.gossip.update_seeds([
        SeedMember(instance=name, data_centre="plateau", address=address)
        for name, address in zip(["a1", "a2"], sys.argv[1:])
    ])
    node.peers.publish("failing", "guide", Level(value=1))
    await asyncio.sleep(60)

asyncio.run(main())
"""


@pytest.mark.processes
async def test_a_stopped_process_is_dead_and_rejoins_as_a_new_incarnation():
    options = make_options(suspect_after_s=1.0, dead_after_s=2.0)
    nodes = [make_node(name, options=options) for name in ("a1", "a2")]

    def third():
        members = {member.instance: member for member in nodes[0].peers.members()}
        return members.get("a3")

    def state():
        return third() and third().state

    async with running(*nodes):
        addresses = [node.peers.me.address for node in nodes]
        process = subprocess.Popen([sys.executable, "-c", PAUSED_PROGRAM, *addresses])
        try:
            await wait_until(lambda: state() is MemberState.ALIVE)
            await wait_until(lambda: nodes[0].peers.rows("failing", Level))
            before = third().incarnation
            process.send_signal(signal.SIGSTOP)
            await wait_until(lambda: state() is MemberState.SUSPECT)
            await wait_until(lambda: third() is None)
            assert nodes[0].peers.rows("failing", Level) == {}
            process.send_signal(signal.SIGCONT)
            await wait_until(lambda: state() is MemberState.ALIVE)
            await wait_until(lambda: third().incarnation > before)
            await wait_until(lambda: nodes[0].peers.rows("failing", Level))
            assert nodes[1].peers.members() != []
        finally:
            process.kill()
            process.wait()


def test_keys_are_not_in_the_repr_of_options():
    options = make_options()
    assert options.keys[0] not in repr(options)
