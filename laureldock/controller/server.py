"""The controller's connections: subscribed dispatchers and operators' commands.

An error or an exceeded limit closes only the connection concerned.
"""

from __future__ import annotations

import socket
from collections import Counter
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress, IPushProducer
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from laureldock.controller.state import MAX_ENTRY_BYTES
from laureldock.replication import messages
from laureldock.replication.messages import (
    MAX_FRAME_BYTES,
    Accepted,
    FaultReport,
    MalformedMessageError,
    Message,
    Propose,
    Rejected,
    Status,
    StatusRequest,
    Subscribe,
)
from laureldock.replication.pacing import TokenBucket
from laureldock.replication.publisher import Publisher
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    EntryKey,
    UnreadableChangeError,
    decode_change,
    encode_entries,
)

T = TypeVar("T")

MAX_UNIDENTIFIED_STREAMS = 64  # connections that have not sent a complete frame yet
MAX_COMMANDS = 16  # operators' commands in progress at once
FRAME_TIMEOUT = 5.0  # seconds; also applies between the parts of a change
PROPOSAL_TIMEOUT = 120.0  # seconds for all parts of a change
MAX_PROPOSAL_BYTES = 64 << 20  # in total, of all changes being proposed
MAX_DISPATCHER_FRAME = 64 << 10
# Limits for data from a dispatcher, which acknowledges each change and sends heartbeats.
RECEIVED_BYTES_PER_SECOND, RECEIVED_BURST = 64 << 10, 256 << 10
SEND_BUFFER_BYTES = 64 << 10  # of the socket of each dispatcher
CLOSE_TIMEOUT = 5.0  # seconds within which the client must read the response
BACKLOG = 1024


class Controller(Protocol):
    """What the connections need of the controller service."""

    reactor: PosixReactorBase
    publisher: Publisher
    counters: Counter[str]
    log: Any

    def propose(self, change: Change, expected_version: int) -> Deferred[Accepted | Rejected]: ...
    def status(self) -> Status: ...
    def schedule_poll(self) -> None: ...


class Proposal:
    """A change that is received in parts."""

    def __init__(self) -> None:
        self.puts: list[CatalogEntry] = []
        self.removals: list[EntryKey] = []
        self.bytes = 0

    def add(self, body: bytes) -> None:
        """Add a part. Raises UnreadableChangeError, also if an entry is too large."""
        part = decode_change(body)
        if len(body) > MAX_ENTRY_BYTES:
            for entry in part.puts:
                if len(encode_entries([entry])) > MAX_ENTRY_BYTES:
                    raise UnreadableChangeError(f"{entry.key} is longer than {MAX_ENTRY_BYTES} bytes")
        self.puts += part.puts
        self.removals += part.removals


