from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonring.errors import LagoonringError, Outcome
from lagoonring.kernel import ManualClock
from lagoonring.retries import (
    QuarantinedError,
    RetriesOptions,
    RetriesService,
    SuspectBusyError,
)
from lagoonring.tests.builders.routing import PeerNetwork, make_app, start_routing

CULPRIT = "culprit"


class EndpointsDouble:
    """Endpoints that crash as soon as the culprit runs on them."""

    def __init__(self, n_endpoints):
        self.names = [f"g{number}" for number in range(n_endpoints)]
        self.down = []
        self.running = {name: {} for name in self.names}

    def pick(self, number):
        up = [name for name in self.names if name not in self.down]
        return up[number % len(up)]

    async def run(self, endpoint, fingerprint, until):
        """Return whether the answer was complete; False means a crash.

        None means that the endpoint was down already.
        """
        if endpoint in self.down:
            return None
        crashed = asyncio.get_running_loop().create_future()
        self.running[endpoint][object()] = crashed
        if fingerprint == CULPRIT:
            await asyncio.sleep(0)
            if endpoint not in self.down:
                self.down.append(endpoint)
            for waiter in self.running[endpoint].values():
                if not waiter.done():
                    waiter.set_result(None)
            return False
        done = asyncio.ensure_future(until.wait())
        await asyncio.wait([done, crashed], return_when=asyncio.FIRST_COMPLETED)
        done.cancel()
        return not crashed.done()


class Fleet:
    """Retries services of several instances, connected by one peer network."""

    def __init__(self, *data_centres, **options):
        self.clock = ManualClock()
        self.network = PeerNetwork()
        self.services = []
        for number, data_centre in enumerate(data_centres):
            peers = self.network.add(f"e{number}", data_centre)
            app = make_app(peers=peers, clock=self.clock, seed=number)
            options_ = RetriesOptions(**options)
            self.services.append(app.add(RetriesService(app, options_)))

    async def start(self):
        for service in self.services:
            await service.start()
        for service in self.services:
            service.homes.refresh()
        return self

    async def stop(self):
        for service in self.services:
            await service.app.stop()

    async def settle(self):
        for _ in range(30):
            await asyncio.sleep(0)

    async def send_and_settle(
        self, service, endpoints, fingerprint, number, until=None
    ):
        """Send one attempt and wait until it and its follow-ups are done."""
        task = asyncio.ensure_future(
            self.send(service, endpoints, fingerprint, number, until)
        )
        await self.settle()
        await self.clock.advance(16)
        assert task.done()
        return task.result()

    async def send(self, service, endpoints, fingerprint, number, until=None):
        """Send one attempt; return "whole", "crash", "down" or the error's code."""
        preferred = endpoints.pick(number)
        try:
            endpoint = await service.attempt(fingerprint, preferred, entry="guide")
        except LagoonringError as error:
            assert error.outcome is Outcome.NOT_RUN
            return error.code
        completed = await endpoints.run(endpoint, fingerprint, until or asyncio.Event())
        if completed is False:
            service.crashed(fingerprint, endpoint)
            return "crash"
        service.ended(fingerprint, endpoint, ok=bool(completed))
        return "whole" if completed else "down"


@pytest.fixture
async def fleet():
    made = Fleet("plateau", "plateau", "almadies", "almadies", "rufisque")
    await made.start()
    yield made
    await made.stop()


@pytest.mark.parametrize("arbitration", ["always", "suspected"])
async def test_twenty_sequential_resends_crash_two_endpoints(arbitration):
    fleet = await Fleet(
        "plateau", "plateau", "almadies", arbitration=arbitration
    ).start()
    endpoints = EndpointsDouble(8)
    outcomes = []
    for number in range(20):
        service = fleet.services[number % 3]
        outcomes.append(
            await fleet.send_and_settle(service, endpoints, CULPRIT, number)
        )
    assert endpoints.down == ["g0", "g2"]
    assert outcomes == ["crash", "crash"] + ["quarantined"] * 18
    for service in fleet.services:
        with pytest.raises(QuarantinedError) as caught:
            service.check(CULPRIT)
        assert caught.value.retry_after_s > 0
    await fleet.stop()


async def test_twenty_concurrent_resends_crash_at_most_two_endpoints(fleet):
    endpoints = EndpointsDouble(8)
    sends = [
        fleet.send(fleet.services[number % 5], endpoints, CULPRIT, number)
        for number in range(20)
    ]
    tasks = [asyncio.ensure_future(send) for send in sends]
    await fleet.settle()
    await fleet.clock.advance(10)
    await asyncio.gather(*tasks)
    assert len(endpoints.down) <= 2
    for service in fleet.services:
        with pytest.raises(QuarantinedError):
            service.check(CULPRIT)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 7), st.integers(0, 3)),
        min_size=3,
        max_size=25,
    )
)
def test_no_schedule_of_resends_crashes_three_endpoints(steps):
    async def play():
        fleet = await Fleet(
            "plateau", "plateau", "almadies", "almadies", "rufisque"
        ).start()
        endpoints = EndpointsDouble(8)
        tasks = []
        for instance, number, n_turns in steps:
            service = fleet.services[instance]
            send = fleet.send(service, endpoints, CULPRIT, number)
            tasks.append(asyncio.ensure_future(send))
            for _ in range(n_turns):
                await asyncio.sleep(0)
        await fleet.clock.advance(10)
        await asyncio.gather(*tasks)
        await fleet.stop()
        return len(endpoints.down)

    assert asyncio.run(play()) <= 2


