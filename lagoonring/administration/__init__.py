"""The administration API over HTTP."""

from __future__ import annotations

from lagoonring.administration.operators import make_authoriser
from lagoonring.administration.service import AdministrationService

__all__ = ["AdministrationService", "make_authoriser"]
