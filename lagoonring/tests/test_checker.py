from __future__ import annotations

import pytest

from lagoonring.catalogue import CatalogueContent
from lagoonring.settings import FaultyDocumentError, convert, find_faults, to_plain

ENTRY = {"kind": "model", "owner": "asso", "service_class": "chat"}


def test_valid_document_round_trips():
    content = convert({"entries": {"guide": ENTRY}}, CatalogueContent)
    assert content.entries["guide"].owner == "asso"
    assert convert(to_plain(content), CatalogueContent) == content


def test_every_fault_is_listed_by_path():
    data = {
        "entries": {"guide": {**ENTRY, "kind": "modal", "idempotnt": True}},
        "endpoints": {"g1": {"entry": "guide", "data_centre": "X", "url": 7}},
    }
    paths = {fault.path: fault for fault in find_faults(data, CatalogueContent)}
    assert set(paths) == {
        "entries.guide.kind",
        "entries.guide.idempotnt",
        "endpoints.g1.data_centre",
        "endpoints.g1.url",
    }
    assert paths["entries.guide.idempotnt"].remedy == "Did you mean 'idempotent'?"
    assert paths["entries.guide.kind"].expected == "one of: model, plain"


def test_missing_key_is_a_fault():
    with pytest.raises(FaultyDocumentError, match=r"entries\.guide\.owner"):
        convert({"entries": {"guide": {"kind": "model"}}}, CatalogueContent)
