"""Record format of the audit trail."""

from __future__ import annotations

import attrs

STREAM = "audit"
OUTCOMES = ("done", "refused", "unknown")


@attrs.frozen(kw_only=True)
class AuditRecord:
    """Actor, action and outcome; ``time_s`` is in epoch seconds.

    If an append times out, the record is appended again. Readers drop duplicates by
    ``audit_id``.
    """

    audit_id: str
    time_s: float
    instance: str
    actor: str
    action: str
    target: str = ""
    outcome: str = "done"
    detail: str = ""
