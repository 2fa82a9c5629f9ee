"""Records of a lease's stream, and the rule that decides which count.

A lease and the data that it guards share one stream, so the order of the log
alone says which records count, without clocks. An epoch begins with a valid
``take`` and is named by its offset, which is also the fencing number.

Every take and renewal carries the state that its writer had folded, so that a
reader finds the state again after the log has forgotten older records.
"""

from __future__ import annotations

from typing import Literal

import attrs
import msgspec

Kind = Literal["take", "renew", "release", "data", "snapshot"]
NO_PAYLOAD = msgspec.Raw(b"null")


@attrs.frozen
class LeaseState:
    """Who holds a lease, as a reader knows it.

    Attributes
    ----------
    epoch : int
        Offset of the take that is in force; -1 if there was none.
    renewal : int
        Offset of the newest record of that epoch.
    holder : str
        Name of the holding instance.
    is_released : bool
        Whether the lease is free.
    last : int
        Offset of the newest record of any epoch.
    is_known : bool
        False if the records that decide have been forgotten.
    """

    epoch: int = -1
    renewal: int = -1
    holder: str = ""
    is_released: bool = True
    last: int = -1
    is_known: bool = True


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """One record of a lease's stream.

    Attributes
    ----------
    token : str
        Unique per append; finds the record if its answer was lost.
    epoch : int
        Epoch of the writer; not used by a take.
    state : LeaseState or None
        What the writer had folded before offset ``at``; a take is valid if its
        epoch and renewal are still the newest.
    payload : msgspec.Raw
        Data or a part of a snapshot of data, as JSON.
    group, part, n_parts
        Which snapshot a part belongs to, its index and their number.
    """

    kind: Kind
    token: str
    holder: str = ""
    epoch: int = -1
    state: LeaseState | None = None
    at: int = -1
    payload: msgspec.Raw = NO_PAYLOAD
    group: str = ""
    part: int = 0
    n_parts: int = 0


def encode_record(record: LeaseRecord) -> str:
    """Return a record as JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(data: str) -> LeaseRecord | None:
    """Return a record, or None if this version can't read it."""
    try:
        return msgspec.json.decode(data, type=LeaseRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def start_unknown(first_offset: int) -> LeaseState:
    """Return the state of a reader that finds nothing before ``first_offset``."""
    return LeaseState(last=first_offset - 1, is_known=False)


def fold(
    state: LeaseState, record: LeaseRecord, offset: int
) -> tuple[LeaseState, bool]:
    """Return the state after the record at ``offset``, and whether it counts."""
    if record.kind == "take":
        if _is_valid_take(state, record):
            return LeaseState(offset, offset, record.holder, False, offset), True
        return attrs.evolve(state, last=offset), False
    counts = state.is_known and not state.is_released and record.epoch == state.epoch
    if not counts:
        return attrs.evolve(state, last=offset), False
    is_released = record.kind == "release"
    return (
        attrs.evolve(state, renewal=offset, is_released=is_released, last=offset),
        True,
    )


def _is_valid_take(state: LeaseState, record: LeaseRecord) -> bool:
    seen = record.state
    if seen is None:
        return False
    if seen.is_known:
        return state.is_known and (seen.epoch, seen.renewal) == (
            state.epoch,
            state.renewal,
        )
    # All that decides was forgotten: valid if nothing was written since.
    return state.last < record.at
