"""Tests of the stand-in command, within the test and as a process."""

from __future__ import annotations

import asyncio
import signal
import sys

import aiohttp
import msgspec
import pytest
from typer.testing import CliRunner

from lagoonring.cli.standin_command import app
from lagoonring.platform import LogClient
from lagoonring.settings import FaultyDocumentError, convert
from lagoonring.standins.kinds import KINDS, build_all, start_all, stop_all
from lagoonring.standins.options import KINDS as KIND_NAMES
from lagoonring.standins.options import StandinSettings

PROCESS_TIMEOUT_S = 20.0


def write_settings(path, *standins):
    path.write_bytes(msgspec.json.encode({"standins": standins}))
    return str(path)


def test_check_accepts_all_kinds_and_lists_every_fault(tmp_path):
    runner = CliRunner()
    options = {"link": {"target_port": 1}}
    good = [{"kind": kind, "options": options.get(kind, {})} for kind in KIND_NAMES]
    path = write_settings(tmp_path / "good.json", *good)
    result = runner.invoke(app, ["--settings", path, "--check"])
    assert (result.exit_code, "7 stand-ins" in result.output) == (0, True)
    bad = [{"kind": "log", "options": {"appends": 1}}, {"kind": "link"}]
    path = write_settings(tmp_path / "bad.json", *bad)
    result = runner.invoke(app, ["--settings", path, "--check"])
    assert result.exit_code == 2
    assert "standins[0].options.appends: got an unknown key" in result.output
    assert "standins[1].options.target_port: got nothing" in result.output


def test_every_kind_can_be_built():
    assert set(KINDS) == set(KIND_NAMES)
    settings = convert(
        {"standins": [{"kind": "log"}, {"kind": "engine", "options": {"n_slots": 0}}]},
        StandinSettings,
    )
    with pytest.raises(FaultyDocumentError, match=r"standins\[1\]\.options\.n_slots"):
        build_all(settings)


async def test_a_port_in_use_stops_the_standins_already_started():
    first = build_all(convert({"standins": [{"kind": "log"}]}, StandinSettings))
    await start_all(first)
    taken = {"kind": "log", "port": first[0].server.port}
    both = {"standins": [{"kind": "plain"}, taken]}
    second = build_all(convert(both, StandinSettings))
    with pytest.raises(OSError, match="in use"):
        await start_all(second)
    assert second[0].server.runner.server is None
    await stop_all(first)


@pytest.mark.processes
async def test_process_serves_until_sigterm(tmp_path):
    path = write_settings(tmp_path / "standins.json", {"kind": "log"})
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lagoonring.cli.standin_command",
        "--settings",
        path,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(PROCESS_TIMEOUT_S):
            line = msgspec.json.decode(await process.stderr.readline())
            url = line["message"].split()[-1].rstrip(".")
            async with aiohttp.ClientSession() as session:
                assert await LogClient(url, session).append("config", "a") == 0
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
