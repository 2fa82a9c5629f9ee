"""Messages between instances.

A *report* goes from an instance to the hub of its data centre, a *digest* from the
hub to its instances, a *summary* from a hub to the hubs of the other data centres.
Amounts are cumulative since the start of a process, so that lost and duplicate
messages are harmless.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import msgspec

from lagoonring.decoding import DECODE_ERRORS
from lagoonring.logs import make_logger
from lagoonring.serving.members import Card
from lagoonring.serving.moves import MoveView
from lagoonring.serving.observations import ConditionRow, ObservationRow, TypicalRow
from lagoonring.serving.prompt_suspects import SuspectRows
from lagoonring.serving.relay_directory import RelayRows
from lagoonring.serving.statements import StatementRow
from lagoonring.serving.suspects import SuspectAges
from lagoonring.serving.usage import UsageRow
from lagoonring.serving.version_results import ResultsRow
from lagoonring.serving.warming import ColdRow

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_KIND = b"R"
DIGEST_KIND = b"D"
SUMMARY_KIND = b"C"
INTRODUCTION_KIND = b"I"

logger = make_logger("exchange")

# Running requests and waiting tokens by endpoint.
Loads = dict[str, tuple[int, int]]
# Amounts since the start and in the window, by organisation.
UsageTotals = dict[str, tuple[float, float]]


class Scope(enum.Enum):
    """Which instances a source covers."""

    INSTANCE = "instance"  # one instance of this data centre
    DATA_CENTRE = "data_centre"  # all instances of another data centre
    OTHERS = "others"  # all instances but this one, from the hub's digest


@attrs.frozen
class Source:
    """Origin of received state; each process of an instance is a separate source."""

    scope: Scope
    name: str
    life: int = 0

    @property
    def is_local(self) -> bool:
        """Return whether the source is an instance of this data centre."""
        return self.scope is Scope.INSTANCE


@attrs.define(kw_only=True)
class StateMessage:
    """Fields common to all kinds of state messages.

    ``life`` identifies the process of the sender and changes at each start. ``time_s``
    is the wall clock: the sender's own in a report, otherwise the median of several
    clocks. ``read_well_for_s`` is the time for which the sender could read the store
    without failure. ``crashes`` lists crashed endpoints by request fingerprint,
    ``suspects`` which requests are blocked and which turned out to be sound,
    ``statements`` what endpoints said of themselves, ``prompts`` what is known of
    parts of prompts that may crash endpoints, ``cold`` which endpoints are cold.
    ``received`` holds the numbers of the newest messages from those that a report or
    summary is sent to; None in digests and in messages of earlier releases.
    """

    card: Card
    instance: str
    life: int
    number: int
    received: dict[str, int] | None = None
    time_s: float = 0.0
    read_well_for_s: float = 0.0
    loads: Loads = attrs.field(factory=dict)
    taken: UsageTotals = attrs.field(factory=dict)
    crashes: dict[str, list[str]] = attrs.field(factory=dict)
    suspects: SuspectAges = ({}, {})
    statements: dict[str, StatementRow] = attrs.field(factory=dict)
    prompts: SuspectRows = ({}, {}, {})
    cold: dict[str, ColdRow] = attrs.field(factory=dict)

    def arrived_from(self, address: str) -> int | None:
        """Return the number of the newest message from an address that arrived.

        None if this message doesn't tell, and -1 if there was none.
        """
        return None if self.received is None else self.received.get(address, -1)


@attrs.define(kw_only=True)
class Report(StateMessage):
    """State of one instance.

    ``started`` counts the started requests by window and organisation, ``demand`` is
    the endpoint time in seconds requested per second by service, ``results``
    holds the results of moves by service, and ``observations`` the results by endpoint.
    ``unreached`` names the services to which the instance can't connect.
    """

    started: dict[int, dict[str, int]] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    results: dict[str, ResultsRow] = attrs.field(factory=dict)
    observations: dict[str, ObservationRow] = attrs.field(factory=dict)
    unreached: list[str] = attrs.field(factory=list)


@attrs.define(kw_only=True)
class Summary(StateMessage):
    """State of a data centre, summed up by its hub.

    ``n_heard`` and ``n_known`` are the numbers of reachable and of known instances.
    ``usage`` holds rows of recent windows, ``results`` those of moves by instance
    and service, and ``observations`` the results by endpoint. ``unreached`` names the
    services to which an instance can't connect, ``relays`` instances that can, by
    service, for those that any instance of the deployment does not reach.
    """

    n_heard: int
    n_known: int
    hubs: list[Card] = attrs.field(factory=list)
    demand: dict[str, float] = attrs.field(factory=dict)
    usage: dict[int, list[UsageRow]] = attrs.field(factory=dict)
    results: dict[str, dict[str, ResultsRow]] = attrs.field(factory=dict)
    observations: dict[str, ObservationRow] = attrs.field(factory=dict)
    moves: dict[str, MoveView] = attrs.field(factory=dict)
    unreached: list[str] = attrs.field(factory=list)
    relays: RelayRows = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Digest(StateMessage):
    """Sums over all reachable instances, sent by a hub to its instances.

    ``numbers`` holds, by address, the number of the last report of each local instance
    that the sums contain. ``cards`` lists these instances; it is None in most digests.
    ``conditions`` describes the endpoints that differ from the ``typical`` ones of
    their service, and ``relays`` names instances that reach the services that others
    do not reach.
    """

    n_heard: int
    n_known: int
    numbers: dict[str, int] = attrs.field(factory=dict)
    cards: list[Card] | None = None
    hubs: list[Card] = attrs.field(factory=list)
    moves: dict[str, MoveView] = attrs.field(factory=dict)
    conditions: dict[str, ConditionRow] = attrs.field(factory=dict)
    typical: dict[str, TypicalRow] = attrs.field(factory=dict)
    relays: RelayRows = attrs.field(factory=dict)

    def arrived_from(self, address: str) -> int | None:
        """Return the number of the newest report from an address that arrived."""
        return self.numbers.get(address, -1)


@attrs.define(kw_only=True)
class Introduction:
    """Cards of instances, sent to an instance that may not know them."""

    card: Card
    cards: list[Card]


class StateHandler(Protocol):
    """Fills outgoing messages with state and applies received ones."""

    def fill_report(self, report: Report) -> None:
        """Fill a report with the state of this instance."""

    def fill_summary(self, summary: Summary) -> None:
        """Fill a summary with the sums over this data centre."""

    def fill_digest(self, digest: Digest) -> None:
        """Fill a digest with the sums over all instances."""

    def apply_report(self, report: Report, now_s: float) -> None:
        """Apply the state of an instance of this data centre."""

    def apply_summary(self, summary: Summary, now_s: float) -> None:
        """Apply the sums over another data centre."""

    def apply_digest(self, digest: Digest, now_s: float) -> None:
        """Apply the sums over all instances."""

    def reset_peer_state(self, is_hub: bool) -> None:
        """Discard received state when the hub role changes."""


def make_handler(
    kind: Any, address: str, handle: Callable[[Any], None]
) -> Callable[[bytes], bool]:
    """Return a function that decodes a kind of message and calls ``handle``.

    It returns whether the message could be decoded.

    Parameters
    ----------
    address : str
        Address of this instance, whose own messages are ignored.
    """
    decoder = msgspec.msgpack.Decoder(kind)

    def read(content: bytes) -> bool:
        try:
            message = decoder.decode(memoryview(content)[1:])
        except DECODE_ERRORS as error:
            logger.warning(
                "Dropped an undecodable message.", extra={"error": str(error)}
            )
            return False
        if message.card.address != address:
            handle(message)
        return True

    return read
