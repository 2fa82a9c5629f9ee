"""Membership under failures, partitions, pauses and restarts, in memory."""

from __future__ import annotations

import random

import attrs

from lagoonring.kernel import ManualClock
from lagoonring.peers import MemberState
from lagoonring.tests.builders.peers import (
    Level,
    MemoryNetwork,
    MemoryTransport,
    make_memory_nodes,
    make_node,
    make_options,
    pause,
    running,
    seed_of,
)

STEP_S = 0.05


class Fleet:
    """In-memory nodes; those in ``cut`` are partitioned from the others."""

    def __init__(self, node_counts, **changes):
        self.clock = ManualClock()
        self.network = MemoryNetwork(random.Random(5))
        self.cut = set()
        self.options = make_options(**{"pause_s": 60.0, **changes})
        self.nodes = make_memory_nodes(
            node_counts,
            self.network,
            self.clock,
            options=self.options,
            allow=self.allow,
        )

    def allow(self, sender, receiver):
        return (sender in self.cut) == (receiver in self.cut)

    async def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            await self.clock.advance(STEP_S)

    def states(self, node):
        members = node.peers.members()
        return {member.instance: member.state.value for member in members}


async def test_a_stopped_member_is_suspect_then_dead_and_its_rows_are_removed():
    fleet = Fleet({"plateau": 5})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        fleet.nodes[4].peers.publish("failing", "guide", Level(value=1))
        await fleet.advance(1)
        changes = []
        fleet.nodes[0].peers.subscribe(
            "failing", Level, lambda *change: changes.append(change)
        )
        await fleet.nodes[4].stop()
        await fleet.advance(3.5)
        assert fleet.states(fleet.nodes[0])["plateau-4"] == "suspect"
        assert len(fleet.nodes[0].peers.rows("failing", Level)) == 1
        await fleet.advance(5)
        for node in fleet.nodes[:4]:
            assert len(node.peers.members()) == 3
            assert node.peers.rows("failing", Level) == {}
        assert changes[-1] == ("plateau-4", "guide", None)


async def test_a_partitioned_data_centre_is_unreachable_not_dead():
    fleet = Fleet({"plateau": 4, "almadies": 4})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        fleet.cut = {f"almadies-{index}" for index in range(4)}
        await fleet.advance(30)
        states = fleet.states(fleet.nodes[0])
        remote = {name: state for name, state in states.items() if "almadies" in name}
        assert set(remote.values()) == {"unreachable"}
        assert len(remote) == 3
        assert states["plateau-1"] == "alive"


async def test_other_contacts_are_probed_when_one_is_silent():
    fleet = Fleet({"plateau": 2, "almadies": 3}, remote_round_s=5.0)
    async with running(*fleet.nodes):
        await fleet.advance(12)
        fleet.cut = {f"almadies-{index}" for index in range(3)}
        await fleet.advance(9)
        states = fleet.states(fleet.nodes[0])
        assert [states[f"almadies-{n}"] for n in range(3)] == ["unreachable"] * 3


async def test_a_silent_majority_is_unreachable_and_recovers():
    fleet = Fleet({"plateau": 6})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        before = {node.peers.me.incarnation for node in fleet.nodes}
        fleet.cut = {"plateau-0", "plateau-1"}
        await fleet.advance(30)
        minority = fleet.states(fleet.nodes[0])
        assert minority["plateau-1"] == "alive"
        assert [minority[f"plateau-{n}"] for n in range(2, 6)] == ["unreachable"] * 4
        majority = fleet.states(fleet.nodes[5])
        assert set(majority) == {"plateau-2", "plateau-3", "plateau-4"}
        fleet.cut = set()
        await fleet.advance(6)
        for node in fleet.nodes:
            assert set(fleet.states(node).values()) == {"alive"}
            assert len(node.peers.members()) == 5
        after = [node.peers.me.incarnation for node in fleet.nodes]
        assert set(after[2:]) <= before
        assert not set(after[:2]) & before


