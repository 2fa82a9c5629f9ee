"""Limits of organisations at many instances, simulated without a network."""

from __future__ import annotations

import random

import pytest

from lagoonring.serving.quotas import MIN_REPORT_DELAY_S, Quotas
from lagoonring.tests.builders.serving import make_organisation


def warm_quotas():
    """Return the quotas of a process that has been running for a minute."""
    return Quotas(8.0, started_s=-60.0)


LIMITED = make_organisation(rate_per_s=100.0, burst=200.0, counts_tokens=True)


def simulate_quota(
    *, n_instances, delay_s, demand_per_s, seconds=40.0, exchanges_totals=True
):
    """Simulate the demand of an organisation; return the admission times."""
    rng = random.Random(2)
    instances = [Quotas(8.0, overshoot=0.1, slack=170.0) for _ in range(n_instances)]
    now_s, next_exchange_s, admitted_s = 0.0, 0.0, []
    while now_s < seconds:
        now_s += rng.expovariate(demand_per_s / 10)
        if exchanges_totals and now_s >= next_exchange_s:
            next_exchange_s = now_s + delay_s
            reports = [quotas.totals(now_s) for quotas in instances]
            for index, quotas in enumerate(instances):
                for other, totals in enumerate(reports):
                    if other != index:
                        quotas.update_peer(str(other), 1, totals, now_s)
        quotas = rng.choice(instances)
        if quotas.take(LIMITED, 10.0, now_s, 1.0) is None:
            admitted_s.append(now_s)
    return admitted_s


def max_in_window(times_s, window_s=8.0):
    return max(
        sum(start_s <= time_s < start_s + window_s for time_s in times_s)
        for start_s in times_s
    )


def test_a_hot_organisation_stays_within_its_limit_over_all_instances():
    admitted_s = simulate_quota(n_instances=9, delay_s=0.25, demand_per_s=600.0)
    bound = (100.0 * 8 + 200.0) * 1.1 + 170.0
    assert max_in_window(admitted_s) * 10.0 <= bound


def simulate_kill(
    *,
    n_instances=9,
    demand_per_s=800.0,
    killed_at_s=12.0,
    down_s=1.0,
    hub_changes_s=None,
    delay_s=None,
):
    """Simulate a hot organisation at instances that are all killed at once.

    Some time after their start their hub may change, which then reports in place of
    the one before. With ``delay_s``, that of reports, instances know their number.
    """
    rng = random.Random(6)

    def start(now_s):
        made = [
            Quotas(8.0, overshoot=0.1, slack=170.0, started_s=now_s, phase=rng.random())
            for _ in range(n_instances)
        ]
        for quotas in made:
            quotas.set_start_share(1 / 8)
        return made

    instances, now_s, next_exchange_s, admitted_s = start(-60.0), 9.0, 9.0, []
    started_s, hub = -60.0, 0
    while now_s < 30.0:
        now_s += rng.expovariate(demand_per_s / 10)
        if started_s < killed_at_s <= now_s:
            now_s = started_s = killed_at_s + down_s
            instances, next_exchange_s = start(now_s), now_s + 0.3
        if hub == 0 and hub_changes_s and now_s >= started_s + hub_changes_s >= 0:
            hub = 1
            for quotas in instances:
                quotas.carry_over_peers(now_s)
        if now_s >= next_exchange_s:
            next_exchange_s = now_s + 0.25
            reports = [quotas.totals(now_s) for quotas in instances]
            for index, quotas in enumerate(instances):
                for other, totals in enumerate(reports):
                    if other != index:
                        peer = f"{started_s}-{hub}-{other}"
                        quotas.update_peer(peer, 1, totals, now_s)
        is_isolated = now_s < started_s + 0.3
        quotas = rng.choice(instances)
        known = {}
        if delay_s and not is_isolated:
            known = {"n_instances": n_instances, "report_delay_s": delay_s}
        share = 1 / 8 if is_isolated else 1.0
        if quotas.take(LIMITED, 10.0, now_s, share, **known) is None:
            admitted_s.append(now_s)
    return admitted_s


