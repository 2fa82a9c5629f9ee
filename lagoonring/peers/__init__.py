"""Membership and gossip between entry instances."""
