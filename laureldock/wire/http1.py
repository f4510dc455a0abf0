"""HTTP/1.1 responses as a client reads them, without I/O: takes lines and raw bytes, one response at a time.

Source: RFC 9112. A bare line feed ends a line too (section 2.2); 1xx responses are skipped.
"""

from __future__ import annotations

import re

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: .*)?")
MAX_HEADERS = 64
# Bytes of all lines of one response (interim responses, head, chunk sizes, trailers), a common limit of HTTP
# programs; and how many more there may be for each byte of the body.
MAX_LINE_BYTES = 16 << 10
MAX_CHUNK_LINE_FRACTION = 1 / 8
Headers = dict[bytes, bytes]


class MalformedResponseError(Exception):
    """The bytes are no response, and the start of the next one cannot be found."""


class ResponseParser:
    """Reads the responses of one connection. `wants_data` says whether it needs raw bytes or a line next.

    `head_complete`: the status and the headers of the current response are known. `complete`: its body too.
    Bodies are dropped as they arrive unless `keeps_body`.
    """

    def __init__(self, max_body: int, keeps_body: bool = True) -> None:
        self.max_body, self.keeps_body = max_body, keeps_body
        self.reset()

    def reset(self) -> None:
        self.line_bytes = 0  # of all lines of the response, with interim ones
        self._reset_head()

    def _reset_head(self) -> None:
        self.status, self.headers, self.body = 0, Headers(), bytearray()
        self.body_bytes = 0
        self.keep_alive = True  # by its HTTP version the server keeps the connection open
        self.missing_bytes: int | None = 0  # of the body or of the current chunk; None: up to the close
        self.head_complete = self.complete = self.wants_data = False
        self.chunked = self.in_trailers = False
        self.header_lines = 0

    @property
    def closes_connection(self) -> bool:
        """Whether the server closes the connection after this response."""
        return not self.keep_alive or b"close" in self.headers.get(b"connection", b"").lower()

    @property
    def held_bytes(self) -> int:
        """What the response holds so far."""
        return min(self.line_bytes, MAX_LINE_BYTES) + len(self.body)

    @property
    def body_ends_at_close(self) -> bool:
        """Whether the body extends to the close of the connection, which completes it."""
        return self.head_complete and self.missing_bytes is None

    def feed_line(self, line: bytes) -> None:
        """Take a line without its line feed. MalformedResponseError."""
        self.line_bytes += len(line) + 1
        if self.line_bytes > MAX_LINE_BYTES + MAX_CHUNK_LINE_FRACTION * self.body_bytes:
            raise MalformedResponseError("too many lines")
        line = line.removesuffix(b"\r")
        if self.in_trailers:
            self.complete = not line
        elif self.chunked:
            self.start_chunk(line)
        elif not self.status:
            found = STATUS_LINE.fullmatch(line)
            if not found:
                raise MalformedResponseError("invalid status line")
            self.status, self.keep_alive = int(found[2]), found[1] == b"1"
        elif line:
            name, colon, value = line.partition(b":")
            self.header_lines += 1
            if not colon or self.header_lines > MAX_HEADERS:
                raise MalformedResponseError("invalid header, or too many headers")
            self.headers[name.strip().lower()] = value.strip()
        elif self.status < 200:
            self._reset_head()
        else:
            self.start_body()

    def start_body(self) -> None:
        self.head_complete = True
        length = self.headers.get(b"content-length")
        if self.status in (204, 304) or length == b"0":
            self.complete = True
        elif self.headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.chunked = True
        elif length is None or (length.isdigit() and len(length) < 10 and int(length) <= self.max_body):
            self.missing_bytes = None if length is None else int(length)
            self.wants_data = True
        else:
            raise MalformedResponseError("invalid content length, or body too long")

    def start_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size and self.body_bytes:
            return  # the line end of the previous chunk
        if not re.fullmatch(rb"[0-9a-fA-F]{1,7}", size):
            raise MalformedResponseError("invalid chunk size")
        self.missing_bytes = int(size, 16)
        self.wants_data, self.in_trailers = bool(self.missing_bytes), not self.missing_bytes

    def feed_data(self, data: bytes) -> bytes:
        """Take bytes of a body; return the bytes that follow it or its chunk. MalformedResponseError."""
        part = data if self.missing_bytes is None else data[: self.missing_bytes]
        self.body_bytes += len(part)
        if self.keeps_body:
            self.body += part
        if self.body_bytes > self.max_body:
            raise MalformedResponseError("body too long")
        if self.missing_bytes is not None:
            self.missing_bytes -= len(part)
            if not self.missing_bytes:
                self.wants_data, self.complete = False, not self.chunked
        return data[len(part) :]
