"""Demand forecast: a smoothed level scaled by a daily profile.

Memory is bounded: the profile has one value per quarter of an hour of the day.
"""

from __future__ import annotations

import math

import attrs

DAY_S = 86_400.0
N_BINS = 96
BIN_S = DAY_S / N_BINS
LEVEL_TIME_CONSTANT_S = 120.0
SHAPE_WEIGHT = 0.3
MAX_GROWTH = 3.0
MIN_SHAPE = 1e-3


@attrs.define(kw_only=True)
class Forecast:
    """Demand of one entry in one data centre, in busy slots.

    Attributes
    ----------
    level : float
        Demand, smoothed over :data:`LEVEL_TIME_CONSTANT_S`.
    shape : list of float
        Daily profile: mean demand by quarter of an hour; 0 where unknown.
    time_s : float
        Epoch seconds of the newest sample; 0 before the first.
    bin_sum, n_bin : float, int
        Sum and number of samples in the current quarter of an hour.
    """

    level: float = 0.0
    shape: list[float] = attrs.field(factory=lambda: [0.0] * N_BINS)
    time_s: float = 0.0
    bin_sum: float = 0.0
    n_bin: int = 0

    def add(self, demand: float, time_s: float) -> None:
        """Add a sample; ignored unless newer than the last one."""
        if time_s <= self.time_s:
            return
        if self.time_s == 0:
            self.level = demand
        else:
            weight = 1 - math.exp(-(time_s - self.time_s) / LEVEL_TIME_CONSTANT_S)
            self.level += weight * (demand - self.level)
            if _bin_index(time_s) != _bin_index(self.time_s):
                self._close_bin(_bin_index(self.time_s))
        self.time_s = time_s
        self.bin_sum += demand
        self.n_bin += 1

    def predict(self, horizon_s: float) -> float:
        """Return the largest demand expected within a horizon.

        Where the daily profile is known, the level is scaled by the profile's growth
        within the horizon, at most by :data:`MAX_GROWTH`.
        """
        current = self.shape[_bin_index(self.time_s)]
        if current <= MIN_SHAPE:
            return self.level
        n_steps = max(1, math.ceil(horizon_s / BIN_S))
        times_s = [self.time_s + horizon_s * i / n_steps for i in range(n_steps + 1)]
        growth = max(self.shape[_bin_index(time_s)] for time_s in times_s) / current
        return self.level * min(max(growth, 1.0), MAX_GROWTH)

    def _close_bin(self, index: int) -> None:
        mean = self.bin_sum / max(1, self.n_bin)
        previous = self.shape[index]
        weight = SHAPE_WEIGHT if previous > 0 else 1.0
        self.shape[index] = previous + weight * (mean - previous)
        self.bin_sum = 0.0
        self.n_bin = 0


def _bin_index(time_s: float) -> int:
    return int(time_s % DAY_S // BIN_S)
