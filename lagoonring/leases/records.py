"""Records of a lease's stream, and the rule that decides which are valid.

A lease and the data that it guards share one stream, so the order of the log
alone determines which records are valid, without clocks. An epoch begins with a
valid ``take``; the offset of that record identifies the epoch and serves as the
fencing number. The holder numbers its data records, because the log may execute an
append whose answer was lost seconds later: a record behind one with a higher number
is invalid, although it still shows that the holder was alive.

Every take and renewal carries the state that its writer had folded, so that a
reader can recover the state after the log has truncated older records.
"""

from __future__ import annotations

from typing import Literal

import attrs
import msgspec

Kind = Literal["take", "renew", "release", "data", "snapshot"]
NO_PAYLOAD = msgspec.Raw(b"null")


@attrs.frozen
class LeaseState:
    """State of a lease after folding its records up to some offset.

    Attributes
    ----------
    epoch : int
        Offset of the current valid take; -1 if there was none.
    renewal : int
        Offset of the newest record of that epoch.
    holder : str
        Name of the instance that holds the lease.
    is_released : bool
        Whether the lease is free.
    number : int
        Highest number of the data records of that epoch; -1 if there are none.
    last : int
        Offset of the newest record of any epoch.
    is_known : bool
        False if the records that determine the holder have been truncated.
    """

    epoch: int = -1
    renewal: int = -1
    holder: str = ""
    is_released: bool = True
    last: int = -1
    is_known: bool = True
    number: int = -1


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """One record of a lease's stream.

    Attributes
    ----------
    token : str
        Unique per append; identifies the record when the answer to the append is
        lost.
    epoch : int
        Epoch of the writer; unused in a take.
    state : LeaseState or None
        State that the writer had folded before offset ``at``; a take is valid if
        the epoch and renewal of that state are still the newest.
    number : int
        Position of a data record among those that its writer sent in the epoch; -1 in
        records of earlier releases.
    payload : msgspec.Raw
        Data, or one part of a snapshot of the data, as JSON.
    group, part, n_parts
        Identifier of the snapshot, index of this part and number of parts.
    """

    kind: Kind
    token: str
    holder: str = ""
    epoch: int = -1
    state: LeaseState | None = None
    at: int = -1
    number: int = -1
    payload: msgspec.Raw = NO_PAYLOAD
    group: str = ""
    part: int = 0
    n_parts: int = 0


def encode_record(record: LeaseRecord) -> str:
    """Encode a record as JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(data: str) -> LeaseRecord | None:
    """Decode a record; return None if this version cannot read it."""
    try:
        return msgspec.json.decode(data, type=LeaseRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def make_unknown_state(first_offset: int) -> LeaseState:
    """Return the state of a reader when older records were truncated.

    ``first_offset`` is the first offset that the log still has.
    """
    return LeaseState(last=first_offset - 1, is_known=False)


def fold(
    state: LeaseState, record: LeaseRecord, offset: int
) -> tuple[LeaseState, bool]:
    """Return the state after the record at ``offset``, and whether it is valid."""
    if record.kind == "take":
        if _is_valid_take(state, record):
            return LeaseState(offset, offset, record.holder, False, offset), True
        return attrs.evolve(state, last=offset), False
    is_valid = state.is_known and not state.is_released and record.epoch == state.epoch
    if not is_valid:
        return attrs.evolve(state, last=offset), False
    is_late = is_overtaken(state, record)
    state = attrs.evolve(
        state,
        renewal=offset,
        is_released=record.kind == "release",
        last=offset,
        number=max(state.number, record.number),
    )
    return state, not is_late


def is_overtaken(state: LeaseState, record: LeaseRecord) -> bool:
    """Return whether a record stands behind one that its writer sent later.

    The log may execute an append whose answer was lost after newer ones.
    """
    is_numbered = record.kind == "data" and record.number >= 0
    return is_numbered and record.epoch == state.epoch and record.number <= state.number


def _is_valid_take(state: LeaseState, record: LeaseRecord) -> bool:
    writer_state = record.state
    if writer_state is None:
        return False
    if writer_state.is_known:
        return state.is_known and (writer_state.epoch, writer_state.renewal) == (
            state.epoch,
            state.renewal,
        )
    # The deciding records were truncated: valid if nothing was written since.
    return state.last < record.at
