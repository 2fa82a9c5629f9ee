from __future__ import annotations

import pytest

from lagoonring.kernel import ManualClock
from lagoonring.routing import AttemptResult, FailingEndpoint, RoutingOptions
from lagoonring.routing.health import EndpointHealth, find_ejection_reason
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.routing import (
    PeerNetwork,
    make_app,
    make_chat,
    make_endpoints,
    make_request,
    start_routing,
)

SUCCESS = AttemptResult(ok=True, n_tokens=5, first_token_s=0.05, between_tokens_s=0.03)
CUT = AttemptResult(ok=False, kind="cut")
CONNECT = AttemptResult(ok=False, kind="connect")


async def make_routing(n_endpoints, **options):
    network = PeerNetwork()
    content = make_catalogue(endpoints=make_endpoints(plateau=n_endpoints))
    app = make_app(content, network.add("e0"), ManualClock())
    return await start_routing(app, **options), network


def run_attempts(routing, endpoint, result, n_times=1):
    request = make_request()
    for _ in range(n_times):
        routing.started(endpoint, request)
        routing.ended(endpoint, request, result)


def count_choices(routing, n_choices=200):
    counts = {}
    for _ in range(n_choices):
        name = routing.choose(make_request()).endpoint
        counts[name] = counts.get(name, 0) + 1
    return counts


async def test_failing_endpoint_is_ejected_reported_and_returns_after_one_probe():
    routing, network = await make_routing(3)
    for name in ("plateau-0", "plateau-1", "plateau-2"):
        run_attempts(routing, name, SUCCESS)
    run_attempts(routing, "plateau-0", CONNECT, 3)
    assert "plateau-0" not in count_choices(routing)
    assert ("failing", "plateau-0") in network.peers["e0"].published

    await routing.app.clock.advance(2.1)
    probe = routing.choose(make_request())
    assert (probe.endpoint, probe.reason) == ("plateau-0", "probe")
    assert "plateau-0" not in count_choices(routing)

    routing.started(probe, make_request())
    routing.ended(probe, make_request(), SUCCESS)
    assert ("failing", "plateau-0") not in network.peers["e0"].published
    early = count_choices(routing, 600).get("plateau-0", 0)
    assert 0 < early < 100
    await routing.app.clock.advance(10.1)
    assert count_choices(routing, 600)["plateau-0"] > 140


async def test_failed_probe_doubles_the_ejection_time():
    routing, _ = await make_routing(2)
    run_attempts(routing, "plateau-0", CONNECT, 3)
    await routing.app.clock.advance(2.1)
    probe = routing.choose(make_request())
    routing.started(probe, make_request())
    routing.ended(probe, make_request(), CONNECT)
    await routing.app.clock.advance(3.9)
    assert routing.choose(make_request()).reason != "probe"
    await routing.app.clock.advance(0.2)
    assert routing.choose(make_request()).reason == "probe"


async def test_lost_probe_is_replaced_after_its_timeout():
    routing, _ = await make_routing(2)
    run_attempts(routing, "plateau-0", CONNECT, 3)
    await routing.app.clock.advance(2.1)
    assert routing.choose(make_request()).reason == "probe"
    await routing.app.clock.advance(31)
    assert routing.choose(make_request()).reason == "probe"


async def test_non_idempotent_call_is_not_used_as_a_probe():
    endpoints = make_endpoints(plateau=2)
    for endpoint in endpoints.values():
        endpoint["entry"] = "booking"
    app = make_app(make_catalogue(endpoints=endpoints), clock=ManualClock())
    routing = await start_routing(app)
    run_attempts(routing, "plateau-0", CONNECT, 3)
    await app.clock.advance(2.1)
    call = make_request(entry="booking", method="POST")
    assert {routing.choose(call).endpoint for _ in range(20)} == {"plateau-1"}
    read_call = make_request(entry="booking", method="GET")
    assert routing.choose(read_call).reason == "probe"


async def test_all_ejected_endpoints_are_used_rather_than_none():
    routing, _ = await make_routing(2)
    for name in ("plateau-0", "plateau-1"):
        run_attempts(routing, name, CONNECT, 3)
    assert routing.choose(make_request()).reason == "all_ejected"
    assert routing.capacity("guide") > 0


