"""What instances tell each other several times a second, and through whom.

Each instance reports to the hub of its data centre; hubs exchange summaries and tell
their instances the sums. An instance that hears nothing of its hub takes the next one
in the order of preference, at last itself, so that no instance depends on another.
Addresses come from the settings, the store and the messages themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.peers.metrics import PeersMetrics
from lagoonring.peers.transport import NngTransport
from lagoonring.serving.members import MEMBER_TIMEOUT_S, Card, Member, Members, cards_of
from lagoonring.serving.messages import (
    DIGEST_KIND,
    INTRODUCTION_KIND,
    REPORT_KIND,
    SUMMARY_KIND,
    Digest,
    Introduction,
    Report,
    Summary,
    make_reader,
)
from lagoonring.serving.reachability import Reachability
from lagoonring.serving.settings import ExchangeOptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Application
    from lagoonring.peers.transport import Transport
    from lagoonring.serving.messages import StateHandler
    from lagoonring.serving.settings import NodeSettings

HUB_SILENT_S = 0.8  # four rounds of a small data centre
HUB_SILENT_ROUNDS = 3.5  # of a large one
HUB_SETTLED_S = 1.0  # after it the instances of a data centre agree on their hub
N_SENT_AT_ONCE = 8  # digests of about 2 kB, 13 ms of a link of 10 Mbit/s
CARDS_EVERY = 5  # digests; instances come and go far more seldom

logger = make_logger("exchange")


class Exchange(BaseService):
    """Sends and receives messages, and knows the hub.

    Attributes
    ----------
    state_handler : StateHandler or None
        Fills and takes in what is told.
    handlers : dict
        Take in messages by their first byte.
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
        self.transport = transport or NngTransport(
            app.clock, self.options, self.metrics
        )
        self.life = app.rng.getrandbits(53)
        self.started_s = app.clock.monotonic()
        self.members = Members(
            Card(self.address, settings.data_centre, settings.capacity)
        )
        self.seeds: set[str] = set()
        self.set_seeds(settings.seed_ips)
        self.state_handler: StateHandler | None = None
        self.n_sent = 0
        self.numbers: dict[str, int] = {}
        self.reachability = Reachability(
            self.members, settings.data_centres, started_s=self.started_s
        )
        self.hub_address = ""
        self.hub_since_s = self.started_s
        self.handlers: dict[int, Callable[[bytes], None]] = {
            kind[0]: make_reader(message, self.address, take)
            for kind, message, take in (
                (REPORT_KIND, Report, self._take_report),
                (DIGEST_KIND, Digest, self._take_digest),
                (SUMMARY_KIND, Summary, self._take_summary),
                (INTRODUCTION_KIND, Introduction, self._take_introduction),
            )
        }

    async def start(self) -> None:
        """Listen and begin to send."""
        await self.transport.start(self.receive)
        self.app.spawn("exchange", self._run)

    async def retire(self) -> None:
        """Let another instance be the hub."""
        self.members.retire()
        self.send_round()

    async def stop(self) -> None:
        """Close the links."""
        await self.transport.stop()

    def set_seeds(self, seed_ips: tuple[str, ...]) -> None:
        """Set where to look for instances while few are known."""
        seeds = {f"{ip}:{self.settings.peer_port}" for ip in seed_ips}
        self.seeds = seeds - {self.address}

    def is_hub(self) -> bool:
        """Whether this instance is the hub of its data centre."""
        return self.members.is_hub()

    def is_settled_hub(self) -> bool:
        """Whether it has been the hub for long enough that others agree."""
        age_s = self.app.clock.monotonic() - self.hub_since_s
        return self.is_hub() and age_s >= HUB_SETTLED_S

    def count_instances(self) -> int:
        """Return the instances known, this one included."""
        return self.reachability.count(self.app.clock.monotonic())[1]

    def reachable_share(self) -> float:
        """Return the share of the known instances that are heard now."""
        return self.reachability.share(self.app.clock.monotonic())

    def all_reported_since(self, at_s: float) -> bool:
        """Whether all instances told their news after a time, on this clock."""
        return self.reachability.all_reported_since(at_s)

    def local_peers(self) -> list[str]:
        """Return the addresses of the other instances of this data centre."""
        return [it.card.address for it in self.members.local() if not it.is_suspected]

    def send_to_local_peers(self, content: bytes) -> None:
        """Send a message to the other instances of this data centre."""
        for address in self.local_peers():
            self.transport.post(address, content)

    def receive(self, content: bytes) -> None:
        """Give a message to what its first byte stands for."""
        handle = self.handlers.get(content[0]) if content else None
        if handle is not None:
            handle(content)

    def send_round(self) -> None:
        """Tell this instance's news to those that pass them on."""
        for address, content in self._make_round():
            self.transport.post(address, content)

    async def _run(self) -> None:
        while True:
            posts = self._make_round()
            interval_s = self._interval_s()
            n_steps = max(-(-len(posts) // N_SENT_AT_ONCE), 1)
            for step in range(n_steps):
                # Spread over the interval: a burst would hold up callers' packets.
                for address, content in posts[step::n_steps]:
                    self.transport.post(address, content)
                spread = 0.9 + 0.2 * self.app.rng.random()
                await self.app.clock.sleep(interval_s / n_steps * spread)

    def _interval_s(self) -> float:
        """Return the time between two rounds."""
        n_local = 1 + len(self.members.local())
        options = self.options
        return options.interval_s + n_local * options.interval_per_instance_s

    def _make_round(self) -> list[tuple[str, bytes]]:
        """Return the messages of a round and whom they go to."""
        now_s = self.app.clock.monotonic()
        self._forget(now_s)
        self._update_hub(now_s)
        # A report to an instance that is no hub asks whom to turn to.
        addresses = [] if self.reachability.is_complete(now_s) else sorted(self.seeds)
        posts = []
        if self.is_hub():
            posts += self._hub_posts(now_s)
        else:
            addresses.append(self.hub_address)
        if addresses:
            report = self._make_report()
            posts += [(address, report) for address in addresses]
        return posts

    def _hub_posts(self, now_s: float) -> list[tuple[str, bytes]]:
        summary = SUMMARY_KIND + msgspec.msgpack.encode(self._make_summary(now_s))
        posts = [(card.address, summary) for card in self.members.other_hubs()]
        local = self.members.local()
        if local:
            digest = DIGEST_KIND + msgspec.msgpack.encode(self._make_digest())
            posts += [(it.card.address, digest) for it in local]
        return posts

    def _make_report(self) -> bytes:
        report = Report(**self._header())
        if self.state_handler is not None:
            self.state_handler.fill_report(report)
        return REPORT_KIND + msgspec.msgpack.encode(report)

    def _make_summary(self, now_s: float) -> Summary:
        n_heard, n_known = self.members.count_local(now_s)
        summary = Summary(
            **self._header(),
            n_heard=n_heard,
            n_known=n_known,
            hubs=self.members.other_hubs(),
        )
        if self.state_handler is not None:
            self.state_handler.fill_summary(summary)
        return summary

    def _make_digest(self) -> Digest:
        now_s = self.app.clock.monotonic()
        heard = [it for it in self.members.local() if it.is_reachable(now_s)]
        n_heard, n_known = self.reachability.count(now_s)
        addresses = {it.card.address for it in heard}
        digest = Digest(
            **self._header(),
            n_heard=n_heard,
            n_known=n_known,
            numbers={it: n for it, n in self.numbers.items() if it in addresses},
            cards=cards_of(heard) if self.n_sent % CARDS_EVERY == 0 else None,
            hubs=self.members.other_hubs(),
        )
        if self.state_handler is not None:
            self.state_handler.fill_digest(digest)
        return digest

    def _header(self) -> dict[str, Any]:
        return {
            "card": self.members.me,
            "instance": self.settings.instance,
            "life": self.life,
            "number": self.n_sent,
        }

    def _update_hub(self, now_s: float) -> None:
        """Suspect hubs that are silent, and take note of a change."""
        self.n_sent += 1
        limit_s = max(HUB_SILENT_S, HUB_SILENT_ROUNDS * self._interval_s())
        if self.hub_address and self.hub_address != self.address:
            last_seen_s = max(self.reachability.digest_s, self.hub_since_s)
            if now_s - last_seen_s > limit_s:
                logger.info(
                    "Hub silent.",
                    extra={
                        "address": self.hub_address,
                        "silent_s": round(now_s - last_seen_s, 2),
                    },
                )
                self.members.suspect(self.hub_address)
        for card in self.members.other_hubs():
            member = self.members.known[card.address]
            if (
                now_s - max(member.last_seen_s or 0.0, member.trusted_s)
                > MEMBER_TIMEOUT_S
            ):
                self.members.suspect(card.address)
        self._note_hub(now_s)

    def _note_hub(self, now_s: float) -> None:
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

    def _forget(self, now_s: float) -> None:
        """Drop instances that have been silent for long."""
        for member in self.members.forget(now_s):
            self.numbers.pop(member.card.address, None)
            logger.info("Instance forgotten.", extra={"address": member.card.address})
        for name in self.reachability.forget_centres():
            logger.info("Data centre forgotten.", extra={"data_centre": name})

    def _introduce(self, to: Card, cards: list[Card]) -> None:
        message = Introduction(
            card=self.members.me,
            cards=[card for card in cards if card.address != to.address],
        )
        content = INTRODUCTION_KIND + msgspec.msgpack.encode(message)
        self.transport.post(to.address, content)

    def _introduce_others(self, to: Card) -> None:
        """Tell an instance the hubs, and whom else it has in its data centre."""
        own = self.members.hub(self.settings.data_centre)
        assert own is not None
        there = self.members.of_data_centre(to.data_centre)
        neighbours = [it.card for it in there if not it.is_suspected]
        self._introduce(to, [own, *self.members.other_hubs(), *neighbours])

    def _take_report(self, report: Report) -> None:
        now_s = self.app.clock.monotonic()
        is_local = report.card.data_centre == self.settings.data_centre
        self._hear(report, now_s)
        if not is_local or not self.is_hub():
            self._introduce_others(report.card)
            return
        self.numbers[report.card.address] = report.number
        if self.state_handler is not None:
            self.state_handler.apply_report(report, now_s)

    def _take_digest(self, digest: Digest) -> None:
        now_s = self.app.clock.monotonic()
        self._hear(digest, now_s)
        for card in digest.hubs:
            self.members.record_listed(card, now_s)
        if digest.cards is not None:
            self._take_cards(digest.cards, now_s)
        self._note_hub(now_s)
        if self.is_hub():
            return  # its sender follows this instance once it has heard it
        if digest.card.address != self.hub_address:
            self._introduce_others(digest.card)
            return
        self.reachability.note_digest(digest, now_s)
        if self.state_handler is not None:
            self.state_handler.apply_digest(digest, now_s)

    def _take_cards(self, cards: list[Card], now_s: float) -> None:
        """Take in which instances of the data centre its hub hears."""
        named = {card.address for card in cards}
        for card in cards:
            self.members.record_listed(card, now_s)
            self.members.trust(card.address, now_s)
        for member in self.members.local():
            if member.card.address not in named and not member.is_reachable(now_s):
                member.is_suspected = True

    def _take_summary(self, summary: Summary) -> None:
        now_s = self.app.clock.monotonic()
        self._hear(summary, now_s)
        for card in summary.hubs:
            self.members.record_listed(card, now_s)
        self._note_hub(now_s)
        if not self.is_hub():
            self._introduce_others(summary.card)
            return
        self.reachability.note_summary(summary, now_s)
        if self.state_handler is not None:
            self.state_handler.apply_summary(summary, now_s)

    def _take_introduction(self, message: Introduction) -> None:
        now_s = self.app.clock.monotonic()
        self.members.record_message(message.card, now_s)
        for card in message.cards:
            self.members.record_listed(card, now_s)
            if card.data_centre != self.settings.data_centre:
                self.members.trust(card.address, now_s)
        self._note_hub(now_s)

    def _hear(self, message: Report | Digest | Summary, now_s: float) -> Member:
        before = self.members.known.get(message.card.address)
        silent_s = None
        if before is not None and before.last_seen_s is not None:
            silent_s = round(now_s - before.last_seen_s, 2)
        is_news = (
            before is None
            or not before.is_reachable(now_s)
            or before.life != message.life
        )
        member = self.members.record_message(message.card, now_s)
        member.instance, member.life = message.instance, message.life
        if is_news:
            logger.info(
                "Instance heard.",
                extra={
                    "instance": message.instance,
                    "address": message.card.address,
                    "silent_s": silent_s,
                    "life": message.life,
                },
            )
        return member
