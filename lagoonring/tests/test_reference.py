from __future__ import annotations

from pathlib import Path

import pytest

from lagoonring.errors import Outcome
from lagoonring.reference import make_pages
from lagoonring.reference.pages import _all_errors

DOCS = Path(__file__).parents[2] / "docs"


@pytest.mark.parametrize("name", ["ERRORS.md", "SETTINGS.md", "CATALOGUE.md"])
def test_committed_page_matches_the_code(name):
    assert (DOCS / name).read_text() == make_pages()[name], "Run 'make reference'."


def test_every_error_kind_has_a_code_of_its_own_and_an_outcome():
    make_pages()
    for kind in _all_errors():
        assert isinstance(kind.outcome, Outcome)
        assert kind.__doc__
        assert 400 <= kind.status <= 599


def test_no_two_error_kinds_share_a_code():
    make_pages()
    kinds = {}
    for kind in _all_errors():
        if "code" in vars(kind):
            kinds.setdefault(kind.code, []).append(kind.__name__)
    assert {code: names for code, names in kinds.items() if len(names) > 1} == {}
