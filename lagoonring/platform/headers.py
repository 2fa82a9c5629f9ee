"""The platform's header names, and which of them pass through."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.requests.errors import BadHeaderError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from multidict import CIMultiDictProxy

    from lagoonring.serving.requests import PromptParts

REQUEST_ID = "Lagoonring-Request-Id"
# How long the caller waits, not a point in time.
DEADLINE = "Lagoonring-Deadline-Ms"
EXPECTED_ENDPOINT = "Lagoonring-Expect-Instance"
ORGANISATION = "Lagoonring-Tenant"
URGENCY = "Lagoonring-Request-Urgency"
TOKEN_COUNT = "Lagoonring-Token-Count"
PROMPT_PARTS = "Lagoonring-Prompt-Prefix"
# The source's address and the handle under which it kept a run's memory.
MOVED_FROM = "Kv-From"
LAST_EVENT = "Last-Event-Id"
# A signature of the endpoint over its answer.
SIGNATURE = "Lagoonring-Response-Stamp"
NOT_RUN = "Lagoonring-Not-Executed"
KEY_SCHEME = "token "

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# What only the system may say to an endpoint, and what it sets anew.
RESERVED = frozenset(
    {
        "authorization",
        "content-length",
        "expect",
        "kv-fetch",
        "kv-from",
        "lagoonring-deadline-ms",
        "lagoonring-expect-instance",
        "lagoonring-expect-version",
        "lagoonring-hold",
        "lagoonring-kv-backup",
        "lagoonring-pin-ms",
        "lagoonring-request-urgency",
        "lagoonring-tenant",
        "last-event-id",
    }
)
NOT_TO_CALLERS = frozenset({"content-length", "lagoonring-server-load"})
UNIQUE = (REQUEST_ID, DEADLINE, TOKEN_COUNT, PROMPT_PARTS, LAST_EVENT, "Authorization")


def forwarded(
    headers: Iterable[tuple[str, str]], connection: str, withheld: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern more than one connection.

    Parameters
    ----------
    connection : str
        Value of the header ``Connection``, which may name further ones.
    withheld : frozenset of str
        Names in lower case that are left out besides.
    """
    named = {name.strip().lower() for name in connection.split(",")}
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in withheld
        and name.lower() not in named
    )


def check_unique(headers: CIMultiDictProxy[str]) -> None:
    """Raise ``BadHeaderError`` if a header that must be clear comes twice."""
    for name in UNIQUE:
        if len(headers.getall(name, ())) > 1:
            raise BadHeaderError(
                f"Got header {name} more than once, expected it once.",
                remedy="Send the header once.",
            )


def read_number(headers: CIMultiDictProxy[str], name: str) -> int | None:
    """Return a header's whole number, or None without the header."""
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise BadHeaderError(
            f"Got {name}: {text[:40]!r}, expected a whole number.",
            remedy="Correct the header.",
        )
    return int(text)


def read_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the organisation's key, or None without one."""
    text = headers.get("Authorization")
    if text is None:
        return None
    if text[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return ""
    return text[len(KEY_SCHEME) :].strip()


def read_token_count(headers: CIMultiDictProxy[str]) -> tuple[int, int] | None:
    """Return the tokens of the prompt and at most of the answer."""
    text = headers.get(TOKEN_COUNT)
    if text is None:
        return None
    try:
        n_prompt, n_output = (int(number) for number in text.split(","))
    except ValueError:
        raise BadHeaderError(
            f"Got {TOKEN_COUNT}: {text[:40]!r}, expected two numbers.",
            remedy="Send the prompt's tokens and the most of the answer's.",
        ) from None
    return n_prompt, n_output


def read_prompt_parts(headers: CIMultiDictProxy[str]) -> PromptParts:
    """Return the ids and tokens of the prompt's parts, in order.

    Parts only guide the choice of an endpoint: what can't be read is left out.
    """
    text = headers.get(PROMPT_PARTS, "")
    parts = []
    for item in text.split(","):
        part, _, n_tokens = item.strip().partition(":")
        if not part or not n_tokens.isdigit():
            break
        parts.append((part, int(n_tokens)))
    return tuple(parts)
