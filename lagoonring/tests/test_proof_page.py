from __future__ import annotations

import re
from pathlib import Path

TESTS = Path(__file__).parent
PAGE = TESTS.parents[1] / "docs" / "PROOF.md"
NAMED = re.compile(r"`(test_\w+)::(test_\w+)`")


def test_every_test_named_on_the_proof_page_exists():
    named = NAMED.findall(PAGE.read_text())
    assert named
    for module, name in named:
        text = (TESTS / f"{module}.py").read_text()
        assert re.search(rf"def {name}\(", text), f"{module}::{name}"
