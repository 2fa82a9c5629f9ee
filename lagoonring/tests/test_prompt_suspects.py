"""Requests that crash endpoints by a part of their prompts, at many instances."""

from __future__ import annotations

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.serving.blocks import PROMPT_PARTS, BlocksDuty
from lagoonring.serving.duties import DutyLedger
from lagoonring.serving.prompt_suspects import (
    BLOCK_S,
    MAX_BLOCKED,
    MAX_SHARED_CUTS,
    MAX_SOUND,
    MAX_SUSPECTS,
    Cut,
    PromptSuspects,
    count_rounds,
    find_culprits,
)
from lagoonring.tests.builders.crashes import CULPRIT, STABLE_S, CrashingService
from lagoonring.tests.builders.version_moves import FakeLease

USUAL_S = 4.0
SOUND = ("first", "second", "s1")


def check_contained(service, *, part=CULPRIT, learned_s=None):
    """Check that few requests with the part reach endpoints once it must be known."""
    learned_s = service.learned_s() if learned_s is None else learned_s
    assert len(service.bad_arrivals_since(learned_s, part)) <= 3
    assert service.share_served(learned_s + STABLE_S) > 0.9


@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize("bad_per_s", [0.5, 2.0, 6.0])
async def test_requests_that_share_a_crashing_prompt_part_are_refused_everywhere(
    position, bad_per_s
):
    bad_parts = (*SOUND[:position], CULPRIT, *SOUND[position + 1 :])
    service = CrashingService()
    await service.play(USUAL_S)
    await service.play(24.0, bad_per_s=bad_per_s, bad_parts=bad_parts)
    check_contained(service)


async def test_many_instances_that_see_one_crash_each_learn_the_part_together():
    service = CrashingService(n_each=12)
    await service.play(USUAL_S)
    names = iter(list(service.exchanges) * 9)
    await service.play(16.0, bad_per_s=3.0, instances=lambda: next(names))
    check_contained(service)


async def test_a_data_centre_that_was_cut_off_learns_the_part_by_itself():
    service = CrashingService()
    await service.play(USUAL_S)
    west = service.addresses("west")
    others = [*service.addresses("east"), *service.addresses("north")]
    service.network.isolate(west, others)
    await service.play(14.0, bad_per_s=4.0)
    check_contained(service)
    service.network.blocked.clear()
    await service.play(6.0, bad_per_s=4.0)
    check_contained(service)


@pytest.mark.parametrize("restarted", ["east-1", "all but one"])
async def test_an_instance_that_starts_learns_what_the_others_know(restarted):
    service = CrashingService()
    await service.play(USUAL_S)
    await service.play(8.0, bad_per_s=4.0)
    names = list(service.exchanges)[1:] if restarted != "east-1" else [restarted]
    for name in names:
        service.start(name)
    await service.play(1.0)
    restarted_s = service.clock.monotonic()
    await service.play(8.0, bad_per_s=4.0)
    assert not service.bad_arrivals_since(restarted_s)


async def test_a_request_is_not_repeated_once_its_parts_are_in_doubt():
    service = CrashingService()
    await service.play(USUAL_S)
    await service.play(10.0, bad_per_s=4.0)
    repeats = [one for one in service.bad_arrivals_since(0.0) if one.is_repeat]
    assert len(repeats) <= 2


@pytest.mark.parametrize("bad_per_s", [1.0, 3.0])
async def test_a_part_that_answered_well_and_then_turns_bad_is_refused(bad_per_s):
    is_bad = False
    service = CrashingService(
        crashes=lambda parts, record: is_bad and CULPRIT in parts[:-1]
    )
    await service.play(USUAL_S, bad_per_s=bad_per_s)
    is_bad = True
    await service.play(24.0, bad_per_s=bad_per_s)
    check_contained(service)


async def test_two_parts_at_fault_are_both_refused():
    service = CrashingService(
        crashes=lambda parts, record: bool({"bad0", "bad1"} & set(parts[:-1]))
    )
    await service.play(USUAL_S)
    await service.play(10.0, bad_per_s=4.0, bad_parts=("first", "bad0", "s1"))
    both = iter([("first", "bad1", "s2"), ("first", "bad0", "s1")] * 200)
    for _ in range(100):
        await service.play(0.15, bad_per_s=4.0, bad_parts=next(both))
    check_contained(service, part="bad0")
    assert len(service.bad_arrivals_since(0.0, "bad1")) <= 8
    assert service.share_served(service.clock.monotonic() - 4.0) > 0.9


@pytest.mark.parametrize("usual_s", [0.0, USUAL_S])
@pytest.mark.parametrize("share", [0.5, 1.0])
async def test_nothing_is_refused_as_endpoints_crash_by_themselves(usual_s, share):
    service = CrashingService()
    await service.play(usual_s)
    for _ in range(4):
        await service.play(1.0)
        for endpoint in service.names[: round(share * len(service.names))]:
            service.crash(endpoint)
        await service.play(4.0)
    refused = [one for one in service.outcomes if is_blocked(one)]
    assert not refused
    now_s = service.clock.monotonic()
    assert not any(p.prompt_suspects.ages_of_blocked(now_s) for p in service.parts())


async def test_a_version_that_crashes_on_every_prompt_gets_no_part_refused():
    service = CrashingService(crashes=lambda parts, record: record.endpoint == "e0")
    await service.play(30.0)
    assert len(service.crash_s) >= 4
    assert not [one for one in service.outcomes if is_blocked(one)]


async def test_a_stream_that_a_caller_resumes_carries_the_same_parts():
    service = CrashingService()
    await service.play(USUAL_S)
    await service.play(8.0, bad_per_s=4.0)
    n_before = len(service.arrivals)
    service.call("east-0", "first", CULPRIT, resume_after=2)
    await service.play(1.0, sound_per_s=0.0)
    assert len(service.arrivals) == n_before
    (resumed,) = [one for one in service.outcomes if len(one.parts) == 3]
    assert is_blocked(resumed)


