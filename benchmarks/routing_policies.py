"""Replays synthetic chats against a queue model and compares policies.

Endpoints have slots, one prefill at a time and a bounded prefix cache; several
entry instances route with load reports that lag and cache events that are late
and have gaps. Prints a line per policy: prompt tokens that were not cached and their
share, time to the first token, share of requests over the target.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import statistics
from collections import OrderedDict

import attrs

from lagoonring.catalogue import CatalogueContent
from lagoonring.kernel import Application, ManualClock
from lagoonring.routing import (
    AttemptResult,
    EndpointLoad,
    RouteRequest,
    RoutingOptions,
    RoutingService,
)
from lagoonring.routing.options import POLICY_NAMES
from lagoonring.settings import convert

TOKENS_PER_BLOCK = 64
PREFILL_S = 0.012
TOKEN_S = 0.03
N_SLOTS = 8
N_CACHED_BLOCKS = 2_500
REPORT_S = 0.5
REPORT_LAG_S = 0.4
EVENT_LAG_S = 1.0
GAP_SHARE = 0.05
TARGET_S = 0.35
SYSTEM_BLOCKS = 8
TURN_BLOCKS = 6
TURN_GAP_S = 12.0


@attrs.define
class Engine:
    """An endpoint of the model: a queue, one prefill at a time, an LRU cache."""

    name: str
    cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    n_running: int = 0
    waiting: list = attrs.field(factory=list)
    prefill_free_s: float = 0.0
    events: list = attrs.field(factory=list)

    def take_prompt(self, blocks: tuple[int, ...]) -> int:
        """Use and fill the cache; return the blocks that were not cached."""
        n_cached = 0
        for block in blocks:
            if block not in self.cache:
                break
            n_cached += 1
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > N_CACHED_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        self.events.append(("stored", blocks[n_cached:]))
        self.events.append(("evicted", evicted))
        return len(blocks) - n_cached


@attrs.define
class Chat:
    """A conversation; each turn's prompt begins with the one before."""

    blocks: list[int]
    n_turns: int


@attrs.define(eq=False)
class Replay:
    """One run of the model with a policy."""

    policy: str
    n_endpoints: int
    n_instances: int
    chats_per_s: float
    seconds: float
    seed: int = 1
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(0.0))
    queue: list = attrs.field(factory=list)
    sequence: itertools.count = attrs.field(factory=itertools.count)
    n_uncached: int = 0
    n_blocks: int = 0
    first_tokens_s: list[float] = attrs.field(factory=list)
    rng: random.Random = attrs.field(factory=random.Random)
    engines: dict[str, Engine] = attrs.field(factory=dict)
    routings: list[RoutingService] = attrs.field(factory=list)
    shared: list[list[int]] = attrs.field(factory=list)

    def run(self) -> None:
        """Play all arrivals and let them finish."""
        self.rng.seed(self.seed)
        names = [f"guide-{number}" for number in range(self.n_endpoints)]
        self.engines = {name: Engine(name) for name in names}
        content = make_content(names)
        for number in range(self.n_instances):
            app = Application(clock=self.clock, rng=random.Random(number))
            app.add(FixedCatalogue(content))
            options = RoutingOptions(policy=self.policy)
            routing = RoutingService(app, options, data_centre="plateau")
            routing.apply_catalogue(content, 0)
            self.routings.append(routing)
        self.shared = [self.new_blocks(SYSTEM_BLOCKS) for _ in range(5)]
        self.at(0.0, self.report)
        self.at(0.0, self.begin_chat)
        while self.queue:
            time_s, _, call, arguments = heapq.heappop(self.queue)
            self.clock.now_s = time_s
            call(*arguments)

    def at(self, time_s: float, call, *arguments) -> None:
        """Have a function called at a time."""
        heapq.heappush(self.queue, (time_s, next(self.sequence), call, arguments))

    def new_blocks(self, n_blocks: int) -> list[int]:
        """Return block hashes never seen before."""
        return [self.rng.getrandbits(64) for _ in range(n_blocks)]

    def begin_chat(self) -> None:
        """Begin a conversation and plan the next one."""
        now_s = self.clock.now_s
        if now_s > self.seconds:
            return
        shared = self.rng.choices(self.shared, weights=(8, 4, 2, 1, 1))[0]
        chat = Chat(shared + self.new_blocks(TURN_BLOCKS), self.rng.randint(1, 8))
        key = self.rng.getrandbits(64)
        self.at(now_s, self.turn, chat, key)
        self.at(now_s + self.rng.expovariate(self.chats_per_s), self.begin_chat)

    def turn(self, chat: Chat, key: int) -> None:
        """Route one request of a conversation, from any instance."""
        routing = self.rng.choice(self.routings)
        request = RouteRequest(
            entry="guide",
            service_class="chat",
            request_id="r",
            prefix_blocks=tuple(chat.blocks),
            affinity_key=key,
        )
        route = routing.choose(request)
        routing.started(route, request)
        engine = self.engines[route.endpoint]
        engine.waiting.append((self.clock.now_s, routing, route, request, chat, key))
        self.serve(engine)

    def serve(self, engine: Engine) -> None:
        """Start waiting requests in free slots."""
        while engine.waiting and engine.n_running < N_SLOTS:
            job = engine.waiting.pop(0)
            engine.n_running += 1
            n_uncached = engine.take_prompt(job[3].prefix_blocks)
            self.n_uncached += n_uncached
            self.n_blocks += len(job[3].prefix_blocks)
            begun_s = max(self.clock.now_s, engine.prefill_free_s)
            first_s = begun_s + PREFILL_S * n_uncached
            engine.prefill_free_s = first_s
            n_tokens = self.rng.randint(40, 160)
            self.at(
                first_s + n_tokens * TOKEN_S, self.end, engine, job, first_s, n_tokens
            )

    def end(self, engine: Engine, job, first_s: float, n_tokens: int) -> None:
        """Finish a request and plan the conversation's next turn."""
        asked_s, routing, route, request, chat, key = job
        engine.n_running -= 1
        self.first_tokens_s.append(first_s - asked_s)
        result = AttemptResult(
            ok=True,
            n_tokens=n_tokens,
            first_token_s=first_s - asked_s,
            between_tokens_s=TOKEN_S,
        )
        routing.ended(route, request, result)
        chat.n_turns -= 1
        if chat.n_turns > 0:
            chat.blocks = chat.blocks + self.new_blocks(TURN_BLOCKS)
            gap_s = self.rng.expovariate(1 / TURN_GAP_S)
            self.at(self.clock.now_s + gap_s, self.turn, chat, key)
        self.serve(engine)

    def report(self) -> None:
        """Send late load reports to all and cache events to two instances."""
        now_s = self.clock.now_s
        for number, (name, engine) in enumerate(self.engines.items()):
            load = EndpointLoad(
                n_running=engine.n_running,
                n_waiting=len(engine.waiting),
                n_slots=N_SLOTS,
                time_s=now_s,
            )
            events, engine.events = engine.events, []
            has_gap = self.rng.random() < GAP_SHARE
            for index, routing in enumerate(self.routings):
                self.at(now_s + REPORT_LAG_S, routing._handle_load, "w", name, load)
                if (index - number) % self.n_instances < 2:
                    self.at(
                        now_s + EVENT_LAG_S, take_events, routing, name, events, has_gap
                    )
        for routing in self.routings:
            routing.refresh_all()
        if now_s < self.seconds + 60:
            self.at(now_s + REPORT_S, self.report)


