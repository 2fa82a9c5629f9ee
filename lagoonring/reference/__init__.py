"""Reference pages generated from the code by ``python -m lagoonring.reference``."""

from __future__ import annotations

from lagoonring.reference.pages import make_pages

__all__ = ["make_pages"]
