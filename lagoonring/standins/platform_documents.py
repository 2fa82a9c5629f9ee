"""Encodes this project's types as documents of the users' platform.

For stand-ins; the inverse of `lagoonring.platform.boot` and
`lagoonring.platform.documents`. The documents are the settings file of a process,
the operators' configuration and the endpoints' records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lagoonring.serving.configuration import RequestKind

if TYPE_CHECKING:
    from lagoonring.serving.configuration import (
        Configuration,
        Organisation,
        RouteEntry,
    )
    from lagoonring.serving.endpoints import EndpointRecord
    from lagoonring.serving.settings import Bounds, NodeSettings

KIND_NAMES = {
    RequestKind.IDEMPOTENT: "safe",
    RequestKind.ONCE: "unsafe",
    RequestKind.STREAM: "streaming",
}
N_INTERNAL_PORTS = 16
REGION = "coast"


def make_settings(settings: NodeSettings) -> dict[str, Any]:
    """Return the content of a process's settings file.

    The seeds and the address for other instances use the peer port.
    """
    port = settings.peer_port
    return {
        "node": settings.instance,
        "ip": settings.ip,
        "zone": settings.data_centre,
        "region": REGION,
        "zones": dict.fromkeys(settings.data_centres, REGION),
        "listen": {
            "front": settings.caller_address,
            "ready": settings.ready_address,
            "control": f"{settings.ip}:{port}",
        },
        "internalPorts": [port, port + N_INTERNAL_PORTS - 1],
        "seeds": [f"{ip}:{port}" for ip in settings.seed_ips],
        "limits": {"linkMbps": settings.capacity, "cpuShare": 1.0, "cores": 1},
        "heartbeatMs": settings.heartbeat_s * 1000,
        "bounds": _make_bounds(settings.bounds),
        "platform": {"address": settings.store_address},
        "cloud": {
            "address": settings.cloud_address,
            "duties": list(settings.duties),
        },
    }


def make_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return a configuration in the format in which operators write it."""
    return {
        "version": configuration.version,
        "routes": [_make_route(route) for route in configuration.routes],
        "services": [
            {"name": entry.name, "maxConns": entry.max_connections}
            for entry in configuration.services.values()
        ],
        "tenants": [
            _make_tenant(organisation) for organisation in configuration.organisations
        ],
        "limits": {
            "maxHeaderBytes": configuration.limits.n_header_bytes,
            "maxBodyBytes": configuration.limits.n_body_bytes,
            "headerTimeoutMs": configuration.limits.header_timeout_s * 1000,
            "idleTimeoutMs": configuration.limits.idle_timeout_s * 1000,
        },
    }


def make_record(record: EndpointRecord) -> dict[str, Any]:
    """Return an endpoint's record in the format of the store."""
    return {
        "service": record.service,
        "address": record.address,
        "zone": record.data_centre,
        "version": record.version,
        "slots": record.n_slots,
        "state": record.state.value,
        "seq": record.sequence,
        "born": record.born_ms,
        "useSpot": record.is_reclaimable,
    }


def _make_bounds(bounds: Bounds) -> dict[str, float]:
    return {
        "drainMs": bounds.drain_s * 1000,
        "graceS": bounds.grace_s,
        "configMs": bounds.config_s * 1000,
        "retryBudgetRatio": bounds.retry_ratio,
        "budgetWindowS": bounds.retry_window_s,
        "retryBudgetSlack": bounds.retry_slack,
        "quotaWindowS": bounds.quota_window_s,
        "quotaOvershoot": bounds.quota_overshoot,
        "quotaSlack": bounds.quota_slack,
        "leaseMs": bounds.lease_s * 1000,
        "usageWindowS": bounds.usage_window_s,
        "usageLateS": bounds.usage_due_s,
        "exposureShare": bounds.exposure_share,
        "exposureSlack": bounds.exposure_slack,
        "rollbackMs": bounds.rollback_s * 1000,
    }


def _make_route(route: RouteEntry) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "kind": KIND_NAMES[route.kind],
        "timeoutMs": route.timeout_s * 1000,
        "sloMs": route.objective_s * 1000,
        "priority": route.rank,
        "trafficSplit": [
            {"service": target.service, "weight": target.weight}
            for target in route.targets
        ],
        "maxAttempts": route.max_attempts,
        "public": route.is_public,
        "canResume": route.may_resume,
    }


def _make_tenant(organisation: Organisation) -> dict[str, Any]:
    return {
        "name": organisation.name,
        "apiKeys": sorted(organisation.keys),
        "priority": organisation.rank,
        "unit": "tokens" if organisation.counts_tokens else "requests",
        "plainTokens": organisation.n_plain_tokens,
        "ratePerS": organisation.rate_per_s,
        "burst": organisation.burst,
    }
