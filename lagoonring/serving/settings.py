"""Settings of an instance, as decoded by the platform adapter."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class Bounds:
    """Service levels that the platform's operators require.

    Parameters
    ----------
    drain_s : float
        Time after which a draining endpoint gets no new requests.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    config_s : float
        Time after which a new configuration is in force everywhere.
    retry_ratio, retry_slack, retry_window_s : float
        Repeated sends allowed per window over all instances: the ratio to requests,
        and an additional number.
    quota_window_s, quota_overshoot, quota_slack : float
        Window over which limits of organisations are checked, and the share and the
        additional amount by which they may be exceeded.
    lease_s : float
        Duration of the lease on singleton duties.
    usage_window_s, usage_due_s : float
        Length of a usage window, and the time after its end when its report is due.
    exposure_share, exposure_slack : float
        Share of requests, and additional number, that a faulty version may get.
    rollback_s : float
        Time after which a version found faulty gets no more requests.
    cold_excess, cold_slack : float
        Multiple of the rate that a cold endpoint bears, and additional number of
        requests, that may reach it in a second.
    evacuate_s : float
        Time after which an evacuated data centre gets nothing.
    """

    drain_s: float = attrs.field(default=2.0, validator=between(0, 3600))
    grace_s: float = attrs.field(default=8.0, validator=between(0, 3600))
    config_s: float = attrs.field(default=2.0, validator=between(0, 3600))
    retry_ratio: float = attrs.field(default=0.2, validator=between(0, 10))
    retry_window_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    retry_slack: float = attrs.field(default=50.0, validator=between(0, 1e9))
    quota_window_s: float = attrs.field(default=8.0, validator=between(0.1, 3600))
    quota_overshoot: float = attrs.field(default=0.1, validator=between(0, 10))
    quota_slack: float = attrs.field(default=0.0, validator=between(0, 1e12))
    lease_s: float = attrs.field(default=3.0, validator=between(0.1, 3600))
    usage_window_s: float = attrs.field(default=5.0, validator=between(0.1, 3600))
    usage_due_s: float = attrs.field(default=10.0, validator=between(0.1, 3600))
    exposure_share: float = attrs.field(default=0.1, validator=between(0, 1))
    exposure_slack: float = attrs.field(default=50.0, validator=between(0, 1e9))
    rollback_s: float = attrs.field(default=5.0, validator=between(0, 3600))
    cold_excess: float = attrs.field(default=1.5, validator=between(0.1, 100))
    cold_slack: float = attrs.field(default=5.0, validator=between(0, 1e6))
    evacuate_s: float = attrs.field(default=5.0, validator=between(0, 3600))

    @property
    def change_s(self) -> float:
        """Time within which any change in the store must take effect."""
        return min(self.config_s, self.drain_s, self.evacuate_s)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Identity and addresses of an instance, and addresses of its dependencies.

    Addresses are ``IP:port``. ``capacity`` ranks instances as hubs: link bandwidth in
    Mbit/s times processor cores. ``max_fds`` bounds the descriptors of the process,
    ``memory_bytes`` its memory.
    ``relay_port`` takes requests that other instances
    relay by this one; it is the same at all instances.
    """

    instance: str
    ip: str
    data_centre: str
    data_centres: tuple[str, ...]
    caller_address: str
    ready_address: str
    peer_port: int
    relay_port: int
    metrics_port: int
    seed_ips: tuple[str, ...] = ()
    store_address: str
    cloud_address: str | None = None
    duties: tuple[str, ...] = ()
    capacity: float = attrs.field(default=1.0, validator=between(0, 1e9))
    memory_bytes: float = attrs.field(default=3e8, validator=between(1e6, 1e15))
    max_fds: int = attrs.field(default=4096, validator=between(256, 1 << 24))
    heartbeat_s: float = attrs.field(default=1.2, validator=between(0.01, 600))
    bounds: Bounds = attrs.field(factory=Bounds)


@attrs.frozen(kw_only=True)
class ExchangeOptions:
    """Options of the exchange and of its `FrameTransport`.

    Parameters
    ----------
    interval_s : float
        Time between two rounds.
    interval_per_instance_s : float
        Added for each instance of the data centre, to bound the load of its hub.
    """

    address: str
    interval_s: float = attrs.field(default=0.15, validator=between(0.01, 60))
    interval_per_instance_s: float = attrs.field(default=0.005, validator=between(0, 1))
    connect_timeout_s: float = attrs.field(default=0.5, validator=between(0.01, 60))
    idle_link_s: float = attrs.field(default=60.0, validator=between(1, 3600))
    frame_limit_bytes: int = attrs.field(
        default=1 << 20, validator=between(4096, 1 << 24)
    )
