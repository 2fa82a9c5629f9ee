"""The adapter decodes what the platform's stand-in encodes."""

from __future__ import annotations

import attrs
import msgspec

from lagoonring.platform.boot import decode_boot_file
from lagoonring.platform.documents import decode_configuration, decode_endpoint
from lagoonring.serving.configuration import RequestKind
from lagoonring.serving.endpoints import EndpointState
from lagoonring.serving.settings import Bounds, NodeSettings
from lagoonring.standins.platform_documents import (
    make_configuration,
    make_record,
    make_settings,
)
from lagoonring.tests.builders import serving


def test_settings():
    settings = NodeSettings(
        instance="i-1",
        ip="127.0.0.9",
        data_centre="east",
        data_centres=("east", "west"),
        caller_address="127.0.0.9:1",
        ready_address="127.0.0.9:2",
        peer_port=7500,
        relay_port=7501,
        metrics_port=7515,
        seed_ips=("127.0.0.8",),
        store_address="127.0.0.1:3",
        cloud_address="127.0.0.1:4",
        duties=("usage",),
        capacity=200.0,
        heartbeat_s=0.6,
        bounds=Bounds(drain_s=1.5, quota_slack=60.0),
    )
    content = msgspec.json.encode(make_settings(settings))
    assert decode_boot_file(content) == settings


def test_configuration():
    configuration = serving.make_configuration(
        serving.make_route(kind=RequestKind.ONCE, max_attempts=1),
        organisations=(serving.make_organisation(rate_per_s=3.0, burst=5.0),),
    )
    content = msgspec.json.encode(make_configuration(configuration))
    assert decode_configuration(content) == configuration


def test_record():
    record = serving.make_record(state=EndpointState.DRAINING, is_reclaimable=True)
    content = msgspec.json.encode(make_record(record))
    assert decode_endpoint(record.endpoint, content) == attrs.evolve(record)
