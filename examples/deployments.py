"""Builds a user's deployment on loopback: stand-ins, entry instances, catalogue.

A :class:`User` describes what runs in which data centre; :func:`make_deployment`
returns the settings of all processes as plain JSON.
"""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.requests.authentication import hash_key

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-for-trials"
PEER_KEY = "peer-key-for-trials"
POLICIES = ("affinity_load", "affinity_only", "least_outstanding", "round_robin")
ENGINE_CLASS = "gpu"
SERVICE_CLASS = "cpu"
PEER_PORT_OFFSET = 10
LOG_PORT_OFFSET = 20
CLOUD_PORT_OFFSET = 21
CONTROL_PORT_OFFSET = 22
LINK_PORT_OFFSET = 24
LINK_CONTROL_PORT_OFFSET = 27
ENGINE_PORT_OFFSET = 30
SERVICE_PORT_OFFSET = 40
NOTICE_S = 5.0
STOP_MARGIN_S = 1.0

CLASSES: dict[str, dict[str, float]] = {
    "assistant": {
        "first_token_ms": 350.0,
        "between_tokens_ms": 58.0,
        "deadline_ms": 30_000.0,
    },
    "desk": {
        "first_token_ms": 500.0,
        "between_tokens_ms": 58.0,
        "deadline_ms": 10_000.0,
    },
}


@attrs.frozen(kw_only=True)
class Assistant:
    """The model entry and its load of conversations.

    ``system_bytes`` and ``question_bytes`` are sizes of texts, ``n_turns_most`` is
    the maximum number of turns of a conversation.
    """

    name: str
    conversations_per_s: float
    n_turns_most: int = 6
    think_s: float = 2.0
    system_bytes: int = 4096
    question_bytes: int = 300
    n_tokens_least: int = 30
    n_tokens_most: int = 80


@attrs.frozen(kw_only=True)
class Service:
    """A plain entry and its load of calls; only keyed calls have a ``resend_share``."""

    name: str
    method: str
    path: str
    per_s: float
    resend_share: float = 0.0


@attrs.frozen(kw_only=True)
class User:
    """The deployment and the load of one user of the software.

    Attributes
    ----------
    entries, engines, services : dict
        Numbers of entry instances, model engines and plain servers by data centre.
    organisations : dict
        Relative weight of each organisation in the load.
    peak : tuple of str, float, float
        Name, width in seconds and rate factor of the peak in the middle of a run.
    """

    name: str
    entries: dict[str, int]
    engines: dict[str, int]
    services: dict[str, int]
    organisations: dict[str, float]
    assistant: Assistant
    calls: list[Service]
    peak: tuple[str, float, float]
    one_way_s: float


@attrs.frozen(kw_only=True)
class Variant:
    """Options of a run, such as length, policy and data centre to reclaim at the peak.

    ``move`` is ``good``, ``bad`` or empty; ``bad`` versions fail three in ten
    requests. ``rate`` multiplies all rates. ``schedule`` is a file of actions.
    ``n_tokens`` is the minimum and maximum length of answers, which overrides the
    user's.
    """

    duration_s: float = 30.0
    policy: str = "affinity_load"
    reclaim: str = ""
    move: str = ""
    schedule: str = ""
    n_tokens: tuple[int, int] | None = None
    rate: float = 1.0
    n_cache_blocks: int = 256
    base_port: int = 9400


@attrs.define(kw_only=True)
class Deployment:
    """All settings as plain JSON; ``start_orders`` are sorted by endpoint port."""

    platform: dict[str, Any]
    endpoints: dict[str, Any]
    entries: list[dict[str, Any]]
    start_orders: list[dict[str, str]]
    log_url: str
    cloud_url: str
    control_port: int


def make_deployment(user: User, variant: Variant) -> Deployment:
    """Return the settings of all processes of a run."""
    log_url = url_of(variant, LOG_PORT_OFFSET)
    return Deployment(
        platform=make_platform(user, variant),
        endpoints=make_endpoints(user, variant),
        entries=make_entries(user, variant),
        start_orders=make_start_orders(user),
        log_url=log_url,
        cloud_url=url_of(variant, CLOUD_PORT_OFFSET),
        control_port=variant.base_port + CONTROL_PORT_OFFSET,
    )


def make_platform(user: User, variant: Variant) -> dict[str, Any]:
    """Return the stand-ins of the log and of each data centre's link to it."""
    base = variant.base_port
    standins: list[dict[str, Any]] = [{"kind": "log", "port": base + LOG_PORT_OFFSET}]
    for index in range(len(user.entries)):
        options = {
            "target_port": base + LOG_PORT_OFFSET,
            "control_port": base + LINK_CONTROL_PORT_OFFSET + index,
            "delay_s": user.one_way_s,
        }
        port = base + LINK_PORT_OFFSET + index
        standins.append({"kind": "link", "port": port, "options": options})
    return {"standins": standins}


