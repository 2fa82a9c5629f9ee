"""Version moves in a soak: the operator, the check of their ends, seeds that move."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from lagoonring.platform.store import STATUS_TOPIC
from lagoonring.serving.moves import MoveState
from lagoonring.soak.endpoints import SoakEndpoint
from lagoonring.soak.faults import MOVE_KINDS
from lagoonring.soak.moves import Operator, Order, Status
from lagoonring.soak.run import run_soak
from lagoonring.standins.platform_standin import PlatformStandin
from lagoonring.tests.builders.barriers import wait_until
from lagoonring.tests.builders.soak_records import find_violations


def make_status(state, target="v2"):
    return Status(service="desk", target=target, state=MoveState(state))


@pytest.mark.parametrize(
    ("states", "is_broken"),
    [
        ([], True),
        (["running"], True),
        (["running", "completed"], False),
        (["running", "rolled_back", "rolled_back"], False),
        (["completed", "running"], True),
        (["completed", "running", "completed"], False),
        (["completed", "running", "rolled_back"], True),
    ],
)
def test_move_that_is_undone_or_not_ended_is_found(states, is_broken):
    orders = [Order(service="desk", target="v2", due_s=10.0)]
    statuses = [make_status(state) for state in states]
    found = find_violations(orders=orders, statuses=statuses, ended_s=20.0)
    assert found == ({"moved"} if is_broken else set())


def test_move_that_may_still_run_need_not_have_ended():
    orders = [Order(service="desk", target="v2", due_s=10.0)]
    assert not find_violations(orders=orders, ended_s=10.5)


def test_status_of_an_earlier_move_is_not_that_of_the_last_one():
    orders = [Order(service="desk", target=f"v{n}", due_s=10.0) for n in (2, 3)]
    statuses = [make_status("completed", f"v{n}") for n in (2, 3)]
    assert not find_violations(orders=orders, statuses=statuses)
    statuses.append(make_status("running", "v2"))
    assert find_violations(orders=orders, statuses=statuses) == {"moved"}


async def test_operator_stops_the_version_that_a_move_leaves():
    deployment = SimpleNamespace(
        platform=PlatformStandin(), runs=[], rng=random.Random(1), endpoints=[]
    )
    old = SoakEndpoint(
        "desk-east", "desk", "east", deployment.platform, [], deployment.rng
    )
    deployment.endpoints.append(old)
    await old.start()
    operator = Operator(deployment)
    following = asyncio.create_task(operator.follow())
    await operator.order("desk", 8.0)
    await operator.order("desk", 8.0)
    assert [one.target for one in operator.orders] == ["v2"]
    (new,) = deployment.endpoints[1:]
    content = {"state": "completed", "target": "v2"}
    deployment.platform.write(STATUS_TOPIC, "rollout/desk", content)
    await wait_until(lambda: operator.running is None)
    following.cancel()
    assert (old.is_serving("desk"), new.is_serving("desk")) == (False, True)
    await old.start()
    assert old.runner is None
    await new.retire()


@pytest.mark.processes
# Seeds whose faults include a move, late writes after its order, and kills after them.
@pytest.mark.parametrize("seed", [12, 215])
async def test_moves_keep_their_end_beside_late_writes_and_restarts(seed, tmp_path):
    # Guards against a move that is undone once all processes have been replaced.
    result = await run_soak(seed, 12.0, tmp_path, n_per_data_centre=1, kinds=MOVE_KINDS)
    assert "move" in {fault.kind for fault in result.faults}
    assert [item for item in result.violations if item.guarantee == "moved"] == []
