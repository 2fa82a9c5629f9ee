"""Writes log lines to standard output without ever making the caller wait."""

from __future__ import annotations

import os
import queue
import threading
from typing import TYPE_CHECKING

from lagoonring.logs.logger import JsonLinesHandler

if TYPE_CHECKING:
    import logbook

N_LINES_MOST = 2000  # some seconds of lines at a busy instance, about 1 MB
BATCH_BYTES = 64 << 10  # a pipe's usual capacity
FLUSH_S = 0.2  # lines of this time are written at once, to wake up less often
STDOUT = 1


class QueuedLinesHandler(JsonLinesHandler):
    """Puts lines in a bounded queue that one thread writes out.

    Lines are dropped and counted while the queue is full; the next line that is
    written tells how many.

    Attributes
    ----------
    n_dropped : int
        Lines dropped since the start.
    """

    def __init__(self, level: str = "INFO", *, descriptor: int = STDOUT) -> None:
        super().__init__(level=level)
        self.descriptor = descriptor
        self.lines: queue.Queue[str | None] = queue.Queue(N_LINES_MOST)
        self.n_dropped = 0
        self.n_told = 0
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record's line, or drop it."""
        try:
            self.lines.put_nowait(self.format(record))
        except queue.Full:
            self.n_dropped += 1

    def close(self) -> None:
        """Write what is queued and end."""
        try:
            self.lines.put(None, timeout=FLUSH_S)
        except queue.Full:
            return
        self.thread.join(timeout=1.0)

    def _run(self) -> None:
        is_open = True
        pause = threading.Event()
        while is_open:
            batch = [self.lines.get()]
            if batch[0] is not None:
                pause.wait(FLUSH_S)
            while not self.lines.empty():
                batch.append(self.lines.get())
            is_open = None not in batch
            self._write([line for line in batch if line is not None])

    def _write(self, lines: list[str]) -> None:
        n_dropped = self.n_dropped
        if n_dropped > self.n_told:
            lines.append(f'{{"part":"log","message":"Dropped lines.","n":{n_dropped}}}')
            self.n_told = n_dropped
        content = "".join(f"{line}\n" for line in lines).encode()
        for start in range(0, len(content), BATCH_BYTES):
            rest = content[start : start + BATCH_BYTES]
            while rest:
                try:
                    rest = rest[os.write(self.descriptor, rest) :]
                except OSError:
                    self.n_dropped += len(lines)
                    return
