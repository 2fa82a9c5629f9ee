"""All machines but one are lost; many users then keep an idle channel each."""

from __future__ import annotations

import asyncio
import os
import random
import resource
import signal
import time
import uuid
from pathlib import Path

import aiohttp
from shared.cases import Case, main
from shared.deployment import (
    FRONT,
    HOST,
    KEY,
    STABLE_S,
    CannotRunError,
    Deployment,
    Instance,
    make_config,
    make_route,
)
from shared.servers import Server

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
N_PER_ZONE = 2
N_SERVERS = 4
MAX_SOCKETS = 4000  # 4,200 descriptors, of which 200 are reserved for files
USERS_PER_S = 98.9  # the sheet of this deployment
PLAY_S = 95.0
CHANNEL_S = 1.0  # "Requesters allow a new channel one second to be established"
UNREAD_S = 1.0  # "If a node has not read an idempotent request after one second"
DEADLINE_MS = 4000
MIN_TRIES = 7  # RULES.md, RECOVER
NEEDED_FDS, MAX_FDS = 6500, 9000


class IdleChannels(Case):
    """The users, and what they saw."""

    def __init__(self) -> None:
        super().__init__(Deployment(N_PER_ZONE, max_sockets=MAX_SOCKETS))
        self.tries: list[dict] = []
        self.ready: list[tuple[float, str, int | str]] = []
        self.up: list[Instance] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.servers = [
            Server(f"s{number}", "desk", "zone-a", self.deployment.platform, self.runs)
            for number in range(N_SERVERS)
        ]

    async def use(self, one: Instance) -> None:
        """Open a channel, send one request on it, and keep it until it is closed.

        A user who gets no answer within a second gives the attempt up.
        """
        began_s = time.monotonic()
        request_id = uuid.uuid4().hex[:16]
        tried = {
            "id": request_id,
            "at": began_s,
            "instance": one.name,
            "channel": None,
            "status": None,
            "ended": None,
        }
        self.tries.append(tried)
        writer = None
        try:
            async with asyncio.timeout(CHANNEL_S):
                reader, writer = await asyncio.open_connection(one.ip, FRONT)
            self.open.add(writer)
            tried["channel"] = time.monotonic() - began_s
            head = (
                f"GET /lookup/2f HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Authorization: Token {KEY}\r\nLagoonring-Request-Id: {request_id}\r\n"
                f"Lagoonring-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
            )
            writer.write(head.encode())
            async with asyncio.timeout(UNREAD_S):
                answer = await reader.readuntil(b"\r\n\r\n")
            tried["status"] = int(answer.split()[1])
            while await reader.read(4096):  # the body, then nothing until the close
                continue
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            tried["status"] = tried["status"] or type(error).__name__
        finally:
            tried["ended"] = time.monotonic()
            if writer is not None:
                self.open.discard(writer)
                writer.close()

    async def send_users(self) -> None:
        """Let users come, each to a random machine that is up."""
        tasks = set()
        next_s = time.monotonic()
        while True:
            task = asyncio.create_task(self.use(random.choice(self.up)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            next_s += random.expovariate(USERS_PER_S)
            await asyncio.sleep(max(next_s - time.monotonic(), 0))

    async def watch(self) -> None:
        """Ask each second whether the machines are ready, on kept channels."""
        async with aiohttp.ClientSession() as session:
            while True:
                for one in self.up:
                    is_ready = await self.deployment.is_ready(session, one)
                    self.ready.append((time.monotonic(), one.name, is_ready))
                await asyncio.sleep(1.0)

    async def run(self) -> None:
        """Play the case."""
        n_fds = min(resource.getrlimit(resource.RLIMIT_NOFILE)[1], MAX_FDS)
        if n_fds < NEEDED_FDS:
            raise CannotRunError(f"The users need {NEEDED_FDS} descriptors.")
        resource.setrlimit(resource.RLIMIT_NOFILE, (n_fds, n_fds))
        for server in self.servers:
            await server.start()
        config = make_config(["desk"], [make_route("lookup", "safe", "desk")])
        await self.deployment.start(config, ["usage"])
        self.up = list(self.deployment.instances)
        watching = asyncio.create_task(self.watch())
        await asyncio.sleep(STABLE_S + 1.0)
        if IS_TROUBLED:
            self.up = self.up[:1]
            for one in self.deployment.instances[1:]:
                one.signal(signal.SIGKILL)
        users = asyncio.create_task(self.send_users())
        await asyncio.sleep(PLAY_S)
        for task in (users, watching):
            task.cancel()

    async def stop(self) -> None:
        """End all that was started, and the users' channels."""
        await super().stop()
        for writer in list(self.open):
            writer.transport.abort()

    def judge(self) -> int:
        """Write the record and return the exit code."""
        start_s = self.tries[0]["at"]
        lines = [f"# times in seconds; trouble: {IS_TROUBLED}"]
        longest = (0.0, 0.0, 0)
        for one in self.up:
            span = self.find_deaf_span(one)
            longest = max(longest, span)
        for second in range(int(PLAY_S)):
            tries = [
                one for one in self.tries if second <= one["at"] - start_s < second + 1
            ]
            n_channels = sum(one["channel"] is not None for one in tries)
            n_ok = sum(one["status"] == 200 for one in tries)
            ready = {
                state for at_s, _, state in self.ready if int(at_s - start_s) == second
            }
            lines.append(
                f"{second:3d} s: {len(tries)} new channels tried, {n_channels} "
                f"established, {n_ok} answered with 200; ready: {sorted(ready)}"
            )
        ended = {one["id"]: one for one in self.tries}
        stale = [
            run
            for run in self.runs
            if ended[run["id"]]["status"] not in (200, None)
            and run["arrived"] - ended[run["id"]]["ended"] > 0.5
        ]
        length_s, at_s, n_tries = longest
        verdict = (
            f"longest span in which a ready machine answered on no new channel: "
            f"{length_s:.1f} s from {at_s - start_s:.1f} s on, {n_tries} users tried; "
            f"{len(stale)} requests reached a server over 0.5 s after their user left"
        )
        lines.append(verdict)
        print(verdict)
        (Path(__file__).parent / "record.txt").write_text("\n".join(lines) + "\n")
        return 1 if length_s > STABLE_S and n_tries >= MIN_TRIES else 0

    def find_deaf_span(self, one: Instance) -> tuple[float, float, int]:
        """Return the longest span of a machine that took no new channel.

        It is ready all the while. Returns the span's length and begin, and the number
        of users who tried.
        """
        best = (0.0, 0.0, 0)
        refused_s = [
            at_s for at_s, name, ok in self.ready if name == one.name and not ok
        ]
        since_s, n_tries = None, 0
        for tried in self.tries:
            if tried["instance"] != one.name:
                continue
            while refused_s and refused_s[0] <= tried["at"]:
                since_s = None
                refused_s.pop(0)
            if tried["status"] == 200 or since_s is None:
                since_s, n_tries = tried["at"], 0
            n_tries += 1
            best = max(best, (tried["at"] - since_s, since_s, n_tries))
        return best


if __name__ == "__main__":
    main(IdleChannels)
