"""Operators of each role, and helpers for administration requests."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from typer.testing import CliRunner

from lagoonring.audit import AuditService
from lagoonring.cli.operator_command import command
from lagoonring.kernel import Application
from lagoonring.requests.authentication import hash_key
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.barriers import wait_until
from lagoonring.tests.builders.deployments import OPERATOR_TOKEN

if TYPE_CHECKING:
    from click.testing import Result

    from lagoonring.kernel import Clock
    from lagoonring.tests.builders.deployments import Deployment

TOKENS = {
    "viewer": "token-of-a-viewer",
    "operator": "token-of-an-operator",
    "admin": OPERATOR_TOKEN,
}
VERSIONS = {"guide": {"versions": {"1": {}, "2": {}}, "checks_fencing": True}}


def make_sections(**more: Any) -> dict[str, Any]:
    """Return catalogue sections with an operator of each role and two versions."""
    operators = {
        role: {"role": role, "token_hash": hash_key(token)}
        for role, token in TOKENS.items()
        if role != "admin"
    }
    return {"operators": operators, "entries": VERSIONS, **more}


def make_edit(base_revision: int, *changes: tuple[str, str, Any], **more: Any) -> Any:
    """Return the body of an edit; changes are (section, name, item) tuples."""
    return {
        "edit_id": f"edit-{random.getrandbits(64):x}",
        "base_revision": base_revision,
        "changes": [
            {"section": section, "name": name, "item": item}
            for section, name, item in changes
        ],
        **more,
    }


async def ask(
    deployment: Deployment,
    method: str,
    path: str,
    *,
    role: str = "admin",
    index: int = 0,
    content: Any = None,
) -> tuple[int, Any]:
    """Send a request to the administration API; return status and JSON."""
    headers = {"Authorization": f"Bearer {TOKENS.get(role, role)}"}
    url = f"{deployment.url(index)}/admin/{path}"
    async with deployment.session.request(
        method, url, headers=headers, json=content
    ) as answer:
        return answer.status, await answer.json()


async def run_command(
    deployment: Deployment, *words: str, role: str = "admin", index: int = 0
) -> Result:
    """Run the operator command against an instance."""
    connection = ["--url", deployment.url(index), "--token", TOKENS.get(role, role)]
    return await asyncio.to_thread(CliRunner().invoke, command, [*connection, *words])


class LogService:
    """Service ``log`` that delegates to a stand-in."""

    name = "log"

    def __init__(self, log: LogStandin) -> None:
        self.append = log.append
        self.read = log.read


def make_audit(clock: Clock | None = None) -> tuple[LogStandin, AuditService]:
    """Return a log and an audit service on it that is not started yet."""
    log = LogStandin()
    app = Application(clock=clock, rng=random.Random(0))
    app.services["log"] = LogService(log)
    return log, app.add(AuditService(app, "entry-0"))


async def wait_for_audit(deployment: Deployment, index: int = 0) -> None:
    """Wait until all queued audit records of an instance are appended."""
    audit = deployment.entries[index].find("audit")
    await wait_until(lambda: audit.queue_flushed.is_set() and not audit.queue)