@pytest.mark.parametrize("killed_at_s", [9.5, 10.5, 12.0, 14.0, 16.5])
def test_a_limit_holds_when_all_instances_are_killed_in_a_burst(killed_at_s):
    admitted_s = simulate_kill(killed_at_s=killed_at_s)
    bound = (100.0 * 8 + 200.0) * 1.1 + 170.0
    assert max_in_window(admitted_s) * 10.0 <= bound


@pytest.mark.parametrize("hub_changes_s", [0.5, 1.0, 1.5, 2.0, 3.0])
@pytest.mark.parametrize("killed_at_s", [10.5, 12.0, 14.0, 16.5])
def test_a_limit_holds_when_the_hub_changes_after_all_instances_were_killed(
    killed_at_s, hub_changes_s
):
    admitted_s = simulate_kill(killed_at_s=killed_at_s, hub_changes_s=hub_changes_s)
    bound = (100.0 * 8 + 200.0) * 1.1 + 170.0
    assert max_in_window(admitted_s) * 10.0 <= bound


@pytest.mark.parametrize("n_instances", [9, 20, 30, 60])
@pytest.mark.parametrize("killed_at_s", [10.5, 12.0, 14.0, 16.5])
def test_a_limit_holds_when_many_instances_are_killed_at_once(killed_at_s, n_instances):
    admitted_s = simulate_kill(
        n_instances=n_instances, killed_at_s=killed_at_s, delay_s=MIN_REPORT_DELAY_S
    )
    bound = (100.0 * 8 + 200.0) * 1.1 + 170.0
    assert max_in_window(admitted_s) * 10.0 <= bound


@pytest.mark.parametrize("called_before_s", [None, 0.0])
def test_an_instance_called_after_the_others_finds_the_burst_used(called_before_s):
    quotas = Quotas(8.0, started_s=-60.0)
    if called_before_s is not None:
        assert quotas.take(LIMITED, 1.0, called_before_s, 1.0) is None
    quotas.update_peer("other", 1, {"one": (225.0, 225.0)}, 5.0)
    assert quotas.take(LIMITED, 10.0, 5.0, 1.0) is not None


def test_first_reports_after_a_start_of_many_instances_restore_no_burst():
    quotas = Quotas(8.0, overshoot=0.1, slack=170.0)
    quotas.set_start_share(1 / 8)
    for peer in range(59):
        quotas.update_peer(str(peer), 1, {"one": (10.0, 10.0)}, 0.4)
    quotas.take(LIMITED, 10.0, 0.4, 1.0, n_instances=60)
    assert quotas.usages["one"].burst_level < LIMITED.burst / 2


def test_usage_after_a_change_of_hubs_is_not_taken_for_a_repeat():
    quotas = warm_quotas()
    quotas.update_peer("hub", 1, {"one": (600.0, 600.0)}, 5.0)
    quotas.carry_over_peers(5.5)
    quotas.update_peer("next hub", 1, {"one": (100.0, 400.0)}, 5.6)
    quotas.update_peer("next hub", 1, {"one": (300.0, 600.0)}, 6.0)
    assert quotas.usages["one"].everywhere.read(6.0) == 800.0


def test_callers_within_their_limit_are_served_after_all_instances_were_killed():
    """Nine instances start; an organisation at half its rate calls all of them."""
    rng = random.Random(8)
    instances = [Quotas(8.0, overshoot=0.1, slack=170.0) for _ in range(9)]
    for quotas in instances:
        quotas.set_start_share(1 / 8)
    now_s, n_asked, n_refused = 0.0, 0, 0
    while now_s < 3.0:
        now_s += rng.expovariate(5.5)
        share = 1 / 8 if now_s < 0.3 else 1.0
        amount = rng.choice([4.0, 6.0, 20.0])
        n_asked += 1
        index = rng.randrange(9)
        if instances[index].take(LIMITED, amount, now_s, share) is not None:
            n_refused += 1
            continue
        for other, quotas in enumerate(instances):
            if other != index:
                total = {"one": (instances[index].totals(now_s)["one"])}
                quotas.update_peer(str(index), 1, total, now_s)
    assert n_refused <= 0.1 * n_asked


