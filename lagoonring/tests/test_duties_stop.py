"""The holder of the duties leaves while one of its calls is in progress."""

from __future__ import annotations

import asyncio

from lagoonring.kernel import Application, ManualClock
from lagoonring.serving.duties import Duties
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.logs import InstanceLog

LEASE_S = 3.0


class Hub:
    """An exchange of the only instance."""

    def is_settled_hub(self):
        return True

    is_hub = is_settled_hub


class RecordingLog(InstanceLog):
    """Records when the lease is released."""

    def __init__(self, log, events):
        super().__init__(log)
        self.events = events

    async def append(self, stream, data):
        if '"release"' in data:
            self.events.append("lease released")
        return await super().append(stream, data)


class Call:
    """A duty whose call takes long."""

    name = "call"

    def __init__(self, events):
        self.events = events

    async def step(self, lease):
        self.events.append("call begun")
        try:
            await asyncio.Event().wait()
        finally:
            self.events.append("call ended")


async def test_call_in_progress_is_ended_before_the_lease_is_released():
    # Guards against a call that arrives after one of the next holder.
    events = []
    clock = ManualClock()
    app = Application(clock=clock)
    duties = Duties(
        app,
        RecordingLog(LogStandin(clock), events),
        Hub(),
        instance="a",
        lease_s=LEASE_S,
        make_parts=lambda ledger: [Call(events)],
    )
    await duties.start()
    for _ in range(50):
        await clock.advance(LEASE_S / 10)
        if events:
            break
    retiring = asyncio.create_task(duties.retire())
    while not retiring.done():
        await clock.advance(0.1)
    assert events == ["call begun", "call ended", "lease released"]
    await app.stop()
