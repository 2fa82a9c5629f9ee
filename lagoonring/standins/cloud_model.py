"""Instances, capacity and costs of the cloud stand-in."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import attrs

from lagoonring.platform.cloud import MARKETS, RECLAIMABLE, CloudInstance, Notice

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonring.kernel import Clock
    from lagoonring.platform.cloud import StartOrder
    from lagoonring.standins.options import CloudOptions, Price

HOUR_S = 3600.0


class UnknownPriceError(LookupError):
    """The price list lacks the class in the data centre, or the market is unknown."""


class NoCapacityError(RuntimeError):
    """No capacity is left for the class, data centre and market."""


@attrs.frozen
class Costs:
    """Money spent since the start, by market."""

    reclaimable: float = 0.0
    on_demand: float = 0.0


class CloudModel:
    """State of the cloud: its instances, their notices and costs.

    Parameters
    ----------
    options : CloudOptions
        Prices, capacity, times.
    clock : Clock
        Times starts, reclaims and costs.
    attach, detach : callable
        ``attach(instance) -> url`` is called when an instance starts to run,
        ``detach(instance)`` when it has been stopped or reclaimed.
    """

    def __init__(
        self,
        options: CloudOptions,
        *,
        clock: Clock,
        attach: Callable[[CloudInstance], str] | None = None,
        detach: Callable[[CloudInstance], None] | None = None,
    ) -> None:
        self.options = options
        self.clock = clock
        self.attach = attach or _attach_nothing
        self.detach = detach or _do_nothing
        self.prices: dict[tuple[str, str], Price] = {
            (price.data_centre, price.instance_class): price for price in options.prices
        }
        self.instances: dict[str, CloudInstance] = {}
        self.by_token: dict[str, str] = {}
        self.notices: list[Notice] = []
        self.ended_s: dict[str, float] = {}
        self.sequence = itertools.count(1)

    def start(self, order: StartOrder) -> CloudInstance:
        """Start an instance, or return the one already started with this token.

        Raises
        ------
        UnknownPriceError
            If the order matches no line of the price list.
        NoCapacityError
            If no capacity is left for the order.
        """
        if order.token in self.by_token:
            return self.instances[self.by_token[order.token]]
        price = self.prices.get((order.data_centre, order.instance_class))
        if price is None or order.market not in MARKETS:
            raise UnknownPriceError(f"Got {order}, expected one of the price list.")
        if self._count_used(order) >= getattr(price, f"n_{order.market}"):
            raise NoCapacityError(f"Got no capacity for {order}.")
        instance = CloudInstance(
            instance=f"i-{next(self.sequence)}",
            started_s=self.clock.time(),
            **attrs.asdict(order),
        )
        self.instances[instance.instance] = instance
        self.by_token[order.token] = instance.instance
        return instance

    def mark_running(self, name: str) -> None:
        """Change the state of a starting instance to running."""
        instance = self.instances[name]
        if instance.state == "starting":
            url = self.attach(instance)
            self._update(instance, state="running", url=url)

    def announce(self, name: str, notice_s: float) -> None:
        """Announce that an instance will be reclaimed in ``notice_s`` seconds."""
        instance = self.instances[name]
        reclaim_s = self.clock.time() + notice_s
        self._update(instance, state="leaving")
        self.notices.append(
            Notice(
                seq=len(self.notices),
                instance=name,
                data_centre=instance.data_centre,
                reclaim_s=reclaim_s,
            )
        )

    def terminate(self, name: str) -> CloudInstance:
        """Stop or reclaim an instance, which then costs nothing more."""
        instance = self.instances[name]
        if instance.state == "gone":
            return instance
        self.ended_s[name] = self.clock.time()
        self.detach(instance)
        return self._update(instance, state="gone")

    def find_reclaimable(self, data_centre: str, instance_class: str) -> list[str]:
        """Return the instances that can be reclaimed; empty arguments match any."""
        return [
            name
            for name, item in self.instances.items()
            if item.market == RECLAIMABLE
            and item.state in ("starting", "running")
            and data_centre in ("", item.data_centre)
            and instance_class in ("", item.instance_class)
        ]

    def count_costs(self) -> Costs:
        """Return the money spent so far."""
        spent = dict.fromkeys(MARKETS, 0.0)
        now_s = self.clock.time()
        for name, item in self.instances.items():
            price = self.prices[(item.data_centre, item.instance_class)]
            duration_s = self.ended_s.get(name, now_s) - item.started_s
            spent[item.market] += getattr(price, item.market) * duration_s / HOUR_S
        return Costs(**spent)

    def _count_used(self, order: StartOrder) -> int:
        return sum(
            item.state != "gone"
            and item.market == order.market
            and item.data_centre == order.data_centre
            and item.instance_class == order.instance_class
            for item in self.instances.values()
        )

    def _update(self, instance: CloudInstance, **changes: Any) -> CloudInstance:
        changed = attrs.evolve(instance, **changes)
        self.instances[instance.instance] = changed
        return changed


def _attach_nothing(instance: CloudInstance) -> str:
    """Return the empty URL of an instance without an endpoint."""
    return ""


def _do_nothing(instance: CloudInstance) -> None:
    """Ignore the end of an instance without an endpoint."""
