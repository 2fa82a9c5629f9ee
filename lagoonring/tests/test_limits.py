from __future__ import annotations

import asyncio

import pytest

from lagoonring.errors import Outcome
from lagoonring.limits import LimitRefusedError, OverloadRefusedError
from lagoonring.tests.builders.limits import (
    make_admit,
    make_limits,
    make_limits_catalogue,
)


@pytest.fixture
async def make_service():
    services = []

    async def make(*args, **options):
        service = await make_limits(*args, **options)
        services.append(service)
        return service

    yield make
    for service in services:
        await service.app.stop()


async def settle():
    for _ in range(10):
        await asyncio.sleep(0)


def ask(limits, **fields):
    return asyncio.ensure_future(limits.admit(make_admit(limits, **fields)))


async def run_requests(limits, n_requests, *, held_s):
    """Run requests one after another, so that service times are recorded."""
    for _ in range(n_requests):
        permit = await limits.admit(make_admit(limits))
        await limits.app.clock.advance(held_s)
        permit.release(100)


async def test_request_rate_is_limited_with_an_accurate_retry_after(make_service):
    content = make_limits_catalogue(requests_per_s=2.0)
    limits = await make_service(1000, content=content)
    n_admitted = 0
    for _ in range(200):
        await limits.app.clock.advance(0.1)
        try:
            await limits.admit(make_admit(limits))
            n_admitted += 1
        except LimitRefusedError as error:
            assert error.status == 429
            assert error.outcome is Outcome.NOT_RUN
            retry_after_s = error.retry_after_s
    assert 40 <= n_admitted <= 44
    with pytest.raises(LimitRefusedError):
        while True:
            await limits.admit(make_admit(limits))
    await limits.app.clock.advance(retry_after_s + 0.5)
    await limits.admit(make_admit(limits))


async def test_expected_tokens_are_corrected_by_actual_usage(make_service):
    content = make_limits_catalogue(tokens_per_s=100.0)
    limits = await make_service(1000, content=content)
    permit = await limits.admit(make_admit(limits, n_tokens_most=150))
    limiter = limits.limiters["org:hann"]
    assert limiter.tokens.level == pytest.approx(-50)
    with pytest.raises(LimitRefusedError) as caught:
        await limits.admit(make_admit(limits))
    assert caught.value.retry_after_s == pytest.approx(0.51, abs=0.02)
    permit.release(20)
    permit.release(20)
    assert limiter.tokens.level == pytest.approx(80)
    await limits.admit(make_admit(limits))


async def test_concurrency_is_limited(make_service):
    limits = await make_service(1000, content=make_limits_catalogue(n_concurrent=2))
    permits = [await limits.admit(make_admit(limits)) for _ in range(2)]
    with pytest.raises(LimitRefusedError, match="n_concurrent"):
        await limits.admit(make_admit(limits))
    await limits.admit(make_admit(limits, organisation="mbao"))
    permits[0].release(1)
    await limits.admit(make_admit(limits))


async def test_requests_wait_for_a_slot_in_fair_order(make_service):
    limits = await make_service(1)
    first = await limits.admit(make_admit(limits))
    large = [ask(limits) for _ in range(5)]
    await settle()
    small = ask(limits, organisation="mbao")
    await settle()
    first.release(10)
    await settle()
    taken = next(task for task in [*large, small] if task.done())
    taken.result().release(10)
    await settle()
    assert small.done()
    for task in large:
        task.cancel()


async def test_deadline_that_cannot_be_met_is_refused_at_once(make_service):
    limits = await make_service(1)
    await run_requests(limits, 5, held_s=2.0)
    await limits.admit(make_admit(limits))
    waiting = [ask(limits) for _ in range(4)]
    await settle()
    late = ask(limits, deadline_s=limits.app.clock.monotonic() + 5)
    await settle()
    assert late.done()
    with pytest.raises(OverloadRefusedError) as caught:
        late.result()
    assert caught.value.status == 503
    assert caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after_s == pytest.approx(9, abs=2)
    assert not any(task.done() for task in waiting)
    for task in waiting:
        task.cancel()


async def test_queued_request_is_refused_once_its_deadline_is_unreachable(make_service):
    limits = await make_service(1)
    await run_requests(limits, 5, held_s=1.0)
    await limits.admit(make_admit(limits))
    now_s = limits.app.clock.monotonic()
    task = ask(limits, deadline_s=now_s + 4)
    clock = limits.app.clock
    answered_s = []
    task.add_done_callback(lambda _: answered_s.append(clock.monotonic()))
    await clock.advance(0.5)
    assert not task.done()
    for _ in range(100):
        await clock.advance(0.05)
    with pytest.raises(OverloadRefusedError):
        task.result()
    assert 2.4 < answered_s[0] - now_s < 2.7
    assert len(limits.queues["guide"].queue) == 0


async def test_full_queue_refuses_at_once(make_service):
    limits = await make_service(1, n_waiting_most=3)
    await limits.admit(make_admit(limits))
    waiting = [ask(limits) for _ in range(3)]
    await settle()
    with pytest.raises(OverloadRefusedError, match="full queue"):
        await limits.admit(make_admit(limits))
    small = ask(limits, organisation="mbao")
    await settle()
    assert not small.done()
    assert [task.done() for task in waiting] == [False, False, True]
    with pytest.raises(OverloadRefusedError):
        waiting[2].result()
    for task in [*waiting, small]:
        task.cancel()


async def test_cancelled_requests_release_their_reservations(make_service):
    limits = await make_service(1, content=make_limits_catalogue(n_concurrent=3))
    permit = await limits.admit(make_admit(limits))
    tasks = [ask(limits) for _ in range(2)]
    await settle()
    tasks[0].cancel()
    await settle()
    assert limits.limiters["org:hann"].n_running == 2
    permit.release(1)
    tasks[1].cancel()
    await settle()
    queue = limits.queues["guide"]
    assert (queue.n_running, len(queue.queue)) == (0, 0)
    assert limits.limiters["org:hann"].n_running == 0
    await limits.admit(make_admit(limits))


async def test_no_endpoint_refuses_at_once(make_service):
    limits = await make_service(0)
    with pytest.raises(OverloadRefusedError, match="no endpoint"):
        await limits.admit(make_admit(limits))


async def test_burst_after_an_idle_period_is_not_taken_for_a_stall(make_service):
    limits = await make_service(2)
    await run_requests(limits, 5, held_s=1.0)
    await limits.app.clock.advance(3600)
    for _ in range(2):
        await limits.admit(make_admit(limits))
    tasks = [ask(limits) for _ in range(4)]
    await limits.app.clock.advance(0.2)
    assert not any(task.done() for task in tasks)
    for task in tasks:
        task.cancel()
