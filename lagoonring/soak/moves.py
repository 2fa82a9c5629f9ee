"""The operator's side of version moves during a soak, and how each must end."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.documents import (
    decode_move_status,
    move_key,
    moved_service,
)
from lagoonring.platform.store import STATUS_TOPIC, decode_keyed_record
from lagoonring.serving.moves import MoveState
from lagoonring.soak.engines import make_endpoint

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from lagoonring.soak.deployment import SoakDeployment

POLL_INTERVAL_S = 0.05
DRAINS_AFTER_S, DRAIN_S = 1.0, 2.0
END_SLACK_S = 1.0  # after the time limit, without faults


@attrs.frozen(kw_only=True)
class Order:
    """An order to move a service to a version; times are monotonic."""

    service: str
    target: str
    due_s: float


@attrs.frozen(kw_only=True)
class Status:
    """A status in the order of the store."""

    service: str
    target: str
    state: MoveState


class Operator:
    """Orders moves, and stops the endpoints of the version that a move leaves.

    Those of the old version stop at once when it is completed, those of the new
    one drain some seconds after it was rolled back.
    """

    def __init__(self, deployment: SoakDeployment) -> None:
        self.deployment = deployment
        self.orders: list[Order] = []
        self.statuses: list[Status] = []
        self.running: Order | None = None
        self.n_read = 0

    async def order(self, service: str, duration_s: float) -> None:
        """Order a move to a new version, unless one is running."""
        if self.running is not None:
            return
        target = f"v{len(self.orders) + 2}"
        due_s = time.monotonic() + duration_s
        self.running = Order(service=service, target=target, due_s=due_s)
        self.orders.append(self.running)
        deployment = self.deployment
        for old in [one for one in deployment.endpoints if one.is_serving(service)]:
            endpoint = make_endpoint(
                deployment,
                f"{old.name.removesuffix(f'-{old.version}')}-{target}",
                service,
                old.data_centre,
                target,
            )
            deployment.endpoints.append(endpoint)
            await endpoint.start()
        content = {"service": service, "target": target, "durationS": duration_s}
        deployment.platform.write_operator(move_key(service), content)

    async def follow(self) -> None:
        """Act on each status, until cancelled."""
        while True:
            for status in self._read():
                self.statuses.append(status)
                order = self.running
                is_end = status.state is not MoveState.RUNNING
                if order is None or status.target != order.target or not is_end:
                    continue
                await self._end(order, status.state)
                self.running = None
            await asyncio.sleep(POLL_INTERVAL_S)

    def _read(self) -> Iterator[Status]:
        topic = self.deployment.platform.topics.get(STATUS_TOPIC)
        records = topic.records[self.n_read :] if topic is not None else []
        for record in records:
            self.n_read += 1
            keyed = decode_keyed_record(record, 0)
            target, state = decode_move_status(keyed.value or b"")
            yield Status(service=moved_service(keyed.key), target=target, state=state)

    async def _end(self, order: Order, state: MoveState) -> None:
        leaving = [
            endpoint
            for endpoint in self.deployment.endpoints
            if endpoint.is_serving(order.service)
            and (endpoint.version == order.target) == (state is MoveState.ROLLED_BACK)
        ]
        if state is MoveState.ROLLED_BACK:
            await asyncio.sleep(DRAINS_AFTER_S)
            for endpoint in leaving:
                endpoint.drain()
            await asyncio.sleep(DRAIN_S)
        for endpoint in leaving:
            await endpoint.retire()


def find_undone(
    orders: Iterable[Order], statuses: Iterable[Status], until_s: float
) -> Iterator[str]:
    """Yield a description of each move whose end was changed or is not reported.

    A status may be replaced by a late write of the store, but not for good.
    """
    states: dict[tuple[str, str], list[MoveState]] = defaultdict(list)
    newest: dict[str, Status] = {}
    for status in statuses:
        states[status.service, status.target].append(status.state)
        newest[status.service] = status
    for order in orders:
        found = states[order.service, order.target]
        ends = [state for state in found if state is not MoveState.RUNNING]
        shown = " ".join(state.value for state in found)
        if len(set(ends)) > 1:
            yield f"{order.service} to {order.target} ended twice: {shown}"
        if not ends and until_s > order.due_s + END_SLACK_S:
            yield f"{order.service} to {order.target} did not end: {shown}"
    last = {order.service: order for order in orders}
    for service, order in last.items():
        reported = newest.get(service)
        is_over = any(
            state is not MoveState.RUNNING for state in states[service, order.target]
        )
        is_told = (
            reported is not None
            and reported.target == order.target
            and reported.state is not MoveState.RUNNING
        )
        if is_over and not is_told:
            yield f"{service} to {order.target} has ended, and is told as {reported}"
