"""Tests of the operator command: arguments, exit codes and JSON output."""

from __future__ import annotations

import asyncio
import json
import shlex

import pytest
from typer.testing import CliRunner

from lagoonring.cli import client, move_commands, operator_command
from lagoonring.cli.exits import Exit
from lagoonring.cli.operator_command import command
from lagoonring.tests.builders.deployments import (
    chat_body,
    headers_of,
    run_deployment,
)
from lagoonring.tests.builders.operators import (
    ask,
    make_sections,
    run_command,
    wait_for_audit,
)

SHOWS = (
    "config show",
    "config history --json",
    "move status --json",
    "fleet --json",
    "peers --json",
    "audit --json",
)


async def save_shown(deployment, path, change=None) -> str:
    """Write the output of 'config show', changed by ``change``, to a file."""
    result = await run_command(deployment, "config", "show")
    document = json.loads(result.stdout)
    if change is not None:
        change(document["content"])
    path.write_text(json.dumps(document))
    return str(path)


def set_priority(priority):
    def change(content):
        content["classes"]["desk"]["priority"] = priority

    return change


async def test_every_show_command_prints_json_and_a_table(tmp_path):
    async with run_deployment(sections=make_sections()) as deployment:
        path = await save_shown(deployment, tmp_path / "c.json", set_priority(2))
        applied = await run_command(deployment, "config", "apply", path, "--json")
        assert json.loads(applied.stdout)["state"] == "in force"
        await wait_for_audit(deployment)
        for words in SHOWS:
            result = await run_command(deployment, *words.split(), role="viewer")
            assert result.exit_code == Exit.DONE, result.stderr
            json.loads(result.stdout)
            plain = words.removesuffix(" --json")
            result = await run_command(deployment, *plain.split(), role="viewer")
            assert result.exit_code == Exit.DONE
        result = await run_command(deployment, "audit")
        assert "config.apply  classes.desk  done" in result.stdout


async def test_why_prints_decisions_by_number():
    async with run_deployment(sections=make_sections()) as deployment:
        async with deployment.session.post(
            f"{deployment.url(0)}/v1/chat/completions",
            json=chat_body(),
            headers=headers_of(),
        ) as answer:
            request_id = answer.headers["X-Request-Id"]
        result = await run_command(deployment, "why", request_id)
        assert result.exit_code == Exit.DONE
        assert "\n1. " in result.stdout
        result = await run_command(deployment, "why", "entry-0.unknown/..")
        assert result.exit_code == Exit.REFUSED
        assert "unknown_request" in result.stderr


async def test_edits_of_others_since_the_file_was_printed_are_a_conflict(tmp_path):
    async with run_deployment(sections=make_sections()) as deployment:
        mine = await save_shown(deployment, tmp_path / "mine.json", set_priority(1))
        other = await save_shown(deployment, tmp_path / "other.json", set_priority(2))
        result = await run_command(
            deployment, "config", "apply", other, role="operator"
        )
        assert result.exit_code == Exit.DONE
        result = await run_command(deployment, "config", "apply", mine)
        assert result.exit_code == Exit.REFUSED
        assert "revision 1 by operator" in result.stderr
        _, shown = await ask(deployment, "GET", "config")
        assert shown["content"]["classes"]["desk"]["priority"] == 2
        result = await run_command(deployment, "config", "apply", other)
        assert "nothing to change" in result.stdout


async def test_a_faulty_file_lists_each_fault_by_path(tmp_path):
    async with run_deployment(sections=make_sections()) as deployment:

        def add_faults(content):
            content["entries"]["guide"]["kind"] = "x"
            content["entries"]["guide"]["prise"] = 1
            content["classes"]["desk"]["priority"] = 99

        path = await save_shown(deployment, tmp_path / "bad.json", add_faults)
        paths = ("entries.guide.kind", "entries.guide.prise", "classes.desk.priority")
        for words in ("validate", "apply"):
            result = await run_command(deployment, "config", words, path)
            assert result.exit_code == Exit.FAULTY
            assert all(each in result.stderr for each in paths)
        result = await run_command(deployment, "config", "validate", path, "--json")
        listed = json.loads(result.stdout)["faults"]
        assert {fault["path"] for fault in listed} == set(paths)


async def test_wrong_role_token_url_and_instance_have_their_exit_codes(tmp_path):
    async with run_deployment(sections=make_sections()) as deployment:
        path = await save_shown(deployment, tmp_path / "c.json", set_priority(2))
        result = await run_command(deployment, "config", "apply", path, role="viewer")
        assert (result.exit_code, "wrong_role" in result.stderr) == (4, True)
        for token, code in (("wrong", "wrong_token"), ("", "missing_token")):
            result = await run_command(deployment, "peers", role=token)
            assert (result.exit_code, code in result.stderr) == (4, True)
    for url, code in (("foo", Exit.USAGE), ("http://127.0.0.1:1", Exit.UNREACHABLE)):
        result = await asyncio.to_thread(
            CliRunner().invoke, command, ["--url", url, "--token", "t", "peers"]
        )
        assert result.exit_code == code
        assert "Correct --url" in result.stderr or "with --url" in result.stderr


class SilentLog:
    """A log whose appends never return, whether or not they are stored."""

    def __init__(self, log, *, is_storing):
        self.log = log
        self.is_storing = is_storing

    async def append(self, stream, data):
        """Store the record if ``is_storing`` is set, then block forever."""
        if self.is_storing:
            await self.log.append(stream, data)
        await asyncio.Event().wait()


