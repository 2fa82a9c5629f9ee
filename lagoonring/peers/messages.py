"""Messages exchanged between entry instances."""

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
    """Status of the answer to a call."""

    OK = 0
    FAILED = 1
    NOT_RUN = 2
    WRONG_INCARNATION = 3


class MemberState(enum.Enum):
    """State of a member as seen by this instance.

    ``UNREACHABLE`` members became silent together with most of their data centre,
    so a partition is as likely as their failure.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    DEAD = "dead"
    LEAVING = "leaving"


@attrs.frozen
class MemberRecord:
    """One incarnation of an instance; a higher one replaces a lower one."""

    instance: str
    data_centre: str
    region: str
    address: str
    http_address: str
    incarnation: int

    @property
    def origin_id(self) -> bytes:
        """Short identifier of this incarnation, used in digests."""
        text = f"{self.instance} {self.incarnation}".encode()
        return hashlib.blake2s(text, digest_size=ORIGIN_ID_BYTES).digest()


@attrs.frozen(kw_only=True)
class Member:
    """Public view of a member; addresses are IP:port."""

    instance: str
    data_centre: str
    region: str
    address: str
    incarnation: int
    state: MemberState
    http_address: str = ""


@attrs.frozen
class RowUpdate:
    """A version of a row; a value of None removes it.

    ``kind`` is the code of a row kind.
    """

    kind: int
    name: str
    version: int
    value: bytes | None


@attrs.frozen
class OriginUpdate:
    """Rows of one origin with versions above ``from_tick`` up to ``to_tick``.

    The sender may have pruned removed rows up to ``floor``. ``record`` is included
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
        """Return whether rows absent from ``rows`` do not exist at ``to_tick``."""
        return self.from_tick < self.floor


@attrs.frozen
class TableSync:
    """One message in the comparison of two tables.

    Attributes
    ----------
    origins_hash : bytes
        Hash of all origin identifiers if pairs are in the short form, else empty.
    hashes : bytes
        One hash per bucket of origins, to be compared; empty if not requested.
    buckets : int
        Bit mask of the buckets for which ``digest`` is complete.
    digest : bytes
        Packed (origin id, tick) pairs held by the sender.
    wants : bytes
        Packed pairs; the sender requests the updates after these ticks.
    ticks : bytes
        Packed pairs of origins without changed rows.
    updates : list of OriginUpdate
        Updates of origins with changed rows.
    """

    origins_hash: bytes = b""
    hashes: bytes = b""
    buckets: int = 0
    digest: bytes = b""
    wants: bytes = b""
    ticks: bytes = b""
    updates: list[OriginUpdate] = attrs.field(factory=list)

    def is_empty(self) -> bool:
        """Return whether the message has no content and need not be sent."""
        return not (
            self.hashes or self.buckets or self.wants or self.ticks or self.updates
        )


@attrs.frozen
class Sync:
    """A message of a gossip round.

    ``member`` describes the sender in the first message, ``sample`` lists some
    members of its data centre for a partner in another one.
    ``receiver_incarnation`` is the newest incarnation of the receiver that the
    sender knows; ``is_receiver_dead`` is set if the sender considers it dead.
    """

    member: MemberRecord | None = None
    local: TableSync | None = None
    fleet: TableSync | None = None
    sample: list[MemberRecord] = attrs.field(factory=list)
    receiver_incarnation: int = 0
    is_receiver_dead: bool = False


@attrs.frozen
class RowPush:
    """Pushed urgent rows of an origin.

    ``is_fleet`` selects the fleet table instead of the local one.
    """

    record: MemberRecord
    is_fleet: bool
    rows: list[RowUpdate]


@attrs.frozen
class Call:
    """A call to one incarnation of the receiver.

    The answer is sent to ``address``. A call with ``incarnation`` 0 is not run; its
    answer reveals the current incarnation.
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
    MessageKind.PUSH: make_codec(RowPush),
    MessageKind.CALL: make_codec(Call),
    MessageKind.ANSWER: make_codec(Answer),
}
