"""lagoonring: a serving system for reclaimable machines."""

from __future__ import annotations

from lagoonring.errors import LagoonringError, Outcome

__all__ = ["LagoonringError", "Outcome", "__version__"]

__version__ = "0.1.0"
