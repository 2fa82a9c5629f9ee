"""Client of the platform's cloud: instances, prices, notices of reclaims.

HTTP interface::

    POST   /instances        {"token", "instance_class", "data_centre", "market"}
                             answer: an instance; the same one for a known token;
                             503 with "no_capacity" if the start is refused
    DELETE /instances/ID     answer: the instance; also if it is gone already
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
    ask,
)

RECLAIMABLE = "reclaimable"
ON_DEMAND = "on_demand"
MARKETS = (RECLAIMABLE, ON_DEMAND)


class StartRefusedError(PlatformUnavailableError):
    """The cloud has no such instance to give at the moment."""

    code = "start_refused"


@attrs.frozen(kw_only=True)
class CloudInstance:
    """An instance of the cloud.

    ``state`` is ``starting``, ``running``, ``leaving`` or ``gone``; ``url`` is
    the endpoint on it, once it runs.
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
    """Prices of an instance class in a data centre, money per hour."""

    data_centre: str
    instance_class: str
    reclaimable: float
    on_demand: float


@attrs.frozen(kw_only=True)
class Notice:
    """An instance will be reclaimed at ``reclaim_s`` (epoch seconds)."""

    seq: int
    instance: str
    data_centre: str
    reclaim_s: float


@attrs.frozen
class InstancePage:
    """Answer to a listing of instances."""

    instances: list[CloudInstance]


@attrs.frozen
class PricePage:
    """Answer to a question for prices."""

    prices: list[CloudPrice]


@attrs.frozen
class NoticePage:
    """Notices from a sequence number on."""

    notices: list[Notice]
    next_seq: int


@attrs.frozen(kw_only=True)
class StartOrder:
    """What to start; orders with the same token start one instance."""

    token: str
    instance_class: str
    data_centre: str
    market: str


class Cloud(Protocol):
    """What the fleet needs of a cloud; tests pass an own one."""

    async def start_instance(self, order: StartOrder) -> CloudInstance:
        """Start an instance, or return the one started with this token."""

    async def stop_instance(self, instance: str) -> None:
        """Stop an instance; without effect if it is gone."""

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
            If there is none to give; nothing was started.
        PlatformAnswerLostError
            If it may have been started: list instances by the token.
        """
        url = f"{self.url}/instances"
        try:
            return await ask(self.session, "POST", url, CloudInstance, content=order)
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
        """Stop an instance; without effect if it is gone."""
        url = f"{self.url}/instances/{instance}"
        try:
            await ask(self.session, "DELETE", url, CloudInstance)
        except PlatformRejectedError as error:
            if error.status != 404:
                raise

    async def list_instances(self, token: str = "") -> list[CloudInstance]:
        """Return all instances, or those started with a token."""
        params = {"token": token} if token else None
        page: InstancePage = await ask(
            self.session, "GET", f"{self.url}/instances", InstancePage, params=params
        )
        return page.instances

    async def read_prices(self) -> list[CloudPrice]:
        """Return the prices in force."""
        url = f"{self.url}/prices"
        page: PricePage = await ask(self.session, "GET", url, PricePage)
        return page.prices

    async def read_notices(self, from_seq: int) -> NoticePage:
        """Return notices of reclaims from a sequence number on."""
        params = {"from": str(from_seq)}
        url = f"{self.url}/notices"
        return await ask(self.session, "GET", url, NoticePage, params=params)
