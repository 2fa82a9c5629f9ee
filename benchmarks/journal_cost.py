"""Measures bytes and processor time per event of several journal representations.

Compares a list of events, events compressed in blocks (as the journal stores them)
and the text alone. Prints one JSON object::

    python benchmarks/journal_cost.py
"""

from __future__ import annotations

import json
import sys
import time
from typing import TYPE_CHECKING

import msgspec

from lagoonring.requests.journal import Journal, parse_event, text_of_chunk

if TYPE_CHECKING:
    from collections.abc import Callable

N_EVENTS = 375
N_REPEATS = 40
BATCH_SIZE = 4


def make_events(n_events: int) -> list[bytes]:
    """Return events in the format of the stand-in engine."""
    events = []
    for number in range(1, n_events + 1):
        chunk = {
            "id": "chatcmpl-entry-plateau.0123456789abcdef",
            "object": "chat.completion.chunk",
            "created": 1_790_000_000,
            "model": "guide",
            "choices": [
                {
                    "index": 0,
                    "delta": {
                        "role": "assistant",
                        "content": f" w{number * 7919 % 65536:04x}",
                    },
                    "finish_reason": None,
                }
            ],
        }
        head = f"id: entry-plateau.0123456789abcdef:{number}\ndata: ".encode()
        events.append(head + msgspec.json.encode(chunk))
    return events


def store_list(events: list[bytes]) -> int:
    """Store the events unchanged in a list and return its bytes."""
    stored: list[bytes] = []
    for start in range(0, len(events), BATCH_SIZE):
        stored += events[start : start + BATCH_SIZE]
    return sum(sys.getsizeof(event) for event in stored)


def store_journal(events: list[bytes]) -> int:
    """Store the events in a journal and return its bytes."""
    journal = Journal()
    for start in range(0, len(events), BATCH_SIZE):
        journal.append(events[start : start + BATCH_SIZE])
    journal.compact()
    return journal.n_bytes


def store_text(events: list[bytes]) -> int:
    """Store only the text and return its length."""
    texts = [text_of_chunk(parse_event(event)) for event in events]
    return len("".join(texts))


def measure(store: Callable[[list[bytes]], int], events: list[bytes]) -> dict:
    """Return bytes and microseconds per event; the time is the best of all repeats."""
    best_s = float("inf")
    for _ in range(N_REPEATS):
        started_s = time.process_time()
        n_bytes = store(events)
        best_s = min(best_s, time.process_time() - started_s)
    return {
        "bytes_per_event": round(n_bytes / len(events), 1),
        "us_per_event": round(1e6 * best_s / len(events), 2),
    }


def main() -> None:
    """Measure all representations and print the results."""
    events = make_events(N_EVENTS)
    formats = {"list": store_list, "journal": store_journal, "text": store_text}
    rows = {name: measure(store, events) for name, store in formats.items()}
    print(json.dumps({"n_events": N_EVENTS, "ways": rows}, indent=2))


if __name__ == "__main__":
    main()
