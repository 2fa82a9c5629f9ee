"""Data that model engines report, and orders to them."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import one_of

ORDER_KINDS = ("load_version", "unload_version", "load_adapter", "set_role", "leave")


@attrs.frozen
class LoadReport:
    """Load of an endpoint at ``time_s`` (epoch seconds)."""

    n_running: int = 0
    n_waiting: int = 0
    n_slots: int = 1
    kv_used_share: float = 0.0
    versions: list[str] = attrs.field(factory=list)
    tokens_per_s: float = 0.0
    time_s: float = 0.0


@attrs.frozen
class CacheEvent:
    """Blocks that an engine's prefix cache stored or evicted."""

    seq: int
    kind: str
    blocks: list[int]


@attrs.frozen
class CacheEventPage:
    """A page of cache events; events of missing sequence numbers are lost."""

    events: list[CacheEvent]
    next_seq: int


@attrs.frozen
class CacheUpdate:
    """Cache events as a follower receives them.

    ``n_missing`` events were lost before or between these. ``is_restarted`` is set
    if the engine has restarted with an empty cache.
    """

    events: list[CacheEvent]
    n_missing: int = 0
    is_restarted: bool = False


@attrs.frozen
class KvExport:
    """A frozen KV cache with ``n_tokens`` of the answer and ``size_mb`` of data."""

    handle: str
    n_tokens: int
    size_mb: float


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order to an engine, with the fencing number of the sender's lease."""

    kind: str = attrs.field(validator=one_of(ORDER_KINDS))
    name: str = ""
    fencing: int = -1


@attrs.define
class EngineState:
    """State of an engine that results from orders."""

    versions: list[str] = attrs.field(factory=list)
    loading: list[str] = attrs.field(factory=list)
    adapters: list[str] = attrs.field(factory=list)
    role: str = ""
    fencing: int = -1
    leaving: bool = False
