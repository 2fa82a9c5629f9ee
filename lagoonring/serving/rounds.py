"""Timing of the rounds in which instances exchange their state."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from lagoonring.serving.settings import ExchangeOptions

HUB_TIMEOUT_S = 0.8  # four rounds in a small data centre
HUB_TIMEOUT_ROUNDS = 3.5  # rounds in a large data centre
REPORT_DELAY_ROUNDS = 3  # a report, a summary and a digest
WARM_UP_S = 2.0  # several rounds, in which a started process receives all sums
HUB_WARM_UP_S = 1.5  # shorter, so that the hub remains first if all started together
WARM_UP_FACTOR = 1e-6  # of the capacity; preserves the order of starting processes


def interval_s(options: ExchangeOptions, n_local: int) -> float:
    """Return the time between two rounds with ``n_local`` instances here."""
    return options.interval_s + n_local * options.interval_per_instance_s


def hub_timeout_s(interval_s: float) -> float:
    """Return the time after which a silent hub is suspected."""
    return max(HUB_TIMEOUT_S, HUB_TIMEOUT_ROUNDS * interval_s)


def report_delay_s(interval_s: float) -> float:
    """Return the time until a report, summary and digest have reached all."""
    return REPORT_DELAY_ROUNDS * interval_s


@attrs.define
class WarmUp:
    """The first seconds of a process, in which it ranks below those that run.

    A hub that returns from a restart thereby takes over only after it has received the
    sums of the others.

    Attributes
    ----------
    started_s : float
        Start time of the process, on the monotonic clock.
    """

    started_s: float
    is_over: bool = False

    def ends(self, now_s: float, *, is_hub: bool) -> bool:
        """Return whether the warm-up ends now; true only once."""
        duration_s = HUB_WARM_UP_S if is_hub else WARM_UP_S
        if self.is_over or now_s - self.started_s < duration_s:
            return False
        self.is_over = True
        return True
