"""Builds stand-ins from settings, and starts and stops them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import attrs

from lagoonring.logs import make_logger
from lagoonring.settings import Fault, FaultyDocumentError, convert, find_faults
from lagoonring.standins.cloud_standin import CloudStandin
from lagoonring.standins.engine_standin import EngineStandin
from lagoonring.standins.instance_list_standin import InstanceListStandin
from lagoonring.standins.link_standin import LinkStandin
from lagoonring.standins.log_server import LogServer
from lagoonring.standins.options import (
    CloudOptions,
    EngineOptions,
    InstanceListOptions,
    LinkOptions,
    LogOptions,
    PlainOptions,
    WeightStoreOptions,
)
from lagoonring.standins.plain_standin import PlainStandin
from lagoonring.standins.weight_store_standin import WeightStoreStandin

if TYPE_CHECKING:
    from lagoonring.standins.options import Standin, StandinSettings

logger = make_logger("standins")


class RunningStandin(Protocol):
    """A stand-in that can be started and stopped."""

    async def start(self) -> None:
        """Start to listen."""

    async def stop(self) -> None:
        """Stop listening and close all connections."""

    @property
    def url(self) -> str:
        """Root URL, without a trailing slash."""
        return ""


@attrs.frozen
class Kind:
    """A kind of stand-in: the class of its options and how to build it."""

    options: type
    build: Callable[..., RunningStandin]


KINDS = {
    "engine": Kind(EngineOptions, EngineStandin),
    "log": Kind(LogOptions, LogServer),
    "plain": Kind(PlainOptions, PlainStandin),
    "cloud": Kind(CloudOptions, CloudStandin),
    "weight_store": Kind(WeightStoreOptions, WeightStoreStandin),
    "link": Kind(LinkOptions, LinkStandin),
    "instance_list": Kind(InstanceListOptions, InstanceListStandin),
}


def find_option_faults(settings: StandinSettings) -> list[Fault]:
    """Return the errors in the options of all stand-ins, with their paths."""
    faults = []
    for index, standin in enumerate(settings.standins):
        for fault in find_faults(standin.options, KINDS[standin.kind].options):
            path = f"standins[{index}].options.{fault.path}"
            faults.append(attrs.evolve(fault, path=path))
    return faults


def build(standin: Standin, **parts: Any) -> RunningStandin:
    """Build a stand-in from its settings, without starting it."""
    kind = KINDS[standin.kind]
    options: Any = convert(standin.options, kind.options, name="options")
    return kind.build(options, host=standin.host, port=standin.port, **parts)


def build_all(settings: StandinSettings) -> list[RunningStandin]:
    """Build all stand-ins of a process, without starting them.

    Clouds come last, since they start and end the endpoints of the process that
    their options list.

    Raises
    ------
    FaultyDocumentError
        If options are invalid; lists the errors of all stand-ins.
    """
    faults = find_option_faults(settings)
    if faults:
        raise FaultyDocumentError("settings", faults)
    clouds = [standin for standin in settings.standins if standin.kind == "cloud"]
    others = [standin for standin in settings.standins if standin.kind != "cloud"]
    built = [build(standin) for standin in others]
    endpoints = {
        item.url: item
        for item in built
        if isinstance(item, EngineStandin | PlainStandin)
    }
    return built + [build(cloud, endpoints=endpoints) for cloud in clouds]


async def start_all(standins: list[RunningStandin]) -> None:
    """Start stand-ins; if one fails, stop those already started."""
    started: list[RunningStandin] = []
    try:
        for standin in standins:
            await standin.start()
            started.append(standin)
            logger.info("{} listening on {}.", type(standin).__name__, standin.url)
    except BaseException:
        await stop_all(started)
        raise


async def stop_all(standins: list[RunningStandin]) -> None:
    """Stop stand-ins in reverse order."""
    for standin in reversed(standins):
        await standin.stop()
