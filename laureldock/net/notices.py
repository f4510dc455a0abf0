"""Notices to the platform: kept until answered, and sent again until then."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from laureldock.net import MOST_BODY
from laureldock.net.ends import End
from laureldock.net.http import Asker, Headers, HttpLine

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


class Notices(Asker):
    def __init__(self, dispatcher: Dispatcher, dial: str) -> None:
        super().__init__(dispatcher, dial, MOST_BODY)
        self.owed: dict[bytes, bytes] = {}  # by mail, in the order of their ends
        self.sent: list[bytes] = []  # those in the call that is out
        self.failing = False

    def put(self, name: bytes, line: bytes) -> None:
        self.owed[name] = line
        self.post()

    def post(self) -> None:
        if self.busy or not self.owed:
            return
        self.sent = []
        size = 0
        for name, line in self.owed.items():
            size += len(line)
            if size > MOST_BODY:
                break
            self.sent.append(name)
        self.begin(PATIENCE)

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
            return self.fail(f"answer {status}")
        if self.failing:
            self.dispatcher.log.info("notices taken again", waiting=len(self.owed))
        self.failing = False
        self.settle()
        done, self.sent = self.sent, []
        for name in done:
            del self.owed[name]
            self.dispatcher.noticed(name)
        return self.post()

    def move(self, dial: str) -> None:
        super().move(dial)
        self.post()

    def unanswered(self, end: End) -> None:
        self.fail(end.value, again=end is not End.GARBLED)

    def fail(self, why: str, again: bool = False) -> None:
        """Send it again: at once where only a kept connection had broken, else after a pause."""
        if self.settle():
            if not self.failing:
                self.dispatcher.log.warning("notices not taken", waiting=len(self.owed))
            self.failing = True
            reused = self.line is not None and self.line.used > 1
            self.drop()
            self.dispatcher.later(0.0 if again and reused else PAUSE, self.post)
