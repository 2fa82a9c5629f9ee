"""Messages between instances of this version and of earlier ones that were landed."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import msgspec
import pytest

from lagoonring.serving.messages import Digest, Report, Summary

GOLDEN = Path(__file__).parent / "golden"
KINDS = {"report": Report, "summary": Summary, "digest": Digest}
NEW_FIELDS = {"cold", "received", "suspects"}
# Cold endpoints in the sample of each version, and the fields that came since.
VERSIONS = {
    "c9ca939": ({}, NEW_FIELDS),
    "4d8ecb3": ({"a": (1000, 2500)}, {"received", "suspects"}),
}


def read_sample(version, name):
    text = (GOLDEN / f"messages_of_{version}.json").read_text()
    return bytes.fromhex(json.loads(text)[name])


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("name", KINDS)
def test_messages_of_the_last_version_are_read(name, version):
    message = msgspec.msgpack.decode(read_sample(version, name), type=KINDS[name])
    assert message.loads == {"a": (3, 1200)}
    assert message.statements == {"a": (1000, 2500, 120, False, -1)}
    assert message.taken == {"one": (500.0, 300.0)}
    assert message.cold == VERSIONS[version][0]
    assert message.suspects == ({}, {})


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("name", KINDS)
def test_the_last_version_finds_its_fields_unchanged(name, version):
    """It ignores fields that it does not know."""
    sample = msgspec.msgpack.decode(read_sample(version, name))
    message = msgspec.msgpack.decode(read_sample(version, name), type=KINDS[name])
    message.cold = {"a": (1000, 2500)}
    written = msgspec.msgpack.decode(
        msgspec.msgpack.encode(message), strict=False, type=dict
    )
    assert written.keys() - sample.keys() == VERSIONS[version][1]
    assert {key: written[key] for key in sample} == sample


@pytest.mark.parametrize("kind", KINDS.values())
def test_new_fields_are_optional(kind):
    fields = attrs.fields_dict(kind)
    assert all(fields[name].default is not attrs.NOTHING for name in NEW_FIELDS)
