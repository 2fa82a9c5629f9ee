"""Builds the settings of ``lagoonring-load`` for a user's deployment."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
from deployments import (
    CLASSES,
    CLOUD_PORT_OFFSET,
    CONTROL_PORT_OFFSET,
    ENGINE_PORT_OFFSET,
    HOST,
    LOG_PORT_OFFSET,
    NOTICE_S,
    OPERATOR_TOKEN,
    SERVICE_PORT_OFFSET,
    Service,
    User,
    Variant,
    key_of,
    make_entries,
    make_start_orders,
    url_of,
)


def make_load(user: User, variant: Variant) -> dict[str, Any]:
    """Return the settings of ``lagoonring-load`` for a user and a variant."""
    peak_name, width_s, factor = user.peak
    peak_s = variant.duration_s / 2
    entries = make_entries(user, variant)
    names = [f"engine-{k}" for k in range(sum(user.engines.values()))]
    services = [f"service-{k}" for k in range(sum(user.services.values()))]
    assistant = attrs.asdict(user.assistant)
    assistant["entry"] = assistant.pop("name")
    assistant["conversations_per_s"] *= variant.rate
    if variant.n_tokens:
        assistant["n_tokens_least"], assistant["n_tokens_most"] = variant.n_tokens
    schedule = Path(variant.schedule).stem
    parts = [user.name, variant.reclaim and "reclaim", variant.move, schedule]
    return {
        "name": "-".join(part for part in parts if part),
        "policy": variant.policy,
        "duration_s": variant.duration_s,
        "entries": [
            {
                "instance": entry["instance"],
                "data_centre": entry["data_centre"],
                "url": f"http://{HOST}:{entry['port']}",
            }
            for entry in entries
        ],
        "engines": {
            name: {"url": url_of(variant, ENGINE_PORT_OFFSET + k)}
            for k, name in enumerate(names)
        },
        "services": {
            name: {"url": url_of(variant, SERVICE_PORT_OFFSET + k)}
            for k, name in enumerate(services)
        },
        "cloud_url": url_of(variant, CLOUD_PORT_OFFSET),
        "operator_token": OPERATOR_TOKEN,
        "organisations": {
            name: {"key": key_of(name), "weight": weight}
            for name, weight in user.organisations.items()
        },
        "classes": CLASSES,
        "chats": [{**assistant, "service_class": "assistant"}],
        "calls": [_make_call(call, variant) for call in user.calls],
        "peaks": [
            {"name": peak_name, "at_s": peak_s, "width_s": width_s, "factor": factor}
        ],
        "actions": make_actions(user, variant),
        "last_actions": make_last_actions(user, variant),
    }


def make_actions(user: User, variant: Variant) -> list[dict[str, Any]]:
    """Return the schedule: a reclaim at the peak, a move after 2 s, file actions."""
    actions: list[dict[str, Any]] = []
    if variant.reclaim:
        peak_s = variant.duration_s / 2
        wave = {"data_centre": variant.reclaim, "notice_s": NOTICE_S}
        actions.append(
            {
                "at_s": peak_s,
                "name": f"notice for {variant.reclaim}",
                "url": url_of(variant, CLOUD_PORT_OFFSET) + "/faults",
                "body": {"waves": [wave]},
            }
        )
        for signal, at_s in (("SIGTERM", peak_s), ("SIGKILL", peak_s + NOTICE_S)):
            actions.append(
                {
                    "at_s": at_s,
                    "name": f"{signal} to entries of {variant.reclaim}",
                    "url": url_of(variant, CONTROL_PORT_OFFSET) + "/signals",
                    "body": {"data_centre": variant.reclaim, "signal": signal},
                }
            )
    if variant.move:
        actions += _make_move(user, variant)
    if variant.schedule:
        actions += read_schedule(Path(variant.schedule), user, variant)
    return actions


def read_schedule(path: Path, user: User, variant: Variant) -> list[dict[str, Any]]:
    """Return the actions of a file; in it, URLs start with a name instead of a host.

    The names are ``engine-K``, ``service-K``, ``entry-K``, ``log``, ``cloud`` and
    ``control`` (signals), K from 0.
    """
    ports = {
        "log": LOG_PORT_OFFSET,
        "cloud": CLOUD_PORT_OFFSET,
        "control": CONTROL_PORT_OFFSET,
    }
    for name, first, n_by_data_centre in (
        ("engine", ENGINE_PORT_OFFSET, user.engines),
        ("service", SERVICE_PORT_OFFSET, user.services),
        ("entry", 0, user.entries),
    ):
        ports |= {
            f"{name}-{k}": first + k for k in range(sum(n_by_data_centre.values()))
        }
    actions = json.loads(path.read_text())
    for action in actions:
        name, _, tail = action["url"].partition("/")
        action["url"] = f"{url_of(variant, ports[name])}/{tail}"
    return actions


def make_last_actions(user: User, variant: Variant) -> list[dict[str, Any]]:
    """Return the orders that restart reclaimed endpoints, to read their counters."""
    if not variant.reclaim:
        return []
    reclaimed = [
        order
        for order in make_start_orders(user)
        if order["data_centre"] == variant.reclaim
    ]
    return [
        {
            "at_s": 0.0,
            "name": f"start {order['instance_class']} again",
            "url": url_of(variant, CLOUD_PORT_OFFSET) + "/instances",
            "body": {**order, "token": f"again-{order['token']}"},
        }
        for order in reclaimed
    ]


def _make_move(user: User, variant: Variant) -> list[dict[str, Any]]:
    actions: list[dict[str, Any]] = []
    if variant.move == "bad":
        for k in range(sum(user.engines.values())):
            actions.append(
                {
                    "at_s": 0.0,
                    "name": "bad version 2",
                    "url": url_of(variant, ENGINE_PORT_OFFSET + k) + "/faults",
                    "body": {"versions": {"2": {"error_share": 0.3}}},
                }
            )
    order = {
        "move_id": f"move-{variant.move}",
        "entry": user.assistant.name,
        "to_version": "2",
        "deadline_in_s": variant.duration_s - 5.0,
    }
    actions.append(
        {
            "at_s": 2.0,
            "name": f"move to a {variant.move} version",
            "url": url_of(variant, 0) + "/admin/moves",
            "body": order,
            "token": OPERATOR_TOKEN,
        }
    )
    return actions


def _make_call(call: Service, variant: Variant) -> dict[str, Any]:
    return {
        "entry": call.name,
        "service_class": "desk",
        "method": call.method,
        "per_s": call.per_s * variant.rate,
        "paths": [call.path],
        "resend_share": call.resend_share,
    }
