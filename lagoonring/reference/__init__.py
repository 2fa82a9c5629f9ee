"""Reference pages made from the code; run ``python -m lagoonring.reference``."""

from __future__ import annotations

from lagoonring.reference.pages import make_pages

__all__ = ["make_pages"]
