"""Reads bodies in chunks, many short chunks at a time.

A body of one byte per chunk is legal. The HTTP library calls back for each chunk,
which takes a hundred times as long as it takes here.
"""

from __future__ import annotations

import re

from lagoonring.requests.errors import BadChunkError, HeadTooLargeError

CRLF = b"\r\n"
SIZE_LINE = re.compile(rb"([0-9a-fA-F]+)(?:[ \t]*;[^\x00-\x08\x0a-\x1f\x7f]*)?")
TRAILER = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\x00-\x08\x0a-\x1f\x7f]*")
MAX_SIZE_DIGITS = 16
SHORT_SIZES = range(1, 10)
# Runs of chunks of one size, by the byte that they begin with.
SHORT_RUNS = {
    ord(str(n)): (n, re.compile(rb"(?:%d\r\n[\s\S]{%d}\r\n)++" % (n, n)))
    for n in SHORT_SIZES
}


class ChunkReader:
    """Reads one body that arrives in chunks.

    Parameters
    ----------
    limit_bytes : int
        Longest line that begins a chunk, and all trailers together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.pending = b""  # a part of a line
        self.n_left = 0  # of the current chunk
        self.expects_end = False
        self.n_trailer_bytes = 0
        self.in_trailers = False
        self.is_done = False
        self.n_chunks = 0

    def feed(self, data: bytes) -> bytes:
        """Read received bytes and return the content.

        Once ``is_done``, ``pending`` has the bytes that follow the body.

        Raises
        ------
        BadChunkError
            If the bytes are not chunks.
        HeadTooLargeError
            If a chunk's line or the trailers are over ``limit_bytes``.
        """
        buffer = self.pending + data if self.pending else data
        content: list[bytes] = []
        position = self._read(buffer, content)
        self.pending = buffer[position:]
        return b"".join(content)

    def _read(self, buffer: bytes, content: list[bytes]) -> int:
        """Read what is whole; return the position of the rest."""
        position = 0
        while not self.in_trailers:
            if self.n_left:
                part = buffer[position : position + self.n_left]
                content.append(part)
                position += len(part)
                self.n_left -= len(part)
                if self.n_left:
                    return position
                self.expects_end = True
            if self.expects_end:
                end = buffer[position : position + 2]
                if not CRLF.startswith(end):
                    raise _bad_chunk(end)
                if len(end) < len(CRLF):
                    return position
                position += len(CRLF)
                self.expects_end = False
            position = self._read_short(buffer, position, content)
            line_end = self._find_line_end(buffer, position)
            if line_end < 0:
                return position
            self.n_left = self._read_size(buffer[position:line_end])
            self.n_chunks += 1
            self.in_trailers = self.n_left == 0
            position = line_end + len(CRLF)
        return self._read_trailers(buffer, position)

    def _read_short(self, buffer: bytes, position: int, content: list[bytes]) -> int:
        """Read a run of whole chunks of one short size."""
        if position == len(buffer) or buffer[position] not in SHORT_RUNS:
            return position
        size, run = SHORT_RUNS[buffer[position]]
        found = run.match(buffer, position)
        if found is None:
            return position
        chunks = found.group()
        step = len(b"1\r\n") + size + len(CRLF)
        self.n_chunks += len(chunks) // step
        merged = bytearray(len(chunks) // step * size)
        for index in range(size):
            merged[index::size] = chunks[len(b"1\r\n") + index :: step]
        content.append(bytes(merged))
        return found.end()

    def _read_trailers(self, buffer: bytes, position: int) -> int:
        """Drop the lines that follow the last chunk, up to an empty one."""
        while (line_end := self._find_line_end(buffer, position)) >= 0:
            line = buffer[position:line_end]
            n_bytes = len(line)
            position = line_end + len(CRLF)
            if n_bytes == 0:
                self.is_done = True
                break
            if TRAILER.fullmatch(line) is None:
                raise _bad_chunk(line)
            self.n_trailer_bytes += n_bytes + len(CRLF)
        return position

    def _find_line_end(self, buffer: bytes, position: int) -> int:
        line_end = buffer.find(CRLF, position)
        n_bytes = (line_end if line_end >= 0 else len(buffer)) - position
        if n_bytes + self.n_trailer_bytes > self.limit_bytes:
            raise HeadTooLargeError(
                f"Got over {self.limit_bytes} bytes in the line of a chunk or in "
                "trailers, expected at most that.",
                remedy="Send shorter lines and fewer trailers.",
            )
        return line_end

    def _read_size(self, line: bytes) -> int:
        match = SIZE_LINE.fullmatch(line)
        digits = match[1].lstrip(b"0") if match else line
        if match is None or len(digits) > MAX_SIZE_DIGITS:
            raise _bad_chunk(line)
        return int(digits or b"0", 16)


def _bad_chunk(got: bytes) -> BadChunkError:
    return BadChunkError(
        f"Got {got[:40]!r} in a body, expected a chunk.",
        remedy="Send the request again with correct chunks or a Content-Length.",
    )
