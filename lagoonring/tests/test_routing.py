from __future__ import annotations

import attrs
import pytest

from lagoonring.kernel import ManualClock
from lagoonring.limits.shares import DemandSummary
from lagoonring.routing import (
    AttemptResult,
    EndpointLoad,
    LeavingEndpoint,
    NoEndpointError,
)
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.routing import (
    PeerNetwork,
    make_app,
    make_chat,
    make_endpoints,
    make_request,
    start_routing,
)


async def make_instances(n_instances, endpoints, **options):
    network = PeerNetwork()
    clock = ManualClock()
    content = make_catalogue(endpoints=endpoints)
    apps = [
        make_app(content, network.add(f"e{number}"), clock, seed=number)
        for number in range(n_instances)
    ]
    return [await start_routing(app, **options) for app in apps], network, clock


def report_load(routing, name, **fields):
    load = EndpointLoad(n_slots=8, time_s=routing.app.clock.time(), **fields)
    routing._handle_load("watcher", name, load)


async def test_instances_agree_on_a_conversations_home_without_sharing():
    (one, other), _, _ = await make_instances(2, make_endpoints(plateau=8))
    homes = set()
    for seed in range(30):
        turns = make_chat(seed, 4)
        chosen = {one.choose(make_request(turns[0])).endpoint}
        chosen |= {other.choose(make_request(turn)).endpoint for turn in turns}
        assert len(chosen) == 1
        homes |= chosen
    assert len(homes) >= 6


async def test_overloaded_home_loses_its_conversations():
    (routing,), _, _ = await make_instances(1, make_endpoints(plateau=4))
    request = make_request(make_chat(1, 1)[0])
    home = routing.choose(request).endpoint
    report_load(routing, home, n_running=8, n_waiting=40)
    assert routing.choose(request).endpoint != home


async def test_home_without_a_free_slot_is_not_assumed_to_cache_the_prompt():
    (routing,), _, _ = await make_instances(1, make_endpoints(plateau=4))
    request = make_request(make_chat(1, 1, n_bytes=60_000)[0])
    home = routing.choose(request).endpoint
    report_load(routing, home, n_running=7)
    assert routing.choose(request).endpoint == home
    report_load(routing, home, n_running=8, n_waiting=1)
    assert routing.choose(request).endpoint != home


async def test_load_is_the_delayed_report_plus_requests_sent_since():
    (routing,), _, clock = await make_instances(1, make_endpoints(plateau=1))
    state = routing.table.states["plateau-0"]
    request = make_request()
    routing.started("plateau-0", request)
    await clock.advance(0.1)
    reported_s = clock.time()
    await clock.advance(0.1)
    routing.started("plateau-0", request)
    routing.started("plateau-0", request)
    load = EndpointLoad(n_running=5, n_slots=8, time_s=reported_s)
    routing._handle_load("watcher", "plateau-0", load)
    assert state.load == 7
    routing.ended("plateau-0", request, AttemptResult(ok=True))
    assert state.load == 6
    older_load = attrs.evolve(load, n_running=1, time_s=reported_s - 1)
    routing._handle_load("other watcher", "plateau-0", older_load)
    assert state.load == 6


async def test_old_reports_are_dropped():
    (routing,), _, clock = await make_instances(1, make_endpoints(plateau=2))
    report_load(routing, "plateau-0", n_running=8, n_waiting=50)
    await clock.advance(11)
    assert routing.table.states["plateau-0"].load == 0


async def test_choice_that_meets_the_target_beats_one_that_misses_it():
    (routing,), _, _ = await make_instances(
        1, make_endpoints(plateau=2), home_trust=1.0, load_bound=100.0
    )
    prompt = make_chat(3, 1, n_bytes=60_000)[0]
    request = make_request(prompt)
    home = routing.choose(request).endpoint
    other = next(name for name in routing.table.states if name != home)
    for name, prefill_s in ((home, 0.01), (other, 0.0005)):
        routing.table.states[name].prefill_s = prefill_s
    report_load(routing, home, n_running=14)
    assert routing.table.states[home].wait_s > 0.35
    assert routing.choose(request).endpoint == other


async def test_stays_in_the_data_centre_until_its_queue_costs_more():
    (routing,), _, _ = await make_instances(
        1, make_endpoints(plateau=2, almadies=2), crossing_s=0.2
    )
    request = make_request(make_chat(4, 1)[0])
    for name in ("plateau-0", "plateau-1"):
        report_load(routing, name, n_running=8, n_waiting=1)
    assert routing.choose(request).endpoint.startswith("plateau")
    for name in ("plateau-0", "plateau-1"):
        report_load(routing, name, n_running=8, n_waiting=30)
    route = routing.choose(request)
    assert route.endpoint.startswith("almadies")
    assert route.reason == "crossing"


