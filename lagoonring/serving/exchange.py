"""Periodic exchange of state between instances, through a hub per data centre.

Several times a second each instance reports to the hub of its data centre. Hubs
exchange summaries and send digests of the sums to their instances. An instance whose
hub is silent falls back to the next one by rank, and finally to itself, so that none
depends on another. Addresses come from the settings, the store and the messages.

A process that has just started ranks below those that run, so that a hub returning
from a restart takes over only after it has received the sums of the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.peers.metrics import PeersMetrics
from lagoonring.peers.transport import FrameTransport
from lagoonring.serving.link_watch import LinkWatch
from lagoonring.serving.members import Card, Member, Members, cards_of
from lagoonring.serving.messages import (
    DIGEST_KIND,
    INTRODUCTION_KIND,
    REPORT_KIND,
    SUMMARY_KIND,
    Digest,
    Introduction,
    Report,
    Summary,
    make_handler,
)
from lagoonring.serving.outgoing import encode_digest, encode_report, encode_summary
from lagoonring.serving.permits import Place
from lagoonring.serving.reachability import Reachability
from lagoonring.serving.relay_directory import Relay
from lagoonring.serving.rounds import (
    WARM_UP_FACTOR,
    WarmUp,
    hub_timeout_s,
    interval_s,
    report_delay_s,
)
from lagoonring.serving.settings import ExchangeOptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application
    from lagoonring.peers.transport import Transport
    from lagoonring.serving.messages import StateHandler
    from lagoonring.serving.settings import NodeSettings

HUB_SETTLED_S = 1.0  # until the data centre's instances agree on their hub
MAX_BURST_MESSAGES = 8  # digests of about 2 kB take 13 ms on a 10 Mbit/s link

logger = make_logger("exchange")


class Exchange(BaseService):
    """Sends and receives state messages and tracks the hub.

    Attributes
    ----------
    state_handler : StateHandler or None
        Fills outgoing messages and applies received ones.
    handlers : dict
        Handlers of received messages by their first byte.
    """

    name = "exchange"

    def __init__(
        self,
        app: Application,
        settings: NodeSettings,
        *,
        transport: Transport | None = None,
        options: ExchangeOptions | None = None,
    ) -> None:
        self.app = app
        self.settings = settings
        self.address = f"{settings.ip}:{settings.peer_port}"
        self.options = options or ExchangeOptions(address=self.address)
        self.metrics = PeersMetrics(app.find("metrics").registry)
        self.transport = transport or FrameTransport(
            app.clock, self.options, self.metrics
        )
        self.life = app.rng.getrandbits(53)
        self.started_s = app.clock.monotonic()
        self.members = Members(
            Card(self.address, settings.data_centre, settings.capacity * WARM_UP_FACTOR)
        )
        self.warm_up = WarmUp(self.started_s)
        self.seeds: set[str] = set()
        self.set_seeds(settings.seed_ips)
        self.state_handler: StateHandler | None = None
        self.n_sent = 0
        self.numbers: dict[str, int] = {}
        self.links = LinkWatch(self.transport.reconnect)
        self.reachability = Reachability(
            self.members, settings.data_centres, started_s=self.started_s
        )
        self.hub_address = ""
        self.hub_since_s = self.started_s
        self.handlers: dict[int, Callable[[bytes], bool]] = {
            kind[0]: make_handler(message, self.address, handle)
            for kind, message, handle in (
                (REPORT_KIND, Report, self._handle_report),
                (DIGEST_KIND, Digest, self._handle_digest),
                (SUMMARY_KIND, Summary, self._handle_summary),
                (INTRODUCTION_KIND, Introduction, self._handle_introduction),
            )
        }

    async def start(self) -> None:
        """Listen for messages and start sending."""
        await self.transport.start(self.receive)
        self.app.spawn("exchange", self._run)

    async def retire(self) -> None:
        """Hand the hub role over to another instance."""
        self.warm_up.is_over = True
        self.members.retire()
        self.send_round()

    async def stop(self) -> None:
        """Close the connections."""
        await self.transport.stop()

    def set_seeds(self, seed_ips: tuple[str, ...]) -> None:
        """Set the addresses to contact while `Reachability.is_complete` is false."""
        seeds = {f"{ip}:{self.settings.peer_port}" for ip in seed_ips}
        self.seeds = seeds - {self.address}

    def is_hub(self) -> bool:
        """Return whether this instance is the hub of its data centre."""
        return self.members.is_hub()

    def is_settled_hub(self) -> bool:
        """Return whether this instance has been the hub for ``HUB_SETTLED_S``."""
        settled_s = self.hub_since_s + HUB_SETTLED_S
        return self.is_hub() and self.app.clock.monotonic() >= settled_s

    def count_instances(self) -> int:
        """Return the number of known instances, including this one."""
        return self.reachability.count(self.app.clock.monotonic())[1]

    def part(self) -> float:
        """Return this instance's part of what all instances may use together."""
        return self.reachability.part(self.app.clock.monotonic())

    def reachable_share(self) -> float:
        """Return the share of the known instances that are reachable now."""
        return self.reachability.share(self.app.clock.monotonic())

    def report_delay_s(self) -> float:
        """Return the time until a report, summary and digest have reached all."""
        return report_delay_s(self._interval_s())

    def all_reported_since(self, at_s: float) -> bool:
        """Return whether all instances reported since a time on this clock."""
        return self.reachability.all_reported_since(at_s)

    def local_peers(self) -> list[str]:
        """Return the addresses of the other local instances that are not suspected."""
        return [
            peer.card.address for peer in self.members.local() if not peer.is_suspected
        ]

    def place(self) -> Place:
        """Return this instance's place among those that share a limit."""
        n_unknown = self.reachability.n_unknown_local(self.app.clock.monotonic())
        unknown = [f"{self.address}/{number}" for number in range(n_unknown)]
        return Place(
            self.address,
            self.settings.data_centre,
            self.settings.data_centres,
            tuple(sorted([self.address, *self.local_peers(), *unknown])),
        )

    def relays(self) -> list[Relay]:
        """Return this instance and the reachable local ones that are not leaving."""
        peers = self.members.present(self.app.clock.monotonic())
        relays = [Relay(peer.card.address, peer.life) for peer in peers]
        if not self.members.is_leaving():
            relays.append(Relay(self.address, self.life))
        return relays

    def send_to_local_peers(self, content: bytes) -> None:
        """Send a message to the addresses that :meth:`local_peers` returns."""
        for address in self.local_peers():
            self.transport.post(address, content)

    def receive(self, content: bytes) -> bool:
        """Dispatch a message by its first byte; return whether it is one of a peer."""
        handle = self.handlers.get(content[0]) if content else None
        return handle is not None and handle(content)

    def send_round(self) -> None:
        """Send one round of messages at once."""
        for address, content in self._make_round():
            self.transport.post(address, content)

    async def _run(self) -> None:
        while True:
            messages = self._make_round()
            round_s = self._interval_s()
            n_steps = max(-(-len(messages) // MAX_BURST_MESSAGES), 1)
            for step in range(n_steps):
                # Spread over the interval: a burst would delay callers' packets.
                for address, content in messages[step::n_steps]:
                    self.transport.post(address, content)
                step_s = round_s / n_steps * self.app.rng.uniform(0.9, 1.1)
                await self.app.clock.sleep(step_s)

    def _interval_s(self) -> float:
        """Return the time between two rounds."""
        return interval_s(self.options, 1 + len(self.members.local()))

    def _make_round(self) -> list[tuple[str, bytes]]:
        """Return the messages of a round as pairs of address and content."""
        now_s = self.app.clock.monotonic()
        self._forget_silent(now_s)
        self._update_hub(now_s)
        # An instance that is not the hub answers a report with the hub's address.
        addresses = [] if self.reachability.is_complete(now_s) else sorted(self.seeds)
        messages = self._make_hub_messages(now_s) if self.is_hub() else []
        addresses += [] if self.is_hub() else [self.hub_address]
        if addresses:
            report = encode_report(self)
            messages += [(address, report) for address in addresses]
        self.links.check([address for address, _ in messages], now_s)
        return messages

    def _make_hub_messages(self, now_s: float) -> list[tuple[str, bytes]]:
        summary = encode_summary(self, now_s)
        messages = [(card.address, summary) for card in self.members.other_hubs()]
        local = self.members.local()
        if local:
            digest = encode_digest(self, now_s)
            messages += [(member.card.address, digest) for member in local]
        return messages

    def _update_hub(self, now_s: float) -> None:
        """Suspect silent hubs and apply a change of the own hub."""
        self.n_sent += 1
        if self.warm_up.ends(now_s, is_hub=self.is_hub()):
            self.members.change_capacity(self.settings.capacity)
        limit_s = hub_timeout_s(self._interval_s())
        if self.hub_address and self.hub_address != self.address:
            seen_s = max(self.reachability.digest_s, self.hub_since_s)
            if now_s - seen_s > limit_s:
                logger.info(
                    "Hub silent.",
                    extra={
                        "address": self.hub_address,
                        "silent_s": round(now_s - seen_s, 2),
                    },
                )
                self.members.suspect(self.hub_address)
        self.members.suspect_silent_hubs(now_s)
        self._apply_hub_change(now_s)

    def _apply_hub_change(self, now_s: float) -> None:
        hub = self.members.hub(self.settings.data_centre)
        assert hub is not None
        if hub.address == self.hub_address:
            return
        was_hub = self.hub_address in (self.address, "")
        self.hub_address, self.hub_since_s = hub.address, now_s
        logger.info(
            "Hub changed.",
            extra={"address": hub.address, "is_here": hub.address == self.address},
        )
        if was_hub and not self.is_hub():
            self.numbers.clear()
            self._introduce(hub, cards_of(self.members.local()))
            for member in self.members.local():
                if member.card.address != hub.address:
                    self._introduce(member.card, [hub])
        if self.state_handler is not None:
            self.state_handler.reset_peer_state(self.is_hub())

    def _forget_silent(self, now_s: float) -> None:
        """Drop instances and data centres that have been silent for ``FORGET_S``."""
        for member in self.members.forget(now_s):
            self.numbers.pop(member.card.address, None)
            self.links.forget(member.card.address)
            logger.info("Instance dropped.", extra={"address": member.card.address})
        for name in self.reachability.forget_centres():
            logger.info("Data centre dropped.", extra={"data_centre": name})

    def _introduce(self, to: Card, cards: list[Card]) -> None:
        message = Introduction(
            card=self.members.me,
            cards=[card for card in cards if card.address != to.address],
        )
        content = INTRODUCTION_KIND + msgspec.msgpack.encode(message)
        self.transport.post(to.address, content)

    def _redirect(self, to: Card) -> None:
        """Send an instance the cards of all hubs and of its own data centre."""
        own = self.members.hub(self.settings.data_centre)
        assert own is not None
        neighbours = self.members.of_data_centre(to.data_centre)
        cards = [member.card for member in neighbours if not member.is_suspected]
        self._introduce(to, [own, *self.members.other_hubs(), *cards])

    def _handle_report(self, report: Report) -> None:
        now_s = self.app.clock.monotonic()
        is_local = report.card.data_centre == self.settings.data_centre
        self._record(report, now_s)
        if not is_local or not self.is_hub():
            self._redirect(report.card)
            return
        self.numbers[report.card.address] = report.number
        if self.state_handler is not None:
            self.state_handler.apply_report(report, now_s)

    def _handle_digest(self, digest: Digest) -> None:
        now_s = self.app.clock.monotonic()
        self._record(digest, now_s)
        for card in digest.hubs:
            self.members.record_listed(card, now_s)
        if digest.cards is not None:
            self._apply_cards(digest.cards, now_s)
        self._apply_hub_change(now_s)
        if self.is_hub():
            return  # the sender follows this hub once it receives a message from it
        if digest.card.address != self.hub_address:
            self._redirect(digest.card)
            return
        self.reachability.record_digest(digest, now_s)
        if self.state_handler is not None:
            self.state_handler.apply_digest(digest, now_s)

    def _apply_cards(self, cards: list[Card], now_s: float) -> None:
        """Apply the list of instances that the data centre's hub can reach."""
        named = {card.address for card in cards}
        for card in cards:
            self.members.record_listed(card, now_s)
            self.members.trust(card.address, now_s)
        for member in self.members.local():
            if member.card.address not in named and not member.is_reachable(now_s):
                self.members.suspect(member.card.address)

    def _handle_summary(self, summary: Summary) -> None:
        now_s = self.app.clock.monotonic()
        self._record(summary, now_s)
        for card in summary.hubs:
            self.members.record_listed(card, now_s)
        self._apply_hub_change(now_s)
        if not self.is_hub():
            self._redirect(summary.card)
            return
        self.reachability.record_summary(summary, now_s)
        if self.state_handler is not None:
            self.state_handler.apply_summary(summary, now_s)

    def _handle_introduction(self, message: Introduction) -> None:
        now_s = self.app.clock.monotonic()
        self.members.record_message(message.card, now_s)
        self.links.confirm(message.card.address, now_s)
        for card in message.cards:
            self.members.record_listed(card, now_s)
            if card.data_centre != self.settings.data_centre:
                self.members.trust(card.address, now_s)
        self._apply_hub_change(now_s)

    def _record(self, message: Report | Digest | Summary, now_s: float) -> Member:
        address = message.card.address
        self.links.record(
            address, message.number, message.arrived_from(self.address), now_s
        )
        known = self.members.known.get(address)
        silent_s = known and known.silent_s(now_s)
        is_new = (
            known is None or not known.is_reachable(now_s) or known.life != message.life
        )
        member = self.members.record_message(message.card, now_s)
        member.instance, member.life = message.instance, message.life
        if is_new:
            # A connection to the earlier process or from before a partition may hang
            # for seconds until its next retransmission.
            self.transport.reconnect(address)
            logger.info(
                "Instance heard.",
                extra={
                    "instance": message.instance,
                    "address": address,
                    "silent_s": silent_s,
                    "life": message.life,
                },
            )
        return member
