"""Builders of test data, a module per concern."""
