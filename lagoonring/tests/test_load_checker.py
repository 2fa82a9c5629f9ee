"""The checkers count each kind of token and booking fault exactly."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonring.load.checker import (
    BookingFaults,
    ObservedBooking,
    StreamChecker,
    TokenFaults,
    check_bookings,
)
from lagoonring.tests.builders.load import make_event, make_events, make_faulty_events

PROMPT = "user\x00when are the turtles fed\x01"
N_TOKENS = 20
TOKEN_CASES = st.sampled_from(["right", "right", "lost", "doubled", "foreign"])


@given(cases=st.lists(TOKEN_CASES, min_size=N_TOKENS, max_size=N_TOKENS))
def test_lost_doubled_and_foreign_tokens_are_counted(cases):
    sets = {
        case: {k for k, found in enumerate(cases) if found == case}
        for case in ("lost", "doubled", "foreign")
    }
    checker = StreamChecker(PROMPT, N_TOKENS)
    for event in make_faulty_events(PROMPT, N_TOKENS, **sets):
        checker.check_event(event)
    assert checker.is_ended
    n_foreign = len(sets["foreign"])
    assert checker.finish() == TokenFaults(
        n_lost=len(sets["lost"]) + n_foreign,
        n_doubled=len(sets["doubled"]),
        n_foreign=n_foreign,
    )


@pytest.mark.parametrize("n_repeated", [0, 1, 3])
def test_tokens_repeated_after_a_reattachment_are_doubled(n_repeated):
    events = make_events(PROMPT, N_TOKENS)
    checker = StreamChecker(PROMPT, N_TOKENS)
    for event in events[:8] + events[8 - n_repeated :]:
        checker.check_event(event)
    assert checker.finish() == TokenFaults(n_doubled=n_repeated)


def test_events_of_several_tokens_and_of_another_answer():
    checker = StreamChecker(PROMPT, 6)
    assert checker.check_event(make_event(PROMPT, 0, 4)) == 4
    assert checker.check_event(make_event("user\x00another\x01", 4, 6)) == 2
    assert checker.finish() == TokenFaults(n_lost=2, n_foreign=2)


def test_tokens_beyond_the_end_are_foreign():
    checker = StreamChecker(PROMPT, 3)
    for event in make_events(PROMPT, 5):
        checker.check_event(event)
    assert checker.finish() == TokenFaults(n_foreign=2)


@pytest.mark.parametrize(
    ("observed", "runs", "fault"),
    [
        (ObservedBooking(outcome="done"), [{"k": 1}], None),
        (ObservedBooking(outcome="done"), [{"k": 2}], "n_doubled"),
        (ObservedBooking(outcome="done"), [{"k": 1}, {"k": 1}], "n_doubled"),
        (ObservedBooking(outcome="done"), [{}], "n_done_but_not_run"),
        (
            ObservedBooking(outcome="done", runs={"a", "b"}),
            [{"k": 1}],
            "n_answers_differ",
        ),
        (ObservedBooking(outcome="not_run"), [{}], None),
        (ObservedBooking(outcome="not_run"), [{"k": 1}], "n_not_run_but_ran"),
        (
            ObservedBooking(outcome="not_run", had_unanswered_attempt=True),
            [{"k": 1}],
            None,
        ),
        (ObservedBooking(outcome="unknown"), [{"k": 1}], None),
        (ObservedBooking(outcome="unknown"), [{}], None),
        (ObservedBooking(outcome="unknown"), [{"k": 2}], "n_doubled"),
    ],
)
def test_bookings_are_compared_with_runs(observed, runs, fault):
    found = check_bookings({"k": observed}, runs)
    expected = {"n_keys": 1} | ({fault: 1} if fault else {})
    assert found == BookingFaults(**expected)
