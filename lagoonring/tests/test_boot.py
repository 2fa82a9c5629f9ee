"""Decoding of the platform's settings file, documents and endpoint records."""

from __future__ import annotations

import json
import random

import pytest

from lagoonring.cli.instance_command import main
from lagoonring.platform.boot import BootFileError, decode_boot_file, load_boot_file
from lagoonring.platform.documents import (
    UnreadableDocumentError,
    decode_configuration,
    decode_document,
    decode_endpoint,
    decode_move_status,
    encode_move_status,
)
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.moves import MoveState
from lagoonring.tests.builders.boots import encode_boot
from lagoonring.tests.builders.serving import HOST, make_configuration, make_route

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "short",
            "host": "Desk.Example",
            "pathPrefix": "/a/",
            "kind": "safe",
            "timeoutMs": 2000,
            "sloMs": 300,
            "service": "desk",
            "maxAttempts": 2,
            "new": "field",
        },
        {
            "name": "long",
            "host": "desk.example",
            "pathPrefix": "/a/b/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "sloMs": 1000,
            "priority": 1,
            "canResume": True,
            "gapTargetMs": 400,
            "trafficSplit": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "one",
            "maxConns": 9,
            "engine": {"slots": 64, "kvTokens": 1000, "moves": True},
            "scaling": {
                "min": 1,
                "max": 3,
                "bootS": 4.0,
                "spotPrice": 0.18,
                "zonePrices": {"east": 0.85},
            },
        }
    ],
    "tenants": [
        {
            "name": "org",
            "apiKeys": ["k1", "k2"],
            "unit": "tokens",
            "ratePerS": 9,
            "burst": 8,
            "plainTokens": 200,
            "priority": 1,
        }
    ],
}
HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.9:80",
    "zone": "east",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "seq": 4,
    "born": 1700000000000,
}


def test_decodes_settings():
    settings = decode_boot_file(encode_boot(seeds=["10.0.0.1:8367"], unknown=1))
    assert settings.data_centres == ("east", "west")
    assert settings.bounds.drain_s == 1.5
    assert settings.seed_ips == ("10.0.0.1",)
    assert settings.duties == ("usage", "scaling")


@pytest.mark.parametrize(
    ("changes", "shown"),
    [
        ({"node": 7}, "node"),
        ({"listen": {"control": "1.2.3.4:5"}}, "front and ready"),
        ({"platform": {}}, "address"),
        ({"internalPorts": "all"}, "internalPorts"),
        ({"internalPorts": []}, "internalPorts"),
        ({"internalPorts": [7500, 7501]}, "internalPorts"),
        ({"bounds": {"drainMs": "soon"}}, "drainMs"),
    ],
)
def test_error_names_the_faulty_setting(changes, shown):
    with pytest.raises(BootFileError) as error:
        decode_boot_file(encode_boot(**changes))
    assert shown in str(error.value)
    assert error.value.remedy


def test_missing_settings_file_is_reported(tmp_path):
    with pytest.raises(BootFileError, match="No such file"):
        load_boot_file(tmp_path / "none.json")


@pytest.mark.parametrize(("content", "code"), [(encode_boot(), 0), (b"{", 2)])
def test_check_option_sets_the_exit_code(tmp_path, content, code):
    path = tmp_path / "node.json"
    path.write_bytes(content)
    if code == 0:
        main(["--settings", str(path), "--check"])
        return
    with pytest.raises(SystemExit) as error:
        main(["--settings", str(path), "--check"])
    assert error.value.code == code


def test_decodes_a_configuration():
    configuration = decode_configuration(json.dumps(CONFIG).encode())
    assert configuration.match("desk.example", "/a/b/1").name == "long"
    assert configuration.match("DESK.example", "/a/c").name == "short"
    assert configuration.match("desk.example", "/b/") is None
    long = configuration.match("desk.example", "/a/b/1")
    assert (long.kind, long.may_resume, long.max_wait_s) == (
        RequestKind.STREAM,
        True,
        4.0,
    )
    assert configuration.by_key["k2"].name == "org"
    assert configuration.services["one"].scaling.prices == {"east": 0.85}


def test_longest_prefix_is_found_among_many_routes():
    """A request looks up its route among more than a thousand."""
    rng = random.Random(5)
    parts = ["a", "b", "cc", "d"]
    prefixes = {
        "/" + "".join(f"{rng.choice(parts)}/" for _ in range(rng.randrange(5)))
        for _ in range(40)
    }
    configuration = make_configuration(
        *(make_route(name=p, path_prefix=p) for p in sorted(prefixes))
    )
    for _ in range(500):
        path = "/" + "/".join(rng.choice(parts) for _ in range(rng.randrange(6)))
        expected = max((p for p in prefixes if path.startswith(p)), key=len, default="")
        route = configuration.match(HOST, path)
        assert (route.name if route else "") == expected


def test_traffic_split_is_weighted_and_deterministic():
    long = decode_configuration(json.dumps(CONFIG).encode()).match(
        "desk.example", "/a/b/1"
    )
    ids = [f"{number:016x}" for number in range(4000)]
    chosen = [long.choose_service(name) for name in ids]
    assert chosen == [long.choose_service(name) for name in ids]
    assert 0.87 < chosen.count("one") / len(ids) < 0.93


@pytest.mark.parametrize(
    "content", [b"", b"{", b"[]", b'{"version": "new"}', b"\xff\xfe", b'{"routes": []}']
)
def test_invalid_configuration_is_rejected(content):
    with pytest.raises(UnreadableDocumentError):
        decode_document("config", content)


def test_decodes_a_move_order_and_ignores_other_documents():
    order = decode_document(
        "rollout/desk", b'{"service": "desk", "target": "v2", "durationS": 12}'
    )
    assert (order.service, order.target, order.duration_s) == ("desk", "v2", 12.0)
    assert decode_document("note", b"anything") is None


def test_decodes_an_endpoint_record():
    record = decode_endpoint("i-1", json.dumps(HEARTBEAT).encode())
    assert (record.endpoint, record.state) == ("i-1", EndpointState.READY)
    leaving = HEARTBEAT | {"state": "draining", "useSpot": True}
    record = decode_endpoint("i-1", json.dumps(leaving).encode())
    assert record.state is EndpointState.DRAINING
    assert record.is_reclaimable


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": 7},
        {"address": "10.0.0.9"},
        {"slots": "six"},
        {"born": 1.5},
        {"born": "1700000000000"},
        {"service": None},
        {"seq": None},
    ],
)
def test_invalid_endpoint_record_is_rejected(change):
    with pytest.raises(UnreadableDocumentError):
        decode_endpoint("i-1", json.dumps(HEARTBEAT | change).encode())


def test_move_status_round_trips():
    content = encode_move_status("v2", MoveState.ROLLED_BACK)
    assert json.loads(content) == {"state": "rolled_back", "target": "v2"}
    assert decode_move_status(content) == ("v2", MoveState.ROLLED_BACK)
