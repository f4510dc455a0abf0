"""A client's connection to the RESP2 front: one command at a time, and an orderly close."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.messages import HeldMessage, Reply
from laureldock.core.protocols import InvalidMessageError
from laureldock.fronts.resp_commands import COMMANDS, encode_reply, printable
from laureldock.sockets.flush import Flush, half_close, unread
from laureldock.wire import resp
from laureldock.wire.resp import Commands, MalformedError

if TYPE_CHECKING:
    from laureldock.fronts.resp_server import Clients

# Seconds. By the platform's protocol: who sends nothing whole is told so within 3 s of connecting, 6 s if
# there is much to read.
READ_TIMEOUT, DRAIN_TIMEOUT, CHECK_INTERVAL = 2.0, 5.0, 0.25
# After the half-close of a connection at rest a client that hears it closes within a few round trips.
LINGER = 0.5
# Who has sent nothing for so long gives way when room is short: clients open a connection to send.
IDLE_GRACE = 2 * CHECK_INTERVAL
# Errors that a connection may have at once, and how many are forgiven a second: a program that asks a few
# commands which this is not a database for goes on; one that repeats what was turned away is closed.
MAX_ERRORS, ERRORS_FORGIVEN = 16, 2.0


class CloseReason(StrEnum):
    """Why a client's connection is closed from here."""

    LEAVING = "between requests"
    REFUSED = "after an error or a quit"
    LINGERED = "not closed by its client"
    NOT_READ = "its answer was not read"
    ROOM = "for others"


