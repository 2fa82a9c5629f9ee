"""Starts a user's deployment, runs ``lagoonring-load`` on it, stops it."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs
from aiohttp import web

sys.path.insert(0, str(Path(__file__).parent))

from deployments import (
    HOST,
    POLICIES,
    Deployment,
    User,
    Variant,
    make_catalogue,
    make_deployment,
)
from load_settings import make_load

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.errors import LagoonringError
from lagoonring.platform.store_log import LogClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1
SIGNALS = ("SIGTERM", "SIGKILL", "SIGSTOP", "SIGCONT")


@attrs.define
class Processes:
    """Processes of a run: stand-ins, and entry instances by name."""

    folder: Path
    standins: list[subprocess.Popen] = attrs.field(factory=list)
    entries: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    def start(self, program: str, name: str, settings: Any) -> subprocess.Popen:
        """Start a program with a settings file; its stderr goes to a log next to it."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1))
        code = f"from lagoonring.cli.{program} import main; main()"
        command = [sys.executable, "-c", code, "--settings", str(path)]
        with path.with_suffix(".log").open("wb") as log:
            return subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=log)

    def check(self) -> None:
        """Exit with an error if a program has ended early."""
        for process in [*self.standins, *self.entries.values()]:
            if process.poll() is not None:
                raise SystemExit(f"Got an early end, see the logs in {self.folder}.")

    def stop(self) -> None:
        """Terminate all processes; kill those that do not stop in time.

        Suspended processes are resumed first, since SIGTERM has no effect on them
        until then.
        """
        running = [*self.entries.values(), *self.standins]
        for process in running:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in running:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def main(user: User) -> int:
    """Run a user's example and return the exit status of the load tool."""
    arguments = parse_arguments(user)
    variant = Variant(
        duration_s=arguments.duration,
        policy=arguments.policy,
        reclaim=arguments.reclaim,
        move=arguments.move,
        schedule=arguments.schedule,
        rate=arguments.rate,
        n_tokens=arguments.tokens and tuple(arguments.tokens),
        n_cache_blocks=arguments.cache_blocks,
        base_port=arguments.base_port,
    )
    return asyncio.run(run(user, variant, arguments.out, arguments.seed))


def parse_arguments(user: User) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=f"Load on the example {user.name}.")
    parser.add_argument("--out", type=Path, required=True, help="folder to write")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=30.0, help="seconds")
    parser.add_argument("--policy", choices=POLICIES, default=POLICIES[0])
    parser.add_argument("--reclaim", choices=list(user.entries), default="")
    parser.add_argument("--move", choices=("good", "bad"), default="")
    parser.add_argument("--schedule", default="", help="JSON file of actions")
    parser.add_argument("--rate", type=float, default=1.0, help="factor on all rates")
    parser.add_argument(
        "--tokens", type=int, nargs=2, metavar=("LEAST", "MOST"), help="of answers"
    )
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--base-port", type=int, default=9400)
    return parser.parse_args()


async def run(user: User, variant: Variant, out: Path, seed: int) -> int:
    """Start the deployment, run the load tool on it and stop the deployment."""
    deployment = make_deployment(user, variant)
    folder = out / "settings"
    folder.mkdir(parents=True, exist_ok=True)
    async with run_processes(user, deployment, folder) as processes:
        path = folder / "load.json"
        path.write_text(json.dumps(make_load(user, variant), indent=1))
        code = "from lagoonring.cli.load_command import main; main()"
        command = [sys.executable, "-c", code, "run", "--settings", str(path)]
        command += ["--out", str(out), "--seed", str(seed)]
        async with serve_signals(deployment, processes):
            load = await asyncio.create_subprocess_exec(*command)
            try:
                return await load.wait()
            finally:
                if load.returncode is None:
                    load.terminate()


@contextlib.asynccontextmanager
async def run_processes(
    user: User, deployment: Deployment, folder: Path
) -> AsyncIterator[Processes]:
    """Run stand-ins and entry instances until the block ends."""
    processes = Processes(folder)
    try:
        for name in ("platform", "endpoints"):
            settings = getattr(deployment, name)
            standin = processes.start("standin_command", name, settings)
            processes.standins.append(standin)
        async with aiohttp.ClientSession() as session, asyncio.timeout(START_TIMEOUT_S):
            instances = await start_instances(session, deployment, processes)
            await publish(session, deployment, make_catalogue(user, instances))
            for settings in deployment.entries:
                name = settings["instance"]
                entry = processes.start("entry_command", name, settings)
                processes.entries[name] = entry
            for settings in deployment.entries:
                url = f"http://{settings['host']}:{settings['port']}/readyz"
                await wait_for(session, url, processes)
        yield processes
    finally:
        processes.stop()


async def start_instances(
    session: aiohttp.ClientSession, deployment: Deployment, processes: Processes
) -> list[dict[str, Any]]:
    """Start the endpoints' instances one by one, so that each gets the next port."""
    url = f"{deployment.cloud_url}/instances"
    await wait_for(session, url, processes)
    for n, order in enumerate(deployment.start_orders, start=1):
        async with session.post(url, json=order) as answer:
            answer.raise_for_status()
        while True:
            async with session.get(url) as answer:
                instances = (await answer.json())["instances"]
            if sum(bool(item["url"]) for item in instances) == n:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    return instances


async def publish(
    session: aiohttp.ClientSession, deployment: Deployment, catalogue: dict[str, Any]
) -> None:
    """Append the catalogue to the platform's log, as operators do."""
    changes = [
        Change(section=section, name=name, item=item)
        for section, items in catalogue.items()
        for name, item in items.items()
    ]
    edit = Edit(
        edit_id=uuid.uuid4().hex, author="operator", base_revision=-1, changes=changes
    )
    log = LogClient(deployment.log_url, session)
    while True:
        try:
            await log.append("config", encode_edit(edit))
            return
        except LagoonringError:
            await asyncio.sleep(POLL_INTERVAL_S)


async def wait_for(
    session: aiohttp.ClientSession, url: str, processes: Processes
) -> None:
    """Wait until a URL answers 200."""
    while True:
        processes.check()
        with contextlib.suppress(aiohttp.ClientError):
            async with session.get(url) as answer:
                if answer.status == 200:
                    return
        await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def serve_signals(
    deployment: Deployment, processes: Processes
) -> AsyncIterator[None]:
    """Send signals to entry instances on ``POST /signals`` until the block ends.

    The body is ``{"data_centre": NAME, "signal": NAME}``.
    """

    async def post_signals(request: web.Request) -> web.Response:
        order = await request.json()
        if order["signal"] not in SIGNALS:
            return web.json_response({"expected": SIGNALS}, status=400)
        names = [
            entry["instance"]
            for entry in deployment.entries
            if entry["data_centre"] == order["data_centre"]
        ]
        number = signal.Signals[order["signal"]]
        running = [name for name in names if processes.entries[name].poll() is None]
        for name in running:
            processes.entries[name].send_signal(number)
        return web.json_response({"sent_to": running})

    app = web.Application()
    app.add_routes([web.post("/signals", post_signals)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, HOST, deployment.control_port).start()
    try:
        yield
    finally:
        await runner.cleanup()