def test_an_organisation_within_its_limit_is_never_refused():
    rng = random.Random(2)
    quotas = Quotas(8.0, overshoot=0.1, slack=100.0)
    now_s = 0.0
    for _ in range(500):
        now_s += rng.uniform(0.1, 0.14)
        assert quotas.take(LIMITED, 10.0, now_s, 1.0) is None


def test_an_isolated_instance_uses_only_its_share_of_a_limit():
    quotas = Quotas(8.0, started_s=-60.0)
    n_taken = 0
    while quotas.take(LIMITED, 10.0, 1.0, 1 / 4) is None:
        n_taken += 1
    assert n_taken * 10.0 <= quotas.allowed(LIMITED) / 4


def test_a_request_above_the_limit_is_admitted_when_the_window_is_empty():
    quotas = warm_quotas()
    assert quotas.take(LIMITED, 1e6, 1.0, 1.0) is None
    assert quotas.take(LIMITED, 1.0, 1.1, 1.0) > 0


def test_a_refund_makes_room_in_the_limit():
    quotas = warm_quotas()
    assert quotas.take(LIMITED, 225.0, 1.0, 1.0) is None
    assert quotas.take(LIMITED, 10.0, 1.0, 1.0) > 0
    quotas.refund("one", 225.0, 1.0)
    assert quotas.take(LIMITED, 10.0, 1.0, 1.0) is None


def test_a_retry_after_the_returned_wait_is_admitted():
    quotas = warm_quotas()
    quotas.take(LIMITED, 225.0, 1.0, 1.0)
    wait_s = quotas.take(LIMITED, 100.0, 1.0, 1.0)
    assert quotas.take(LIMITED, 100.0, 1.0 + wait_s + 0.01, 1.0) is None


def test_a_restarted_instance_receives_the_usage_of_its_peers():
    old, new = warm_quotas(), Quotas(8.0, started_s=1.0)
    assert old.take(LIMITED, 900.0, 1.0, 1.0) is None
    new.update_peer("old", 5, old.totals(4.0), 4.0)
    assert new.take(LIMITED, 200.0, 4.0, 1.0) > 0


def test_a_restart_of_all_instances_does_not_grant_the_window_again():
    """A hot organisation keeps sending requests while all processes are killed."""
    rng = random.Random(4)
    quotas = Quotas(8.0, overshoot=0.1, slack=170.0)
    now_s, is_restarted, admitted_s = 0.0, False, []
    while now_s < 40.0:
        now_s += rng.expovariate(60.0)
        if now_s > 20.0 and not is_restarted:
            is_restarted = True
            now_s += 1.0
            quotas = Quotas(8.0, overshoot=0.1, slack=170.0, started_s=now_s)
        if quotas.take(LIMITED, 10.0, now_s, 1.0) is None:
            admitted_s.append(now_s)
    bound = (100.0 * 8 + 200.0) * 1.1 + 170.0
    assert max_in_window(admitted_s) * 10.0 <= bound


def test_a_usual_load_is_served_after_all_instances_were_killed():
    quotas = Quotas(8.0)
    now_s, n_refused = 0.0, 0
    while now_s < 8.0:
        now_s += 0.2
        n_refused += quotas.take(LIMITED, 11.0, now_s, 1.0) is not None
    assert n_refused == 0


