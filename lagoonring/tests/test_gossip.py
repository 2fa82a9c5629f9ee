"""Merging of rows, and their replication over lossy in-memory links."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.kernel import ManualClock
from lagoonring.peers import RowTooLargeError, UnknownKindError, digests, origins
from lagoonring.peers.comparison import reply, start_by_digest, start_by_hashes
from lagoonring.peers.messages import MemberRecord, OriginUpdate, RowUpdate
from lagoonring.peers.origins import Origin
from lagoonring.peers.tables import Table, TableLimits
from lagoonring.tests.builders.peers import (
    Level,
    MemoryNetwork,
    make_memory_nodes,
    make_options,
    running,
)

RECORD = MemberRecord("a1", "plateau", "", "127.0.0.1:1", "", 7)
NAMES = st.sampled_from(["guide-1", "guide-2", "guide-3", "guide-4", "guide-5"])
WRITES = st.lists(
    st.tuples(NAMES, st.none() | st.binary(min_size=1, max_size=2)), max_size=25
)
property_based = settings(derandomize=True, deadline=None, max_examples=300)


@pytest.fixture(autouse=True)
def _low_limit_of_removed_rows(monkeypatch):
    monkeypatch.setattr(origins, "MAX_REMOVED_ROWS", 2)


def make_origin():
    return Origin(RECORD, RECORD.origin_id)


def visible_rows(origin):
    return {key: row.value for key, row in origin.rows.items() if row.value is not None}


def apply_writes(origin, writes):
    """Apply writes at the origin; return updates that copies may receive."""
    updates = [origin.changes_since(0, with_record=False)]
    for name, value in writes:
        row = RowUpdate(1, name, origin.tick + 1, value)
        origin.put(row)
        origin.tick += 1
        origin.merge(origin.changes_since(origin.tick, with_record=False))
        updates += [
            origin.changes_since(tick, with_record=False)
            for tick in {0, origin.tick // 2, origin.tick - 1}
        ]
    return updates


@property_based
@given(WRITES, st.randoms(use_true_random=False))
def test_merge_is_commutative_and_idempotent(writes, rng):
    updates = apply_writes(make_origin(), writes)
    chosen = rng.sample(updates, rng.randint(0, len(updates)))
    first, second = make_origin(), make_origin()
    for update in chosen:
        first.merge(update)
    for update in rng.sample(chosen * 2, 2 * len(chosen)):
        second.merge(update)
    assert visible_rows(first) == visible_rows(second)


@property_based
@given(WRITES, st.randoms(use_true_random=False))
def test_merge_through_another_copy_gives_the_same_rows(writes, rng):
    source = make_origin()
    updates = apply_writes(source, writes)
    first, second = make_origin(), make_origin()
    for update in updates:
        rng.choice([first, second]).merge(update)
    second.merge(first.changes_since(second.tick, with_record=False))
    first.merge(second.changes_since(first.tick, with_record=False))
    assert visible_rows(first) == visible_rows(second)
    second.merge(source.changes_since(second.tick, with_record=False))
    assert visible_rows(second) == visible_rows(source)
    assert second.tick == source.tick


@property_based
@given(WRITES, st.randoms(use_true_random=False))
def test_merge_never_reverts_a_copy(writes, rng):
    updates = apply_writes(make_origin(), writes)
    copy = make_origin()
    for update in rng.sample(updates, len(updates)):
        before = {key: row.version for key, row in copy.rows.items()}
        tick, floor = copy.tick, copy.floor
        copy.merge(update)
        assert copy.tick >= tick
        for key, version in before.items():
            row = copy.rows.get(key)
            assert row.version >= version if row else version <= copy.floor
        assert copy.floor >= floor


def test_pruned_removals_reach_a_copy_through_a_full_one():
    source, old, full = make_origin(), make_origin(), make_origin()
    apply_writes(source, [("guide-1", b"x")])
    old.merge(source.changes_since(0, with_record=False))
    names = ["guide-1", "guide-2", "guide-3", "guide-4", "guide-5"]
    apply_writes(source, [(name, None) for name in names])
    assert source.floor > 1
    full.merge(source.changes_since(0, with_record=False))
    old.merge(full.changes_since(old.tick, with_record=False))
    assert visible_rows(old) == {}


def make_table(instance="b1", **limits):
    values = {"n_bytes": 1 << 20, "n_rows": 1000, "n_frame_bytes": 1 << 16, **limits}
    record = MemberRecord(instance, "plateau", "", "127.0.0.1:2", "", 7)
    changes = []
    table = Table(
        record,
        ManualClock(),
        TableLimits(**values),
        on_row=lambda origin, row: changes.append((origin, row.name, row.value)),
    )
    return table, changes


def compare_to_end(first, second, start=start_by_digest):
    """Run a comparison of two tables to its end, as a gossip round does."""
    step = start(first)
    sides = [second, first]
    while not step.is_empty():
        step = reply(sides[0], step)
        sides.reverse()


def test_a_later_incarnation_replaces_the_rows_of_an_earlier_one():
    table, changes = make_table()
    old, _ = make_table("a1")
    old.put_own(1, "guide-1", b"1")
    compare_to_end(table, old)
    new, _ = make_table("a1")
    new.me = MemberRecord("a1", "plateau", "", "127.0.0.1:1", "", 8)
    new.put_own(1, "guide-2", b"2")
    compare_to_end(table, new)
    compare_to_end(table, old)
    assert changes == [
        ("a1", "guide-1", b"1"),
        ("a1", "guide-1", None),
        ("a1", "guide-2", b"2"),
    ]


@property_based
@given(st.lists(st.integers(0, 40), min_size=1, max_size=12), st.integers(0, 1 << 25))
def test_short_pairs_round_trip(ahead, base):
    order = [bytes([place]) * 5 for place in range(len(ahead))]
    ticks = dict.fromkeys(order, base + 20)
    pairs = [(origin, base + step) for origin, step in zip(order, ahead, strict=True)]
    packed = digests.pack_short(pairs, order)
    assert digests.unpack_short(packed, order, ticks.__getitem__) == pairs
    dense = digests.pack_dense(tick for _, tick in pairs)
    assert digests.unpack_dense(dense, order, ticks.__getitem__) == pairs
    digests.unpack_short(packed[:-1], order[:1], ticks.__getitem__)
    digests.unpack_dense(dense[:-1], order, ticks.__getitem__)


@pytest.mark.parametrize("start", [start_by_digest, start_by_hashes])
def test_comparison_converges_from_any_contents(start):
    rng = random.Random(3)
    tables = [make_table(f"b{index}")[0] for index in range(4)]
    for table in tables:
        for _ in range(3):
            table.put_own(1, f"guide-{rng.randrange(3)}", b"x")
    for _ in range(12):
        first, second = rng.sample(tables, 2)
        compare_to_end(first, second, start)
        rng.choice(tables).put_own(1, "guide-9", str(rng.random()).encode())
    for first, second in [(0, 1), (1, 2), (2, 3), (3, 0), (0, 1), (1, 2)]:
        compare_to_end(tables[first], tables[second], start)
    expected = {
        name: (origin.tick, visible_rows(origin))
        for name, origin in tables[0].origins.items()
    }
    assert len(expected) == 4
    for table in tables[1:]:
        found = {
            name: (origin.tick, visible_rows(origin))
            for name, origin in table.origins.items()
        }
        assert found == expected
    compare_to_end(tables[0], tables[1], start)


def test_updates_out_of_range_are_ignored():
    table, changes = make_table()
    other, _ = make_table("a1")
    row = RowUpdate(1, "guide", 1 << 40, b"x")
    assert not table.put(other.me, row)
    step = OriginUpdate(other.me.origin_id, 0, 1 << 40, 0, other.me, [row])
    table.merge([step, attrs.evolve(step, origin_id=b"other", to_tick=5)])
    assert changes == []
    start_by_digest(table)


def test_a_table_stays_within_its_limits():
    source, _ = make_table("a1")
    for index in range(50):
        source.put_own(1, f"guide-{index}", b"x" * 100)
    table, _ = make_table(n_rows=20)
    compare_to_end(table, source)
    assert table.n_rows == 20
    assert table.n_refused == 30
    small, _ = make_table(n_bytes=2600)
    compare_to_end(small, source)
    assert 0 < small.n_bytes <= 2600
    source.put_own(1, "guide-0", None)
    compare_to_end(table, source)
    assert table.n_rows == sum(len(origin.rows) for origin in table.origins.values())


def test_more_rows_than_a_frame_holds_take_several_rounds():
    source, _ = make_table("a1")
    other, _ = make_table("a2", n_frame_bytes=2000)
    for index in range(5):
        record = MemberRecord(f"c{index}", "plateau", "", "127.0.0.1:3", "", 1)
        for version in range(1, 5):
            row = RowUpdate(1, f"guide-{version}", version, b"x" * 100)
            other.put(record, row)
        other.origins[record.instance].tick = 4
    n_rounds = 0
    while source.n_rows < 20:
        before = source.n_rows
        compare_to_end(source, other)
        assert source.n_rows > before
        n_rounds += 1
    assert n_rounds > 1


async def advance(clock, network, duration_s, step_s=0.05):
    for _ in range(round(duration_s / step_s)):
        await clock.advance(step_s)
        network.release_delayed()


NODE_COUNTS = {"plateau": 6, "almadies": 5, "rufisque": 5}


def make_fleet(*, allow=None, node_counts=NODE_COUNTS, seed=1, **changes):
    clock = ManualClock()
    network = MemoryNetwork(random.Random(seed))
    options = make_options(**{"pause_s": 60.0, **changes})
    nodes = make_memory_nodes(node_counts, network, clock, options=options, allow=allow)
    return clock, network, nodes


def nodes_with_rows(nodes, kind):
    return [node for node in nodes if node.peers.rows(kind, Level)]


async def test_rows_reach_all_nodes_despite_loss_duplication_and_reordering():
    clock, network, nodes = make_fleet()
    network.lost_share = 0.3
    network.duplicated_share = 0.2
    network.delayed_share = 0.3
    async with running(*nodes):
        await advance(clock, network, 3)
        for number in range(5):
            for node in nodes:
                node.peers.publish("config", "content", Level(value=number))
                node.peers.publish("endpoint_load", "guide", Level(value=number))
            await advance(clock, network, 0.2)
        nodes[0].peers.publish("config", "content", None)
        await advance(clock, network, 8)
        latest = Level(value=4)
        for node in nodes:
            me = node.peers.me
            assert node.peers.rows("config", Level) == {
                (other.peers.me.instance, "content"): latest for other in nodes[1:]
            }
            assert node.peers.rows("endpoint_load", Level) == {
                (other.peers.me.instance, "guide"): latest
                for other in nodes
                if other.peers.me.data_centre == me.data_centre
            }


async def test_removed_rows_are_pruned():
    clock, network, nodes = make_fleet(node_counts={"plateau": 2})
    async with running(*nodes):
        for number in range(300):
            nodes[0].peers.publish("failing", f"guide-{number}", Level(value=1))
            nodes[0].peers.publish("failing", f"guide-{number}", None)
        await advance(clock, network, 1)
        for node in nodes:
            assert node.peers.rows("failing", Level) == {}
            assert node.peers.local.n_rows <= 3


async def test_an_urgent_row_reaches_all_before_the_next_round():
    clock, network, nodes = make_fleet()
    async with running(*nodes):
        await advance(clock, network, 3)
        nodes[0].peers.publish("verdict", "guide", Level(value=1))
        await clock.advance(0)
        await clock.advance(0)
        assert nodes_with_rows(nodes, "verdict") == nodes


async def test_an_urgent_row_reaches_all_nodes_around_a_cut_link():
    cut = set()
    clock, network, nodes = make_fleet(allow=lambda *pair: pair not in cut)
    async with running(*nodes):
        await advance(clock, network, 3)
        names = [node.peers.me.instance for node in nodes]
        cut |= {(names[0], name) for name in names[2:]}
        nodes[0].peers.publish("quarantine", "print", Level(value=1))
        await clock.advance(0)
        assert len(nodes_with_rows(nodes, "quarantine")) < len(nodes)
        await advance(clock, network, 3)
        assert nodes_with_rows(nodes, "quarantine") == nodes


async def test_rows_are_exchanged_when_a_partition_ends():
    cut = set()

    def allow(sender, receiver):
        return not ({sender[0], receiver[0]} & cut) or sender[0] == receiver[0]

    clock, network, nodes = make_fleet(allow=allow)
    async with running(*nodes):
        await advance(clock, network, 3)
        cut |= {"p"}
        nodes[0].peers.publish("verdict", "guide", Level(value=1))
        nodes[-1].peers.publish("quarantine", "print", Level(value=2))
        await advance(clock, network, 12)
        assert len(nodes_with_rows(nodes, "verdict")) == 6
        assert len(nodes_with_rows(nodes, "quarantine")) == 10
        states = {m.data_centre: m.state.value for m in nodes[0].peers.members()}
        assert states["plateau"] == "alive"
        assert states["rufisque"] == "unreachable"
        cut.clear()
        await advance(clock, network, 3)
        assert nodes_with_rows(nodes, "verdict") == nodes
        assert nodes_with_rows(nodes, "quarantine") == nodes
        states = {member.state.value for member in nodes[0].peers.members()}
        assert states == {"alive"}


async def test_rows_of_a_stopped_origin_expire_and_do_not_return():
    clock, network, nodes = make_fleet(refresh_s=0.5, expire_s=6.0)
    async with running(*nodes):
        await advance(clock, network, 3)
        nodes[0].peers.publish("verdict", "guide", Level(value=1))
        nodes[1].peers.publish("verdict", "guide", Level(value=2))
        nodes[0].peers.publish("endpoint_load", "guide", Level(value=3))
        await advance(clock, network, 1)
        await nodes[0].stop()
        await advance(clock, network, 20)
        rest = nodes[1:]
        assert nodes_with_rows(rest, "verdict") == rest
        assert {key for node in rest for key in node.peers.rows("verdict", Level)} == {
            ("plateau-1", "guide")
        }
        assert nodes_with_rows(rest, "endpoint_load") == []


async def test_frequent_changes_are_coalesced():
    clock, network, nodes = make_fleet(node_counts={"plateau": 2}, coalesce_s=1.0)
    async with running(*nodes):
        await advance(clock, network, 1)
        seen = []
        nodes[1].peers.subscribe(
            "endpoint_load", Level, lambda *change: seen.append(change[2].value)
        )
        for number in range(40):
            nodes[0].peers.publish("endpoint_load", "guide", Level(value=number))
            await advance(clock, network, 0.05)
        await advance(clock, network, 2)
        assert seen[-1] == 39
        assert len(seen) <= 5


async def test_failing_subscribers_and_undecodable_values_are_isolated():
    clock, network, nodes = make_fleet(node_counts={"plateau": 2})

    def fail(origin, name, value):
        raise RuntimeError(name)

    async with running(*nodes):
        seen = []
        nodes[1].peers.subscribe("verdict", Level, fail)
        nodes[1].peers.subscribe("verdict", Level, lambda *change: seen.append(change))
        await advance(clock, network, 1)
        nodes[0].peers.publish("verdict", "bad", "no such class")
        nodes[0].peers.publish("verdict", "good", Level(value=1))
        await advance(clock, network, 1)
        assert seen == [("plateau-0", "good", Level(value=1))]
        assert set(nodes[1].peers.rows("verdict", Level)) == {("plateau-0", "good")}


async def test_rows_too_large_and_unknown_kinds_are_refused():
    _, _, nodes = make_fleet(node_counts={"plateau": 1}, row_limit_bytes=200)
    peers = nodes[0].peers
    with pytest.raises(RowTooLargeError, match="expected at most 200"):
        peers.publish("config", "content", Level(value=1, note="x" * 300))
    with pytest.raises(UnknownKindError, match="expected one of"):
        peers.publish("colour", "content", Level(value=1))
    assert peers.rows("config", Level) == {}
