"""The read timeout with slow reads, slow consumers and cancellations."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.endpoints.read_timeout import ReadTimeout

TIMEOUT_S = 5.0


async def read_within(timeouts_s):
    """Start one read per timeout; the last read never ends."""
    read_timeout = ReadTimeout()
    try:
        for timeout_s in timeouts_s[:-1]:
            read_timeout.start_read(timeout_s)
            await asyncio.sleep(0)
            read_timeout.end_read()
        read_timeout.start_read(timeouts_s[-1])
        await asyncio.get_running_loop().create_future()
    except asyncio.CancelledError:
        if read_timeout.consume_cancellation():
            return "expired"
        raise
    finally:
        read_timeout.close()


@pytest.mark.parametrize("timeouts_s", [[0.01], [60, 0.01], [0.01, 0.02]])
async def test_timeout_of_the_current_read_applies(timeouts_s):
    async with asyncio.timeout(TIMEOUT_S):
        assert await read_within(timeouts_s) == "expired"


async def test_time_between_reads_does_not_count():
    read_timeout = ReadTimeout()
    read_timeout.start_read(0.0)
    read_timeout.end_read()
    fired = asyncio.Event()
    asyncio.get_running_loop().call_later(0.02, fired.set)
    await fired.wait()
    assert read_timeout.timer is None
    assert not read_timeout.is_expired
    read_timeout.close()


async def test_other_cancellation_propagates():
    task = asyncio.create_task(read_within([60]))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_other_cancellation_takes_precedence_over_the_timeout():
    read_timeout = ReadTimeout()

    async def read():
        read_timeout.start_read(60)
        try:
            await asyncio.get_running_loop().create_future()
        except asyncio.CancelledError:
            return read_timeout.consume_cancellation()

    task = asyncio.create_task(read())
    await asyncio.sleep(0)
    read_timeout.due_s = 0.0
    read_timeout._on_timer()
    task.cancel()
    assert await task is False
