"""HTTP/1.1 as far as receivers, the list and notices need it: one call at a time on a kept connection."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.net.ends import End
from laureldock.net.flush import Flush

if TYPE_CHECKING:
    from laureldock.net.dispatcher import Dispatcher

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) (\d{3})(?: .*)?")
Headers = dict[bytes, bytes]


class Reader(Protocol):
    """Who asked: told once either of the answer or that there is none."""

    def answered(self, status: int, headers: Headers, body: bytes) -> None: ...

    def unanswered(self, end: End) -> None: ...

    def head_read(self, status: int, headers: Headers) -> None:
        """Told besides, of an answer whose body is not whole yet."""


class HttpLine(LineReceiver):
    """A connection. `free` is called when it may carry the next call, `gone` when it is closed."""

    transport: Connection  # type: ignore[assignment]

    MAX_LENGTH = 8192  # of a line, as common servers have it
    delimiter = b"\n"  # a bare one ends a line too (RFC 9112, 2.2)
    MOST_HEADERS = 64

    def __init__(self, most_body: int) -> None:
        self.most_body = most_body
        self.reader: Reader | None = None
        self.written = self.closed = False
        self.used = 0  # calls that it carried
        self.free: Callable[[HttpLine], None] = lambda line: None
        self.gone: Callable[[HttpLine], None] = lambda line: None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.reset()

    def reset(self) -> None:
        self.status, self.headers, self.body = 0, Headers(), bytearray()
        self.kept = True  # the other side keeps connections
        self.left: int | None = 0  # bytes of the body, or of its chunk, still to come; None: up to the close
        self.headed = self.chunks = self.trailers = False
        self.lines = 0

    def ask(self, head: list[bytes], body: bytes, reader: Reader) -> None:
        self.reader, self.written, self.used = reader, False, self.used + 1
        Flush(self.transport, b"\r\n".join([*head, b"", body]), self.all_written)

    def all_written(self) -> None:
        self.written = True

    def drop(self) -> None:
        """Close it, and give up what is out on it; nobody is told."""
        idle, self.reader, self.closed = self.reader is None, None, True
        if idle:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.reader is None:  # nothing was asked: it is for nobody, and would stand before the next answer
            self.drop()
            return
        super().dataReceived(data)
        if self.headed and self.reader:
            self.reader.head_read(self.status, self.headers)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        line = line.removesuffix(b"\r")
        if self.reader is None or self.closed:
            self.garble()
        elif self.trailers:
            if not line:
                self.finish()
        elif self.chunks:
            self.chunk(line)
        elif not self.status:
            found = STATUS_LINE.fullmatch(line)
            if not found:
                return self.garble()
            self.status, self.kept = int(found[2]), found[1] == b"1"
        elif line:
            name, colon, value = line.partition(b":")
            self.lines += 1
            if not colon or self.lines > self.MOST_HEADERS:
                return self.garble()
            self.headers[name.strip().lower()] = value.strip()
        elif self.status < 200:
            self.reset()
        else:
            self.start_body()
        return None

    def start_body(self) -> None:
        self.headed = True
        length = self.headers.get(b"content-length")
        if self.status in (204, 304) or length == b"0":
            self.finish()
        elif self.headers.get(b"transfer-encoding", b"").lower() == b"chunked":
            self.chunks = True
        elif length is None or (length.isdigit() and len(length) < 10 and int(length) <= self.most_body):
            self.left = None if length is None else int(length)
            self.setRawMode()
        else:
            self.garble()

    def chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip()
        if not size and self.body:
            return  # the end of the chunk before
        if not re.fullmatch(rb"[0-9a-fA-F]{1,7}", size):
            self.garble()
            return
        self.left = int(size, 16)
        if self.left:
            self.setRawMode()
        else:
            self.trailers = True

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closed:
            return
        part = data if self.left is None else data[: self.left]
        self.body += part
        if len(self.body) > self.most_body:
            self.garble()
        elif self.left is not None:
            self.left -= len(part)
            if not self.left:
                self._buffer = data[len(part) :]
                self.setLineMode()
                if not self.chunks:
                    self.finish()

    def finish(self) -> None:
        """The answer is whole."""
        reader, self.reader = self.reader, None
        status, headers, body = self.status, self.headers, bytes(self.body)
        # Bytes past the answer, or before the call was written, are not for the next call to read.
        strays = self._buffer or not self.written or not self.kept
        self.reset()
        if strays or b"close" in headers.get(b"connection", b"").lower():
            self.closed = True
            self.transport.loseConnection()
        else:
            self.free(self)
        if reader:
            reader.answered(status, headers, body)

    def garble(self) -> None:
        self.give_up(End.GARBLED)

    def give_up(self, end: End) -> None:
        """Close it, and tell who waits on it."""
        reader = self.reader
        self.drop()
        self.spoilt(reader, end)

    def spoilt(self, reader: Reader | None, end: End) -> None:
        """It will never be whole. A first line of 200 is true even so; of any other answer nothing holds."""
        if reader and self.status == 200:
            reader.answered(200, Headers(), b"")
        elif reader:
            reader.unanswered(end)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.garble()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.closed = True
        reader, self.reader = self.reader, None
        if reader and self.headed and self.left is None:  # its body goes up to the close
            reader.answered(self.status, self.headers, bytes(self.body))
        else:
            self.spoilt(reader, End.BROKEN if self.written else End.UNREACHED)
        self.gone(self)


def address(told: Any) -> str:
    """What was told as one, if it has a host and a port that can be; else ValueError."""
    dial = str(told)
    host, _, port = dial.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {dial!r}")
    return dial


def open_line(reactor: PosixReactorBase, dial: str, most_body: int, time_out: float) -> Deferred[HttpLine]:
    host, _, port = dial.rpartition(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=time_out)
    opening: Deferred[HttpLine] = endpoint.connect(Factory.forProtocol(lambda: HttpLine(most_body)))  # type: ignore
    return opening


class Asker:
    """Asks the platform one thing at a time, on one kept connection, and waits only so long."""

    def __init__(self, dispatcher: Dispatcher, dial: str, most_body: int) -> None:
        self.dispatcher, self.dial, self.most_body = dispatcher, dial, most_body
        self.busy = False
        self.line: HttpLine | None = None
        self.opening: Deferred[HttpLine] | None = None
        self.timer: DelayedCall | None = None

    def send(self, line: HttpLine) -> None:
        raise NotImplementedError

    def fail(self, why: str) -> None:
        raise NotImplementedError

    def head_read(self, status: int, headers: Headers) -> None:
        """The body matters, and is waited for."""

    def begin(self, time_out: float) -> None:
        self.busy = True
        self.timer = self.dispatcher.later(time_out, self.fail, End.SILENT.value)
        if self.line and not self.line.closed:
            self.send(self.line)
        else:
            self.line = None
            self.opening = open_line(self.dispatcher.reactor, self.dial, self.most_body, time_out)
            self.opening.addCallbacks(self.opened, self.failed)

    def opened(self, line: HttpLine) -> None:
        self.opening, self.line = None, line
        self.send(line)

    def failed(self, failure: Failure) -> None:
        if self.opening:  # else it was dropped
            self.opening = None
            self.fail(failure.getErrorMessage())

    def settle(self) -> bool:
        """The call is over; whether there was one."""
        was, self.busy = self.busy, False
        if self.timer and self.timer.active():
            self.timer.cancel()
        return was

    def drop(self) -> None:
        if self.opening:
            opening, self.opening = self.opening, None
            opening.cancel()
        if self.line:
            self.line.drop()
            self.line = None

    def move(self, dial: str) -> None:
        """Ask at another address from now on; what was asked at the old one has no answer any more."""
        self.close()
        self.dial = dial

    def close(self) -> None:
        self.settle()
        self.drop()