async def test_members_missing_from_the_platform_list_are_dead_in_a_mass_failure():
    fleet = Fleet({"plateau": 5}, seeds_interval_s=1.0)
    listed = []

    async def list_seeds():
        return listed

    fleet.nodes[0].peers.list_seeds = list_seeds
    async with running(*fleet.nodes):
        listed += [seed_of(node) for node in fleet.nodes]
        await fleet.advance(2)
        for node in fleet.nodes[1:4]:
            await node.stop()
        await fleet.advance(20)
        states = fleet.states(fleet.nodes[0])
        assert [states[f"plateau-{n}"] for n in range(1, 4)] == ["unreachable"] * 3
        del listed[1:3]
        await fleet.advance(2)
        states = fleet.states(fleet.nodes[0])
        assert states == {"plateau-3": "unreachable", "plateau-4": "alive"}


async def test_a_paused_process_rejoins_as_a_new_incarnation():
    fleet = Fleet({"plateau": 3}, pause_s=1.0, coalesce_s=0)
    paused = fleet.nodes[2]
    own_clock = ManualClock()
    paused.app.clock = paused.peers.gossip.clock = own_clock
    for part in (paused.peers.local, paused.peers.fleet, paused.peers.local_members):
        part.clock = own_clock
    async with running(*fleet.nodes):
        for _ in range(40):
            await fleet.advance(STEP_S)
            await own_clock.advance(STEP_S)
        paused.peers.publish("failing", "guide", Level(value=1))
        before = paused.peers.me.incarnation
        for _ in range(20):
            await fleet.advance(STEP_S)
            await own_clock.advance(STEP_S)
        pause(own_clock, 30)
        await fleet.advance(30)
        assert "plateau-2" not in fleet.states(fleet.nodes[0])
        for _ in range(40):
            await fleet.advance(STEP_S)
            await own_clock.advance(STEP_S)
        assert paused.peers.me.incarnation > before
        assert set(fleet.states(paused)) == {"plateau-0", "plateau-1"}
        member = {m.instance: m for m in fleet.nodes[0].peers.members()}["plateau-2"]
        assert member.state is MemberState.ALIVE
        assert member.incarnation == paused.peers.me.incarnation
        rows = fleet.nodes[0].peers.rows("failing", Level)
        assert rows == {("plateau-2", "guide"): Level(value=1)}


async def test_a_short_pause_starts_a_new_incarnation_and_suspects_nobody():
    fleet = Fleet({"plateau": 3, "almadies": 2}, pause_s=3.0)
    async with running(*fleet.nodes):
        await fleet.advance(2)
        before = {node.peers.me.incarnation for node in fleet.nodes}
        pause(fleet.clock, 4)
        await fleet.clock.advance(0)
        for node in fleet.nodes:
            assert set(fleet.states(node).values()) == {"alive"}
        assert not {node.peers.me.incarnation for node in fleet.nodes} & before
        await fleet.advance(2)
        for node in fleet.nodes:
            assert set(fleet.states(node).values()) == {"alive"}


async def test_late_rounds_send_nothing_and_suspect_nobody():
    fleet = Fleet({"plateau": 4, "almadies": 3})
    async with running(*fleet.nodes):
        await fleet.advance(3)
        before = {node.peers.me.incarnation for node in fleet.nodes}
        n_frames = fleet.network.n_frames
        for _ in range(8):
            pause(fleet.clock, 1)
            await fleet.clock.advance(0)
            for node in fleet.nodes:
                assert set(fleet.states(node).values()) == {"alive"}
        assert fleet.network.n_frames == n_frames
        await fleet.advance(1)
        assert fleet.network.n_frames > n_frames
        assert {node.peers.me.incarnation for node in fleet.nodes} == before


async def restart(fleet, index, clock):
    """Stop a node and start one with the same name and address."""
    old = fleet.nodes[index]
    await old.stop()
    new = make_node(
        old.peers.me.instance,
        old.peers.me.data_centre,
        options=fleet.options,
        clock=clock,
        allow=fleet.allow,
        transport=MemoryTransport(fleet.network, old.peers.transport.address),
    )
    await new.app.start()
    new.peers.gossip.update_seeds([seed_of(node) for node in fleet.nodes])
    return new


