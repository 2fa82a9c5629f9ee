from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonring.moves.decide import Facts, decide, hold_s, start_move
from lagoonring.moves.ledger import MoveLedger
from lagoonring.moves.options import MovesOptions
from lagoonring.moves.schedule import (
    DeadlineTooNearError,
    least_time_s,
    plan_steps,
    ramp_hold_ratio,
    reserve_s,
    share_at,
)
from lagoonring.moves.split import is_on_new
from lagoonring.tests.builders.moves import make_move, make_payload, make_record

OPTIONS = MovesOptions()


@given(st.integers(), st.floats(0, 1), st.floats(0, 1))
def test_a_request_on_the_new_version_stays_there_when_the_share_grows(
    number, one_share, other_share
):
    low, high = sorted((one_share, other_share))
    request = f"r{number}"
    assert is_on_new("guide", "m", request, high) or not is_on_new(
        "guide", "m", request, low
    )
    assert not is_on_new("guide", "m", request, 0.0)
    assert is_on_new("guide", "m", request, 1.0)


@pytest.mark.parametrize("share", [0.02, 0.1, 0.5])
def test_split_matches_the_share_and_differs_by_move(share):
    n_all = 20_000
    first = [is_on_new("guide", "m1", f"r{i}", share) for i in range(n_all)]
    second = [is_on_new("guide", "m2", f"r{i}", share) for i in range(n_all)]
    assert sum(first) / n_all == pytest.approx(share, rel=0.15)
    both = sum(a and b for a, b in zip(first, second, strict=True))
    assert both / n_all == pytest.approx(share * share, abs=0.01)


@given(st.floats(0.5, 100_000))
def test_a_plan_ends_in_time_and_never_exceeds_its_exposure(time_left_s):
    try:
        steps = plan_steps(time_left_s, OPTIONS)
    except DeadlineTooNearError:
        assert time_left_s < least_time_s(OPTIONS) + 1e-6
        return
    assert sum(step.hold_s for step in steps) <= time_left_s - reserve_s(OPTIONS) + 1e-6
    assert steps[0].share <= 0.05
    n_new = n_all = 0.0
    for step in steps:
        n_new += step.share * step.hold_s
        n_all += step.hold_s
        assert n_new <= OPTIONS.exposure * n_all * (1 + 1e-9)
    assert share_at(steps, 0) == OPTIONS.trial_share
    assert share_at(steps, n_all + 1) is None


def test_a_move_goes_through_all_phases_and_ends_before_its_deadline():
    record = make_record(phase="loading", deadline_s=2_000.0)
    facts = Facts(now_s=1_000.0, entry_version="1", is_next_loaded=True)
    entered = []
    while not record.is_final:
        following = decide(record, facts, OPTIONS)
        if following != record:
            entered.append((following.phase, following.share))
        if following.phase == "finishing":
            facts = attrs.evolve(facts, entry_version="2")
        record = following
        facts = attrs.evolve(facts, now_s=facts.now_s + 0.5)
    shares = (OPTIONS.trial_share, *OPTIONS.ramp)
    assert [share for _, share in entered] == [*shares, OPTIONS.ramp[-1], 1.0]
    assert entered[-1][0] == "finished"
    assert record.since_s < record.deadline_s


@pytest.mark.parametrize("phase", ["loading", "trial", "ramp", "finishing"])
@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"finding": "failure on all routes"}, "failure"),
        ({"is_ordered": False}, "cancelled"),
        ({"entry_version": "3"}, "meanwhile"),
        ({"now_s": 1_999.0}, "not finished in time"),
    ],
)
def test_every_phase_is_undone_for_every_reason(phase, change, reason):
    record = make_record(
        phase=phase, deadline_s=2_000.0, since_s=1_000.0, trial_started_s=1_000.0
    )
    facts = attrs.evolve(Facts(now_s=1_010.0, entry_version="1"), **change)
    undoing = decide(record, facts, OPTIONS)
    assert undoing.phase == "undoing"
    assert undoing.share == 0.0
    assert reason in undoing.reason
    assert decide(undoing, facts, OPTIONS).phase == "undone"


def test_an_undo_after_an_edit_waits_until_the_edit_is_fenced_off():
    record = make_record(phase="undoing", may_be_edited=True)
    facts = Facts(now_s=0.0, entry_version="1")
    assert decide(record, facts, OPTIONS) == record
    in_force = attrs.evolve(facts, is_fenced=True, entry_version="2")
    assert decide(record, in_force, OPTIONS) == record
    fenced = attrs.evolve(facts, is_fenced=True)
    assert decide(record, fenced, OPTIONS).phase == "undone"


def test_trial_lasts_until_it_has_enough_results_but_ends_in_time():
    record = make_record(phase="trial", deadline_s=10_000.0)
    assert hold_s(record, OPTIONS.n_trial, OPTIONS) == OPTIONS.trial_s
    longest_s = hold_s(record, OPTIONS.n_trial - 1, OPTIONS)
    ramp_s = len(OPTIONS.ramp) * longest_s * ramp_hold_ratio(OPTIONS)
    used_s = longest_s + ramp_s + reserve_s(OPTIONS) + OPTIONS.slack_s
    assert used_s == pytest.approx(10_000)


def test_lost_time_shortens_the_remaining_steps():
    record = make_record(phase="ramp", step=1, trial_s=900.0, deadline_s=1_000.0)
    planned_s = hold_s(record, 0, OPTIONS)
    assert planned_s == 900 * ramp_hold_ratio(OPTIONS)
    late = attrs.evolve(record, since_s=1_000.0 - reserve_s(OPTIONS) - planned_s)
    assert hold_s(late, 0, OPTIONS) == pytest.approx(planned_s / len(OPTIONS.ramp))


@pytest.mark.parametrize(
    ("move", "entry_version", "other", "reason"),
    [
        (make_move(to_version="1"), "1", None, "already"),
        (make_move(cancelled=True), "1", None, "cancelled"),
        (make_move(from_version="0"), "1", None, "has version 1"),
        (make_move(deadline_s=1_005.0), "1", None, "left"),
        (make_move(), "", None, "no entry"),
        (make_move(), "1", make_record(name="first"), "first of entry guide"),
    ],
)
def test_impossible_move_is_refused(move, entry_version, other, reason):
    record = start_move(
        "key",
        "m",
        move,
        entry_version=entry_version,
        now_s=1_000.0,
        other=other,
        options=OPTIONS,
    )
    assert record.phase == "refused"
    assert reason in record.reason


def test_ledger_keeps_the_first_of_equal_records_and_allows_no_reversal():
    applied = []
    ledger = MoveLedger(lambda offset, record: applied.append((offset, record.phase)))
    for offset, (phase, step, since_s) in enumerate(
        [
            ("trial", 0, 1.0),
            ("trial", 0, 2.0),
            ("undoing", 0, 3.0),
            ("ramp", 1, 4.0),
            ("undone", 0, 5.0),
            ("finished", 0, 6.0),
            ("undone", 1, 7.0),
        ]
    ):
        record = make_record(phase=phase, step=step, since_s=since_s)
        ledger.on_data(offset, 0.0, make_payload(record))
    assert applied == [(0, "trial"), (2, "undoing"), (4, "undone"), (6, "undone")]
    restored = MoveLedger(lambda offset, record: None)
    restored.restore([make_payload(part) for part in ledger.get_parts()])
    assert restored.stored == ledger.stored
