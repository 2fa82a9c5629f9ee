"""Measures cost and capacity shortfall of the fleet's planner.

Simulates two days in steps of one minute over seeded prices, demand, reclaim waves
and refused starts. Compares the planner with on-demand instances only and with the
cheapest reclaimable offer of the moment; all use the same forecast and target load.
Prints per policy: cost per day, missing slots as a share of the demand, and minutes
per day in which demand exceeded the ready slots.

    python benchmarks/fleet_bill.py --n-seeds 20 --n-processes 3
"""

from __future__ import annotations

import argparse
import concurrent.futures
import math
import random
from collections import Counter

import attrs

from lagoonring.fleet.demand import DemandHysteresis
from lagoonring.fleet.forecast import DAY_S, Forecast
from lagoonring.fleet.options import FleetOptions
from lagoonring.fleet.planner import GoalRange, Need, Offer, make_plan
from lagoonring.platform.cloud import ON_DEMAND, RECLAIMABLE

STEP_S = 60.0
N_DAYS = 2
DATA_CENTRES = ("plateau", "almadies", "rufisque")
START_DELAY_S = 120.0
N_SLOTS = 8
SWITCH_MARGIN = 0.1
POLICIES = ("planner", "on_demand", "cheapest_reclaimable")


@attrs.define(kw_only=True)
class BilledInstance:
    """A running or starting instance, billed from its start."""

    offer: tuple[str, str]
    ready_s: float


@attrs.define(kw_only=True)
class Bill:
    """Cost and shortfall of one policy over one seed."""

    money: float = 0.0
    missed: float = 0.0
    demand: float = 0.0
    n_short_minutes: int = 0
    n_refused: int = 0
    n_reclaimed: int = 0


