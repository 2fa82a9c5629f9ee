"""Metrics of the catalogue."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter, Gauge

from lagoonring.metrics import find_registry

if TYPE_CHECKING:
    from lagoonring.kernel import Application


class CatalogueMetrics:
    """Counts the records read from the log.

    Parameters
    ----------
    app : Application
        Its service ``metrics`` owns the registry; without one it is private.
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
