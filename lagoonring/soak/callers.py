"""Load generator that reuses connections and records every response."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
import attrs

from lagoonring.platform import headers as names
from lagoonring.soak.deployment import (
    ORGANISATIONS,
    READY_PORT,
    RESUMABLE,
    SAFE,
    SOAK_HOST,
    UNSAFE,
)

if TYPE_CHECKING:
    import random

    from lagoonring.soak.deployment import Instance, SoakDeployment

READY_CHECK_INTERVAL_S = 0.5
MAX_MISSED_CHECKS = 2
TIMEOUT_S = 3.0  # as configured for the routes
TIMEOUT_SLACK_S = 0.5  # an answer later than this after the timeout is a violation
CLIENT_TIMEOUT_S = 8.0  # a request without an end by then counts as hung
REQUESTS_PER_S = 60.0
WRONG_KEY = "key-of-nobody"


@attrs.define(kw_only=True)
class SentRequest:
    """A request and the response its caller received; times are monotonic.

    ``status`` is None if no answer arrived; ``is_complete`` is True if the body
    ended properly.
    """

    request_id: str
    instance: str
    path: str
    organisation: str | None
    sent_s: float
    body: bytes = b""
    status: int | None = None
    signature: str | None = None
    answer: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0
    error: str = ""
    retry_after: str | None = None


class Callers:
    """Sends seeded random requests to all instances that report ready.

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
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.loops: list[asyncio.Task[None]] = []
        self.n_requests = 0

    async def start(self) -> None:
        """Start polling the instances' readiness and sending requests."""
        for instance in self.deployment.instances:
            self.sessions[instance.name] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S, sock_connect=1.0),
            )
            self.n_missed_checks[instance.name] = MAX_MISSED_CHECKS
            self.loops.append(asyncio.create_task(self._poll_readiness(instance)))
        self.loops.append(asyncio.create_task(self._send_requests()))

    async def stop(self) -> None:
        """Stop sending and wait for the requests in progress."""
        for task in self.loops:
            task.cancel()
        await asyncio.gather(*self.loops, *self.tasks, return_exceptions=True)
        for session in self.sessions.values():
            await session.close()

    def ready(self) -> list[Instance]:
        """Return the instances in rotation, or all instances if none is."""
        instances = self.deployment.instances
        ready = [
            instance
            for instance in instances
            if self.n_missed_checks[instance.name] < MAX_MISSED_CHECKS
        ]
        return ready or instances

    async def send(
        self, instance: Instance, path: str, organisation: str | None
    ) -> SentRequest:
        """Send one request and record its answer."""
        self.n_requests += 1
        request_id = f"{self.rng.getrandbits(64):016x}"
        request = SentRequest(
            request_id=request_id,
            instance=instance.name,
            path=path,
            organisation=organisation,
            sent_s=time.monotonic(),
        )
        self.requests.append(request)
        key = ORGANISATIONS.get(organisation or "", WRONG_KEY)
        is_unsafe = path.startswith(UNSAFE)
        if is_unsafe or path.startswith(RESUMABLE):
            request.body = f"body of {request_id}".encode()
        try:
            async with self.sessions[instance.name].request(
                "POST" if request.body else "GET",
                instance.url + path,
                data=request.body or None,
                headers={
                    "Host": SOAK_HOST,
                    names.REQUEST_ID: request_id,
                    names.DEADLINE: str(int(TIMEOUT_S * 1000)),
                    "Authorization": f"Token {key}",
                },
            ) as answer:
                request.status = answer.status
                request.signature = answer.headers.get(names.SIGNATURE)
                request.retry_after = answer.headers.get("Retry-After")
                async for chunk in answer.content.iter_any():
                    request.answer += chunk
                request.is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            request.error = repr(error)
        request.ended_s = time.monotonic()
        return request

    async def _send_requests(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
            instance = self.rng.choice(self.ready())
            prefix = self.rng.choice([RESUMABLE, RESUMABLE, UNSAFE, SAFE])
            extra = self.deployment.extra_routes
            if extra and self.rng.random() < 0.1:
                prefix = self.rng.choice(extra)
            organisation = self.rng.choice(list(ORGANISATIONS))
            path = f"{prefix}{self.n_requests}"
            task = asyncio.create_task(self._send_once(instance, path, organisation))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_once(
        self, instance: Instance, path: str, organisation: str
    ) -> None:
        await self.send(instance, path, organisation)

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
