"""Decodes operators' documents and endpoint records from the platform's format."""

from __future__ import annotations

import ipaddress
import math
from typing import Annotated, Any

import msgspec

from lagoonring.decoding import decode_json
from lagoonring.errors import InvalidInputError
from lagoonring.serving.configuration import (
    CallerLimits,
    Configuration,
    EngineTraits,
    Organisation,
    RequestKind,
    RouteEntry,
    ScalingTraits,
    ServiceEntry,
    WarmUp,
    WeightedService,
)
from lagoonring.serving.endpoints import EndpointRecord, EndpointState
from lagoonring.serving.evacuation_orders import EvacuationOrder
from lagoonring.serving.moves import MoveOrder, MoveState

REQUEST_KINDS = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAM,
}
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
CONFIG_KEY = "config"
MAX_SHOWN_BYTES = 200
MAX_NAME_CHARACTERS = 256
MAX_PORT = 65535
# The platform's protocol defines when callers abandon a stream: after the longest of
# a minimum, a multiple of the latency objective and a multiple of the event gap.
MIN_CALLER_WAIT_S = 2.0
CALLER_WAIT_OBJECTIVES = 4
CALLER_WAIT_GAPS = 8


Slots = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
# Milliseconds since the epoch, until the year 2109.
Timestamp = Annotated[int, msgspec.Meta(ge=0, le=2**42)]
Number = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Rank = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
# Milliseconds, of eleven days at most.
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
MillisecondsLeft = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=1e6)]


class UnreadableDocumentError(InvalidInputError):
    """A document in the platform's store can't be decoded."""

    code = "unreadable_document"


class _Split(msgspec.Struct):
    service: str
    weight: Amount


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str
    kind: str
    timeoutMs: Milliseconds
    sloMs: Milliseconds
    priority: Rank = 0
    service: str | None = None
    trafficSplit: list[_Split] | None = None
    maxAttempts: Number = 1
    public: bool = False
    canResume: bool = False
    # Longest pause between events that still meets the service level.
    gapTargetMs: Milliseconds | None = None


class _Engine(msgspec.Struct):
    slots: Number
    kvTokens: Number
    moves: bool = False


class _Scaling(msgspec.Struct):
    # Per data centre, counting reclaimable and on-demand endpoints.
    min: Number
    max: Number
    bootS: Seconds = 4.0
    spotPrice: Amount | None = None
    zonePrices: dict[str, Amount] = {}


class _Service(msgspec.Struct):
    name: str
    maxConns: Number = 100
    engine: _Engine | None = None
    scaling: _Scaling | None = None
    # How long an endpoint is cold after its start, and the requests a second that it
    # takes meanwhile.
    coldS: Seconds = 0.0
    coldPerS: Amount = 0.0


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: Rank | None = None
    unit: str = "requests"
    plainTokens: Amount = 0
    ratePerS: Amount = 0
    burst: Amount = 0


class _Limits(msgspec.Struct):
    maxHeaderBytes: Number = 16384
    maxBodyBytes: Number = 4194304
    headerTimeoutMs: Milliseconds = 3000
    idleTimeoutMs: Milliseconds = 15000


class _Config(msgspec.Struct):
    version: Number
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    version: str
    slots: Slots
    state: str
    seq: Number
    # An integer: floats are rejected.
    born: Timestamp = 0
    # How much longer the endpoint is cold, as of the writing of the record.
    coldLeftMs: MillisecondsLeft = 0
    useSpot: bool = False


class _MoveStatus(msgspec.Struct):
    target: str
    state: MoveState


class _Rollout(msgspec.Struct):
    service: str
    target: str
    durationS: Seconds


def decode_configuration(content: bytes) -> Configuration:
    """Return a configuration written by an operator.

    Raises
    ------
    UnreadableDocumentError
        If it can't be decoded; the previous configuration stays in force.
    """
    raw = _decode(content, _Config)
    return Configuration(
        version=raw.version,
        routes=tuple(_convert_route(route) for route in raw.routes),
        services={service.name: _convert_service(service) for service in raw.services},
        organisations=tuple(_convert_tenant(tenant) for tenant in raw.tenants),
        limits=CallerLimits(
            n_header_bytes=raw.limits.maxHeaderBytes,
            n_body_bytes=raw.limits.maxBodyBytes,
            header_timeout_s=raw.limits.headerTimeoutMs / 1000,
            idle_timeout_s=raw.limits.idleTimeoutMs / 1000,
        ),
    )


def decode_document(
    key: str, content: bytes | None
) -> Configuration | MoveOrder | EvacuationOrder | None:
    """Return an operator's document, or None if instances don't use its key.

    The content of a document that the operator removed is None. Only the removal of an
    evacuation has a meaning.

    Raises
    ------
    UnreadableDocumentError
        If it can't be decoded.
    """
    if key.startswith(EVACUATION_PREFIX):
        data_centre = key.removeprefix(EVACUATION_PREFIX)
        return EvacuationOrder(data_centre, is_withdrawn=content is None)
    if content is None:
        return None
    if key == CONFIG_KEY:
        return decode_configuration(content)
    if key.startswith(ROLLOUT_PREFIX):
        return decode_move_order(content)
    return None


