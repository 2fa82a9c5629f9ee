"""Decodes the settings file that the platform passes to a process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.decoding import decode_json
from lagoonring.errors import InvalidInputError
from lagoonring.serving.settings import Bounds, NodeSettings

if TYPE_CHECKING:
    from pathlib import Path

PATH_VARIABLE = "LAGOONRING_BOOT"
N_INTERNAL_PORTS = 3  # messages, relayed requests, metrics


class BootFileError(InvalidInputError):
    """The platform's settings file is missing or invalid."""

    code = "faulty_boot_file"


class _Limits(msgspec.Struct):
    memoryMb: float = 300
    maxFds: int = 4096
    linkMbps: float = 1000.0
    # Share of one processor core; ``cores`` is the speed of that core.
    cpuShare: float = 1.0
    cores: float = 1.0


class _Store(msgspec.Struct):
    address: str
    readsPerS: float = 2000
    writesPerS: float = 400


class _Cloud(msgspec.Struct):
    address: str
    # Limit on the calls per second of all instances together.
    dutyPerS: float = 50.0
    duties: list[str] = []


class _Bounds(msgspec.Struct):
    # Names ending in Ms are in milliseconds, those ending in S in seconds.
    drainMs: float = 2000
    graceS: float = 8
    configMs: float = 2000
    retryBudgetRatio: float = 0.2
    budgetWindowS: float = 10
    retryBudgetSlack: float = 50
    quotaWindowS: float = 8
    quotaOvershoot: float = 0.1
    # In tokens if the organisation's limit counts tokens, else in requests.
    quotaSlack: float = 0
    leaseMs: float = 3000
    usageWindowS: float = 5
    usageLateS: float = 10
    exposureShare: float = 0.1
    exposureSlack: float = 50
    rollbackMs: float = 5000
    # Multiple of a cold endpoint's rate that may reach it in a second.
    coldOver: float = 1.5
    coldSlack: float = 5
    evacuateMs: float = 5000


class _BootFile(msgspec.Struct):
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: dict[str, str]
    internalPorts: list[int]
    platform: _Store
    bounds: _Bounds
    limits: _Limits
    region: str = ""
    seeds: list[str] = []
    bootstrap: bool = False
    heartbeatMs: float = 1200
    cloud: _Cloud | None = None


def load_boot_file(path: Path) -> NodeSettings:
    """Return the checked settings of a process.

    Raises
    ------
    BootFileError
        If the file can't be read or a field is missing or has the wrong type.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        raise BootFileError(
            f"Got {error.strerror} for {path}, expected a readable file.",
            remedy=f"Name the settings file in {PATH_VARIABLE}.",
        ) from error
    return decode_boot_file(content)


def decode_boot_file(content: bytes) -> NodeSettings:
    """Return the settings from a file's content; see `load_boot_file`."""
    try:
        boot = decode_json(content, _BootFile, strict=False)
    except msgspec.MsgspecError as error:
        raise BootFileError(
            f"Got a settings file with a fault: {error}.",
            remedy="Correct the named field; see the platform's list of fields.",
        ) from error
    if "front" not in boot.listen or "ready" not in boot.listen:
        raise BootFileError(
            f"Got listen addresses for {sorted(boot.listen)}, "
            "expected front and ready.",
            remedy='Let the role serve "front" in the deploy file.',
        )
    if not boot.internalPorts or boot.internalPorts[-1] < (
        boot.internalPorts[0] + N_INTERNAL_PORTS - 1
    ):
        raise BootFileError(
            f"Got internalPorts {boot.internalPorts}, expected the first and the last "
            f"of at least {N_INTERNAL_PORTS} ports.",
            remedy="Name the ports that are free for messages between instances.",
        )
    first_port, last_port = boot.internalPorts[0], boot.internalPorts[-1]
    return NodeSettings(
        instance=boot.node,
        ip=boot.ip,
        data_centre=boot.zone,
        data_centres=tuple(sorted(boot.zones)),
        caller_address=boot.listen["front"],
        ready_address=boot.listen["ready"],
        peer_port=first_port,
        relay_port=first_port + 1,
        metrics_port=last_port,
        seed_ips=tuple(seed.rsplit(":", 1)[0] for seed in boot.seeds),
        store_address=boot.platform.address,
        cloud_address=boot.cloud.address if boot.cloud else None,
        duties=tuple(boot.cloud.duties) if boot.cloud else (),
        capacity=boot.limits.linkMbps * boot.limits.cpuShare * boot.limits.cores,
        memory_bytes=boot.limits.memoryMb * 1e6,
        max_fds=boot.limits.maxFds,
        heartbeat_s=boot.heartbeatMs / 1000,
        bounds=_convert_bounds(boot.bounds),
    )


def _convert_bounds(raw: _Bounds) -> Bounds:
    values: dict[str, Any] = {
        "drain_s": raw.drainMs / 1000,
        "grace_s": raw.graceS,
        "config_s": raw.configMs / 1000,
        "retry_ratio": raw.retryBudgetRatio,
        "retry_window_s": raw.budgetWindowS,
        "retry_slack": raw.retryBudgetSlack,
        "quota_window_s": raw.quotaWindowS,
        "quota_overshoot": raw.quotaOvershoot,
        "quota_slack": raw.quotaSlack,
        "lease_s": raw.leaseMs / 1000,
        "usage_window_s": raw.usageWindowS,
        "usage_due_s": raw.usageLateS,
        "exposure_share": raw.exposureShare,
        "exposure_slack": raw.exposureSlack,
        "rollback_s": raw.rollbackMs / 1000,
        "cold_excess": raw.coldOver,
        "cold_slack": raw.coldSlack,
        "evacuate_s": raw.evacuateMs / 1000,
    }
    assert set(values) == {field.name for field in attrs.fields(Bounds)}
    return Bounds(**values)
