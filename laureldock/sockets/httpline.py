"""A kept HTTP/1.1 connection that carries one call at a time, and who asks one thing at a time over it."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.core.call_results import CallResult
from laureldock.core.protocols import Timer
from laureldock.sockets.flush import Flush, half_close
from laureldock.wire.http1 import Answers, GarbledError, Headers


class Reader(Protocol):
    """Who asked: told once either of the answer or that there is none."""

    def answered(self, status: int, headers: Headers, body: bytes) -> None: ...

    def unanswered(self, end: CallResult) -> None: ...

    def written_out(self) -> None:
        """Told when the call's last byte has left."""

    def begun(self, status: int, headers: Headers) -> None:
        """Told besides, of an answer that is not whole yet, with such headers as have come."""


class HttpLine(LineReceiver):
    """A connection. `free` is called when it may carry the next call, `gone` when it is closed."""

    transport: Connection  # type: ignore[assignment]

    MAX_LENGTH = 8192  # of a line, as common servers have it
    delimiter = b"\n"

    def __init__(self, most_body: int) -> None:
        self.reader: Reader | None = None
        self.answers = Answers(most_body)
        self.written = self.closed = self.half_closed = False
        self.used = self.came = 0  # calls that it carried, bytes that have come
        self.free: Callable[[HttpLine], None] = lambda line: None
        self.gone: Callable[[HttpLine], None] = lambda line: None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)

    def ask(self, head: list[bytes], body: bytes, reader: Reader) -> None:
        self.reader, self.written, self.used = reader, False, self.used + 1
        Flush(self.transport, b"\r\n".join([*head, b"", body]), self.all_written)

    def all_written(self) -> None:
        self.written = True
        if self.reader:
            self.reader.written_out()

    def drop(self) -> None:
        """Close it, and give up what is out on it; nobody is told."""
        idle, self.reader, self.closed = self.reader is None, None, True
        if idle:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def end_sending(self) -> None:
        """Half-close it: the receiver gives its call up, unless its answer comes. No other follows."""
        self.half_closed = True
        half_close(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.reader is None or not self.written:
            # Nothing was asked, or not whole yet: it is for nobody, and would stand before the next answer.
            # What was not written whole has not run, and now never will.
            self.give_up(CallResult.NOT_CONNECTED)
            return
        self.came += len(data)
        super().dataReceived(data)
        if self.reader and self.answers.status >= 200:
            self.reader.begun(self.answers.status, self.answers.headers)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.reader is None or self.closed:
            self.garble()
            return
        try:
            self.answers.line(line)
        except GarbledError:
            self.garble()
            return
        if self.answers.whole:
            self.finish()
        elif self.answers.raw:
            self.setRawMode()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closed:
            return
        try:
            rest = self.answers.data(data)
        except GarbledError:
            self.garble()
            return
        if not self.answers.raw:
            self._buffer = rest
            self.setLineMode()
            if self.answers.whole:
                self.finish()

    def finish(self) -> None:
        """The answer is whole."""
        reader, self.reader = self.reader, None
        got = self.answers
        status, headers, body = got.status, got.headers, bytes(got.body)
        # Bytes past the answer are not for the next call to read.
        spent = self._buffer or got.closing or self.half_closed
        got.reset()
        if spent:
            self.closed = True
            self.transport.loseConnection()
        else:
            self.free(self)
        if reader:
            reader.answered(status, headers, body)

    def garble(self) -> None:
        self.give_up(CallResult.MALFORMED_RESPONSE)

    def give_up(self, end: CallResult) -> None:
        """Close it, and tell who waits on it."""
        reader = self.reader
        self.drop()
        self.spoilt(reader, end)

    def spoilt(self, reader: Reader | None, end: CallResult) -> None:
        """It will never be whole. A first line of 200 is true even so; of any other answer nothing holds."""
        if reader and self.answers.status == 200:
            reader.answered(200, Headers(), b"")
        elif reader:
            reader.unanswered(end)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.garble()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.closed = True
        reader, self.reader = self.reader, None
        got = self.answers
        if reader and got.to_the_close:
            reader.answered(got.status, got.headers, bytes(got.body))
        else:
            self.spoilt(reader, CallResult.CONNECTION_LOST if self.written else CallResult.NOT_CONNECTED)
        self.gone(self)


def open_line(reactor: PosixReactorBase, dial: str, most_body: int, time_out: float) -> Deferred[HttpLine]:
    host, _, port = dial.rpartition(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=time_out)
    opening: Deferred[HttpLine] = endpoint.connect(Factory.forProtocol(lambda: HttpLine(most_body)))  # type: ignore
    return opening


class Asker:
    """Asks the platform one thing at a time, on one kept connection, and waits only so long."""

    def __init__(self, reactor: PosixReactorBase, dial: str, most_body: int) -> None:
        self.reactor, self.dial, self.most_body = reactor, dial, most_body
        self.busy = False
        self.ends, self.came = 0.0, 0  # when an answer that goes on coming is given up; bytes seen of it
        self.line: HttpLine | None = None
        self.opening: Deferred[HttpLine] | None = None
        self.timer: Timer | None = None

    def send(self, line: HttpLine) -> None:
        raise NotImplementedError

    def fail(self, why: str) -> None:
        raise NotImplementedError

    def begun(self, status: int, headers: Headers) -> None:
        """The body matters, and is waited for."""

    def begin(self, time_out: float, silence: float = inf, most: float = 0.0) -> None:
        """`silence`: after `time_out`, an answer that goes on coming is waited for as long again, each time;
        `most`: in all."""
        self.busy, self.ends = True, self.reactor.seconds() + most
        self.came = self.line.came if self.line else 0
        self.timer = self.reactor.callLater(time_out, self.waited, silence)
        if self.line and not self.line.closed:
            self.send(self.line)
        else:
            self.line = None
            self.opening = open_line(self.reactor, self.dial, self.most_body, time_out)
            self.opening.addCallbacks(self.opened, self.failed)

    def waited(self, silence: float) -> None:
        came = self.line.came if self.line else 0
        if came > self.came and self.reactor.seconds() + silence <= self.ends:
            self.came = came
            self.timer = self.reactor.callLater(silence, self.waited, silence)
        else:
            self.fail(CallResult.TIMED_OUT.value)

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
