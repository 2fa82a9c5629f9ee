"""Decisions on requests to model engines, and what they rest on."""

from __future__ import annotations

import math

import attrs
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.serving.holding import (
    MAX_HELD_BYTES,
    N_PACE_SAMPLES,
    HeldRequest,
    Holding,
)
from lagoonring.serving.messages import Scope, Source
from lagoonring.serving.room import MAX_AGE_S, Room, add_asked, admitted_share, room_of
from lagoonring.serving.triage import Claim, Pressure, Turn, decide

URGENT = Claim(objective_s=0.5, left_s=3.0, own_s=0.1)
PATIENT = Claim(objective_s=2.0, left_s=15.0, own_s=0.3)
ALONE = Pressure(queue_s=0.0)
BEHIND_URGENT = Pressure(queue_s=0.0, urgent_share=0.5, urgent_objective_s=0.5)


def turn_of(claim, pressure, **changes):
    return decide(claim, attrs.evolve(pressure, **changes)).turn


@pytest.mark.parametrize("claim", [URGENT, PATIENT])
@pytest.mark.parametrize("pressure", [ALONE, BEHIND_URGENT])
def test_everything_is_sent_while_queues_are_short(claim, pressure):
    assert turn_of(claim, pressure, queue_s=0.04) is Turn.SEND


def test_urgent_requests_are_sent_while_patient_ones_are_held():
    assert turn_of(URGENT, ALONE, queue_s=0.3) is Turn.SEND
    assert turn_of(PATIENT, BEHIND_URGENT, queue_s=0.3) is Turn.HOLD


def test_patient_requests_are_sent_beside_few_urgent_ones():
    assert turn_of(PATIENT, BEHIND_URGENT, queue_s=0.5, urgent_share=0.02) is Turn.SEND


def test_a_request_that_would_be_late_is_refused_at_once():
    assert turn_of(URGENT, ALONE, queue_s=0.5) is Turn.REFUSE


def test_a_held_request_is_refused_once_it_would_be_late():
    late = Claim(objective_s=2.0, left_s=13.0, own_s=0.3, waited_s=1.7)
    assert turn_of(late, BEHIND_URGENT, queue_s=0.3) is Turn.REFUSE


def test_a_request_behind_too_many_held_ones_is_refused_at_once():
    behind = Claim(objective_s=2.0, left_s=15.0, own_s=0.3, ahead_s=2.0)
    assert turn_of(behind, BEHIND_URGENT, queue_s=0.3) is Turn.REFUSE


def test_an_organisation_over_its_share_yields_to_the_others():
    over = Claim(objective_s=0.5, left_s=3.0, own_s=0.1, is_over_share=True)
    assert turn_of(URGENT, ALONE, queue_s=0.2) is Turn.SEND
    assert turn_of(over, ALONE, queue_s=0.2) is Turn.HOLD


def test_requests_are_not_refused_for_their_size():
    large = Claim(objective_s=0.5, left_s=3.0, own_s=1.2)
    assert turn_of(large, ALONE, queue_s=0.2) is Turn.SEND


@pytest.mark.parametrize(("lot", "turn"), [(0.1, Turn.SEND), (0.6, Turn.REFUSE)])
def test_the_share_that_room_is_left_for_is_sent(lot, turn):
    claim = Claim(objective_s=2.0, left_s=15.0, own_s=0.3, lot=lot)
    assert turn_of(claim, ALONE, queue_s=0.1, admitted_share=0.4) is turn


@pytest.mark.parametrize(
    ("level", "share"), [(0, 1.0), (1, 1.0), (2, 0.5), (3, 0.0), (4, 1.0)]
)
def test_room_reaches_down_the_levels(level, share):
    asked = {0: 4.0, 1: 2.0, 2: 4.0, 3: 9.0}
    assert admitted_share(asked, 8.0, level) == share


def test_long_queues_leave_less_room_and_short_ones_more():
    rooms = [room_of(10.0, queue_s=q, target_s=0.2) for q in (0.0, 0.2, 0.8, 9.0)]
    assert rooms == sorted(rooms, reverse=True)
    assert rooms[-1] == 0.0


def test_sums_that_no_longer_arrive_are_replaced_by_what_is_known_here():
    clock = ManualClock()
    room = Room(clock)
    room.record_arrival("desk", 0, 1.0)
    room.update_total({"desk": {0: 30.0}})
    assert room.total() == {"desk": {0: 30.0}}
    clock.now_s += MAX_AGE_S
    assert room.total()["desk"][0] < 1.0


def test_a_hub_adds_what_instances_and_other_data_centres_report():
    room = Room(ManualClock())
    room.update_peer(Source(Scope.INSTANCE, "a"), {"desk": {0: 1.0, 4: 2.0}})
    room.update_peer(Source(Scope.DATA_CENTRE, "west"), {"desk": {0: 5.0}})
    assert room.local() == {"desk": {0: 1.0, 4: 2.0}}
    assert room.total() == {"desk": {0: 6.0, 4: 2.0}}
    room.reset()
    assert room.total() == {}


def test_sums_of_nothing_are_empty():
    assert add_asked() == {}


def held(order, *, n_bytes=10):
    return HeldRequest("desk", order, n_bytes)


def test_held_requests_go_on_by_level_then_by_latest_beginning():
    holding = Holding(ManualClock())
    first, later, patient = held((0, 9.0)), held((0, 11.0)), held((4, 1.0))
    with holding.hold(patient), holding.hold(later), holding.hold(first):
        assert holding.is_first(first)
        assert holding.count_ahead("desk", (4, 0.5)) == 2
        assert holding.count_ahead("other", (4, 0.5)) == 0
    assert holding.n_held == holding.n_bytes == 0


def test_held_requests_are_bounded_in_bytes():
    holding = Holding(ManualClock())
    with holding.hold(held((0, 1.0), n_bytes=MAX_HELD_BYTES)):
        assert not holding.has_room(1)
    assert holding.has_room(1)


def test_the_wait_behind_held_requests_follows_from_the_pace_of_sending():
    clock = ManualClock()
    holding = Holding(clock)
    with holding.hold(held((0, 1.0))), holding.hold(held((0, 2.0))):
        assert holding.expected_wait_s("desk", (4, 0.0)) == 0.0
        for _ in range(N_PACE_SAMPLES):
            holding.record_sent("desk")
            clock.now_s += 0.1
        wait_s = holding.expected_wait_s("desk", (4, 0.0))
    assert math.isclose(wait_s, 0.2, rel_tol=0.01)
