"""Moves of real processes, all of which are killed after a write was done late."""

from __future__ import annotations

import asyncio
import random

import pytest

from lagoonring.platform.store import STATUS_TOPIC
from lagoonring.serving.duties import STREAM
from lagoonring.serving.moves import MoveState
from lagoonring.soak.callers import Callers
from lagoonring.soak.deployment import SoakDeployment
from lagoonring.soak.faults import kill_all
from lagoonring.soak.guarantees import RECOVERY_S
from lagoonring.soak.moves import find_undone
from lagoonring.standins.platform_faults import PlatformFaults
from lagoonring.tests.builders.barriers import wait_until

DURATION_S = 8.0
LOADED_S = 4.0


@pytest.mark.processes
@pytest.mark.parametrize(
    ("topic", "text", "before_end_s", "is_log_forgotten"),
    [
        # A grant of the running move behind its completion.
        (STREAM, '"moves"', 4.5, False),
        # The report that it runs behind the one that it is completed, at a restart at
        # which the store has only kept the newest record of each key.
        (STATUS_TOPIC, "running", DURATION_S, True),
    ],
)
async def test_a_late_write_and_a_restart_of_all_do_not_undo_a_move(
    topic, text, before_end_s, is_log_forgotten, tmp_path
):
    # Guards against a completed move that is rolled back, so that nobody is served.
    deployment = SoakDeployment(tmp_path, seed=1, n_per_data_centre=1)
    await deployment.start()
    callers = Callers(deployment, random.Random(1))
    operator, platform = deployment.operator, deployment.platform
    try:
        await callers.start()
        async with asyncio.timeout(60):
            await wait_until(lambda: any(one.status == 200 for one in callers.requests))
            await asyncio.sleep(LOADED_S)
            await operator.order("desk", DURATION_S)
            await asyncio.sleep(DURATION_S - before_end_s)
            platform.faults = PlatformFaults(
                n_late_writes=1,
                late_s=before_end_s + 0.5,
                late_topic=topic,
                late_text=text,
            )
            await wait_until(lambda: operator.running is None)
            await wait_until(lambda: platform.faults.n_executed_late)
            await wait_until(lambda: len(operator.statuses) > 1)
        states = [status.state for status in operator.statuses]
        assert MoveState.COMPLETED in states
        kill_all(deployment)
        if is_log_forgotten:
            platform.forget(STREAM)
        await asyncio.sleep(RECOVERY_S + DURATION_S)
        n_before = len(callers.requests)
        await asyncio.sleep(LOADED_S)
    finally:
        await callers.stop()
        await deployment.stop()
    late = [one for one in callers.requests[n_before:] if one.path.startswith("/safe/")]
    n_good = sum(one.status == 200 for one in late)
    assert list(find_undone(operator.orders, operator.statuses, 0.0)) == []
    assert n_good > 0.25 * len(late)