def make_endpoints(user: User, variant: Variant) -> dict[str, Any]:
    """Return the stand-ins of engines, plain servers and the cloud that runs them."""
    base = variant.base_port
    engine_ports = [
        base + ENGINE_PORT_OFFSET + k for k in range(sum(user.engines.values()))
    ]
    service_ports = [
        base + SERVICE_PORT_OFFSET + k for k in range(sum(user.services.values()))
    ]
    options = {
        "versions": ["1"],
        "token_s": 0.02,
        "n_slots": 8,
        "n_cache_blocks": variant.n_cache_blocks,
        "load_version_s": 0.5,
    }
    standins: list[dict[str, Any]] = [
        {"kind": "engine", "port": port, "options": options} for port in engine_ports
    ]
    standins += [
        {"kind": "plain", "port": port, "options": {"n_seats": 1_000_000}}
        for port in service_ports
    ]
    prices = [
        {
            "data_centre": data_centre,
            "instance_class": instance_class,
            "reclaimable": 0.3 * price,
            "on_demand": price,
        }
        for data_centre in user.entries
        for instance_class, price in ((ENGINE_CLASS, 4.0), (SERVICE_CLASS, 0.4))
    ]
    urls = [f"http://{HOST}:{port}" for port in engine_ports + service_ports]
    cloud = {
        "endpoint_urls": urls,
        "prices": prices,
        "start_s": 0.05,
        "notice_s": NOTICE_S,
    }
    port = base + CLOUD_PORT_OFFSET
    standins.append({"kind": "cloud", "port": port, "options": cloud})
    return {"standins": standins}


def make_start_orders(user: User) -> list[dict[str, str]]:
    """Return the orders that start all endpoints, sorted by port."""
    start_orders = []
    for instance_class, n_by_data_centre in (
        (ENGINE_CLASS, user.engines),
        (SERVICE_CLASS, user.services),
    ):
        for data_centre, n in n_by_data_centre.items():
            start_orders += [
                _make_start_order(instance_class, data_centre, k) for k in range(n)
            ]
    return start_orders


def make_entries(user: User, variant: Variant) -> list[dict[str, Any]]:
    """Return the settings of all entry instances."""
    rows = [
        {
            "instance": f"{data_centre}-{k}",
            "data_centre": data_centre,
            "address": "",
        }
        for data_centre, n in user.entries.items()
        for k in range(n)
    ]
    base = variant.base_port
    for index, row in enumerate(rows):
        row["address"] = f"{HOST}:{base + PEER_PORT_OFFSET + index}"
        row["http_address"] = f"{HOST}:{base + index}"
    data_centres = list(user.entries)
    entries = []
    for index, row in enumerate(rows):
        link = LINK_PORT_OFFSET + data_centres.index(row["data_centre"])
        seeds = [other for other in rows if other is not row]
        peers = {"address": row["address"], "keys": [PEER_KEY], "seeds": seeds}
        settings = {
            "instance": row["instance"],
            "data_centre": row["data_centre"],
            "region": user.name,
            "host": HOST,
            "port": base + index,
            "log_url": url_of(variant, link),
            "cloud_url": url_of(variant, CLOUD_PORT_OFFSET),
            "grace_s": NOTICE_S - STOP_MARGIN_S,
            "log_level": "WARNING",
            "peers": peers,
            "routing": {"policy": variant.policy},
            "moves": {"drain_s": 5.0},
        }
        entries.append(settings)
    return entries


def make_catalogue(
    user: User, instances: list[dict[str, Any]]
) -> dict[str, dict[str, Any]]:
    """Return the catalogue with the instances that the cloud runs as endpoints."""
    owner = next(iter(user.organisations))
    entries = {
        user.assistant.name: {
            "kind": "model",
            "owner": owner,
            "service_class": "assistant",
            "versions": {"1": {}, "2": {}},
            "checks_fencing": True,
            "price_per_1000_tokens": 0.5,
        }
    }
    for name in {call.name for call in user.calls}:
        entries[name] = {
            "kind": "plain",
            "owner": owner,
            "service_class": "desk",
            "price_per_request": 0.01,
        }
    names = {
        ENGINE_CLASS: [user.assistant.name],
        SERVICE_CLASS: sorted({call.name for call in user.calls}),
    }
    endpoints = {
        f"{name}-{item['instance']}": {
            "entry": name,
            "data_centre": item["data_centre"],
            "url": item["url"],
            "instance": item["instance"],
        }
        for item in instances
        for name in names[item["instance_class"]]
    }
    return {
        "organisations": {
            name: {"key_hashes": [hash_key(key_of(name))], "weight": weight}
            for name, weight in user.organisations.items()
        },
        "operators": {
            "operator": {"token_hash": hash_key(OPERATOR_TOKEN), "role": "admin"}
        },
        "classes": {
            "assistant": CLASSES["assistant"],
            "desk": {
                name: value
                for name, value in CLASSES["desk"].items()
                if name != "between_tokens_ms"
            },
        },
        "entries": entries,
        "endpoints": endpoints,
    }


def _make_start_order(instance_class: str, data_centre: str, k: int) -> dict[str, str]:
    return {
        "token": f"trial-{instance_class}-{data_centre}-{k}",
        "instance_class": instance_class,
        "data_centre": data_centre,
        "market": "reclaimable",
    }


def key_of(organisation: str) -> str:
    """Return the API key of an organisation."""
    return f"{organisation}-key-for-trials"


def url_of(variant: Variant, port: int) -> str:
    """Return the root URL at a port given as an offset from the base port."""
    return f"http://{HOST}:{variant.base_port + port}"
