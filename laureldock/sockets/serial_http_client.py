"""A client that sends one HTTP/1.1 request at a time to one address, over a persistent connection."""

from __future__ import annotations

from math import inf

from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.failure import Failure

from laureldock.core.call_results import CallResult
from laureldock.core.protocols import CoreServices, Timer
from laureldock.delivery_connections import ConnectionReuse, RestTimes
from laureldock.delivery_memory import MemoryRefusal
from laureldock.sockets.http_client import HttpConnection, open_connection
from laureldock.wire.http1 import Headers


class SerialHttpClient:
    """Sends one request at a time to one address, over a persistent connection, each with a time limit.

    A subclass writes the request in `write_request`, and handles its end in `response_received` and `fail`.
    """

    keeps_body = False  # whether the bodies of responses are needed

    def __init__(self, core: CoreServices, reactor: PosixReactorBase, address: str, max_body: int) -> None:
        self.services, self.reactor, self.address, self.max_body = core, reactor, address, max_body
        self.reuse = ConnectionReuse(RestTimes())
        self.busy = False
        # When a response that is still arriving is given up; how much of it was there at the last check.
        self.deadline, self.bytes_seen = 0.0, 0
        self.connection: HttpConnection | None = None
        self.connecting: Deferred[HttpConnection] | None = None
        self.timer: Timer | None = None

    def write_request(self, connection: HttpConnection) -> None:
        raise NotImplementedError

    def fail(self, why: str) -> None:
        raise NotImplementedError

    def response_started(self, status: int, headers: Headers) -> None:
        """Nothing to do: the body is needed."""

    def start_request(self, time_out: float, progress_time: float = inf, max_time: float = 0.0) -> None:
        """Send the next request, and wait `time_out` seconds for its response.

        `progress_time`: a response that is still arriving after `time_out` is waited for so many seconds
        more, again and again while bytes arrive. `max_time`: the limit on all of it.
        """
        if self.connection and not self.can_reuse(self.connection):
            self.discard_connection()
        self.busy, self.deadline = True, self.reactor.seconds() + max_time
        self.bytes_seen = self.connection.bytes_received if self.connection else 0
        self.timer = self.reactor.callLater(time_out, self.check_progress, progress_time)
        if self.connection:
            self.write_request(self.connection)
        else:
            self.connecting = open_connection(
                self.reactor, self.address, self.max_body, time_out, self.services.memory, self.keeps_body
            )
            self.connecting.addCallbacks(self.connected, self.connect_failed)

    def can_reuse(self, connection: HttpConnection) -> bool:
        """Whether the next response on this connection is certainly one to the next request."""
        return not connection.discard_if_unread() and connection.ready_at <= self.reactor.seconds()

    def check_progress(self, progress_time: float) -> None:
        bytes_received = self.connection.bytes_received if self.connection else 0
        if bytes_received > self.bytes_seen and self.reactor.seconds() + progress_time <= self.deadline:
            self.bytes_seen = bytes_received
            self.timer = self.reactor.callLater(progress_time, self.check_progress, progress_time)
        else:
            self.fail(CallResult.TIMED_OUT.value)

    def connected(self, connection: HttpConnection) -> None:
        self.connecting, self.connection = None, connection
        connection.on_idle, connection.on_extra_bytes = self.response_ended, self.extra_bytes_received
        connection.on_memory_short = self.response_refused
        self.write_request(connection)

    def response_ended(self, connection: HttpConnection) -> None:
        connection.ready_at = self.reuse.ready_at(self.reactor.seconds())

    def response_refused(self, connection: HttpConnection) -> None:
        """A response does not fit into the memory that is left."""
        self.services.report_memory_refusal(MemoryRefusal.LIST_REFUSED, received=connection.held)

    def extra_bytes_received(self, connection: HttpConnection, data: bytes) -> None:
        kind = self.reuse.extra_bytes_received(self.reactor.seconds(), data, connection.history)
        self.services.report_extra_bytes(self.address, kind)

    def connect_failed(self, failure: Failure) -> None:
        if self.connecting:  # otherwise it was cancelled
            self.connecting = None
            self.fail(failure.getErrorMessage())

    def end_request(self) -> bool:
        """The current request has ended. Returns whether there was one."""
        was_busy, self.busy = self.busy, False
        if self.timer and self.timer.active():
            self.timer.cancel()
        return was_busy

    def discard_connection(self) -> None:
        if self.connecting:
            connecting, self.connecting = self.connecting, None
            connecting.cancel()
        if self.connection:
            self.connection.discard()
            self.connection = None

    def change_address(self, address: str) -> None:
        """Send to another address from now on, and abandon the request that is out at the old one."""
        self.close()
        self.address = address
        self.reuse = ConnectionReuse(RestTimes())

    def close(self) -> None:
        self.end_request()
        self.discard_connection()
