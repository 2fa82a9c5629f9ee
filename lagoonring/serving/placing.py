"""Choice of the endpoint for a request; pure functions without input or output.

The cost model covers two kinds of load: long prompts, whose prefill delays whatever
else runs on the endpoint, and many requests with the same leading prompt parts, which
need only one prefill of these parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from lagoonring.serving.requests import PromptParts

FIRST_TOKEN_S = 0.053  # first token of an empty prompt on an idle, fast engine
PREFILL_WEIGHT = 2.0  # repeated prefill also delays the endpoint's other requests
OTHER_DATA_CENTRE_S = 0.004  # round trip between data centres, rounded up
RUNNING_REQUEST_S = 0.002  # spreads load evenly over otherwise equal endpoints
COST_NOISE = 0.05  # instances share their state; without noise they choose alike
FINAL_FAILURE_S = 1.5  # one and a half objectives for an answer that can't be retried
RETRYABLE_FAILURE_S = 0.5  # a second attempt costs about half an objective


@attrs.frozen(kw_only=True)
class Work:
    """The work that a request causes at an endpoint.

    ``interruption_s`` is the delay that its prompt causes to each request that runs
    there, if it is read for longer than they may pause.
    """

    n_prompt_tokens: int
    is_generation: bool
    may_retry: bool
    interruption_s: float = 0.0


@attrs.frozen(kw_only=True)
class Candidate:
    """State of an endpoint at the time a request is placed.

    Times are in seconds. ``n_cached_tokens`` counts the tokens of this request's
    prompt that are in the endpoint's prefix cache, ``n_waiting_tokens`` the prompt
    tokens that are queued for prefill ahead of this request, and ``pause_cost_s`` is
    the delay to expect from long prompts that are read there meanwhile.
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
    pause_cost_s: float = 0.0


@attrs.frozen
class Placement:
    """The chosen endpoint, and what the choice was based on.

    ``estimate_s`` is the expected time to its first answer in seconds, ``n_running``
    the requests that were believed to run there, ``n_waiting_tokens`` and
    ``n_cached_tokens`` are those of the `Candidate`, and ``n_candidates`` is the number
    of endpoints that could be chosen.
    """

    name: str
    estimate_s: float
    n_running: int = 0
    n_waiting_tokens: int = 0
    n_cached_tokens: int = 0
    n_candidates: int = 0


def estimate_first_answer_s(candidate: Candidate, work: Work) -> float:
    """Return the expected time to the first token, or to a complete plain answer."""
    n_queued = max(0, candidate.n_running - candidate.n_slots + 1)
    queue_s = n_queued / max(candidate.n_slots, 1) * candidate.service_s
    if not work.is_generation:
        return candidate.service_s + queue_s
    waiting_s = candidate.n_waiting_tokens * candidate.seconds_per_token
    return FIRST_TOKEN_S + queue_s + waiting_s + _prefill_s(candidate, work)


def choose(
    endpoints: Iterable[Candidate], work: Work, rng: random.Random
) -> Placement | None:
    """Return the endpoint with the least expected cost, or None without endpoints.

    The cost is the time to the first answer plus penalties for recent failures,
    repeated prefill, running requests and distance. Avoided endpoints are used only
    if there are no others.
    """
    usable = list(endpoints)
    healthy = [candidate for candidate in usable if not candidate.is_avoided]
    best: Placement | None = None
    best_cost_s = 0.0
    failure_s = RETRYABLE_FAILURE_S if work.may_retry else FINAL_FAILURE_S
    candidates = healthy or usable
    for candidate in candidates:
        estimate_s = estimate_first_answer_s(candidate, work)
        cost_s = estimate_s * (1 + COST_NOISE * rng.random())
        cost_s += failure_s * candidate.failure_share
        cost_s += PREFILL_WEIGHT * _prefill_s(candidate, work)
        cost_s += (RUNNING_REQUEST_S + work.interruption_s) * candidate.n_running
        cost_s += candidate.pause_cost_s
        cost_s += 0.0 if candidate.is_local else OTHER_DATA_CENTRE_S
        if best is None or cost_s < best_cost_s:
            best = Placement(
                candidate.name,
                estimate_s,
                n_running=candidate.n_running,
                n_waiting_tokens=candidate.n_waiting_tokens,
                n_cached_tokens=candidate.n_cached_tokens,
                n_candidates=len(candidates),
            )
            best_cost_s = cost_s
    return best


def _prefill_s(candidate: Candidate, work: Work) -> float:
    """Return the time to prefill the part of the prompt that is not cached."""
    n_missing = max(0, work.n_prompt_tokens - candidate.n_cached_tokens)
    return n_missing * candidate.seconds_per_token


def shared_parts(parts: PromptParts) -> PromptParts:
    """Return the leading parts that other requests may share with this one."""
    return parts[:-1] if len(parts) > 1 else parts


def prefer_by_part(part: str, names: Sequence[str]) -> str | None:
    """Return the preferred endpoint of a prompt part that no endpoint has cached.

    Uses rendezvous hashing: all instances agree without communicating, and a change
    of endpoints moves only the parts of the endpoints added or removed.
    """
    if not names:
        return None
    return max(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{part}|{name}".encode())
    )
