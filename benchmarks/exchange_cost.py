"""Bytes and processor time of what instances on a platform tell each other.

All instances are in this process, over a network in memory: codecs, sums and decisions
are measured, sockets are not. Prints a row per size: of a hub and of another instance.

    python benchmarks/exchange_cost.py --each 8 16 32 57
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time

from lagoonring.serving.state_sync import StateSync
from lagoonring.serving.true_time import TrueClock
from lagoonring.tests.builders.exchanges import Deployment
from lagoonring.tests.builders.serving import make_parts, make_record

N_ORGANISATIONS = 20
ENDPOINTS_PER_INSTANCE = 670 / 400  # of the target
RUNNING_PER_INSTANCE = 24  # 6,500 requests a second of 1.5 s at 400 instances
SETTLE_S = 3.0
ROUNDS = 10


class Measured(Deployment):
    """A deployment with parts, which counts bytes and time by instance."""

    def __init__(self, n_centres: int, n_each: int) -> None:
        self.spent_s: dict[str, float] = {}
        self.n_bytes: dict[str, int] = {}
        n_endpoints = round(ENDPOINTS_PER_INSTANCE * n_centres * n_each)
        self.names = [f"i-{number:010x}" for number in range(n_endpoints)]
        self.load_rng = random.Random(1)
        super().__init__(
            centres=tuple(f"dc{index}" for index in range(n_centres)),
            n_each=n_each,
            seeds=("dc0-0",),
        )

    def start(self, name, **options):
        """Start an instance with its parts and some work in progress."""
        exchange = super().start(name, **options)
        records = [make_record(endpoint) for endpoint in self.names]
        parts = make_parts(None, *records, clock=self.clock)
        parts.exchange = exchange
        exchange.state_handler = StateSync(parts, TrueClock(self.clock), None)
        for _ in range(RUNNING_PER_INSTANCE):
            endpoint = parts.table.find(self.load_rng.choice(self.names))
            endpoint.n_running += 1
            endpoint.n_waiting_tokens += 1000
        for number in range(N_ORGANISATIONS):
            use = parts.quotas._usage_of(f"organisation{number}")
            parts.quotas._add_own(use, 1000.0, self.clock.monotonic())
            parts.usage.record_start(f"organisation{number}")
        receive = exchange.receive

        def measured(content: bytes) -> None:
            started_s = time.process_time()
            receive(content)
            self._count(name, time.process_time() - started_s, len(content))

        self.network.receivers[exchange.address] = measured
        return exchange

    def _count(self, name: str, spent_s: float, n_bytes: int) -> None:
        self.spent_s[name] = self.spent_s.get(name, 0.0) + spent_s
        self.n_bytes[name] = self.n_bytes.get(name, 0) + n_bytes

    async def measure(self) -> dict[str, tuple[float, float, float]]:
        """Return bytes sent and received and seconds spent, a second, by instance."""
        self.spent_s.clear()
        self.n_bytes.clear()
        sent: dict[str, int] = {}
        options = next(iter(self.exchanges.values())).options
        interval_s = options.interval_s + self.n_each * options.interval_per_instance_s
        for _ in range(ROUNDS):
            for name, exchange in self.exchanges.items():
                started_s = time.process_time()
                exchange.send_round()
                self._count(name, time.process_time() - started_s, 0)
                queued = list(self.network.queue)
                sent[name] = sent.get(name, 0) + sum(len(it[2]) for it in queued)
                self.network.deliver()
            await self.clock.advance(interval_s)
        seconds = ROUNDS * interval_s
        return {
            name: (
                sent[name] / seconds,
                self.n_bytes[name] / seconds,
                self.spent_s[name] / seconds,
            )
            for name in self.exchanges
        }


async def run(n_centres: int, n_each: int) -> None:
    """Measure one size and print its row."""
    deployment = Measured(n_centres, n_each)
    deployment.n_each = n_each
    await deployment.run_for(SETTLE_S)
    figures = await deployment.measure()
    rows: dict[bool, list[tuple[float, float, float]]] = {True: [], False: []}
    for name, figure in figures.items():
        rows[deployment.exchanges[name].is_hub()].append(figure)
    for is_hub, made in rows.items():
        sent, received, spent = (
            sum(column) / len(made) for column in zip(*made, strict=True)
        )
        print(
            f"{n_centres} x {n_each:3}  {'hub  ' if is_hub else 'other'} "
            f"sent {sent / 1000:7.1f} KB/s  received {received / 1000:7.1f} KB/s  "
            f"{100 * spent:5.2f}% of a core"
        )


def main() -> None:
    """Read the command line and measure each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--centres", type=int, default=7)
    parser.add_argument("--each", type=int, nargs="+", default=[8, 16, 32])
    options = parser.parse_args()
    for n_each in options.each:
        asyncio.run(run(options.centres, n_each))


if __name__ == "__main__":
    main()
