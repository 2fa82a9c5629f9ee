"""Catalogues for tests."""

from __future__ import annotations

from typing import Any

from lagoonring.catalogue import CatalogueContent
from lagoonring.settings import convert


def make_catalogue(**sections: Any) -> CatalogueContent:
    """Return a small catalogue; ``sections`` replace whole sections."""
    plain: dict[str, Any] = {
        "organisations": {"hann": {"title": "Hann aquarium"}},
        "classes": {"chat": {}, "desk": {"deadline_ms": 5_000}},
        "entries": {
            "guide": {"kind": "model", "owner": "asso", "service_class": "chat"},
            "booking": {"kind": "plain", "owner": "asso", "service_class": "desk"},
        },
        "endpoints": {
            "guide-1": {
                "entry": "guide",
                "data_centre": "plateau",
                "url": "http://127.0.0.1:9",
            }
        },
    }
    plain.update(sections)
    return convert(plain, CatalogueContent)
