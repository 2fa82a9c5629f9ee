"""A move counts as in time if its end was first seen by the deadline."""

from __future__ import annotations

import pytest

from lagoonring.load.moves import MovesWatcher
from lagoonring.tests.builders.load import make_load_settings


@pytest.mark.parametrize(
    ("phases", "took_s", "is_in_time"),
    [
        (["ordered", "trial", "finished", "finished"], 20.0, True),
        (["ordered", "undoing", "undone", "undone"], 20.0, True),
        (["ordered", "trial", "ramp", "finished"], 30.0, False),
        (["ordered", "trial", "ramp", "ramp"], None, False),
    ],
)
def test_moves_are_timed(phases, took_s, is_in_time):
    watcher = MovesWatcher(make_load_settings(), None)
    for number, phase in enumerate(phases):
        row = {"name": "m", "phase": phase, "deadline_s": 125.0}
        watcher.update([row], 100.0 + 10.0 * number)
    (result,) = watcher.results()
    assert (result.phase, result.took_s, result.is_in_time) == (
        phases[-1],
        took_s,
        is_in_time,
    )


def test_moves_are_read_only_if_the_schedule_orders_some():
    order = {"at_s": 0, "name": "move", "url": "http://127.0.0.1:1/admin/moves"}
    for actions, token, is_needed in (
        ([order], "awa-token", True),
        ([order], "", False),
        ([], "awa-token", False),
    ):
        settings = make_load_settings(actions=actions, operator_token=token)
        assert MovesWatcher(settings, None).is_needed() is is_needed
