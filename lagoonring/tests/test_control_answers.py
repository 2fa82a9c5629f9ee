"""Answers without end to calls that an instance makes for itself."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from lagoonring.endpoints import transport
from lagoonring.platform.exchange import PlatformUnavailableError
from lagoonring.platform.sending import make_platform_session
from lagoonring.platform.store import StoreClient
from lagoonring.tests.builders.raw_endpoints import endless_endpoint, raw_endpoint


@pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\n\r\n", b""])
async def test_answer_of_the_store_without_end_is_bounded(start):
    # Guards against a store whose answer uses up the memory of all instances.
    block = b"x" if start else b"HTTP/1.1 100 Continue\r\n\r\n"
    async with endless_endpoint(start, block) as endless:
        session = make_platform_session()
        store = StoreClient(f"http://{endless.address}", session, timeout_s=10.0)
        async with asyncio.timeout(30):
            with pytest.raises(PlatformUnavailableError):
                await store.read_newest("topic")
            await endless.closed.wait()
        await session.close()
    assert endless.n_sent <= 2 * transport.MAX_CONTROL_BYTES


async def test_bounded_read_returns_what_fits():
    # Guards against a bound that cuts answers that are as long as allowed.
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"z" * 100
    async with (
        raw_endpoint(lambda writer, head: writer.write(answer)) as (address, _),
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/") as response,
    ):
        assert await transport.read_bounded(response, 100) == b"z" * 100
