"""Data model of the catalogue that operators edit.

:func:`lagoonring.settings.convert` builds a :class:`CatalogueContent` from plain
JSON and reports every fault with its path. Each section maps names to items; an
edit replaces or removes whole items.
"""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between, is_name, is_url, one_of, optional

KINDS = ("model", "plain")
ROLES = ("viewer", "operator", "admin")
DAY_S = 86_400.0
MANY = 1_000_000_000


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of an organisation, class or entry; None means unlimited.

    Rates and ``n_concurrent``, the number of requests in progress, apply to the
    whole fleet. Rates are averages.
    """

    requests_per_s: float | None = attrs.field(
        default=None, validator=optional(between(0, MANY))
    )
    tokens_per_s: float | None = attrs.field(
        default=None, validator=optional(between(0, MANY))
    )
    n_concurrent: int | None = attrs.field(
        default=None, validator=optional(between(0, MANY))
    )


@attrs.frozen(kw_only=True)
class Organisation:
    """A customer, with hashes of its API keys (``sha256:HEX``), weight and limits."""

    title: str = ""
    key_hashes: list[str] = attrs.field(factory=list)
    weight: float = attrs.field(default=1.0, validator=between(0.001, 1000))
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen(kw_only=True)
class Operator:
    """A user of the administration API.

    The role ``viewer`` may read, ``operator`` may also edit the catalogue and order
    moves, and ``admin`` may also edit operators and organisations.
    """

    token_hash: str
    role: str = attrs.field(default="viewer", validator=one_of(ROLES))


@attrs.frozen(kw_only=True)
class ServiceClass:
    """Latency targets, deadline, priority and limits shared by entries."""

    first_token_ms: float = attrs.field(default=350.0, validator=between(1, 600_000))
    between_tokens_ms: float = attrs.field(default=58.0, validator=between(1, 60_000))
    deadline_ms: float = attrs.field(default=60_000.0, validator=between(1, 3_600_000))
    priority: int = attrs.field(default=0, validator=between(0, 9))
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen(kw_only=True)
class Version:
    """A version of an entry; ``weights`` is its name in the weight store."""

    weights: str = ""
    size_mb: float = attrs.field(default=0.0, validator=between(0, MANY))


@attrs.frozen(kw_only=True)
class Entry:
    """A model or plain service that callers request by name.

    Calls of a plain service may be retried and hedged if ``idempotent`` is set or
    their method is one of the ``idempotent_methods``. ``checks_fencing`` means that
    the endpoints reject stale fencing numbers, ``deduplicates`` that they recognise
    retried requests.
    """

    kind: str = attrs.field(validator=one_of(KINDS))
    owner: str
    service_class: str
    limits: Limits = attrs.field(factory=Limits)
    version: str = "1"
    versions: dict[str, Version] = attrs.field(factory=dict)
    idempotent: bool = False
    idempotent_methods: list[str] = attrs.field(factory=lambda: ["GET", "HEAD"])
    checks_fencing: bool = False
    deduplicates: bool = False
    price_per_1000_tokens: float = attrs.field(default=0.0, validator=between(0, MANY))
    price_per_request: float = attrs.field(default=0.0, validator=between(0, MANY))


@attrs.frozen(kw_only=True)
class Endpoint:
    """Address of a model engine or plain service that serves an entry."""

    entry: str
    data_centre: str = attrs.field(validator=is_name())
    url: str = attrs.field(validator=is_url())
    version: str = "1"
    n_slots: int = attrs.field(default=8, validator=between(1, 100_000))
    instance: str = ""


@attrs.frozen(kw_only=True)
class Move:
    """An order to move an entry to a version by a deadline (epoch seconds)."""

    entry: str
    to_version: str
    deadline_s: float
    from_version: str = ""
    ordered_by: str = ""
    cancelled: bool = False


@attrs.frozen(kw_only=True)
class FleetGoal:
    """Instances that the fleet should run for an entry in a data centre."""

    entry: str
    data_centre: str = attrs.field(validator=is_name())
    instance_class: str
    n_least: int = attrs.field(default=1, validator=between(0, 100_000))
    n_most: int = attrs.field(default=8, validator=between(0, 100_000))
    n_spare: int = attrs.field(default=1, validator=between(0, 100_000))


@attrs.frozen(kw_only=True)
class CatalogueContent:
    """Content of the catalogue, by section."""

    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    operators: dict[str, Operator] = attrs.field(factory=dict)
    classes: dict[str, ServiceClass] = attrs.field(factory=dict)
    entries: dict[str, Entry] = attrs.field(factory=dict)
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    moves: dict[str, Move] = attrs.field(factory=dict)
    fleet: dict[str, FleetGoal] = attrs.field(factory=dict)
