"""Persistent HTTP/1.1 client connections with one request at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.core.call_results import CallResult
from laureldock.delivery_connections import (
    COMPARED_BYTES,
    ConnectionHistory,
)
from laureldock.delivery_memory import (
    RECEIVER_CONNECTION_BYTES,
    MemoryBudget,
    MemoryKind,
    refuses_list,
    response_bytes,
)
from laureldock.sockets.flush import FlushProducer, half_close, peek_unread
from laureldock.wire.http1 import Headers, MalformedResponseError, ResponseParser

READ_BYTES = 32 << 10  # of one read


class ResponseHandler(Protocol):
    """Sent a request: gets either its response or its failure, once."""

    def response_received(self, status: int, headers: Headers, body: bytes) -> None: ...

    def request_failed(self, end: CallResult) -> None: ...

    def request_written(self) -> None:
        """The last byte of the request has been written."""

    def response_started(self, status: int, headers: Headers) -> None:
        """The response has arrived in part: its status, and the headers read so far. Called repeatedly."""


class HttpConnection(LineReceiver):
    """One connection.

    Calls `on_idle` when it can carry the next request, once it has rested; `on_extra_bytes` with bytes that
    answer no request, upon which it closes; `on_closed` when it is closed. What arrives is charged to
    `memory`: bodies are kept only of lists, and a list that does not fit ends the request.
    """

    transport: Connection  # type: ignore[assignment]

    MAX_LENGTH = 8192  # bytes of a line, a common limit of HTTP servers
    delimiter = b"\n"

    def __init__(
        self, address: str, max_body: int, now: Callable[[], float], memory: MemoryBudget, keeps_body: bool
    ) -> None:
        """`address`: that it leads to; `now`: the monotonic time in seconds."""
        self.address, self.now, self.memory = address, now, memory
        self.kind = MemoryKind.LISTS if keeps_body else MemoryKind.RESPONSES
        self.held = 0  # bytes charged for the response that is arriving
        self.handler: ResponseHandler | None = None
        self.parser = ResponseParser(max_body, keeps_body)
        self.request_flushed = self.closed = self.half_closed = False
        self.request_count = self.bytes_received = 0
        self.history = ConnectionHistory()
        self.response_start = b""  # of the response that is arriving
        self.ready_at = 0.0  # when it has rested after its last response; set by its owner
        self.on_idle: Callable[[HttpConnection], None] = lambda connection: None
        self.on_extra_bytes: Callable[[HttpConnection, bytes], None] = lambda connection, data: None
        self.on_memory_short: Callable[[HttpConnection], None] = lambda connection: None
        self.on_closed: Callable[[HttpConnection], None] = lambda connection: None

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.memory.change(MemoryKind.CONNECTIONS, RECEIVER_CONNECTION_BYTES)

    def send_request(self, head: list[bytes], body: bytes, handler: ResponseHandler) -> None:
        self.handler, self.request_flushed, self.request_count = handler, False, self.request_count + 1
        FlushProducer(self.transport, b"\r\n".join([*head, b"", body]), self.on_request_flushed)

    def on_request_flushed(self) -> None:
        self.request_flushed = True
        if self.handler:
            self.handler.request_written()

    def discard(self) -> None:
        """Close it and abandon its current request, without a call to the handler."""
        idle, self.handler, self.closed = self.handler is None, None, True
        if idle:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def discard_if_unread(self) -> bool:
        """Close it if something arrived on it since its last response; return whether it is closed."""
        if not self.closed and (unread := peek_unread(self.transport, COMPARED_BYTES)) is not None:
            if unread:
                self.on_extra_bytes(self, unread)
            self.discard()
        return self.closed

    def end_sending(self) -> None:
        """Half-close it: the server abandons the request, unless its response is already on the way.

        The connection carries no further request.
        """
        self.half_closed = True
        half_close(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closed:
            return
        if self.handler is None or not self.request_flushed:
            # No request has been sent in full, so these bytes answer none, and would precede the next
            # response. A request that is not written in full has not run, and never will now.
            self.on_extra_bytes(self, data)
            self.fail(CallResult.NOT_CONNECTED)
            return
        self.bytes_received += len(data)
        self.response_start += data[: COMPARED_BYTES - len(self.response_start)]
        super().dataReceived(data)
        if self.set_held(response_bytes(self.kind, len(self._buffer) + self.parser.held_bytes)):
            self.on_memory_short(self)
            self.fail_malformed()
        if self.handler and self.parser.status >= 200:
            self.handler.response_started(self.parser.status, self.parser.headers)

    def set_held(self, size: int) -> bool:
        """Charge so many bytes for the response; whether it is a list that does not fit."""
        more, self.held = size - self.held, size
        if more:
            self.memory.change(self.kind, more)
        return more > 0 and refuses_list(self.memory, self.kind, size)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.handler is None or self.closed:
            self.fail_malformed()
            return
        status_before = self.parser.status
        try:
            self.parser.feed_line(line)
        except MalformedResponseError:
            self.fail_malformed()
            return
        if status_before and not self.parser.status:  # an interim response has ended
            self.response_start = self._buffer[:COMPARED_BYTES]
        if self.parser.complete:
            self.finish_response()
        elif self.parser.wants_data:
            self.setRawMode()

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closed:
            return
        try:
            rest = self.parser.feed_data(data)
        except MalformedResponseError:
            self.fail_malformed()
            return
        if not self.parser.wants_data:
            self._buffer = rest
            self.setLineMode()
            if self.parser.complete:
                self.finish_response()

    def finish_response(self) -> None:
        """Pass the complete response on; keep the connection for the next request where that is possible."""
        handler, self.handler = self.handler, None
        parser = self.parser
        status, headers, body = parser.status, parser.headers, bytes(parser.body)
        extra = self._buffer  # bytes behind the response must not be read as the response to the next request
        self.history.response_ended(self.now(), self.response_start.removesuffix(extra))
        self.response_start = b""
        if extra:
            self.on_extra_bytes(self, extra)
        unusable = extra or parser.closes_connection or self.half_closed
        parser.reset()
        self.set_held(0)
        if unusable:
            self.closed = True
            self.transport.loseConnection()
        else:
            self.on_idle(self)
        if handler:
            handler.response_received(status, headers, body)

    def fail_malformed(self) -> None:
        self.fail(CallResult.MALFORMED_RESPONSE)

    def fail(self, end: CallResult) -> None:
        """Close it, and report the failure to the handler."""
        handler = self.handler
        self.discard()
        self.report_incomplete(handler, end)

    def report_incomplete(self, handler: ResponseHandler | None, end: CallResult) -> None:
        """The response will never be complete. A status line of 200 counts even so; any other does not."""
        if handler and self.parser.status == 200:
            handler.response_received(200, Headers(), b"")
        elif handler:
            handler.request_failed(end)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.fail_malformed()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.closed = True
        self.set_held(0)
        self.memory.change(MemoryKind.CONNECTIONS, -RECEIVER_CONNECTION_BYTES)
        handler, self.handler = self.handler, None
        parser = self.parser
        if handler and parser.body_ends_at_close:
            handler.response_received(parser.status, parser.headers, bytes(parser.body))
        else:
            self.report_incomplete(
                handler, CallResult.CONNECTION_LOST if self.request_flushed else CallResult.NOT_CONNECTED
            )
        self.on_closed(self)


def open_connection(
    reactor: PosixReactorBase,
    address: str,
    max_body: int,
    time_out: float,
    memory: MemoryBudget,
    keeps_body: bool = False,
) -> Deferred[HttpConnection]:
    """Connect to `address` (host:port) within `time_out` seconds. Bodies are dropped unless `keeps_body`."""
    host, _, port = address.rpartition(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=time_out)
    connecting: Deferred[HttpConnection] = endpoint.connect(
        Factory.forProtocol(  # type: ignore
            lambda: HttpConnection(address, max_body, reactor.seconds, memory, keeps_body)
        )
    )
    return connecting
