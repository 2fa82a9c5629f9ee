"""What instances tell each other several times a second.

Every instance sends its load, what it admitted and what it counted to all others.
News are totals since its start, so that a frame that is lost or comes twice does no
harm. Addresses come from the settings, the store and the frames themselves.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import msgspec

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.moves.counts import CountsRow
from lagoonring.peers.metrics import PeersMetrics
from lagoonring.peers.transport import NngTransport
from lagoonring.serving.moves import MoveView
from lagoonring.settings.validators import between

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lagoonring.kernel import Application
    from lagoonring.peers.transport import Transport
    from lagoonring.serving.settings import NodeSettings

FRAME_KIND = b"F"
SILENT_S = 1.5  # several intervals; a shorter one takes slow machines for cut off
ALONE_S = 1.0  # several rounds; after it there is probably no other instance
START_SHARE = 1 / 8  # as in a deployment of the usual size, started all at once
N_PEERS_TOLD = 4  # in a frame; all are known after a few rounds
N_SENT_AT_ONCE = 8  # frames of about 1 kB, 6 ms of a link of 10 Mbit/s
FORGET_S = 30.0  # longer than cuts between data centres usually last

logger = make_logger("exchange")


@attrs.frozen(kw_only=True)
class ExchangeOptions:
    """Options of the exchange; those of `NngTransport` besides.

    Parameters
    ----------
    interval_s : float
        Time between two frames to each other instance.
    interval_per_instance_s : float
        Added for each instance, so that frames don't grow with their square.
    """

    address: str
    interval_s: float = attrs.field(default=0.15, validator=between(0.01, 60))
    interval_per_instance_s: float = attrs.field(default=0.01, validator=between(0, 1))
    connect_timeout_s: float = attrs.field(default=0.5, validator=between(0.01, 60))
    idle_link_s: float = attrs.field(default=60.0, validator=between(1, 3600))
    frame_limit_bytes: int = attrs.field(
        default=1 << 20, validator=between(4096, 1 << 24)
    )


@attrs.define(kw_only=True)
class Frame:
    """One instance's news; ``life`` tells one start of it from the next.

    ``loads`` holds requests in progress and prompt tokens waiting by endpoint,
    ``taken`` what was admitted by organisation, ``started`` the requests begun by
    window and organisation, ``crashes`` endpoints by fingerprint of a request,
    ``demand`` seconds of endpoint time that arrive per second by service,
    ``versions`` the counts of moves and ``moves``
    their views by service. ``time_s`` is the wall clock,
    ``read_well_for_s`` for how long the store could be read.
    """

    instance: str
    life: int
    data_centre: str
    address: str
    time_s: float
    read_well_for_s: float = 0.0
    peers: dict[str, str] = attrs.field(factory=dict)
    loads: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    taken: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    started: dict[int, dict[str, int]] = attrs.field(factory=dict)
    crashes: dict[str, list[str]] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    versions: dict[str, CountsRow] = attrs.field(factory=dict)
    moves: dict[str, MoveView] = attrs.field(factory=dict)


@attrs.define
class Peer:
    """Another instance; times on the monotonic clock."""

    address: str
    data_centre: str = ""
    life: int = 0
    heard_s: float | None = None
    noted_s: float = 0.0

    def is_heard(self, now_s: float) -> bool:
        """Whether the instance was heard lately."""
        return self.heard_s is not None and now_s - self.heard_s < SILENT_S


class Exchange(BaseService):
    """Sends and receives frames.

    Attributes
    ----------
    fillers, takers : list of callable
        Put this instance's news into a frame, and take in those of others.
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
        address = f"{settings.ip}:{settings.peer_port}"
        self.options = options or ExchangeOptions(address=address)
        self.transport = transport or NngTransport(
            app.clock, self.options, PeersMetrics(app.find("metrics").registry)
        )
        self.address = address
        self.life = app.rng.getrandbits(53)
        self.started_s = app.clock.monotonic()
        self.peers: dict[str, Peer] = {}
        self.seeds: set[str] = set()
        self.set_seeds(settings.seed_ips)
        self.fillers: list[Callable[[Frame], None]] = []
        self.takers: list[Callable[[Frame, float], None]] = []
        self.handlers: dict[int, Callable[[bytes], None]] = {
            FRAME_KIND[0]: self.take_frame
        }

    async def start(self) -> None:
        """Listen and begin to send."""
        await self.transport.start(self.receive)
        self.app.spawn("exchange", self._run)

    async def stop(self) -> None:
        """Close the links."""
        await self.transport.stop()

    def set_seeds(self, seed_ips: tuple[str, ...]) -> None:
        """Set where to look for instances while few are known."""
        self.seeds = {f"{ip}:{self.settings.peer_port}" for ip in seed_ips}

    def note_address(self, instance: str, address: str) -> None:
        """Learn where an instance listens."""
        if instance == self.settings.instance:
            return
        peer = self.peers.get(instance)
        now_s = self.app.clock.monotonic()
        if peer is None:
            self.peers[instance] = Peer(address, noted_s=now_s)
        elif peer.address != address:
            peer.address = address
            peer.noted_s = now_s

    def count_instances(self) -> int:
        """Return the instances known, this one included."""
        n_heard = sum(peer.heard_s is not None for peer in self.peers.values())
        return 1 + n_heard

    def share_heard(self) -> float:
        """Return the share of the known instances that are heard now.

        A process that has just started assumes others that it has not heard yet.
        """
        n_heard, n_known = 1, 1
        now_s = self.app.clock.monotonic()
        is_alone = all(peer.heard_s is None for peer in self.peers.values())
        if is_alone and now_s - self.started_s < ALONE_S:
            return START_SHARE
        for peer in self.peers.values():
            if peer.heard_s is None:
                continue
            n_known += 1
            n_heard += peer.is_heard(now_s)
        return n_heard / n_known

    def heard_lately(self) -> list[str]:
        """Return the names of the instances heard now, this one included."""
        now_s = self.app.clock.monotonic()
        names = [name for name, peer in self.peers.items() if peer.is_heard(now_s)]
        return sorted([*names, self.settings.instance])

    def local_peers(self) -> list[str]:
        """Return the other instances of this data centre that are heard now."""
        now_s = self.app.clock.monotonic()
        return [
            name
            for name, peer in self.peers.items()
            if peer.data_centre == self.settings.data_centre and peer.is_heard(now_s)
        ]

    def send_to_local_peers(self, content: bytes) -> None:
        """Send a message to the other instances of this data centre."""
        for name in self.local_peers():
            self.transport.post(self.peers[name].address, content)

    def receive(self, content: bytes) -> None:
        """Give a message to what its first byte stands for."""
        handle = self.handlers.get(content[0]) if content else None
        if handle is not None:
            handle(content)

    def take_frame(self, content: bytes) -> None:
        """Take in a frame."""
        try:
            frame = msgspec.msgpack.decode(content[1:], type=Frame)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning(
                "Dropped a frame that can't be read.", extra={"error": str(error)}
            )
            return
        if frame.instance == self.settings.instance:
            return
        now_s = self.app.clock.monotonic()
        self.note_address(frame.instance, frame.address)
        peer = self.peers[frame.instance]
        if not peer.is_heard(now_s) or peer.life != frame.life:
            logger.info(
                "Instance heard.",
                extra={
                    "instance": frame.instance,
                    "address": frame.address,
                    "silent_s": None
                    if peer.heard_s is None
                    else round(now_s - peer.heard_s, 2),
                    "life": frame.life,
                },
            )
        peer.life = frame.life
        peer.data_centre = frame.data_centre
        peer.heard_s = now_s
        for name, address in frame.peers.items():
            if name not in self.peers:
                self.note_address(name, address)
        for take in self.takers:
            take(frame, now_s)

    def make_frame(self) -> Frame:
        """Return this instance's news."""
        now_s = self.app.clock.monotonic()
        frame = Frame(
            instance=self.settings.instance,
            life=self.life,
            data_centre=self.settings.data_centre,
            address=self.address,
            time_s=self.app.clock.time(),
            peers=self._sample_peers(now_s),
        )
        for fill in self.fillers:
            fill(frame)
        return frame

    def send_round(self) -> None:
        """Send the news to all instances known."""
        self._send(self._addresses())

    def _send(self, addresses: Sequence[str]) -> None:
        content = FRAME_KIND + msgspec.msgpack.encode(self.make_frame())
        for address in addresses:
            self.transport.post(address, content)

    def _addresses(self) -> list[str]:
        addresses = {peer.address for peer in self.peers.values()}
        if len(addresses) < len(self.seeds):
            addresses |= self.seeds
        addresses.discard(self.address)
        return sorted(addresses)

    def _sample_peers(self, now_s: float) -> dict[str, str]:
        """Return a few of the instances heard, so that all are found in time."""
        heard = [name for name, peer in self.peers.items() if peer.is_heard(now_s)]
        chosen = self.app.rng.sample(heard, min(N_PEERS_TOLD, len(heard)))
        return {name: self.peers[name].address for name in chosen}

    async def _run(self) -> None:
        while True:
            self._forget()
            addresses = self._addresses()
            interval_s = self.options.interval_s
            interval_s += len(addresses) * self.options.interval_per_instance_s
            n_steps = max(math.ceil(len(addresses) / N_SENT_AT_ONCE), 1)
            for step in range(n_steps):
                # Spread over the interval: a burst would hold up callers' packets.
                self._send(addresses[step::n_steps])
                spread = 0.9 + 0.2 * self.app.rng.random()
                await self.app.clock.sleep(interval_s / n_steps * spread)

    def _forget(self) -> None:
        """Drop instances that have been silent for long."""
        now_s = self.app.clock.monotonic()
        for name, peer in list(self.peers.items()):
            since_s = peer.noted_s if peer.heard_s is None else peer.heard_s
            if now_s - since_s > FORGET_S:
                del self.peers[name]
                logger.info("Instance forgotten.", extra={"instance": name})
