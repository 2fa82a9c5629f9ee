"""Authenticated messages addressed by instance name."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from lagoonring.errors import InvalidInputError
from lagoonring.logs.logger import make_logger
from lagoonring.peers.drops import DropCounter
from lagoonring.peers.frames import (
    DropReason,
    Envelope,
    FrameDroppedError,
    ReplayFilter,
    decode_message,
    deflate,
    seal,
    unseal,
)
from lagoonring.peers.messages import CODECS, MessageKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.peers.messages import MemberRecord
    from lagoonring.peers.metrics import PeersMetrics
    from lagoonring.peers.options import PeersOptions
    from lagoonring.peers.transport import Transport

    Allow = Callable[[str, str], bool]
    Handler = Callable[[Envelope, Any], None]

MAX_CALLER_ADDRESSES = 1024
ENVELOPE_OVERHEAD_BYTES = 512

logger = make_logger("peers")


class MessageTooLargeError(InvalidInputError):
    """A message exceeds the size limit of a frame."""

    code = "message_too_large"


class Channel:
    """Sends messages to other instances and validates those received.

    Parameters
    ----------
    transport : Transport
        Transports the frames.
    allow : callable or None
        ``allow(sender, receiver)`` returns False for partitioned pairs, whose
        frames are dropped. For tests.

    Attributes
    ----------
    me : MemberRecord
        Record of this instance's current incarnation.
    handlers : dict
        Message handlers by kind, called with the envelope and the message.
    """

    def __init__(
        self,
        me: MemberRecord,
        transport: Transport,
        clock: Clock,
        options: PeersOptions,
        metrics: PeersMetrics,
        *,
        allow: Allow | None = None,
    ) -> None:
        self.me = me
        self.transport = transport
        self.options = options
        self.allow = allow
        self.keys = [key.encode() for key in options.keys]
        self.handlers: dict[MessageKind, Handler] = {}
        self.metrics = metrics
        self.drops = DropCounter(clock, metrics)
        self.replays = ReplayFilter()
        self.sequence = itertools.count()
        self.addresses: OrderedDict[str, str] = OrderedDict()

    def record_address(self, instance: str, address: str) -> None:
        """Record the address at which the sender of a message can be reached."""
        self.addresses[instance] = address
        self.addresses.move_to_end(instance)
        if len(self.addresses) > MAX_CALLER_ADDRESSES:
            self.addresses.popitem(last=False)

    def encode(self, kind: MessageKind, message: Any) -> bytes:
        """Encode a message as the payload of a frame.

        Raises
        ------
        MessageTooLargeError
            If the payload exceeds the size limit of a frame.
        """
        payload = CODECS[kind].encode(message)
        limit_bytes = self.options.frame_limit_bytes - ENVELOPE_OVERHEAD_BYTES
        if len(payload) > limit_bytes:
            raise MessageTooLargeError(
                f"Got a message of {len(payload)} bytes, expected at most "
                f"{limit_bytes}.",
                remedy="Send it in parts, or raise peers.frame_limit_bytes.",
            )
        return payload

    def post(
        self,
        instance: str,
        address: str,
        kind: MessageKind,
        payload: bytes,
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Queue a payload for an instance at an address."""
        content, is_deflated = deflate(payload)
        envelope = Envelope(
            self.me.instance,
            self.me.incarnation,
            instance,
            next(self.sequence),
            int(kind),
            content,
            is_deflated,
        )
        frame = seal(envelope, self.keys)
        if self.allow is not None and not self.allow(self.me.instance, instance):
            return
        self.transport.post(address, frame, on_unsent)

    def receive(self, frame: bytes) -> bool:
        """Validate a frame and dispatch its message; never raises.

        Returns whether the frame is valid.
        """
        try:
            envelope = unseal(
                frame, self.keys, limit_bytes=self.options.frame_limit_bytes
            )
            self._check_addressing(envelope)
            self.replays.check(envelope.sender, envelope.incarnation, envelope.sequence)
            message = decode_message(envelope)
        except FrameDroppedError as error:
            self.drops.count(error.reason)
            return False
        self.metrics.frames_received.inc()
        try:
            self.handlers[MessageKind(envelope.kind)](envelope, message)
        except Exception:
            logger.exception("Handling a frame from {} failed.", envelope.sender)
        return True

    def _check_addressing(self, envelope: Envelope) -> None:
        me = self.me.instance
        if envelope.receiver != me or envelope.sender == me:
            raise FrameDroppedError(DropReason.MISDIRECTED)
