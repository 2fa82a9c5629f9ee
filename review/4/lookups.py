"""Not a case: lookups that many callers share are refused for good (see REPORT.md).

The same memory of requests that crash servers counts each answer that is lost by a
reset as a crash. Three of five servers lose a share of their answers for 5.5 s.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time
import uuid

import aiohttp
from aiohttp import web
from shared.cases import Case, main
from shared.deployment import HOST, KEY, Deployment, make_config, make_route
from shared.servers import Server

N_PER_ZONE = 2
N_SERVERS, N_LOSSY = 5, 3  # a share of 0.6
LOST_SHARE = 0.4
LOSS_S = (6.0, 11.5)
PLAY_S = 45.0
PER_S = 25.0
POPULAR_SHARE = 0.6
SPANS_S = [(0.0, 6.0), (6.0, 11.5), (11.5, 18.0), (18.0, 45.0)]
DEADLINE_MS = 4000


class LossyServer(Server):
    """A server that loses the answers of some requests that it ran."""

    lost_share = 0.0

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        answer = await super()._serve(request)
        if random.random() < self.lost_share and request.transport is not None:
            request.transport.abort()
        return answer


class SharedLookups(Case):
    """Callers of one tenant, most of whom look up the same thing."""

    def __init__(self) -> None:
        super().__init__(Deployment(N_PER_ZONE))
        self.servers = [
            LossyServer(f"s{n}", "desk", "zone-a", self.deployment.platform, self.runs)
            for n in range(N_SERVERS)
        ]
        self.answers: list[tuple[float, bool, int | str]] = []
        self.started_s = 0.0

    async def look_up(self, session: aiohttp.ClientSession) -> None:
        """Send one GET request to a random instance."""
        is_popular = random.random() < POPULAR_SHARE
        name = "popular" if is_popular else uuid.uuid4().hex
        one = random.choice(self.deployment.instances)
        at_s = time.monotonic() - self.started_s
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "Lagoonring-Request-Id": uuid.uuid4().hex[:16],
            "Lagoonring-Deadline-Ms": str(DEADLINE_MS),
            "Connection": "close",
        }
        status: int | str
        try:
            url = f"{one.url}/lookup/{name}"
            async with session.get(url, headers=headers) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            status = type(error).__name__
        self.answers.append((at_s, is_popular, status))

    async def run(self) -> None:
        """Play the case."""
        for server in self.servers:
            await server.start()
        routes = [make_route("lookup", "safe", "desk")]
        await self.deployment.start(make_config(["desk"], routes), ["usage"])
        self.started_s = time.monotonic()
        tasks: set[asyncio.Task[None]] = set()
        async with aiohttp.ClientSession() as session:
            while (elapsed_s := time.monotonic() - self.started_s) < PLAY_S:
                is_lossy = LOSS_S[0] < elapsed_s < LOSS_S[1]
                for server in self.servers[:N_LOSSY]:
                    server.lost_share = LOST_SHARE if is_lossy else 0.0
                task = asyncio.create_task(self.look_up(session))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(random.expovariate(PER_S))
            await asyncio.gather(*tasks)

    def judge(self) -> int:
        """Print the statuses by span, of the popular lookup and of the others."""
        for since_s, until_s in SPANS_S:
            for is_popular in (True, False):
                counts = collections.Counter(
                    status
                    for at_s, popular, status in self.answers
                    if popular is is_popular and since_s <= at_s < until_s
                )
                name = "popular" if is_popular else "others"
                print(f"{since_s} to {until_s} s, {name}: {dict(counts)}")
        return 0


if __name__ == "__main__":
    main(SharedLookups)
