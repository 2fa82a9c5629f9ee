"""Timing options of leases."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class LeaseOptions:
    """Timing of a lease, in seconds.

    Attributes
    ----------
    duration_s : float
        Time without renewal after which another instance may take the lease.
    margin_s : float
        How long before expiry the holder stops treating the lease as held.
    renew_interval_s : float
        Interval between renewals.
    poll_s : float
        Mean interval at which an instance waiting for the lease polls it.
    poll_wait_s : float
        Maximum time that one read waits for a new record.
    """

    duration_s: float = attrs.field(default=6.0, validator=between(0.01, 600))
    margin_s: float = attrs.field(default=1.0, validator=between(0, 60))
    renew_interval_s: float = attrs.field(default=2.0, validator=between(0.005, 300))
    poll_s: float = attrs.field(default=2.0, validator=between(0.005, 300))
    poll_wait_s: float = attrs.field(default=0.0, validator=between(0, 60))

    def __attrs_post_init__(self) -> None:
        if self.renew_interval_s + self.margin_s >= self.duration_s:
            raise ValueError(
                f"got renew_interval_s {self.renew_interval_s} and margin_s "
                f"{self.margin_s}, expected a sum below duration_s {self.duration_s}"
            )