def decode_endpoint(endpoint: str, content: bytes) -> EndpointRecord:
    """Return the record that an endpoint registered itself with.

    Raises
    ------
    UnreadableDocumentError
        If a field is missing or invalid; the record is then ignored.
    """
    raw = _decode(content, _Heartbeat)
    is_sound = (
        _is_sendable(endpoint)
        and raw.state in ("ready", "draining")
        and _is_address(raw.address)
    )
    if not is_sound:
        raise UnreadableDocumentError(
            f"Got state {raw.state[:MAX_NAME_CHARACTERS]!r} and address "
            f"{raw.address[:MAX_NAME_CHARACTERS]!r} of "
            f"{endpoint[:MAX_NAME_CHARACTERS]!r}, expected ready or draining, IP:port "
            "and a printable name.",
            remedy="Find who writes this record; the endpoint's own ones hold.",
        )
    return EndpointRecord(
        endpoint=endpoint,
        service=raw.service,
        address=raw.address,
        data_centre=raw.zone,
        version=raw.version,
        n_slots=raw.slots,
        state=EndpointState(raw.state),
        born_ms=raw.born,
        sequence=raw.seq,
        is_reclaimable=raw.useSpot,
        cold_left_s=max(raw.coldLeftMs, 0.0) / 1000,
    )


def decode_move_order(content: bytes) -> MoveOrder:
    """Return an operator's order to move a service to a target version."""
    raw = _decode(content, _Rollout)
    return MoveOrder(service=raw.service, target=raw.target, duration_s=raw.durationS)


def encode_move_status(target: str, state: MoveState) -> bytes:
    """Return the record that reports the state of a move to the operator."""
    return msgspec.json.encode({"state": state.value, "target": target})


def move_key(service: str) -> str:
    """Return the key under which a service's move order and status are stored."""
    return ROLLOUT_PREFIX + service


def moved_service(key: str) -> str:
    """Return the service whose move a key names; empty if it names none."""
    return key.removeprefix(ROLLOUT_PREFIX) if key.startswith(ROLLOUT_PREFIX) else ""


def decode_move_status(content: bytes) -> tuple[str, MoveState]:
    """Return the target version and the state from a status record."""
    raw = _decode(content, _MoveStatus)
    return raw.target, raw.state


def _decode(content: bytes, kind: Any) -> Any:
    try:
        return decode_json(content, kind)
    except msgspec.DecodeError as error:
        shown = content[:MAX_SHOWN_BYTES].decode(errors="replace")
        raise UnreadableDocumentError(
            f"Got {shown!r}: {error}.",
            remedy="Write the document anew; the one before stays in force.",
        ) from error


def _is_sendable(name: str) -> bool:
    """Return whether a name can be sent in a header."""
    return 0 < len(name) <= MAX_NAME_CHARACTERS and name.isprintable()


def _is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    return is_number and 0 < int(port) <= MAX_PORT


def _convert_route(raw: _Route) -> RouteEntry:
    if raw.trafficSplit:
        targets = tuple(
            WeightedService(service=split.service, weight=split.weight)
            for split in raw.trafficSplit
        )
    else:
        targets = (WeightedService(service=raw.service or "", weight=1.0),)
    kind = REQUEST_KINDS.get(raw.kind, RequestKind.ONCE)
    return RouteEntry(
        name=raw.name,
        host=raw.host.lower(),
        path_prefix=raw.pathPrefix,
        kind=kind,
        timeout_s=raw.timeoutMs / 1000,
        objective_s=raw.sloMs / 1000,
        max_wait_s=_caller_wait_s(raw, kind),
        rank=raw.priority,
        targets=targets,
        max_attempts=max(1, raw.maxAttempts),
        is_public=raw.public,
        may_resume=raw.canResume and kind is RequestKind.STREAM,
        max_pause_s=raw.gapTargetMs / 1000 if raw.gapTargetMs else math.inf,
    )


def _caller_wait_s(raw: _Route, kind: RequestKind) -> float:
    """Return how long callers wait for the next part of an answer."""
    if kind is not RequestKind.STREAM:
        return raw.timeoutMs / 1000
    by_objective_s = CALLER_WAIT_OBJECTIVES * raw.sloMs / 1000
    by_gap_s = CALLER_WAIT_GAPS * (raw.gapTargetMs or 0) / 1000
    return max(MIN_CALLER_WAIT_S, by_objective_s, by_gap_s)


def _convert_service(raw: _Service) -> ServiceEntry:
    engine = scaling = None
    if raw.engine is not None:
        engine = EngineTraits(
            n_slots=raw.engine.slots,
            n_cache_tokens=raw.engine.kvTokens,
            may_move=raw.engine.moves,
        )
    if raw.scaling is not None:
        scaling = ScalingTraits(
            n_least=raw.scaling.min,
            n_most=raw.scaling.max,
            boot_s=raw.scaling.bootS,
            reclaimable_price=raw.scaling.spotPrice,
            prices=raw.scaling.zonePrices,
        )
    warm_up = None
    if raw.coldS > 0 and raw.coldPerS > 0:
        warm_up = WarmUp(duration_s=raw.coldS, rate_per_s=raw.coldPerS)
    return ServiceEntry(
        name=raw.name,
        max_connections=raw.maxConns,
        engine=engine,
        scaling=scaling,
        warm_up=warm_up,
    )


def _convert_tenant(raw: _Tenant) -> Organisation:
    return Organisation(
        name=raw.name,
        keys=frozenset(raw.apiKeys),
        rank=raw.priority,
        rate_per_s=raw.ratePerS,
        burst=raw.burst,
        counts_tokens=raw.unit == "tokens",
        n_plain_tokens=raw.plainTokens,
    )
