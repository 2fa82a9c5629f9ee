"""The log client and service against the log server and its faults."""

from __future__ import annotations

import asyncio

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.platform import (
    LogAnswerLostError,
    LogTruncatedError,
    LogUnavailableError,
)
from lagoonring.platform.service import LogService
from lagoonring.standins.log_server import LogServer, RateLimit
from lagoonring.standins.log_standin import LogStandin
from lagoonring.standins.options import LogOptions
from lagoonring.tests.builders.standins import (
    running,
    running_log_client,
    set_faults,
)

STREAM = "claims/plateau"
LIMIT_S = 5.0


@pytest.fixture
async def server():
    async with running(LogServer(LogOptions(appends_per_s=0))) as server:
        yield server


@pytest.fixture
async def log(server):
    async with running_log_client(server.url) as log:
        yield log


async def test_records_come_back_in_order(log):
    offsets = [await log.append(STREAM, text) for text in ("é", "b", "c")]
    assert offsets == [0, 1, 2]
    page = await log.read(STREAM, 1, limit=1)
    assert [(record.offset, record.data) for record in page.records] == [(1, "b")]
    assert page.next_offset == 3


async def test_reader_waits_for_the_next_record(log, server):
    waiting = asyncio.create_task(log.read(STREAM, 0, wait_s=LIMIT_S))
    async with asyncio.timeout(LIMIT_S):
        while server.log.n_reads == 0:
            await asyncio.sleep(0)
    await log.append(STREAM, "new")
    assert [record.data for record in (await waiting).records] == ["new"]


async def test_lost_answer_took_effect(log, server):
    await set_faults(server, n_lost_answers=1)
    with pytest.raises(LogAnswerLostError):
        await log.append(STREAM, "kept")
    assert [record.data for record in (await log.read(STREAM, 0)).records] == ["kept"]


async def test_outage_appends_no_record(log, server):
    await set_faults(server, is_out=True)
    with pytest.raises(LogUnavailableError):
        await log.append(STREAM, "dropped")
    with pytest.raises(LogUnavailableError):
        await log.read(STREAM, 0)
    await set_faults(server, is_out=False)
    assert await log.append(STREAM, "first") == 0


async def test_read_of_truncated_records_raises(log, server):
    for text in "abc":
        await log.append(STREAM, text)
    await set_faults(server, forget={STREAM: 2})
    with pytest.raises(LogTruncatedError) as caught:
        await log.read(STREAM, 1)
    assert caught.value.first_offset == 2
    assert (await log.read(STREAM, 2)).next_offset == 3


async def test_appends_over_the_rate_are_refused():
    async with running(LogServer(LogOptions(appends_per_s=8))) as server:
        service = LogService(url=server.url)
        await service.start()
        results = await asyncio.gather(
            *(service.append(STREAM, str(k)) for k in range(6)), return_exceptions=True
        )
        await service.stop()
        n_refused = sum(isinstance(item, LogUnavailableError) for item in results)
        assert n_refused > 0
        assert server.log.streams[STREAM].next_offset == 6 - n_refused


async def test_rate_limit_refills():
    clock = ManualClock()
    limit = RateLimit(40, clock=clock)
    assert [limit.take() for _ in range(11)].count(True) == 10
    await clock.advance(0.05)
    assert [limit.take() for _ in range(4)].count(True) == 2


async def test_service_accepts_a_standin():
    service = LogService(LogStandin())
    await service.start()
    assert await service.append(STREAM, "a") == 0
    with pytest.raises(ValueError, match="exactly one"):
        LogService()
