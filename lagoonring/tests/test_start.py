"""What a process loads before it serves."""

from __future__ import annotations

import subprocess
import sys

import pytest

import lagoonring.peers
from lagoonring.lazy import load_lazily

UNUSED = (
    "lagoonring.peers.service",
    "lagoonring.peers.gossip",
    "lagoonring.platform.cloud",
    "lagoonring.platform.weight_store",
    "lagoonring.endpoints.model_engine",
    "typer",
    "pydantic",
)


def modules_after(statement):
    """Return what a new process has loaded after a statement."""
    code = f"import sys; {statement}; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


def test_an_instance_loads_only_what_it_uses():
    loaded = modules_after("import lagoonring.platform.process")
    assert not loaded & set(UNUSED)


def test_the_command_line_is_read_before_http_is_loaded():
    """Else certificate authorities are read for nothing."""
    assert "aiohttp" not in modules_after("import lagoonring.cli.instance_command")


def test_a_package_s_names_are_loaded_when_they_are_used():
    assert lagoonring.peers.PeersService.name == "peers"
    with pytest.raises(AttributeError, match="no attribute 'Nothing'"):
        load_lazily("lagoonring.peers", {"service": ("PeersService",)})("Nothing")
