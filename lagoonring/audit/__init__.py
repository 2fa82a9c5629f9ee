"""Audit trail of operators' actions and automatic decisions."""

from __future__ import annotations

from lagoonring.audit.messages import AuditRecord
from lagoonring.audit.service import AuditService

__all__ = ["AuditRecord", "AuditService"]
