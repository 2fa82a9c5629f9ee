"""Client of the platform's cloud: instances, prices and reclaim notices.

HTTP interface::

    POST   /instances        {"token", "instance_class", "data_centre", "market"}
                             answer: an instance; the same one for a known token;
                             503 with "no_capacity" if the start is refused
    DELETE /instances/ID     answer: the instance, even if already terminated
    GET    /instances?token= answer: {"instances": [...]}, all without a token
    GET    /prices           answer: {"prices": [...]}
    GET    /notices?from=SEQ answer: {"notices": [...], "next_seq"}
"""

from __future__ import annotations

from typing import Protocol

import attrs

from lagoonring.platform.exchange import (
    PlatformClient,
    PlatformRejectedError,
    PlatformUnavailableError,
    request_json,
)

RECLAIMABLE = "reclaimable"
ON_DEMAND = "on_demand"
MARKETS = (RECLAIMABLE, ON_DEMAND)


class StartRefusedError(PlatformUnavailableError):
    """The cloud has no capacity for such an instance at present."""

    code = "start_refused"


@attrs.frozen(kw_only=True)
class CloudInstance:
    """An instance of the cloud.

    ``state`` is ``starting``, ``running``, ``leaving`` or ``gone``; ``url`` is
    that of the endpoint on the instance, set once it is running.
    """

    instance: str
    token: str
    instance_class: str
    data_centre: str
    market: str
    state: str = "starting"
    started_s: float = 0.0
    url: str = ""


@attrs.frozen(kw_only=True)
class CloudPrice:
    """Prices per hour of an instance class in a data centre."""

    data_centre: str
    instance_class: str
    reclaimable: float
    on_demand: float


@attrs.frozen(kw_only=True)
class Notice:
    """Announces that an instance is reclaimed at ``reclaim_s`` (epoch seconds)."""

    seq: int
    instance: str
    data_centre: str
    reclaim_s: float


@attrs.frozen
class InstancePage:
    """Response of the instance listing."""

    instances: list[CloudInstance]


@attrs.frozen
class PricePage:
    """Response of the price listing."""

    prices: list[CloudPrice]


@attrs.frozen
class NoticePage:
    """Consecutive notices, and the sequence number to continue at."""

    notices: list[Notice]
    next_seq: int


@attrs.frozen(kw_only=True)
class StartOrder:
    """Request to start an instance; ``token`` makes it idempotent."""

    token: str
    instance_class: str
    data_centre: str
    market: str


class Cloud(Protocol):
    """Interface of the cloud as the fleet uses it; tests pass a fake."""

    async def start_instance(self, order: StartOrder) -> CloudInstance:
        """Start an instance, or return the one started with this token."""

    async def stop_instance(self, instance: str) -> None:
        """Stop an instance; does nothing if it is already terminated or unknown."""

    async def list_instances(self, token: str = "") -> list[CloudInstance]:
        """Return all instances, or those started with a token."""

    async def read_prices(self) -> list[CloudPrice]:
        """Return the prices in force."""

    async def read_notices(self, from_seq: int) -> NoticePage:
        """Return notices of reclaims from a sequence number on."""


class CloudClient(PlatformClient):
    """The cloud over HTTP; errors as in :mod:`lagoonring.platform.exchange`."""

    async def start_instance(self, order: StartOrder) -> CloudInstance:
        """Start an instance, or return the one started with this token.

        Raises
        ------
        StartRefusedError
            If the cloud has no capacity; nothing was started.
        PlatformAnswerLostError
            If the start may have succeeded; list instances by token to find out.
        """
        url = f"{self.url}/instances"
        try:
            return await request_json(
                self.session, "POST", url, CloudInstance, content=order
            )
        except PlatformUnavailableError as error:
            if "no_capacity" not in error.message:
                raise
            raise StartRefusedError(
                f"Got a refusal to start {order.instance_class} ({order.market}) "
                f"in {order.data_centre}.",
                remedy="Try another data centre, class or market.",
                retry_after_s=error.retry_after_s,
            ) from error

    async def stop_instance(self, instance: str) -> None:
        """Stop an instance; does nothing if it is already terminated or unknown."""
        url = f"{self.url}/instances/{instance}"
        try:
            await request_json(self.session, "DELETE", url, CloudInstance)
        except PlatformRejectedError as error:
            if error.status != 404:
                raise

    async def list_instances(self, token: str = "") -> list[CloudInstance]:
        """Return all instances, or those started with a token."""
        params = {"token": token} if token else None
        page: InstancePage = await request_json(
            self.session, "GET", f"{self.url}/instances", InstancePage, params=params
        )
        return page.instances

    async def read_prices(self) -> list[CloudPrice]:
        """Return the prices in force."""
        url = f"{self.url}/prices"
        page: PricePage = await request_json(self.session, "GET", url, PricePage)
        return page.prices

    async def read_notices(self, from_seq: int) -> NoticePage:
        """Return notices of reclaims from a sequence number on."""
        params = {"from": str(from_seq)}
        url = f"{self.url}/notices"
        return await request_json(self.session, "GET", url, NoticePage, params=params)
