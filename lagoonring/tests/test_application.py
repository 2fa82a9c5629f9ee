from __future__ import annotations

import asyncio

import pytest

from lagoonring.kernel import (
    Application,
    BaseService,
    ManualClock,
    UnknownServiceError,
)


class Recorder(BaseService):
    """Records the calls of its hooks."""

    def __init__(self, name: str, calls: list[str], *, fails: bool = False) -> None:
        self.name = name
        self.calls = calls
        self.fails = fails

    async def start(self) -> None:
        self.calls.append(f"start {self.name}")
        if self.fails:
            raise ValueError("Got a fault on command.")

    async def drain(self, grace_s: float) -> None:
        self.calls.append(f"drain {self.name}")

    async def stop(self) -> None:
        self.calls.append(f"stop {self.name}")


async def test_services_start_in_order_and_drain_and_stop_in_reverse():
    calls: list[str] = []
    app = Application()
    for name in ("log", "peers"):
        app.add(Recorder(name, calls))
    await app.start()
    await app.drain(1.0)
    await app.stop()
    assert calls == [
        "start log",
        "start peers",
        "drain peers",
        "drain log",
        "stop peers",
        "stop log",
    ]


async def test_a_failed_start_stops_what_was_started():
    calls: list[str] = []
    app = Application()
    app.add(Recorder("log", calls))
    app.add(Recorder("peers", calls, fails=True))
    app.add(Recorder("routing", calls))
    with pytest.raises(ValueError, match="on command"):
        await app.start()
    assert calls == ["start log", "start peers", "stop peers", "stop log"]


async def test_a_task_that_swallows_a_cancellation_does_not_hang_the_stop():
    app = Application()
    swallowed = asyncio.Event()

    async def stubborn() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            swallowed.set()
        await asyncio.Event().wait()

    app.spawn("stubborn", stubborn)
    await asyncio.sleep(0)
    async with asyncio.timeout(30):
        await app.stop()
    assert swallowed.is_set()
    assert not app.tasks


def test_unknown_service_error_lists_known_services():
    app = Application()
    app.add(Recorder("log", []))
    with pytest.raises(UnknownServiceError, match="expected one of: log"):
        app.find("lag")


async def test_services_share_the_grace_period():
    """Otherwise a process with several busy services is killed before its stop."""
    clock = ManualClock()
    left = []

    class Slow(BaseService):
        def __init__(self, name):
            self.name = name

        async def drain(self, grace_s):
            left.append(grace_s)
            await clock.advance(3.0)

    app = Application(clock=clock)
    for name in ("first", "second", "third"):
        app.add(Slow(name))
    await app.start()
    await app.drain(5.0)
    await app.stop()
    assert left == [5.0, 2.0, 0.0]


async def test_stop_during_the_start_shortens_the_drain():
    """The process is killed a grace period after the signal, not after the start."""
    clock = ManualClock()
    app = Application(clock=clock)
    assert app.remaining_grace_s() == 0.0
    app.leave(8.0)
    await clock.advance(3.0)
    app.leave(8.0)
    assert app.remaining_grace_s() == 5.0
    await clock.advance(9.0)
    assert app.remaining_grace_s() == 0.0


@pytest.mark.parametrize("hook", ["retire", "drain"])
async def test_failing_hook_of_one_service_does_not_end_the_drain_of_others(hook):
    calls: list[str] = []
    faulty = BaseService()

    async def fail(*_arguments):
        raise ValueError("Got a fault on command.")

    setattr(faulty, hook, fail)
    app = Application(clock=ManualClock())
    app.add(Recorder("peers", calls))
    app.add(faulty)
    await app.start()
    await app.drain(1.0)
    await app.stop()
    assert calls == ["start peers", "drain peers", "stop peers"]
