"""Complete deployments in one process: stand-ins and entry instances."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.entry.application import make_entry_application
from lagoonring.kernel import Application
from lagoonring.platform.log import LogUnavailableError, Page
from lagoonring.requests.authentication import hash_key
from lagoonring.settings import convert
from lagoonring.settings.entry_settings import EntrySettings
from lagoonring.standins.engine_standin import EngineStandin
from lagoonring.standins.log_standin import LogStandin
from lagoonring.standins.options import EngineOptions, PlainOptions
from lagoonring.standins.plain_standin import PlainStandin
from lagoonring.tests.builders.ports import HOST, free_ports

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


TIMEOUT_S = 60.0
KEYS = {"hann": "hann-key", "ngor": "ngor-key"}
OPERATOR_TOKEN = "awa-token"
DATA_CENTRES = ("plateau", "almadies", "rufisque")
PEER_KEY = "a-key-for-tests-only"


@attrs.define
class LogLink:
    """An instance's connection to the log, which can be cut."""

    log: LogStandin
    is_cut: bool = False

    async def append(self, stream: str, data: str) -> int:
        """Append, or raise an error if the link is cut."""
        self._check(stream)
        return await self.log.append(stream, data)

    async def read(self, stream: str, from_offset: int, **options: Any) -> Page:
        """Read, or raise an error if the link is cut."""
        self._check(stream)
        page = await self.log.read(stream, from_offset, **options)
        self._check(stream)
        return page

    def _check(self, stream: str) -> None:
        if self.is_cut:
            raise LogUnavailableError(
                f"Got a cut link for stream {stream}.",
                remedy="Try again when the link is back.",
                retry_after_s=1.0,
            )


@attrs.define(kw_only=True)
class Deployment:
    """A running deployment; ``cut`` holds pairs of instances without a connection."""

    log: LogStandin
    log_links: list[LogLink] = attrs.field(factory=list)
    entries: list[Application] = attrs.field(factory=list)
    engines: dict[str, EngineStandin] = attrs.field(factory=dict)
    services: dict[str, PlainStandin] = attrs.field(factory=dict)
    cut: set[frozenset[str]] = attrs.field(factory=set)
    session: aiohttp.ClientSession
    settings: list[EntrySettings] = attrs.field(factory=list)

    async def start_entry(self, index: int) -> Application:
        """Start an entry instance, or restart it at its previous addresses."""
        settings = self.settings[index]
        app = make_entry_application(
            settings,
            rng=random.Random(f"{settings.instance} {len(self.log_links)}"),
            log=self.log_links[index],
            allow=self.allows,
        )
        if index < len(self.entries):
            self.entries[index] = app
        else:
            self.entries.append(app)
        await app.start()
        return app

    async def stop_entries(self) -> None:
        """Stop all entry instances."""
        for app in self.entries:
            await app.stop()

    def url(self, index: int) -> str:
        """Return the root URL of an entry instance."""
        return f"http://{HOST}:{self.entries[index].find('http').port}"

    def cut_off(self, index: int) -> None:
        """Cut an instance off from the log and from all other instances."""
        self.log_links[index].is_cut = True
        for other in range(len(self.entries)):
            if other != index:
                self.cut.add(frozenset({f"entry-{index}", f"entry-{other}"}))

    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()
        for link in self.log_links:
            link.is_cut = False

    def allows(self, sender: str, receiver: str) -> bool:
        """Return whether two instances can reach each other."""
        return frozenset({sender, receiver}) not in self.cut


def headers_of(organisation: str = "hann", **more: str) -> dict[str, str]:
    """Return the headers that authenticate an organisation."""
    return {"Authorization": f"Bearer {KEYS[organisation]}", **more}


def chat_body(question: str = "feeding", n_tokens: int = 8, **more: Any) -> dict:
    """Return a chat completion body for the entry ``guide``."""
    messages = [{"role": "user", "content": question}]
    return {"model": "guide", "messages": messages, "max_tokens": n_tokens, **more}


