"""Chooses the endpoint for a request, over plain data.

Answers two loads: long prompts that delay whatever runs beside them, and many
requests with the same leading prompt parts, of which one reading is enough.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from lagoonring.serving.requests import PromptParts

FIRST_TOKEN_S = 0.053  # time of an idle engine of the faster kind for no prompt
REREAD_WEIGHT = 2.0  # reading a part again also delays whatever runs beside it
OTHER_DATA_CENTRE_S = 0.004  # two ways between data centres, rounded up
SPREAD_S = 0.002  # keeps equal endpoints evenly loaded
NOISE = 0.05  # instances decide on the same news; without it they choose alike
FAILURE_S = 1.5  # an objective and a half for an answer that is lost for good
REPEATABLE_FAILURE_S = 0.5  # a second attempt costs about half an objective


@attrs.frozen(kw_only=True)
class Work:
    """What a request asks of an endpoint."""

    n_prompt_tokens: int
    is_generation: bool
    may_repeat: bool


@attrs.frozen(kw_only=True)
class Candidate:
    """What is known of an endpoint when a request is placed.

    Times in seconds. ``n_cached_tokens`` are those of this request's prompt that
    the endpoint has read before. ``n_waiting_tokens`` are prompt tokens that are
    to be read before this request's.
    """

    name: str
    n_slots: int
    n_running: int
    n_waiting_tokens: int
    n_cached_tokens: int
    seconds_per_token: float
    service_s: float
    failure_share: float
    is_local: bool
    is_avoided: bool


@attrs.frozen
class Placement:
    """The endpoint chosen and the time to its first answer, in seconds."""

    name: str
    estimate_s: float


def estimate_first_answer_s(candidate: Candidate, work: Work) -> float:
    """Return the expected time to the first token, or to a whole plain answer."""
    n_beyond = max(0, candidate.n_running - candidate.n_slots + 1)
    queue_s = n_beyond / max(candidate.n_slots, 1) * candidate.service_s
    if not work.is_generation:
        return candidate.service_s + queue_s
    waiting_s = candidate.n_waiting_tokens * candidate.seconds_per_token
    return FIRST_TOKEN_S + queue_s + waiting_s + _reading_s(candidate, work)


def choose(
    candidates: Iterable[Candidate], work: Work, rng: random.Random
) -> Placement | None:
    """Return the endpoint that answers first, failures and distance included.

    Endpoints that failed just now are used only if there are no others.
    """
    usable = list(candidates)
    sound = [candidate for candidate in usable if not candidate.is_avoided]
    best: Placement | None = None
    best_cost_s = 0.0
    failure_s = REPEATABLE_FAILURE_S if work.may_repeat else FAILURE_S
    for candidate in sound or usable:
        estimate_s = estimate_first_answer_s(candidate, work)
        cost_s = estimate_s * (1 + NOISE * rng.random())
        cost_s += failure_s * candidate.failure_share
        cost_s += REREAD_WEIGHT * _reading_s(candidate, work)
        cost_s += SPREAD_S * candidate.n_running
        cost_s += 0.0 if candidate.is_local else OTHER_DATA_CENTRE_S
        if best is None or cost_s < best_cost_s:
            best = Placement(candidate.name, estimate_s)
            best_cost_s = cost_s
    return best


def _reading_s(candidate: Candidate, work: Work) -> float:
    """Return the time that an endpoint takes to read what it has not cached."""
    n_missing = max(0, work.n_prompt_tokens - candidate.n_cached_tokens)
    return n_missing * candidate.seconds_per_token


def shared_parts(parts: PromptParts) -> PromptParts:
    """Return the parts that other requests may have in common with this one."""
    return parts[:-1] if len(parts) > 1 else parts


def prefer_by_part(part: str, names: Sequence[str]) -> str | None:
    """Return the endpoint that a prompt part belongs to while nothing is known.

    By rendezvous hashing: all instances agree without telling each other, and a
    change of endpoints moves only the parts of those that came or went.
    """
    if not names:
        return None
    return max(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{part}|{name}".encode())
    )
