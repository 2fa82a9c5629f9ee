"""The catalogue's contents as data: what operators edit.

A :class:`CatalogueContent` is built from plain JSON by
:func:`lagoonring.settings.convert`, which lists every fault by path. Sections
are maps from a name to an item; an edit replaces or removes whole items.
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
    """Limits of an organisation, class or entry; None means no limit.

    Rates are averages over the fleet, ``n_concurrent`` counts requests in
    progress over the fleet.
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
    """A customer: its key hashes (``sha256:HEX``), weight and limits."""

    title: str = ""
    key_hashes: list[str] = attrs.field(factory=list)
    weight: float = attrs.field(default=1.0, validator=between(0.001, 1000))
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen(kw_only=True)
class Operator:
    """A person who may use the administration API.

    ``viewer`` reads, ``operator`` also orders moves and edits, ``admin`` also
    edits operators and organisations.
    """

    token_hash: str
    role: str = attrs.field(default="viewer", validator=one_of(ROLES))


@attrs.frozen(kw_only=True)
class ServiceClass:
    """A latency target shared by entries."""

    first_token_ms: float = attrs.field(default=350.0, validator=between(1, 600_000))
    between_tokens_ms: float = attrs.field(default=58.0, validator=between(1, 60_000))
    deadline_ms: float = attrs.field(default=60_000.0, validator=between(1, 3_600_000))
    priority: int = attrs.field(default=0, validator=between(0, 9))
    limits: Limits = attrs.field(factory=Limits)


@attrs.frozen(kw_only=True)
class Version:
    """A version of an entry's model or service, as the weight store names it."""

    weights: str = ""
    size_mb: float = attrs.field(default=0.0, validator=between(0, MANY))


@attrs.frozen(kw_only=True)
class Entry:
    """Something that callers ask for by name.

    ``idempotent`` says that calls may be repeated and hedged; for plain
    services ``idempotent_methods`` narrows that to HTTP methods.
    ``checks_fencing`` and ``deduplicates`` say what its endpoints do.
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
    """A model engine or plain service that runs an entry."""

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
    """What to run for an entry in a data centre, for the fleet's holder."""

    entry: str
    data_centre: str = attrs.field(validator=is_name())
    instance_class: str
    n_least: int = attrs.field(default=1, validator=between(0, 100_000))
    n_most: int = attrs.field(default=8, validator=between(0, 100_000))
    n_spare: int = attrs.field(default=1, validator=between(0, 100_000))


@attrs.frozen(kw_only=True)
class CatalogueContent:
    """All sections of the catalogue."""

    organisations: dict[str, Organisation] = attrs.field(factory=dict)
    operators: dict[str, Operator] = attrs.field(factory=dict)
    classes: dict[str, ServiceClass] = attrs.field(factory=dict)
    entries: dict[str, Entry] = attrs.field(factory=dict)
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    moves: dict[str, Move] = attrs.field(factory=dict)
    fleet: dict[str, FleetGoal] = attrs.field(factory=dict)
