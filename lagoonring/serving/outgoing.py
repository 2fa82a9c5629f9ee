"""Builds and encodes the messages that an instance sends in a round."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.serving.members import cards_of
from lagoonring.serving.messages import (
    DIGEST_KIND,
    REPORT_KIND,
    SUMMARY_KIND,
    Digest,
    Report,
    Summary,
)

if TYPE_CHECKING:
    from lagoonring.serving.exchange import Exchange

CARDS_ROUNDS = 5  # between digests with cards; membership changes rarely


def encode_report(exchange: Exchange) -> bytes:
    """Return a report of the instance's state."""
    received = exchange.links.received_from([exchange.hub_address, *exchange.seeds])
    report = Report(**_header(exchange), received=received)
    if exchange.state_handler is not None:
        exchange.state_handler.fill_report(report)
    return REPORT_KIND + msgspec.msgpack.encode(report)


def encode_summary(exchange: Exchange, now_s: float) -> bytes:
    """Return a summary of the data centre, for the other hubs."""
    n_heard, n_known = exchange.members.count_local(now_s)
    hubs = exchange.members.other_hubs()
    summary = Summary(
        **_header(exchange),
        received=exchange.links.received_from(card.address for card in hubs),
        n_heard=n_heard,
        n_known=n_known,
        hubs=hubs,
    )
    if exchange.state_handler is not None:
        exchange.state_handler.fill_summary(summary)
    return SUMMARY_KIND + msgspec.msgpack.encode(summary)


def encode_digest(exchange: Exchange, now_s: float) -> bytes:
    """Return a digest of all instances, for those of the data centre."""
    local = exchange.members.local()
    reachable = [peer for peer in local if peer.is_reachable(now_s)]
    n_heard, n_known = exchange.reachability.count(now_s)
    addresses = {peer.card.address for peer in reachable}
    has_cards = exchange.n_sent % CARDS_ROUNDS == 0
    digest = Digest(
        **_header(exchange),
        n_heard=n_heard,
        n_known=n_known,
        numbers={a: n for a, n in exchange.numbers.items() if a in addresses},
        cards=cards_of(reachable) if has_cards else None,
        hubs=exchange.members.other_hubs(),
    )
    if exchange.state_handler is not None:
        exchange.state_handler.fill_digest(digest)
    return DIGEST_KIND + msgspec.msgpack.encode(digest)


def _header(exchange: Exchange) -> dict[str, Any]:
    return {
        "card": exchange.members.me,
        "instance": exchange.settings.instance,
        "life": exchange.life,
        "number": exchange.n_sent,
    }
