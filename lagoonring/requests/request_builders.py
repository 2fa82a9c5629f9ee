"""Builds validated requests from callers' input and the catalogue's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.requests.chat import (
    canonical_prompt,
    n_tokens_most,
    parse_chat_body,
    route_name,
    wants_usage,
)
from lagoonring.requests.errors import UnknownEntryError
from lagoonring.requests.messages import ChatRequest, PlainRequest
from lagoonring.retries.messages import make_fingerprint
from lagoonring.routing.prefixes import hash_blocks, hash_conversation

if TYPE_CHECKING:
    from lagoonring.catalogue import Entry, ServiceClass
    from lagoonring.requests.parts import RequestParts


def find_entry(parts: RequestParts, name: str, kind: str) -> Entry:
    """Return an entry of the catalogue.

    Raises
    ------
    UnknownEntryError
        If no entry has this name and kind.
    """
    entries = parts.catalogue.content.entries
    entry = entries.get(name)
    if entry is None or entry.kind != kind:
        known = sorted(n for n, e in entries.items() if e.kind == kind)
        raise UnknownEntryError(
            f"Got entry {name[:80]!r}, expected one of: {', '.join(known)}.",
            remedy="Correct the name, or add the entry to the catalogue.",
        )
    return entry


def make_chat_request(
    parts: RequestParts,
    body: bytes,
    *,
    request_id: str,
    organisation: str,
    timeout_s: float | None,
) -> ChatRequest:
    """Return a validated request for a model assistant.

    ``timeout_s`` is the time until the deadline; None selects the deadline of the
    service class.

    Raises
    ------
    BadJsonError
        If the body is not a chat completion request.
    UnknownEntryError
        If no model entry has this name.
    """
    document = parse_chat_body(body)
    entry = find_entry(parts, document["model"], "model")
    service_class = parts.catalogue.content.classes[entry.service_class]
    prompt = canonical_prompt(document["messages"])
    return ChatRequest(
        request_id=request_id,
        organisation=organisation,
        entry=document["model"],
        service_class=entry.service_class,
        body=body,
        fingerprint=make_fingerprint(organisation, document["model"], body),
        deadline_s=_deadline_s(parts, service_class, timeout_s),
        priority=service_class.priority,
        route_name=route_name(document["messages"]),
        document=document,
        prefix_blocks=hash_blocks(prompt),
        affinity_key=hash_conversation(prompt),
        n_prompt_bytes=len(prompt),
        n_tokens_most=n_tokens_most(document, parts.options.n_tokens_default),
        is_streamed=bool(document.get("stream")),
        wants_usage=wants_usage(document),
    )


def make_plain_request(
    parts: RequestParts,
    name: str,
    *,
    request_id: str,
    organisation: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    key: str,
    timeout_s: float | None,
) -> PlainRequest:
    """Return a validated call of a plain service.

    ``timeout_s`` is the time until the deadline; None selects the deadline of the
    service class.

    Raises
    ------
    UnknownEntryError
        If no plain entry has this name.
    """
    entry = find_entry(parts, name, "plain")
    service_class = parts.catalogue.content.classes[entry.service_class]
    call = b" ".join((method.encode(), path.encode(), body))
    return PlainRequest(
        request_id=request_id,
        organisation=organisation,
        entry=name,
        service_class=entry.service_class,
        body=body,
        fingerprint=make_fingerprint(organisation, name, call),
        deadline_s=_deadline_s(parts, service_class, timeout_s),
        priority=service_class.priority,
        key=key,
        route_name=f"{method} {path.partition('?')[0].split('/')[1][:40]}",
        method=method,
        path=path,
        headers=headers,
        is_idempotent=entry.idempotent or method in entry.idempotent_methods,
    )


def _deadline_s(
    parts: RequestParts, service_class: ServiceClass, timeout_s: float | None
) -> float:
    """Return the deadline on the monotonic clock."""
    if timeout_s is None:
        timeout_s = service_class.deadline_ms / 1000
    return parts.app.clock.monotonic() + timeout_s