def is_blocked(outcome):
    error = outcome.sink.error
    return error is not None and error.code == "crashing_request"


# Decisions


def make_cuts(*times):
    return {f"e{n}": Cut(sent_s, cut_s) for n, (sent_s, cut_s) in enumerate(times)}


IN_TURN = ((0.0, 0.2), (0.3, 0.5), (0.6, 0.8), (0.9, 1.1), (1.2, 1.4))


@pytest.mark.parametrize(
    ("times", "expected"),
    [
        (IN_TURN[:3], 3),
        (((0.0, 1.0), (0.1, 1.0), (0.2, 1.1), (0.3, 1.2)), 1),
        (((0.0, 1.0), (0.9, 1.5), (1.1, 2.0)), 2),
        ((), 0),
    ],
)
def test_crashes_of_requests_sent_before_the_last_crash_count_once(times, expected):
    assert count_rounds(make_cuts(*times).values()) == expected


@pytest.mark.parametrize(
    ("suspects", "answered_s", "expected"),
    [
        ({"a": IN_TURN[:3]}, 5.0, {"a"}),
        ({"a": IN_TURN[:2]}, 5.0, set()),
        ({"a": IN_TURN[:3]}, 0.1, set()),
        ({"a": IN_TURN[:3], "b": IN_TURN[:3]}, 5.0, set()),
        ({"a": IN_TURN[:4], "b": IN_TURN[:3]}, 5.0, {"a"}),
        ({"a": IN_TURN, "b": IN_TURN}, 5.0, {"a", "b"}),
    ],
)
def test_a_part_is_at_fault_if_it_explains_most_crashes(suspects, answered_s, expected):
    made = {part: make_cuts(*times) for part, times in suspects.items()}
    assert find_culprits(made, answered_s) == expected


def block(suspects, part="a", start_s=0.0):
    suspects.record_answer(["other"], start_s + 4.0)
    for number, (sent_s, cut_s) in enumerate(IN_TURN[:3]):
        suspects.record_crash(
            [part], f"e{number}", sent_s=start_s + sent_s, now_s=start_s + cut_s
        )


def test_a_part_that_was_blocked_wrongly_is_released_by_an_answer():
    suspects, peer = PromptSuspects(), PromptSuspects()
    block(suspects)
    peer.update_peer(suspects.rows(1.0), 1.0, forward=True)
    assert peer.find_blocked(["x", "a"], 1.0) == "a"
    peer.record_answer(["a"], 2.0)
    peer.update_peer(suspects.rows(2.1), 2.1, forward=True)
    suspects.update_peer(peer.rows(2.2), 2.2, forward=False)
    assert suspects.find_blocked(["a"], 2.2) is peer.find_blocked(["a"], 2.2) is None


def test_a_part_that_shared_its_crashes_is_released_once_they_are_explained():
    suspects = PromptSuspects()
    suspects.record_answer(["other"], 9.0)
    for number, (sent_s, cut_s) in enumerate(IN_TURN):
        suspects.record_crash(["a", "b"], f"e{number}", sent_s=sent_s, now_s=cut_s)
    assert suspects.ages_of_blocked(2.0).keys() == {"a", "b"}
    suspects.record_crash(["b"], "e9", sent_s=1.5, now_s=1.7)
    assert suspects.ages_of_blocked(2.0).keys() == {"b"}


def test_a_block_ends():
    suspects = PromptSuspects()
    block(suspects)
    assert suspects.find_blocked(["a"], BLOCK_S) == "a"
    assert suspects.find_blocked(["a"], BLOCK_S + 1.0) is None
    assert not suspects.ages_of_blocked(BLOCK_S + 1.0)


async def test_blocks_outlive_all_instances():
    ledger, clock = DutyLedger(), ManualClock()
    lives = [PromptSuspects(), PromptSuspects()]
    block(lives[0], start_s=clock.monotonic() - 2.0)
    for suspects in lives:
        duty = BlocksDuty(PROMPT_PARTS, ledger, suspects, clock, true_time=clock.time)
        lease = FakeLease(ledger, fencing_number=len(lives))
        for _ in range(4):
            await duty.step(lease)
            await clock.advance(0.5)
        assert lease.n_appends <= 1
    assert lives[1].find_blocked(["a"], clock.monotonic()) == "a"


def test_the_likeliest_culprits_are_shared_first():
    suspects = PromptSuspects()
    for number, (sent_s, cut_s) in enumerate(IN_TURN):
        suspects.record_crash(["a"], f"e{number}", sent_s=sent_s, now_s=cut_s)
    for number in range(3 * MAX_SHARED_CUTS):
        suspects.record_crash([f"part{number}"], "e9", sent_s=1.0, now_s=1.5)
    cuts, _, _ = suspects.rows(1.6)
    assert len(cuts["a"]) == len(IN_TURN)


def test_what_is_kept_and_sent_is_bounded():
    suspects = PromptSuspects()
    for number in range(3 * MAX_SOUND):
        suspects.record_answer([f"sound{number}"], 1.0)
        suspects.record_crash([f"part{number}"], "e1", sent_s=1.0, now_s=2.0)
    suspects.restore({f"old{number}": 1.0 for number in range(3 * MAX_BLOCKED)}, 2.0)
    assert len(suspects.sound) <= MAX_SOUND
    assert len(suspects.suspects) <= MAX_SUSPECTS
    assert len(suspects.blocked) <= MAX_BLOCKED
    assert sum(map(len, suspects.rows(2.0))) <= 100
