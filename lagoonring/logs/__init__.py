"""Structured logging as JSON lines."""

from __future__ import annotations

from lagoonring.logs.logger import JsonLinesHandler, PartLogger, make_logger

__all__ = ["JsonLinesHandler", "PartLogger", "make_logger"]
