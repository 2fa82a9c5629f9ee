"""Authenticated frames: layout, signing, checks and replay protection.

A frame is ``MAGIC``, a byte of protocol version, a keyed BLAKE2s tag over all
else, and an :class:`Envelope` as a MessagePack array.
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
REPLAY_WINDOW = 1024
N_SENDERS_MOST = 2048
DEFLATE_LEAST_BYTES = 192
DEFLATE_MOST_BYTES = 64 * 1024
DEFLATE_LEVEL = 6
DEFLATE_WINDOW_BITS = -15


class DropReason(enum.Enum):
    """Why a frame was dropped."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    VERSION = "version"
    UNAUTHENTICATED = "unauthenticated"
    MISDIRECTED = "misdirected"
    STALE = "stale"
    REPLAYED = "replayed"
    VALUE = "value"


class FrameDroppedError(Exception):
    """A frame was not accepted; never leaves the package."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@attrs.frozen
class Envelope:
    """Who sends what to whom; ``payload`` is a message of ``kind``.

    ``is_deflated`` says that the payload is compressed.
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
    """Return a payload, compressed if that is worth it, and whether it is."""
    if not DEFLATE_LEAST_BYTES <= len(payload) <= DEFLATE_MOST_BYTES:
        return payload, False
    compressor = zlib.compressobj(DEFLATE_LEVEL, wbits=DEFLATE_WINDOW_BITS)
    deflated = compressor.compress(payload) + compressor.flush()
    if len(deflated) >= len(payload):
        return payload, False
    return deflated, True


def seal(envelope: Envelope, keys: Sequence[bytes]) -> bytes:
    """Return the frame of an envelope, signed with the first key."""
    body = ENVELOPE_CODEC.encode(envelope)
    return HEADER + _sign(body, keys[0]) + body


def unseal(frame: bytes, keys: Sequence[bytes], *, limit_bytes: int) -> Envelope:
    """Return the envelope of a frame after all checks that need no state.

    Raises
    ------
    FrameDroppedError
        With the reason.
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
    """Return the message inside an envelope.

    Raises
    ------
    FrameDroppedError
        If the kind is unknown or the payload is not such a message.
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
    payload = inflater.decompress(envelope.payload, DEFLATE_MOST_BYTES)
    if not inflater.eof:
        raise FrameDroppedError(DropReason.OVERSIZED)
    return payload


def _sign(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2s(HEADER + body, key=key, digest_size=TAG_BYTES).digest()


@attrs.define
class SenderWindow:
    """Sequence numbers accepted from one life of a sender.

    Bit ``n`` of ``seen`` stands for the sequence number ``highest - n``.
    """

    incarnation: int
    highest: int = -1
    seen: int = 0


class ReplayFilter:
    """Accepts every sequence number of a sender's life at most once.

    Frames of a life older than the newest seen, and those further back than the
    window, are refused. The senders not heard for longest are forgotten first.
    """

    def __init__(self) -> None:
        self.windows: OrderedDict[str, SenderWindow] = OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record a sequence number.

        Raises
        ------
        FrameDroppedError
            If it was accepted before, or may have been.
        """
        window = self.windows.get(sender)
        if window is None or window.incarnation < incarnation:
            window = SenderWindow(incarnation)
            self.windows[sender] = window
        elif window.incarnation > incarnation:
            raise FrameDroppedError(DropReason.STALE)
        self.windows.move_to_end(sender)
        if len(self.windows) > N_SENDERS_MOST:
            self.windows.popitem(last=False)
        _accept(window, sequence)


def _accept(window: SenderWindow, sequence: int) -> None:
    ahead = sequence - window.highest
    if ahead > 0:
        kept = window.seen << ahead if ahead < REPLAY_WINDOW else 0
        window.seen = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
        window.highest = sequence
        return
    if -ahead >= REPLAY_WINDOW or window.seen >> -ahead & 1:
        raise FrameDroppedError(DropReason.REPLAYED)
    window.seen |= 1 << -ahead
