"""HTTP/1.1 answers as a client reads them, without I/O: lines and raw bytes in, answers one by one.

Source: RFC 9112. A bare line feed ends a line too (2.2); 1xx answers are passed over.
"""

from __future__ import annotations

import re

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: .*)?")
MOST_HEADERS = 64
Headers = dict[bytes, bytes]


class GarbledError(Exception):
    """What came is no answer, and where the next one begins cannot be told."""


class Answers:
    """Reads the answers of one connection. `raw` says whether bytes or a line must be fed next.

    `headed`: the status and headers of the present answer are known; `whole`: its body too.
    """

    def __init__(self, most_body: int) -> None:
        self.most_body = most_body
        self.reset()

    def reset(self) -> None:
        self.status, self.headers, self.body = 0, Headers(), bytearray()
        self.kept = True  # the other side keeps connections
        self.left: int | None = 0  # bytes of the body, or of its chunk, still to come; None: up to the close
        self.headed = self.whole = self.raw = False
        self.chunks = self.trailers = False
        self.lines = 0

    @property
    def closing(self) -> bool:
        """Whether the other side closes after this answer."""
        return not self.kept or b"close" in self.headers.get(b"connection", b"").lower()

    @property
    def to_the_close(self) -> bool:
        """Whether the body goes up to the close, which makes it whole."""
        return self.headed and self.left is None

    def line(self, line: bytes) -> None:
        """A line without its end. GarbledError."""
        line = line.removesuffix(b"\r")
        if self.trailers:
            self.whole = not line
        elif self.chunks:
            self.chunk(line)
        elif not self.status:
            found = STATUS_LINE.fullmatch(line)
            if not found:
                raise GarbledError("no status line")
            self.status, self.kept = int(found[2]), found[1] == b"1"
        elif line:
            name, colon, value = line.partition(b":")
            self.lines += 1
            if not colon or self.lines > MOST_HEADERS:
                raise GarbledError("no header")
            self.headers[name.strip().lower()] = value.strip()
        elif self.status < 200:
            self.reset()
        else:
            self.start_body()

    def start_body(self) -> None:
        self.headed = True
        length = self.headers.get(b"content-length")
        if self.status in (204, 304) or length == b"0":
            self.whole = True
        elif self.headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.chunks = True
        elif length is None or (length.isdigit() and len(length) < 10 and int(length) <= self.most_body):
            self.left = None if length is None else int(length)
            self.raw = True
        else:
            raise GarbledError("a length that cannot be")

    def chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size and self.body:
            return  # the end of the chunk before
        if not re.fullmatch(rb"[0-9a-fA-F]{1,7}", size):
            raise GarbledError("no size of a chunk")
        self.left = int(size, 16)
        self.raw, self.trailers = bool(self.left), not self.left

    def data(self, data: bytes) -> bytes:
        """Bytes of a body and what is behind them; what is left over. GarbledError."""
        part = data if self.left is None else data[: self.left]
        self.body += part
        if len(self.body) > self.most_body:
            raise GarbledError("a body too long")
        if self.left is not None:
            self.left -= len(part)
            if not self.left:
                self.raw, self.whole = False, not self.chunks
        return data[len(part) :]
