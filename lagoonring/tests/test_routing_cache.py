from __future__ import annotations

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.kernel import ManualClock
from lagoonring.routing.prefix_index import PrefixIndex
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.routing import (
    PeerNetwork,
    make_app,
    make_endpoints,
    start_routing,
)


@attrs.frozen
class EventDouble:
    kind: str
    blocks: list[int]


@attrs.frozen
class UpdateDouble:
    events: list[EventDouble] = attrs.field(factory=list)
    n_missing: int = 0
    is_restarted: bool = False


@attrs.frozen
class LoadDouble:
    n_running: int = 3
    n_waiting: int = 0
    n_slots: int = 8
    tokens_per_s: float = 0.0
    versions: list[str] = attrs.field(factory=lambda: ["1"])
    time_s: float = 0.0


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["store", "evict", "forget"]),
        st.sampled_from(["a", "b", "c"]),
        st.integers(0, 6),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200)
@given(OPERATIONS)
def test_depths_match_a_plain_model_of_the_caches(operations):
    index = PrefixIndex(1000)
    caches = {name: set() for name in "abc"}
    blocks = list(range(100, 106))
    for kind, name, depth in operations:
        bit = index.bit_of(name)
        if kind == "store":
            index.store(blocks[:depth], bit)
            caches[name] |= set(blocks[:depth])
        elif kind == "evict":
            index.evict(blocks[depth:], bit)
            caches[name] -= set(blocks[depth:])
        else:
            index.forget(name)
            caches[name] = set()
    depths = index.match(blocks)
    for name, cache in caches.items():
        expected = next((n for n, b in enumerate(blocks) if b not in cache), 6)
        assert depths.get(index.bit_of(name), 0) == expected


def test_index_is_bounded_and_keeps_the_first_blocks_longest():
    index = PrefixIndex(4)
    bit = index.bit_of("a")
    index.store(list(range(10)), bit)
    assert len(index.masks) == 4
    assert index.match(list(range(10))) == {bit: 4}


def test_bits_are_recycled_after_many_resets():
    index = PrefixIndex(100)
    other = index.bit_of("b")
    index.store([1, 2], other)
    for _ in range(500):
        index.store([1], index.forget("a"))
    assert index.n_bits < 100
    assert index.match([1, 2])[other] == 2
    assert index.match([1, 2])[index.bit_of("a")] == 1


async def watch_with(updates):
    """Run a watch on the given cache updates; return routing and the network."""
    clock = ManualClock()
    network = PeerNetwork()
    app = make_app(
        make_catalogue(endpoints=make_endpoints(plateau=1)), network.add("e0"), clock
    )
    routing = await start_routing(app)
    network.add("e1").subscribers = {}

    async def read_load(url):
        return LoadDouble(time_s=clock.time() - 0.2)

    async def follow_cache_events(url):
        while updates:
            yield updates.pop(0)
        await clock.sleep(1_000_000)

    routing.read_load = read_load
    routing.follow_cache_events = follow_cache_events
    routing._start_watch()
    await clock.advance(1.0)
    return routing, network


async def test_cache_events_update_the_index_and_a_gap_resets_it():
    stored = UpdateDouble([EventDouble("stored", [1, 2, 3])])
    evicted = UpdateDouble([EventDouble("evicted", [3])])
    routing, _ = await watch_with([stored, evicted])
    state = routing.table.states["plateau-0"]
    assert routing.index.match([1, 2, 3]) == {state.bit: 2}
    await routing.app.stop()

    gap = UpdateDouble([EventDouble("stored", [7])], n_missing=2)
    routing, _ = await watch_with([stored, gap])
    state = routing.table.states["plateau-0"]
    assert routing.index.match([1, 2, 3]) == {}
    assert routing.index.match([7]) == {state.bit: 1}
    await routing.app.stop()


async def test_only_the_first_watcher_publishes_the_load():
    routing, network = await watch_with([])
    received = network.peers["e1"].received
    published = [name for (_, kind, name) in received if kind == "endpoint_load"]
    is_first = "plateau-0" in routing.watch.primary_for
    assert published == (["plateau-0"] if is_first else [])
    assert routing.table.states["plateau-0"].load == 3
    await routing.app.stop()
