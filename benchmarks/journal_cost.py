"""Measures bytes and processor time per event of the ways to keep a journal.

Ways: a list of events, events compressed in blocks (the journal as it is), and
the text alone. Prints one JSON object.
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
N_ROUNDS = 40
BATCH = 4


def make_events(n_events: int) -> list[bytes]:
    """Return events as the stand-in engine writes them."""
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


def keep_list(events: list[bytes]) -> int:
    """Keep the events as they are; return the bytes held."""
    kept: list[bytes] = []
    for start in range(0, len(events), BATCH):
        kept += events[start : start + BATCH]
    return sum(sys.getsizeof(event) for event in kept)


def keep_journal(events: list[bytes]) -> int:
    """Keep them in a journal."""
    journal = Journal()
    for start in range(0, len(events), BATCH):
        journal.append(events[start : start + BATCH])
    journal.compact()
    return journal.n_bytes


def keep_text(events: list[bytes]) -> int:
    """Keep only the text."""
    words = [text_of_chunk(parse_event(event)) for event in events]
    return len("".join(words))


def measure(keep: Callable[[list[bytes]], int], events: list[bytes]) -> dict:
    """Return bytes and microseconds per event, the best of all rounds."""
    best_s = float("inf")
    for _ in range(N_ROUNDS):
        started_s = time.process_time()
        n_bytes = keep(events)
        best_s = min(best_s, time.process_time() - started_s)
    return {
        "bytes_per_event": round(n_bytes / len(events), 1),
        "us_per_event": round(1e6 * best_s / len(events), 2),
    }


def main() -> None:
    """Measure all ways and print them."""
    events = make_events(N_EVENTS)
    ways = {"list": keep_list, "journal": keep_journal, "text": keep_text}
    rows = {name: measure(keep, events) for name, keep in ways.items()}
    print(json.dumps({"n_events": N_EVENTS, "ways": rows}, indent=2))


if __name__ == "__main__":
    main()
