"""The platform's HTTP headers: names, parsing, and which are forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.requests.errors import BadHeaderError
from lagoonring.serving.statements import Statement

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from multidict import CIMultiDictProxy

    from lagoonring.serving.requests import PromptParts

REQUEST_ID = "Lagoonring-Request-Id"
# The time that the caller waits, as a duration.
DEADLINE = "Lagoonring-Deadline-Ms"
EXPECTED_ENDPOINT = "Lagoonring-Expect-Instance"
ORGANISATION = "Lagoonring-Tenant"
URGENCY = "Lagoonring-Request-Urgency"
MODEL = "Lagoonring-Model"
TOKEN_COUNT = "Lagoonring-Token-Count"
PROMPT_PARTS = "Lagoonring-Prompt-Prefix"
# Address of the engine that retains a run's KV cache, and the cache's handle.
MOVED_FROM = "Kv-From"
LAST_EVENT = "Last-Event-Id"
# The endpoint's signature of its answer.
SIGNATURE = "Lagoonring-Response-Stamp"
NOT_RUN = "Lagoonring-Not-Executed"
# Requests a second that the endpoint takes from all instances together.
LIMIT = "Server-Limit"
# Requests that the endpoint can refuse in a second before it falls over.
BRITTLE = "Server-Brittle"
# Milliseconds for which the endpoint stays cold.
COLD = "Lagoonring-Cold-Ms"
# In all answers of an endpoint that takes no new work until its end.
LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
UNAVAILABLE_STATUS = 503
# Sent between instances only: the process that is asked to relay, and why it did not.
RELAY_LIFE = "Lagoonring-Relay-Life"
RELAY_RESULT = "Lagoonring-Relay-Result"
# Of an answer that is passed on in chunks: whether the endpoint's body told its end.
RELAY_FRAMING = "Lagoonring-Relay-Framing"
FRAMED = "framed"
KEY_SCHEME = "token "
MAX_SHOWN_CHARACTERS = 40
MAX_DIGITS = 15  # of whole numbers; these are exact in all types
MAX_DECIMAL = 1e9  # of what an endpoint says of itself

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
# Never hop-by-hop, also if the header ``Connection`` names them.
END_TO_END = frozenset(
    {"authorization", "host", "kv-from", "last-event-id", "retry-after"}
)
END_TO_END_PREFIXES = ("content-", "lagoonring-")
# Removed from callers' requests: headers that only the system may send to an endpoint,
# and headers that it sets itself.
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
        "lagoonring-relay-life",
        "lagoonring-request-urgency",
        "lagoonring-tenant",
        "last-event-id",
    }
)
WITHHELD_FROM_CALLERS = frozenset(
    {
        "content-length",
        "lagoonring-cold-ms",
        "lagoonring-relay-framing",
        "lagoonring-relay-result",
        "lagoonring-server-load",
        "server-brittle",
        "server-leaving",
        "server-limit",
    }
)
SINGLE_VALUED = (
    REQUEST_ID,
    MODEL,
    DEADLINE,
    TOKEN_COUNT,
    PROMPT_PARTS,
    LAST_EVENT,
    "Authorization",
)


def forwardable_headers(
    headers: Iterable[tuple[str, str]], connection: str, withheld: frozenset[str]
) -> tuple[tuple[str, str], ...]:
    """Return the headers without the hop-by-hop and the withheld ones.

    Those with values that are not text are left out as well: the HTTP library would
    send them on without some bytes.

    Parameters
    ----------
    connection : str
        Value of the header ``Connection``, which may name more hop-by-hop headers;
        it may also be repeated in ``headers``.
    withheld : frozenset of str
        Lower-case names of further headers to remove.
    """
    items = [(name.lower(), name, value) for name, value in headers]
    options = [connection, *(value for key, _, value in items if key == "connection")]
    named = {option for option in _split_options(options) if not _is_end_to_end(option)}
    return tuple(
        (name, value)
        for key, name, value in items
        if key not in HOP_BY_HOP
        and key not in withheld
        and key not in named
        and is_text(value)
    )


def _split_options(values: list[str]) -> Iterator[str]:
    """Yield the options of headers ``Connection`` in lower case."""
    for value in values:
        for option in value.split(","):
            yield option.strip().lower()


def _is_end_to_end(name: str) -> bool:
    return name in END_TO_END or name.startswith(END_TO_END_PREFIXES)


def check_unique(headers: CIMultiDictProxy[str]) -> None:
    """Raise ``BadHeaderError`` unless a request can be sent on in one way only.

    That is if a header that must be unique is repeated, if a value is not text, which
    the HTTP library would send on without some bytes, or if the body is not the one
    that was meant, since a transfer coding is not decoded.
    """
    for name in SINGLE_VALUED:
        if len(headers.getall(name, ())) > 1:
            raise BadHeaderError(
                f"Got header {name} more than once, expected it once.",
                remedy="Send the header once.",
            )
    for name, value in headers.items():
        if not is_text(value):
            raise BadHeaderError(
                f"Got header {name} with bytes that are not UTF-8, expected text.",
                remedy="Encode the value in UTF-8.",
            )
    codings = ", ".join(headers.getall("Transfer-Encoding", ()))
    if codings.lower() not in ("", "chunked"):
        raise BadHeaderError(
            f"Got body coding {codings[:MAX_SHOWN_CHARACTERS]!r}, expected chunked.",
            remedy="Send the body with a length or in chunks.",
        )


def is_text(value: str) -> bool:
    """Return whether a value was decoded from UTF-8 without bytes that are left."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def read_number(headers: CIMultiDictProxy[str], name: str) -> int | None:
    """Return the non-negative integer in a header, or None without the header."""
    text = headers.get(name)
    if text is None:
        return None
    if not _is_whole_number(text):
        raise BadHeaderError(
            f"Got {name}: {text[:MAX_SHOWN_CHARACTERS]!r}, expected a whole number of "
            f"{MAX_DIGITS} digits at most.",
            remedy="Correct the header.",
        )
    return int(text)


