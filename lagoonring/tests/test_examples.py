"""What examples and benchmarks import exists; nothing else of them runs in CI."""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
FILES = sorted(
    [*(ROOT / "examples").rglob("*.py"), *(ROOT / "benchmarks").glob("*.py")]
)


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_of_the_package_exist(path):
    for node in ast.walk(ast.parse(path.read_text())):
        is_import = isinstance(node, ast.ImportFrom) and node.level == 0
        if not is_import or not (node.module or "").startswith("lagoonring"):
            continue
        module = importlib.import_module(node.module)
        for alias in node.names:
            if not hasattr(module, alias.name):
                importlib.import_module(f"{node.module}.{alias.name}")
