"""Times of prefill as seen by this instance, by service."""

from __future__ import annotations

from collections import deque

import attrs

FIRST_TOKEN_S = 0.053  # first token of a short prompt, until some were seen
MIN_SAMPLE_TOKENS = 1000  # below it the first token dominates the prefill time
MIN_LONG_PROMPT_TOKENS = 6000  # from here the first step is a small part of the prefill
MAX_SAMPLES = 64  # per service; minutes of long prompts at a small instance
MIN_LONG_SAMPLES = 8  # their lower quartile is robust against one that is wrong
MIN_SHORT_SAMPLES = 5  # their median is robust against two that waited


@attrs.define
class PrefillTimes:
    """Times to the first token of short prompts, and per token of long ones."""

    short: dict[str, deque[float]] = attrs.field(factory=dict)
    long: dict[str, deque[float]] = attrs.field(factory=dict)

    def record(self, service: str, n_tokens: int, elapsed_s: float) -> float | None:
        """Record a first token; return the time per prompt token, None if unknown.

        Parameters
        ----------
        n_tokens : int
            Prompt tokens that the endpoint had to read until then.
        elapsed_s : float
            Time since the request was sent.
        """
        if n_tokens < MIN_SAMPLE_TOKENS:
            _append(self.short, service, elapsed_s)
            return None
        token_s = max(elapsed_s - self.first_token_s(service), 0.0) / n_tokens
        if n_tokens >= MIN_LONG_PROMPT_TOKENS:
            _append(self.long, service, token_s)
        return token_s

    def first_token_s(self, service: str) -> float:
        """Return the usual time to the first token of a short prompt."""
        samples = sorted(self.short.get(service, ()))
        if len(samples) < MIN_SHORT_SAMPLES:
            return FIRST_TOKEN_S
        return samples[len(samples) // 2]

    def unloaded_token_s(self, service: str) -> float | None:
        """Return the time per token of an otherwise idle engine, None if unknown.

        This is the lower quartile of the samples of long prompts: the others contain
        waits for work of which this instance did not know.
        """
        samples = sorted(self.long.get(service, ()))
        if len(samples) < MIN_LONG_SAMPLES:
            return None
        return samples[len(samples) // 4]


def _append(samples: dict[str, deque[float]], service: str, value: float) -> None:
    samples.setdefault(service, deque(maxlen=MAX_SAMPLES)).append(value)
