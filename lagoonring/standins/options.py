"""Options of the stand-ins and settings of the process that runs them."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.platform.instance_list import ListedInstance
from lagoonring.settings.validators import between, is_port, one_of

KINDS = ("engine", "plain", "log", "cloud", "weight_store", "instance_list", "link")
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MANY = 1_000_000_000
HOUR_S = 3600.0


@attrs.frozen(kw_only=True)
class EngineOptions:
    """Behaviour of a model engine.

    A token takes ``token_s * (1 + batch_growth * (n_running - 1))``. Sizes of
    KV cache are ``kv_mb_per_token`` for each token of prompt and answer.
    """

    versions: list[str] = attrs.field(factory=lambda: ["1"])
    n_slots: int = attrs.field(default=8, validator=between(1, 100_000))
    n_waiting_most: int = attrs.field(default=1000, validator=between(0, MANY))
    token_s: float = attrs.field(default=0.02, validator=between(0, 60))
    batch_growth: float = attrs.field(default=0.05, validator=between(0, 100))
    prefill_block_s: float = attrs.field(default=0.002, validator=between(0, 60))
    n_tokens_per_block: int = attrs.field(default=64, validator=between(1, 10_000))
    n_cache_blocks: int = attrs.field(default=4096, validator=between(0, MANY))
    n_events_kept: int = attrs.field(default=2048, validator=between(1, MANY))
    event_delay_s: float = attrs.field(default=0.2, validator=between(0, HOUR_S))
    event_loss_share: float = attrs.field(default=0.0, validator=between(0, 1))
    load_lag_s: float = attrs.field(default=0.5, validator=between(0, HOUR_S))
    kv_mb_per_token: float = attrs.field(default=0.1, validator=between(0, 1000))
    kv_mb_per_s: float = attrs.field(default=1000.0, validator=between(0.001, MANY))
    checks_fencing: bool = True
    load_version_s: float = attrs.field(default=1.0, validator=between(0, HOUR_S))
    weight_store_url: str = ""
    seed: int = 0


@attrs.frozen(kw_only=True)
class LogOptions:
    """Behaviour of the log: rate limit and records retained per stream."""

    appends_per_s: float = attrs.field(default=400.0, validator=between(0, MANY))
    n_kept: int | None = None


@attrs.frozen(kw_only=True)
class PlainOptions:
    """Behaviour of a plain service."""

    n_seats: int = attrs.field(default=1000, validator=between(0, MANY))
    answer_s: float = attrs.field(default=0.005, validator=between(0, HOUR_S))
    deduplicates: bool = False
    n_runs_kept: int = attrs.field(default=100_000, validator=between(1, MANY))


@attrs.frozen(kw_only=True)
class Price:
    """Price of an instance class in a data centre, in money per hour."""

    data_centre: str
    instance_class: str
    reclaimable: float = attrs.field(default=0.3, validator=between(0, MANY))
    on_demand: float = attrs.field(default=1.0, validator=between(0, MANY))
    n_reclaimable: int = attrs.field(default=100, validator=between(0, MANY))
    n_on_demand: int = attrs.field(default=100, validator=between(0, MANY))


@attrs.frozen(kw_only=True)
class CloudOptions:
    """Behaviour of the cloud; capacity is given per price line and market.

    Each running instance is assigned one of ``endpoint_urls``; endpoints of the
    same process start and end with their instance.
    """

    prices: list[Price] = attrs.field(factory=list)
    start_s: float = attrs.field(default=1.0, validator=between(0, HOUR_S))
    notice_s: float = attrs.field(default=5.0, validator=between(0, HOUR_S))
    endpoint_urls: list[str] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class WeightStoreOptions:
    """Behaviour of the weight store: total transfer rate and sizes."""

    mb_per_s: float = attrs.field(default=200.0, validator=between(0.001, MANY))
    n_concurrent: int = attrs.field(default=2, validator=between(1, 1000))
    n_waiting_most: int = attrs.field(default=8, validator=between(0, MANY))
    weights: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class InstanceListOptions:
    """Behaviour of the instance list; changes become visible after ``lag_s``."""

    instances: list[ListedInstance] = attrs.field(factory=list)
    lag_s: float = attrs.field(default=1.0, validator=between(0, HOUR_S))


@attrs.frozen(kw_only=True)
class LinkOptions:
    """A forwarder to ``target_host:target_port`` with a one-way delay.

    ``control_port`` takes ``POST /faults``.
    """

    target_port: int = attrs.field(validator=is_port())
    target_host: str = "127.0.0.1"
    control_port: int = attrs.field(default=0, validator=is_port())
    delay_s: float = attrs.field(default=0.0, validator=between(0, 60))


@attrs.frozen(kw_only=True)
class Standin:
    """One stand-in of the process; ``options`` depend on the kind."""

    kind: str = attrs.field(validator=one_of(KINDS))
    host: str = "127.0.0.1"
    port: int = attrs.field(default=0, validator=is_port())
    options: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class StandinSettings:
    """Settings of ``lagoonring-standin``."""

    standins: list[Standin]
    log_level: str = attrs.field(default="INFO", validator=one_of(LEVELS))
