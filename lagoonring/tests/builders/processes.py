"""Deployments of separate processes on loopback, which can be killed or frozen."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.errors import LagoonringError
from lagoonring.platform.store_log import LogClient
from lagoonring.requests.authentication import hash_key
from lagoonring.tests.builders.deployments import (
    DATA_CENTRES,
    HOST,
    KEYS,
    OPERATOR_TOKEN,
    PEER_KEY,
    free_ports,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 20.0


@attrs.define(kw_only=True)
class ProcessDeployment:
    """Entry instances and stand-ins as processes that this test started."""

    session: aiohttp.ClientSession
    entry_ports: list[int]
    engine_urls: list[str]
    plain_url: str
    log_url: str
    entries: list[subprocess.Popen] = attrs.field(factory=list)

    def url(self, index: int) -> str:
        """Return the root URL of an entry instance."""
        return f"http://{HOST}:{self.entry_ports[index]}"

    def signal(self, index: int, number: signal.Signals) -> None:
        """Send a signal to an entry instance."""
        self.entries[index].send_signal(number)

    async def wait_for_exit(self, index: int) -> int:
        """Return the exit code of an entry instance once it has ended."""
        while self.entries[index].poll() is None:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.entries[index].returncode

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Set the faults of a stand-in."""
        async with self.session.post(f"{url}/faults", json=faults) as answer:
            assert answer.status == 200, await answer.text()

    async def get_json(self, url: str) -> Any:
        """Return the JSON at a URL."""
        async with self.session.get(url) as answer:
            return await answer.json()

    async def wait_until_ready(self, index: int) -> None:
        """Wait until an entry instance accepts requests."""
        while True:
            assert self.entries[index].poll() is None, "An entry ended early."
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=1)
                async with self.session.get(
                    f"{self.url(index)}/readyz", timeout=timeout
                ) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_members(self, index: int, n_members: int) -> None:
        """Wait until an instance knows ``n_members`` members, including itself."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        while True:
            async with self.session.get(
                f"{self.url(index)}/admin/peers", headers=headers
            ) as answer:
                if len(await answer.json()) >= n_members:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def run_processes(
    *,
    n_entries: int = 3,
    n_engines: int = 2,
    entry: dict[str, Any] | None = None,
    booking: dict[str, Any] | None = None,
) -> AsyncIterator[ProcessDeployment]:
    """Run a deployment of processes until the block ends.

    ``entry`` are settings of every entry instance, ``booking`` are fields of the
    catalogue entry ``booking``.
    """
    ports = free_ports(2 * n_entries + n_engines + 2)
    entry_ports, peer_ports = ports[:n_entries], ports[n_entries : 2 * n_entries]
    *engine_ports, plain_port, log_port = ports[2 * n_entries :]
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(TIMEOUT_S))
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        session = await stack.enter_async_context(aiohttp.ClientSession())
        deployment = ProcessDeployment(
            session=session,
            entry_ports=entry_ports,
            engine_urls=[f"http://{HOST}:{port}" for port in engine_ports],
            plain_url=f"http://{HOST}:{plain_port}",
            log_url=f"http://{HOST}:{log_port}",
        )
        standins = [{"kind": "log", "port": log_port}]
        standins += [{"kind": "plain", "port": plain_port}]
        for port in engine_ports:
            standins.append(
                {"kind": "engine", "port": port, "options": {"token_s": 0.0}}
            )
        _start(stack, "standin_command", {"standins": standins}, folder / "s.json")
        await _publish(deployment, booking or {})
        for index in range(n_entries):
            settings = _make_entry(index, entry_ports, peer_ports, deployment.log_url)
            settings.update(entry or {})
            path = folder / f"entry-{index}.json"
            process = _start(stack, "entry_command", settings, path)
            deployment.entries.append(process)
        for index in range(n_entries):
            await deployment.wait_until_ready(index)
        for index in range(n_entries):
            await deployment.wait_for_members(index, n_entries)
        yield deployment


def _start(
    stack: contextlib.AsyncExitStack, program: str, settings: dict, path: Path
) -> subprocess.Popen:
    path.write_text(json.dumps(settings))
    code = f"from lagoonring.cli.{program} import main; main()"
    process = subprocess.Popen(
        [sys.executable, "-c", code, "--settings", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    stack.callback(_stop, process)
    return process


def _stop(process: subprocess.Popen) -> None:
    if process.poll() is None:
        process.send_signal(signal.SIGCONT)
        process.kill()
    process.wait(STOP_TIMEOUT_S)


def _make_entry(
    index: int, entry_ports: list[int], peer_ports: list[int], log_url: str
) -> dict[str, Any]:
    seeds = [
        {
            "instance": f"entry-{other}",
            "data_centre": DATA_CENTRES[other % len(DATA_CENTRES)],
            "address": f"{HOST}:{peer_ports[other]}",
            "http_address": f"{HOST}:{entry_ports[other]}",
        }
        for other in range(len(entry_ports))
        if other != index
    ]
    return {
        "instance": f"entry-{index}",
        "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
        "port": entry_ports[index],
        "log_url": log_url,
        "log_level": "WARNING",
        "peers": {
            "address": f"{HOST}:{peer_ports[index]}",
            "keys": [PEER_KEY],
            "seeds": seeds,
            "round_s": 0.1,
        },
    }


async def _publish(deployment: ProcessDeployment, booking: dict[str, Any]) -> None:
    endpoints = {
        f"guide-{index}": {"entry": "guide", "data_centre": DATA_CENTRES[index % 3]}
        | {"url": url}
        for index, url in enumerate(deployment.engine_urls)
    }
    endpoints["booking-0"] = {
        "entry": "booking",
        "data_centre": DATA_CENTRES[0],
        "url": deployment.plain_url,
    }
    catalogue: dict[str, dict[str, Any]] = {
        "organisations": {n: {"key_hashes": [hash_key(k)]} for n, k in KEYS.items()},
        "operators": {"awa": {"token_hash": hash_key(OPERATOR_TOKEN), "role": "admin"}},
        "classes": {"assistant": {}, "desk": {"deadline_ms": 10_000}},
        "entries": {
            "guide": {"kind": "model", "owner": "hann", "service_class": "assistant"},
            "booking": {"kind": "plain", "owner": "hann", "service_class": "desk"}
            | booking,
        },
        "endpoints": endpoints,
    }
    changes = [
        Change(section=section, name=name, item=item)
        for section, items in catalogue.items()
        for name, item in items.items()
    ]
    edit = Edit(edit_id="first", author="awa", base_revision=-1, changes=changes)
    log = LogClient(deployment.log_url, deployment.session)
    while True:
        try:
            await log.append("config", encode_edit(edit))
            return
        except LagoonringError:
            await asyncio.sleep(POLL_INTERVAL_S)
