"""Typed row values, and notification of their subscribers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.decoding import DECODE_ERRORS
from lagoonring.logs.logger import make_logger
from lagoonring.peers.frames import DropReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.peers.drops import DropCounter

    RowCallback = Callable[[str, str, Any], None]

UNDECODABLE = object()

logger = make_logger("peers")


@attrs.frozen
class Subscription:
    """A callback for rows of one kind, and the type of their values."""

    kind: int
    value_type: Any
    callback: RowCallback


class Subscriptions:
    """Notifies subscribers of changed rows; logs callbacks that raise."""

    def __init__(self, drops: DropCounter) -> None:
        self.drops = drops
        self.by_kind: dict[int, list[Subscription]] = {}
        self.decoders: dict[Any, msgspec.msgpack.Decoder] = {}

    def add(self, subscription: Subscription) -> None:
        """Register a subscription for its kind of rows."""
        self.by_kind.setdefault(subscription.kind, []).append(subscription)

    def decode(self, value: bytes, value_type: Any) -> Any:
        """Decode a value; return ``UNDECODABLE`` if it is invalid."""
        decoder = self.decoders.get(value_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(value_type)
            self.decoders[value_type] = decoder
        try:
            return decoder.decode(value)
        except DECODE_ERRORS:
            self.drops.count(DropReason.VALUE)
            return UNDECODABLE

    def notify(self, kind: int, origin: str, name: str, value: bytes | None) -> None:
        """Notify all subscribers of a kind of a changed row."""
        for subscription in self.by_kind.get(kind, ()):
            self.notify_one(subscription, origin, name, value)

    def notify_one(
        self, subscription: Subscription, origin: str, name: str, value: bytes | None
    ) -> None:
        """Notify one subscriber of a row, unless its value is undecodable."""
        content = None
        if value is not None:
            content = self.decode(value, subscription.value_type)
        if content is UNDECODABLE:
            return
        try:
            subscription.callback(origin, name, content)
        except Exception:
            logger.exception("Subscriber failed on row {} of {}.", name, origin)
