"""Deployment under test: instance processes, the platform and the endpoints."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import socket
import string
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.serving.configuration import (
    CallerLimits,
    Configuration,
    Organisation,
    RequestKind,
    RouteEntry,
    ServiceEntry,
    WeightedService,
)
from lagoonring.serving.settings import Bounds, NodeSettings
from lagoonring.soak.endpoints import HEARTBEAT_S, Run, SoakEndpoint
from lagoonring.soak.engines import SoakEngine, make_endpoint
from lagoonring.soak.messages import PlannedWork, WorkKind
from lagoonring.soak.moves import Operator
from lagoonring.soak.routes import LIVE, LONG, RESUMABLE, SAFE, UNSAFE, timeout_s
from lagoonring.standins.link_standin import LinkStandin
from lagoonring.standins.options import LinkOptions
from lagoonring.standins.platform_documents import make_configuration, make_settings
from lagoonring.standins.platform_standin import PlatformStandin

if TYPE_CHECKING:
    from lagoonring.soak.kv_moves import MoveCall

DATA_CENTRES = ("east", "west", "north")
CALLER_PORT, READY_PORT, PEER_PORT, RELAY_PORT = 8360, 8365, 7500, 7501
METRICS_PORT = 9464
OTHER_SUFFIX = "-other"  # of the names of instances of another build
INSTANCE_PROGRAM = str(Path(__file__).with_name("instance_program.py"))
RESTART_INTERVAL_S = 0.2  # the platform, too, restarts processes that have ended
BOUNDS = Bounds(quota_slack=60, retry_slack=60)
ORGANISATIONS = {"one": "key-of-one", "two": "key-of-two"}
# The rate limit of "two" is about half of the rate at which its callers send.
LIMITED_ORGANISATION, RATE_PER_S, BURST = "two", 12.0, 30.0
SERVICES = ("engine", "desk")
N_ENGINES = 2  # in each data centre
SOAK_HOST = "soak.example"
CALLER_LIMITS = CallerLimits(
    n_header_bytes=16384,
    n_body_bytes=4 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


@attrs.define
class Instance:
    """One instance: its address, its process and its link to the store."""

    name: str
    ip: str
    data_centre: str
    settings: Path
    log: Path
    link: LinkStandin
    python: str = sys.executable
    process: subprocess.Popen[bytes] | None = None
    should_restart: bool = True
    is_leaving: bool = False
    disrupted_until_s: float = float("-inf")
    unplanned_spans: list[tuple[float, float]] = attrs.field(factory=list)
    lost_path_spans: list[tuple[float, float]] = attrs.field(factory=list)
    n_unexpected_exits: int = 0
    sigterm_s: float | None = None

    @property
    def url(self) -> str:
        """Root URL for callers."""
        return f"http://{self.ip}:{CALLER_PORT}"

    def mark_disrupted(self, until_s: float = 0.0, *, is_planned: bool = False) -> None:
        """Record that the instance is disrupted now, or until a later time."""
        now_s = time.monotonic()
        self.disrupted_until_s = max(self.disrupted_until_s, now_s, until_s)
        if not is_planned:
            self.unplanned_spans.append((now_s, max(now_s, until_s)))

    def was_disturbed_since(self, at_s: float) -> bool:
        """Return whether anything but planned work disrupted the instance since."""
        return any(until_s >= at_s for _, until_s in self.unplanned_spans)


class SoakDeployment:
    """The platform, the endpoints and the instances of one soak.

    Parameters
    ----------
    folder : Path
        Where settings files and logs are written.
    seed : int
        Seed of the random number generator.
    n_per_data_centre : int
        Number of instances in each data centre.
    other_python : Path or None
        Python of another installed build, which runs every second instance.
    """

    def __init__(
        self,
        folder: Path,
        seed: int,
        *,
        n_per_data_centre: int = 2,
        other_python: Path | None = None,
    ) -> None:
        self.folder = folder
        self.other_python = other_python
        self.rng = random.Random(seed)
        self.net, self.reservation = reserve_network(random.Random(seed))
        self.n_per_data_centre = n_per_data_centre
        self.platform = PlatformStandin()
        self.runs: list[Run] = []
        self.endpoints: list[SoakEndpoint] = []
        self.instances: list[Instance] = []
        self.version = 0
        self.misbehaving_ids: set[str] = set()
        self.extra_routes: list[str] = []
        self.route_acked_s: dict[str, float] = {}
        self.route_removed_s: dict[str, float] = {}
        self.store_disrupted_until_s = float("-inf")
        self.supervisor: asyncio.Task[None] | None = None
        self.planned_work: list[PlannedWork] = []
        self.operator = Operator(self)
        self.following: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the platform, the endpoints and the instances, in this order."""
        await self.platform.start()
        self.write_config()
        for centre in DATA_CENTRES:
            for name in ("desk", *(f"engine{n}" for n in range(N_ENGINES))):
                service = name.rstrip(string.digits)
                endpoint = make_endpoint(self, f"{name}-{centre}", service, centre)
                await endpoint.start()
                self.endpoints.append(endpoint)
        for index, centre in enumerate(DATA_CENTRES):
            for number in range(self.n_per_data_centre):
                self.instances.append(await self._make_instance(index, centre, number))
        for instance in self.instances:
            self.launch(instance)
        self.supervisor = asyncio.create_task(self._restart_ended())
        self.following = asyncio.create_task(self.operator.follow())

    async def stop(self) -> None:
        """Kill the processes started here, each by its id, and stop the stand-ins."""
        for task in (self.supervisor, self.following):
            if task is not None:
                task.cancel()
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
            await instance.link.stop()
        for endpoint in self.endpoints:
            if endpoint.runner is not None and endpoint.link is not None:
                await endpoint.link.stop()
                await endpoint.runner.cleanup()
        await self.platform.stop()
        self.reservation.close()

    def write_config(self) -> None:
        """Write the next version of the configuration, with the current routes."""
        self.version += 1
        routes = [
            _route("stream", RESUMABLE, RequestKind.STREAM, "engine"),
            _route("long", LONG, RequestKind.STREAM, "engine"),
            _route("live", LIVE, RequestKind.STREAM, "engine"),
            _route("unsafe", UNSAFE, RequestKind.ONCE, "desk"),
            _route("safe", SAFE, RequestKind.IDEMPOTENT, "desk"),
        ]
        for prefix in self.extra_routes:
            routes.append(_route(prefix, prefix, RequestKind.IDEMPOTENT, "desk"))
        services = {
            name: ServiceEntry(name=name, max_connections=100) for name in SERVICES
        }
        configuration = Configuration(
            version=self.version,
            routes=tuple(routes),
            services=services,
            organisations=tuple(_organisation(name) for name in ORGANISATIONS),
            limits=CALLER_LIMITS,
        )
        self.planned_work.append(
            PlannedWork(kind=WorkKind.CHANGE, at_s=time.monotonic())
        )
        self.platform.write_operator("config", make_configuration(configuration))

    def move_calls(self) -> list[MoveCall]:
        """Return the calls that engines received to move runs."""
        engines = [one for one in self.endpoints if isinstance(one, SoakEngine)]
        return [call for engine in engines for call in engine.calls]

    def add_route(self) -> None:
        """Add a route; it is in the store when this returns."""
        prefix = f"/extra{self.version}/"
        self.extra_routes.append(prefix)
        self.write_config()
        self.route_acked_s[prefix] = time.monotonic()

    def remove_route(self) -> None:
        """Remove the oldest added route, if there is one."""
        if self.extra_routes:
            prefix = self.extra_routes.pop(0)
            self.write_config()
            self.route_removed_s[prefix] = time.monotonic()

    def launch(self, instance: Instance) -> None:
        """Start the process of an instance, with its output appended to its log."""
        instance.is_leaving, instance.sigterm_s = False, None
        instance.mark_disrupted(is_planned=True)
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(
                [
                    instance.python,
                    "-P",
                    INSTANCE_PROGRAM,
                    instance.ip,
                    "--settings",
                    str(instance.settings),
                    "--metrics-port",
                    str(METRICS_PORT),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance, if it is running."""
        process = instance.process
        if process is None or process.poll() is not None:
            return
        instance.is_leaving |= number in (signal.SIGTERM, signal.SIGKILL)
        now_s, pid = time.monotonic(), process.pid
        if number is signal.SIGHUP:
            work = PlannedWork(kind=WorkKind.RELOAD, at_s=now_s, pid=pid)
            self.planned_work.append(work)
        elif number is signal.SIGTERM:
            instance.mark_disrupted(is_planned=True)
            if instance.sigterm_s is None:
                instance.sigterm_s = now_s
                work = PlannedWork(kind=WorkKind.STOP, at_s=now_s, pid=pid)
                self.planned_work.append(work)
        else:
            instance.mark_disrupted()
        process.send_signal(number)

    async def _make_instance(self, index: int, centre: str, number: int) -> Instance:
        ip = f"127.{self.net}.{index + 1}.{number + 1}"
        host, port = self.platform.address.split(":")
        link = LinkStandin(LinkOptions(target_host=host, target_port=int(port)))
        await link.start()
        name, python = f"{centre}-{number}", sys.executable
        if self.other_python is not None and (index + number) % 2 == 1:
            name, python = name + OTHER_SUFFIX, str(self.other_python)
        instance = Instance(
            name=name,
            python=python,
            ip=ip,
            data_centre=centre,
            settings=self.folder / f"{name}.json",
            log=self.folder / f"{name}.log",
            link=link,
        )
        self.write_settings(instance)
        return instance

    def write_settings(self, instance: Instance, **changes: Any) -> None:
        """Write the settings file of an instance, atomically."""
        address = f"127.0.0.1:{instance.link.port}"
        settings = NodeSettings(
            instance=instance.name,
            ip=instance.ip,
            data_centre=instance.data_centre,
            data_centres=DATA_CENTRES,
            caller_address=f"{instance.ip}:{CALLER_PORT}",
            ready_address=f"{instance.ip}:{READY_PORT}",
            peer_port=PEER_PORT,
            relay_port=RELAY_PORT,
            metrics_port=METRICS_PORT,
            seed_ips=tuple(
                f"127.{self.net}.{index + 1}.1" for index in range(len(DATA_CENTRES))
            ),
            store_address=address,
            cloud_address=address,
            duties=("usage",),
            heartbeat_s=HEARTBEAT_S,
            bounds=BOUNDS,
        )
        new = instance.settings.with_suffix(".new")
        new.write_bytes(msgspec.json.encode(make_settings(settings) | changes))
        new.replace(instance.settings)

    async def _restart_ended(self) -> None:
        """Restart instances that have ended; end those whose grace period is over.

        Having to be ended counts as an exit that was not expected.
        """
        while True:
            await asyncio.sleep(RESTART_INTERVAL_S)
            for instance in self.instances:
                process = instance.process
                if process is None:
                    continue
                if process.poll() is None:
                    self._kill_after_grace(instance)
                    continue
                if not instance.is_leaving:
                    instance.n_unexpected_exits += 1
                if instance.should_restart:
                    self.launch(instance)

    def _kill_after_grace(self, instance: Instance) -> None:
        grace_ended_s = (instance.sigterm_s or math.inf) + BOUNDS.grace_s
        if instance.process is None or time.monotonic() < grace_ended_s:
            return
        if not instance.was_disturbed_since(grace_ended_s - BOUNDS.grace_s):
            instance.n_unexpected_exits += 1
        instance.process.kill()


def reserve_network(rng: random.Random) -> tuple[int, socket.socket]:
    """Reserve a 127.N network that no other soak uses; return N and a socket.

    Closing the socket ends the reservation.
    """
    while True:
        net = rng.randrange(16, 240)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{net}.0.1", CALLER_PORT))
        except OSError:
            reservation.close()
            continue
        return net, reservation


def _route(name: str, prefix: str, kind: RequestKind, service: str) -> RouteEntry:
    may_resume = kind is RequestKind.STREAM and prefix != LIVE
    return RouteEntry(
        name=name,
        host=SOAK_HOST,
        path_prefix=prefix,
        kind=kind,
        timeout_s=timeout_s(prefix),
        objective_s=0.5,
        max_wait_s=2.0,
        rank=0,
        targets=(WeightedService(service=service, weight=1.0),),
        max_attempts=2 if may_resume or kind is RequestKind.IDEMPOTENT else 1,
        is_public=False,
        may_resume=may_resume,
    )


def _organisation(name: str) -> Organisation:
    return Organisation(
        name=name,
        keys=frozenset({ORGANISATIONS[name]}),
        rank=None,
        rate_per_s=RATE_PER_S if name == LIMITED_ORGANISATION else 0.0,
        burst=BURST if name == LIMITED_ORGANISATION else 0.0,
        counts_tokens=False,
        n_plain_tokens=1.0,
    )
