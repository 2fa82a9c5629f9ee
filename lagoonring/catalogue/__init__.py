"""Replicated catalogue: its content, its edits and the follower of the log."""

from __future__ import annotations

from lagoonring.catalogue.edits import Change, Edit, EditTooLargeError, Snapshot
from lagoonring.catalogue.entries import (
    CatalogueContent,
    Endpoint,
    Entry,
    FleetGoal,
    Limits,
    Move,
    Operator,
    Organisation,
    ServiceClass,
    Version,
)
from lagoonring.catalogue.errors import (
    CatalogueBehindError,
    CatalogueNotReadyError,
    ConflictError,
    EditAnswerLostError,
)
from lagoonring.catalogue.options import CatalogueOptions
from lagoonring.catalogue.service import CatalogueService

__all__ = [
    "CatalogueBehindError",
    "CatalogueContent",
    "CatalogueNotReadyError",
    "CatalogueOptions",
    "CatalogueService",
    "Change",
    "ConflictError",
    "Edit",
    "EditAnswerLostError",
    "EditTooLargeError",
    "Endpoint",
    "Entry",
    "FleetGoal",
    "Limits",
    "Move",
    "Operator",
    "Organisation",
    "ServiceClass",
    "Snapshot",
    "Version",
]
