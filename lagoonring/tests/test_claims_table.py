from __future__ import annotations

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from lagoonring.claims.keys import digest_id, digest_key
from lagoonring.claims.records import ClaimBatch, ClaimItem, StoredAnswer
from lagoonring.claims.table import ClaimTable

WINDOW_S = 50
KINDS = ("claim", "claim", "finish", "release")


@st.composite
def streams(draw):
    """Batches of items for few keys and claims; the log's clock may step back."""
    batches, time_s = [], 1000.0
    for index in range(draw(st.integers(1, 20))):
        time_s += draw(st.sampled_from([0, 1, 10, 60, -20]))
        items = [
            ClaimItem(
                kind=draw(st.sampled_from(KINDS)),
                key=digest_key(draw(st.sampled_from("ab"))),
                claim=digest_id(draw(st.sampled_from("123"))),
                fingerprint=digest_id("f"),
                answer=StoredAnswer(status=200),
            )
            for _ in range(draw(st.integers(1, 4)))
        ]
        batches.append((time_s, ClaimBatch(batch_id=f"b{index}", items=items)))
    return batches


def apply_all(table, batches, first=0):
    outcomes = []
    for offset, (time_s, batch) in enumerate(batches, start=first):
        table.watched = {batch.batch_id: None}
        table.on_data(offset, time_s, msgspec.Raw(msgspec.json.encode(batch)))
        outcomes.append(table.watched[batch.batch_id])
    return outcomes


@settings(derandomize=True, max_examples=200, deadline=None)
@given(streams(), st.data())
def test_replay_from_a_snapshot_gives_the_same_outcomes_as_from_the_start(
    batches, data
):
    full = ClaimTable(WINDOW_S)
    outcomes = apply_all(full, batches)
    split = data.draw(st.integers(0, len(batches)))
    before_snapshot = ClaimTable(WINDOW_S)
    apply_all(before_snapshot, batches[:split])
    parts = [
        msgspec.Raw(msgspec.json.encode(part)) for part in before_snapshot.make_parts()
    ]
    resumed = ClaimTable(WINDOW_S)
    resumed.restore(parts)
    assert apply_all(resumed, batches[split:], split) == outcomes[split:]
    assert list(resumed.rows.items()) == list(full.rows.items())
    check_grants(batches, outcomes)


def check_grants(batches, outcomes):
    """Check that a key has one claim at a time until release or end of the window."""
    holders, now_s = {}, 0.0
    for (time_s, batch), results in zip(batches, outcomes, strict=True):
        now_s = max(now_s, time_s)
        for item, outcome in zip(batch.items, results, strict=True):
            holder = holders.get(item.key)
            if holder is not None and now_s - holder[1] > WINDOW_S:
                holder = holders.pop(item.key) and None
            if outcome.status == "granted":
                assert holder is None or holder[0] == item.claim
                holders.setdefault(item.key, (item.claim, now_s))
            elif item.kind == "release" and outcome.status == "done":
                holders.pop(item.key, None)


def test_a_batch_applied_twice_has_no_further_effect():
    claim = ClaimItem(kind="claim", key=digest_key("a"), claim=digest_id("1"))
    finish = ClaimItem(
        kind="finish",
        key=digest_key("a"),
        claim=digest_id("1"),
        answer=StoredAnswer(status=201),
    )
    table = ClaimTable(WINDOW_S)
    batch = ClaimBatch(batch_id="b", items=[claim, finish])
    apply_all(table, [(1.0, batch)])
    rows = dict(table.rows)
    apply_all(table, [(2.0, batch)], first=9)
    assert table.rows == rows
    assert table.find(claim.key).http_status == 201
