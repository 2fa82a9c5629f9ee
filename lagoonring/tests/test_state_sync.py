"""What all instances know of each other's load and use, while hubs come and go."""

from __future__ import annotations

import pytest

from lagoonring.serving.moves import MoveState, MoveView
from lagoonring.serving.state_sync import StateSync
from lagoonring.serving.true_time import TrueClock
from lagoonring.tests.builders.exchanges import ROUND_S, Deployment
from lagoonring.tests.builders.serving import make_organisation, make_parts

SETTLE_S = 3.0
TAKE_OVER_S = 3.0
ORGANISATION = make_organisation(rate_per_s=1000.0, burst=1e6, counts_tokens=True)


class Served(Deployment):
    """A deployment whose instances have the parts that requests pass through."""

    def start(self, name, **options):
        exchange = super().start(name, **options)
        parts = make_parts(None, clock=self.clock)
        parts.exchange = exchange
        exchange.parts = parts
        exchange.state_handler = StateSync(parts, TrueClock(self.clock), None)
        return exchange

    def parts(self):
        return [it.parts for it in self.exchanges.values()]

    def take(self, name, amount):
        """Let an instance admit an amount."""
        quotas = self.exchanges[name].parts.quotas
        now_s = self.clock.monotonic()
        quotas._add_own(quotas._usage_of(ORGANISATION.name), amount, now_s)

    def used(self):
        """Return what each instance takes for the use of all in the window."""
        now_s = self.clock.monotonic()
        return [
            parts.quotas.all_totals(now_s)[ORGANISATION.name][1]
            for parts in self.parts()
        ]


@pytest.fixture
async def deployment():
    made = Served(centres=("east", "west", "north"), n_each=3)
    await made.play(SETTLE_S)
    return made


async def test_every_instance_knows_the_load_of_all(deployment):
    for number, exchange in enumerate(deployment.exchanges.values()):
        endpoint = exchange.parts.table.find("a")
        endpoint.n_running = number
        endpoint.n_waiting_tokens = 100 * number
    await deployment.play(4 * ROUND_S)
    for exchange in deployment.exchanges.values():
        endpoint = exchange.parts.table.find("a")
        assert endpoint.count_running() == sum(range(9))
        assert endpoint.count_waiting_tokens() == 100 * sum(range(9))


async def test_load_that_ended_is_gone_everywhere(deployment):
    endpoint = deployment.exchanges["west-1"].parts.table.find("a")
    endpoint.n_running = 5
    await deployment.play(4 * ROUND_S)
    endpoint.n_running = 0
    await deployment.play(4 * ROUND_S)
    tables = [parts.table for parts in deployment.parts()]
    assert all(table.find("a").count_running() == 0 for table in tables)


async def test_load_of_an_instance_that_was_killed_is_gone_soon(deployment):
    deployment.exchanges["west-1"].parts.table.find("a").n_running = 5
    await deployment.play(4 * ROUND_S)
    deployment.stop("west-1")
    await deployment.play(TAKE_OVER_S)
    tables = [parts.table for parts in deployment.parts()]
    assert all(table.find("a").count_running() == 0 for table in tables)


async def test_every_instance_knows_the_use_of_all(deployment):
    for name in deployment.exchanges:
        deployment.take(name, 100.0)
    await deployment.play(4 * ROUND_S)
    assert deployment.used() == [900.0] * 9
    deployment.take("north-2", 50.0)
    await deployment.play(4 * ROUND_S)
    assert deployment.used() == [950.0] * 9


async def play_use(deployment, seconds):
    """Let each instance admit an amount in each round."""
    for _ in range(round(seconds / ROUND_S)):
        for name in deployment.exchanges:
            deployment.take(name, 10.0)
        await deployment.play(ROUND_S)


