"""Leases kept in the platform's log, with fencing numbers."""
