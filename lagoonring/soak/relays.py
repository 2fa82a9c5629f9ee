"""What the logs of instances tell of the requests that other instances relayed."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonring.soak.deployment import Instance
    from lagoonring.soak.endpoints import Run

RELAYED = b'"relay":"'  # in the lines of requests with a relay only


class _Line(msgspec.Struct):
    request_id: str | None = None
    relay: str | None = None
    stop: str | None = None


@attrs.define
class RelayedRequests:
    """The relayed requests: names of their relays by id, and those told to stop.

    ``stopped`` holds the ids of the streams by a relay that a call was to stop.
    """

    relays: dict[str, set[str]] = attrs.field(factory=lambda: defaultdict(set))
    stopped: set[str] = attrs.field(factory=set)

    def count_moved(self, runs: Iterable[Run]) -> int:
        """Return how many of the stopped ones went on after a move."""
        return len(self.stopped & {run.request_id for run in runs if run.is_moved})


def read_relayed(instances: Iterable[Instance]) -> RelayedRequests:
    """Return what the logs of the instances tell of relayed requests."""
    names = {instance.ip: instance.name for instance in instances}
    found = RelayedRequests()
    for instance in instances:
        for text in instance.log.read_bytes().splitlines():
            if RELAYED not in text:
                continue
            try:
                line = msgspec.json.decode(text, type=_Line)
            except msgspec.DecodeError:
                continue  # the last line of a process that was killed
            if line.request_id is None or line.relay is None:
                continue
            ip = line.relay.rpartition(":")[0]
            found.relays[line.request_id].add(names.get(ip, ip))
            if line.stop is not None:
                found.stopped.add(line.request_id)
    return found
