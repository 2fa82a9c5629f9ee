"""Loggers with the name of their part as prefix, and the JSON lines handler.

Messages are short sentences in ``str.format`` style. Context such as a request
id goes into ``extra``. API keys and bodies are never logged.
"""

from __future__ import annotations

import sys
from typing import IO, Any

import logbook
import msgspec


class PartLogger(logbook.Logger):
    """A logger that prefixes all messages with the name of its part."""

    def process_record(self, record: logbook.LogRecord) -> None:
        """Prefix the record's message with the name of the part."""
        super().process_record(record)
        record.msg = f"{self.name}: {record.msg}"


class JsonLinesHandler(logbook.StreamHandler):
    """Writes one JSON object per record: time, level, part, message and ``extra``."""

    def __init__(self, stream: IO[str] | None = None, level: str = "INFO") -> None:
        super().__init__(stream or sys.stderr, level=level, bubble=False)

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "part": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line, enc_hook=str).decode()


def make_logger(part: str) -> PartLogger:
    """Return the logger of a part, for example ``make_logger("peers")``."""
    return PartLogger(part)
