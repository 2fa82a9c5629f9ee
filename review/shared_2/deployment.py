"""A small deployment of real instances, run with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("east", "west", "north")
FRONT_PORT, READY_PORT, CONTROL_PORT = 8360, 8365, 8367
INTERNAL_PORTS = [7500, 7515]
START_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.5
# Those of cunabus-norte.
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "requireFence": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "usageWindowS": 5,
    "usageOff": 0.05,
    "usageLateS": 10,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 5.6,
}


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def add(self, what: str, **values: Any) -> None:
        """Add a line with the time since the start."""
        at_s = time.monotonic() - self.began_s
        shown = " ".join(f"{name}={value}" for name, value in values.items())
        self.lines.append(f"{at_s:8.3f} {what} {shown}".rstrip())

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Instance:
    """One instance and its process."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Root URL for requesters."""
        return f"http://{self.ip}:{FRONT_PORT}"


class Deployment:
    """Instances in three zones, with the settings of a small installation."""

    def __init__(
        self,
        record: Record,
        *,
        store: str,
        cloud: str,
        per_zone: int = 1,
        n_zones: int = 3,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.reservation = _reserve_network()
        self.zones = ZONES[:n_zones]
        self.instances: list[Instance] = []
        for number, zone in enumerate(self.zones):
            for index in range(per_zone):
                ip = f"127.{self.net}.{number + 1}.{index + 1}"
                name = f"front-{zone}-{index + 1}"
                self.instances.append(Instance(name, ip, zone, self.folder))
        for instance in self.instances:
            self._write_settings(instance, store, cloud)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["entry"]["run"].split()

    def _write_settings(self, instance: Instance, store: str, cloud: str) -> None:
        seeds = [
            f"127.{self.net}.{number + 1}.1:{CONTROL_PORT}"
            for number in range(len(self.zones))
        ]
        content = {
            "node": instance.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": instance.ip,
            "zone": instance.zone,
            "region": "coast",
            "zones": dict.fromkeys(self.zones, "coast"),
            "listen": {
                "front": f"{instance.ip}:{FRONT_PORT}",
                "ready": f"{instance.ip}:{READY_PORT}",
                "control": f"{instance.ip}:{CONTROL_PORT}",
            },
            "internalPorts": INTERNAL_PORTS,
            "seeds": seeds,
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "keep_s": 300,
            },
            "cloud": {
                "address": cloud,
                "ratePerS": 50.0,
                "duties": ["usage", "scaling"],
                "dutyPerS": 50.0,
            },
        }
        instance.settings.write_text(json.dumps(content))

    def launch(self, instance: Instance) -> None:
        """Start the process of an instance."""
        passed = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in passed if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["LAGOONRING_BOOT"] = str(instance.settings)
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.add("started", instance=instance.name, pid=instance.process.pid)

    def signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        process = instance.process
        if process is not None and process.poll() is None:
            process.send_signal(number)
            self.record.add("signal", instance=instance.name, signal=number.name)

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start all instances and wait until they are ready."""
        for instance in self.instances:
            self.launch(instance)
        for instance in self.instances:
            await self.wait_ready(session, instance)

    async def wait_ready(
        self, session: aiohttp.ClientSession, instance: Instance
    ) -> None:
        """Wait until an instance says that it is ready."""
        end_s = time.monotonic() + START_TIMEOUT_S
        url = f"http://{instance.ip}:{READY_PORT}/ready"
        while time.monotonic() < end_s:
            try:
                async with session.get(url) as response:
                    if response.status == 200:
                        self.record.add("ready", instance=instance.name)
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{instance.name} did not become ready")

    def read_log(self, instance: Instance) -> list[dict[str, Any]]:
        """Return the structured log lines of an instance."""
        lines = []
        for line in instance.log.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    def stop(self) -> None:
        """End all processes started here, and remove the temporary folder."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.reservation.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _reserve_network() -> tuple[int, socket.socket]:
    """Reserve a network 127.N that no other case uses."""
    rng = random.Random()
    for _ in range(200):
        net = rng.randrange(16, 240)
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{net}.0.1", FRONT_PORT))
        except OSError:
            reservation.close()
            continue
        return net, reservation
    raise CouldNotRunError("no free loopback network")
