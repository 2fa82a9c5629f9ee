"""Compares routing policies by replaying synthetic chats against a queue model.

Endpoints have slots, one prefill at a time and a bounded prefix cache. Several entry
instances route with delayed load reports and with cache events that are delayed and
have gaps. Prints a line per policy: uncached prompt tokens and their share, time to
the first token, share of requests over the target::

    python benchmarks/routing_policies.py
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
MAX_CACHED_BLOCKS = 2_500
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.4
EVENT_LAG_S = 1.0
GAP_SHARE = 0.05
FIRST_TOKEN_TARGET_S = 0.35
N_SYSTEM_BLOCKS = 8
N_TURN_BLOCKS = 6
MEAN_TURN_PAUSE_S = 12.0


@attrs.define
class Engine:
    """Simulated endpoint with a queue, one prefill at a time and an LRU cache."""

    name: str
    cache: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    n_running: int = 0
    waiting: list = attrs.field(factory=list)
    prefill_free_s: float = 0.0
    events: list = attrs.field(factory=list)

    def process_prompt(self, blocks: tuple[int, ...]) -> int:
        """Look up and cache the blocks; return the number that were not cached."""
        n_cached = 0
        for block in blocks:
            if block not in self.cache:
                break
            n_cached += 1
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > MAX_CACHED_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        self.events.append(("stored", blocks[n_cached:]))
        self.events.append(("evicted", evicted))
        return len(blocks) - n_cached


@attrs.define
class Chat:
    """A conversation; each prompt begins with that of the previous turn."""

    blocks: list[int]
    n_turns: int


@attrs.define(eq=False)
class Replay:
    """One replay of the model with a policy."""

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
    system_prompts: list[list[int]] = attrs.field(factory=list)

    def run(self) -> None:
        """Simulate all arrivals until their requests have finished."""
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
        self.system_prompts = [self.make_blocks(N_SYSTEM_BLOCKS) for _ in range(5)]
        self.schedule(0.0, self.send_reports)
        self.schedule(0.0, self.start_chat)
        while self.queue:
            time_s, _, call, arguments = heapq.heappop(self.queue)
            self.clock.now_s = time_s
            call(*arguments)

    def schedule(self, time_s: float, call, *arguments) -> None:
        """Schedule a call at a simulated time."""
        heapq.heappush(self.queue, (time_s, next(self.sequence), call, arguments))

    def make_blocks(self, n_blocks: int) -> list[int]:
        """Return new random block hashes."""
        return [self.rng.getrandbits(64) for _ in range(n_blocks)]

    def start_chat(self) -> None:
        """Start a conversation and schedule the next one."""
        now_s = self.clock.now_s
        if now_s > self.seconds:
            return
        system_prompt = self.rng.choices(self.system_prompts, weights=(8, 4, 2, 1, 1))[
            0
        ]
        chat = Chat(
            system_prompt + self.make_blocks(N_TURN_BLOCKS), self.rng.randint(1, 8)
        )
        key = self.rng.getrandbits(64)
        self.schedule(now_s, self.send_turn, chat, key)
        self.schedule(now_s + self.rng.expovariate(self.chats_per_s), self.start_chat)

    def send_turn(self, chat: Chat, key: int) -> None:
        """Route the next request of a conversation from a random instance."""
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
        self.start_waiting(engine)

    def start_waiting(self, engine: Engine) -> None:
        """Start waiting requests in free slots."""
        while engine.waiting and engine.n_running < N_SLOTS:
            job = engine.waiting.pop(0)
            engine.n_running += 1
            n_uncached = engine.process_prompt(job[3].prefix_blocks)
            self.n_uncached += n_uncached
            self.n_blocks += len(job[3].prefix_blocks)
            prefill_start_s = max(self.clock.now_s, engine.prefill_free_s)
            first_s = prefill_start_s + PREFILL_S * n_uncached
            engine.prefill_free_s = first_s
            n_tokens = self.rng.randint(40, 160)
            self.schedule(
                first_s + n_tokens * TOKEN_S,
                self.finish_request,
                engine,
                job,
                first_s,
                n_tokens,
            )

    def finish_request(
        self, engine: Engine, job, first_s: float, n_tokens: int
    ) -> None:
        """Finish a request and schedule the next turn of its conversation."""
        arrival_s, routing, route, request, chat, key = job
        engine.n_running -= 1
        self.first_tokens_s.append(first_s - arrival_s)
        result = AttemptResult(
            ok=True,
            n_tokens=n_tokens,
            first_token_s=first_s - arrival_s,
            between_tokens_s=TOKEN_S,
        )
        routing.ended(route, request, result)
        chat.n_turns -= 1
        if chat.n_turns > 0:
            chat.blocks = chat.blocks + self.make_blocks(N_TURN_BLOCKS)
            pause_s = self.rng.expovariate(1 / MEAN_TURN_PAUSE_S)
            self.schedule(self.clock.now_s + pause_s, self.send_turn, chat, key)
        self.start_waiting(engine)

    def send_reports(self) -> None:
        """Send delayed load reports to all and cache events to two instances."""
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
                self.schedule(
                    now_s + REPORT_LAG_S, routing._handle_load, "w", name, load
                )
                if (index - number) % self.n_instances < 2:
                    self.schedule(
                        now_s + EVENT_LAG_S,
                        apply_cache_events,
                        routing,
                        name,
                        events,
                        has_gap,
                    )
        for routing in self.routings:
            routing.refresh_all()
        if now_s < self.seconds + 60:
            self.schedule(now_s + REPORT_INTERVAL_S, self.send_reports)


class FixedCatalogue:
    """A catalogue that does not change."""

    name = "catalogue"

    def __init__(self, content: CatalogueContent) -> None:
        self.content = content


def apply_cache_events(
    routing: RoutingService, name: str, events, has_gap: bool
) -> None:
    """Apply cache events to the prefix index as the endpoint watch does."""
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
    raw_content = {
        "classes": {"chat": {"first_token_ms": FIRST_TOKEN_TARGET_S * 1000}},
        "entries": {"guide": {"kind": "model", "owner": "b", "service_class": "chat"}},
        "endpoints": endpoints,
    }
    return convert(raw_content, CatalogueContent)


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
    """Return the results of one replay."""
    times_ms = sorted(1000 * value for value in replay.first_tokens_s)
    n_missed = sum(value > 1000 * FIRST_TOKEN_TARGET_S for value in times_ms)
    return (
        replay.n_uncached * TOKENS_PER_BLOCK,
        replay.n_uncached / replay.n_blocks,
        times_ms[len(times_ms) // 2],
        times_ms[int(0.95 * len(times_ms))],
        n_missed / len(times_ms),
    )


if __name__ == "__main__":
    main()
