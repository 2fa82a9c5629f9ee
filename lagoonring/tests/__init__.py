"""Tests of lagoonring."""
