"""A client's connection to the RESP2 front: one command at a time, and a close that loses no reply."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.messages import HeldMessage, Reply, ReplyKind
from laureldock.core.protocols import InvalidMessageError
from laureldock.delivery_memory import MemoryKind, MemoryRefusal, buffer_bytes
from laureldock.fronts.resp_commands import COMMANDS, encode_reply, printable
from laureldock.sockets.flush import FlushProducer, half_close, peek_unread
from laureldock.wire import resp
from laureldock.wire.resp import CommandReader, MalformedCommandError, PipelineCounter

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
# Commands, empty lines and empty arrays that a connection may have carried out while others wait.
MAX_COMMANDS_PER_TURN = 32
READ_BYTES = 32 << 10  # of one read


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

    def __init__(self, server: RespServer, client_id: int, backlog_wait: float = 0.0) -> None:
        """`backlog_wait`: the longest time, in seconds, for which it can have waited to be accepted."""
        self.server, self.client_id = server, client_id
        self.backlog_wait = backlog_wait  # zero from the first reply on
        self.reader = CommandReader(MAX_BODY_BYTES)
        self.pipeline = PipelineCounter(MAX_BODY_BYTES)
        self.unreplied: HeldMessage | None = None  # accepted, and its reply is not written yet
        self.replying = self.handling = self.yielding = False
        self.reply_bytes = 0  # of the reply that is being written
        self.requests_held = 0  # bytes of memory charged for what was received
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
        return not self.reader.is_empty

    @property
    def closable_bytes(self) -> int:
        """Memory that is freed if this connection gives way; 0 if it may not: its reply is on the way."""
        if self.closing or self.unreplied or (self.replying and not self.leaves_reply_unread):
            return 0
        return self.requests_held + self.reply_bytes

    @property
    def leaves_reply_unread(self) -> bool:
        return self.reply_bytes > 0 and self.server.core.now() > self.waiting_since + CHECK_INTERVAL

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.reader.clear()
        self.set_reply_bytes(0)
        self.update_held_memory()
        self.server.connection_closed(self)
        if self.unreplied:
            self.server.core.client_withdrew(self.unreplied)

    @property
    def _buffer(self) -> bytes:  # type: ignore[override]
        """Bytes received that are not carried out yet; `LineReceiver` keeps them here too."""
        return self.reader.data[self.reader.start :]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.closing:
            return  # reading goes on: a close with unread bytes resets the connection, and loses the error
        self.pipeline.data_received(data)
        if self.is_idle and self.has_sent_command:
            self.waiting_since = self.server.core.now()
        if data:
            self.reader.feed(data)
        self.handle_commands()

    def handle_commands(self) -> None:
        """Carry out commands that have arrived, at most `MAX_COMMANDS_PER_TURN` before others have a turn."""
        if self.handling or self.yielding:
            return
        self.handling = True
        try:
            for _ in range(MAX_COMMANDS_PER_TURN):
                if self.paused or self.closing:
                    break
                if words := self.reader.next_command():
                    self.handle_command(words)
                elif words is None:
                    if self.reader.has_more_to_read:
                        self.yield_turn()
                    break
            else:
                self.yield_turn()
        except MalformedCommandError as fault:
            self.close_with_error(str(fault))
        finally:
            self.handling = False
        self.reader.compact()
        self.update_held_memory()
        if self.paused and len(self.reader.data) > MAX_BODY_BYTES:
            self.transport.pauseProducing()

    def yield_turn(self) -> None:
        """Go on in the next iteration of the reactor, and read nothing before."""
        self.yielding = True
        self.transport.pauseProducing()
        self.server.core.call_later(0, self.resume_turn)

    def resume_turn(self) -> None:
        """The other connections have had their turns."""
        self.yielding = False
        if self in self.server.connections:
            if not self.paused:
                self.transport.resumeProducing()
            self.handle_commands()

    def handle_command(self, words: list[bytes]) -> None:
        limit = self.server.max_pipelined
        if self.pipeline.count_behind(self.reader.data, self.reader.start, limit) > limit:
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
        self.report_malformed(why)
        self.write_reply(resp.error(f"ERR {why}"))

    def report_malformed(self, why: str) -> None:
        self.server.core.report_malformed_request(why, self.client_id, self.requests_held)

    # Replies

    def reply(self, reply: Reply) -> None:
        if self in self.server.connections:  # it may have closed meanwhile
            self.write_reply(encode_reply(reply))

    def write_reply(self, data: bytes) -> None:
        """Further commands wait until the reply is written; a close by the client is still noticed."""
        self.replying = self.paused = True
        if not self.closing:
            self.waiting_since = self.server.core.now()
        self.set_reply_bytes(len(data))
        FlushProducer(self.transport, data, self.on_reply_written)

    def on_reply_written(self) -> None:
        self.set_reply_bytes(0)
        self.replying = False
        self.unreplied = None
        self.backlog_wait = 0.0
        self.waiting_since = self.server.core.now()
        self.close_after_reply = self.close_after_reply or self.server.lameduck
        if self.closing:
            self.half_close(CloseReason.ERROR_OR_QUIT)
        elif self.close_after_reply and self.reader.is_empty and peek_unread(self.transport) is None:
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
            self.report_malformed(why)
            self.close_with(resp.error(f"ERR {why}"))

    def close_with(self, reply: bytes) -> None:
        """Write a last reply, drop what was received and not carried out, and close."""
        self.closing = True
        self.reader.clear()
        self.update_held_memory()
        self.write_reply(reply)

    # Memory

    def update_held_memory(self) -> None:
        """Charge what was received and not carried out, and free memory if it is short."""
        held = buffer_bytes(self.reader.data)
        more, self.requests_held = held - self.requests_held, held
        self.server.change_memory(MemoryKind.REQUESTS, more)

    def set_reply_bytes(self, size: int) -> None:
        """Charge the reply that is being written."""
        more, self.reply_bytes = size - self.reply_bytes, size
        self.server.change_memory(MemoryKind.REPLIES, more)

    def give_way(self) -> MemoryRefusal:
        """Free the memory that is held for this client; return what it was refused.

        A request that has not arrived whole is harmless to repeat. A reply that its client does not read is
        abandoned with the connection.
        """
        if self.replying:
            self.closing = True
            self.reader.clear()
            self.update_held_memory()
            self.set_reply_bytes(0)
            self.close(CloseReason.REPLY_NOT_READ)
            return MemoryRefusal.REPLY_ABANDONED
        self.close_with(encode_reply(Reply(ReplyKind.BUSY)))
        return MemoryRefusal.REQUEST_CLOSED

    def check_timeouts(self, now: float) -> None:
        """Close a connection that exceeds a time limit; end one that is to close and has become idle."""
        waited = now - self.waiting_since
        if self.closing:
            if self.lingering and waited >= LINGER_TIME:
                self.close(CloseReason.LINGER_TIMEOUT)
            elif waited >= (READ_TIMEOUT if self.replying else DRAIN_TIMEOUT):
                self.close(CloseReason.REPLY_NOT_READ)
        elif self.replying:
            if waited >= DRAIN_TIMEOUT:
                self.close(CloseReason.REPLY_NOT_READ)
        elif (
            waited >= READ_TIMEOUT
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