async def test_suspicion_reaches_other_instances_before_the_second_attempt(fleet):
    first, second = fleet.services[:2]
    await first.attempt(CULPRIT, "g0", entry="guide")
    assert first.crashed(CULPRIT, "g0") == "suspect"
    assert ("quarantine", CULPRIT) in fleet.network.peers["e0"].urgent
    assert second.table.get(CULPRIT).is_suspected
    await fleet.settle()
    await second.attempt(CULPRIT, "g1", entry="guide")
    waiting = asyncio.ensure_future(first.attempt(CULPRIT, "g2", entry="guide"))
    await fleet.settle()
    assert not waiting.done()
    assert second.crashed(CULPRIT, "g1") == "request"
    await fleet.clock.advance(1)
    with pytest.raises(QuarantinedError):
        await waiting


async def test_crashes_beside_a_version_on_trial_blame_a_request_only_in_the_end(fleet):
    causes = []
    for number in range(4):
        service = fleet.services[number]
        await service.attempt("innocent", f"g{number}", entry="guide")
        cause = service.crashed("innocent", f"g{number}", is_beside_trial=True)
        causes.append(cause)
        await fleet.settle()
        await fleet.clock.advance(6)
    assert causes == ["suspect", "suspect", "suspect", "request"]


async def test_other_requests_on_a_crashed_endpoint_complete(fleet):
    endpoints = EndpointsDouble(3)
    until = asyncio.Event()
    names = [f"innocent-{number}" for number in range(5)]
    running = [
        asyncio.ensure_future(
            fleet.send(fleet.services[number % 5], endpoints, name, 0, until)
        )
        for number, name in enumerate(names)
    ]
    await fleet.settle()
    assert await fleet.send(fleet.services[0], endpoints, CULPRIT, 0) == "crash"
    assert await asyncio.gather(*running) == ["crash"] * 5

    until.set()
    tasks = {
        name: asyncio.ensure_future(
            fleet.send(fleet.services[number % 5], endpoints, name, number, until)
        )
        for number, name in enumerate([*names, CULPRIT])
    }
    for _ in range(20):
        await fleet.settle()
        await fleet.clock.advance(0.5)
    retried = {name: await task for name, task in tasks.items()}
    assert retried.pop(CULPRIT) == "crash"
    assert len(endpoints.down) == 2
    for name, outcome in retried.items():
        service = fleet.services[0]
        if outcome != "whole":
            outcome = await fleet.send_and_settle(service, endpoints, name, 0, until)
        assert outcome == "whole", name


async def test_suspects_never_share_an_endpoint(fleet):
    one, other = fleet.services[0], fleet.services[3]
    for name, service in (("a", one), ("b", other)):
        await service.attempt(name, "g0", entry="guide")
    for name, service in (("a", one), ("b", other)):
        service.crashed(name, "g0")
    await fleet.settle()
    await one.attempt("a", "g1", entry="guide")
    waiting = asyncio.ensure_future(other.attempt("b", "g1", entry="guide"))
    await fleet.settle()
    assert not waiting.done()
    one.ended("a", "g1", ok=True)
    await fleet.clock.advance(1)
    assert await waiting == "g1"


async def test_progress_releases_the_endpoint_to_other_suspects(fleet):
    one, other = fleet.services[0], fleet.services[3]
    for name, service in (("a", one), ("b", other)):
        await service.attempt(name, "g0", entry="guide")
    for name, service in (("a", one), ("b", other)):
        service.crashed(name, "g0")
    await fleet.settle()
    await one.attempt("a", "g1", entry="guide")
    waiting = asyncio.ensure_future(other.attempt("b", "g1", entry="guide"))
    await fleet.clock.advance(1)
    assert not waiting.done()
    one.progressed("a", "g1")
    await fleet.clock.advance(1)
    assert await waiting == "g1"
    assert one.crashed("a", "g1") == "request"


async def test_requests_of_a_lost_data_centre_do_not_wait_for_each_other(fleet):
    names = [(f"f{number}", f"g{number % 4}") for number in range(20)]
    for number, (name, endpoint) in enumerate(names):
        await fleet.services[number % 5].attempt(name, endpoint, entry="guide")
    for number, (name, endpoint) in enumerate(names):
        fleet.services[number % 5].crashed(name, endpoint)
    await fleet.settle()
    for number, (name, _) in enumerate(names):
        service = fleet.services[(number + 1) % 5]
        attempt = asyncio.ensure_future(service.attempt(name, "g5", entry="guide"))
        await fleet.settle()
        assert attempt.done()
        assert attempt.result() == "g5"
    for number, (name, _) in enumerate(names):
        fleet.services[(number + 1) % 5].ended(name, "g5", ok=True)


async def test_crash_of_a_leaving_endpoint_raises_no_suspicion():
    app = make_app(peers=PeerNetwork().add("e0"))
    routing = await start_routing(app)
    service = app.add(RetriesService(app))
    await service.start()
    routing.leaving("guide-1")
    await service.attempt("a", "guide-1", entry="guide")
    assert service.crashed("a", "guide-1") == ""
    assert service.table.get("a") is None
    await app.stop()


async def test_quarantined_request_clears_those_whose_crash_it_explains(fleet):
    verdicts = []
    fleet.services[1].subscribe(verdicts.append)
    for name, service in (
        ("innocent", fleet.services[2]),
        (CULPRIT, fleet.services[3]),
    ):
        await service.attempt(name, "g0", entry="guide")
        service.crashed(name, "g0")
    await fleet.settle()
    await fleet.services[4].attempt(CULPRIT, "g1", entry="guide")
    assert fleet.services[4].crashed(CULPRIT, "g1") == "request"
    for service in fleet.services:
        assert not service.table.get("innocent").is_suspected
    assert {(verdict.fingerprint, verdict.cause) for verdict in verdicts} == {
        (CULPRIT, "request"),
        ("innocent", "request"),
    }


async def test_new_instance_receives_quarantined_fingerprints(fleet):
    for endpoint in ("g0", "g1"):
        await fleet.services[0].attempt(CULPRIT, endpoint, entry="guide")
        fleet.services[0].crashed(CULPRIT, endpoint)
        await fleet.settle()
    peers = fleet.network.add("e9", "rufisque")
    fleet.network.peers["e0"].deliver_all()
    app = make_app(peers=peers, clock=fleet.clock)
    service = app.add(RetriesService(app))
    await service.start()
    with pytest.raises(QuarantinedError):
        service.check(CULPRIT)
    await app.stop()


async def test_crash_is_attributed_to_the_endpoint_once_suspects_are_cleared(fleet):
    service = fleet.services[0]
    verdicts = []
    service.subscribe(verdicts.append)
    for name in ("a", "b"):
        await service.attempt(name, "g0", entry="guide")
    for name in ("a", "b"):
        service.crashed(name, "g0")
    await fleet.settle()
    for name in ("a", "b"):
        await service.attempt(name, "g1", entry="guide")
        service.ended(name, "g1", ok=True)
        await fleet.clock.advance(0.5)
    assert [(verdict.cause, verdict.crashes[0].endpoint) for verdict in verdicts] == [
        ("", "g0")
    ]


async def test_popular_request_is_not_quarantined_on_weak_evidence(fleet):
    """Two unsupervised crashes are weak evidence, as the request completed before."""
    service = fleet.services[0]
    await service.attempt("popular", "g0", entry="guide")
    service.ended("popular", "g0", ok=True)
    for endpoint in ("g1", "g2"):
        await service.attempt("popular", endpoint, entry="guide")
    for endpoint in ("g1", "g2"):
        assert service.crashed("popular", endpoint) == "suspect"
    service.check("popular")
    await fleet.settle()
    await service.attempt("popular", "g3", entry="guide")
    assert service.crashed("popular", "g3") == "request"


async def test_partitioned_sides_serve_and_each_crashes_two_endpoints_at_most(fleet):
    fleet.network.cut_off("e3", "e4")
    for service in fleet.services:
        service.homes.refresh()
    endpoints = EndpointsDouble(10)
    for number in range(20):
        service = fleet.services[number % 5]
        await fleet.send_and_settle(service, endpoints, CULPRIT, number)
        name = f"new-{number}"
        outcome = await fleet.send_and_settle(service, endpoints, name, number, _set())
        assert outcome == "whole"
    assert len(endpoints.down) <= 4
    fleet.network.heal()
    for service in fleet.services:
        with pytest.raises(QuarantinedError):
            service.check(CULPRIT)


async def test_suspect_is_refused_when_its_home_does_not_answer(fleet):
    service = next(other for other in fleet.services if other.homes.find(CULPRIT))
    home = service.homes.find(CULPRIT)
    service.crashed(CULPRIT, "g0")
    fleet.network.cut_off(home)
    with pytest.raises(SuspectBusyError) as caught:
        await service.attempt(CULPRIT, "g1", entry="guide")
    assert caught.value.outcome is Outcome.NOT_RUN


async def test_quarantine_ends_and_tables_stay_bounded(fleet):
    service = fleet.services[0]
    for endpoint in ("g0", "g1"):
        await service.attempt(CULPRIT, endpoint, entry="guide")
        service.crashed(CULPRIT, endpoint)
        await fleet.settle()
    await fleet.clock.advance(601)
    service.check(CULPRIT)
    assert ("quarantine", CULPRIT) not in fleet.network.peers["e0"].published
    for number in range(5000):
        service.crashed(f"f{number}", "g0")
    assert len(service.table.records) <= service.options.n_fingerprints
    assert len(fleet.network.peers["e0"].published) <= 512


def _set():
    event = asyncio.Event()
    event.set()
    return event
