"""Requests and answers as the request path passes them on."""

from __future__ import annotations

from typing import Any

import attrs
import msgspec

BYTES_PER_TOKEN = 4
REQUEST_PREFIX = b'data: {"id":"chatcmpl-'


@attrs.define(kw_only=True)
class CallerRequest:
    """An authenticated and validated request.

    ``deadline_s`` is on the process's monotonic clock. ``fingerprint`` identifies
    organisation, entry and body in the quarantine and in claims; ``route_name``
    groups similar requests when versions are compared.
    """

    request_id: str
    organisation: str
    entry: str
    service_class: str
    body: bytes
    fingerprint: str
    deadline_s: float
    priority: int = 0
    key: str = ""
    route_name: str = ""


@attrs.define(kw_only=True)
class ChatRequest(CallerRequest):
    """A request to a model assistant; ``document`` is its parsed body."""

    document: dict[str, Any]
    prefix_blocks: tuple[int, ...] = ()
    affinity_key: int = 0
    n_prompt_bytes: int = 0
    n_tokens_most: int = 0
    is_streamed: bool = False
    wants_usage: bool = False

    @property
    def n_prompt_tokens(self) -> int:
        """Return the estimated length of the prompt in tokens."""
        return self.n_prompt_bytes // BYTES_PER_TOKEN


@attrs.define(kw_only=True)
class PlainRequest(CallerRequest):
    """A call of a plain service."""

    method: str
    path: str
    headers: dict[str, str]
    is_idempotent: bool


@attrs.define(kw_only=True)
class PlainAnswer:
    """A complete answer of a plain service.

    ``replayed`` marks the recorded answer of an earlier request with the same key.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: str = ""
    replayed: bool = False


@attrs.frozen(kw_only=True)
class Handover:
    """State that another instance needs to continue a stream.

    ``events`` are the events produced for the caller so far; ``grace_s`` is the
    time left until the request's deadline.
    """

    request_id: str
    organisation: str
    entry: str
    body: bytes
    events: list[bytes]
    n_tokens: int
    grace_s: float
    n_tokens_recomputed: int = 0


def encode_handover(handover: Handover) -> bytes:
    """Encode a handover as msgpack."""
    return msgspec.msgpack.encode(handover)


def decode_handover(payload: bytes) -> Handover:
    """Decode a handover from msgpack."""
    return msgspec.msgpack.decode(payload, type=Handover)
