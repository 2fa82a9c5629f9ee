"""Entries and values from outside that no well-behaved writer sends."""

from __future__ import annotations

import msgspec

from lagoonring.tests.builders.instances import make_heartbeat

N_LEVELS = 20_000
DEEP_LIST = b"[" * N_LEVELS + b"]" * N_LEVELS
DEEP_OBJECT = b'{"a":' * N_LEVELS + b"1" + b"}" * N_LEVELS
HUGE = 10**400
ADDRESS = "127.0.0.1:9"


def make_entry(address: str = ADDRESS, **changes: object) -> bytes:
    """Return an endpoint's entry as JSON."""
    return msgspec.json.encode(make_heartbeat(address, **changes))


def add_raw(content: bytes, name: str, value: bytes) -> bytes:
    """Return an encoded object with one more field, given as JSON."""
    return content[:-1] + b',"' + name.encode() + b'":' + value + b"}"


def make_odd_entries() -> dict[str, bytes]:
    """Return entries that name no endpoint to use, by what is odd of them."""
    odd_fields: dict[str, dict[str, object]] = {
        "port 0": {"address": "127.0.0.1:0"},
        "port 70000": {"address": "127.0.0.1:70000"},
        "negative port": {"address": "127.0.0.1:-9"},
        "no port": {"address": "127.0.0.1:"},
        "port in other digits": {"address": "127.0.0.1:²"},
        "host name": {"address": "localhost:9"},
        "address of three numbers": {"address": "127.0.1:9"},
        "line break in the address": {"address": "127.0.0.1:9\r\n"},
        "no slots": {"slots": 0},
        "negative slots": {"slots": -6},
        "slots as text": {"slots": "6"},
        "unknown state": {"state": "resting"},
        "list as state": {"state": ["ready"]},
        "no service": {"service": None},
        "negative sequence": {"seq": -1},
        "negative start": {"born": -1},
        "fraction as start": {"born": 1.5},
    }
    entries = {name: make_entry(**changes) for name, changes in odd_fields.items()}
    entries |= {
        f"huge {name}": add_raw(make_entry(), name, str(HUGE).encode())
        for name in ("slots", "seq", "born", "coldLeftMs")
    }
    entries |= {
        f"{exponent} as {name}": add_raw(make_entry(), name, exponent.encode())
        for name in ("slots", "seq", "born", "coldLeftMs")
        for exponent in ("1e300", "1e999")
    }
    return entries | {
        "deep list in an unknown field": add_raw(make_entry(), "x", DEEP_LIST),
        "deep object in an unknown field": add_raw(make_entry(), "x", DEEP_OBJECT),
        "deep list as service": add_raw(make_entry(), "service", DEEP_LIST),
        "deep list": DEEP_LIST,
        "deep object": DEEP_OBJECT,
        "list": b"[]",
        "null": b"null",
        "nothing": b" ",
        "bytes that are no text": b"\xff\xfe\x00",
        "half an entry": make_entry()[:40],
    }


ODD_ENTRIES = make_odd_entries()
