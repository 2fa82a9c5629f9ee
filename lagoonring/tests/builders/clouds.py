"""An in-memory cloud with injected faults."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.cloud import (
    CloudInstance,
    CloudPrice,
    NoticePage,
    StartOrder,
    StartRefusedError,
)
from lagoonring.platform.exchange import (
    PlatformAnswerLostError,
    PlatformUnavailableError,
)
from lagoonring.standins.cloud_model import CloudModel, NoCapacityError

if TYPE_CHECKING:
    from lagoonring.tests.builders.gates import Gate


class CloudDouble:
    """Calls the cloud model through a gate and injects faults."""

    def __init__(self, model: CloudModel, gate: Gate, faults: CloudFaults) -> None:
        self.model = model
        self.gate = gate
        self.faults = faults

    async def start_instance(self, order: StartOrder) -> CloudInstance:
        """Start an instance, or return the one started with this token."""
        await self._check_access()
        is_new = order.token not in self.model.by_token
        if is_new and order.market in self.faults.refused_markets:
            raise StartRefusedError("Got no capacity.")
        try:
            instance = self.model.start(order)
        except NoCapacityError:
            raise StartRefusedError("Got no capacity.") from None
        await self.gate.wait()
        if self.faults.n_lost_answers > 0:
            self.faults.n_lost_answers -= 1
            raise PlatformAnswerLostError("Got no answer.")
        return instance

    async def stop_instance(self, instance: str) -> None:
        """Stop an instance."""
        await self._check_access()
        self.model.terminate(instance)
        await self.gate.wait()

    async def list_instances(self, token: str = "") -> list[CloudInstance]:
        """Return all instances that have not ended."""
        await self._check_access()
        return [
            item
            for item in self.model.instances.values()
            if token in ("", item.token) and item.state != "gone"
        ]

    async def read_prices(self) -> list[CloudPrice]:
        """Return the prices."""
        await self._check_access()
        return [
            CloudPrice(
                data_centre=price.data_centre,
                instance_class=price.instance_class,
                reclaimable=price.reclaimable,
                on_demand=price.on_demand,
            )
            for price in self.model.prices.values()
        ]

    async def read_notices(self, from_seq: int) -> NoticePage:
        """Return notices."""
        await self._check_access()
        notices = self.model.notices
        return NoticePage(notices[from_seq:], len(notices))

    async def _check_access(self) -> None:
        await self.gate.wait()
        if self.faults.is_out:
            raise PlatformUnavailableError("Got an outage.")


@attrs.define
class CloudFaults:
    """Faults of :class:`CloudDouble`, shared by all instances.

    ``n_lost_answers`` counts down with each answer lost.
    """

    is_out: bool = False
    n_lost_answers: int = 0
    refused_markets: set[str] = attrs.field(factory=set)
