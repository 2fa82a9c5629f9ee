"""Requests that crash endpoints by a part of their prompts, at many instances."""

from __future__ import annotations

import pytest

from lagoonring.tests.builders.crashes import CULPRIT, STABLE_S, CrashingService

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
