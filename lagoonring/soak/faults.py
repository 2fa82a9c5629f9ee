"""The kinds of faults and the random schedule in which a soak injects them."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

import attrs

from lagoonring.platform.store import ENDPOINT_TOPIC, OPERATOR_TOPIC, STATUS_TOPIC
from lagoonring.serving.endpoints import EndpointState
from lagoonring.soak.deployment import SERVICES
from lagoonring.soak.endpoints import EndpointFaults
from lagoonring.soak.lost_paths import PATH_FAULTS
from lagoonring.soak.misbehaving import misbehaving_callers
from lagoonring.soak.reclaims import RECLAIM_FAULTS
from lagoonring.standins.link_standin import LinkFaults
from lagoonring.standins.platform_faults import PlatformFaults

if TYPE_CHECKING:
    import random
    import subprocess
    from collections.abc import Awaitable, Callable, Iterable

    from lagoonring.soak.deployment import Instance, SoakDeployment

MEAN_GAP_S = 2.5  # between the starts of two faults; short enough for overlaps
SERIES_SHARE = 0.3  # share of the faults that are repeated in a row
EXIT_POLL_INTERVAL_S = 0.1
MAX_SERIES_S = 1.0  # between the first and the last stop of a series
MAX_LATE_WRITES = 4
LOG_TOPIC = "lagoonring.duties"
LATE_TOPICS = ("", LOG_TOPIC, STATUS_TOPIC)  # all topics, or one of them
MIN_MOVE_S = 6.0
SETTLE_S = 3.0  # from the end of a fault until its instance counts as recovered


@attrs.frozen(kw_only=True)
class Fault:
    """A fault: its kind, start, duration and the number that selects its target."""

    kind: str
    at_s: float
    for_s: float
    pick: int


def schedule(
    rng: random.Random, seconds: float, kinds: Iterable[str] | None = None
) -> list[Fault]:
    """Return random faults of the given kinds, or of all, in order of their start."""
    choices = sorted(kinds or KINDS)
    faults: list[Fault] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / MEAN_GAP_S)
        kind = rng.choice(choices)
        n_times = rng.randint(2, 4) if rng.random() < SERIES_SHARE else 1
        for _ in range(n_times):
            if at_s >= seconds:
                return faults
            fault = Fault(
                kind=kind,
                at_s=round(at_s, 3),
                for_s=round(rng.uniform(0.3, 5.0), 3),
                pick=rng.randrange(1 << 16),
            )
            faults.append(fault)
            at_s += rng.uniform(0.2, 1.5) if n_times > 1 else 0.0


class FaultInjector:
    """Injects scheduled faults into a deployment.

    Parameters
    ----------
    log_line : callable
        Called with a line of text for each start and end of a fault.
    """

    def __init__(
        self, deployment: SoakDeployment, log_line: Callable[[str], None]
    ) -> None:
        self.deployment = deployment
        self.log_line = log_line

    async def inject(self, faults: list[Fault]) -> None:
        """Inject all faults at their times; return when the last one has ended."""
        started_s = time.monotonic()
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(started_s + fault.at_s - time.monotonic(), 0))
            tasks.append(asyncio.create_task(self._inject(fault)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault) -> None:
        self.log_line(f"begins {fault}")
        await KINDS[fault.kind](self.deployment, fault)
        self.log_line(f"ends {fault.kind} of {fault.at_s}")


def kill_all(deployment: SoakDeployment) -> None:
    """Kill all instances at once; they are started again."""
    for instance in deployment.instances:
        deployment.signal(instance, signal.SIGKILL)


def _instance(deployment: SoakDeployment, fault: Fault) -> Instance:
    return deployment.instances[fault.pick % len(deployment.instances)]


async def _kill(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.signal(_instance(deployment, fault), signal.SIGKILL)


async def _kill_all(deployment: SoakDeployment, fault: Fault) -> None:
    kill_all(deployment)


async def _kill_after_change(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.add_route()
    await _kill_all(deployment, fault)


async def _pause(deployment: SoakDeployment, fault: Fault) -> None:
    instance = _instance(deployment, fault)
    process = instance.process
    deployment.signal(instance, signal.SIGSTOP)
    instance.mark_disrupted(time.monotonic() + fault.for_s)
    await asyncio.sleep(fault.for_s)
    if process is instance.process:
        deployment.signal(instance, signal.SIGCONT)


async def _planned_stop(deployment: SoakDeployment, fault: Fault) -> None:
    instance = _instance(deployment, fault)
    deployment.signal(instance, signal.SIGTERM)
    await _wait_for_exit(instance.process)


async def _wait_for_exit(process: subprocess.Popen[bytes] | None) -> None:
    while process is not None and process.poll() is None:
        await asyncio.sleep(EXIT_POLL_INTERVAL_S)


async def _stop_in_series(
    deployment: SoakDeployment, fault: Fault, n_instances: int
) -> None:
    """Send SIGTERM to several instances within a second."""
    instances = deployment.instances
    first = fault.pick % len(instances)
    chosen = (instances[first:] + instances[:first])[:n_instances]
    processes = []
    for instance in chosen:
        processes.append(instance.process)
        deployment.signal(instance, signal.SIGTERM)
        await asyncio.sleep(MAX_SERIES_S / len(chosen))
    for process in processes:
        await _wait_for_exit(process)


async def _stop_three(deployment: SoakDeployment, fault: Fault) -> None:
    await _stop_in_series(deployment, fault, 3)


async def _stop_all(deployment: SoakDeployment, fault: Fault) -> None:
    await _stop_in_series(deployment, fault, len(deployment.instances))


async def _stop_with_signals(deployment: SoakDeployment, fault: Fault) -> None:
    """Stop an instance, with a reload and another SIGTERM while it drains."""
    instance = _instance(deployment, fault)
    process = instance.process
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        if process is instance.process:
            deployment.signal(instance, number)
        await asyncio.sleep(fault.for_s / 5)
    await _wait_for_exit(process)


async def _stop_while_starting(deployment: SoakDeployment, fault: Fault) -> None:
    """Stop an instance, and its next process soon after its start."""
    instance = _instance(deployment, fault)
    await _planned_stop(deployment, fault)
    await asyncio.sleep(fault.for_s / 2)
    deployment.signal(instance, signal.SIGTERM)
    await _wait_for_exit(instance.process)


async def _stop_beside_change(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.add_route()
    await _planned_stop(deployment, fault)


async def _stop_before_slow_endpoints(deployment: SoakDeployment, fault: Fault) -> None:
    for endpoint in deployment.endpoints:
        endpoint.faults = EndpointFaults(slow_s=fault.for_s / 4)
    await _planned_stop(deployment, fault)
    for endpoint in deployment.endpoints:
        endpoint.faults = EndpointFaults()


async def _reload(deployment: SoakDeployment, fault: Fault) -> None:
    instance = _instance(deployment, fault)
    deployment.write_settings(instance, newField=fault.pick)
    deployment.signal(instance, signal.SIGHUP)


async def _disrupt_store_link(
    deployment: SoakDeployment, fault: Fault, faults: LinkFaults
) -> None:
    instance = _instance(deployment, fault)
    instance.mark_disrupted(time.monotonic() + fault.for_s)
    instance.link.set_faults(faults)
    await asyncio.sleep(fault.for_s)
    instance.link.set_faults(LinkFaults())
    instance.mark_disrupted()


async def _store_silent(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store_link(deployment, fault, LinkFaults(is_cut=True))


async def _store_one_way(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store_link(deployment, fault, LinkFaults(is_cut_back=True))


async def _store_refuses(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store_link(deployment, fault, LinkFaults(refuses=True, reset=True))


async def _store_delayed(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store_link(deployment, fault, LinkFaults(delay_s=0.15))


async def _disrupt_store(
    deployment: SoakDeployment, fault: Fault, faults: PlatformFaults
) -> None:
    deployment.store_disrupted_until_s = time.monotonic() + fault.for_s
    deployment.platform.faults = faults
    await asyncio.sleep(fault.for_s)
    deployment.platform.faults = PlatformFaults()
    deployment.store_disrupted_until_s = max(
        deployment.store_disrupted_until_s, time.monotonic()
    )


async def _store_out(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store(deployment, fault, PlatformFaults(is_out=True))


async def _store_slow(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store(deployment, fault, PlatformFaults(delay_s=0.3))


async def _store_loses_answers(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_store(deployment, fault, PlatformFaults(n_lost_answers=10))


async def _store_executes_late(deployment: SoakDeployment, fault: Fault) -> None:
    """Lose the answers of some writes, which are executed one to six seconds later."""
    faults = PlatformFaults(
        n_late_writes=1 + fault.pick % MAX_LATE_WRITES,
        late_s=1.0 + fault.for_s,
        late_topic=LATE_TOPICS[fault.pick % len(LATE_TOPICS)],
    )
    await _disrupt_store(deployment, fault, faults)
    deployment.store_disrupted_until_s = time.monotonic() + faults.late_s
    await asyncio.sleep(faults.late_s)


async def _store_forgets_log(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.platform.forget(LOG_TOPIC)


async def _move(deployment: SoakDeployment, fault: Fault) -> None:
    service = SERVICES[fault.pick % len(SERVICES)]
    await deployment.operator.order(service, MIN_MOVE_S + fault.for_s)


async def _store_forgets(deployment: SoakDeployment, fault: Fault) -> None:
    for topic in (OPERATOR_TOPIC, ENDPOINT_TOPIC):
        deployment.platform.forget(topic)


async def _disrupt_endpoint_link(
    deployment: SoakDeployment, fault: Fault, faults: LinkFaults
) -> None:
    endpoint = deployment.endpoints[fault.pick % len(deployment.endpoints)]
    link = endpoint.link
    assert link is not None
    link.set_faults(faults)
    started_s = time.monotonic()
    await asyncio.sleep(fault.for_s)
    link.set_faults(LinkFaults())
    endpoint.record_unreached(started_s)


async def _endpoint_silent(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_endpoint_link(deployment, fault, LinkFaults(is_cut=True))


async def _endpoint_one_way(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_endpoint_link(deployment, fault, LinkFaults(is_cut_back=True))


async def _endpoint_resets(deployment: SoakDeployment, fault: Fault) -> None:
    await _disrupt_endpoint_link(
        deployment, fault, LinkFaults(refuses=True, reset=True)
    )


async def _endpoint_faulty(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = deployment.endpoints[fault.pick % len(deployment.endpoints)]
    endpoint.faults = EndpointFaults(lost_share=0.2, failed_share=0.3, slow_s=0.1)
    await asyncio.sleep(fault.for_s)
    endpoint.faults = EndpointFaults()


async def _endpoint_crashes(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = deployment.endpoints[fault.pick % len(deployment.endpoints)]
    if endpoint.runner is None or endpoint.state is not EndpointState.READY:
        return
    await endpoint.crash()
    await endpoint.start()


async def _endpoint_drains(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = deployment.endpoints[fault.pick % len(deployment.endpoints)]
    if endpoint.runner is None or endpoint.state is not EndpointState.READY:
        return
    endpoint.drain()
    await asyncio.sleep(4.0)
    if endpoint.state is EndpointState.DRAINING:
        await endpoint.crash()
        await endpoint.start()


async def _add_route(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.add_route()


async def _remove_route(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.remove_route()


KINDS: dict[str, Callable[[SoakDeployment, Fault], Awaitable[None]]] = {
    "kill": _kill,
    "kill_all": _kill_all,
    "kill_after_change": _kill_after_change,
    "pause": _pause,
    "planned_stop": _planned_stop,
    "stop_three": _stop_three,
    "stop_all": _stop_all,
    "stop_with_signals": _stop_with_signals,
    "stop_while_starting": _stop_while_starting,
    "stop_beside_change": _stop_beside_change,
    "stop_before_slow": _stop_before_slow_endpoints,
    "reload": _reload,
    "store_silent": _store_silent,
    "store_one_way": _store_one_way,
    "store_refuses": _store_refuses,
    "store_delayed": _store_delayed,
    "store_out": _store_out,
    "store_slow": _store_slow,
    "store_loses_answers": _store_loses_answers,
    "store_executes_late": _store_executes_late,
    "store_forgets": _store_forgets,
    "store_forgets_log": _store_forgets_log,
    "move": _move,
    "endpoint_silent": _endpoint_silent,
    "endpoint_one_way": _endpoint_one_way,
    "endpoint_resets": _endpoint_resets,
    "endpoint_faulty": _endpoint_faulty,
    "endpoint_crashes": _endpoint_crashes,
    "endpoint_drains": _endpoint_drains,
    "add_route": _add_route,
    "drop_route": _remove_route,
    "misbehaving": misbehaving_callers,
    **RECLAIM_FAULTS,
    **PATH_FAULTS,
}

PLANNED_KINDS = tuple(
    name for name in KINDS if "stop" in name or name in ("reload", "add_route")
)

# What a version move must withstand.
MOVE_KINDS = (
    "move",
    "kill",
    "kill_all",
    "pause",
    "store_executes_late",
    "store_forgets_log",
    "store_loses_answers",
)
