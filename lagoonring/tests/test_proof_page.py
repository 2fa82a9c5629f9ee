from __future__ import annotations

import re
from pathlib import Path

TESTS = Path(__file__).parent
PAGE = TESTS.parents[1] / "docs" / "PROOF.md"
TEST_REFERENCE = re.compile(r"`(test_\w+)::(test_\w+)`")


def test_every_test_named_on_the_proof_page_exists():
    references = TEST_REFERENCE.findall(PAGE.read_text())
    assert references
    for module, name in references:
        text = (TESTS / f"{module}.py").read_text()
        assert re.search(rf"def {name}\(", text), f"{module}::{name}"
