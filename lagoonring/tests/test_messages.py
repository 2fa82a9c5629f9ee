"""Messages between instances of this version and of the last one that was landed."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import msgspec
import pytest

from lagoonring.serving.messages import Digest, Report, Summary

SAMPLES = Path(__file__).parent / "golden" / "messages_of_c9ca939.json"
KINDS = {"report": Report, "summary": Summary, "digest": Digest}
NEW_FIELDS = {"cold"}


def read_sample(name):
    return bytes.fromhex(json.loads(SAMPLES.read_text())[name])


@pytest.mark.parametrize("name", KINDS)
def test_messages_of_the_last_version_are_read(name):
    message = msgspec.msgpack.decode(read_sample(name), type=KINDS[name])
    assert message.loads == {"a": (3, 1200)}
    assert message.statements == {"a": (1000, 2500, 120, False, -1)}
    assert message.taken == {"one": (500.0, 300.0)}
    assert message.cold == {}


@pytest.mark.parametrize("name", KINDS)
def test_the_last_version_finds_its_fields_unchanged(name):
    """It ignores fields that it does not know."""
    sample = msgspec.msgpack.decode(read_sample(name))
    message = msgspec.msgpack.decode(read_sample(name), type=KINDS[name])
    message.cold = {"a": (1000, 2500)}
    written = msgspec.msgpack.decode(
        msgspec.msgpack.encode(message), strict=False, type=dict
    )
    assert written.keys() - sample.keys() == NEW_FIELDS
    assert {key: written[key] for key in sample} == sample


@pytest.mark.parametrize("kind", KINDS.values())
def test_new_fields_are_optional(kind):
    fields = attrs.fields_dict(kind)
    assert all(fields[name].default is not attrs.NOTHING for name in NEW_FIELDS)
