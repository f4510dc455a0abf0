"""Notices to the platform: kept until answered, and sent again until then."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure

from laureldock.net import MOST_BODY
from laureldock.net.ends import End
from laureldock.net.http import Headers, HttpLine, open_line

if TYPE_CHECKING:
    from laureldock.net.dispatcher import Dispatcher

# The protocol has them answered at once, and lets a mail's end be 0.3 s late: twice and again fit into that.
PATIENCE, PAUSE = 0.1, 0.05


def line_of(name: bytes, handed_back: bool, retry_after: float) -> bytes:
    fields: dict[str, object] = {"message": name.decode("ascii"), "outcome": "given_up"}
    if handed_back:
        fields["outcome"] = "handed_back"
        if wait := round(retry_after * 1000):
            fields["retry_in_ms"] = wait
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Notices:
    def __init__(self, dispatcher: Dispatcher, dial: str) -> None:
        self.dispatcher, self.dial = dispatcher, dial
        self.owed: dict[bytes, bytes] = {}  # by mail, in the order of their ends
        self.sent: list[bytes] = []  # those in the call that is out
        self.busy = self.failing = False
        self.line: HttpLine | None = None
        self.timer: DelayedCall | None = None

    def put(self, name: bytes, line: bytes) -> None:
        self.owed[name] = line
        self.post()

    def post(self) -> None:
        if self.busy or not self.owed:
            return
        self.busy, self.sent = True, []
        size = 0
        for name, line in self.owed.items():
            size += len(line)
            if size > MOST_BODY:
                break
            self.sent.append(name)
        self.timer = self.dispatcher.later(PATIENCE, self.fail)
        if self.line and not self.line.closed:
            self.send(self.line)
        else:
            self.line = None
            opening = open_line(self.dispatcher.reactor, self.dial, MOST_BODY, PATIENCE)
            opening.addCallbacks(self.opened, self.unopened)

    def opened(self, line: HttpLine) -> None:
        if self.busy and self.line is None:
            self.line = line
            self.send(line)
        else:
            line.drop()

    def unopened(self, failure: Failure) -> None:
        self.fail()

    def send(self, line: HttpLine) -> None:
        body = b"".join(self.owed[name] for name in self.sent)
        head = [
            b"POST /v1/notices HTTP/1.1",
            b"Host: " + self.dial.encode(),
            b"Content-Type: application/x-ndjson",
            b"Content-Length: %d" % len(body),
        ]
        line.ask(head, body, self)

    def answered(self, status: int, headers: Headers, body: bytes) -> None:
        if status != 204:
            return self.fail()
        if self.failing:
            self.dispatcher.log.info("notices taken again", waiting=len(self.owed))
        self.failing = False
        self.settle()
        done, self.sent = self.sent, []
        for name in done:
            del self.owed[name]
            self.dispatcher.noticed(name)
        return self.post()

    def unanswered(self, end: End) -> None:
        self.fail(again=end is not End.GARBLED)

    def settle(self) -> None:
        self.busy = False
        if self.timer and self.timer.active():
            self.timer.cancel()

    def fail(self, again: bool = False) -> None:
        """Send it again: at once where only a kept connection had broken, else after a pause."""
        if self.busy:
            self.settle()
            if not self.failing:
                self.dispatcher.log.warning("notices not taken", waiting=len(self.owed))
            self.failing = True
            reused = self.line is not None and self.line.used > 1
            if self.line:
                self.line.drop()
                self.line = None
            self.dispatcher.later(0.0 if again and reused else PAUSE, self.post)

    def close(self) -> None:
        self.settle()
        if self.line:
            self.line.drop()
