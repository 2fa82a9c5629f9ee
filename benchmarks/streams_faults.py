"""Streams under random reclaims, cuts, crossed and late answers, and kills.

A deployment of entry instances and engines runs in one process; callers check
every token and re-attach through a random instance when their connection ends
early. Prints one JSON object; exits with 1 if any token was lost, doubled or
another request's.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections import Counter

import aiohttp
import attrs

from lagoonring.catalogue.edits import Change, Edit
from lagoonring.logs import JsonLinesHandler
from lagoonring.settings import to_plain
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.callers import Caller, expected_text
from lagoonring.tests.builders.deployments import (
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)

N_ENTRIES = 4
N_ENGINES = 6
N_TOKENS_MOST = 40
N_SENDS_MOST = 200
FAULT_S = 0.15
BACK_S = 1.0
ENTRY = {
    "log_level": "ERROR",
    "requests": {
        "handover_margin_s": 1.0,
        "first_token_timeout_s": 2.0,
        "between_tokens_timeout_s": 0.5,
        "keep_answers_s": 60.0,
        "kept_answers_bytes": 64 << 20,
    },
    "retries": {"budget_share": 1.0, "budget_floor_per_s": 1000.0},
}


@attrs.define
class Tally:
    """What the callers met."""

    n_whole: int = 0
    n_resent: int = 0
    n_attached: int = 0
    refused: Counter = attrs.field(factory=Counter)
    faults: Counter = attrs.field(factory=Counter)
    wrong: list[str] = attrs.field(factory=list)


def main() -> int:
    """Run one trial and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=10_000)
    parser.add_argument("--at-once", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with JsonLinesHandler(level="ERROR").applicationbound():
        tally = asyncio.run(run(options.streams, options.at_once, options.seed))
    document = attrs.asdict(tally)
    document["wrong"] = tally.wrong[:10]
    document["n_wrong"] = len(tally.wrong)
    document["seed"] = options.seed
    print(json.dumps(document, indent=2))
    return 1 if tally.wrong or tally.n_whole != options.streams else 0


async def run(n_streams: int, n_at_once: int, seed: int) -> Tally:
    """Run all streams while faults come."""
    rng = random.Random(seed)
    tally = Tally()
    numbers = iter(range(n_streams))
    started_s = time.monotonic()
    async with run_deployment(
        n_entries=N_ENTRIES,
        n_engines=N_ENGINES,
        engine={"token_s": 0.01, "n_slots": 64},
        entry=ENTRY,
        hang_s=3600.0,
    ) as deployment:
        faults = asyncio.create_task(make_faults(deployment, rng, tally))
        workers = [
            ask_all(deployment, numbers, random.Random(f"{seed} {n}"), tally)
            for n in range(n_at_once)
        ]
        progress = asyncio.create_task(show_progress(tally, started_s))
        await asyncio.gather(*workers)
        for task in (faults, progress):
            task.cancel()
        await asyncio.gather(faults, progress, return_exceptions=True)
    return tally


async def show_progress(tally: Tally, started_s: float) -> None:
    """Write a line on standard error every few seconds."""
    while True:
        await asyncio.sleep(5)
        elapsed_s = time.monotonic() - started_s
        print(f"{elapsed_s:.0f} s: {tally.n_whole} whole", file=sys.stderr, flush=True)


async def ask_all(deployment, numbers, rng: random.Random, tally: Tally) -> None:
    """Ask one question after the other."""
    for number in numbers:
        await ask_one(deployment, number, rng, tally)


async def ask_one(
    deployment: Deployment, number: int, rng: random.Random, tally: Tally
) -> None:
    """Ask until the answer is whole; check each token of what came."""
    question = f"question {number}"
    n_tokens = rng.randint(1, N_TOKENS_MOST)
    caller = Caller()
    for _ in range(N_SENDS_MOST):
        code = await send(deployment, rng, caller, question, n_tokens, tally)
        if caller.errors:
            code = caller.errors[-1]["code"]
            caller.errors.clear()
        check_so_far(caller, question, n_tokens, tally)
        if caller.is_ended:
            tally.n_whole += 1
            return
        if code:
            tally.refused[code] += 1
            if code in ("unknown_request", "attempts_exhausted", "no_endpoint"):
                caller = Caller()
                tally.n_resent += 1
            await asyncio.sleep(0.05)
    tally.wrong.append(f"{question}: not whole after {N_SENDS_MOST} sends")


async def send(
    deployment: Deployment,
    rng: random.Random,
    caller: Caller,
    question: str,
    n_tokens: int,
    tally: Tally,
) -> str:
    """Ask, or re-attach if there is a request id; return an error's code."""
    url = deployment.url(rng.randrange(N_ENTRIES))
    session = deployment.session
    if caller.request_id:
        tally.n_attached += 1
        last = caller.ids[-1] if caller.ids else f"{caller.request_id}:0"
        asking = session.get(
            f"{url}/v1/streams/{caller.request_id}",
            headers=headers_of(**{"Last-Event-ID": last}),
        )
    else:
        asking = session.post(
            f"{url}/v1/chat/completions",
            json=chat_body(question, n_tokens, stream=True),
            headers=headers_of(),
        )
    try:
        async with asking as answer:
            if answer.status != 200:
                return (await answer.json())["error"]["code"]
            await caller.read(answer)
    except (aiohttp.ClientError, ConnectionError):
        return "" if caller.request_id else "no_connection"
    return ""


def check_so_far(caller: Caller, question: str, n_tokens: int, tally: Tally) -> None:
    """Count a token that is missing, doubled or another request's."""
    numbers = [int(event_id.rpartition(":")[2]) for event_id in caller.ids]
    expected = expected_text(question, n_tokens)
    is_right = numbers == list(range(1, len(numbers) + 1))
    is_right = is_right and expected.startswith(caller.text)
    if caller.is_ended:
        is_right = is_right and caller.text == expected
    if not is_right:
        tally.wrong.append(f"{question}: tokens {numbers}, text {caller.text!r}")


async def make_faults(deployment: Deployment, rng: random.Random, tally: Tally) -> None:
    """Bring faults about until cancelled."""
    kinds = [cut, cross, delay, stall, reclaim_endpoint, kill_entry]
    weights = [6, 4, 4, 1, 3, 1]
    while True:
        await asyncio.sleep(FAULT_S)
        kind = rng.choices(kinds, weights)[0]
        tally.faults[kind.__name__] += 1
        await kind(deployment, rng)


async def cut(deployment: Deployment, rng: random.Random) -> None:
    """Cut the next streams of an engine."""
    set_faults(deployment, rng, n_cut=3, cut_at_token=rng.randint(0, 20))


async def cross(deployment: Deployment, rng: random.Random) -> None:
    """Swap the answers of the next pairs of requests."""
    set_faults(deployment, rng, n_crossed=4)


async def delay(deployment: Deployment, rng: random.Random) -> None:
    """Answer the next requests late."""
    set_faults(deployment, rng, n_late=4, late_s=rng.uniform(0, 1.0))


async def stall(deployment: Deployment, rng: random.Random) -> None:
    """Stall the next streams of an engine."""
    set_faults(deployment, rng, n_stalled=2, stall_at_token=rng.randint(0, 20))


async def reclaim_endpoint(deployment: Deployment, rng: random.Random) -> None:
    """Give an engine a notice; put a new machine in its place later."""
    name = rng.choice(sorted(deployment.engines))
    app = rng.choice(deployment.entries)
    app.find("routing").leaving(name)
    for other in deployment.entries:
        other.find("requests").endpoint_leaving(name, BACK_S)
    await asyncio.sleep(BACK_S / 4)
    deployment.engines[name].batch.set_faults(EngineFaults())
    catalogue = app.find("catalogue")
    item = to_plain(catalogue.content.endpoints[name])
    item["instance"] = f"machine-{rng.getrandbits(32):08x}"
    edit = Edit(
        edit_id=item["instance"],
        author="awa",
        base_revision=catalogue.revision,
        changes=[Change(section="endpoints", name=name, item=item)],
    )
    await catalogue.apply(edit)


async def kill_entry(deployment: Deployment, rng: random.Random) -> None:
    """Give an entry instance a notice, stop it, start it anew."""
    index = rng.randrange(N_ENTRIES)
    app = deployment.entries[index]
    await app.drain(1.0)
    await app.stop()
    await asyncio.sleep(BACK_S / 4)
    await deployment.start_entry(index)
    await deployment.entries[index].find("catalogue").ready.wait()


def set_faults(deployment: Deployment, rng: random.Random, **faults) -> None:
    """Put faults in force at one engine."""
    engine = deployment.engines[rng.choice(sorted(deployment.engines))]
    engine.batch.set_faults(EngineFaults(**faults))


if __name__ == "__main__":
    sys.exit(main())
