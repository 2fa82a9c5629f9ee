"""Builders of limits services and admission requests for tests."""

from __future__ import annotations

from typing import Any

from lagoonring.kernel import Application, ManualClock
from lagoonring.limits import AdmitRequest, LimitsOptions, LimitsService
from lagoonring.limits.fair_queue import QueuedRequest
from lagoonring.tests.builders.catalogues import make_catalogue
from lagoonring.tests.builders.routing import PeerNetwork, make_app


def make_limits_catalogue(**limits: Any) -> Any:
    """Return a catalogue whose organisation ``hann`` has limits."""
    return make_catalogue(
        organisations={"hann": {"limits": limits}, "mbao": {}, "yoff": {"weight": 2.0}}
    )


async def start_limits(
    app: Application, *, n_slots: int = 2, **options: Any
) -> LimitsService:
    """Add a limits service to an application and start it."""
    limits = LimitsService(app, LimitsOptions(**options), capacity=lambda _: n_slots)
    app.add(limits)
    await limits.start()
    return limits


async def make_limits(
    n_slots: int = 2, content: Any = None, **options: Any
) -> LimitsService:
    """Return a started limits service without peers."""
    app = make_app(content or make_limits_catalogue(), clock=ManualClock())
    return await start_limits(app, n_slots=n_slots, **options)


async def make_limits_fleet(
    *data_centres: str, content: Any = None, **options: Any
) -> tuple[list[LimitsService], PeerNetwork, ManualClock]:
    """Return started limits services that are peers, one per data centre named."""
    clock = ManualClock()
    network = PeerNetwork()
    apps = [
        make_app(
            content or make_limits_catalogue(), network.add(f"e{number}", name), clock
        )
        for number, name in enumerate(data_centres)
    ]
    services = [await start_limits(app, **options) for app in apps]
    return services, network, clock


def make_admit(limits: LimitsService, **fields: Any) -> AdmitRequest:
    """Return a request of organisation ``hann`` due in 60 s."""
    values: dict[str, Any] = {
        "organisation": "hann",
        "entry": "guide",
        "service_class": "chat",
        "n_tokens_most": 100,
        "deadline_s": limits.app.clock.monotonic() + 60,
    }
    return AdmitRequest(**{**values, **fields})


def make_queued(organisation: str = "hann", **fields: Any) -> QueuedRequest:
    """Return a queued request of class ``chat`` with cost 1."""
    values: dict[str, Any] = {"service_class": "chat", "cost": 1.0}
    return QueuedRequest(organisation=organisation, **{**values, **fields})
