"""A log handler that writes to standard output without blocking the caller."""

from __future__ import annotations

import os
import queue
import threading
from typing import TYPE_CHECKING

from lagoonring.logs.logger import JsonLinesHandler

if TYPE_CHECKING:
    import logbook

MAX_QUEUED_LINES = 2000  # some seconds of output of a busy instance, about 1 MB
BATCH_BYTES = 64 << 10  # default capacity of a pipe
FLUSH_INTERVAL_S = 0.2  # lines are collected this long, to save thread wake-ups
STDOUT_FD = 1


class QueuedLinesHandler(JsonLinesHandler):
    """Puts lines in a bounded queue, which a background thread writes out.

    Lines are dropped and counted while the queue is full; the count is logged with
    the next lines written.

    Attributes
    ----------
    n_dropped : int
        Lines dropped since the start.
    """

    def __init__(self, level: str = "INFO", *, descriptor: int = STDOUT_FD) -> None:
        super().__init__(level=level)
        self.descriptor = descriptor
        self.lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self.n_dropped = 0
        self.n_reported = 0
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line, or drop it if the queue is full."""
        try:
            self.lines.put_nowait(self.format(record))
        except queue.Full:
            self.n_dropped += 1

    def close(self) -> None:
        """Write the queued lines and end the thread, within a timeout."""
        try:
            self.lines.put(None, timeout=FLUSH_INTERVAL_S)
        except queue.Full:
            return
        self.thread.join(timeout=1.0)

    def _run(self) -> None:
        is_open = True
        pause = threading.Event()
        while is_open:
            batch = [self.lines.get()]
            if batch[0] is not None:
                pause.wait(FLUSH_INTERVAL_S)
            while not self.lines.empty():
                batch.append(self.lines.get())
            is_open = None not in batch
            self._write([line for line in batch if line is not None])

    def _write(self, lines: list[str]) -> None:
        n_dropped = self.n_dropped
        if n_dropped > self.n_reported:
            lines.append(f'{{"part":"log","message":"Dropped lines.","n":{n_dropped}}}')
            self.n_reported = n_dropped
        content = "".join(f"{line}\n" for line in lines).encode()
        for start in range(0, len(content), BATCH_BYTES):
            unwritten = content[start : start + BATCH_BYTES]
            while unwritten:
                try:
                    unwritten = unwritten[os.write(self.descriptor, unwritten) :]
                except OSError:
                    n_written = content[: start + BATCH_BYTES].count(b"\n")
                    n_written -= unwritten.count(b"\n")
                    self.n_dropped += len(lines) - n_written
                    return
