"""Where a request on a connection ends, by its head."""

from __future__ import annotations

import attrs

END_OF_HEAD = b"\r\n\r\n"
BARE_ENDS_OF_HEAD = (b"\n\n", b"\n\r\n")
MAX_LENGTH_DIGITS = 20
BLANKS = b" \t"


@attrs.frozen
class Framing:
    """How the end of a request is found.

    ``n_body_bytes`` is None if the body comes in chunks. ``is_last`` says that what
    follows on the connection is not read: it may be no request, or the head is one
    that the HTTP library refuses.
    """

    n_body_bytes: int | None
    is_last: bool = False


NO_BODY = Framing(n_body_bytes=0)
IN_CHUNKS = Framing(n_body_bytes=None)
LAST = Framing(n_body_bytes=0, is_last=True)


def read_framing(head: bytes) -> Framing:
    """Return the framing of a request.

    Parameters
    ----------
    head : bytes
        With the empty line at its end.
    """
    lowered = head.lower()
    if lowered.startswith(b"connect "):
        return LAST
    framing = _read_body_framing(lowered)
    if b"\r\nupgrade:" in lowered:
        return attrs.evolve(framing, is_last=True)
    return framing


def _read_body_framing(lowered: bytes) -> Framing:
    n_lengths = lowered.count(b"\r\ncontent-length:")
    n_codings = lowered.count(b"\r\ntransfer-encoding:")
    if not n_lengths and not n_codings:
        return NO_BODY
    if n_lengths + n_codings > 1:
        return LAST
    if n_codings:
        coding = _read_value(lowered, b"\r\ntransfer-encoding:") or b""
        last_coding = coding.rpartition(b",")[2].strip(BLANKS)
        return IN_CHUNKS if last_coding == b"chunked" else LAST
    length = _read_value(lowered, b"\r\ncontent-length:") or b""
    if not length.isdigit() or len(length.lstrip(b"0")) > MAX_LENGTH_DIGITS:
        return LAST
    return Framing(n_body_bytes=int(length))


def _read_value(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a header field that is there at most once."""
    start = head.find(name)
    if start < 0:
        return None
    start += len(name)
    return head[start : head.index(b"\r\n", start)].strip(BLANKS)


def is_no_head(data: bytes) -> bool:
    """Return whether the begin of a head is none, or ends it with bare line feeds."""
    return not data[:1].isupper() or any(end in data for end in BARE_ENDS_OF_HEAD)
