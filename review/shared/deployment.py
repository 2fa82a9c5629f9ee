"""Starts instances with the command of the deploy file, on loopback addresses."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from shared.platform import Platform

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
FRONT, READY, CONTROL, INTERNAL = 8360, 8365, 8367, (7500, 7515)
STABLE_S = 3.0
GRACE_S = 8.0
READY_S = 1.0  # in which a readiness check is to be answered
N_FILES = 16  # descriptors of a process that are no sockets, with some to spare
KEY = "key-of-tenant"
HOST = "desk.example"
# As in the settings file of DEPLOY.md.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": STABLE_S * 1000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": GRACE_S,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "stretchMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 58,
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
    "reuseWindowS": 10,
}


class CannotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


class Instance:
    """One instance: its settings, its process, and when it was disturbed last."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbed_s = float("-inf")

    def is_in_touch(self, at_s: float) -> bool:
        """Return whether it ran without a start or a signal for `STABLE_S`."""
        return at_s - self.disturbed_s > STABLE_S

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the instance's process; SIGHUP does not disturb it."""
        assert self.process is not None
        if number is not signal.SIGHUP:
            self.disturbed_s = time.monotonic()
        self.process.send_signal(number)

    @property
    def url(self) -> str:
        """Root URL for requesters."""
        return f"http://{self.ip}:{FRONT}"


class Deployment:
    """The platform's stand-in, and instances in three zones."""

    def __init__(self, n_per_zone: int, *, max_sockets: int | None = None) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = Platform()
        self.n_per_zone = n_per_zone
        self.max_sockets = max_sockets
        self.instances: list[Instance] = []
        self.net, self.reservation = reserve_network(n_per_zone)

    async def prepare(self, config: dict[str, Any]) -> None:
        """Start the platform, and choose the addresses of the instances."""
        await self.platform.start()
        self.platform.put("keyed.op", "config", config)
        for index, zone in enumerate(ZONES):
            for number in range(self.n_per_zone):
                ip = f"127.{self.net}.{index + 1}.{number + 1}"
                name = f"front-{zone}-{number + 1}"
                self.instances.append(Instance(name, ip, zone, self.folder))

    async def start(self, config: dict[str, Any], duties: Sequence[str]) -> None:
        """Start the platform and the instances, and wait until all are ready."""
        await self.prepare(config)
        store = self.platform.port
        for instance in self.instances:
            self.write_settings(instance, store, store, duties)
            self.launch(instance)
        await self.wait_until_ready(self.instances, 15.0)

    def write_settings(
        self,
        instance: Instance,
        store: int,
        cloud: int,
        duties: Sequence[str],
        **bounds: float,
    ) -> None:
        """Write an instance's settings file with the ports of store and cloud.

        ``bounds`` replaces some of `BOUNDS`.
        """
        settings = {
            "node": instance.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": instance.ip,
            "zone": instance.zone,
            "region": "coast",
            "zones": dict.fromkeys(ZONES, "coast"),
            "listen": {
                "front": f"{instance.ip}:{FRONT}",
                "ready": f"{instance.ip}:{READY}",
                "control": f"{instance.ip}:{CONTROL}",
            },
            "internalPorts": INTERNAL,
            "seeds": [f"127.{self.net}.{number}.1:{CONTROL}" for number in (1, 2, 3)],
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
            "bounds": BOUNDS | bounds,
            "platform": {
                "address": f"127.0.0.1:{store}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "keep_s": 300,
            },
            "cloud": {
                "address": f"127.0.0.1:{cloud}",
                "ratePerS": 50.0,
                "duties": list(duties),
                "dutyPerS": 50.0,
            },
        }
        new = instance.settings.with_suffix(".new")
        new.write_text(json.dumps(settings))
        new.replace(instance.settings)

    def launch(self, instance: Instance) -> None:
        """Start an instance with the command of the deploy file.

        ``max_sockets`` limits its descriptors to as many sockets, beside the files.
        """
        max_fds = self.max_sockets and self.max_sockets + N_FILES

        def limit() -> None:
            if max_fds is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LAGOONRING_BOOT": str(instance.settings),
        }
        instance.disturbed_s = time.monotonic()
        with instance.log.open("ab") as log:
            instance.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=limit,
            )

    async def restart(self, instance: Instance) -> None:
        """Stop an instance with SIGTERM, as a platform does, and start it again."""
        instance.signal(signal.SIGTERM)
        process = instance.process
        assert process is not None
        end_s = time.monotonic() + GRACE_S
        while process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()
            process.wait()
        self.launch(instance)

    async def is_ready(self, session: aiohttp.ClientSession, one: Instance) -> bool:
        """Ask an instance whether it is ready, as the platform does."""
        url = f"http://{one.ip}:{READY}/ready"
        try:
            timeout = aiohttp.ClientTimeout(total=READY_S)
            async with session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def wait_until_ready(
        self, instances: Sequence[Instance], limit_s: float
    ) -> None:
        """Wait until instances answer 200 to the readiness check."""
        end_s = time.monotonic() + limit_s
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end_s:
                checks = [self.is_ready(session, one) for one in instances]
                if all(await asyncio.gather(*checks)):
                    return
                await asyncio.sleep(0.2)
        raise CannotRunError(f"Instances are not ready after {limit_s} s.")

    async def stop(self) -> None:
        """End all processes that were started here."""
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        await self.platform.stop()
        self.reservation.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(
    services: Sequence[str],
    routes: Sequence[dict],
    *,
    version: int = 1,
    keys: Sequence[str] = (KEY,),
) -> dict[str, Any]:
    """Return a config with one tenant that has no usage cap."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 110}
            for name in services
        ],
        "tenants": [{"name": "tenant", "apiKeys": list(keys)}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route whose path prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        **more,
    }


def reserve_network(n_per_zone: int) -> tuple[int, socket.socket]:
    """Return a number N such that all ports are free in the network 127.N.

    The socket that is returned keeps other scripts from using the network.
    """
    for number in random.sample(range(16, 240), 100):
        reservation = socket.socket()
        sockets = []
        try:
            reservation.bind((f"127.{number}.0.1", FRONT))
            for zone in range(1, len(ZONES) + 1):
                for host in range(1, n_per_zone + 1):
                    for port in (FRONT, READY, CONTROL, INTERNAL[0]):
                        one = socket.socket()
                        sockets.append(one)
                        one.bind((f"127.{number}.{zone}.{host}", port))
        except OSError:
            reservation.close()
            continue
        finally:
            for one in sockets:
                one.close()
        return number, reservation
    raise CannotRunError("Found no free loopback network.")