async def test_does_not_cross_to_a_data_centre_that_reports_high_utilisation():
    (routing,), network, _ = await make_instances(
        1, make_endpoints(plateau=1, almadies=2, rufisque=2)
    )
    report_load(routing, "plateau-0", n_running=8, n_waiting=60)
    for data_centre, busy in (("almadies", 4.0), ("rufisque", 0.5)):
        peers = network.add(f"{data_centre}-entry", data_centre)
        summary = DemandSummary(
            data_centre=data_centre, n_instances=1, time_s=0.0, busy={"guide": busy}
        )
        peers.publish("summary", f"demand:{data_centre}", summary)
    request = make_request(make_chat(1, 1)[0])
    chosen = {routing.choose(request).endpoint.split("-")[0] for _ in range(20)}
    assert chosen == {"rufisque"}
    assert routing.measure_utilisation() == {"guide": 8.5}


async def test_leaving_endpoint_gets_no_requests_until_it_is_replaced():
    (one, other), network, _ = await make_instances(2, make_endpoints(plateau=2))
    content = one.content
    one.leaving("plateau-0")
    assert ("leaving", "plateau-0") in network.peers["e0"].urgent
    for routing in (one, other):
        chosen = {routing.choose(make_request()).endpoint for _ in range(20)}
        assert chosen == {"plateau-1"}
        routing.app.find("catalogue").change(content)
        assert routing.choose(make_request()).endpoint == "plateau-1"
        assert routing.route_to("plateau-0", make_request()) is None
    endpoints = {
        **content.endpoints,
        "plateau-0": attrs.evolve(content.endpoints["plateau-0"], instance="i-new"),
    }
    for routing in (one, other):
        catalogue = routing.app.find("catalogue")
        catalogue.change(attrs.evolve(content, endpoints=endpoints))
        chosen = {routing.choose(make_request()).endpoint for _ in range(40)}
        assert chosen == {"plateau-0", "plateau-1"}


async def test_leaving_row_applies_before_the_catalogue_lists_the_endpoint():
    (routing,), _, _ = await make_instances(1, make_endpoints(plateau=1))
    row = LeavingEndpoint(instance="i-plateau-1", url="http://127.0.0.1:2")
    routing._handle_leaving("e9", "plateau-1", row)
    content = make_catalogue(endpoints=make_endpoints(plateau=2))
    routing.app.find("catalogue").change(content)
    chosen = {routing.choose(make_request()).endpoint for _ in range(20)}
    assert chosen == {"plateau-0"}


async def test_only_endpoints_of_the_version_are_chosen():
    endpoints = make_endpoints(plateau=3)
    endpoints["plateau-2"]["version"] = "2"
    (routing,), _, _ = await make_instances(1, endpoints)
    assert routing.choose(make_request(version="2")).endpoint == "plateau-2"
    chosen = {routing.choose(make_request()).endpoint for _ in range(30)}
    assert chosen == {"plateau-0", "plateau-1"}
    with pytest.raises(NoEndpointError) as caught:
        routing.choose(make_request(version="3"))
    assert caught.value.retry_after_s is not None
    report_load(routing, "plateau-0", versions=["1", "3"])
    assert routing.choose(make_request(version="3")).endpoint == "plateau-0"


async def test_excluded_endpoints_are_not_chosen():
    (routing,), _, _ = await make_instances(1, make_endpoints(plateau=3))
    exclude = frozenset({"plateau-0", "plateau-1"})
    for seed in range(10):
        request = make_request(make_chat(seed, 1)[0])
        assert routing.choose(request, exclude=exclude).endpoint == "plateau-2"


async def test_speeds_are_estimated_from_first_tokens():
    (routing,), _, _ = await make_instances(1, make_endpoints(plateau=1))
    state = routing.table.states["plateau-0"]
    turns = [
        turn
        for seed in range(12)
        for turn in make_chat(seed, 5, n_bytes=600 + 400 * (seed % 9))
    ]
    for turn in turns:
        request = make_request(turn)
        route = routing.choose(request)
        n_uncached = len(request.prefix_blocks) - route.n_cached_blocks
        routing.started(route, request)
        result = AttemptResult(
            ok=True,
            n_tokens=10,
            first_token_s=0.02 + 0.01 * n_uncached,
            between_tokens_s=0.03,
        )
        routing.ended(route, request, result)
    assert state.speeds.prefill_s == pytest.approx(0.01, rel=0.05)
    assert state.speeds.base_s == pytest.approx(0.02, rel=0.2)
    assert state.speeds.token_s == pytest.approx(0.03)
