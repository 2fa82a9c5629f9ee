"""Options of membership, gossip and calls between entry instances."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.settings.validators import between, is_name, matches

if TYPE_CHECKING:
    from collections.abc import Callable

ADDRESS_PATTERN = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}")
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 32
MEBIBYTE = 1 << 20


def is_address() -> Callable[[Any, Any, Any], None]:
    """Accept an IP address and port, such as ``127.0.0.1:8701``."""
    return matches(ADDRESS_PATTERN, "IP:port such as 127.0.0.1:8701")


def are_keys() -> Callable[[Any, Any, Any], None]:
    """Accept a list of one or more keys of 16 to 32 bytes."""

    def validate(instance: Any, attribute: Any, value: Any) -> None:
        sizes = [len(key.encode()) for key in value]
        fit = [MIN_KEY_BYTES <= size <= MAX_KEY_BYTES for size in sizes]
        if not fit or not all(fit):
            raise ValueError(
                f"got {len(sizes)} keys of {sizes} bytes, expected at least one, "
                f"each of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes"
            )

    return validate


@attrs.frozen(kw_only=True)
class SeedMember:
    """An entry instance given by the settings or the platform's list.

    ``address`` is the IP:port at which it listens for peers, ``http_address`` the
    one for callers.
    """

    instance: str = attrs.field(validator=is_name())
    data_centre: str = attrs.field(validator=is_name())
    address: str = attrs.field(validator=is_address())
    region: str = ""
    http_address: str = ""


@attrs.frozen(kw_only=True)
class PeersOptions:
    """Options of gossip and calls between peers; times in seconds.

    Attributes
    ----------
    address : str
        IP:port to listen on and to advertise; port 0 selects a free port.
    keys : list of str
        Shared secrets. The first key signs and all keys are accepted. To rotate,
        append the new key on all instances, then move it to the front.
    round_s : float
        Mean interval between gossip rounds.
    suspect_after_s, dead_after_s : float
        Time without an update after which a member is suspect, and dead or
        unreachable.
    unreachable_keep_s : float
        How long unreachable members of a silent data centre are retained.
    pause_s : float
        Delay of a round above which the process is considered to have paused.
    coalesce_s : float
        Minimum time between two versions of a coalesced row.
    refresh_s, expire_s : float
        Interval at which an origin refreshes its fleet rows, and time without a
        refresh after which they are removed.
    n_contacts : int
        Number of contacts in each other data centre.
    remote_round_s, fleet_round_s : float
        Interval between comparisons of fleet rows with another data centre, and
        within this one.
    """

    address: str = attrs.field(default="127.0.0.1:0", validator=is_address())
    keys: list[str] = attrs.field(validator=are_keys(), repr=False)
    seeds: list[SeedMember] = attrs.field(factory=list)
    round_s: float = attrs.field(default=0.5, validator=between(0.01, 60))
    n_partners: int = attrs.field(default=1, validator=between(1, 4))
    n_contacts: int = attrs.field(default=3, validator=between(1, 16))
    remote_round_s: float = attrs.field(default=4.0, validator=between(0.01, 600))
    fleet_round_s: float = attrs.field(default=4.0, validator=between(0.01, 600))
    seeds_interval_s: float = attrs.field(default=10.0, validator=between(0.01, 600))
    suspect_after_s: float = attrs.field(default=6.0, validator=between(0.05, 600))
    dead_after_s: float = attrs.field(default=30.0, validator=between(0.1, 3600))
    unreachable_keep_s: float = attrs.field(default=3600.0, validator=between(1, 86400))
    pause_s: float = attrs.field(default=4.0, validator=between(0.05, 600))
    coalesce_s: float = attrs.field(default=2.0, validator=between(0, 60))
    refresh_s: float = attrs.field(default=300.0, validator=between(0.1, 3600))
    expire_s: float = attrs.field(default=1800.0, validator=between(0.5, 86400))
    connect_timeout_s: float = attrs.field(default=2.0, validator=between(0.01, 60))
    idle_link_s: float = attrs.field(default=120.0, validator=between(1, 3600))
    frame_limit_bytes: int = attrs.field(
        default=MEBIBYTE, validator=between(4096, 16 * MEBIBYTE)
    )
    row_limit_bytes: int = attrs.field(
        default=64 * 1024, validator=between(64, MEBIBYTE)
    )
    table_limit_bytes: int = attrs.field(
        default=2 * MEBIBYTE, validator=between(4096, 256 * MEBIBYTE)
    )
    table_limit_rows: int = attrs.field(
        default=20_000, validator=between(16, 1_000_000)
    )
    n_calls_most: int = attrs.field(default=256, validator=between(1, 65_536))