class FixedCatalogue:
    """A catalogue that does not change."""

    name = "catalogue"

    def __init__(self, content: CatalogueContent) -> None:
        self.content = content


def take_events(routing: RoutingService, name: str, events, has_gap: bool) -> None:
    """Do what the watch does with cache events."""
    state = routing.table.states[name]
    if has_gap:
        state.bit = routing.index.forget(name)
        return
    for kind, blocks in events:
        if kind == "stored":
            routing.index.store(blocks, state.bit)
        else:
            routing.index.evict(blocks, state.bit)


def make_content(names: list[str]) -> CatalogueContent:
    """Return a catalogue with endpoints in one data centre."""
    endpoints = {
        name: {
            "entry": "guide",
            "data_centre": "plateau",
            "url": f"http://127.0.0.1:{n}",
        }
        for n, name in enumerate(names, start=1)
    }
    plain = {
        "classes": {"chat": {"first_token_ms": TARGET_S * 1000}},
        "entries": {"guide": {"kind": "model", "owner": "b", "service_class": "chat"}},
        "endpoints": endpoints,
    }
    return convert(plain, CatalogueContent)


def main() -> None:
    """Print a line per policy."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--endpoints", type=int, default=5)
    parser.add_argument("--instances", type=int, default=3)
    parser.add_argument("--chats-per-s", type=float, default=1.6)
    parser.add_argument("--seconds", type=float, default=400.0)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print(
        "policy               uncached_tokens  share  first_token_ms p50  p95  missed"
    )
    for policy in POLICY_NAMES:
        rows = []
        for seed in range(arguments.seeds):
            replay = Replay(
                policy=policy,
                n_endpoints=arguments.endpoints,
                n_instances=arguments.instances,
                chats_per_s=arguments.chats_per_s,
                seconds=arguments.seconds,
                seed=seed,
            )
            replay.run()
            rows.append(summarise(replay))
        mean = [statistics.mean(column) for column in zip(*rows, strict=True)]
        print(
            f"{policy:18s} {mean[0]:15.0f}  {mean[1]:5.3f}  {mean[2]:12.0f}  "
            f"{mean[3]:5.0f}  {mean[4]:6.3f}"
        )


def summarise(replay: Replay) -> tuple[float, ...]:
    """Return the figures of one run."""
    times_ms = sorted(1000 * value for value in replay.first_tokens_s)
    n_missed = sum(value > 1000 * TARGET_S for value in times_ms)
    return (
        replay.n_uncached * TOKENS_PER_BLOCK,
        replay.n_uncached / replay.n_blocks,
        times_ms[len(times_ms) // 2],
        times_ms[int(0.95 * len(times_ms))],
        n_missed / len(times_ms),
    )


if __name__ == "__main__":
    main()
