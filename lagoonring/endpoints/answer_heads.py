"""Reads the heads of answers strictly, before the HTTP library reads them leniently."""

from __future__ import annotations

import errno
import re

MAX_SHOWN_BYTES = 80
SWITCHING_STATUS = 101  # never asked for
NO_CONTENT_STATUS = 204
CHUNKED_SINCE = b"HTTP/1.1"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb"[\t -~\x80-\xff]*"
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9][0-9])(?: " + TEXT + rb")?")
FIELD = re.compile(TOKEN + rb":" + TEXT)
HEAD = re.compile(STATUS_LINE.pattern + rb"\r\n(?:" + FIELD.pattern + rb"\r\n)*\r\n")
FRAMING = re.compile(
    rb"\r\n(content-length|transfer-encoding):[\t ]*([^\r]*?)[\t ]*(?=\r\n)",
    re.IGNORECASE,
)
MAX_LENGTH_DIGITS = 15
BARE_LINE_END = re.compile(rb"\r[^\n]|(?<!\r)\n")


class BrokenHeadError(ConnectionAbortedError):
    """An answer whose head is not one of HTTP/1.1."""

    def __init__(self, got: bytes, expected: str) -> None:
        super().__init__(
            errno.ECONNABORTED, f"Got {got[:MAX_SHOWN_BYTES]!r}, expected {expected}."
        )


def read_status(head: bytes) -> int:
    """Return the status of an answer from its head, which ends with an empty line.

    Raises
    ------
    BrokenHeadError
        If a strict reader can't tell what is meant.
    """
    parsed = HEAD.fullmatch(head)
    status = 0 if parsed is None else int(parsed[1])
    if status in (0, SWITCHING_STATUS):
        raise _describe_fault(head)
    framing = FRAMING.findall(head)
    if framing:
        _check_framing(status, head, framing)
    return status


def check_line_ends(part: bytes, position: int = 0) -> None:
    """Raise ``BrokenHeadError`` if a part of a head has CR or LF alone.

    The HTTP library may take them for the end of a line, and so of the head. Only
    those from ``position`` on are found.
    """
    bare = BARE_LINE_END.search(part, position)
    if bare is not None:
        raise BrokenHeadError(
            part[: bare.end()][-MAX_SHOWN_BYTES:], "lines that end with CR LF"
        )


def _check_framing(
    status: int, head: bytes, framing: list[tuple[bytes, bytes]]
) -> None:
    """Raise ``BrokenHeadError`` unless one field frames the body, or says it is empty.

    Transfer codings other than chunks are hop-by-hop and are not decoded here.
    """
    name, value = framing[0]
    is_length = name.lower() == b"content-length"
    if is_length:
        is_sound = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
        has_body = is_sound and int(value) > 0
    else:
        is_sound = value.lower() == b"chunked" and head.startswith(CHUNKED_SINCE)
        has_body = True
    is_empty = status < 200 or status == NO_CONTENT_STATUS
    if len(framing) > 1 or not is_sound or (is_empty and has_body):
        got = b", ".join(b"%b: %b" % field for field in framing)
        raise BrokenHeadError(got, f"one length or chunks that fit status {status}")


def _describe_fault(head: bytes) -> BrokenHeadError:
    """Return the error for a head that is not strict."""
    first, *fields = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    line = STATUS_LINE.fullmatch(first)
    if line is None or int(line[1]) == SWITCHING_STATUS:
        return BrokenHeadError(first, "a status line of HTTP/1.1 with 100 to 599")
    odd = next((field for field in fields if FIELD.fullmatch(field) is None), head)
    return BrokenHeadError(odd, "a name, a colon and a value of text")