@pytest.mark.parametrize("centre", ["east", "west", "north"])
async def test_use_is_counted_once_when_another_hub_follows(deployment, centre):
    """What the hub that was killed had admitted counts on."""
    await play_use(deployment, 2.0)
    (hub,) = deployment.hubs(centre)
    deployment.stop(hub)
    await play_use(deployment, TAKE_OVER_S)
    n_rounds = round((2.0 + TAKE_OVER_S) / ROUND_S)
    before = round(2.0 / ROUND_S)
    truth = 10.0 * (8 * n_rounds + before)
    for used in deployment.used():
        assert used == pytest.approx(truth, rel=0.1)


async def test_use_is_counted_once_when_a_larger_hub_comes(deployment):
    await play_use(deployment, 2.0)
    deployment.start("east-8", capacity=50.0)
    await play_use(deployment, 2.0)
    truth = 10.0 * (9 * 20 + 10)
    for used in deployment.used():
        assert used == pytest.approx(truth, rel=0.1)


async def test_use_in_a_data_centre_that_was_cut_off_is_known_after_it(deployment):
    east = deployment.addresses("east")
    deployment.network.isolate(
        east, deployment.addresses("west") + deployment.addresses("north")
    )
    await play_use(deployment, 3.0)
    deployment.network.cut.clear()
    await play_use(deployment, 2.0)
    for used in deployment.used():
        assert used == pytest.approx(10.0 * 9 * 25, rel=0.1)


async def test_hubs_know_what_all_counted_also_when_an_instance_is_killed(deployment):
    window = deployment.parts()[0].usage.window()
    for exchange in deployment.exchanges.values():
        exchange.parts.usage.record_start("one")
    await deployment.play(1.0)
    victim = next(n for n, it in deployment.exchanges.items() if not it.is_hub())
    deployment.stop(victim)
    deployment.start(victim).parts.usage.record_start("one")
    await deployment.play(2.0)
    for centre in deployment.centres:
        (hub,) = deployment.hubs(centre)
        usage = deployment.exchanges[hub].parts.usage
        assert usage.total(window) == {"one": 10}


async def test_hubs_know_the_demand_of_all(deployment):
    for exchange in deployment.exchanges.values():
        for _ in range(20):
            exchange.parts.demand.note_arrival("desk", 0.1)
    await deployment.play(1.0)
    for centre in deployment.centres:
        (hub,) = deployment.hubs(centre)
        parts = deployment.exchanges[hub].parts
        own = parts.demand.own()["desk"]
        assert parts.demand.busy_endpoints("desk") == pytest.approx(9 * own, rel=0.2)


async def test_a_request_that_breaks_endpoints_is_known_everywhere(deployment):
    now_s = deployment.clock.monotonic()
    for name in ("east-1", "west-2", "north-0"):
        suspects = deployment.exchanges[name].parts.suspects
        suspects.note_crash("fingerprint", f"endpoint of {name}", now_s)
    await deployment.play(5 * ROUND_S)
    assert all(p.suspects.is_condemned("fingerprint") for p in deployment.parts())


async def test_what_a_hub_tells_of_broken_endpoints_is_not_told_back(deployment):
    now_s = deployment.clock.monotonic()
    parts = deployment.exchanges["east-1"].parts
    parts.suspects.note_crash("fingerprint", "endpoint", now_s)
    await deployment.play(5 * ROUND_S)
    for name, exchange in deployment.exchanges.items():
        if name != "east-1" and not exchange.is_hub():
            assert not exchange.parts.suspects.read_news(now_s + 5 * ROUND_S)


async def test_a_move_s_view_reaches_all(deployment):
    view = MoveView(
        offset=3, target="v2", state=MoveState.RUNNING, share=0.1, revision=(1, 1)
    )
    (hub,) = deployment.hubs("north")
    deployment.exchanges[hub].parts.gate.note("desk", view)
    await deployment.play(4 * ROUND_S)
    assert all(parts.gate.views["desk"].view == view for parts in deployment.parts())