class Market:
    """Prices, reclaim waves, refusals and demand of one seed, for all policies."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        n_steps = int(N_DAYS * DAY_S / STEP_S)
        self.prices = {name: _draw_prices(rng, n_steps) for name in DATA_CENTRES}
        self.waves = [
            {name for name in DATA_CENTRES if rng.random() < 1 / (8 * 60)}
            for _ in range(n_steps)
        ]
        self.refused = {name: _draw_refusals(rng, n_steps) for name in DATA_CENTRES}
        peak = rng.uniform(60, 200)
        phase = rng.uniform(-2, 2)
        self.demand = []
        noise = 0.0
        for step in range(n_steps):
            noise = 0.95 * noise + rng.gauss(0, 0.02)
            hour = step * STEP_S / 3600 % 24
            day = 0.35 + 0.65 * math.exp(-(((hour - 14 - phase) / 4.5) ** 2))
            self.demand.append(max(1.0, peak * day * (1 + noise)))

    def offers(self, step: int, current: Counter, refused: set) -> list[Offer]:
        """Return the offers of a step, with a lower price for those in use."""
        offers = []
        for name in DATA_CENTRES:
            for market in (RECLAIMABLE, ON_DEMAND):
                key = (name, market)
                price = self.prices[name][step] if market == RECLAIMABLE else 1.0
                factor = 1 - SWITCH_MARGIN if current[key] else 1.0
                offers.append(
                    Offer(
                        goal=name,
                        data_centre=name,
                        instance_class="small",
                        market=market,
                        price=price * factor,
                        reclaims_per_h=0.125 if market == RECLAIMABLE else 0.0,
                        n_slots=N_SLOTS,
                        n_most=current[key] if key in refused else 1000,
                    )
                )
        return offers


class Simulation:
    """Simulation of one policy over one seed."""

    def __init__(self, policy: str, market: Market) -> None:
        self.policy = policy
        self.market = market
        self.options = FleetOptions()
        self.instances: list[BilledInstance] = []
        self.forecast = Forecast()
        self.hysteresis = DemandHysteresis(
            margin=self.options.cancel_margin, settle_s=300
        )
        self.backoff_until_s: dict[tuple[str, str], float] = {}
        self.bill = Bill()

    def run(self) -> Bill:
        """Simulate all steps; the first hour of the first day is not counted."""
        for step, demand in enumerate(self.market.demand):
            now_s = step * STEP_S + 1
            self._reclaim(step)
            self.forecast.add(demand, now_s)
            self._scale(step, now_s)
            if now_s > 3600:
                self._add_to_bill(step, demand, now_s)
        return self.bill

    def _reclaim(self, step: int) -> None:
        for name in self.market.waves[step]:
            retained = [
                instance
                for instance in self.instances
                if instance.offer != (name, RECLAIMABLE)
            ]
            self.bill.n_reclaimed += len(self.instances) - len(retained)
            self.instances = retained

    def _scale(self, step: int, now_s: float) -> None:
        predicted = self.forecast.predict(self.options.horizon_s)
        demand = self.hysteresis.update({"guide": predicted}, now_s)["guide"]
        current = Counter(instance.offer for instance in self.instances)
        refused = {key for key, s in self.backoff_until_s.items() if s > now_s}
        target_counts = self._plan_counts(step, demand, current, refused)
        for offer, count in target_counts.items():
            for _ in range(count - current[offer]):
                self._start(offer, step, now_s)
        self._stop(target_counts, now_s)

    def _plan_counts(
        self, step: int, demand: float, current: Counter, refused: set
    ) -> Counter:
        offers = self.market.offers(step, current, refused)
        if self.policy == "planner":
            need = Need(
                demand=demand,
                target_load=self.options.target_load,
                wave_load=self.options.wave_load,
            )
            goals = {name: GoalRange() for name in DATA_CENTRES}
            plan = make_plan(need, offers, goals)
            return Counter(
                {(o.data_centre, o.market): n for o, n in plan.counts.items()}
            )
        n_needed = math.ceil(demand / self.options.target_load / N_SLOTS)
        market = RECLAIMABLE if self.policy == "cheapest_reclaimable" else ON_DEMAND
        candidates = [
            offer for offer in offers if offer.market == market and offer.n_most
        ]
        if not candidates:
            return Counter(current)
        cheapest = min(candidates, key=lambda offer: offer.price)
        return Counter({(cheapest.data_centre, cheapest.market): n_needed})

    def _start(self, offer: tuple[str, str], step: int, now_s: float) -> None:
        name, market = offer
        if market == RECLAIMABLE and self.market.refused[name][step]:
            self.backoff_until_s[offer] = now_s + 300
            self.bill.n_refused += 1
            return
        self.instances.append(
            BilledInstance(offer=offer, ready_s=now_s + START_DELAY_S)
        )

    def _stop(self, target_counts: Counter, now_s: float) -> None:
        ready = Counter(
            instance.offer for instance in self.instances if instance.ready_s <= now_s
        )
        if any(ready[offer] < count for offer, count in target_counts.items()):
            return
        retained: Counter = Counter()
        instances = []
        for instance in sorted(self.instances, key=lambda instance: instance.ready_s):
            if retained[instance.offer] < target_counts[instance.offer]:
                retained[instance.offer] += 1
                instances.append(instance)
        self.instances = instances

    def _add_to_bill(self, step: int, demand: float, now_s: float) -> None:
        bill = self.bill
        for instance in self.instances:
            name, market = instance.offer
            price = self.market.prices[name][step] if market == RECLAIMABLE else 1.0
            bill.money += price * STEP_S / 3600
        n_slots = N_SLOTS * sum(
            instance.ready_s <= now_s for instance in self.instances
        )
        missed = max(0.0, demand - n_slots)
        bill.missed += missed
        bill.demand += demand
        bill.n_short_minutes += missed > 0


def _draw_prices(rng: random.Random, n_steps: int) -> list[float]:
    level = rng.uniform(0.25, 0.45)
    price = level
    prices = []
    for _ in range(n_steps):
        price += 0.01 * (level - price) + rng.gauss(0, 0.004)
        prices.append(min(0.95, max(0.1, price)))
    return prices


def _draw_refusals(rng: random.Random, n_steps: int) -> list[bool]:
    """Return for each step whether starts are refused: two one-hour windows a day."""
    is_refused = [False] * n_steps
    for _ in range(2 * N_DAYS):
        start = rng.randrange(n_steps)
        for step in range(start, min(n_steps, start + 60)):
            is_refused[step] = True
    return is_refused


def run_one(job: tuple[str, int]) -> tuple[str, Bill]:
    """Simulate one policy over one seed."""
    policy, seed = job
    return policy, Simulation(policy, Market(seed)).run()


def main() -> None:
    """Simulate all seeds and print a line per policy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--n-seeds", type=int, default=20)
    parser.add_argument("--n-processes", type=int, default=3)
    options = parser.parse_args()
    jobs = [(policy, seed) for seed in range(options.n_seeds) for policy in POLICIES]
    with concurrent.futures.ProcessPoolExecutor(options.n_processes) as pool:
        results = list(pool.map(run_one, jobs))
    for policy in POLICIES:
        bills = [bill for name, bill in results if name == policy]
        n_days = N_DAYS * len(bills)
        missed = sum(bill.missed for bill in bills) / sum(b.demand for b in bills)
        print(
            f"{policy:<21} money/day={sum(b.money for b in bills) / n_days:8.1f} "
            f"missed={missed:.5f} "
            f"short_minutes/day={sum(b.n_short_minutes for b in bills) / n_days:6.2f} "
            f"worst={max(b.missed / b.demand for b in bills):.5f} "
            f"refused/day={sum(b.n_refused for b in bills) / n_days:.1f} "
            f"reclaimed/day={sum(b.n_reclaimed for b in bills) / n_days:.1f}"
        )


if __name__ == "__main__":
    main()
