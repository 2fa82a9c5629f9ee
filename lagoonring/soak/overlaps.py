"""Check that no stream runs at two endpoints at once."""

from __future__ import annotations

import math
from itertools import combinations
from typing import TYPE_CHECKING

from lagoonring.soak.routes import STREAMS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.soak.connection import SentRequest
    from lagoonring.soak.endpoints import Run
    from lagoonring.soak.guarantees import SoakRecord

MAX_OVERLAP_S = 0.4
SCHEDULING_SLACK_S = 0.5  # added to time bounds for the scheduling of this machine


def find_overlaps(record: SoakRecord, runs: dict[str, list[Run]]) -> Iterator[str]:
    """Yield a description of each stream that was at work at two endpoints at once.

    It may be where the instance or its relay did not reach the first one. A call that
    stops a run and whose answer is lost is no excuse: connections can be closed.
    """
    for sent in record.requests:
        ran = runs.get(sent.request_id, [])
        if not sent.path.startswith(STREAMS) or len(ran) < 2:
            continue
        ran = sorted(ran, key=lambda run: run.began_s)
        for before, after in combinations(ran, 2):
            overlap_s = min(_end_s(before), _end_s(after)) - after.began_s
            if overlap_s <= MAX_OVERLAP_S + SCHEDULING_SLACK_S:
                continue
            if not _was_unreached(record, sent, before, after):
                yield (
                    f"{sent.request_id} at {sent.instance}: at {before.endpoint} for "
                    f"{overlap_s:.2f} s after it went on at {after.endpoint}"
                )


def _end_s(run: Run) -> float:
    return math.inf if run.ended_s is None else run.ended_s


def _was_unreached(
    record: SoakRecord, sent: SentRequest, before: Run, after: Run
) -> bool:
    """Return whether a fault kept instance or relay from the first endpoint."""
    name = before.endpoint.rpartition("-")[0]
    spans = [
        *record.unreached_spans.get(name, ()),
        *record.unplanned_spans.get(sent.instance, ()),
        *(
            span
            for relay in record.relays.get(sent.request_id, ())
            for span in record.unplanned_spans.get(relay, ())
        ),
    ]
    return any(
        since_s <= after.began_s + MAX_OVERLAP_S + SCHEDULING_SLACK_S
        and before.began_s <= until_s
        for since_s, until_s in spans
    )
