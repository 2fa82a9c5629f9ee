"""What model engines tell and are told, as data."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import one_of

ORDER_KINDS = ("load_version", "unload_version", "load_adapter", "set_role", "leave")


@attrs.frozen
class LoadReport:
    """Load of an endpoint as it was at ``time_s`` (epoch seconds)."""

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
    """Cache events; sequence numbers missing between them are lost."""

    events: list[CacheEvent]
    next_seq: int


@attrs.frozen
class CacheUpdate:
    """Cache events as a follower gets them.

    ``n_missing`` events were lost before or between these; ``is_restarted``
    says that the engine began anew and its cache is empty.
    """

    events: list[CacheEvent]
    n_missing: int = 0
    is_restarted: bool = False


@attrs.frozen
class KvExport:
    """A frozen KV cache: ``n_tokens`` of the answer, ``size_mb`` to transfer."""

    handle: str
    n_tokens: int
    size_mb: float


@attrs.frozen(kw_only=True)
class EngineOrder:
    """An order to an engine, with the fencing number of who gives it."""

    kind: str = attrs.field(validator=one_of(ORDER_KINDS))
    name: str = ""
    fencing: int = -1


@attrs.define
class EngineState:
    """What orders have made of an engine."""

    versions: list[str] = attrs.field(factory=list)
    loading: list[str] = attrs.field(factory=list)
    adapters: list[str] = attrs.field(factory=list)
    role: str = ""
    fencing: int = -1
    leaving: bool = False