async def apply_without_answer(deployment, path, *, is_storing) -> list[str]:
    """Apply a file while appends time out; return the printed retry arguments."""
    catalogue = deployment.entries[0].find("catalogue")
    options = catalogue.options
    may_read = asyncio.Event()

    async def read_nothing(wait_s):
        await may_read.wait()
        return 0

    # Records appended from here on are not read back.
    catalogue.follower.poll = read_nothing
    catalogue.log_override = SilentLog(deployment.log, is_storing=is_storing)
    catalogue.options = type(options)(apply_timeout_s=0.05)
    await deployment.log.append("config", "wakes the reader")
    result = await run_command(deployment, "config", "apply", path, "--note", "a b")
    assert result.exit_code == Exit.UNKNOWN
    del catalogue.follower.poll
    may_read.set()
    catalogue.options = options
    catalogue.log_override = None
    retry_arguments = shlex.split(result.stderr.strip().splitlines()[-1])
    assert retry_arguments[:4] == ["lagoonring", "config", "apply", path]
    assert (
        f"edit {retry_arguments[retry_arguments.index('--edit-id') + 1]} is unknown"
        in result.stderr
    )
    return retry_arguments[1:]


@pytest.mark.parametrize("is_storing", [True, False])
async def test_an_edit_with_unknown_outcome_is_retried_with_the_printed_command(
    tmp_path, is_storing
):
    async with run_deployment(sections=make_sections()) as deployment:
        path = await save_shown(deployment, tmp_path / "c.json", set_priority(2))
        retry_arguments = await apply_without_answer(
            deployment, path, is_storing=is_storing
        )
        result = await run_command(deployment, *retry_arguments)
        assert result.exit_code == Exit.DONE, result.stderr
        _, history = await ask(deployment, "GET", "config/history")
        assert [edit["status"] for edit in history] == ["applied"] * 2


async def test_a_retried_edit_does_not_undo_later_edits(tmp_path):
    async with run_deployment(sections=make_sections()) as deployment:
        path = tmp_path / "c.json"
        await save_shown(deployment, path, set_priority(2))
        other = await save_shown(deployment, tmp_path / "other.json", set_priority(3))
        # Without a revision in the file, the retry uses that of the first attempt.
        path.write_text(json.dumps(json.loads(path.read_text())["content"]))
        retry_arguments = await apply_without_answer(
            deployment, str(path), is_storing=False
        )
        result = await run_command(
            deployment, "config", "apply", other, role="operator"
        )
        assert result.exit_code == Exit.DONE, result.stderr
        result = await run_command(deployment, *retry_arguments)
        assert result.exit_code == Exit.REFUSED
        assert "by operator" in result.stderr


async def test_watch_prints_phases_and_the_reason_of_an_undone_move(monkeypatch):
    monkeypatch.setattr(move_commands, "WATCH_INTERVAL_S", 0.01)
    async with run_deployment(sections=make_sections()) as deployment:
        words = ["move", "order", "guide", "2", "--move-id", "m"]
        result = await run_command(deployment, *words, "--json")
        assert json.loads(result.stdout)["state"] == "ordered"
        watching = asyncio.create_task(
            run_command(deployment, "move", "watch", "m", "--json")
        )
        # Cancelled by HTTP, since concurrent commands would share captured output.
        status, _ = await ask(deployment, "DELETE", "moves/m")
        assert status == 200
        result = await watching
        assert result.exit_code == Exit.REFUSED
        states = [json.loads(line) for line in result.stdout.splitlines()]
        assert states[-1]["phase"] in ("undone", "refused")
        assert "cancelled" in states[-1]["reason"]
        result = await run_command(deployment, "move", "watch", "other")
        assert (result.exit_code, "expected one of: m" in result.stderr) == (4, True)
        result = await run_command(deployment, "move", "cancel", "m")
        assert (result.exit_code, "move_ended" in result.stderr) == (4, True)


class StopCommand(Exception):
    """Raised to stop a command that runs forever."""


async def test_follow_prints_each_record_once_and_survives_an_outage(monkeypatch):
    async with run_deployment(sections=make_sections()) as deployment:
        audit = deployment.entries[0].find("audit")
        loop = asyncio.get_running_loop()
        audit.record("awa", "first")
        audit.record("awa", "second")
        await wait_for_audit(deployment)
        n_waits = 0

        async def step():
            deployment.log_links[0].is_cut = n_waits == 2
            if n_waits == 1:
                audit.record("awa", "third")
                await wait_for_audit(deployment)

        def wait(delay_s):
            nonlocal n_waits
            n_waits += 1
            if n_waits > 5:
                raise StopCommand
            asyncio.run_coroutine_threadsafe(step(), loop).result()

        monkeypatch.setattr(operator_command.time, "sleep", wait)
        assert client.time is operator_command.time
        result = await run_command(
            deployment, "audit", "--follow", "--json", "-n", "1", "--actor", "awa"
        )
        assert isinstance(result.exception, StopCommand), result.stderr
        shown = [json.loads(line)["action"] for line in result.stdout.splitlines()]
        assert shown == ["second", "third"]
        assert "Asking again" in result.stderr


@pytest.mark.parametrize("words", ["", "config", "config apply", "move", "move watch"])
def test_help_lists_the_exit_codes(words):
    result = CliRunner().invoke(command, [*words.split(), "--help"])
    assert "6 fate unknown" in " ".join(result.stdout.split())