class ServerStream(Int32StringReceiver):
    """One connection; its first frame identifies it as a dispatcher or a command."""

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(self, server: Server, number: int) -> None:
        self.server, self.number = server, number
        self.identified = self.subscribed = self.decided = self.closed = False
        self.receive_bucket: TokenBucket | None = None
        self.proposal: Proposal | None = None
        self.proposal_deadline = 0.0
        self.timer: Any = None

    # Connection

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if not self.server.admit(self):
            self.drop("too many streams")
            return
        self.set_timer(FRAME_TIMEOUT)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.closed = True
        self.set_timer(None)
        if self.proposal is not None and not self.decided:
            self.release(None, self.proposal)
        self.server.connection_lost(self)

    def set_timer(self, seconds: float | None) -> None:
        """Drop the connection after this time; None cancels the timer."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if seconds is not None:
            self.timer = self.server.reactor.callLater(seconds, self.drop, "too slow")

    def drop(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self.server.count_dropped(reason)
            self.transport.abortConnection()

    # Frames

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.receive_bucket is not None:
            now = self.server.reactor.seconds()
            self.receive_bucket.take(now, len(data))
            if self.receive_bucket.level(now) < 0:
                self.drop("too much")
        if self.closed:
            return
        try:
            super().dataReceived(data)
        except Exception:  # an internal error closes only this connection
            self.server.controller.counters["faults"] += 1
            self.server.controller.log.exception("fault", call="dataReceived")
            self.drop("fault")

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.drop("frame too long")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if self.closed:  # frames after the one for which it was closed
            return
        try:
            message = messages.decode(string)
        except MalformedMessageError as error:
            self.drop(str(error).partition(":")[0])
            return
        if self.subscribed:
            self.server.forward_to_publisher(self, message)
            return
        match message:
            case Subscribe() if not self.identified:
                self.begin_subscription(message)
            case StatusRequest() if not self.identified and self.server.admit_command(self):
                self.reply(self.server.controller.status())
            case Propose() if not self.decided and (self.identified or self.server.admit_command(self)):
                self.add_proposal_part(message)
            case _:
                self.drop("unexpected message")

    def begin_subscription(self, message: Subscribe) -> None:
        self.identified = self.subscribed = True
        self.MAX_LENGTH = MAX_DISPATCHER_FRAME
        now = self.server.reactor.seconds()
        self.receive_bucket = TokenBucket(now, RECEIVED_BYTES_PER_SECOND, RECEIVED_BURST)
        self.set_timer(None)  # from now on the publisher detects silence
        self.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.transport.registerProducer(WriteMonitor(self), True)
        self.server.forward_to_publisher(self, message)

    # An operator's change

    def add_proposal_part(self, message: Propose) -> None:
        now = self.server.reactor.seconds()
        if self.proposal is None:
            self.proposal, self.proposal_deadline = Proposal(), now + PROPOSAL_TIMEOUT
        if not self.server.reserve_bytes(self.proposal, len(message.body)):
            self.refuse(f"longer than {MAX_PROPOSAL_BYTES} bytes, with what else is being proposed")
            return
        try:
            self.proposal.add(message.body)
        except UnreadableChangeError as error:
            self.refuse(f"unreadable change: {error}"[:500])
            return
        if not message.last:
            self.set_timer(min(FRAME_TIMEOUT, self.proposal_deadline - now))
            return
        self.set_timer(None)
        change = Change(tuple(self.proposal.puts), tuple(self.proposal.removals))
        self.proposal.puts, self.proposal.removals = [], []
        self.decided = True
        decided = self.server.controller.propose(change, message.expected_version)
        decided.addBoth(self.release, self.proposal)
        decided.addCallbacks(self.reply, self.internal_error)

    def release(self, result: T, proposal: Proposal) -> T:
        """Release the proposal's reserved bytes.

        They stay reserved until the change is decided, even if the client has disconnected.
        """
        self.server.proposed_bytes -= proposal.bytes
        proposal.bytes = 0
        return result

    def refuse(self, reason: str) -> None:
        self.reply(Rejected((FaultReport((), reason),), 1))

    def internal_error(self, failure: Failure) -> None:
        self.server.controller.counters["faults"] += 1
        self.server.controller.log.error("fault", call="propose", exc_info=failure.value)
        self.refuse("a fault in the controller; its log has it")

    def reply(self, message: Accepted | Rejected | Status) -> None:
        if self.closed:
            return
        self.sendString(encode_reply(message))
        # Only the sending side is closed, and further data is read and discarded: an immediate close could
        # reset the connection before the client has read the response.
        self.closed = True
        self.set_timer(None)
        self.timer = self.server.reactor.callLater(CLOSE_TIMEOUT, self.transport.abortConnection)
        self.transport.loseWriteConnection()


@implementer(IPushProducer)
class WriteMonitor:
    """Informs the publisher when a dispatcher reads more slowly than data is sent to it."""

    def __init__(self, stream: ServerStream) -> None:
        self.stream, self.server = stream, stream.server

    def pauseProducing(self) -> None:  # noqa: N802
        self.server.controller.publisher.stream_paused(self.stream.number)

    def resumeProducing(self) -> None:  # noqa: N802
        self.server.controller.publisher.stream_resumed(self.server.reactor.seconds(), self.stream.number)
        self.server.controller.schedule_poll()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; `connectionLost` handles it."""


