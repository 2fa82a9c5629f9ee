"""Measures how the cost of the catalogue grows with the number of endpoints.

Folds edits in one process, with the given number of endpoints and 100 organisations
that have limits. Prints a JSON object per size: the size of the snapshot, and median
and range of the processor milliseconds of a change and of a restart::

    python benchmarks/capacity_catalogue.py 8 170 340 670
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import time
from typing import TYPE_CHECKING, Any

from lagoonring.catalogue.edits import (
    Change,
    ConfigRecord,
    Edit,
    decode_record,
    encode_edit,
    encode_snapshot,
)
from lagoonring.catalogue.state_machine import (
    CatalogueState,
    fold,
    restore_snapshot,
    take_snapshot,
)

if TYPE_CHECKING:
    from collections.abc import Callable

N_REPEATS = 15
N_PRIOR_EDITS = 470
N_DATA_CENTRES = 7
MAX_ITEMS_PER_EDIT = 100


def main() -> None:
    """Measure each size and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[8, 170, 340, 670])
    parser.add_argument("--organisations", type=int, default=100)
    options = parser.parse_args()
    for n_endpoints in options.sizes:
        row = measure(n_endpoints, options.organisations)
        print(json.dumps(row), flush=True)


def measure(n_endpoints: int, n_organisations: int) -> dict[str, Any]:
    """Return the results for a catalogue of one size."""
    state = make_state(n_endpoints, n_organisations)
    for number in range(N_PRIOR_EDITS):
        state, _ = fold(state, _endpoint_edit(state, number), state.next_offset)
    snapshot = encode_snapshot(take_snapshot(state))
    decoded = decode_record(snapshot)
    assert decoded is not None
    assert decoded.snapshot is not None
    restored = decoded.snapshot
    edit = _endpoint_edit(state, N_PRIOR_EDITS)
    assert edit.edit is not None
    encoded = encode_edit(edit.edit)
    return {
        "n_endpoints": n_endpoints,
        "n_organisations": n_organisations,
        "load_average": round(os.getloadavg()[0], 1),
        "content_bytes": state.n_bytes,
        "snapshot_bytes": len(snapshot),
        "edit_bytes": len(encoded),
        "fold_ms": spread_ms(lambda: fold(state, edit, state.next_offset)),
        "take_snapshot_ms": spread_ms(lambda: encode_snapshot(take_snapshot(state))),
        "decode_snapshot_ms": spread_ms(lambda: decode_record(snapshot)),
        "restore_ms": spread_ms(lambda: restore_snapshot(restored)),
    }


def make_state(n_endpoints: int, n_organisations: int) -> CatalogueState:
    """Return the state after the edits that build a catalogue of the given size."""
    limits = {"requests_per_s": 100, "tokens_per_s": 40_000, "n_concurrent": 400}
    entry = {"kind": "model", "owner": "o-0", "service_class": "chat"}
    items: list[tuple[str, str, dict[str, Any]]] = [
        ("organisations", f"o-{i}", {"limits": limits, "key_hashes": [_hash(i)]})
        for i in range(n_organisations)
    ]
    items += [("classes", "chat", {}), ("entries", "guide", entry)]
    items += [
        ("endpoints", f"guide-{i:04}", _endpoint(i, 8)) for i in range(n_endpoints)
    ]
    state = CatalogueState()
    for first in range(0, len(items), MAX_ITEMS_PER_EDIT):
        batch = items[first : first + MAX_ITEMS_PER_EDIT]
        changes = [Change(section=s, name=n, item=i) for s, n, i in batch]
        state = _fold_checked(state, _record(state, changes, f"first-{first}"))
    return state


def _endpoint_edit(state: CatalogueState, number: int) -> ConfigRecord:
    index = number % len(state.content.endpoints)
    item = _endpoint(index, 8 + number % 7)
    name = f"guide-{index:04}"
    change = Change(section="endpoints", name=name, item=item)
    return _record(state, [change], f"edit-{number:06}")


def _record(state: CatalogueState, changes: list[Change], edit_id: str) -> ConfigRecord:
    edit = Edit(
        edit_id=edit_id, author="awa", base_revision=state.revision, changes=changes
    )
    record = decode_record(encode_edit(edit))
    assert record is not None
    return record


def _fold_checked(state: CatalogueState, record: ConfigRecord) -> CatalogueState:
    state, verdict = fold(state, record, state.next_offset)
    if verdict.status != "applied":
        raise RuntimeError(f"Got {verdict}, expected an applied edit.")
    return state


def _endpoint(index: int, n_slots: int) -> dict[str, Any]:
    return {
        "entry": "guide",
        "data_centre": f"centre-{index % N_DATA_CENTRES}",
        "url": f"http://10.0.{index // 250}.{index % 250}:8000",
        "instance": f"engine-{index:04}",
        "n_slots": n_slots,
    }


def _hash(index: int) -> str:
    return f"sha256:{index:064x}"


def spread_ms(call: Callable[[], object]) -> dict[str, float]:
    """Return the median, minimum and maximum processor time of a call."""
    durations_ms = []
    for _ in range(N_REPEATS):
        start_s = time.process_time()
        call()
        durations_ms.append(1000 * (time.process_time() - start_s))
    return {
        "median": round(statistics.median(durations_ms), 2),
        "least": round(min(durations_ms), 2),
        "most": round(max(durations_ms), 2),
    }


if __name__ == "__main__":
    main()
