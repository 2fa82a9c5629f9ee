"""Callers that keep their connections and note all that they get."""

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

CHECK_READY_S = 0.5
N_MISSES_MOST = 2
TIMEOUT_S = 3.0  # the routes' own
LATE_S = 0.5  # beyond the time-out; more is held
GIVE_UP_S = 8.0  # nobody waits longer; what has no end by then hangs
REQUESTS_PER_S = 60.0
WRONG_KEY = "key-of-nobody"


@attrs.define(kw_only=True)
class Sent:
    """One request and what its caller got; times on the monotonic clock.

    ``status`` is None without an answer, ``is_whole`` tells a proper end.
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
    is_whole: bool = False
    ended_s: float = 0.0
    error: str = ""
    retry_after: str | None = None


class Callers:
    """Seeded load on all instances that say they are ready.

    Attributes
    ----------
    sent : list of Sent
        All requests so far.
    """

    def __init__(self, deployment: SoakDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.sent: list[Sent] = []
        self.misses: dict[str, int] = {}
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.loops: list[asyncio.Task[None]] = []
        self.n_made = 0

    async def start(self) -> None:
        """Begin to look for ready instances and to ask them."""
        for instance in self.deployment.instances:
            self.sessions[instance.name] = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(total=GIVE_UP_S, sock_connect=1.0),
            )
            self.misses[instance.name] = N_MISSES_MOST
            self.loops.append(asyncio.create_task(self._watch(instance)))
        self.loops.append(asyncio.create_task(self._ask_on()))

    async def stop(self) -> None:
        """Ask no more, and wait for what is open."""
        for task in self.loops:
            task.cancel()
        await asyncio.gather(*self.loops, *self.tasks, return_exceptions=True)
        for session in self.sessions.values():
            await session.close()

    def ready(self) -> list[Instance]:
        """Return the instances in rotation, or all if none is."""
        instances = self.deployment.instances
        ready = [it for it in instances if self.misses[it.name] < N_MISSES_MOST]
        return ready or instances

    async def ask(
        self, instance: Instance, path: str, organisation: str | None
    ) -> Sent:
        """Send one request and note its answer."""
        self.n_made += 1
        request_id = f"{self.rng.getrandbits(64):016x}"
        sent = Sent(
            request_id=request_id,
            instance=instance.name,
            path=path,
            organisation=organisation,
            sent_s=time.monotonic(),
        )
        self.sent.append(sent)
        key = ORGANISATIONS.get(organisation or "", WRONG_KEY)
        is_unsafe = path.startswith(UNSAFE)
        if is_unsafe or path.startswith(RESUMABLE):
            sent.body = f"body of {request_id}".encode()
        try:
            async with self.sessions[instance.name].request(
                "POST" if sent.body else "GET",
                instance.url + path,
                data=sent.body or None,
                headers={
                    "Host": SOAK_HOST,
                    names.REQUEST_ID: request_id,
                    names.DEADLINE: str(int(TIMEOUT_S * 1000)),
                    "Authorization": f"Token {key}",
                },
            ) as answer:
                sent.status = answer.status
                sent.signature = answer.headers.get(names.SIGNATURE)
                sent.retry_after = answer.headers.get("Retry-After")
                async for chunk in answer.content.iter_any():
                    sent.answer += chunk
                sent.is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            sent.error = repr(error)
        sent.ended_s = time.monotonic()
        return sent

    async def _ask_on(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
            instance = self.rng.choice(self.ready())
            prefix = self.rng.choice([RESUMABLE, RESUMABLE, UNSAFE, SAFE])
            extra = self.deployment.extra_routes
            if extra and self.rng.random() < 0.1:
                prefix = self.rng.choice(extra)
            organisation = self.rng.choice(list(ORGANISATIONS))
            path = f"{prefix}{self.n_made}"
            task = asyncio.create_task(self._ask_once(instance, path, organisation))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask_once(self, instance: Instance, path: str, organisation: str) -> None:
        await self.ask(instance, path, organisation)

    async def _watch(self, instance: Instance) -> None:
        url = f"http://{instance.ip}:{READY_PORT}/ready"
        timeout = aiohttp.ClientTimeout(total=CHECK_READY_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(url) as answer:
                        is_ready = answer.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    is_ready = False
                missed = 0 if is_ready else self.misses[instance.name] + 1
                self.misses[instance.name] = missed
                await asyncio.sleep(CHECK_READY_S)