@contextlib.asynccontextmanager
async def run_deployment(
    *,
    n_entries: int = 1,
    n_engines: int = 2,
    n_services: int = 1,
    engine: dict[str, Any] | None = None,
    plain: dict[str, Any] | None = None,
    entry: dict[str, Any] | None = None,
    sections: dict[str, Any] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> AsyncIterator[Deployment]:
    """Run a deployment until the block ends.

    ``engine`` and ``plain`` are options of the stand-ins, ``entry`` are settings of
    every instance, and ``sections`` extend items of the catalogue.
    """
    async with asyncio.timeout(timeout_s), contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        deployment = Deployment(log=LogStandin(), session=session)
        for index in range(n_engines):
            options = EngineOptions(**{"token_s": 0.0, **(engine or {})})
            name = f"guide-{index}"
            deployment.engines[name] = await _start(
                stack, EngineStandin(options, host=HOST, port=0)
            )
        for index in range(n_services):
            options = PlainOptions(**(plain or {}))
            deployment.services[f"booking-{index}"] = await _start(
                stack, PlainStandin(options, host=HOST, port=0)
            )
        await publish(deployment, make_catalogue(deployment, sections or {}))
        stack.push_async_callback(deployment.stop_entries)
        deployment.settings = make_settings(n_entries, entry or {})
        deployment.log_links = [LogLink(deployment.log) for _ in range(n_entries)]
        for index in range(n_entries):
            await deployment.start_entry(index)
        for app in deployment.entries:
            await app.find("catalogue").ready.wait()
        yield deployment


def make_settings(n_entries: int, more: dict[str, Any]) -> list[EntrySettings]:
    """Return the settings of all instances, spread over the data centres."""
    ports = free_ports(2 * n_entries)
    rows = [
        {
            "instance": f"entry-{index}",
            "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
            "address": f"{HOST}:{ports[2 * index]}",
            "http_address": f"{HOST}:{ports[2 * index + 1]}",
        }
        for index in range(n_entries)
    ]
    return [
        convert(
            {
                "instance": row["instance"],
                "data_centre": row["data_centre"],
                "port": ports[2 * index + 1],
                "log_url": "http://127.0.0.1:1",
                "peers": {
                    "address": row["address"],
                    "keys": [PEER_KEY],
                    "seeds": [other for other in rows if other is not row],
                    "round_s": 0.05,
                    **more.get("peers", {}),
                },
                **{name: part for name, part in more.items() if name != "peers"},
            },
            EntrySettings,
        )
        for index, row in enumerate(rows)
    ]


def make_catalogue(
    deployment: Deployment, sections: dict[str, Any]
) -> dict[str, dict[str, Any]]:
    """Return the catalogue's sections, as plain data, for the running stand-ins."""
    catalogue: dict[str, dict[str, Any]] = {
        "organisations": {
            name: {"key_hashes": [hash_key(key)]} for name, key in KEYS.items()
        },
        "operators": {"awa": {"token_hash": hash_key(OPERATOR_TOKEN), "role": "admin"}},
        "classes": {"assistant": {}, "desk": {"deadline_ms": 5000}},
        "entries": {
            "guide": {
                "kind": "model",
                "owner": "hann",
                "service_class": "assistant",
                "price_per_1000_tokens": 1.0,
            },
            "booking": {
                "kind": "plain",
                "owner": "hann",
                "service_class": "desk",
                "price_per_request": 0.01,
            },
        },
        "endpoints": {},
    }
    running = {"guide": deployment.engines, "booking": deployment.services}
    for entry, endpoints in running.items():
        for index, (name, standin) in enumerate(endpoints.items()):
            catalogue["endpoints"][name] = {
                "entry": entry,
                "data_centre": DATA_CENTRES[index % len(DATA_CENTRES)],
                "url": standin.url,
            }
    for section, items in sections.items():
        known = catalogue.setdefault(section, {})
        for name, item in items.items():
            known[name] = {**known.get(name, {}), **item}
    return catalogue


async def publish(deployment: Deployment, catalogue: dict[str, Any]) -> None:
    """Append a catalogue to the log as one edit."""
    changes = [
        Change(section=section, name=name, item=item)
        for section, items in catalogue.items()
        for name, item in items.items()
    ]
    edit = Edit(edit_id="first", author="awa", base_revision=-1, changes=changes)
    await deployment.log.append("config", encode_edit(edit))


async def _start(stack: contextlib.AsyncExitStack, standin: Any) -> Any:
    await standin.start()
    stack.push_async_callback(standin.stop)
    return standin