def encode_reply(message: Accepted | Rejected | Status) -> bytes:
    """Encode a response; a refusal is limited to as many faults as fit into a frame."""
    payload = messages.encode(message)
    while isinstance(message, Rejected) and len(payload) > MAX_FRAME_BYTES:
        message = Rejected(message.faults[: len(message.faults) // 2], message.count)
        payload = messages.encode(message)
    return payload


class Server(Factory):
    """All connections of a controller, by number."""

    noisy = False

    def __init__(self, controller: Controller) -> None:
        self.controller, self.reactor = controller, controller.reactor
        self.last_number = 0
        self.unidentified: dict[int, ServerStream] = {}
        self.commands: dict[int, ServerStream] = {}
        self.dispatchers: dict[int, ServerStream] = {}
        self.port: Any = None
        self.proposed_bytes = 0  # reserved for changes that are not decided yet

    @property
    def streams(self) -> int:
        return len(self.unidentified) + len(self.commands) + len(self.dispatchers)

    def listen(self, address: str) -> None:
        """Listen on host:port. Raises CannotListenError."""
        host, _, port = address.rpartition(":")
        self.port = self.reactor.listenTCP(int(port), self, backlog=BACKLOG, interface=host)

    def close(self) -> None:
        if self.port is not None:
            self.port.stopListening()
        for group in (self.unidentified, self.commands, self.dispatchers):
            for stream in list(group.values()):
                stream.transport.abortConnection()

    def buildProtocol(self, addr: IAddress | None) -> ServerStream:  # noqa: N802
        self.last_number += 1
        return ServerStream(self, self.last_number)

    def admit(self, stream: ServerStream) -> bool:
        """Register a new connection, unless too many are not identified yet."""
        if len(self.unidentified) >= MAX_UNIDENTIFIED_STREAMS:
            return False
        self.unidentified[stream.number] = stream
        return True

    def admit_command(self, stream: ServerStream) -> bool:
        if len(self.commands) >= MAX_COMMANDS:
            return False
        stream.identified = True
        self.unidentified.pop(stream.number, None)
        self.commands[stream.number] = stream
        return True

    def connection_lost(self, stream: ServerStream) -> None:
        self.unidentified.pop(stream.number, None)
        self.commands.pop(stream.number, None)
        if self.dispatchers.pop(stream.number, None) is not None:
            self.controller.publisher.stream_lost(stream.number)
            self.controller.schedule_poll()

    def count_dropped(self, reason: str) -> None:
        self.controller.counters["streams dropped"] += 1
        self.controller.log.warning(
            "stream dropped", why=reason, so_far=self.controller.counters["streams dropped"]
        )

    def reserve_bytes(self, proposal: Proposal, size: int) -> bool:
        if self.proposed_bytes + size > MAX_PROPOSAL_BYTES:
            return False
        proposal.bytes += size
        self.proposed_bytes += size
        return True

    # Dispatchers

    def forward_to_publisher(self, stream: ServerStream, message: Message) -> None:
        """Pass a dispatcher's message to the publisher."""
        self.unidentified.pop(stream.number, None)
        self.dispatchers[stream.number] = stream
        self.controller.publisher.message_received(self.reactor.seconds(), stream.number, message)
        self.controller.schedule_poll()

    def send(self, number: int, payload: bytes) -> None:
        stream = self.dispatchers.get(number)
        if stream is not None and not stream.closed:
            stream.sendString(payload)

    def abort(self, number: int) -> None:
        """Close a connection that the publisher has dropped."""
        stream = self.dispatchers.get(number)
        if stream is not None:
            stream.closed = True
            stream.transport.abortConnection()
