"""Learns an endpoint's speeds from finished attempts."""

from __future__ import annotations

import statistics

import attrs

DECAY = 0.97
SMOOTHING = 0.1
VARIANCE_LEAST = 1.0
DEFAULT_PREFILL_S = 0.004
PREFILL_RANGE_S = (1e-5, 1.0)
DEFAULT_SERVICE_S = 0.5
IDLE_S = 10.0
RELAXATION = 0.05


@attrs.define
class LineFit:
    """Exponentially weighted least squares of ``y = base + slope * x``."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Take a sample in; earlier ones lose weight."""
        self.weight = self.weight * DECAY + 1.0
        self.x = self.x * DECAY + x
        self.y = self.y * DECAY + y
        self.xx = self.xx * DECAY + x * x
        self.xy = self.xy * DECAY + x * y

    def slope(self) -> float | None:
        """Return the slope, None while ``x`` has hardly varied."""
        if self.weight < 3:
            return None
        mean = self.x / self.weight
        variance = self.xx / self.weight - mean * mean
        if variance < VARIANCE_LEAST:
            return None
        return (self.xy / self.weight - mean * self.y / self.weight) / variance

    def base(self, slope: float) -> float:
        """Return the base for a slope, at least 0."""
        if self.weight == 0:
            return 0.0
        return max(0.0, (self.y - slope * self.x) / self.weight)


@attrs.define
class Speeds:
    """What is known of an endpoint's speed, in seconds.

    ``prefill_s`` is per prompt block that is not cached, ``base_s`` the first
    token's time without prefill and waiting, ``service_s`` a whole attempt.
    """

    prefill_s: float = DEFAULT_PREFILL_S
    base_s: float = 0.0
    token_s: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    n_samples: int = 0
    sampled_s: float = 0.0
    fit: LineFit = attrs.field(factory=LineFit)

    def note_first_token(self, n_uncached: int, first_token_s: float) -> None:
        """Learn from a first token that came after ``first_token_s``.

        The time waited in the endpoint's queue must be taken off before.
        """
        self.fit.add(float(n_uncached), first_token_s)
        slope = self.fit.slope()
        if slope is not None:
            low, high = PREFILL_RANGE_S
            self.prefill_s = min(high, max(low, slope))
        self.base_s = self.fit.base(self.prefill_s)

    def note_service(self, service_s: float, token_s: float | None) -> None:
        """Learn from a whole attempt."""
        rate = max(SMOOTHING, 1.0 / (self.n_samples + 1))
        self.n_samples += 1
        self.service_s += rate * (service_s - self.service_s)
        if token_s is not None:
            self.token_s += rate * (token_s - self.token_s)

    def relax(self, usual: Speeds, now_s: float) -> None:
        """Without news, move towards what is usual, so as to be tried again."""
        if now_s - self.sampled_s < IDLE_S or self.n_samples == 0:
            return
        self.base_s += RELAXATION * (usual.base_s - self.base_s)
        self.prefill_s += RELAXATION * (usual.prefill_s - self.prefill_s)
        self.service_s += RELAXATION * (usual.service_s - self.service_s)


def find_usual(speeds: list[Speeds]) -> Speeds:
    """Return the medians of the speeds that rest on samples."""
    known = [item for item in speeds if item.n_samples]
    if not known:
        return Speeds()
    return Speeds(
        base_s=statistics.median(item.base_s for item in known),
        prefill_s=statistics.median(item.prefill_s for item in known),
        service_s=statistics.median(item.service_s for item in known),
    )
