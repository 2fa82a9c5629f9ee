"""Measures bytes and processor time of the state exchange between instances.

All instances run in this process over an in-memory network: encoding, aggregation and
decisions are measured, sockets are not. Prints the mean per hub and per other instance
for each size.

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
N_ENDPOINTS_PER_INSTANCE = 670 / 400  # target deployment
N_RUNNING_PER_INSTANCE = 24  # 6,500 requests/s of 1.5 s each at 400 instances
SETTLE_S = 3.0
N_ROUNDS = 10


class MeasuredDeployment(Deployment):
    """Deployment that counts bytes and processor time by instance."""

    def __init__(self, n_centres: int, n_each: int) -> None:
        self.used_cpu_s: dict[str, float] = {}
        self.n_bytes: dict[str, int] = {}
        n_endpoints = round(N_ENDPOINTS_PER_INSTANCE * n_centres * n_each)
        self.endpoint_names = [f"i-{number:010x}" for number in range(n_endpoints)]
        self.load_rng = random.Random(1)
        super().__init__(
            centres=tuple(f"dc{index}" for index in range(n_centres)),
            n_each=n_each,
            seeds=("dc0-0",),
        )

    def start(self, name, **options):
        """Start an instance with its serving parts and requests in progress."""
        exchange = super().start(name, **options)
        records = [make_record(endpoint) for endpoint in self.endpoint_names]
        parts = make_parts(None, *records, clock=self.clock)
        parts.exchange = exchange
        exchange.state_handler = StateSync(parts, TrueClock(self.clock), None)
        for _ in range(N_RUNNING_PER_INSTANCE):
            endpoint = parts.table.find(self.load_rng.choice(self.endpoint_names))
            endpoint.n_running += 1
            endpoint.n_waiting_tokens += 1000
        for number in range(N_ORGANISATIONS):
            use = parts.quotas._usage_of(f"organisation{number}")
            parts.quotas._add_own(use, 1000.0, self.clock.monotonic())
            parts.usage.record_start(f"organisation{number}")
        receive = exchange.receive

        def measured_receive(content: bytes) -> None:
            start_cpu_s = time.process_time()
            receive(content)
            self._record_use(name, time.process_time() - start_cpu_s, len(content))

        self.network.receivers[exchange.address] = measured_receive
        return exchange

    def _record_use(self, name: str, used_cpu_s: float, n_bytes: int) -> None:
        self.used_cpu_s[name] = self.used_cpu_s.get(name, 0.0) + used_cpu_s
        self.n_bytes[name] = self.n_bytes.get(name, 0) + n_bytes

    async def measure(self) -> dict[str, tuple[float, float, float]]:
        """Return bytes sent and received and CPU seconds, per second, by instance."""
        self.used_cpu_s.clear()
        self.n_bytes.clear()
        sent: dict[str, int] = {}
        options = next(iter(self.exchanges.values())).options
        interval_s = options.interval_s + self.n_each * options.interval_per_instance_s
        for _ in range(N_ROUNDS):
            for name, exchange in self.exchanges.items():
                start_cpu_s = time.process_time()
                exchange.send_round()
                self._record_use(name, time.process_time() - start_cpu_s, 0)
                queued = list(self.network.queue)
                sent[name] = sent.get(name, 0) + sum(
                    len(message[2]) for message in queued
                )
                self.network.deliver()
            await self.clock.advance(interval_s)
        seconds = N_ROUNDS * interval_s
        return {
            name: (
                sent[name] / seconds,
                self.n_bytes[name] / seconds,
                self.used_cpu_s[name] / seconds,
            )
            for name in self.exchanges
        }


async def measure_size(n_centres: int, n_each: int) -> None:
    """Measure one size and print its rows."""
    deployment = MeasuredDeployment(n_centres, n_each)
    deployment.n_each = n_each
    await deployment.run_for(SETTLE_S)
    results = await deployment.measure()
    rows: dict[bool, list[tuple[float, float, float]]] = {True: [], False: []}
    for name, result in results.items():
        rows[deployment.exchanges[name].is_hub()].append(result)
    for is_hub, group in rows.items():
        sent, received, spent = (
            sum(column) / len(group) for column in zip(*group, strict=True)
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
        asyncio.run(measure_size(options.centres, n_each))


if __name__ == "__main__":
    main()
