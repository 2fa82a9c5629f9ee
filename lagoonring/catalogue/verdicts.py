"""Conversion of verdicts to revisions and errors for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.catalogue.errors import ConflictError
from lagoonring.settings.checker import Fault, FaultyDocumentError

if TYPE_CHECKING:
    from lagoonring.catalogue.state_machine import Verdict


def to_revision(verdict: Verdict) -> int:
    """Return the revision of an edit that was applied.

    Raises
    ------
    ConflictError
        If an item changed after the edit's base revision.
    FaultyDocumentError
        If the edit has faults.
    """
    status = verdict.first.status if verdict.first else verdict.status
    if verdict.faults or status == "invalid":
        faults = list(verdict.faults) or [_refused_earlier(verdict)]
        raise FaultyDocumentError("edit", faults)
    if status == "conflict":
        raise ConflictError(verdict.revision, verdict.author, verdict.path)
    return verdict.revision


def _refused_earlier(verdict: Verdict) -> Fault:
    offset = verdict.first.offset if verdict.first else -1
    got = f"an edit that was refused at offset {offset}"
    remedy = "Correct its faults and send it with a new edit_id."
    return Fault("edit_id", got, "an edit without faults", remedy)


def make_unreadable_error() -> FaultyDocumentError:
    """Return the error for an edit that readers of the log could not decode."""
    fault = Fault(
        "changes",
        "items that can't be read back",
        "plain JSON of 16 levels at most",
        "Correct the items.",
    )
    return FaultyDocumentError("edit", [fault])
