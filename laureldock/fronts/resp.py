"""A client's connection to the RESP2 front: one command at a time, and a close that loses no reply."""

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
from laureldock.sockets.flush import FlushProducer, half_close, peek_unread
from laureldock.wire import resp
from laureldock.wire.resp import CommandParser, MalformedCommandError, PipelineCounter

if TYPE_CHECKING:
    from laureldock.fronts.resp_server import RespServer

# Seconds. The platform's protocol: a client that sends no complete command gets an error within 3 s of
# connecting, 6 s if there is much to read.
READ_TIMEOUT, DRAIN_TIMEOUT, CHECK_INTERVAL = 2.0, 5.0, 0.25
# Seconds after the half-close of an idle connection: a client that sees it closes within a few round trips.
LINGER_TIME = 0.5
# Seconds for which a new connection without a command is not closed to make room: clients connect in order
# to send.
NEW_CONNECTION_GRACE = 2 * CHECK_INTERVAL
# Error replies that a connection may have at once, and how many of them are forgotten in a second. A program
# that tries a few commands which only a database knows can go on; one that keeps repeating rejected commands
# is closed.
MAX_ERRORS, ERRORS_FORGOTTEN_PER_SECOND = 16, 2.0


class CloseReason(StrEnum):
    """Why this side closes a client's connection."""

    BETWEEN_REQUESTS = "between requests"
    ERROR_OR_QUIT = "after an error or a quit"
    LINGER_TIMEOUT = "not closed by its client"
    REPLY_NOT_READ = "its answer was not read"
    MAKE_ROOM = "for others"


