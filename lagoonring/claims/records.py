"""Records of a slot's stream and messages between instances."""

from __future__ import annotations

from hashlib import blake2b
from typing import Literal

import attrs

MAX_ANSWER_BYTES = 64 * 1024
DIGEST_BYTES = 16

ItemKind = Literal["claim", "finish", "release"]
Status = Literal[
    "granted", "finished", "in_progress", "key_reused", "barred", "done", "ignored"
]


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer of a finished request.

    ``body`` is None if it was too large to be stored, or if the log has
    truncated the record; ``digest`` and ``n_bytes`` describe the complete body.
    """

    status: int
    content_type: str = ""
    body: bytes | None = None
    digest: str = ""
    n_bytes: int = 0


@attrs.frozen(kw_only=True)
class ClaimItem:
    """One operation on a key; ``key`` and ``claim`` are digests."""

    kind: ItemKind
    key: bytes
    claim: bytes
    fingerprint: bytes = b""
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class ClaimBatch:
    """The payload of one data record: items that are appended together."""

    batch_id: str
    items: list[ClaimItem]


@attrs.frozen(kw_only=True)
class TablePart:
    """Part of a snapshot: packed rows in order of age, oldest first."""

    now_s: float
    rows: bytes


@attrs.frozen(kw_only=True)
class ItemRequest:
    """Request to the owner of a slot to apply an item."""

    slot: int
    n_slots: int
    item: ClaimItem


@attrs.frozen(kw_only=True)
class Reply:
    """Reply to an :class:`ItemRequest`.

    ``kind`` is ``outcome``, ``not_holder`` (no effect; ``holder`` may be the
    holder or an instance that knows it), ``log_out`` (no effect; the log is
    unreachable), ``full`` (no effect) or ``fate_unknown``. ``is_log_out`` is True
    if the replying instance can't reach the log, so that ``holder`` may be stale.
    """

    kind: Literal["outcome", "not_holder", "log_out", "full", "fate_unknown"]
    status: Status = "ignored"
    holder: str = ""
    is_log_out: bool = False
    age_s: float = 0.0
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class SlotReleased:
    """Notifies the next owner of a slot that the slot has been released.

    ``is_leaving`` is True if the sender is shutting down.
    """

    slot: int
    is_leaving: bool
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class ClaimAnswer:
    """The answer to a claim.

    ``state`` is ``granted`` (run it now), ``finished`` (with its ``answer``),
    ``in_progress`` or ``unknown`` (claimed earlier, with an unknown outcome).
    ``is_recorded`` is False if the claim was granted without the log, because the
    entry's endpoints deduplicate.
    """

    state: Literal["granted", "finished", "in_progress", "unknown"]
    answer: StoredAnswer | None = None
    is_recorded: bool = True


def trim_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return an answer with its digest, and without its body if that is too large."""
    if answer.body is None:
        return answer
    digest = blake2b(answer.body, digest_size=DIGEST_BYTES).hexdigest()
    n_bytes = len(answer.body)
    body = answer.body if n_bytes <= MAX_ANSWER_BYTES else None
    return attrs.evolve(answer, body=body, digest=digest, n_bytes=n_bytes)