@pytest.mark.parametrize("kind", ["refused", "cancelled", "moved"])
async def test_results_unrelated_to_health_do_not_eject(kind):
    routing, _ = await make_routing(2)
    run_attempts(routing, "plateau-0", AttemptResult(ok=False, kind=kind), 20)
    assert "plateau-0" in count_choices(routing)


async def test_failure_caused_by_a_request_counts_neither_as_failure_nor_as_success():
    routing, _ = await make_routing(3)
    run_attempts(routing, "plateau-0", CONNECT, 2)
    attributed_to_request = AttemptResult(ok=False, kind="timeout", cause="suspect")
    run_attempts(routing, "plateau-0", attributed_to_request, 5)
    assert routing.table.states["plateau-0"].health.state == "up"
    run_attempts(routing, "plateau-0", CONNECT)
    assert routing.table.states["plateau-0"].health.state == "ejected"


def test_slow_endpoint_is_not_ejected_while_half_of_the_others_are():
    def make(state, latency_s):
        return EndpointHealth(state=state, latency_s=latency_s, n_latencies=20)

    slow = make("up", 5.0)
    up, ejected = make("up", 0.05), make("ejected", 0.05)
    options = RoutingOptions()
    for others, fault in (([ejected, up, up], "latency"), ([ejected, ejected, up], "")):
        assert (
            find_ejection_reason(
                slow, others, is_reported_failing=False, options=options
            )
            == fault
        )


async def test_crash_caused_by_a_request_ejects_without_penalty():
    routing, network = await make_routing(3)
    health = routing.table.states["plateau-0"].health
    run_attempts(
        routing, "plateau-0", AttemptResult(ok=False, kind="cut", cause="request")
    )
    assert health.state == "ejected"
    assert (health.n_consecutive, health.failure_share, health.n_ejections) == (0, 0, 0)
    assert ("failing", "plateau-0") not in network.peers["e0"].published


async def test_endpoint_that_fails_more_often_than_the_others_is_ejected():
    routing, _ = await make_routing(4)
    for _ in range(15):
        for number in range(4):
            run_attempts(routing, f"plateau-{number}", SUCCESS)
        run_attempts(routing, "plateau-3", CUT, 1)
    states = {name: item.health for name, item in routing.table.states.items()}
    assert states["plateau-3"].reason == "failure_share"
    assert {states[f"plateau-{number}"].state for number in range(3)} == {"up"}


async def test_slow_outliers_are_ejected_but_never_more_than_half():
    routing, _ = await make_routing(6)
    for _ in range(40):
        for number in range(6):
            slow = 10.0**number if number >= 1 else 1.0
            result = AttemptResult(
                ok=True,
                n_tokens=5,
                first_token_s=0.05 * slow,
                between_tokens_s=0.03,
            )
            run_attempts(routing, f"plateau-{number}", result)
    states = [item.health.state for item in routing.table.states.values()]
    assert 1 <= states.count("ejected") <= 3
    assert states[0] == states[1] == "up"


async def test_report_of_a_peer_alone_does_not_eject():
    routing, _ = await make_routing(3)
    hint = FailingEndpoint(reason="latency")
    routing._handle_failing("e9", "plateau-0", hint)
    assert routing.table.states["plateau-0"].health.state == "up"
    request = make_request(make_chat(1, 1)[0])
    run_attempts(routing, "plateau-0", CUT)
    assert routing.table.states["plateau-0"].health.state == "ejected"
    assert routing.choose(request).endpoint != "plateau-0"


async def test_endpoint_that_was_slow_is_tried_again_when_idle():
    routing, _ = await make_routing(2)
    slow = AttemptResult(ok=True, n_tokens=5, first_token_s=0.5, between_tokens_s=0.03)
    run_attempts(routing, "plateau-0", slow)
    run_attempts(routing, "plateau-1", SUCCESS)
    await routing.app.clock.advance(1.1)
    assert count_choices(routing).get("plateau-0", 0) == 0
    await routing.app.clock.advance(300)
    run_attempts(routing, "plateau-1", SUCCESS)
    for _ in range(4):
        routing.started("plateau-1", make_request())
    assert count_choices(routing).get("plateau-0", 0) > 0
