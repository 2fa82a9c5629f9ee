"""Tests the client of plain services with the stand-in and its faults."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest

from lagoonring.endpoints import (
    EndpointConnectError,
    EndpointCrossedError,
    EndpointCutError,
    EndpointFailedError,
    EndpointRefusedError,
    EndpointTimeoutError,
    call,
    open_call,
)
from lagoonring.errors import Outcome
from lagoonring.tests.builders.raw_endpoints import raw_endpoint
from lagoonring.tests.builders.standins import running_plain, set_faults

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 1.0


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def hold_seats(
    session, plain, *, key="k1", method="POST", timeout_s=TIMEOUT_S, **options
):
    return await call(
        session,
        plain.url,
        method,
        "/shows/sharks",
        b'{"seats": 2}',
        headers={"Idempotency-Key": key, "Host": "elsewhere", "X-Request-Id": "old"},
        request_id=f"r-{key}",
        attempt_id=f"r-{key}-1",
        timeout_s=timeout_s,
        **options,
    )


async def test_runs_are_counted_by_key(session):
    async with running_plain(n_seats=5) as plain:
        answers = [await hold_seats(session, plain, key=key) for key in "aab"]
        assert [answer.status for answer in answers] == [200, 200, 409]
        assert plain.n_runs_by_key == {"a": 2, "b": 1}
        async with session.get(f"{plain.url}/runs") as answer:
            assert (await answer.json())["by_key"] == {"a": 2, "b": 1}


async def test_service_that_deduplicates_runs_a_key_once(session):
    async with running_plain(deduplicates=True) as plain:
        first = await hold_seats(session, plain)
        second = await hold_seats(session, plain)
        assert first.body == second.body
        assert plain.n_runs_by_key == {"k1": 1}
        assert plain.seats == {"/shows/sharks": 998}


@pytest.mark.parametrize(
    ("faults", "error", "outcome", "n_runs"),
    [
        ({"n_lost": 1}, EndpointCutError, Outcome.UNKNOWN, 1),
        ({"n_cut": 1}, EndpointCutError, Outcome.UNKNOWN, 1),
        ({"n_refused": 1}, EndpointRefusedError, Outcome.NOT_RUN, 0),
        ({"n_late": 1, "late_s": 60}, EndpointTimeoutError, Outcome.UNKNOWN, 1),
        ({"crash_on": ["seats"]}, EndpointCutError, Outcome.UNKNOWN, 0),
        ({"refuse_s": 60}, EndpointConnectError, Outcome.NOT_RUN, 0),
    ],
)
async def test_faults_raise_errors_with_the_outcome(
    session, faults, error, outcome, n_runs
):
    async with running_plain() as plain:
        await set_faults(plain, **faults)
        with pytest.raises(error) as caught:
            await hold_seats(
                session,
                plain,
                timeout_s=SHORT_TIMEOUT_S if "n_late" in faults else TIMEOUT_S,
            )
        assert type(caught.value) is error
        assert caught.value.outcome is outcome
        assert plain.n_runs == n_runs


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "PATCH", "GET"])
async def test_no_method_is_sent_twice_on_a_reused_connection(session, method):
    async with running_plain() as plain:
        await hold_seats(session, plain, method=method)
        await set_faults(plain, n_lost=1)
        with pytest.raises(EndpointCutError):
            await hold_seats(session, plain, method=method)
        assert plain.n_requests == 2


async def test_errors_of_the_service_pass_through(session):
    async with running_plain() as plain:
        await set_faults(plain, n_errors=1)
        answer = await hold_seats(session, plain)
    assert answer.status == 500
    assert "Content-Length" not in answer.headers


async def test_crossed_answers_are_refused(session):
    async with running_plain() as plain:
        await set_faults(plain, n_crossed=2)
        results = await asyncio.gather(
            hold_seats(session, plain, key="a"),
            hold_seats(session, plain, key="b"),
            return_exceptions=True,
        )
    assert [type(result) for result in results] == [EndpointCrossedError] * 2


async def test_a_refusal_that_names_no_request_is_not_believed(session):
    content = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    async with raw_endpoint(lambda writer, head: writer.write(content)) as (address, _):
        with pytest.raises(EndpointCrossedError) as caught:
            await hold_seats(session, SimpleNamespace(url=f"http://{address}"))
    assert caught.value.outcome is Outcome.UNKNOWN


async def test_answers_over_the_limit_are_dropped(session):
    async with running_plain() as plain:
        with pytest.raises(EndpointFailedError):
            await hold_seats(session, plain, limit_bytes=3)


async def test_held_answers_have_run(session):
    async with running_plain() as plain:
        await set_faults(plain, is_held=True)
        task = asyncio.create_task(hold_seats(session, plain))
        await asyncio.wait_for(plain.wait_until_held(1), TIMEOUT_S)
        assert plain.n_runs == 1
        await set_faults(plain, is_held=False)
        assert (await task).status == 200


async def test_caller_errors_are_not_attributed_to_the_endpoint(session):
    async with running_plain() as plain:
        with pytest.raises(ConnectionResetError):
            async with open_call(
                session,
                plain.url,
                "GET",
                "/shows/sharks",
                None,
                headers={},
                request_id="r",
                attempt_id="r-1",
                timeout_s=TIMEOUT_S,
            ) as answer:
                async for _ in answer.chunks():
                    raise ConnectionResetError("The caller left.")
