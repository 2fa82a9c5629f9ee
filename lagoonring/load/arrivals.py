"""Generates all arrivals of a run in advance, from the settings and the seed.

The engine stand-in's answer is a known function of the prompt. The history of every
later turn can therefore be generated in advance too, and no arrival has to wait for
an answer (open loop).
"""

from __future__ import annotations

import heapq
import math
import random
from typing import TYPE_CHECKING

import attrs

from lagoonring.standins.tokens import canonical_prompt, text_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lagoonring.load.options import CallLoad, ChatLoad, LoadSettings, Peak

WORD_LETTERS = "abcdefghijklmnopqrstuvwxyz"
WORD_LENGTH = 7


@attrs.frozen(kw_only=True)
class Message:
    """A message of a conversation, in the chat completions format."""

    role: str
    content: str


@attrs.frozen(kw_only=True)
class ChatArrival:
    """A turn of a conversation; ``name`` is unique within the run."""

    at_s: float
    name: str
    organisation: str
    entry: str
    service_class: str
    messages: tuple[Message, ...] = attrs.field(repr=False)
    n_tokens: int

    @property
    def prompt(self) -> str:
        """The canonical prompt, which determines the answer."""
        return canonical_prompt([(m.role, m.content) for m in self.messages])


@attrs.frozen(kw_only=True)
class CallArrival:
    """A call of a plain service.

    ``resend_after_s`` is the delay after which the call is sent a second time,
    whatever the first attempt returned; None disables this. ``key`` is the
    idempotency key, empty for calls that may be repeated.
    """

    at_s: float
    name: str
    organisation: str
    entry: str
    service_class: str
    method: str
    path: str
    key: str = ""
    resend_after_s: float | None = None


Arrival = ChatArrival | CallArrival


def plan_arrivals(settings: LoadSettings, seed: int) -> list[Arrival]:
    """Return all arrivals of a run, sorted by time."""
    streams: list[Iterator[Arrival]] = []
    for index, chat in enumerate(settings.chats):
        rng = random.Random(f"{seed} chats {index}")
        streams.append(iter(_plan_chats(settings, chat, index, rng)))
    for index, call in enumerate(settings.calls):
        rng = random.Random(f"{seed} calls {index}")
        streams.append(_plan_calls(settings, call, f"{seed}-{index}", rng))
    return list(heapq.merge(*streams, key=lambda arrival: arrival.at_s))


def draw_times(
    rate_per_s: float, duration_s: float, peaks: list[Peak], rng: random.Random
) -> Iterator[float]:
    """Draw arrival times of a Poisson process whose rate follows the peaks.

    Candidates are drawn at the maximum rate and thinned to the rate at their time.
    """
    max_rate = rate_per_s * (1.0 + sum(peak.factor - 1.0 for peak in peaks))
    if max_rate <= 0:
        return
    now_s = rng.expovariate(max_rate)
    while now_s < duration_s:
        rate = rate_per_s * rate_factor(now_s, peaks)
        if rng.random() * max_rate < rate:
            yield now_s
        now_s += rng.expovariate(max_rate)


def rate_factor(now_s: float, peaks: list[Peak]) -> float:
    """Return the factor that the peaks apply to all rates at ``now_s``."""
    factor = 1.0
    for peak in peaks:
        distance = (now_s - peak.at_s) / peak.width_s
        factor += (peak.factor - 1.0) * math.exp(-distance * distance / 2.0)
    return factor


def _plan_chats(
    settings: LoadSettings, chat: ChatLoad, index: int, rng: random.Random
) -> list[Arrival]:
    system_prompts = {
        name: [
            _draw_text(random.Random(f"{chat.entry} {name} {k}"), chat.system_bytes)
            for k in range(chat.n_system_prompts)
        ]
        for name in sorted(settings.organisations)
    }
    turns: list[Arrival] = []
    starts = draw_times(
        chat.conversations_per_s, settings.duration_s, settings.peaks, rng
    )
    for number, start_s in enumerate(starts):
        organisation = _draw_organisation(settings, rng)
        system = Message(
            role="system", content=rng.choice(system_prompts[organisation])
        )
        name = f"chat-{index}-{number}"
        turns += _plan_turns(settings, chat, start_s, name, organisation, system, rng)
    return sorted(turns, key=lambda arrival: arrival.at_s)


def _plan_turns(
    settings: LoadSettings,
    chat: ChatLoad,
    start_s: float,
    name: str,
    organisation: str,
    system: Message,
    rng: random.Random,
) -> Iterator[ChatArrival]:
    messages: tuple[Message, ...] = (system,)
    now_s = start_s
    for turn in range(rng.randint(1, chat.n_turns_most)):
        question = _draw_text(rng, chat.question_bytes)
        messages = (*messages, Message(role="user", content=question))
        arrival = ChatArrival(
            at_s=now_s,
            name=f"{name}-{turn}",
            organisation=organisation,
            entry=chat.entry,
            service_class=chat.service_class,
            messages=messages,
            n_tokens=rng.randint(chat.n_tokens_least, chat.n_tokens_most),
        )
        yield arrival
        answer = text_of(arrival.prompt, 0, arrival.n_tokens)
        messages = (*messages, Message(role="assistant", content=answer))
        if chat.think_s > 0:
            now_s += rng.expovariate(1.0 / chat.think_s)
        if now_s >= settings.duration_s:
            return


def _plan_calls(
    settings: LoadSettings, call: CallLoad, prefix: str, rng: random.Random
) -> Iterator[CallArrival]:
    is_keyed = call.method != "GET"
    times = draw_times(call.per_s, settings.duration_s, settings.peaks, rng)
    for number, at_s in enumerate(times):
        organisation = _draw_organisation(settings, rng)
        key = f"load-{prefix}-{rng.getrandbits(64):016x}" if is_keyed else ""
        is_resent = is_keyed and rng.random() < call.resend_share
        delay_s = rng.uniform(0.0, call.resend_within_s)
        yield CallArrival(
            at_s=at_s,
            name=f"call-{prefix}-{number}",
            organisation=organisation,
            entry=call.entry,
            service_class=call.service_class,
            method=call.method,
            path=rng.choice(call.paths),
            key=key,
            resend_after_s=delay_s if is_resent else None,
        )


def _draw_organisation(settings: LoadSettings, rng: random.Random) -> str:
    names = sorted(settings.organisations)
    weights = [settings.organisations[name].weight for name in names]
    return rng.choices(names, weights)[0]


def _draw_text(rng: random.Random, n_bytes: int) -> str:
    words = []
    for _ in range(-(-n_bytes // (WORD_LENGTH + 1))):
        words.append("".join(rng.choices(WORD_LETTERS, k=WORD_LENGTH)))
    return " ".join(words)[:n_bytes]
