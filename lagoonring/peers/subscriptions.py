"""Row values as typed objects, and who is told of their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

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
    """A callback for rows of one kind, with the type of their values."""

    kind: int
    value_type: Any
    callback: RowCallback


class Subscriptions:
    """Tells subscribers of changed rows; a callback that fails is logged."""

    def __init__(self, drops: DropCounter) -> None:
        self.drops = drops
        self.by_kind: dict[int, list[Subscription]] = {}
        self.decoders: dict[Any, msgspec.msgpack.Decoder] = {}

    def add(self, subscription: Subscription) -> None:
        """Add a subscription."""
        self.by_kind.setdefault(subscription.kind, []).append(subscription)

    def decode(self, value: bytes, value_type: Any) -> Any:
        """Return a value as an object, or ``UNDECODABLE``."""
        decoder = self.decoders.get(value_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(value_type)
            self.decoders[value_type] = decoder
        try:
            return decoder.decode(value)
        except (msgspec.MsgspecError, ValueError):
            self.drops.count(DropReason.VALUE)
            return UNDECODABLE

    def notify(self, kind: int, origin: str, name: str, value: bytes | None) -> None:
        """Tell the subscribers of a kind of one changed row."""
        for subscription in self.by_kind.get(kind, ()):
            self.notify_one(subscription, origin, name, value)

    def notify_one(
        self, subscription: Subscription, origin: str, name: str, value: bytes | None
    ) -> None:
        """Tell one subscriber of one row."""
        content = None
        if value is not None:
            content = self.decode(value, subscription.value_type)
        if content is UNDECODABLE:
            return
        try:
            subscription.callback(origin, name, content)
        except Exception:
            logger.exception("A subscriber failed on row {} of {}.", name, origin)