async def test_a_restart_at_the_same_address_replaces_the_old_incarnation():
    fleet = Fleet({"plateau": 3, "almadies": 2})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        fleet.nodes[2].peers.publish("verdict", "guide", Level(value=1))
        await fleet.advance(1)
        new = await restart(fleet, 2, fleet.clock)
        new.peers.publish("verdict", "desk", Level(value=2))
        await fleet.advance(3)
        for node in [*fleet.nodes[:2], *fleet.nodes[3:], new]:
            rows = node.peers.rows("verdict", Level)
            assert rows == {("plateau-2", "desk"): Level(value=2)}
        await new.stop()


async def test_a_restart_with_the_clock_set_back_takes_a_newer_incarnation():
    fleet = Fleet({"plateau": 3})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        last = fleet.nodes[2].peers.me.incarnation
        late_clock = ManualClock(fleet.clock.now_s - 5000)
        new = await restart(fleet, 2, late_clock)
        assert new.peers.me.incarnation < last
        for _ in range(80):
            await fleet.advance(STEP_S)
            await late_clock.advance(STEP_S)
        assert new.peers.me.incarnation > last
        assert set(fleet.states(new).values()) == {"alive"}
        members = fleet.nodes[0].peers.members()
        found = {member.instance: member.incarnation for member in members}
        assert found["plateau-2"] == new.peers.me.incarnation
        await new.stop()


async def test_a_draining_member_is_leaving_and_not_a_contact():
    fleet = Fleet({"plateau": 3, "almadies": 3})
    async with running(*fleet.nodes):
        await fleet.advance(2)
        await fleet.nodes[0].app.drain(1)
        await fleet.clock.advance(0)
        assert fleet.nodes[0].peers.me.state is MemberState.LEAVING
        for node in fleet.nodes[1:3]:
            assert fleet.states(node)["plateau-0"] == "leaving"
        for node in fleet.nodes[3:]:
            assert "plateau-0" not in fleet.states(node)
        await fleet.nodes[0].stop()
        await fleet.advance(8)
        assert "plateau-0" not in fleet.states(fleet.nodes[1])


async def test_dead_contacts_are_replaced_within_the_limit():
    fleet = Fleet({"plateau": 2, "almadies": 9}, n_contacts=2, seeds_interval_s=1e2)
    async with running(*fleet.nodes):
        await fleet.advance(3)
        first = fleet.nodes[0]
        contacts = [name for name in fleet.states(first) if "almadies" in name]
        assert len(contacts) == 2
        ended = fleet.nodes[2 + int(contacts[0][-1])]
        await ended.stop()
        await fleet.advance(12)
        states = fleet.states(first)
        assert contacts[0] not in states
        assert contacts[1] in states
        assert len([name for name in states if "almadies" in name]) == 2
        assert set(states.values()) == {"alive"}


async def test_members_are_discovered_from_a_few_seeds():
    fleet = Fleet({"plateau": 5, "almadies": 4})
    async with running(*fleet.nodes):
        for node in fleet.nodes:
            node.peers.gossip.update_seeds([])
            node.peers.remote_members.members.clear()
        entry = [seed_of(fleet.nodes[0]), seed_of(fleet.nodes[5])]
        for node in fleet.nodes:
            node.peers.gossip.update_seeds(entry)
        await fleet.advance(8)
        for node in fleet.nodes:
            n_local = 4 if node.peers.me.data_centre == "plateau" else 3
            assert len(node.peers.members()) == n_local + 3
            assert set(fleet.states(node).values()) == {"alive"}


async def test_an_instance_with_a_wrong_key_cannot_join():
    fleet = Fleet({"plateau": 2})
    stranger = make_node(
        "plateau-9",
        options=attrs.evolve(fleet.options, keys=["not the key of the others"]),
        clock=fleet.clock,
        transport=MemoryTransport(fleet.network, "127.0.0.1:9"),
    )
    async with running(*fleet.nodes, stranger):
        await fleet.advance(3)
        assert set(fleet.states(fleet.nodes[0])) == {"plateau-1"}
        assert fleet.states(stranger) == {}
