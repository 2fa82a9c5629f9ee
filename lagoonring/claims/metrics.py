"""Metrics of claims."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

BATCH_SIZE = Histogram(
    "lagoonring_claims_batch_items",
    "Items in one append.",
    buckets=(1, 2, 4, 8, 16, 32, 64, 128, 256),
)
APPEND_S = Histogram(
    "lagoonring_claims_append_seconds",
    "Time from an append to its read-back.",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
N_ANSWERS = Counter("lagoonring_claims_total", "Answers to claims.", ["state"])
N_ROWS = Gauge("lagoonring_claims_rows", "Keys remembered here.", ["state"])
N_SLOTS = Gauge("lagoonring_claims_slots", "Slots held here.")
