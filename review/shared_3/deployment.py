"""Starts the project's program as the deploy file does, with stand-ins beside it."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
COMMAND = DEPLOY["roles"]["entry"]["run"].split()
HOST = "booking.example"
KEY = "3d3zji9n73hh2b9wu3fe"
TENANT = "huka270"
HEARTBEAT_MS = 1200
BOUNDS = {
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


class Record:
    """The record of a case: what happened, with the seconds since its start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_s = time.monotonic()

    def write(self, text: str, at_s: float | None = None) -> None:
        """Write a line."""
        seconds = (time.monotonic() if at_s is None else at_s) - self.started_s
        print(f"{seconds:8.3f} s  {text}", file=self.file, flush=True)


class Instance:
    """A process of the system on a machine of its own address."""

    def __init__(self, name: str, zone: str, ip: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where requesters connect."""
        return self.ip, 8360

    def write_settings(
        self, zones: list[str], seeds: list[str], store: str, cloud: str
    ) -> None:
        """Write the platform's settings file."""
        settings = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "norte",
            "zones": dict.fromkeys(zones, "norte"),
            "listen": {
                "front": f"{self.ip}:8360",
                "ready": f"{self.ip}:8365",
                "control": f"{self.ip}:8367",
            },
            "internalPorts": [7500, 7515],
            "seeds": [f"{seed}:8367" for seed in seeds],
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
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "retry", "leader", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 12,
                "appendMs": 2.0,
                "partMbPerS": 20.0,
                "readMbPerS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 300,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
            "cloud": {
                "address": cloud,
                "ratePerS": 50.0,
                "duties": ["usage", "scaling"],
                "dutyPerS": 50.0,
            },
        }
        (self.folder / f"{self.name}.json").write_text(json.dumps(settings))

    def launch(self) -> None:
        """Start the process with the deploy file's command."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        environment["LAGOONRING_BOOT"] = str(self.folder / f"{self.name}.json")
        program = sys.executable if COMMAND[0] == "python3" else COMMAND[0]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [program, *COMMAND[1:]],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process by its id."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8365)
        except OSError:
            return False
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            head = await asyncio.wait_for(reader.read(64), 1.0)
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()
        return head.startswith(b"HTTP/1.1 200")


class CaseError(Exception):
    """The case could not run."""


def free_network() -> str:
    """Return the first two numbers of a loopback network that nobody listens in."""
    for _ in range(100):
        net = f"127.{random.randrange(16, 240)}"
        try:
            for zone, machine in itertools.product(range(1, 4), range(1, 4)):
                for port in (8360, 8365, 7500, 7501, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{zone}.{machine}", port))
        except OSError:
            continue
        return net
    raise CaseError("no free loopback network")


def make_folder() -> Path:
    """Return a new temporary folder."""
    return Path(tempfile.mkdtemp(prefix="lagoonring-review-"))


async def wait_until_ready(instances: list[Instance], limit_s: float = 20.0) -> None:
    """Wait until all instances are ready."""
    end_s = time.monotonic() + limit_s
    for instance in instances:
        while not await instance.is_ready():
            if time.monotonic() > end_s:
                raise CaseError(f"{instance.name} is not ready")
            await asyncio.sleep(0.1)


def make_route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2500,
        "sloMs": 500,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "canResume": False,
    } | more


def make_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a config with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }
