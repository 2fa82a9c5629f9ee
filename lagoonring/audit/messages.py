"""Records of the audit trail."""

from __future__ import annotations

import attrs

STREAM = "audit"
OUTCOMES = ("done", "refused", "unknown")


@attrs.frozen(kw_only=True)
class AuditRecord:
    """Who did what with which outcome; ``time_s`` is in epoch seconds.

    ``audit_id`` lets a record whose append was not answered be appended again:
    readers show an id once.
    """

    audit_id: str
    time_s: float
    instance: str
    actor: str
    action: str
    target: str = ""
    outcome: str = "done"
    detail: str = ""
