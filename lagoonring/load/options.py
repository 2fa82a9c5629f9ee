"""Settings of a load run: who asks for what, how often, and what goes wrong."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.settings.validators import between, is_url, one_of, optional

DAY_S = 86_400.0
MANY = 1_000_000_000
METHODS = ("DELETE", "GET", "PATCH", "POST", "PUT")


@attrs.frozen(kw_only=True)
class EntryTarget:
    """An entry instance that callers may reach."""

    instance: str
    data_centre: str
    url: str = attrs.field(validator=is_url())


@attrs.frozen(kw_only=True)
class EndpointTarget:
    """An endpoint stand-in whose counts are read.

    ``price_per_hour`` is used where no cloud tells the bill.
    """

    url: str = attrs.field(validator=is_url())
    data_centre: str = ""
    price_per_hour: float = attrs.field(default=0.0, validator=between(0, MANY))


@attrs.frozen(kw_only=True)
class OrganisationLoad:
    """An organisation's key and its share of the load."""

    key: str = attrs.field(repr=False)
    weight: float = attrs.field(default=1.0, validator=between(0.001, 1000))


@attrs.frozen(kw_only=True)
class ClassTarget:
    """A class's latency target and the deadline that callers send."""

    first_token_ms: float = attrs.field(default=350.0, validator=between(1, 600_000))
    between_tokens_ms: float = attrs.field(default=58.0, validator=between(1, 60_000))
    deadline_ms: float = attrs.field(default=30_000.0, validator=between(1, 3_600_000))


@attrs.frozen(kw_only=True)
class ChatLoad:
    """Conversations with an assistant.

    Attributes
    ----------
    conversations_per_s : float
        Mean rate at which conversations begin, apart from peaks.
    n_turns_most : int
        Turns are drawn from 1 to this number.
    think_s : float
        Mean time from a turn's arrival to the next one's.
    system_bytes, question_bytes : int
        Sizes of texts; system prompts belong to an organisation.
    n_system_prompts : int
        System prompts of each organisation.
    n_tokens_least, n_tokens_most : int
        Tokens asked for.
    """

    entry: str
    service_class: str
    conversations_per_s: float = attrs.field(default=1.0, validator=between(0, 10_000))
    n_turns_most: int = attrs.field(default=6, validator=between(1, 100))
    think_s: float = attrs.field(default=2.0, validator=between(0, 3600))
    system_bytes: int = attrs.field(default=2048, validator=between(0, 1 << 18))
    question_bytes: int = attrs.field(default=200, validator=between(1, 1 << 18))
    n_system_prompts: int = attrs.field(default=1, validator=between(1, 100))
    n_tokens_least: int = attrs.field(default=20, validator=between(1, 100_000))
    n_tokens_most: int = attrs.field(default=60, validator=between(1, 100_000))


@attrs.frozen(kw_only=True)
class CallLoad:
    """Calls of a plain service; all but GET carry an idempotency key.

    ``resend_share`` of the keyed calls are sent a second time through another
    instance, at most ``resend_within_s`` later, whatever became of the first.
    """

    entry: str
    service_class: str
    method: str = attrs.field(default="POST", validator=one_of(METHODS))
    per_s: float = attrs.field(default=1.0, validator=between(0, 10_000))
    paths: list[str] = attrs.field(factory=lambda: ["/bookings"])
    resend_share: float = attrs.field(default=0.0, validator=between(0, 1))
    resend_within_s: float = attrs.field(default=0.2, validator=between(0, 60))


@attrs.frozen(kw_only=True)
class Peak:
    """Rates grow smoothly to ``factor`` times at ``at_s`` and fall again.

    The curve is a bell whose standard deviation is ``width_s``.
    """

    name: str = ""
    at_s: float = attrs.field(validator=between(0, DAY_S))
    width_s: float = attrs.field(default=5.0, validator=between(0.1, DAY_S))
    factor: float = attrs.field(default=2.0, validator=between(1, 1000))


@attrs.frozen(kw_only=True)
class Action:
    """An HTTP request at a time of the run: a fault, a reclaim, a version move.

    ``token`` is sent as a bearer token. Signals go to the script that started
    the processes; this program starts and signals none.
    """

    at_s: float = attrs.field(validator=between(0, DAY_S))
    name: str
    url: str = attrs.field(validator=is_url())
    method: str = attrs.field(default="POST", validator=one_of(METHODS))
    body: Any = None
    token: str = attrs.field(default="", repr=False)


@attrs.frozen(kw_only=True)
class LoadSettings:
    """Settings of a run.

    Attributes
    ----------
    duration_s : float
        Time in which requests arrive; the run ends when the last is answered.
    balancer_check_s : float
        Time between two probes of the instances by the balancer, which gives
        callers ready ones only; 0: no probes.
    entries : list of EntryTarget
        Where callers may go, each as likely.
    engines, services : dict
        Endpoint stand-ins by name, for the counts that answers are checked with.
    cloud_url : str or None
        Cloud stand-in that tells the bill.
    operator_token : str
        For reading version moves; empty: they are not read.
    actions : list of Action
        The schedule of faults and orders.
    last_actions : list of Action
        Run in order after the last answer and before counts are read, for
        example to let reclaimed endpoints begin again.
    """

    name: str = "run"
    policy: str = ""
    seed: int = 1
    balancer_check_s: float = attrs.field(default=0.5, validator=between(0, 60))
    duration_s: float = attrs.field(default=20.0, validator=between(0.1, DAY_S))
    entries: list[EntryTarget]
    engines: dict[str, EndpointTarget] = attrs.field(factory=dict)
    services: dict[str, EndpointTarget] = attrs.field(factory=dict)
    cloud_url: str | None = attrs.field(default=None, validator=optional(is_url()))
    operator_token: str = attrs.field(default="", repr=False)
    organisations: dict[str, OrganisationLoad]
    classes: dict[str, ClassTarget]
    chats: list[ChatLoad] = attrs.field(factory=list)
    calls: list[CallLoad] = attrs.field(factory=list)
    peaks: list[Peak] = attrs.field(factory=list)
    actions: list[Action] = attrs.field(factory=list)
    last_actions: list[Action] = attrs.field(factory=list)