def test_a_hot_organisation_is_admitted_evenly_over_the_window():
    rng = random.Random(4)
    quotas = Quotas(8.0)
    now_s, admitted_s = 0.0, []
    while now_s < 40.0:
        now_s += rng.expovariate(60.0)
        if quotas.take(LIMITED, 10.0, now_s, 1.0) is None:
            admitted_s.append(now_s)
    settled_s = [time_s for time_s in admitted_s if time_s >= 8.0]
    assert len(settled_s) * 10.0 >= 0.9 * 32.0 * quotas.allowed(LIMITED) / 8.0
    assert max_in_window(settled_s, 2.0) * 10.0 <= 0.4 * quotas.allowed(LIMITED)


def test_duplicate_reports_count_once():
    old, new = warm_quotas(), warm_quotas()
    assert old.take(LIMITED, 100.0, 1.0, 1.0) is None
    for _ in range(5):
        new.update_peer("old", 5, old.totals(1.0), 1.0)
    assert new.take(LIMITED, 100.0, 1.0, 1.0) is None


def test_an_organisation_without_limit_is_not_counted():
    quotas = Quotas(8.0)
    free = make_organisation()
    assert all(quotas.take(free, 1e9, 1.0, 1.0) is None for _ in range(10))


def simulate_many_instances(*, demand_per_s, n_instances=60, delay_s=0.9, seconds=24.0):
    """Simulate an organisation at many instances that have been running for a minute.

    Operators tolerate 3% of the limit in addition to the share; requests cost 1 to 40
    of the 8000 that a window allows. Returns the times and amounts that were admitted,
    and the share of requests that were refused.
    """
    rng = random.Random(3)
    limited = make_organisation(rate_per_s=800.0, burst=1600.0, counts_tokens=True)
    made = [
        Quotas(8.0, overshoot=0.1, slack=240.0, started_s=-60.0)
        for _ in range(n_instances)
    ]
    now_s, next_exchange_s, admitted, n_refused, n_asked = 0.0, 0.0, [], 0, 0
    while now_s < seconds:
        amount = rng.choice([1.0, 2.0, 4.0, 10.0, 40.0])
        now_s += rng.expovariate(demand_per_s / 11.4)
        if now_s >= next_exchange_s:
            next_exchange_s = now_s + delay_s
            reports = [quotas.totals(now_s) for quotas in made]
            for index, quotas in enumerate(made):
                for other, totals in enumerate(reports):
                    if other != index:
                        quotas.update_peer(str(other), 1, totals, now_s)
        n_asked += 1
        quotas = made[min(int(rng.expovariate(3) * n_instances), n_instances - 1)]
        wait_s = quotas.take(
            limited,
            amount,
            now_s,
            1.0,
            n_instances=n_instances,
            report_delay_s=delay_s,
        )
        if wait_s is None:
            admitted.append((now_s, amount))
        else:
            n_refused += 1
    return admitted, n_refused / n_asked


def max_taken(admitted, window_s=8.0):
    return max(
        sum(amount for at_s, amount in admitted if start_s <= at_s < start_s + window_s)
        for start_s, _ in admitted[:: max(len(admitted) // 300, 1)]
    )


@pytest.mark.parametrize(
    ("n_instances", "delay_s"), [(60, 0.9), (195, 1.14), (400, 1.65)]
)
def test_late_reports_of_many_instances_keep_a_hot_organisation_within_its_limit(
    n_instances, delay_s
):
    """Delays of 30, 46 and 80 instances per data centre."""
    admitted, _ = simulate_many_instances(
        demand_per_s=2700.0, n_instances=n_instances, delay_s=delay_s
    )
    bound = (800.0 * 8 + 1600.0) * 1.1 + 240.0
    assert max_taken(admitted) <= bound
    large = sum(amount == 40.0 for _, amount in admitted)
    assert large > 0.5 * sum(amount == 10.0 for _, amount in admitted)


def test_an_organisation_within_its_limit_is_rarely_refused_by_many_instances():
    _, refused_share = simulate_many_instances(demand_per_s=720.0)
    assert refused_share <= 0.02
