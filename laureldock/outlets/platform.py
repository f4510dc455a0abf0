"""Outlet to the platform: posts notices over HTTP, and keeps and repeats each until it is acknowledged."""

from __future__ import annotations

from twisted.internet.posixbase import PosixReactorBase

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.call_results import CallResult
from laureldock.core.protocols import NoticeListener
from laureldock.sockets.http_client import HttpConnection
from laureldock.sockets.serial_http_client import SerialHttpClient
from laureldock.wire.http1 import Headers

# Seconds. The protocol has notices acknowledged at once, and allows the end of a message to be reported 0.3 s
# late: two requests that time out, each followed by the interval, fit into that before the third.
RESPONSE_TIMEOUT, RETRY_INTERVAL = 0.1, 0.05


class PlatformOutlet(SerialHttpClient):
    """Posts all pending notices in one request, as far as its body holds them; one request at a time."""

    def __init__(self, core: NoticeListener, reactor: PosixReactorBase, address: str) -> None:
        super().__init__(core, reactor, address, MAX_BODY_BYTES)
        self.core = core
        self.pending: dict[bytes, bytes] = {}  # notices by message name, in the order of the messages' ends
        self.in_flight: list[bytes] = []  # message names of the notices in the current request
        self.failing = False

    @property
    def pending_count(self) -> int:
        return len(self.pending)

    def has_pending(self, name: bytes) -> bool:
        return name in self.pending

    def send_notice(self, name: bytes, line: bytes) -> None:
        self.pending[name] = line
        self.send_pending()

    def send_pending(self) -> None:
        if not self.busy and self.pending:
            self.start_request(RESPONSE_TIMEOUT)

    def write_request(self, connection: HttpConnection) -> None:
        self.in_flight = []
        size = 0
        for name, notice in self.pending.items():
            size += len(notice)
            if size > MAX_BODY_BYTES:
                break
            self.in_flight.append(name)
        body = b"".join(self.pending[name] for name in self.in_flight)
        head = [
            b"POST /v1/notices HTTP/1.1",
            b"Host: " + self.address.encode(),
            b"Content-Type: application/x-ndjson",
            b"Content-Length: %d" % len(body),
        ]
        connection.send_request(head, body, self)

    def response_received(self, status: int, headers: Headers, body: bytes) -> None:
        if status != 204:
            return self.fail(f"answer {status}")
        if self.failing:
            self.core.log.info("notices taken again", waiting=len(self.pending))
        self.failing = False
        self.end_request()
        acknowledged, self.in_flight = self.in_flight, []
        for name in acknowledged:
            del self.pending[name]
            self.core.notice_acknowledged(name)
        return self.send_pending()

    def change_address(self, address: str) -> None:
        super().change_address(address)
        self.send_pending()

    def request_written(self) -> None:
        """Does nothing: requests with notices are not counted."""

    def request_failed(self, end: CallResult) -> None:
        self.fail(end.value, retry_at_once=end is not CallResult.MALFORMED_RESPONSE)

    def fail(self, why: str, retry_at_once: bool = False) -> None:
        """Schedule the next request: at once if a reused connection broke, otherwise after the interval."""
        if self.end_request():
            if not self.failing:
                self.core.log.warning("notices not taken", waiting=len(self.pending))
            self.failing = True
            reused = self.connection is not None and self.connection.request_count > 1
            self.discard_connection()
            self.core.call_later(0.0 if retry_at_once and reused else RETRY_INTERVAL, self.send_pending)
