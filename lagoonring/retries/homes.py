"""Finds and asks the home instance of a key over the peers' links.

The home is found in two steps of rendezvous hashing: a data centre among those
that answer, then an instance in it. Since an instance knows only a few contacts
in other data centres, a contact there forwards to the home.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.retries.messages import (
    AttemptAnswer,
    AttemptAsk,
    AttemptEnd,
    AttemptEnds,
)
from lagoonring.routing.prefixes import hash_name, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable

ASK_METHOD = "quarantine_ask"
END_METHOD = "quarantine_end"
N_HOPS_MOST = 2
ALIVE = "alive"

logger = make_logger("retries")

encode = msgspec.msgpack.encode
ask_decoder = msgspec.msgpack.Decoder(AttemptAsk)
answer_decoder = msgspec.msgpack.Decoder(AttemptAnswer)
ends_decoder = msgspec.msgpack.Decoder(AttemptEnds)


class HomeUnreachableError(LagoonringError, ConnectionError):
    """The home of a fingerprint did not answer."""

    code = "home_unreachable"
    status = 503


class Homes:
    """Asks homes, and answers as one.

    Until it serves peers, this instance is the home of everything.

    Parameters
    ----------
    on_ask, on_end : callable
        What to do as a home.
    call_timeout_s : float
        Longest wait for an answer, in seconds.
    """

    def __init__(
        self,
        *,
        on_ask: Callable[[AttemptAsk], AttemptAnswer],
        on_end: Callable[[AttemptEnd], None],
        call_timeout_s: float,
    ) -> None:
        self.peers: Any = None
        self.on_ask = on_ask
        self.on_end = on_end
        self.call_timeout_s = call_timeout_s
        self.data_centres: dict[int, str] = {}
        self.instances: dict[str, dict[int, str]] = {}

    def serve(self, peers: Any) -> None:
        """Ask the peers, and answer their calls, from now on."""
        self.peers = peers
        self.refresh()
        peers.serve(ASK_METHOD, self._serve_ask)
        peers.serve(END_METHOD, self._serve_end)

    def refresh(self) -> None:
        """Use the peers' present members to find homes."""
        if self.peers is None:
            return
        me = self.peers.me
        names: dict[str, set[str]] = {me.data_centre: {me.instance}}
        for member in self.peers.members():
            if getattr(member.state, "value", member.state) == ALIVE:
                names.setdefault(member.data_centre, set()).add(member.instance)
        self.data_centres = {hash_name(name): name for name in names}
        self.instances = {
            name: {hash_name(instance): instance for instance in instances}
            for name, instances in names.items()
        }

    def find(self, key: str) -> str:
        """Return the next instance on the way to a key's home.

        Empty if that is this instance.
        """
        if self.peers is None:
            return ""
        key_hash = hash_name(key)
        data_centre = _pick(key_hash, self.data_centres)
        instance = _pick(key_hash, self.instances[data_centre])
        return "" if instance == self.peers.me.instance else instance

    async def ask(self, ask: AttemptAsk) -> AttemptAnswer:
        """Ask the home of ``ask.key``.

        Raises
        ------
        HomeUnreachableError
            If it did not answer in time.
        """
        instance = self.find(ask.key)
        if not instance or ask.n_hops >= N_HOPS_MOST:
            return self.on_ask(ask)
        try:
            payload = await self.peers.call(
                instance, ASK_METHOD, encode(ask), timeout_s=self.call_timeout_s
            )
            return answer_decoder.decode(payload)
        except (LagoonringError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            raise HomeUnreachableError(
                f"Got {error!r} from {instance}, expected the home's answer.",
                remedy="Send the request again after Retry-After.",
                retry_after_s=1.0,
            ) from error

    async def end(self, ends: list[AttemptEnd], *, n_hops: int = 0) -> None:
        """Tell homes how attempts ended; what is lost there expires."""
        by_instance: dict[str, list[AttemptEnd]] = {}
        for end in ends:
            instance = self.find(end.key) if n_hops < N_HOPS_MOST else ""
            if instance:
                by_instance.setdefault(instance, []).append(end)
            else:
                self.on_end(end)
        for instance, some in by_instance.items():
            message = AttemptEnds(ends=some, n_hops=n_hops + 1)
            try:
                await self.peers.call(
                    instance,
                    END_METHOD,
                    encode(message),
                    timeout_s=self.call_timeout_s,
                )
            except (LagoonringError, OSError, TimeoutError):
                logger.info("Home {} did not take the ends of attempts.", instance)

    async def _serve_ask(self, sender: str, payload: bytes) -> bytes:
        ask = ask_decoder.decode(payload)
        forwarded = attrs.evolve(ask, n_hops=ask.n_hops + 1)
        return encode(await self.ask(forwarded))

    async def _serve_end(self, sender: str, payload: bytes) -> bytes:
        message = ends_decoder.decode(payload)
        await self.end(message.ends, n_hops=message.n_hops)
        return b""


def _pick(key: int, names: dict[int, str]) -> str:
    """Return the name of greatest weight, from names by their hashes."""
    best = max(names, key=lambda name_hash: rendezvous_weight(key, name_hash))
    return names[best]