def read_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the organisation's key, None without one, or "" for another scheme."""
    text = headers.get("Authorization")
    if text is None:
        return None
    if text[: len(KEY_SCHEME)].lower() != KEY_SCHEME:
        return ""
    return text[len(KEY_SCHEME) :].strip()


def read_token_count(headers: CIMultiDictProxy[str]) -> tuple[int, int] | None:
    """Return the prompt's token count and the maximum of the answer's, if given."""
    text = headers.get(TOKEN_COUNT)
    if text is None:
        return None
    numbers = [number.strip() for number in text.split(",")]
    if len(numbers) != 2 or not all(_is_whole_number(number) for number in numbers):
        raise BadHeaderError(
            f"Got {TOKEN_COUNT}: {text[:MAX_SHOWN_CHARACTERS]!r}, "
            "expected two numbers.",
            remedy="Send the prompt's tokens and the most of the answer's.",
        )
    return int(numbers[0]), int(numbers[1])


def read_prompt_parts(headers: CIMultiDictProxy[str]) -> PromptParts:
    """Return the id and token count of each part of the prompt, in order.

    Parts only influence the choice of an endpoint, so parsing stops at the first
    malformed part instead of raising an error.
    """
    text = headers.get(PROMPT_PARTS, "")
    parts = []
    for item in text.split(","):
        part, _, n_tokens = item.strip().partition(":")
        if not part or not _is_whole_number(n_tokens):
            break
        parts.append((part, int(n_tokens)))
    return tuple(parts)


def read_statement(status: int, headers: CIMultiDictProxy[str]) -> Statement:
    """Return what an endpoint's answer says of the endpoint.

    Only seconds are read of a Retry-After, whole or not; any other value is as good
    as none, and the endpoint counts as full like after any refusal.
    """
    is_leaving = headers.get(LEAVING, "").strip() == "1"
    pause_s = 0.0
    if status == UNAVAILABLE_STATUS:
        pause_s = _read_decimal(headers.get(RETRY_AFTER, "")) or 0.0
    text = headers.get(LIMIT)
    limit = None if text is None else _read_decimal(text)
    unreadable = None
    if text is not None and limit is None:
        unreadable = text[:MAX_SHOWN_CHARACTERS]
    return Statement(
        limit_per_s=limit,
        unreadable=unreadable,
        is_leaving=is_leaving,
        pause_s=pause_s,
        n_refusable=_read_decimal(headers.get(BRITTLE, "")),
        cold_left_s=(_read_decimal(headers.get(COLD, "")) or 0.0) / 1000,
    )


def _read_decimal(text: str) -> float | None:
    """Return a number from 0 to ``MAX_DECIMAL``, or None for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= MAX_DECIMAL else None


def _is_whole_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
