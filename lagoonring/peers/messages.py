"""What entry instances send each other, as data."""

from __future__ import annotations

import enum
import hashlib
from typing import Any

import attrs

from lagoonring.peers.wire import Codec, make_codec

ORIGIN_ID_BYTES = 5


class MessageKind(enum.IntEnum):
    """Kind of the payload of a frame."""

    SYNC = 1
    PUSH = 2
    CALL = 3
    ANSWER = 4


class AnswerStatus(enum.IntEnum):
    """What became of a call."""

    OK = 0
    FAILED = 1
    NOT_RUN = 2
    OTHER_LIFE = 3


class MemberState(enum.Enum):
    """What this instance knows of another one.

    ``UNREACHABLE`` members fell silent together with most of their data centre,
    so a partition is as likely as their death.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.frozen
class MemberRecord:
    """One life of an instance; a higher incarnation replaces a lower one."""

    instance: str
    data_centre: str
    region: str
    address: str
    http_address: str
    incarnation: int

    @property
    def origin_id(self) -> bytes:
        """Short identifier of this life in digests."""
        text = f"{self.instance} {self.incarnation}".encode()
        return hashlib.blake2s(text, digest_size=ORIGIN_ID_BYTES).digest()


@attrs.frozen(kw_only=True)
class Member:
    """A member as other parts see it; addresses are IP:port."""

    instance: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    state: MemberState
    http_address: str = ""


@attrs.frozen
class RowUpdate:
    """A row at a version; a value of None removes it. ``kind`` is a code."""

    kind: int
    name: str
    version: int
    value: bytes | None


@attrs.frozen
class OriginUpdate:
    """Rows of one origin with versions above ``from_tick`` up to ``to_tick``.

    The sender may have forgotten removals up to ``floor``; ``record`` is given
    when the receiver may not know the origin.
    """

    origin_id: bytes
    from_tick: int
    to_tick: int
    floor: int
    record: MemberRecord | None
    rows: list[RowUpdate]

    @property
    def is_full(self) -> bool:
        """Whether rows absent here do not exist at ``to_tick``."""
        return self.from_tick < self.floor


@attrs.frozen
class TableSync:
    """One step of the comparison of two tables.

    Attributes
    ----------
    origins_hash : bytes
        A hash of all origins if the pairs are in the short form, else empty.
    hashes : bytes
        A hash per bucket of origins, to be compared; empty if not asked.
    buckets : int
        Bit mask of the buckets that ``digest`` lists in full.
    digest : bytes
        Packed (origin id, tick) pairs that the sender has.
    wants : bytes
        Packed pairs after which the sender wants updates.
    ticks : bytes
        Packed pairs of origins without changed rows.
    updates : list of OriginUpdate
        Origins with changed rows.
    """

    origins_hash: bytes = b""
    hashes: bytes = b""
    buckets: int = 0
    digest: bytes = b""
    wants: bytes = b""
    ticks: bytes = b""
    updates: list[OriginUpdate] = attrs.field(factory=list)

    def is_empty(self) -> bool:
        """Return whether there is nothing to send."""
        return not (
            self.hashes or self.buckets or self.wants or self.ticks or self.updates
        )


@attrs.frozen
class Sync:
    """A step of a gossip round.

    ``member`` describes the sender in the first step, ``sample`` some members of
    its data centre for a partner in another one. ``receiver_incarnation`` is the
    receiver's newest life that the sender knows, ``is_receiver_dead`` says that
    the sender holds that life dead.
    """

    member: MemberRecord | None = None
    local: TableSync | None = None
    fleet: TableSync | None = None
    sample: list[MemberRecord] = attrs.field(factory=list)
    receiver_incarnation: int = 0
    is_receiver_dead: bool = False


@attrs.frozen
class Push:
    """Urgent rows of an origin; ``is_fleet`` names the table they belong to."""

    record: MemberRecord
    is_fleet: bool
    rows: list[RowUpdate]


@attrs.frozen
class Call:
    """A call for a life of the receiver; ``address`` takes the answer.

    An ``incarnation`` of 0 asks for the present life, and is not run.
    """

    call_id: int
    incarnation: int
    address: str
    method: str
    payload: bytes


@attrs.frozen
class Answer:
    """The answer to a call; the last four fields describe an error."""

    call_id: int
    status: int
    payload: bytes
    code: str = ""
    message: str = ""
    remedy: str = ""
    outcome: str = ""


CODECS: dict[MessageKind, Codec[Any]] = {
    MessageKind.SYNC: make_codec(Sync),
    MessageKind.PUSH: make_codec(Push),
    MessageKind.CALL: make_codec(Call),
    MessageKind.ANSWER: make_codec(Answer),
}
