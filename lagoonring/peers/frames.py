"""Authenticated frames: layout, signing, validation and replay protection.

A frame consists of ``MAGIC``, a protocol version byte, a keyed BLAKE2s tag over the
rest of the frame, and an :class:`Envelope` as a MessagePack array.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import zlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.peers.messages import CODECS, MessageKind
from lagoonring.peers.wire import make_codec

if TYPE_CHECKING:
    from collections.abc import Sequence

MAGIC = b"LR"
PROTOCOL_VERSION = 1
TAG_BYTES = 16
HEADER = MAGIC + bytes([PROTOCOL_VERSION])
BODY_START = len(HEADER) + TAG_BYTES
REPLAY_WINDOW_FRAMES = 1024
MAX_SENDERS = 2048
MIN_DEFLATE_BYTES = 192
MAX_DEFLATE_BYTES = 64 * 1024
DEFLATE_LEVEL = 6
DEFLATE_WINDOW_BITS = -15


class DropReason(enum.Enum):
    """Reason for dropping a frame or a row value, as exported in metrics."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    VERSION = "version"
    UNAUTHENTICATED = "unauthenticated"
    MISDIRECTED = "misdirected"
    STALE = "stale"
    REPLAYED = "replayed"
    VALUE = "value"


class FrameDroppedError(Exception):
    """A frame was rejected; internal to the package."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@attrs.frozen
class Envelope:
    """Sender, receiver and payload of a frame.

    ``payload`` is an encoded message of ``kind``, compressed if ``is_deflated``.
    """

    sender: str
    incarnation: int
    receiver: str
    sequence: int
    kind: int
    payload: bytes
    is_deflated: bool = False


ENVELOPE_CODEC = make_codec(Envelope)


def deflate(payload: bytes) -> tuple[bytes, bool]:
    """Compress a payload if that makes it smaller.

    Returns the payload and whether it is compressed.
    """
    if not MIN_DEFLATE_BYTES <= len(payload) <= MAX_DEFLATE_BYTES:
        return payload, False
    compressor = zlib.compressobj(DEFLATE_LEVEL, wbits=DEFLATE_WINDOW_BITS)
    deflated = compressor.compress(payload) + compressor.flush()
    if len(deflated) >= len(payload):
        return payload, False
    return deflated, True


def seal(envelope: Envelope, keys: Sequence[bytes]) -> bytes:
    """Encode an envelope as a frame, signed with the first key."""
    body = ENVELOPE_CODEC.encode(envelope)
    return HEADER + _sign(body, keys[0]) + body


def unseal(frame: bytes, keys: Sequence[bytes], *, limit_bytes: int) -> Envelope:
    """Validate a frame, except for replays, and decode its envelope.

    Raises
    ------
    FrameDroppedError
        If the frame is invalid; its ``reason`` says why.
    """
    if len(frame) > limit_bytes:
        raise FrameDroppedError(DropReason.OVERSIZED)
    if len(frame) <= BODY_START or not frame.startswith(MAGIC):
        raise FrameDroppedError(DropReason.MALFORMED)
    if frame[len(MAGIC)] != PROTOCOL_VERSION:
        raise FrameDroppedError(DropReason.VERSION)
    tag = frame[len(HEADER) : BODY_START]
    body = frame[BODY_START:]
    if not any(hmac.compare_digest(tag, _sign(body, key)) for key in keys):
        raise FrameDroppedError(DropReason.UNAUTHENTICATED)
    try:
        return ENVELOPE_CODEC.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise FrameDroppedError(DropReason.MALFORMED) from error


def decode_message(envelope: Envelope) -> Any:
    """Decode the message in an envelope.

    Raises
    ------
    FrameDroppedError
        If the kind is unknown or the payload is not a message of that kind.
    """
    try:
        payload = _inflate(envelope)
        return CODECS[MessageKind(envelope.kind)].decode(payload)
    except (msgspec.MsgspecError, ValueError, zlib.error) as error:
        raise FrameDroppedError(DropReason.MALFORMED) from error


def _inflate(envelope: Envelope) -> bytes:
    if not envelope.is_deflated:
        return envelope.payload
    inflater = zlib.decompressobj(DEFLATE_WINDOW_BITS)
    payload = inflater.decompress(envelope.payload, MAX_DEFLATE_BYTES)
    if not inflater.eof:
        raise FrameDroppedError(DropReason.OVERSIZED)
    return payload


def _sign(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2s(HEADER + body, key=key, digest_size=TAG_BYTES).digest()


@attrs.define
class SenderWindow:
    """Sequence numbers accepted from one incarnation of a sender.

    Bit ``n`` of ``seen`` represents the sequence number ``highest - n``.
    """

    incarnation: int
    highest: int = -1
    seen: int = 0


class ReplayFilter:
    """Accepts each sequence number of a sender's incarnation at most once.

    Rejects frames of incarnations older than the newest one seen, and frames older
    than the window. Above the limit, the least recently seen senders are evicted.
    """

    def __init__(self) -> None:
        self.windows: OrderedDict[str, SenderWindow] = OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Accept a sequence number.

        Raises
        ------
        FrameDroppedError
            If the number was accepted before, or that cannot be ruled out.
        """
        window = self.windows.get(sender)
        if window is None or window.incarnation < incarnation:
            window = SenderWindow(incarnation)
            self.windows[sender] = window
        elif window.incarnation > incarnation:
            raise FrameDroppedError(DropReason.STALE)
        self.windows.move_to_end(sender)
        if len(self.windows) > MAX_SENDERS:
            self.windows.popitem(last=False)
        _accept(window, sequence)


def _accept(window: SenderWindow, sequence: int) -> None:
    ahead = sequence - window.highest
    if ahead > 0:
        shifted = window.seen << ahead if ahead < REPLAY_WINDOW_FRAMES else 0
        window.seen = (shifted | 1) & ((1 << REPLAY_WINDOW_FRAMES) - 1)
        window.highest = sequence
        return
    if -ahead >= REPLAY_WINDOW_FRAMES or window.seen >> -ahead & 1:
        raise FrameDroppedError(DropReason.REPLAYED)
    window.seen |= 1 << -ahead
