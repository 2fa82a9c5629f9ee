"""The store's client: outcomes of appends and damaged batches."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
)
from lagoonring.platform.store import StoreClient, decode_batch, encode_batch


@pytest.fixture
async def store_answering():
    """Return a function that makes a client of a store with a fixed status."""
    runners = []
    session = aiohttp.ClientSession()

    async def make(status):
        async def answer(request):
            return web.Response(status=status)

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        runners.append(runner)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return StoreClient(f"http://127.0.0.1:{port}", session)

    yield make
    await session.close()
    for runner in runners:
        await runner.cleanup()


@pytest.mark.parametrize("status", [500, 502, 504])
async def test_an_append_that_fails_may_have_taken_effect(store_answering, status):
    """Written again as if it had not, a record could count twice."""
    store = await store_answering(status)
    with pytest.raises(PlatformAnswerLostError):
        await store.append("topic", [b"record"])


@pytest.mark.parametrize("status", [429, 503, 507])
async def test_a_rejected_append_had_no_effect(store_answering, status):
    store = await store_answering(status)
    with pytest.raises(PlatformUnavailableError):
        await store.append("topic", [b"record"])


def test_a_record_cut_short_is_left_out():
    batch = encode_batch([b"first", b"second"])
    assert list(decode_batch(batch)) == [b"first", b"second"]
    for n_missing in range(1, 6):
        assert list(decode_batch(batch[:-n_missing])) == [b"first"]
