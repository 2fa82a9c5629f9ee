"""Runs a deployment of entry processes and counts their traffic to the platform.

Used by ``capacity_log``, ``control_cost`` and ``memory_slopes``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import urllib.request
import uuid
from subprocess import Popen
from typing import TYPE_CHECKING, Any

import attrs
from processes import HOST, free_ports, run_with_settings, wait_for

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.platform.store import encode_batch
from lagoonring.platform.store_log import encode_record
from lagoonring.requests.authentication import hash_key

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

    Item = tuple[str, str, dict[str, Any]]

KEY = "benchmark-key"
DATA_CENTRE = "plateau"
N_CONCURRENT_STARTS = 3
READ_BYTES = 65_536


@attrs.define
class Forwarder:
    """Forwards TCP connections to a port and counts the traffic of both directions."""

    target_port: int
    n_bytes: int = 0
    n_reads: int = 0
    n_posts: int = 0

    async def serve(self, reader, writer) -> None:
        """Forward one connection until both sides have closed it."""
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
        except OSError:
            writer.close()
            return
        directions = [
            self._copy(reader, target_writer),
            self._copy(target_reader, writer),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*directions, return_exceptions=True)

    async def _copy(self, reader, writer) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                self.n_bytes += len(data)
                self.n_reads += data.startswith(b"GET ")
                self.n_posts += data.startswith(b"POST ")
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


@attrs.define
class Deployment:
    """Running entry processes of one data centre, with their log and endpoints."""

    ports: list[int]
    processes: list[Popen]
    log_port: int
    log: Forwarder
    endpoints: list[Forwarder]

    @property
    def n_log_bytes(self) -> int:
        """Return the bytes exchanged between the entries and the log so far."""
        return self.log.n_bytes

    @property
    def n_endpoint_bytes(self) -> int:
        """Return the bytes exchanged between the entries and their endpoints so far."""
        return sum(forwarder.n_bytes for forwarder in self.endpoints)


@contextlib.asynccontextmanager
async def run_deployment(
    n_nodes: int,
    n_endpoints: int,
    *,
    items: Iterable[Item] = (),
    engine_options: dict[str, Any] | None = None,
) -> AsyncIterator[Deployment]:
    """Run a log, endpoints and entries, without callers, until the block ends.

    ``items`` are added to the catalogue, ``engine_options`` apply to all endpoints.
    """
    ports = free_ports(2 * n_nodes + 2 * n_endpoints + 2)
    http_ports, peer_ports = ports[:n_nodes], ports[n_nodes : 2 * n_nodes]
    engine_ports = ports[2 * n_nodes : 2 * n_nodes + n_endpoints]
    forwarder_ports = ports[2 * n_nodes + n_endpoints : -2]
    log_port, log_forwarder_port = ports[-2:]
    log = Forwarder(log_port)
    endpoints = [Forwarder(port) for port in engine_ports]
    async with contextlib.AsyncExitStack() as stack:
        for forwarder, port in zip(
            [log, *endpoints], [log_forwarder_port, *forwarder_ports], strict=True
        ):
            server = await asyncio.start_server(forwarder.serve, HOST, port)
            stack.callback(server.close)
        standins = [{"kind": "log", "port": log_port}]
        options = engine_options or {}
        standins += [
            {"kind": "engine", "port": port, "options": options}
            for port in engine_ports
        ]
        platform = stack.enter_context(
            run_with_settings("standin_command", {"standins": standins})
        )
        url = f"http://{HOST}:{log_port}/log-read?topic=config&part=0&from=0"
        await asyncio.to_thread(wait_for, url, platform)
        urls = [f"http://{HOST}:{port}" for port in forwarder_ports]
        publish(log_port, -1, [*initial_items(urls), *items])
        processes: list[Popen] = []
        for first in range(0, n_nodes, N_CONCURRENT_STARTS):
            batch = range(first, min(n_nodes, first + N_CONCURRENT_STARTS))
            for index in batch:
                settings = _entry_settings(
                    index, http_ports, peer_ports, log_forwarder_port
                )
                entry = run_with_settings("entry_command", settings)
                processes.append(stack.enter_context(entry))
            for index in batch:
                url = f"http://{HOST}:{http_ports[index]}/readyz"
                await asyncio.to_thread(wait_for, url, processes[index])
        yield Deployment(http_ports, processes, log_port, log, endpoints)


def initial_items(urls: list[str]) -> list[Item]:
    """Return a small catalogue with the given endpoints."""
    entry = {"kind": "model", "owner": "hann", "service_class": "assistant"}
    items: list[Item] = [
        ("organisations", "hann", {"key_hashes": [hash_key(KEY)]}),
        ("classes", "assistant", {"deadline_ms": 600_000}),
        ("entries", "guide", entry),
    ]
    for index, url in enumerate(urls):
        endpoint = {"entry": "guide", "data_centre": DATA_CENTRE, "url": url}
        items.append(("endpoints", f"guide-{index}", endpoint))
    return items


def publish(log_port: int, base_revision: int, items: list[Item]) -> int:
    """Append an edit to the log and return its revision."""
    changes = [Change(section=s, name=n, item=i) for s, n, i in items]
    edit = Edit(
        edit_id=uuid.uuid4().hex,
        author="bench",
        base_revision=base_revision,
        changes=changes,
    )
    request = urllib.request.Request(
        f"http://{HOST}:{log_port}/log-append?topic=config&part=0",
        data=encode_batch([encode_record(encode_edit(edit).encode(), time.time())]),
    )
    with urllib.request.urlopen(request, timeout=5) as response:
        return json.loads(response.read())["offset"]


def _entry_settings(
    index: int, http_ports: list[int], peer_ports: list[int], log_port: int
) -> dict[str, Any]:
    seeds = [
        {
            "instance": f"entry-{i}",
            "data_centre": DATA_CENTRE,
            "address": f"{HOST}:{port}",
            "http_address": f"{HOST}:{http_ports[i]}",
        }
        for i, port in enumerate(peer_ports)
    ]
    return {
        "instance": f"entry-{index}",
        "data_centre": DATA_CENTRE,
        "port": http_ports[index],
        "log_url": f"http://{HOST}:{log_port}",
        "log_level": "ERROR",
        "grace_s": 1,
        "peers": {
            "address": f"{HOST}:{peer_ports[index]}",
            "keys": ["a-benchmark-peer-key"],
            "seeds": seeds,
        },
    }
