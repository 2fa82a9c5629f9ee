"""Finds the home instance of a key and sends it queries over the peers' links.

A key is a fingerprint or an endpoint that is used exclusively; its home decides
which attempts may start. The home is found by rendezvous hashing in two steps:
first a data centre among the reachable ones, then an instance in it. An
instance knows only a few contacts in other data centres, so a contact there
forwards the query to the home.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from lagoonring.errors import LagoonringError
from lagoonring.logs import make_logger
from lagoonring.retries.messages import (
    AttemptAnswer,
    AttemptEnd,
    AttemptEnds,
    AttemptQuery,
)
from lagoonring.routing.prefixes import hash_name, rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Callable

ASK_METHOD = "quarantine_ask"
END_METHOD = "quarantine_end"
MAX_HOPS = 2
ALIVE = "alive"

logger = make_logger("retries")

encode = msgspec.msgpack.encode
ask_decoder = msgspec.msgpack.Decoder(AttemptQuery)
answer_decoder = msgspec.msgpack.Decoder(AttemptAnswer)
ends_decoder = msgspec.msgpack.Decoder(AttemptEnds)


class HomeUnreachableError(LagoonringError, ConnectionError):
    """The home of a fingerprint did not answer."""

    code = "home_unreachable"
    status = 503


class Homes:
    """Sends queries to homes, and answers queries as a home.

    Until :meth:`serve` is called, this instance is the home of every key.

    Parameters
    ----------
    on_ask, on_end : callable
        Handlers of queries and ended attempts whose home is this instance.
    call_timeout_s : float
        Timeout of a call to another instance, in seconds.
    """

    def __init__(
        self,
        *,
        on_ask: Callable[[AttemptQuery], AttemptAnswer],
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
        """Start using the peers to find homes, and answering their calls."""
        self.peers = peers
        self.refresh()
        peers.serve(ASK_METHOD, self._handle_ask_call)
        peers.serve(END_METHOD, self._handle_end_call)

    def refresh(self) -> None:
        """Update the candidates for homes from the peers' current members."""
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

        Returns "" if that is this instance.
        """
        if self.peers is None:
            return ""
        key_hash = hash_name(key)
        data_centre = _find_greatest_weight(key_hash, self.data_centres)
        instance = _find_greatest_weight(key_hash, self.instances[data_centre])
        return "" if instance == self.peers.me.instance else instance

    async def ask(self, query: AttemptQuery) -> AttemptAnswer:
        """Ask the home of ``query.key``.

        Raises
        ------
        HomeUnreachableError
            If it did not answer in time.
        """
        instance = self.find(query.key)
        if not instance or query.n_hops >= MAX_HOPS:
            return self.on_ask(query)
        try:
            payload = await self.peers.call(
                instance, ASK_METHOD, encode(query), timeout_s=self.call_timeout_s
            )
            return answer_decoder.decode(payload)
        except (LagoonringError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            raise HomeUnreachableError(
                f"Got {error!r} from {instance}, expected the home's answer.",
                remedy="Send the request again after Retry-After.",
                retry_after_s=1.0,
            ) from error

    async def end(self, ends: list[AttemptEnd], *, n_hops: int = 0) -> None:
        """Report ended attempts to their homes.

        If a report is lost, the grant expires at the home.
        """
        by_instance: dict[str, list[AttemptEnd]] = {}
        for end in ends:
            instance = self.find(end.key) if n_hops < MAX_HOPS else ""
            if instance:
                by_instance.setdefault(instance, []).append(end)
            else:
                self.on_end(end)
        for instance, instance_ends in by_instance.items():
            message = AttemptEnds(ends=instance_ends, n_hops=n_hops + 1)
            try:
                await self.peers.call(
                    instance,
                    END_METHOD,
                    encode(message),
                    timeout_s=self.call_timeout_s,
                )
            except (LagoonringError, OSError, TimeoutError):
                logger.info("Reporting ended attempts to home {} failed.", instance)

    async def _handle_ask_call(self, sender: str, payload: bytes) -> bytes:
        query = ask_decoder.decode(payload)
        forwarded = attrs.evolve(query, n_hops=query.n_hops + 1)
        return encode(await self.ask(forwarded))

    async def _handle_end_call(self, sender: str, payload: bytes) -> bytes:
        message = ends_decoder.decode(payload)
        await self.end(message.ends, n_hops=message.n_hops)
        return b""


def _find_greatest_weight(key: int, names: dict[int, str]) -> str:
    """Return the name of greatest rendezvous weight, from names by hash."""
    best = max(names, key=lambda name_hash: rendezvous_weight(key, name_hash))
    return names[best]
