"""Transcripts of sessions, compared with golden files.

Each actor has its own list of lines. Raw identifiers are replaced by ordinals in
the order of their first appearance, and times are omitted. ``make golden``
rewrites the files.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

if TYPE_CHECKING:
    from lagoonring.standins.log_standin import LogStandin
    from lagoonring.tests.builders.callers import Caller
    from lagoonring.tests.builders.deployments import Deployment

GOLDEN = Path(__file__).parents[1] / "golden"
WRITE_VARIABLE = "LAGOONRING_WRITE_GOLDEN"


@attrs.define
class Transcript:
    """The actions and observations of each actor of a session, in order."""

    lines: dict[str, list[str]] = attrs.field(factory=dict)
    names: dict[tuple[str, str], str] = attrs.field(factory=dict)

    def say(self, actor: str, line: str) -> None:
        """Append a line to an actor's lines."""
        self.lines.setdefault(actor, []).append(line)

    def name(self, kind: str, raw: str) -> str:
        """Return the ordinal name of a raw identifier, such as ``request-1``."""
        known = self.names.get((kind, raw))
        if known is None:
            n_known = sum(1 for other, _ in self.names if other == kind)
            known = self.names[kind, raw] = f"{kind}-{n_known + 1}"
        return known

    def watch_endpoints(self, deployment: Deployment) -> None:
        """Record each attempt that an engine starts."""
        for name, engine in deployment.engines.items():
            self._watch(name, engine.batch)

    def show_answer(self, actor: str, caller: Caller) -> None:
        """Record the part of an answer that a caller has received."""
        request = self.name("request", caller.request_id)
        numbers = [event_id.rpartition(":")[2] for event_id in caller.ids]
        span = f"tokens {numbers[0]}-{numbers[-1]}" if numbers else "no token"
        state = "whole" if caller.is_ended else "connection ended early"
        self.say(actor, f"{request}: {span}, {state}")
        self.say(actor, f"{request}: text {caller.text!r}")

    def show_log(self, log: LogStandin, stream: str) -> None:
        """Record the records of a log stream without their variable parts."""
        for record in log.streams[stream].records:
            self.say(f"log {stream}", _show_record(msgspec.json.decode(record.data)))

    def render(self) -> str:
        """Return the transcript, grouped by actor."""
        parts = []
        for actor in sorted(self.lines):
            parts.append(f"[{actor}]\n" + "\n".join(self.lines[actor]) + "\n")
        return "\n".join(parts)

    def check(self, name: str) -> None:
        """Compare with the golden file, or first rewrite it if so configured."""
        path = GOLDEN / f"{name}.txt"
        text = self.render()
        if os.environ.get(WRITE_VARIABLE):
            path.write_text(text)
        assert text == path.read_text(), f"{path.name} differs; see 'make golden'."

    def _watch(self, name: str, batch: Any) -> None:
        run = batch.run

        def watched(job: Any) -> Any:
            endpoint = self.name("endpoint", name)
            request = self.name("request", job.request_id)
            attempt = job.attempt_id.rpartition("-")[2]
            resumed = ""
            if job.resume:
                kv = "with" if job.resume.kv else "without"
                resumed = f", resumed after token {job.resume.n_tokens} {kv} KV cache"
            self.say(endpoint, f"{request}: attempt {attempt}{resumed}")
            return run(job)

        batch.run = watched


def _show_record(document: Any) -> str:
    """Return a one-line summary of a record of the stream ``config``."""
    edit = document.get("edit")
    if not edit:
        return "snapshot"
    items = [f"{change['section']}.{change['name']}" for change in edit["changes"]]
    shown = ", ".join(items) if len(items) <= 3 else f"{len(items)} items"
    return f"edit by {edit['author']} based on {edit['base_revision']}: {shown}"
