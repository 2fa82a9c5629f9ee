"""A request that crashes servers comes again while instances are restarted in turn."""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

import aiohttp
from shared.cases import Case, main
from shared.deployment import (
    STABLE_S,
    CannotRunError,
    Deployment,
    Instance,
    make_config,
    make_route,
)
from shared.requesters import send
from shared.servers import Server

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
N_PER_ZONE = 2
SETTLE_S = 4.0
COMES_AGAIN_S = 1.5  # until the request that crashes servers is sent once more
USUAL_PER_S = 8.0  # requests of other requesters
LIMIT_S = 75.0
GAP_S = 2.0  # from the start of an instance to the stop of the next one
MAX_RETRIES = 3  # RULES.md, BUDGET
PATH = "/charge/2f"
READY_CHECKS = 2  # misses after which a platform sends no new channels


class CrashingRequest(Case):
    """The requesters, and what they saw."""

    def __init__(self) -> None:
        super().__init__(Deployment(N_PER_ZONE))
        self.sent: list[dict] = []
        self.rotation: set[str] = set()
        self.servers = [
            Server(f"s{number}", "desk", zone, self.deployment.platform, self.runs)
            for number, zone in enumerate(["zone-a", "zone-b", "zone-c"] * 2)
        ]

    def choose(self) -> Instance | None:
        """Return an instance to which the platform sends a new channel."""
        instances = self.deployment.instances
        ready = [one for one in instances if one.name in self.rotation]
        return random.choice(ready) if ready else None

    async def watch(self, session: aiohttp.ClientSession) -> None:
        """Keep the platform's rotation: two misses take an instance out."""
        misses = {one.name: READY_CHECKS for one in self.deployment.instances}
        while True:
            for one in self.deployment.instances:
                is_ready = await self.deployment.is_ready(session, one)
                misses[one.name] = 0 if is_ready else misses[one.name] + 1
                if misses[one.name] >= READY_CHECKS:
                    self.rotation.discard(one.name)
                elif is_ready:
                    self.rotation.add(one.name)
            await asyncio.sleep(1.0)

    async def send_usual(self, session: aiohttp.ClientSession) -> None:
        """Send the requests of other requesters."""
        tasks = set()
        while True:
            one = self.choose()
            if one is not None:
                body = f"pay {random.random()}".encode()
                sending = send(session, one, PATH, self.sent, body=body)
                task = asyncio.create_task(sending)
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(USUAL_PER_S))

    async def come_again(self, session: aiohttp.ClientSession) -> None:
        """Send the request that crashes servers, again and again, at any instance."""
        while True:
            one = self.choose()
            if one is not None:
                await send(session, one, PATH, self.sent, body=Server.CRASH)
            await asyncio.sleep(COMES_AGAIN_S)

    async def roll(self) -> None:
        """Stop and start all instances in turn, one at a time."""
        for one in self.deployment.instances:
            self.events.append((time.monotonic(), f"restart {one.name}"))
            await self.deployment.restart(one)
            await asyncio.sleep(GAP_S)

    async def run(self) -> None:
        """Play the case."""
        for server in self.servers:
            await server.start()
        config = make_config(["desk"], [make_route("charge", "unsafe", "desk")])
        await self.deployment.start(config, ["usage"])
        async with aiohttp.ClientSession() as session:
            tasks = [
                asyncio.create_task(self.watch(session)),
                asyncio.create_task(self.send_usual(session)),
            ]
            await asyncio.sleep(SETTLE_S)
            started_s = time.monotonic()
            tasks.append(asyncio.create_task(self.come_again(session)))
            while sum(run["crashes"] for run in self.runs) < 3:
                await asyncio.sleep(0.1)
                if time.monotonic() - started_s > 30:
                    seen = [
                        one["status"]
                        for one in self.sent
                        if one["body"] == Server.CRASH
                    ]
                    raise CannotRunError(f"It did not crash three servers: {seen}.")
            await asyncio.sleep(STABLE_S + 1.0)
            if IS_TROUBLED:
                tasks.append(asyncio.create_task(self.roll()))
            await asyncio.sleep(LIMIT_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def judge(self) -> int:
        """Write the record and return the exit code."""
        sent = {one["id"]: one for one in self.sent}
        crashed = [run for run in self.runs if run["crashes"]]
        third_s = crashed[2]["arrived"]
        late = [
            run
            for run in crashed[3:]
            if run["arrived"] > third_s + STABLE_S and sent[run["id"]]["in_touch"]
        ]
        lost = [
            run
            for run in self.runs
            if not run["crashes"] and sent[run["id"]]["status"] == 502
        ]
        start_s = self.sent[0]["sent"]
        lines = [f"# times in seconds; trouble: {IS_TROUBLED}"]
        for at_s, text in self.events:
            lines.append(f"{at_s - start_s:8.3f} {text}")
        for one in self.sent:
            kind = "crashing" if one["body"] == Server.CRASH else "usual"
            lines.append(
                f"{one['sent'] - start_s:8.3f} sent {one['id']} {kind} to "
                f"{one['instance']} in touch {one['in_touch']}: {one['status']}"
            )
        for run in self.runs:
            end = "cut off" if run["ended"] is None else "runs to its end"
            end = "crashes the server" if run["crashes"] else end
            lines.append(
                f"{run['arrived'] - start_s:8.3f} runs {run['id']} at {run['server']} "
                f"from {run['peer']}: {end}"
            )
        verdict = (
            f"the request crashed {len(crashed)} servers, {len(late)} of them more "
            f"than {STABLE_S} s after the third crash and sent by machines in touch "
            f"(allowed: {MAX_RETRIES}); {len(lost)} accepted requests of others were "
            "cut off by the crashes"
        )
        lines.append(verdict)
        print(verdict)
        lines.sort(key=lambda line: line[:1] not in " 0123456789")
        (Path(__file__).parent / "record.txt").write_text("\n".join(lines) + "\n")
        return 1 if len(late) > MAX_RETRIES else 0


if __name__ == "__main__":
    main(CrashingRequest)
