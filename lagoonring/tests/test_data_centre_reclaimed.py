from __future__ import annotations

import asyncio
import time

from lagoonring.platform.cloud import Notice
from lagoonring.standins.cloud_standin import CloudStandin
from lagoonring.tests.builders.barriers import (
    hold_all,
    release_all,
    wait_for_members,
    wait_for_tokens,
    wait_until,
)
from lagoonring.tests.builders.callers import Caller, ask, attach
from lagoonring.tests.builders.deployments import HOST, run_deployment

N_TOKENS = 12
HOLD_AT_TOKEN = 5
N_CALLERS = 8
NOTICE_S = 3.0
LONG_TIMEOUT_S = 60.0
PLATEAU_ENTRIES = (0, 3)


async def test_every_accepted_request_completes_when_a_data_centre_is_reclaimed():
    """Two entry instances and the engine of a data centre get notices together."""
    cloud = CloudStandin(host=HOST, port=0)
    await cloud.start()
    entry = {
        "cloud_url": cloud.url,
        "fleet": {"notice_poll_s": 0.05},
        "requests": {
            "handover_margin_s": NOTICE_S,
            "between_tokens_timeout_s": LONG_TIMEOUT_S,
            "first_token_timeout_s": LONG_TIMEOUT_S,
        },
    }
    engine_endpoints = {
        f"guide-{index}": {
            "entry": "guide",
            "data_centre": name,
            "instance": f"machine-{index}",
        }
        for index, name in enumerate(("plateau", "almadies", "rufisque"))
    }
    async with run_deployment(
        n_entries=6, n_engines=3, entry=entry, sections={"endpoints": engine_endpoints}
    ) as deployment:
        await wait_for_members(deployment)
        hold_all(deployment, HOLD_AT_TOKEN)
        callers = [Caller() for _ in range(N_CALLERS)]
        asking = [
            asyncio.create_task(
                ask(
                    deployment,
                    f"question {index}",
                    N_TOKENS,
                    entry=PLATEAU_ENTRIES[index % 2],
                    caller=caller,
                )
            )
            for index, caller in enumerate(callers)
        ]
        for caller in callers:
            await wait_for_tokens(caller, HOLD_AT_TOKEN)
        for name in ("machine-0", "entry-0", "entry-3"):
            cloud.model.notices.append(_notice(name))
        leaving = [deployment.entries[index] for index in PLATEAU_ENTRIES]
        for app in leaving:
            await wait_until(app.leaving.is_set)
        await asyncio.gather(*(app.drain(app.grace_s) for app in leaving))
        await asyncio.gather(*asking)
        for app in leaving:
            await app.stop()
        plateau_engine = deployment.engines["guide-0"]
        n_before = plateau_engine.batch.counts.n_requests
        release_all(deployment)
        for index, caller in enumerate(callers):
            if not caller.is_ended:
                await attach(deployment, caller, entry=1 + index % 2)
            caller.assert_whole(f"question {index}", N_TOKENS)
        assert plateau_engine.batch.counts.n_requests == n_before
    await cloud.stop()


def _notice(instance: str) -> Notice:
    return Notice(
        seq=0,
        instance=instance,
        data_centre="plateau",
        reclaim_s=time.time() + NOTICE_S,
    )
