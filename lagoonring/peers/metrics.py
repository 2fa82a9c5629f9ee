"""Metrics of membership and of the links between entry instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class PeersMetrics:
    """Counters and gauges of one peers service.

    Parameters
    ----------
    registry : CollectorRegistry or None
        Registry to register the metrics with; None leaves them unregistered.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.frames_dropped = Counter(
            "lagoonring_peers_frames_dropped_total",
            "Frames of peers that were not accepted, by reason.",
            ["reason"],
            registry=registry,
        )
        self.frames_sent = Counter(
            "lagoonring_peers_frames_sent_total",
            "Frames sent to peers.",
            registry=registry,
        )
        self.frames_received = Counter(
            "lagoonring_peers_frames_received_total",
            "Frames accepted from peers.",
            registry=registry,
        )
        self.frames_unsent = Counter(
            "lagoonring_peers_frames_unsent_total",
            "Frames given up because the peer was not connected or too slow.",
            registry=registry,
        )
        self.bytes_sent = Counter(
            "lagoonring_peers_bytes_sent_total",
            "Bytes of frames sent.",
            registry=registry,
        )
        self.bytes_received = Counter(
            "lagoonring_peers_bytes_received_total",
            "Bytes of frames received.",
            registry=registry,
        )
        self.connections_closed = Counter(
            "lagoonring_peers_connections_closed_total",
            "Connections of peers, and of others at their port, closed, by reason.",
            ["reason"],
            registry=registry,
        )
        self.members = Gauge(
            "lagoonring_peers_members",
            "Known members, by state.",
            ["state"],
            registry=registry,
        )
        self.rows = Gauge(
            "lagoonring_peers_rows",
            "Rows kept, by table.",
            ["table"],
            registry=registry,
        )
        self.rows_refused = Gauge(
            "lagoonring_peers_rows_refused",
            "Rows refused for lack of room, by table.",
            ["table"],
            registry=registry,
        )
