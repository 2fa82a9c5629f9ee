"""Records of the streams ``fleet-DATA_CENTRE`` and rows of the fleet."""

from __future__ import annotations

from typing import Literal

import attrs

from lagoonring.routing.messages import LeavingEndpoint

IntentState = Literal["wanted", "draining", "stopping", "closed"]
TOKEN_PREFIX = "lagoonring"


@attrs.frozen(kw_only=True)
class Intent:
    """Desired state of one instance, logged before the cloud is called.

    Attributes
    ----------
    token : str
        Client token of the start; an intent never covers a second instance.
    state : str
        ``wanted`` (start and keep the instance), ``draining`` (no new requests),
        ``stopping`` (stop the instance) or ``closed`` (ended, refused or never
        started).
    since_s : float
        Epoch seconds at which this state began.
    instance : str
        Name assigned by the cloud; empty until known.
    reason : str
        Reason for the state, shown to operators.
    """

    token: str
    goal: str
    entry: str
    data_centre: str
    instance_class: str
    market: str
    state: IntentState = "wanted"
    since_s: float = 0.0
    instance: str = ""
    reason: str = ""


@attrs.frozen(kw_only=True)
class DemandReport:
    """Forecast demand of a data centre by entry, in busy slots.

    ``shapes`` holds the daily profiles, from which the next lease holder continues;
    ``refused`` holds the goals and markets that refused starts at ``time_s``.
    """

    demand: dict[str, float] = attrs.field(factory=dict)
    time_s: float = 0.0
    shapes: dict[str, list[float]] = attrs.field(factory=dict)
    refused: list[tuple[str, str]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class FleetRecord:
    """A record of the stream; exactly one of the fields is set."""

    intent: Intent | None = None
    demand: DemandReport | None = None


@attrs.frozen(kw_only=True)
class FleetSnapshot:
    """Part of a snapshot of the state that a stream's records give."""

    intents: list[Intent] = attrs.field(factory=list)
    demand: DemandReport | None = None


@attrs.frozen(kw_only=True)
class NoticeRow(LeavingEndpoint):
    """Row of kind ``leaving`` for an endpoint whose instance will be reclaimed.

    A row without ``reclaim_s`` (epoch seconds) announces a planned stop, for which
    streams at the endpoint may finish.
    """

    reclaim_s: float = 0.0


@attrs.frozen(kw_only=True)
class InstanceStatus:
    """Status of an instance as shown to operators."""

    goal: str
    entry: str
    data_centre: str
    instance_class: str
    market: str
    state: str
    instance: str
    reason: str


def make_token(data_centre: str, unique: str) -> str:
    """Return a client token that identifies this system and the data centre."""
    return f"{TOKEN_PREFIX}/{data_centre}/{unique}"


def is_own_token(token: str, data_centre: str) -> bool:
    """Return whether this system made a token for a data centre."""
    return token.startswith(f"{TOKEN_PREFIX}/{data_centre}/")
