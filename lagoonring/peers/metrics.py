"""Metrics of the links between entry instances."""

from __future__ import annotations

from prometheus_client import Counter, Gauge

frames_dropped = Counter(
    "lagoonring_peers_frames_dropped_total",
    "Frames of peers that were not accepted, by reason.",
    ["reason"],
)
frames_sent = Counter("lagoonring_peers_frames_sent_total", "Frames sent to peers.")
frames_received = Counter(
    "lagoonring_peers_frames_received_total", "Frames accepted from peers."
)
bytes_sent = Counter("lagoonring_peers_bytes_sent_total", "Bytes of frames sent.")
bytes_received = Counter(
    "lagoonring_peers_bytes_received_total", "Bytes of frames received."
)
frames_unsent = Counter(
    "lagoonring_peers_frames_unsent_total",
    "Frames given up because the peer was not connected or too slow.",
)
members_by_state = Gauge(
    "lagoonring_peers_members", "Known members, by state.", ["state"]
)
rows_kept = Gauge("lagoonring_peers_rows", "Rows kept, by table.", ["table"])
rows_refused = Gauge(
    "lagoonring_peers_rows_refused",
    "Rows refused for lack of room, by table.",
    ["table"],
)
