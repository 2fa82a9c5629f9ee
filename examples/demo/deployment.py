"""Builds the settings of the demo deployment: three data centres on loopback.

One process of stand-ins replaces the platform and the endpoints; one entry
instance runs in each data centre.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import attrs

sys.path.insert(0, str(Path(__file__).parent))

DATA_CENTRES = ("plateau", "almadies", "rufisque")
PEER_KEY = "demo-key-not-secret"
ORGANISATION_KEYS = {"hann": "hann-demo-key", "ngor": "ngor-demo-key"}
OPERATOR_TOKEN = "awa-demo-token"
PEER_PORT_OFFSET = 10
PLATFORM_PORT_OFFSET = 20
ENGINE_PORT_OFFSET = 30
PLAIN_PORT_OFFSET = 40
HOST = "127.0.0.1"
REGION = "dakar"


@attrs.frozen(kw_only=True)
class Deployment:
    """All settings of a demo deployment, as plain JSON.

    ``entries`` has one document per entry instance.
    """

    standins: dict[str, Any]
    entries: list[dict[str, Any]]
    catalogue: dict[str, Any]
    log_url: str


def make_deployment(base_port: int) -> Deployment:
    """Return the deployment whose ports start at ``base_port``."""
    log_port = base_port + PLATFORM_PORT_OFFSET
    log_url = f"http://{HOST}:{log_port}"
    catalogue = make_catalogue(base_port)
    return Deployment(
        standins=make_standins(base_port),
        entries=[make_entry(base_port, index) for index in range(len(DATA_CENTRES))],
        catalogue=catalogue,
        log_url=log_url,
    )


def make_standins(base_port: int) -> dict[str, Any]:
    """Return the settings of the process that runs all stand-ins."""
    standins = [{"kind": "log", "port": base_port + PLATFORM_PORT_OFFSET}]
    for index in range(len(DATA_CENTRES)):
        options = {"versions": ["1"], "token_s": 0.01, "n_slots": 8}
        port = base_port + ENGINE_PORT_OFFSET + index
        standins.append({"kind": "engine", "port": port, "options": options})
        standins.append(
            {"kind": "plain", "port": base_port + PLAIN_PORT_OFFSET + index}
        )
    return {"standins": standins, "log_level": "WARNING"}


def make_entry(base_port: int, index: int) -> dict[str, Any]:
    """Return the settings of one entry instance."""
    data_centre = DATA_CENTRES[index]
    seeds = [
        {
            "instance": f"entry-{other}",
            "data_centre": other,
            "region": REGION,
            "address": f"{HOST}:{base_port + PEER_PORT_OFFSET + number}",
            "http_address": f"{HOST}:{base_port + number}",
        }
        for number, other in enumerate(DATA_CENTRES)
        if number != index
    ]
    return {
        "instance": f"entry-{data_centre}",
        "data_centre": data_centre,
        "region": REGION,
        "host": HOST,
        "port": base_port + index,
        "log_url": f"http://{HOST}:{base_port + PLATFORM_PORT_OFFSET}",
        "grace_s": 20,
        "log_level": "WARNING",
        "peers": {
            "address": f"{HOST}:{base_port + PEER_PORT_OFFSET + index}",
            "keys": [PEER_KEY],
            "seeds": seeds,
        },
    }


def make_catalogue(base_port: int) -> dict[str, Any]:
    """Return the catalogue with the demo's keys and endpoints."""
    from lagoonring.requests.authentication import hash_key

    path = Path(__file__).parent / "catalogue.json"
    catalogue = json.loads(path.read_text())
    for name, key in ORGANISATION_KEYS.items():
        catalogue["organisations"][name]["key_hashes"] = [hash_key(key)]
    catalogue["operators"]["awa"]["token_hash"] = hash_key(OPERATOR_TOKEN)
    for index, data_centre in enumerate(DATA_CENTRES):
        catalogue["endpoints"][f"guide-{data_centre}"] = {
            "entry": "guide",
            "data_centre": data_centre,
            "url": f"http://{HOST}:{base_port + ENGINE_PORT_OFFSET + index}",
        }
        catalogue["endpoints"][f"booking-{data_centre}"] = {
            "entry": "booking",
            "data_centre": data_centre,
            "url": f"http://{HOST}:{base_port + PLAIN_PORT_OFFSET + index}",
        }
    return catalogue
