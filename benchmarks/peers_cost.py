"""Measures the cost of the peers service per node and the spread of an urgent row.

Runs N nodes of one data centre over loopback sockets in a few processes for a bounded
time, for several N, and prints JSON: processor share, bytes and memory per node, and
the time until an urgent row has reached all nodes. A linear fit over N gives the slope
per additional node. ``--memory`` runs the target deployment of 7 data centres with 57
nodes each over in-memory links and a manual clock, and counts frames, bytes and the
processor time of the Python code.

    python benchmarks/peers_cost.py
    python benchmarks/peers_cost.py --memory
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path

import attrs

from lagoonring.kernel import Application, ManualClock
from lagoonring.peers import PeersOptions, PeersService, SeedMember
from lagoonring.tests.builders.peers import MemoryNetwork, MemoryTransport

KEY = "a shared key of benchmarks"
PAGE_BYTES = 4096
N_LOADS_PER_NODE = 2
PUBLISH_INTERVAL_S = 1.0
WARM_UP_S = 8.0
URGENT_WAIT_S = 3.0
TARGET_PER_DATA_CENTRE = 57
TARGET_DATA_CENTRES = 7


@attrs.frozen
class Load:
    """A load report like those that the routing service publishes."""

    n_running: int
    n_waiting: int
    kv_used_share: float
    tokens_per_s: float
    time_s: float


@attrs.frozen
class Notice:
    """An urgent row with its send time."""

    time_s: float


def make_seeds(n_nodes: int, base_port: int) -> list[SeedMember]:
    """Return the seed members of one data centre."""
    return [
        SeedMember(
            instance=f"plateau-{index}",
            data_centre="plateau",
            address=f"127.0.0.1:{base_port + index}",
        )
        for index in range(n_nodes)
    ]


def make_service(app: Application, seed: SeedMember, **overrides) -> PeersService:
    """Return the service of one node with default intervals."""
    options = PeersOptions(address=seed.address, keys=[KEY])
    return PeersService(
        app, options, instance=seed.instance, data_centre=seed.data_centre, **overrides
    )


def publish_load(peers: PeersService, rng: random.Random, time_s: float) -> None:
    """Publish new loads of the endpoints that a node watches."""
    for index in range(N_LOADS_PER_NODE):
        load = Load(rng.randrange(64), rng.randrange(9), rng.random(), 812.5, time_s)
        peers.publish("endpoint_load", f"{peers.me.instance}-e{index}", load)


def resident_mb() -> float:
    """Return the resident memory of this process."""
    n_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return n_pages * PAGE_BYTES / 1e6


async def run_worker(arguments: argparse.Namespace) -> None:
    """Run the nodes of one worker process and print their results."""
    seeds = make_seeds(arguments.n_nodes, arguments.base_port)
    own_seeds = seeds[arguments.worker :: arguments.n_workers]
    rng = random.Random(arguments.worker)
    delays_s: dict[str, float] = {}
    initial_mb = resident_mb()
    apps, services = [], []
    for seed in own_seeds:
        app = Application(rng=random.Random(seed.instance))
        service = app.add(make_service(app, seed))
        service.subscribe(
            "verdict", Notice, make_arrival_callback(delays_s, seed.instance)
        )
        await app.start()
        service.gossip.update_seeds(seeds)
        apps.append(app)
        services.append(service)

    async def publish() -> None:
        while True:
            for service in services:
                publish_load(service, rng, time.time())
            await asyncio.sleep(PUBLISH_INTERVAL_S)

    publishing = asyncio.create_task(publish())
    await asyncio.sleep(WARM_UP_S)
    cpu_s, start_s = time.process_time(), time.monotonic()
    n_sent, n_received = count_bytes(services)
    await asyncio.sleep(arguments.duration_s)
    elapsed_s = time.monotonic() - start_s
    cpu_share = (time.process_time() - cpu_s) / elapsed_s / len(own_seeds)
    n_sent_after, n_received_after = count_bytes(services)
    growth_mb = (resident_mb() - initial_mb) / len(own_seeds)
    if arguments.worker == 0:
        services[0].publish("verdict", "guide", Notice(time.time()))
    await asyncio.sleep(URGENT_WAIT_S)
    publishing.cancel()
    for app in apps:
        await app.stop()
    report = {
        "n_nodes": len(own_seeds),
        "n_members": [len(service.members()) for service in services],
        "cpu_share": cpu_share,
        "sent_bytes_per_s": (n_sent_after - n_sent) / elapsed_s / len(own_seeds),
        "received_bytes_per_s": (n_received_after - n_received)
        / elapsed_s
        / len(own_seeds),
        "memory_mb": growth_mb,
        "urgent_s": delays_s,
    }
    print(json.dumps(report))


def make_arrival_callback(delays_s: dict[str, float], instance: str):
    """Return a callback that records the delay of the first notice received."""

    def record(origin: str, name: str, notice: Notice | None) -> None:
        if notice is not None:
            delays_s.setdefault(instance, time.time() - notice.time_s)

    return record


def count_bytes(services: list[PeersService]) -> tuple[float, float]:
    """Return the bytes of frames sent and received by all given services."""
    counters = [service.metrics for service in services]
    return (
        sum(counter.bytes_sent._value.get() for counter in counters),
        sum(counter.bytes_received._value.get() for counter in counters),
    )


def run_size(n_nodes: int, arguments: argparse.Namespace) -> dict:
    """Run one size in several processes and return the means per node."""
    n_workers = min(arguments.n_workers, n_nodes)
    commands = [
        [
            sys.executable,
            __file__,
            f"--worker={worker}",
            f"--n-workers={n_workers}",
            f"--n-nodes={n_nodes}",
            f"--base-port={arguments.base_port}",
            f"--duration-s={arguments.duration_s}",
        ]
        for worker in range(n_workers)
    ]
    workers = [
        subprocess.Popen(command, stdout=subprocess.PIPE) for command in commands
    ]
    timeout_s = WARM_UP_S + arguments.duration_s + 60
    reports = [
        json.loads(worker.communicate(timeout=timeout_s)[0]) for worker in workers
    ]
    weights = [report["n_nodes"] for report in reports]

    def mean(name: str) -> float:
        total = sum(
            report[name] * weight
            for report, weight in zip(reports, weights, strict=True)
        )
        return total / n_nodes

    urgent = [value for report in reports for value in report["urgent_s"].values()]
    members = [n for report in reports for n in report["n_members"]]
    return {
        "n_nodes": n_nodes,
        "n_members_least": min(members),
        "cpu_percent": 100 * mean("cpu_share"),
        "sent_bytes_per_s": mean("sent_bytes_per_s"),
        "received_bytes_per_s": mean("received_bytes_per_s"),
        "memory_mb": mean("memory_mb"),
        "urgent_n_reached": len(urgent),
        "urgent_s_median": statistics.median(urgent) if urgent else None,
        "urgent_s_most": max(urgent, default=None),
    }


def fit_line(sizes: list[dict], name: str) -> dict:
    """Return the linear fit of a result over all sizes and its value at the target."""
    slope, start = statistics.linear_regression(
        [size["n_nodes"] for size in sizes], [size[name] for size in sizes]
    )
    return {
        "per_node": slope,
        "at_0": start,
        f"at_{TARGET_PER_DATA_CENTRE}": start + slope * TARGET_PER_DATA_CENTRE,
    }


async def run_memory(arguments: argparse.Namespace) -> dict:
    """Run the target deployment in memory and return the means per node."""
    clock = ManualClock()
    network = MemoryNetwork(random.Random(1))
    seeds = [
        SeedMember(
            instance=f"dc{centre}-{index}",
            data_centre=f"dc{centre}",
            address=f"127.0.0.1:{1 + centre * 1000 + index}",
        )
        for centre in range(arguments.n_data_centres)
        for index in range(arguments.n_nodes)
    ]
    initial_mb = resident_mb()
    apps, services = [], []
    for seed in seeds:
        app = Application(clock=clock, rng=random.Random(seed.instance))
        transport = MemoryTransport(network, seed.address)
        service = app.add(make_service(app, seed, transport=transport))
        await app.start()
        service.gossip.update_seeds(seeds)
        service.publish("config", "content", Notice(1.0))
        apps.append(app)
        services.append(service)
    rng = random.Random(2)
    until_publish_s = [rng.random() * PUBLISH_INTERVAL_S for _ in services]

    async def advance(duration_s: float) -> None:
        start_s = clock.now_s
        while clock.now_s - start_s < duration_s:
            for index, service in enumerate(services):
                until_publish_s[index] -= 0.1
                if until_publish_s[index] <= 0:
                    until_publish_s[index] = PUBLISH_INTERVAL_S
                    publish_load(service, rng, clock.now_s)
            await clock.advance(0.1)

    await advance(arguments.warm_up_s)
    n_frames, n_bytes = network.n_frames, network.n_bytes
    cpu_s = time.process_time()
    await advance(arguments.duration_s)
    cpu_s = time.process_time() - cpu_s
    scale = 1 / len(seeds) / arguments.duration_s
    report = {
        "n_data_centres": arguments.n_data_centres,
        "n_nodes_each": arguments.n_nodes,
        "frames_sent_per_s": (network.n_frames - n_frames) * scale,
        "sent_bytes_per_s": (network.n_bytes - n_bytes) * scale,
        "python_cpu_percent": 100 * cpu_s * scale,
        "memory_mb": (resident_mb() - initial_mb) / len(seeds),
        "n_members_least": min(len(service.members()) for service in services),
        "load_age_s_mean": statistics.mean(load_ages(services[0], clock.now_s)),
        "load_age_s_most": max(load_ages(services[0], clock.now_s)),
    }
    for app in apps:
        await app.stop()
    return report


def load_ages(peers: PeersService, now_s: float) -> list[float]:
    """Return the ages of the loads that a node has received."""
    return [now_s - load.time_s for load in peers.rows("endpoint_load", Load).values()]


def main() -> None:
    """Parse arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 8, 16, 32])
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument("--warm-up-s", type=float, default=20.0)
    parser.add_argument("--n-workers", type=int, default=4)
    parser.add_argument("--base-port", type=int, default=19_100)
    parser.add_argument("--n-nodes", type=int, default=TARGET_PER_DATA_CENTRE)
    parser.add_argument("--n-data-centres", type=int, default=TARGET_DATA_CENTRES)
    parser.add_argument("--memory", action="store_true")
    parser.add_argument("--worker", type=int)
    arguments = parser.parse_args()
    if arguments.worker is not None:
        asyncio.run(run_worker(arguments))
        return
    if arguments.memory:
        print(json.dumps(asyncio.run(run_memory(arguments)), indent=2))
        return
    sizes = [run_size(n_nodes, arguments) for n_nodes in arguments.sizes]
    names = ("cpu_percent", "sent_bytes_per_s", "received_bytes_per_s", "memory_mb")
    lines = {name: fit_line(sizes, name) for name in names}
    print(json.dumps({"sizes": sizes, "lines": lines}, indent=2))


if __name__ == "__main__":
    main()