class Client(LineReceiver):
    """One connection. A command that comes while another is answered waits unread."""

    transport: Connection  # type: ignore[assignment]
    MAX_LENGTH = 1024  # far over a length or count, and enough for a command typed by hand

    def __init__(self, clients: Clients, number: int, backlog_wait: float = 0.0) -> None:
        """`backlog_wait`: seconds for which at most it has waited to be accepted."""
        self.clients, self.number = clients, number
        self.backlog_wait = backlog_wait  # until it has been answered
        self.commands = Commands(MAX_BODY_BYTES)
        self.pending: HeldMessage | None = None  # taken on, and its client has not been told
        self.answering = self.reading = False
        self.closing = self.leaving = False  # nothing more is read; nothing after this request
        self.released = False  # closing with nothing owed: its client was answered, or has asked nothing
        self.asked = False  # something whole
        self.since = clients.core.now()  # what is to come next is awaited
        self.errors, self.erred = 0.0, self.since
        self.title = b""

    @property
    def resting(self) -> bool:
        """Between requests, as far as has been read."""
        return not (self.answering or self.pending or self.closing or self.half)

    @property
    def half(self) -> bool:
        return bool(self.commands.half or self._buffer)

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.clients.joined(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.clients.left(self)
        if self.pending:
            self.clients.core.client_withdrew(self.pending)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # read on all the same: a close with bytes unread would take the error line with it
        if self.resting and self.asked:
            self.since = self.clients.core.now()
        if not self.reading:
            data = self.read_whole(data)
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MAX_BODY_BYTES:
            self.transport.pauseProducing()

    def read_whole(self, data: bytes) -> bytes:
        """Takes commands that have come whole, as nearly all do; what is left is read line by line."""
        if not self.line_mode or self.paused:
            return data
        self.reading = True
        self._buffer += data
        while not (self.paused or self.closing) and (found := self.commands.whole(self._buffer)):
            words, used = found
            self._buffer = self._buffer[used:]
            self.command(words)
        self.reading = False
        data, self._buffer = self._buffer, b""
        return data

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            words = self.commands.line(line)
        except MalformedError as fault:
            self.refuse(str(fault))
            return
        if self.commands.wants_bulk:
            self.setRawMode()
        elif words:
            self.command(words)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            words, rest = self.commands.raw(data)
        except MalformedError as fault:
            self.refuse(str(fault))
            return
        if not self.commands.wants_bulk:
            self._buffer = rest
            self.setLineMode()
            if words:
                self.command(words)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.refuse("a line too long")

    def command(self, words: list[bytes]) -> None:
        if self._buffer.count(b"\r\n*") >= self.clients.pipeline:
            self.refuse("too many commands at once")
            return
        self.asked = True
        name = words[0].upper()
        if name not in COMMANDS:
            self.error(f"unknown command '{printable(words[0])}'")
            return
        least, most, call = COMMANDS[name]
        if not least <= len(words) - 1 <= most:
            self.error(f"wrong number of arguments for '{printable(words[0].lower())}'")
            return
        try:
            call(self, *words[1:])
        except InvalidMessageError as fault:
            self.error(str(fault))

    def error(self, why: str) -> None:
        """What was whole and cannot be done: an error, on a connection that stays unless there are many."""
        now = self.clients.core.now()
        self.errors = max(0.0, self.errors - ERRORS_FORGIVEN * (now - self.erred)) + 1
        self.erred = now
        if self.errors > MAX_ERRORS:
            self.refuse("too many errors")
            return
        self.clients.core.report_malformed_request(why)
        self.answer(resp.error(f"ERR {why}"))

    # Answers

    def reply(self, reply: Reply) -> None:
        if self in self.clients.clients:  # it may have gone meanwhile
            self.answer(encode_reply(reply))

    def answer(self, data: bytes) -> None:
        """What else has come waits until the answer has left; a close by the client is still seen."""
        self.answering = self.paused = True
        Flush(self.transport, data, self.answered)

    def answered(self) -> None:
        self.answering = False
        self.pending = None
        self.backlog_wait = 0.0
        self.since = self.clients.core.now()
        self.leaving = self.leaving or self.clients.lameduck
        if self.closing:
            self.half_close(CloseReason.REFUSED)
        elif self.leaving and not self._buffer and unread(self.transport) is None:
            self.released = True
            self.half_close(CloseReason.LEAVING)
        else:  # what has come, read or not, is answered before
            self.resumeProducing()

    def half_close(self, reason: CloseReason) -> None:
        """End writing and read on for a while: a close over unread bytes would reset the connection and take
        the last answer with it. What comes from here on is read, and never sent on."""
        self.note_close(reason)
        self.closing = True
        half_close(self.transport)
        self.transport.resumeProducing()  # much that came behind an error may have stopped it

    def close(self, reason: CloseReason) -> None:
        """Close it at once; what is still to be written leaves before, but where nobody reads it."""
        self.note_close(reason)
        if reason is CloseReason.NOT_READ:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def note_close(self, reason: CloseReason) -> None:
        core = self.clients.core
        core.counters[f"closed: {reason}"] += 1
        unanswered = self.pending is not None or self.answering
        core.invariants.connection_closing(unanswered and reason is not CloseReason.NOT_READ)

    def refuse(self, why: str) -> None:
        """One error, and the close."""
        if not self.closing:
            self.closing = True
            self._buffer = b""
            self.commands.clear()
            self.clients.core.report_malformed_request(why)
            self.answer(resp.error(f"ERR {why}"))

    def look(self, now: float) -> None:
        """What has not come in time is not waited for."""
        waited = now - self.since
        if self.closing:
            if self.released and waited >= LINGER:
                self.close(CloseReason.LINGERED)
            elif waited >= (READ_TIMEOUT if self.answering else DRAIN_TIMEOUT):
                self.close(CloseReason.NOT_READ)
        elif (
            waited >= READ_TIMEOUT
            and not self.answering
            and not self.pending
            and (self.half or not self.asked)
        ):
            self.refuse("no whole command in time")
        elif self.leaving and self.resting:
            self.finish()

    def finish(self) -> None:
        """Close between requests; one that has begun to come, read or not, is answered before."""
        self.leaving = True
        now = self.clients.core.now()
        fresh = not self.asked and now - self.since < IDLE_GRACE  # clients open a connection to send
        if self.resting and not fresh and unread(self.transport) is None:
            self.released, self.since = True, now
            self.half_close(CloseReason.LEAVING)
