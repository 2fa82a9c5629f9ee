"""Command that writes the reference pages to ``docs/`` or another folder."""

from __future__ import annotations

import sys
from pathlib import Path

from lagoonring.reference.pages import make_pages


def main(folder: Path) -> None:
    """Write every reference page to a folder."""
    for name, text in make_pages().items():
        (folder / name).write_text(text)


if __name__ == "__main__":
    main(Path(sys.argv[1] if len(sys.argv) > 1 else "docs"))
