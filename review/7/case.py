"""Case: a completed roll-out is rolled back after all processes were killed."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING

from review.shared_2.cases import run_case
from review.shared_2.deployment import CouldNotRunError
from review.shared_2.standins import Rollout, Server, make_config, make_route

if TYPE_CHECKING:
    from review.shared_2.cases import Stage

SERVICE = "desk"
DURATION_S = 16.0
PER_S = 90.0
LOSES_FROM_S = 11.5
LATE_S = 5.5
KILLED_S = 20.0
DOWN_S = 1.2
RECOVER_S = 12.0
WATCHED_S = 10.0
LEAST_SHARE = 0.25


async def play(stage: Stage) -> bool:
    """Return whether RECOVER was broken."""
    store, record, deployment = stage.store, stage.record, stage.deployment
    route = make_route("pay", SERVICE, kind="unsafe", timeout_ms=2000, slo_ms=300)
    config = make_config(1, [route], [{"name": SERVICE, "maxConns": 110}])
    store.write_operator("config", config)
    old, new = (
        [
            Server(
                f"v{version}-{zone}",
                service=SERVICE,
                zone=zone,
                version=version,
                store=store,
                record=record,
            )
            for zone in deployment.zones
        ]
        for version in ("1", "2")
    )
    stage.servers += old + new
    for server in old:
        await server.start()
    await deployment.start(stage.session)
    requests = stage.requesters.press(
        stage.urls,
        "/pay/1",
        per_s=PER_S,
        until_s=time.monotonic() + 100,
        deadline_ms=4000,
    )
    stage.spawn(requests)
    await asyncio.sleep(8)
    rollout = Rollout(store, record, old, new, duration_s=DURATION_S)
    stage.spawn(rollout.follow())
    await rollout.order()
    await asyncio.sleep(rollout.ordered_s + LOSES_FROM_S - time.monotonic())
    if stage.is_disturbed:
        # One write of the duty holder: what it grants the new version.
        store.late_s = LATE_S
        store.picks = lambda topic, body: (
            topic == "lagoonring.duties" and b'"moves"' in body
        )
    await asyncio.sleep(rollout.ordered_s + KILLED_S - time.monotonic())
    if rollout.states[-1:] != ["completed"]:
        raise CouldNotRunError(f"the roll-out is {rollout.states}, not completed")
    killed_s = time.monotonic()
    await kill_all(stage)
    back_s = time.monotonic()
    await asyncio.sleep(RECOVER_S + WATCHED_S)
    from_s = back_s + RECOVER_S
    before = stage.requesters.count(rollout.ordered_s, killed_s)
    after = stage.requesters.count(from_s, from_s + WATCHED_S - 1)
    record.add("served before the fault", served=before[0], sent=before[1])
    record.add("served after recoverS", served=after[0], sent=after[1])
    print(f"states {rollout.states}, served before {before}, after {after}")
    return after[0] < LEAST_SHARE * after[1] and before[0] >= LEAST_SHARE * before[1]


async def kill_all(stage: Stage) -> None:
    """Kill all processes, and start them again."""
    deployment = stage.deployment
    for instance in deployment.instances:
        deployment.signal(instance, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for instance in deployment.instances:
        deployment.launch(instance)
    for instance in deployment.instances:
        await deployment.wait_ready(stage.session, instance)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
