"""Notices to the platform: kept until answered, and sent again until then."""

from __future__ import annotations

from twisted.internet.posixbase import PosixReactorBase

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.call_results import CallResult
from laureldock.core.protocols import NoticeListener
from laureldock.sockets.http_client import HttpConnection, SerialHttpClient
from laureldock.wire.http1 import Headers

# The protocol has them answered at once, and lets a mail's end be 0.3 s late: twice and again fit into that.
PATIENCE, PAUSE = 0.1, 0.05


class Notices(SerialHttpClient):
    def __init__(self, core: NoticeListener, reactor: PosixReactorBase, dial: str) -> None:
        super().__init__(reactor, dial, MAX_BODY_BYTES)
        self.core = core
        self.owed: dict[bytes, bytes] = {}  # by mail, in the order of their ends
        self.sent: list[bytes] = []  # those in the call that is out
        self.failing = False

    @property
    def pending_count(self) -> int:
        return len(self.owed)

    def has_pending(self, name: bytes) -> bool:
        return name in self.owed

    def send_notice(self, name: bytes, line: bytes) -> None:
        self.owed[name] = line
        self.post()

    def post(self) -> None:
        if self.busy or not self.owed:
            return
        self.sent = []
        size = 0
        for name, line in self.owed.items():
            size += len(line)
            if size > MAX_BODY_BYTES:
                break
            self.sent.append(name)
        self.start_request(PATIENCE)

    def write_request(self, line: HttpConnection) -> None:
        body = b"".join(self.owed[name] for name in self.sent)
        head = [
            b"POST /v1/notices HTTP/1.1",
            b"Host: " + self.address.encode(),
            b"Content-Type: application/x-ndjson",
            b"Content-Length: %d" % len(body),
        ]
        line.send_request(head, body, self)

    def response_received(self, status: int, headers: Headers, body: bytes) -> None:
        if status != 204:
            return self.fail(f"answer {status}")
        if self.failing:
            self.core.log.info("notices taken again", waiting=len(self.owed))
        self.failing = False
        self.end_request()
        done, self.sent = self.sent, []
        for name in done:
            del self.owed[name]
            self.core.notice_acknowledged(name)
        return self.post()

    def change_address(self, address: str) -> None:
        super().change_address(address)
        self.post()

    def request_written(self) -> None:
        """Nothing is counted of it."""

    def request_failed(self, end: CallResult) -> None:
        self.fail(end.value, again=end is not CallResult.MALFORMED_RESPONSE)

    def fail(self, why: str, again: bool = False) -> None:
        """Send it again: at once where only a kept connection had broken, else after a pause."""
        if self.end_request():
            if not self.failing:
                self.core.log.warning("notices not taken", waiting=len(self.owed))
            self.failing = True
            reused = self.connection is not None and self.connection.request_count > 1
            self.discard_connection()
            self.core.call_later(0.0 if again and reused else PAUSE, self.post)
