"""Configurations with many routes."""

from __future__ import annotations

import random

import msgspec


def make_routes_document(n_routes: int, *, seed: int = 1) -> bytes:
    """Return a configuration in the platform's format with random route names."""
    rng = random.Random(seed)
    routes = [
        {
            "name": f"route-{rng.getrandbits(40):x}",
            "host": "desk.example",
            "pathPrefix": f"/{rng.getrandbits(32):x}/",
            "kind": "safe",
            "service": "desk",
            "timeoutMs": 4000,
            "sloMs": 400,
            "maxAttempts": 2,
            "priority": 1,
        }
        for _ in range(n_routes)
    ]
    return msgspec.json.encode({"version": 7, "routes": routes, "services": []})