class ClientConnection(LineReceiver):
    """One connection. While a command waits for its reply, the next ones wait unread."""

    transport: Connection  # type: ignore[assignment]
    MAX_LENGTH = 1024  # bytes; far more than a length or a count, and enough for a command typed by hand

    def __init__(self, server: RespServer, client_id: int, backlog_wait: float = 0.0) -> None:
        """`backlog_wait`: the longest time, in seconds, for which it can have waited to be accepted."""
        self.server, self.client_id = server, client_id
        self.backlog_wait = backlog_wait  # zero from the first reply on
        self.parser = CommandParser(MAX_BODY_BYTES)
        self.pipeline = PipelineCounter(MAX_BODY_BYTES)
        self.unreplied: HeldMessage | None = None  # accepted, and its reply is not written yet
        self.replying = self.parsing = False
        self.closing = self.close_after_reply = False  # closing: no further command is carried out
        # Half-closed with no reply outstanding: the client has its reply, or has sent no command.
        self.lingering = False
        self.has_sent_command = False  # a complete one
        self.waiting_since = server.core.now()  # for what has to happen next
        self.recent_errors, self.last_error_at = 0.0, self.waiting_since
        self.client_name = b""

    @property
    def is_idle(self) -> bool:
        """Between requests, as far as its bytes have been read."""
        return not (self.replying or self.unreplied or self.closing or self.has_partial_command)

    @property
    def has_partial_command(self) -> bool:
        return bool(self.parser.has_partial_command or self._buffer)

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.server.connection_closed(self)
        if self.unreplied:
            self.server.core.client_withdrew(self.unreplied)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # reading goes on: a close with unread bytes resets the connection, and loses the error
        self.pipeline.data_received(data)
        if self.is_idle and self.has_sent_command:
            self.waiting_since = self.server.core.now()
        if not self.parsing:
            data = self.handle_complete_commands(data)
        super().dataReceived(data)
        if self.paused and len(self._buffer) > MAX_BODY_BYTES:
            self.transport.pauseProducing()

    def handle_complete_commands(self, data: bytes) -> bytes:
        """Carry out commands that have arrived whole, as nearly all do; return the rest, to read by lines."""
        if not self.line_mode or self.paused:
            return data
        self.parsing = True
        self._buffer += data
        while not (self.paused or self.closing) and (found := self.parser.parse_complete(self._buffer)):
            words, length = found
            self._buffer = self._buffer[length:]
            self.handle_command(words)
        self.parsing = False
        data, self._buffer = self._buffer, b""
        return data

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        try:
            words = self.parser.feed_line(line)
        except MalformedCommandError as fault:
            self.close_with_error(str(fault))
            return
        if self.parser.wants_bulk:
            self.setRawMode()
        elif words:
            self.handle_command(words)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            words, rest = self.parser.feed_bulk(data)
        except MalformedCommandError as fault:
            self.close_with_error(str(fault))
            return
        if not self.parser.wants_bulk:
            self._buffer = rest
            self.setLineMode()
            if words:
                self.handle_command(words)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.close_with_error("a line too long")

    def handle_command(self, words: list[bytes]) -> None:
        if self.pipeline.count_behind(self._buffer) > self.server.max_pipelined:
            self.close_with_error("too many commands at once")
            return
        self.has_sent_command = True
        name = words[0].upper()
        if name not in COMMANDS:
            self.reply_error(f"unknown command '{printable(words[0])}'")
            return
        min_arguments, max_arguments, handler = COMMANDS[name]
        if not min_arguments <= len(words) - 1 <= max_arguments:
            self.reply_error(f"wrong number of arguments for '{printable(words[0].lower())}'")
            return
        try:
            handler(self, *words[1:])
        except InvalidMessageError as fault:
            self.reply_error(str(fault))

    def reply_error(self, why: str) -> None:
        """Reply an error to a complete command. The connection stays open unless it had too many errors."""
        now = self.server.core.now()
        self.recent_errors = (
            max(0.0, self.recent_errors - ERRORS_FORGOTTEN_PER_SECOND * (now - self.last_error_at)) + 1
        )
        self.last_error_at = now
        if self.recent_errors > MAX_ERRORS:
            self.close_with_error("too many errors")
            return
        self.server.core.report_malformed_request(why)
        self.write_reply(resp.error(f"ERR {why}"))

    # Replies

    def reply(self, reply: Reply) -> None:
        if self in self.server.connections:  # it may have closed meanwhile
            self.write_reply(encode_reply(reply))

    def write_reply(self, data: bytes) -> None:
        """Further commands wait until the reply is written; a close by the client is still noticed."""
        self.replying = self.paused = True
        FlushProducer(self.transport, data, self.on_reply_written)

    def on_reply_written(self) -> None:
        self.replying = False
        self.unreplied = None
        self.backlog_wait = 0.0
        self.waiting_since = self.server.core.now()
        self.close_after_reply = self.close_after_reply or self.server.lameduck
        if self.closing:
            self.half_close(CloseReason.ERROR_OR_QUIT)
        elif self.close_after_reply and not self._buffer and peek_unread(self.transport) is None:
            self.lingering = True
            self.half_close(CloseReason.BETWEEN_REQUESTS)
        else:  # a command that has arrived, read or not, gets its reply before the close
            self.resumeProducing()

    def half_close(self, reason: CloseReason) -> None:
        """Half-close, and read on for a while: a lingering close.

        A full close over unread bytes would reset the connection, and lose the last reply with it. Bytes that
        come after the half-close are read and discarded.
        """
        self.record_close(reason)
        self.closing = True
        half_close(self.transport)
        self.transport.resumeProducing()  # it is paused if many bytes followed the command in error

    def close(self, reason: CloseReason) -> None:
        """Close it at once. The write buffer is sent first, unless the client does not read its replies."""
        self.record_close(reason)
        if reason is CloseReason.REPLY_NOT_READ:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def record_close(self, reason: CloseReason) -> None:
        core = self.server.core
        core.counters[f"closed: {reason}"] += 1
        without_reply = self.unreplied is not None or self.replying
        core.invariants.connection_closing(without_reply and reason is not CloseReason.REPLY_NOT_READ)

    def close_with_error(self, why: str) -> None:
        """Reply an error, and close."""
        if not self.closing:
            self.closing = True
            self._buffer = b""
            self.parser.reset()
            self.server.core.report_malformed_request(why)
            self.write_reply(resp.error(f"ERR {why}"))

    def check_timeouts(self, now: float) -> None:
        """Close a connection that exceeds a time limit; end one that is to close and has become idle."""
        waited = now - self.waiting_since
        if self.closing:
            if self.lingering and waited >= LINGER_TIME:
                self.close(CloseReason.LINGER_TIMEOUT)
            elif waited >= (READ_TIMEOUT if self.replying else DRAIN_TIMEOUT):
                self.close(CloseReason.REPLY_NOT_READ)
        elif (
            waited >= READ_TIMEOUT
            and not self.replying
            and not self.unreplied
            and (self.has_partial_command or not self.has_sent_command)
        ):
            self.close_with_error("no whole command in time")
        elif self.close_after_reply and self.is_idle:
            self.close_when_idle()

    def close_when_idle(self) -> None:
        """Close between requests: a command that has arrived in part, read or not, gets its reply first."""
        self.close_after_reply = True
        now = self.server.core.now()
        is_new = not self.has_sent_command and now - self.waiting_since < NEW_CONNECTION_GRACE
        if self.is_idle and not is_new and peek_unread(self.transport) is None:
            self.lingering, self.waiting_since = True, now
            self.half_close(CloseReason.BETWEEN_REQUESTS)
