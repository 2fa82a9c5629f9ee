"""Load generator that reuses connections and records every response."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Any

import aiohttp

from lagoonring.platform import headers as names
from lagoonring.soak.connection import CallerConnection, SentRequest
from lagoonring.soak.deployment import (
    DATA_CENTRES,
    ORGANISATIONS,
    READY_PORT,
    SOAK_HOST,
)
from lagoonring.soak.routes import LIVE, LONG, RESUMABLE, SAFE, UNSAFE, timeout_s

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lagoonring.soak.deployment import Instance, SoakDeployment

READY_CHECK_INTERVAL_S = 1.0
MAX_MISSED_CHECKS = 2
TIMEOUT_SLACK_S = 0.5  # an answer later than this after the timeout is a violation
N_KEPT_PER_DATA_CENTRE = 24
MEAN_PAUSE_S = 0.05  # between two requests on a kept connection
LONG_SHARE = 0.1  # share of the requests that are for streams of some seconds
OLD_SHARE = 0.3  # share of the single requests that are sent by HTTP/1.0
KEPT_OLD_SHARE = 0.05  # the same on kept connections, which end with them
SINGLE_REQUESTS_PER_S = 10.0  # each on a connection of its own
BURSTS_PER_S, MAX_BURST = 0.3, 20
WRONG_KEY = "key-of-nobody"


class Callers:
    """Sends seeded random requests to the instances of each data centre.

    Most callers keep a connection and send one request at a time on it until the
    connection ends. Others open a connection for one request, some in bursts. Callers
    of a data centre connect to its instances in rotation, or to all of its instances
    if fewer than half of them are in rotation, as the platform does.

    Attributes
    ----------
    requests : list of SentRequest
        All requests so far.
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.requests: list[SentRequest] = []
        self.n_missed_checks: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.loops: list[asyncio.Task[None]] = []
        self.is_stopping = False

    async def start(self) -> None:
        """Start polling the instances' readiness and sending requests."""
        for instance in self.deployment.instances:
            self.n_missed_checks[instance.name] = MAX_MISSED_CHECKS
            self.loops.append(asyncio.create_task(self._poll_readiness(instance)))
        for centre in DATA_CENTRES:
            for _ in range(N_KEPT_PER_DATA_CENTRE):
                rng = random.Random(self.rng.getrandbits(64))
                self._spawn(self._keep_sending(centre, rng))
        self.loops.append(asyncio.create_task(self._send_singles()))
        self.loops.append(asyncio.create_task(self._send_bursts()))

    async def stop(self) -> None:
        """Stop sending and wait for the requests in progress."""
        self.is_stopping = True
        for task in self.loops:
            task.cancel()
        await asyncio.gather(*self.loops, *self.tasks, return_exceptions=True)

    def choose_instance(self, centre: str, rng: random.Random) -> Instance:
        """Return the instance to which the platform forwards a new connection."""
        instances = [
            instance
            for instance in self.deployment.instances
            if instance.data_centre == centre
        ]
        ready = [
            instance
            for instance in instances
            if self.n_missed_checks[instance.name] < MAX_MISSED_CHECKS
        ]
        return rng.choice(instances if 2 * len(ready) < len(instances) else ready)

    async def send(
        self,
        connection: CallerConnection,
        path: str,
        organisation: str | None,
        rng: random.Random,
        *,
        is_old: bool = False,
    ) -> SentRequest:
        """Send one request and record its answer."""
        request_id = f"{rng.getrandbits(64):016x}"
        request = SentRequest(
            request_id=request_id,
            instance=connection.instance.name,
            path=path,
            organisation=organisation,
            sent_s=time.monotonic(),
            is_old=is_old,
        )
        self.requests.append(request)
        key = ORGANISATIONS.get(organisation or "", WRONG_KEY)
        if path.startswith((UNSAFE, RESUMABLE, LONG, LIVE)):
            request.body = f"body of {request_id}".encode()
        await connection.send(
            request,
            "POST" if request.body else "GET",
            {
                "Host": SOAK_HOST,
                names.REQUEST_ID: request_id,
                names.DEADLINE: str(int(timeout_s(path) * 1000)),
                "Authorization": f"Token {key}",
            },
        )
        return request

    async def _send_random(
        self, connection: CallerConnection, rng: random.Random, *, is_old: bool = False
    ) -> SentRequest:
        prefix = rng.choice([RESUMABLE, RESUMABLE, UNSAFE, SAFE])
        if rng.random() < LONG_SHARE:
            prefix = rng.choice([LONG, LONG, LIVE])
        extra = self.deployment.extra_routes
        if extra and rng.random() < 0.1:
            prefix = rng.choice(extra)
        organisation = rng.choice(list(ORGANISATIONS))
        return await self.send(
            connection,
            f"{prefix}{len(self.requests)}",
            organisation,
            rng,
            is_old=is_old,
        )

    async def _keep_sending(self, centre: str, rng: random.Random) -> None:
        """Send requests one by one on a connection that is kept while it lasts."""
        connection: CallerConnection | None = None
        home = centre
        while not self.is_stopping:
            await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
            if connection is None or not connection.is_open:
                connection = CallerConnection(self.choose_instance(home, rng))
            is_old = rng.random() < KEPT_OLD_SHARE
            request = await self._send_random(connection, rng, is_old=is_old)
            # Retries after a failed connection reach other instances.
            home = centre if request.written_s else rng.choice(DATA_CENTRES)
        if connection is not None:
            connection.close()

    async def _send_single(self, rng: random.Random) -> None:
        connection = CallerConnection(
            self.choose_instance(rng.choice(DATA_CENTRES), rng)
        )
        is_old = rng.random() < OLD_SHARE
        await self._send_random(connection, rng, is_old=is_old)
        connection.close()

    async def _send_singles(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(SINGLE_REQUESTS_PER_S))
            self._spawn_single()

    async def _send_bursts(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(BURSTS_PER_S))
            for _ in range(self.rng.randint(2, MAX_BURST)):
                self._spawn_single()

    def _spawn_single(self) -> None:
        self._spawn(self._send_single(random.Random(self.rng.getrandbits(64))))

    def _spawn(self, sending: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(sending)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _poll_readiness(self, instance: Instance) -> None:
        url = f"http://{instance.ip}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=READY_CHECK_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as answer:
                        is_ready = answer.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    is_ready = False
                missed = 0 if is_ready else self.n_missed_checks[instance.name] + 1
                self.n_missed_checks[instance.name] = missed
                await asyncio.sleep(READY_CHECK_INTERVAL_S)
