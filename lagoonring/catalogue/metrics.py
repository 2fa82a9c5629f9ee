"""Metrics of the catalogue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

from lagoonring.metrics import find_registry

if TYPE_CHECKING:
    from lagoonring.kernel import Application


class CatalogueMetrics:
    """Counters of edits and skipped records, and a gauge of the revision.

    Parameters
    ----------
    app : Application
        Provides the registry of its service ``metrics``, if it has one; otherwise a
        private registry is used.
    """

    def __init__(self, app: Application) -> None:
        registry = find_registry(app)
        self.edits = Counter(
            "lagoonring_catalogue_edits",
            "Edits read from the log, by verdict.",
            ["status"],
            registry=registry,
        )
        self.skipped = Counter(
            "lagoonring_catalogue_skipped_records",
            "Records of the stream that this version can't read.",
            registry=registry,
        )
        self.revision = Gauge(
            "lagoonring_catalogue_revision", "Revision in force.", registry=registry
        )
