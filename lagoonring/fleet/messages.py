"""Records of the streams ``fleet-DATA_CENTRE`` and rows of the fleet."""

from __future__ import annotations

from typing import Literal

import attrs

from lagoonring.routing.messages import LeavingEndpoint

IntentState = Literal["wanted", "draining", "stopping", "closed"]
TOKEN_PREFIX = "lagoonring"


@attrs.frozen(kw_only=True)
class Intent:
    """What is wanted of one instance, written before the cloud is asked.

    Attributes
    ----------
    token : str
        Client token of the start; an intent stands for one instance ever.
    state : str
        ``wanted`` (start it, keep it), ``draining`` (no new work), ``stopping``
        (stop it) or ``closed`` (gone, refused or never started).
    since_s : float
        Epoch seconds of this state.
    instance : str
        Name that the cloud gave it, once known.
    reason : str
        Why the state changed, for operators.
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
class DemandNote:
    """Forecast demand of a data centre by entry, in busy slots.

    ``shapes`` are the days' shapes, so that another holder goes on with them;
    ``refused`` are goals and markets that refuse starts at ``time_s``.
    """

    demand: dict[str, float] = attrs.field(factory=dict)
    time_s: float = 0.0
    shapes: dict[str, list[float]] = attrs.field(factory=dict)
    refused: list[tuple[str, str]] = attrs.field(factory=list)


@attrs.frozen(kw_only=True)
class FleetRecord:
    """A record of the stream; one of the fields is set."""

    intent: Intent | None = None
    demand: DemandNote | None = None


@attrs.frozen(kw_only=True)
class FleetSnapshot:
    """Everything that the records of a stream amount to."""

    intents: list[Intent] = attrs.field(factory=list)
    demand: DemandNote | None = None


@attrs.frozen(kw_only=True)
class NoticeRow(LeavingEndpoint):
    """Row ``leaving`` of an endpoint whose instance will be reclaimed.

    A row without ``reclaim_s`` (epoch seconds) is a planned stop: the streams
    there may finish.
    """

    reclaim_s: float = 0.0


@attrs.frozen(kw_only=True)
class InstanceStatus:
    """What operators are shown of an instance."""

    goal: str
    entry: str
    data_centre: str
    instance_class: str
    market: str
    state: str
    instance: str
    reason: str


def make_token(data_centre: str, unique: str) -> str:
    """Return a client token that shows whose instance it is."""
    return f"{TOKEN_PREFIX}/{data_centre}/{unique}"


def is_own_token(token: str, data_centre: str) -> bool:
    """Return whether a token is one of this system's for a data centre."""
    return token.startswith(f"{TOKEN_PREFIX}/{data_centre}/")
