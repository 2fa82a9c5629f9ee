from __future__ import annotations

import pytest

from lagoonring.tests.builders.crashes import STABLE_S
from lagoonring.tests.builders.lost_paths import LostPaths

MIN_RATIO = 2 / 3
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50

two_of_three = [f"{centre}-{n}" for centre in ("east", "west", "north") for n in (0, 1)]
whole_centre = ["east-0", "east-1", "east-2"]


@pytest.mark.parametrize("how", ["refuse", "hang", "live"])
@pytest.mark.parametrize(
    ("n_each", "cut"),
    [
        (3, two_of_three),
        (3, whole_centre),
        (20, [f"east-{n}" for n in range(20)]),
    ],
)
async def test_instances_that_lost_their_connections_serve_through_others(
    n_each, cut, how
):
    service = LostPaths(n_each=n_each)
    others = [name for name in service.exchanges if name not in cut]
    await service.play(2.0)
    service.cut(cut, how)
    await service.play(STABLE_S)
    since_s = service.clock.monotonic()
    await service.play(8.0, sound_per_s=60.0)
    await service.play(4.0, sound_per_s=0.0)
    n_answered, n_sent = service.count_answered(cut, since_s)
    n_others, n_sent_others = service.count_answered(others, since_s)
    assert n_answered / n_sent >= MIN_RATIO * n_others / n_sent_others
    assert n_sent - n_answered <= MAX_FAILED + MAX_FAILED_SHARE * n_sent


@pytest.mark.parametrize("n_each", [3, 20])
async def test_lost_paths_that_flap_mislead_nobody_and_are_used_again(n_each):
    service = LostPaths(n_each=n_each)
    cut = [f"east-{n}" for n in range(n_each)] + ["west-0"]
    others = [name for name in service.exchanges if name not in cut]
    await service.play(2.0)
    for _ in range(4):
        service.cut(cut, "hang")
        await service.play(4.0, sound_per_s=60.0)
        service.heal()
        await service.play(2.0, sound_per_s=60.0)
        n_relayed = service.n_relayed.total()
        since_s = service.clock.monotonic()
        await service.play(2.0, sound_per_s=60.0)
        assert service.n_relayed.total() == n_relayed
        n_answered, n_sent = service.count_answered(cut, since_s)
        assert n_answered == n_sent
    n_answered, n_sent = service.count_answered(others, 0.0)
    assert n_answered == n_sent
    for parts in service.parts():
        now_s = service.clock.monotonic()
        assert not parts.prompt_suspects.ages_of_blocked(now_s)
    # Those that lost their connections relay only until they know it.
    assert sum(service.n_relayed[name] for name in cut) <= n_relayed / 10
    assert max(service.n_relayed.values()) <= 2 * n_relayed / len(others) + 10


async def test_requests_are_rejected_at_once_if_nobody_reaches_the_service():
    service = LostPaths()
    await service.play(2.0)
    service.cut(list(service.exchanges), "hang")
    await service.play(STABLE_S)
    n_sends = sum(sender.n_sends for sender in service.senders.values())
    await service.play(4.0)
    assert sum(sender.n_sends for sender in service.senders.values()) == n_sends
    service.heal()
    await service.play(2.0)
    since_s = service.clock.monotonic()
    await service.play(4.0)
    await service.play(2.0, sound_per_s=0.0)
    n_answered, n_sent = service.count_answered(list(service.exchanges), since_s)
    assert n_answered == n_sent


async def test_endpoints_that_crash_are_not_taken_for_lost_paths():
    service = LostPaths()
    await service.play(2.0)
    for name in ("e0", "e1", "e2"):
        service.crash(name)
    await service.play(4.0, sound_per_s=60.0)
    assert not service.n_relayed
    assert not any(parts.connectivity.unreached for parts in service.parts())
