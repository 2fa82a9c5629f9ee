"""Hubs, and whom instances take for silent, while they come, go and are cut off."""

from __future__ import annotations

import msgspec
import pytest

from lagoonring.serving.exchange import HUB_TIMEOUT_S
from lagoonring.serving.members import FORGET_S, MEMBER_TIMEOUT_S
from lagoonring.serving.messages import (
    DIGEST_KIND,
    INTRODUCTION_KIND,
    REPORT_KIND,
    SUMMARY_KIND,
)
from lagoonring.serving.reachability import DISCOVERY_S, START_SHARE
from lagoonring.tests.builders.exchanges import ROUND_S, Deployment

SETTLE_S = 3.0
TAKE_OVER_S = HUB_TIMEOUT_S + 4 * ROUND_S


@pytest.fixture
async def deployment():
    made = Deployment()
    await made.play(SETTLE_S)
    return made


def one_hub_each(deployment):
    return all(len(deployment.hubs(centre)) == 1 for centre in deployment.centres)


def count(exchange):
    return exchange.reachability.count(exchange.app.clock.monotonic())


def all_count(deployment, n_heard, n_known):
    return all(count(it) == (n_heard, n_known) for it in deployment.exchanges.values())


async def test_all_find_each_other_through_one_seed(deployment):
    assert one_hub_each(deployment)
    assert all_count(deployment, 6, 6)
    assert all(it.reachable_share() == 1.0 for it in deployment.exchanges.values())


@pytest.mark.parametrize(
    ("centres", "n_each", "seeds"),
    [
        (("a",), 1, ("a-0",)),
        (("a",), 9, ("a-8",)),
        (("a", "b", "c"), 4, ("b-1", "c-2")),
        (("a", "b", "c", "d"), 17, ("d-3", "a-1", "a-2")),
    ],
)
async def test_deployments_of_any_size_settle(centres, n_each, seeds):
    deployment = Deployment(centres=centres, n_each=n_each, seeds=seeds)
    await deployment.play(SETTLE_S)
    n = len(centres) * n_each
    assert one_hub_each(deployment)
    assert all_count(deployment, n, n)


async def test_the_largest_instance_is_the_hub():
    deployment = Deployment(centres=("east",), n_each=3)
    deployment.start("east-7", capacity=50.0)
    await deployment.play(SETTLE_S)
    assert deployment.hubs("east") == ["east-7"]


async def test_messages_grow_with_the_instances_not_with_their_square():
    sent = {}
    for n_each in (5, 20):
        deployment = Deployment(centres=("a", "b"), n_each=n_each, seeds=("a-0",))
        await deployment.play(SETTLE_S)
        deployment.network.n_sent.clear()
        await deployment.play(2.0)
        sent[n_each] = sum(deployment.network.n_sent.values())
    assert sent[20] < 5 * sent[5]


@pytest.mark.parametrize("centre", ["east", "west"])
async def test_another_instance_follows_a_hub_that_was_killed(deployment, centre):
    (hub,) = deployment.hubs(centre)
    deployment.stop(hub)
    await deployment.play(TAKE_OVER_S)
    assert one_hub_each(deployment)
    await deployment.play(MEMBER_TIMEOUT_S)
    assert all_count(deployment, 5, 6)


async def test_a_killed_hub_is_the_hub_again_when_it_is_back(deployment):
    (hub,) = deployment.hubs("east")
    deployment.stop(hub)
    await deployment.play(TAKE_OVER_S)
    deployment.start(hub)
    await deployment.play(SETTLE_S)
    assert deployment.hubs("east") == [hub]
    assert all_count(deployment, 6, 6)


async def test_a_hub_that_restarts_at_once_goes_on(deployment):
    (hub,) = deployment.hubs("west")
    deployment.stop(hub)
    deployment.start(hub)
    await deployment.play(2 * MEMBER_TIMEOUT_S)
    assert deployment.hubs("west") == [hub]
    assert all_count(deployment, 6, 6)


async def test_a_hub_that_leaves_is_followed_at_once(deployment):
    (hub,) = deployment.hubs("east")
    await deployment.exchanges[hub].retire()
    await deployment.play(3 * ROUND_S)
    assert one_hub_each(deployment)
    assert deployment.hubs("east") != [hub]
    assert all_count(deployment, 6, 6)


async def test_two_hubs_killed_one_after_the_other(deployment):
    for _ in range(2):
        (hub,) = deployment.hubs("west")
        deployment.stop(hub)
        await deployment.play(TAKE_OVER_S)
    assert one_hub_each(deployment)
    await deployment.play(MEMBER_TIMEOUT_S)
    assert all(count(it)[0] == 4 for it in deployment.exchanges.values())


async def test_all_killed_and_started_at_once(deployment):
    names = list(deployment.exchanges)
    for name in names:
        deployment.stop(name)
    for name in names:
        deployment.start(name)
    await deployment.play(SETTLE_S)
    assert one_hub_each(deployment)
    assert all_count(deployment, 6, 6)


async def test_a_data_centre_that_is_cut_off_goes_on_with_its_share(deployment):
    east, west = deployment.addresses("east"), deployment.addresses("west")
    deployment.network.isolate(east, west)
    await deployment.play(MEMBER_TIMEOUT_S + 3 * ROUND_S)
    assert all_count(deployment, 3, 6)
    assert all(it.reachable_share() == 1 / 2 for it in deployment.exchanges.values())
    deployment.network.cut.clear()
    await deployment.play(1.0)
    assert all_count(deployment, 6, 6)


async def test_a_hub_that_dies_while_its_data_centre_is_cut_off(deployment):
    east, west = deployment.addresses("east"), deployment.addresses("west")
    deployment.network.isolate(east, west)
    await deployment.play(MEMBER_TIMEOUT_S)
    (hub,) = deployment.hubs("west")
    deployment.stop(hub)
    await deployment.play(5.0)
    deployment.network.cut.clear()
    await deployment.play(2.0)
    assert one_hub_each(deployment)
    assert all(count(it)[0] == 5 for it in deployment.exchanges.values())


async def test_both_hubs_die_while_the_data_centres_are_cut_off(deployment):
    east, west = deployment.addresses("east"), deployment.addresses("west")
    deployment.network.isolate(east, west)
    await deployment.play(MEMBER_TIMEOUT_S)
    for centre in deployment.centres:
        deployment.stop(deployment.hubs(centre)[0])
    await deployment.play(5.0)
    deployment.network.cut.clear()
    await deployment.play(SETTLE_S)
    assert one_hub_each(deployment)
    assert all(count(it)[0] == 4 for it in deployment.exchanges.values())


async def test_a_hub_that_is_cut_off_alone(deployment):
    (hub,) = deployment.hubs("east")
    cut_off = deployment.exchanges[hub].address
    others = [it.address for it in deployment.exchanges.values()]
    deployment.network.isolate([cut_off], set(others) - {cut_off})
    await deployment.play(MEMBER_TIMEOUT_S + TAKE_OVER_S)
    assert sorted(deployment.hubs("east")) != [hub]
    assert deployment.exchanges[hub].reachable_share() == 1 / 6
    rest = [it for name, it in deployment.exchanges.items() if name != hub]
    assert all(count(it)[0] == 5 for it in rest)
    deployment.network.cut.clear()
    await deployment.play(SETTLE_S)
    assert deployment.hubs("east") == [hub]
    assert all_count(deployment, 6, 6)


async def test_a_hub_that_can_not_be_heard_though_it_hears(deployment):
    (hub,) = deployment.hubs("east")
    cut_off = deployment.exchanges[hub].address
    for other in deployment.exchanges.values():
        deployment.network.cut.add((cut_off, other.address))
    await deployment.play(MEMBER_TIMEOUT_S + TAKE_OVER_S)
    rest = [it for name, it in deployment.exchanges.items() if name != hub]
    assert all(count(it)[0] == 5 for it in rest)


async def test_an_instance_that_left_lowers_the_share_until_it_is_forgotten(deployment):
    (hub,) = deployment.hubs("east")
    gone = next(name for name in deployment.exchanges if name not in (hub, "east-0"))
    deployment.stop(gone)
    await deployment.play(MEMBER_TIMEOUT_S + 2 * ROUND_S)
    assert deployment.exchanges[hub].reachable_share() == pytest.approx(5 / 6)
    await deployment.play(FORGET_S + ROUND_S)
    assert all_count(deployment, 5, 5)


async def test_a_seed_that_is_gone_does_no_harm(deployment):
    deployment.stop("east-0")
    await deployment.play(TAKE_OVER_S)
    deployment.start("east-8")
    deployment.seeds = ("east-0", "west-1")
    deployment.start("west-8")
    deployment.start("east-8")
    await deployment.play(SETTLE_S)
    assert one_hub_each(deployment)
    assert all(count(it)[0] == 7 for it in deployment.exchanges.values())


async def test_a_process_that_just_started_assumes_others():
    deployment = Deployment(centres=("east",), n_each=1)
    (alone,) = deployment.exchanges.values()
    assert alone.reachable_share() == START_SHARE
    await deployment.clock.advance(DISCOVERY_S)
    assert alone.reachable_share() == 1.0


async def test_a_data_centre_alone_at_the_start_leaves_the_others_their_share():
    deployment = Deployment()
    east, west = deployment.addresses("east"), deployment.addresses("west")
    deployment.network.isolate(east, west)
    await deployment.play(DISCOVERY_S / 2)
    assert all(it.reachable_share() <= 1 / 2 for it in deployment.exchanges.values())


async def test_the_duties_are_for_a_hub_that_others_agree_on(deployment):
    settled = [n for n, it in deployment.exchanges.items() if it.is_settled_hub()]
    assert sorted(settled) == sorted(deployment.hubs("east") + deployment.hubs("west"))
    assert not deployment.start("west-9").is_settled_hub()


async def test_all_have_told_once_everyone_was_heard_after_a_time(deployment):
    hub = deployment.exchanges[deployment.hubs("east")[0]]
    now_s = deployment.clock.monotonic()
    assert not hub.all_reported_since(now_s)
    await deployment.play(3 * ROUND_S)
    assert hub.all_reported_since(now_s)
    deployment.stop("west-2")
    await deployment.play(1.0)
    now_s = deployment.clock.monotonic()
    await deployment.play(MEMBER_TIMEOUT_S)
    assert not hub.all_reported_since(now_s)


@pytest.mark.parametrize(
    "kind", [REPORT_KIND, DIGEST_KIND, SUMMARY_KIND, INTRODUCTION_KIND]
)
async def test_a_message_that_can_not_be_read_changes_nothing(kind):
    deployment = Deployment(centres=("east",), n_each=1)
    (exchange,) = deployment.exchanges.values()
    for content in (b"", kind + b"\xff", kind + msgspec.msgpack.encode([1])):
        exchange.receive(content)
    assert exchange.members.known == {}


async def test_local_peers_are_those_of_the_same_data_centre(deployment):
    for name, exchange in deployment.exchanges.items():
        others = set(deployment.addresses(name.split("-")[0])) - {exchange.address}
        assert set(exchange.local_peers()) == others
