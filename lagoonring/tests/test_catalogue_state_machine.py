from __future__ import annotations

import hypothesis.strategies as st
import msgspec
from hypothesis import given, settings

from lagoonring.catalogue import state_machine
from lagoonring.catalogue.edits import (
    Change,
    ConfigRecord,
    decode_record,
    encode_edit,
    encode_snapshot,
)
from lagoonring.tests.builders.catalogues import make_edit, make_first_edit, set_class

NAMES = ("a", "b", "c")


def fold_all(edits, state=None):
    state = state or state_machine.CatalogueState()
    verdicts = []
    for edit in edits:
        state, verdict = state_machine.fold(
            state, ConfigRecord(edit=edit), state.next_offset
        )
        verdicts.append(verdict)
    return state, verdicts


@st.composite
def racing_edits(draw):
    """Generate edits of three items, with stale base revisions and reused ids."""
    edits = []
    for offset in range(draw(st.integers(1, 25))):
        changes = [
            Change(
                section="classes",
                name=name,
                item=draw(st.sampled_from([None, {"priority": offset % 10}])),
            )
            for name in draw(st.sets(st.sampled_from(NAMES), min_size=1, max_size=2))
        ]
        edit_id = f"e{draw(st.integers(0, 30))}"
        base = max(-1, offset - 1 - draw(st.integers(0, 4)))
        edits.append(make_edit(edit_id, *changes, base=base))
    return edits


@settings(derandomize=True, max_examples=200, deadline=None)
@given(racing_edits(), st.data())
def test_any_reader_reaches_the_same_state(edits, data):
    full_state, verdicts = fold_all(edits)
    split = data.draw(st.integers(0, len(edits)))
    partial_state, _ = fold_all(edits[:split])
    record = decode_record(encode_snapshot(state_machine.take_snapshot(partial_state)))
    resumed, _ = fold_all(
        edits[split:], state_machine.restore_snapshot(record.snapshot)
    )
    assert resumed == full_state
    check_history(edits, verdicts, full_state)


def check_history(edits, verdicts, state):
    """Compare with a reference replay that tracks the last change of each item."""
    content, changed, seen = {}, {}, {}
    for offset, (edit, verdict) in enumerate(zip(edits, verdicts, strict=True)):
        if edit.edit_id in seen:
            assert verdict.status == "duplicate"
            continue
        seen[edit.edit_id] = offset
        last_revisions = [changed.get(change.name, -1) for change in edit.changes]
        if max(last_revisions) > edit.base_revision:
            assert verdict.status == "conflict"
            assert (
                verdict.revision in last_revisions
                and verdict.revision > edit.base_revision
            )
            continue
        assert (verdict.status, verdict.revision) == ("applied", offset)
        for change in edit.changes:
            changed[change.name] = offset
            content[change.name] = change.item
    expected = {name: item["priority"] for name, item in content.items() if item}
    assert {n: c.priority for n, c in state.content.classes.items()} == expected


def test_racing_edits_of_different_items_are_both_applied():
    edits = [make_edit("1", set_class("a")), make_edit("2", set_class("b"))]
    state, verdicts = fold_all(edits)
    assert [verdict.status for verdict in verdicts] == ["applied", "applied"]
    assert set(state.content.classes) == {"a", "b"}


def test_every_reference_fault_is_listed_with_its_remedy():
    state, _ = fold_all([make_first_edit()])
    entry = {
        "kind": "model",
        "owner": "nobody",
        "service_class": "chatt",
        "versions": {"2": {}},
    }
    goal = {"entry": "gone", "data_centre": "plateau", "instance_class": "a"}
    move = {"entry": "guide", "to_version": "9", "deadline_s": 1}
    edit = make_edit(
        "x",
        Change(section="entries", name="guide", item=entry),
        Change(section="fleet", name="f", item={**goal, "n_least": 9}),
        Change(section="moves", name="m", item=move),
        base=0,
    )
    after, verdict = state_machine.evaluate_edit(state, edit, 1)
    assert verdict.status == "invalid" and after is state
    assert {fault.path for fault in verdict.faults} == {
        "entries.guide.owner",
        "entries.guide.service_class",
        "entries.guide.version",
        "endpoints.guide-1.version",
        "moves.m.to_version",
        "fleet.f.entry",
        "fleet.f.n_least",
    }
    remedies = {fault.path: fault.remedy for fault in verdict.faults}
    assert remedies["entries.guide.service_class"] == "Did you mean 'chat'?"


def test_content_and_removals_are_bounded(monkeypatch):
    monkeypatch.setattr(state_machine, "MAX_REMOVED", 3)
    monkeypatch.setattr(state_machine, "MAX_MARKS", 4)
    edits = []
    for index in range(0, 20, 2):
        edits.append(make_edit(f"s{index}", set_class(f"c{index}"), base=index - 1))
        removal = Change(section="classes", name=f"c{index}")
        edits.append(make_edit(f"r{index}", removal, base=index))
    state, verdicts = fold_all(edits)
    assert all(verdict.status == "applied" for verdict in verdicts)
    assert (len(state.touched), len(state.marks)) == (3, 4)
    assert state.n_bytes == 0
    # The removal of c0 was dropped, so an edit of c0 based on a revision before the
    # dropped removals has to conflict: whether it came after the removal is unknown.
    stale = make_edit("late", set_class("c0"), base=5)
    assert state_machine.evaluate_edit(state, stale, 20)[1].status == "conflict"
    monkeypatch.setattr(state_machine, "CONTENT_LIMIT_BYTES", 10)
    large = make_edit("large", set_class("c0"), base=19)
    assert (
        state_machine.evaluate_edit(state, large, 20)[1].faults[0].expected
        == "at most 10"
    )


def test_unreadable_records_are_skipped_by_every_reader():
    deep = "[" * 40 + "]" * 40
    change = '{"section":"classes","name":"a","item":{"x":%s}}'
    edit = '{"edit":{"edit_id":"1","author":"a","base_revision":-1,"changes":[%s]}}'
    for data in (
        "",
        "{}",
        "not json",
        '{"edit":{"edit_id":7}}',
        '{"future":{"kind":1}}',
        edit % (change % deep),
        edit % (change % ("[" * 5000 + "]" * 5000)),
        edit % (change % ("9" * 400)),
        '"\\ud800"',
    ):
        assert decode_record(data) is None, data[:80]
    good = edit % (change % "1")
    assert decode_record(good).edit.changes[0].name == "a"
    assert msgspec.json.decode(encode_edit(decode_record(good).edit))


def test_an_id_used_for_another_edit_is_a_fault():
    state, _ = fold_all([make_edit("1", set_class("a"))])
    _, verdict = state_machine.evaluate_edit(state, make_edit("1", set_class("b")), 1)
    assert verdict.status == "duplicate" and verdict.faults[0].path == "edit_id"
    _, verdict = state_machine.evaluate_edit(state, make_edit("1", set_class("a")), 1)
    assert (verdict.revision, verdict.faults) == (0, ())
