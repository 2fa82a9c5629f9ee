"""Settings of a load run: targets, request rates, peaks and scheduled faults."""

from __future__ import annotations

from typing import Any

import attrs

from lagoonring.settings.validators import between, is_url, one_of, optional

DAY_S = 86_400.0
MAX_PRICE_PER_HOUR = 1_000_000_000
METHODS = ("DELETE", "GET", "PATCH", "POST", "PUT")


@attrs.frozen(kw_only=True)
class EntryTarget:
    """An entry instance that callers may send requests to."""

    instance: str
    data_centre: str
    url: str = attrs.field(validator=is_url())


@attrs.frozen(kw_only=True)
class EndpointTarget:
    """An endpoint stand-in whose counters are read.

    ``price_per_hour`` is used where no cloud stand-in reports costs.
    """

    url: str = attrs.field(validator=is_url())
    data_centre: str = ""
    price_per_hour: float = attrs.field(
        default=0.0, validator=between(0, MAX_PRICE_PER_HOUR)
    )


@attrs.frozen(kw_only=True)
class OrganisationLoad:
    """An organisation's API key and its relative weight in the load."""

    key: str = attrs.field(repr=False)
    weight: float = attrs.field(default=1.0, validator=between(0.001, 1000))


@attrs.frozen(kw_only=True)
class ClassTarget:
    """A service class's latency targets and the deadline that callers send."""

    first_token_ms: float = attrs.field(default=350.0, validator=between(1, 600_000))
    between_tokens_ms: float = attrs.field(default=58.0, validator=between(1, 60_000))
    deadline_ms: float = attrs.field(default=30_000.0, validator=between(1, 3_600_000))


@attrs.frozen(kw_only=True)
class ChatLoad:
    """Load of conversations with an assistant.

    Attributes
    ----------
    conversations_per_s : float
        Mean rate at which conversations start outside peaks.
    n_turns_most : int
        Maximum number of turns; the number is uniform from 1 to this value.
    think_s : float
        Mean time between the arrivals of consecutive turns.
    system_bytes, question_bytes : int
        Sizes of the texts; system prompts differ between organisations.
    n_system_prompts : int
        Number of system prompts of each organisation.
    n_tokens_least, n_tokens_most : int
        Range of the number of tokens requested.
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
    """Load of calls of a plain service; all but GET carry an idempotency key.

    A share ``resend_share`` of the keyed calls is sent a second time, at most
    ``resend_within_s`` later, whatever the outcome of the first attempt. It is
    sent through an instance chosen anew, so not always through another one.
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
    """A peak in which all rates rise smoothly to ``factor`` times and fall again.

    The curve is a Gaussian centred at ``at_s`` with standard deviation ``width_s``.
    """

    name: str = ""
    at_s: float = attrs.field(validator=between(0, DAY_S))
    width_s: float = attrs.field(default=5.0, validator=between(0.1, DAY_S))
    factor: float = attrs.field(default=2.0, validator=between(1, 1000))


@attrs.frozen(kw_only=True)
class Action:
    """A scheduled HTTP request that causes a fault, a reclaim or a version move.

    ``token`` is sent as a bearer token. Signals are requested from the script that
    started the processes; the load tool itself starts and signals no process.
    """

    at_s: float = attrs.field(validator=between(0, DAY_S))
    name: str
    url: str = attrs.field(validator=is_url())
    method: str = attrs.field(default="POST", validator=one_of(METHODS))
    body: Any = None
    token: str = attrs.field(default="", repr=False)


@attrs.frozen(kw_only=True)
class LoadSettings:
    """Settings of a load run.

    Attributes
    ----------
    duration_s : float
        Time during which requests arrive; the run ends after the last answer.
    balancer_check_s : float
        Interval between readiness probes by the balancer, which chooses ready
        instances where there are any; 0 disables probes.
    entries : list of EntryTarget
        Entry instances, chosen with equal probability.
    engines, services : dict
        Endpoint stand-ins by name; answers are checked against their counters.
    cloud_url : str or None
        Cloud stand-in that reports costs.
    operator_token : str
        Token for reading version moves; if empty, they are not read.
    actions : list of Action
        Schedule of faults, reclaims and version moves.
    last_actions : list of Action
        Run in order after the last answer and before counters are read, for
        example to restart reclaimed endpoints.
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
