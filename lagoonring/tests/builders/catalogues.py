"""Builders of catalogues and edits for tests."""

from __future__ import annotations

from typing import Any

from lagoonring.catalogue import CatalogueContent, Change, Edit
from lagoonring.settings import convert, to_plain


def make_catalogue(**sections: Any) -> CatalogueContent:
    """Return a small catalogue with whole sections replaced by ``sections``."""
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


def make_edit(edit_id: str, *changes: Change, base: int = -1, **fields: Any) -> Edit:
    """Return an edit by ``ana`` unless ``author`` is given."""
    fields = {"author": "ana", **fields}
    return Edit(edit_id=edit_id, base_revision=base, changes=list(changes), **fields)


def set_class(name: str, priority: int = 0) -> Change:
    """Return a change that sets a service class, which has no references."""
    return Change(section="classes", name=name, item={"priority": priority})


def make_first_edit(edit_id: str = "first") -> Edit:
    """Return an edit that creates all items of a small catalogue."""
    plain = to_plain(make_catalogue())
    plain["organisations"]["asso"] = {}
    changes = [
        Change(section=section, name=name, item=item)
        for section, items in plain.items()
        for name, item in items.items()
    ]
    return make_edit(edit_id, *changes)
