"""The command ``lagoonring-entry``: settings, addresses in use and signals."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import sys

import aiohttp
import pytest

from lagoonring.cli.entry_command import main
from lagoonring.cli.exits import EntryExit
from lagoonring.tests.builders.deployments import HOST, PEER_KEY, free_ports
from lagoonring.tests.builders.processes import run_processes

LIMIT_S = 30.0
PROGRAM = "from lagoonring.cli.entry_command import main; main()"


def write_settings(path, **more) -> str:
    port, peer_port = free_ports(2)
    settings = {
        "instance": "entry-0",
        "data_centre": "plateau",
        "port": port,
        "log_url": f"http://{HOST}:1",
        "peers": {"address": f"{HOST}:{peer_port}", "keys": [PEER_KEY]},
    }
    path.write_text(json.dumps({**settings, **more}))
    return str(path)


def run_in_process(capsys, arguments: list[str]) -> tuple[int, str, str]:
    """Run the command in this process; return its exit code, output and errors."""
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    shown = capsys.readouterr()
    return ended.value.code, shown.out, shown.err


def test_check_lists_every_fault(tmp_path, capsys):
    good = write_settings(tmp_path / "good.json")
    code, output, _ = run_in_process(capsys, ["--settings", good, "--check"])
    assert (code, "valid" in output) == (EntryExit.STOPPED, True)
    bad = write_settings(
        tmp_path / "bad.json",
        instance="a b",
        port=-3,
        log_urll="x",
        peers={"keys": ["short"]},
    )
    code, _, errors = run_in_process(capsys, ["--settings", bad, "--check"])
    assert code == EntryExit.FAULTY_SETTINGS
    for path in ("instance:", "port:", "log_urll:", "peers.keys:"):
        assert f"  {path}" in errors
    (tmp_path / "text.json").write_text("{")
    for name in ("text.json", "none.json"):
        arguments = ["--settings", str(tmp_path / name)]
        code, _, errors = run_in_process(capsys, arguments)
        assert code == EntryExit.FAULTY_SETTINGS
        assert "unreadable_settings" in errors


def test_command_line_imports_no_heavy_modules():
    """Modules imported to parse the command line stay in memory for good."""
    code = (
        "import sys, contextlib\n"
        "from lagoonring.cli.entry_command import main\n"
        "with contextlib.suppress(SystemExit): main(['--help'])\n"
        "heavy = {'typer', 'pydantic', 'rich', 'matplotlib'} & set(sys.modules)\n"
        "sys.exit(f'heavy: {heavy}' if heavy else 0)\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=False
    )
    assert ended.returncode == 0, ended.stderr


async def run_entry(path: str) -> tuple[int, str]:
    """Return exit code and standard error of an instance that exits by itself."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        "--settings",
        path,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(LIMIT_S):
            _, data = await process.communicate()
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
    return process.returncode, data.decode()


@pytest.mark.processes
@pytest.mark.parametrize("what", ["port", "peers"])
async def test_address_in_use_is_reported_without_a_traceback(tmp_path, what):
    with socket.socket() as taken:
        taken.bind((HOST, 0))
        taken.listen()
        port = taken.getsockname()[1]
        value = {"address": f"{HOST}:{port}", "keys": [PEER_KEY]}
        more = {what: port if what == "port" else value}
        code, errors = await run_entry(write_settings(tmp_path / "s.json", **more))
    assert code == EntryExit.ADDRESS_IN_USE
    assert f"{HOST}:{port}, expected a free address" in errors
    assert "Traceback" not in errors
    assert PEER_KEY not in errors


@pytest.mark.processes
async def test_sigterm_drains_and_a_second_one_aborts_the_drain():
    body = {
        "model": "guide",
        "stream": True,
        "max_tokens": 8,
        "messages": [{"role": "user", "content": "feeding"}],
    }
    async with run_processes(n_entries=2, n_engines=1) as deployment:
        for url in deployment.engine_urls:
            await deployment.set_faults(url, hold_at_token=2)
        for index in range(2):
            await deployment.wait_until_ready(index)

        async def answer(index):
            async with deployment.session.post(
                f"{deployment.url(index)}/v1/chat/completions",
                json=body,
                headers={"Authorization": "Bearer hann-key"},
            ) as response:
                started.set()
                return (await response.read()).decode()

        started = asyncio.Event()
        asking = asyncio.create_task(answer(0))
        await started.wait()
        deployment.signal(0, signal.SIGTERM)
        await wait_until_refusing(deployment, 0)
        assert deployment.entries[0].poll() is None
        for url in deployment.engine_urls:
            await deployment.set_faults(url, hold_at_token=None)
        assert "[DONE]" in await asking
        assert await deployment.wait_for_exit(0) == EntryExit.STOPPED

        for url in deployment.engine_urls:
            await deployment.set_faults(url, hold_at_token=2)
        started = asyncio.Event()
        asking = asyncio.create_task(answer(1))
        await started.wait()
        deployment.signal(1, signal.SIGTERM)
        await wait_until_refusing(deployment, 1)
        assert deployment.entries[1].poll() is None
        deployment.signal(1, signal.SIGTERM)
        assert await deployment.wait_for_exit(1) == EntryExit.STOPPED
        try:
            text = await asking
        except aiohttp.ClientError:
            text = ""
        assert "[DONE]" not in text


async def wait_until_refusing(deployment, index) -> None:
    """Wait until an instance is not ready or refuses connections."""
    while True:
        try:
            async with deployment.session.get(
                f"{deployment.url(index)}/readyz"
            ) as answer:
                if answer.status != 200:
                    return
        except OSError:
            return
        await asyncio.sleep(0.02)


@pytest.mark.processes
async def test_sighup_does_not_end_an_entry_instance():
    async with run_processes(n_entries=1) as deployment:
        await deployment.wait_until_ready(0)
        deployment.signal(0, signal.SIGHUP)
        await deployment.wait_until_ready(0)
        deployment.signal(0, signal.SIGTERM)
        assert await deployment.wait_for_exit(0) == 0
