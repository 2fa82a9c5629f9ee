"""What is written to a slot's stream and sent between instances."""

from __future__ import annotations

from hashlib import blake2b
from typing import Literal

import attrs

ANSWER_LIMIT_BYTES = 64 * 1024
DIGEST_BYTES = 16

ItemKind = Literal["claim", "finish", "release"]
Status = Literal[
    "granted", "finished", "in_progress", "key_reused", "barred", "done", "ignored"
]


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """The answer of a finished request.

    ``body`` is None if it was too large to be stored, or if the log has
    forgotten it; ``digest`` and ``n_bytes`` describe the whole body.
    """

    status: int
    content_type: str = ""
    body: bytes | None = None
    digest: str = ""
    n_bytes: int = 0


@attrs.frozen(kw_only=True)
class ClaimItem:
    """One step of one key; keys and ids are digests."""

    kind: ItemKind
    key: bytes
    claim: bytes
    fingerprint: bytes = b""
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class ClaimBatch:
    """The payload of one data record."""

    batch_id: str
    items: list[ClaimItem]


@attrs.frozen(kw_only=True)
class TablePart:
    """Part of a snapshot: packed rows, the oldest first."""

    now_s: float
    rows: bytes


@attrs.frozen(kw_only=True)
class Ask:
    """An item on its way to the owner of its slot."""

    slot: int
    n_slots: int
    item: ClaimItem


@attrs.frozen(kw_only=True)
class Reply:
    """What an instance answers to an :class:`Ask`.

    ``kind`` is ``outcome``, ``not_holder`` (nothing was done, ``holder`` may
    know), ``log_out`` (nothing was done), ``full`` (nothing was done) or
    ``fate_unknown``. ``is_log_out`` says that the log is out here, so that what
    is told of the holder may be old.
    """

    kind: Literal["outcome", "not_holder", "log_out", "full", "fate_unknown"]
    status: Status = "ignored"
    holder: str = ""
    is_log_out: bool = False
    age_s: float = 0.0
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class Nudge:
    """Tells an heir that a slot is free; ``is_leaving`` if the sender stops."""

    slot: int
    is_leaving: bool
    is_forwarded: bool = False


@attrs.frozen(kw_only=True)
class ClaimAnswer:
    """The answer to a claim.

    ``state`` is ``granted`` (run it now), ``finished`` (with its ``answer``),
    ``in_progress`` or ``unknown`` (claimed before, its outcome is not known).
    ``is_recorded`` is False if an entry that deduplicates goes on without the
    log.
    """

    state: Literal["granted", "finished", "in_progress", "unknown"]
    answer: StoredAnswer | None = None
    is_recorded: bool = True


def trim_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return an answer with its digest, without a body that is too large."""
    if answer.body is None:
        return answer
    digest = blake2b(answer.body, digest_size=DIGEST_BYTES).hexdigest()
    n_bytes = len(answer.body)
    body = answer.body if n_bytes <= ANSWER_LIMIT_BYTES else None
    return attrs.evolve(answer, body=body, digest=digest, n_bytes=n_bytes)
