"""The queued log handler, which drops lines instead of blocking the caller."""

from __future__ import annotations

import json
import os
import threading

import pytest

from lagoonring.logs import make_logger
from lagoonring.logs.queued import MAX_QUEUED_LINES, QueuedLinesHandler

logger = make_logger("part")


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def read_lines(reader, n_lines):
    content = b""
    while content.count(b"\n") < n_lines:
        content += os.read(reader, 65536)
    return [json.loads(line) for line in content.splitlines()]


def finish(handler, reader):
    """Read until the handler's thread has ended.

    A thread that is left behind writes to the descriptor's number, which the pipe of
    the next test may have.
    """
    while handler.thread.is_alive():
        try:
            os.read(reader, 1 << 20)
        except BlockingIOError:
            handler.close()


def test_writes_a_json_line_with_its_extra(pipe):
    reader, writer = pipe
    handler = QueuedLinesHandler(descriptor=writer)
    with handler.applicationbound():
        logger.info("Decided {}.", "it", extra={"request_id": "r-1", "age_s": 0.25})
    handler.close()
    (line,) = read_lines(reader, 1)
    assert line["message"] == "part: Decided it."
    assert (line["request_id"], line["age_s"]) == ("r-1", 0.25)


def test_stalled_reader_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    handler = QueuedLinesHandler(descriptor=writer)
    n_lines = 4 * MAX_QUEUED_LINES
    done = threading.Event()

    def write():
        with handler.applicationbound():
            for number in range(n_lines):
                logger.info("Line {}.", number, extra={"text": "x" * 100})
        done.set()

    threading.Thread(target=write, daemon=True).start()
    assert done.wait(30)
    assert 0 < handler.n_dropped < n_lines
    os.set_blocking(reader, False)
    content = b""
    while b"Dropped lines." not in content:
        try:
            content += os.read(reader, 1 << 20)
        except BlockingIOError:
            threading.Event().wait(0.01)
        with handler.applicationbound():
            logger.info("More.")
    finish(handler, reader)


def test_an_error_of_the_output_counts_only_the_lines_not_written(pipe):
    """Lines are written until the pipe, which does not block, is full."""
    reader, writer = pipe
    os.set_blocking(writer, False)
    handler = QueuedLinesHandler(descriptor=writer)
    handler.close()
    n_lines = 300
    handler._write(["x" * 1023] * n_lines)
    os.set_blocking(reader, False)
    n_written = os.read(reader, n_lines * 1024).count(b"\n")
    assert 0 < n_written < n_lines
    assert handler.n_dropped == n_lines - n_written
