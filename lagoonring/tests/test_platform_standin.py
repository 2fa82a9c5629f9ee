"""The platform's stand-in: writes whose answers are lost, executed later."""

from __future__ import annotations

import aiohttp
import pytest

from lagoonring.platform.exchange import PlatformAnswerLostError
from lagoonring.platform.store import StoreClient
from lagoonring.standins.platform_faults import PlatformFaults
from lagoonring.standins.platform_standin import PlatformStandin
from lagoonring.tests.builders.barriers import wait_until

TOPIC = "keyed.test"


@pytest.fixture
async def platform():
    platform = PlatformStandin()
    await platform.start()
    yield platform
    await platform.stop()


@pytest.fixture
async def store(platform):
    async with aiohttp.ClientSession() as session:
        yield StoreClient(f"http://{platform.address}", session)


async def lose_write(platform, store, *, at=None):
    """Append a record, and return once its late execution is over."""
    faults = PlatformFaults(n_late_writes=1, late_s=0.3, late_topic=TOPIC)
    platform.faults = faults
    await store.append("other", [b"at once"])
    with pytest.raises(PlatformAnswerLostError):
        await store.append(TOPIC, [b"\1alate"], at=at)
    assert faults.n_late_writes == 0
    await store.append(TOPIC, [b"\1anewer"])
    await wait_until(lambda: faults.n_executed_late)
    return platform.topics[TOPIC].records


async def test_a_late_write_stands_behind_newer_ones(platform, store):
    assert await lose_write(platform, store) == [b"\1anewer", b"\1alate"]


async def test_a_late_write_is_not_done_if_its_condition_fails_by_then(platform, store):
    assert await lose_write(platform, store, at=0) == [b"\1anewer"]
