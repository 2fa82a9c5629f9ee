from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.routing.prefixes import (
    BLOCK_BYTES,
    hash_blocks,
    hash_conversation,
    rank_by_rendezvous,
)
from lagoonring.tests.builders.routing import make_chat

NAMES = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=30)


@settings(derandomize=True, max_examples=50)
@given(st.binary(max_size=1500), st.binary(max_size=800), st.binary(max_size=800))
def test_hashes_agree_exactly_as_far_as_whole_blocks_do(common, one, other):
    first, second = common + one, common + other
    n_common = 0
    for start in range(0, min(len(first), len(second)), BLOCK_BYTES):
        block = first[start : start + BLOCK_BYTES]
        if len(block) < BLOCK_BYTES or block != second[start : start + BLOCK_BYTES]:
            break
        n_common += 1
    pairs = zip(hash_blocks(first), hash_blocks(second), strict=False)
    assert [a == b for a, b in pairs].count(True) == n_common
    assert len(hash_blocks(first)) == len(first) // BLOCK_BYTES


def test_conversation_key_stays_over_turns_and_differs_between_chats():
    keys = {hash_conversation(prompt) for prompt in make_chat(1, 6)}
    assert len(keys) == 1
    assert keys.isdisjoint({hash_conversation(make_chat(2, 1)[0])})


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 2**64 - 1), NAMES, st.data())
def test_removing_a_name_moves_only_its_keys(key, names, data):
    removed = data.draw(st.sampled_from(sorted(names)))
    before = rank_by_rendezvous(key, names)
    after = rank_by_rendezvous(key, names - {removed})
    assert after == [name for name in before if name != removed]


def test_rendezvous_spreads_keys_evenly():
    names = [f"endpoint-{number}" for number in range(10)]
    counts = dict.fromkeys(names, 0)
    for key in range(10_000):
        counts[rank_by_rendezvous(key * 7919, names)[0]] += 1
    assert min(counts.values()) > 800
    assert max(counts.values()) < 1200
