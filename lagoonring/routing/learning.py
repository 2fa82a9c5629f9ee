"""Estimates an endpoint's speeds from finished attempts."""

from __future__ import annotations

import statistics

import attrs

DECAY = 0.97
SMOOTHING = 0.1
MIN_VARIANCE = 1.0
DEFAULT_PREFILL_S = 0.004
PREFILL_RANGE_S = (1e-5, 1.0)
DEFAULT_SERVICE_S = 0.5
STALE_AFTER_S = 10.0
RELAXATION_RATE = 0.05


@attrs.define
class LineFit:
    """Exponentially weighted least squares of ``y = base + slope * x``."""

    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a sample and decay the weight of earlier ones."""
        self.weight = self.weight * DECAY + 1.0
        self.x = self.x * DECAY + x
        self.y = self.y * DECAY + y
        self.xx = self.xx * DECAY + x * x
        self.xy = self.xy * DECAY + x * y

    def slope(self) -> float | None:
        """Return the slope, or None with too few samples or variance in ``x``."""
        if self.weight < 3:
            return None
        mean = self.x / self.weight
        variance = self.xx / self.weight - mean * mean
        if variance < MIN_VARIANCE:
            return None
        return (self.xy / self.weight - mean * self.y / self.weight) / variance

    def base(self, slope: float) -> float:
        """Return the intercept for a given slope, clamped to at least 0."""
        if self.weight == 0:
            return 0.0
        return max(0.0, (self.y - slope * self.x) / self.weight)


@attrs.define
class Speeds:
    """Estimated speeds of an endpoint, in seconds.

    ``prefill_s`` is the time per prompt block that is not cached, ``base_s``
    the time to the first token without prefill and queueing, ``token_s`` the
    time between tokens and ``service_s`` the time of a complete attempt.
    ``sampled_s`` is the monotonic time of the latest sample.
    """

    prefill_s: float = DEFAULT_PREFILL_S
    base_s: float = 0.0
    token_s: float = 0.0
    service_s: float = DEFAULT_SERVICE_S
    n_samples: int = 0
    sampled_s: float = 0.0
    fit: LineFit = attrs.field(factory=LineFit)

    def record_first_token(self, n_uncached: int, first_token_s: float) -> None:
        """Update the estimates from a time to the first token.

        The caller must already have subtracted the time that the request
        waited in the endpoint's queue.
        """
        self.fit.add(float(n_uncached), first_token_s)
        slope = self.fit.slope()
        if slope is not None:
            low, high = PREFILL_RANGE_S
            self.prefill_s = min(high, max(low, slope))
        self.base_s = self.fit.base(self.prefill_s)

    def record_service(self, service_s: float, token_s: float | None) -> None:
        """Update the estimates from a complete attempt."""
        rate = max(SMOOTHING, 1.0 / (self.n_samples + 1))
        self.n_samples += 1
        self.service_s += rate * (service_s - self.service_s)
        if token_s is not None:
            self.token_s += rate * (token_s - self.token_s)

    def relax_towards(self, typical: Speeds, now_s: float) -> None:
        """Move stale estimates towards typical ones.

        An endpoint that was once slow gets no requests and so no new samples;
        without this it would never be tried again.
        """
        if now_s - self.sampled_s < STALE_AFTER_S or self.n_samples == 0:
            return
        self.base_s += RELAXATION_RATE * (typical.base_s - self.base_s)
        self.prefill_s += RELAXATION_RATE * (typical.prefill_s - self.prefill_s)
        self.service_s += RELAXATION_RATE * (typical.service_s - self.service_s)


def median_speeds(speeds: list[Speeds]) -> Speeds:
    """Return the medians over the endpoints that have samples."""
    sampled = [sample for sample in speeds if sample.n_samples]
    if not sampled:
        return Speeds()
    return Speeds(
        base_s=statistics.median(sample.base_s for sample in sampled),
        prefill_s=statistics.median(sample.prefill_s for sample in sampled),
        service_s=statistics.median(sample.service_s for sample in sampled),
    )
