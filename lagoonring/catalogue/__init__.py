"""The catalogue: contents, rule of edits, following the log."""

from __future__ import annotations

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

__all__ = [
    "CatalogueContent",
    "Endpoint",
    "Entry",
    "FleetGoal",
    "Limits",
    "Move",
    "Operator",
    "Organisation",
    "ServiceClass",
    "Version",
]
