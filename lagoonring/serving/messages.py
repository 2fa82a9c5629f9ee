"""What instances tell each other.

A *report* goes from an instance to the hub of its data centre, a *digest* from the
hub to its instances, a *summary* from a hub to the hubs of the other data centres.
Amounts are totals since the start of a process, so that a message that is lost or
comes twice does no harm.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, Protocol

import attrs
import msgspec

from lagoonring.logs import make_logger
from lagoonring.moves.counts import CountsRow
from lagoonring.serving.members import Card
from lagoonring.serving.moves import MoveView
from lagoonring.serving.usage import UsageRow

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_KIND = b"R"
DIGEST_KIND = b"D"
SUMMARY_KIND = b"C"
INTRODUCTION_KIND = b"I"

logger = make_logger("exchange")

Loads = dict[str, tuple[int, int]]  # requests running, tokens waiting, by endpoint
Taken = dict[str, tuple[float, float]]  # ever and in the window, by organisation


class Scope(enum.Enum):
    """Whose news a source stands for."""

    INSTANCE = "instance"  # one instance of this data centre
    DATA_CENTRE = "data_centre"  # all instances of another one
    OTHERS = "others"  # all instances but this one, as its hub tells


@attrs.frozen
class Source:
    """Where news come from; those of another life are another source's."""

    scope: Scope
    name: str
    life: int = 0

    @property
    def is_local(self) -> bool:
        """Whether it is one instance of this data centre."""
        return self.scope is Scope.INSTANCE


@attrs.define(kw_only=True)
class News:
    """What all kinds of messages hold.

    ``life`` tells one start of the sender from the next. ``time_s`` is the wall
    clock: the sender's own in a report, that of most instances else.
    ``read_well_for_s`` is for how long the store could be read, ``crashes`` holds
    endpoints by fingerprint of a request.
    """

    card: Card
    instance: str
    life: int
    number: int
    time_s: float = 0.0
    read_well_for_s: float = 0.0
    loads: Loads = attrs.field(factory=dict)
    taken: Taken = attrs.field(factory=dict)
    crashes: dict[str, list[str]] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Report(News):
    """One instance's news.

    ``started`` holds the requests begun by window and organisation, ``demand``
    seconds of endpoint time that arrive per second by service, ``versions`` the
    counts of moves by service.
    """

    started: dict[int, dict[str, int]] = attrs.field(factory=dict)
    demand: dict[str, float] = attrs.field(factory=dict)
    versions: dict[str, CountsRow] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Summary(News):
    """The news of a data centre, as its hub sums them up.

    ``usage`` holds rows that changed lately, ``versions`` counts of moves by
    instance and service.
    """

    n_heard: int
    n_known: int
    hubs: list[Card] = attrs.field(factory=list)
    demand: dict[str, float] = attrs.field(factory=dict)
    usage: dict[int, list[UsageRow]] = attrs.field(factory=dict)
    versions: dict[str, dict[str, CountsRow]] = attrs.field(factory=dict)
    moves: dict[str, MoveView] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Digest(News):
    """What a hub tells its instances: sums over all instances heard.

    ``numbers`` holds the number of the last report of each instance of the data
    centre that is in the sums, by address. ``cards`` names these instances; it is
    None in most digests.
    """

    n_heard: int
    n_known: int
    numbers: dict[str, int] = attrs.field(factory=dict)
    cards: list[Card] | None = None
    hubs: list[Card] = attrs.field(factory=list)
    moves: dict[str, MoveView] = attrs.field(factory=dict)


@attrs.define(kw_only=True)
class Introduction:
    """Names instances to one that does not know them."""

    card: Card
    cards: list[Card]


class StateHandler(Protocol):
    """Fills what this instance tells, and takes in what others tell."""

    def fill_report(self, report: Report) -> None:
        """Put this instance's news into a report."""

    def fill_summary(self, summary: Summary) -> None:
        """Put the sums over this data centre into a summary."""

    def fill_digest(self, digest: Digest) -> None:
        """Put the sums over all instances into a digest."""

    def apply_report(self, report: Report, now_s: float) -> None:
        """Take in the news of an instance of this data centre."""

    def apply_summary(self, summary: Summary, now_s: float) -> None:
        """Take in the sums over another data centre."""

    def apply_digest(self, digest: Digest, now_s: float) -> None:
        """Take in the sums over all instances."""

    def reset_peer_state(self, is_hub: bool) -> None:
        """Forget what was heard in the role before."""


def make_reader(
    kind: Any, address: str, take: Callable[[Any], None]
) -> Callable[[bytes], None]:
    """Return what decodes a kind of message and gives it to ``take``.

    Parameters
    ----------
    address : str
        Of this instance; what it sent itself is dropped.
    """
    decoder = msgspec.msgpack.Decoder(kind)

    def read(content: bytes) -> None:
        try:
            message = decoder.decode(memoryview(content)[1:])
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logger.warning(
                "Dropped a message that can't be read.", extra={"error": str(error)}
            )
            return
        if message.card.address != address:
            take(message)

    return read
