"""The time limit of reads against slow reads, slow consumers and cancels."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.endpoints.read_limit import ReadLimit

LIMIT_S = 5.0


async def read_within(timeouts_s):
    """Read with limits one after the other; the last read never ends."""
    limit = ReadLimit()
    try:
        for timeout_s in timeouts_s[:-1]:
            limit.begin(timeout_s)
            await asyncio.sleep(0)
            limit.end()
        limit.begin(timeouts_s[-1])
        await asyncio.get_running_loop().create_future()
    except asyncio.CancelledError:
        if limit.absorb():
            return "expired"
        raise
    finally:
        limit.close()


@pytest.mark.parametrize("timeouts_s", [[0.01], [60, 0.01], [0.01, 0.02]])
async def test_the_limit_of_the_present_read_counts(timeouts_s):
    async with asyncio.timeout(LIMIT_S):
        assert await read_within(timeouts_s) == "expired"


async def test_time_between_reads_does_not_count():
    limit = ReadLimit()
    limit.begin(0.0)
    limit.end()
    fired = asyncio.Event()
    asyncio.get_running_loop().call_later(0.02, fired.set)
    await fired.wait()
    assert limit.timer is None
    assert not limit.is_expired
    limit.close()


async def test_a_cancel_by_others_stays_one():
    task = asyncio.create_task(read_within([60]))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_a_cancel_by_others_wins_over_the_limit():
    limit = ReadLimit()

    async def read():
        limit.begin(60)
        try:
            await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            return limit.absorb()

    task = asyncio.create_task(read())
    await asyncio.sleep(0)
    limit.due_s = 0.0
    limit._fire()
    task.cancel()
    assert await task is False
