"""A small deployment of model servers, whose streams end with their channel."""

from __future__ import annotations

import asyncio
import shutil
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from deployment import (
    HEARTBEAT_MS,
    Instance,
    Record,
    free_network,
    make_config,
    make_folder,
    make_route,
    wait_until_ready,
)
from platform_standins import Cloud, Store
from requester import Outcome, ask_stream

if TYPE_CHECKING:
    from collections.abc import Callable

N_EVENTS = 60
NOTICE_S = 2.5


class Server:
    """A process of the stand-in of a model server."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        follow: Callable[[str], None],
        *,
        report_lag_s: float,
        copy_s: float,
        version: str,
    ) -> None:
        self.name = name
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(Path(__file__).with_name("engine_standin.py")),
                *("--name", name, "--zone", zone, "--store", store),
                *("--heartbeat-s", str(HEARTBEAT_MS / 1000)),
                *("--report-lag-s", str(report_lag_s)),
                *("--notice-s", str(NOTICE_S)),
                *("--n-events", str(N_EVENTS)),
                *("--copy-s", str(copy_s), "--version", version),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.following = asyncio.create_task(asyncio.to_thread(self._read, follow))

    def _read(self, follow: Callable[[str], None]) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            follow(line.rstrip())

    async def end(self) -> None:
        """Kill the process by its id; the system closes its channels."""
        self.process.kill()
        self.process.wait()
        await self.following


class Assistant:
    """A machine and a model server in each zone, and a route of long streams."""

    def __init__(
        self,
        record: Record,
        zones: list[str],
        *,
        report_lag_s: float,
        copy_s: float = 0.0,
        n_machines: int = 1,
    ) -> None:
        self.record = record
        self.n_machines = n_machines
        self.zones = zones
        self.report_lag_s = report_lag_s
        self.copy_s = copy_s
        self.folder = make_folder()
        self.store = Store()
        self.cloud = Cloud(lambda path, content: 200)
        self.instances: list[Instance] = []
        self.servers: dict[str, Server] = {}
        self.server_store = ""
        self.lines: list[str] = []
        self.outcomes: list[Outcome] = []
        self.n_servers = 0
        self.n_requests = 0

    def _follow(self, line: str) -> None:
        self.lines.append(line)
        self.record.write(line)

    def start_server(self, zone: str, version: str = "v1") -> Server:
        """Start a server of a new id; return it."""
        self.n_servers += 1
        name = f"i-{self.n_servers:04d}"
        server = self.servers[zone if version == "v1" else f"{zone} {version}"] = (
            Server(
                name,
                zone,
                self.server_store,
                self._follow,
                report_lag_s=self.report_lag_s,
                copy_s=self.copy_s,
                version=version,
            )
        )
        self.record.write(f"{name} ({version}) is started in {zone}")
        return server

    async def start(self) -> None:
        """Start the stand-ins and the machines."""
        net = free_network()
        ips = {
            f"front-{zone}-{machine}": f"{net}.{number}.{machine}"
            for number, zone in enumerate(self.zones, 1)
            for machine in range(1, self.n_machines + 1)
        }
        seeds = [f"{net}.{number}.1" for number in range(1, len(self.zones) + 1)]
        services = [
            {
                "name": "asistente",
                "healthPath": "/health",
                "maxConns": 200,
                "engine": {"slots": 24, "kvTokens": 444000, "moves": True},
            }
        ]
        route = make_route(
            "r-1",
            "/guide/",
            "streaming",
            "asistente",
            timeoutMs=10000,
            sloMs=800,
            gapTargetMs=400,
            sticky=True,
        )
        self.store.write("keyed.op", "config", make_config(2, [route], services))
        self.server_store = await self.store.open("servers")
        for zone in self.zones:
            self.start_server(zone)
        for name, ip in ips.items():
            zone = name.split("-")[1]
            instance = Instance(name, zone, ip, self.folder)
            instance.write_settings(
                self.zones,
                seeds,
                await self.store.open(name),
                await self.cloud.open(name),
            )
            self.instances.append(instance)
            instance.launch()
        await wait_until_ready(self.instances)
        self.record.write("the machines are ready")
        await asyncio.sleep(2.0)

    async def ask(
        self, instance: Instance | None = None, prefix: str = "/guide/"
    ) -> Outcome:
        """Send a request to a machine, or to the next one, and record the outcome."""
        self.n_requests += 1
        request_id = f"{self.n_requests:016x}"
        if instance is None:
            instance = self.instances[self.n_requests % len(self.instances)]
        path = f"{prefix}{self.n_requests}"
        outcome = await ask_stream(instance.front, request_id, path)
        self.record.write(f"{outcome.describe()}, sent to {instance.name}")
        if prefix == "/guide/":
            self.outcomes.append(outcome)
        return outcome

    async def take_away(self, server: Server) -> None:
        """End a server whose time is up, and remove its entry."""
        await server.end()
        self.record.write(f"{server.name} is taken away")
        self.store.write("keyed.servers", server.name, None)

    def find_broken(self) -> list[Outcome]:
        """Return the streams that end as complete before their last event."""
        whole = list(range(1, N_EVENTS + 1))
        return [
            outcome
            for outcome in self.outcomes
            if outcome.is_complete and outcome.events != whole
        ]

    def conclude(self) -> int:
        """Write the result; return the number of streams that break the rule."""
        broken = self.find_broken()
        for outcome in broken:
            self.record.write(f"ORDER is broken: {outcome.describe()}")
        n_whole = sum(one.is_complete for one in self.outcomes) - len(broken)
        self.record.write(
            f"{len(self.outcomes)} streams, {n_whole} of them whole, {len(broken)} "
            "end as complete before their last event"
        )
        return len(broken)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for instance in self.instances:
            instance.end()
        for server in self.servers.values():
            await server.end()
        self.store.stop()
        self.cloud.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
