"""The controller's streams: dispatchers that follow, and operators' commands. Each costs its sender alone."""

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

MAX_UNNAMED_STREAMS = 64  # that have sent no whole frame yet
MAX_COMMANDS = 16  # operators' commands at once
FIRST_FRAME_LIMIT = 5.0  # seconds; also between the parts of a change
PROPOSAL_LIMIT = 120.0  # seconds for all parts of a change
MAX_PROPOSAL_BYTES = 64 << 20  # of all changes that are being proposed
MAX_DISPATCHER_FRAME = 64 << 10
# What a dispatcher may send: it tells of each change, and beats.
RECEIVED_BYTES_PER_SECOND, RECEIVED_BURST = 64 << 10, 256 << 10
SEND_BUFFER_BYTES = 64 << 10  # of the system, for each dispatcher
CLOSING_LIMIT = 5.0  # seconds in which an answer must be taken
BACKLOG = 1024


class Controller(Protocol):
    """What the streams need of it."""

    reactor: PosixReactorBase
    publisher: Publisher
    counters: Counter[str]
    log: Any

    def propose(self, change: Change, expected_version: int) -> Deferred[Accepted | Rejected]: ...
    def status(self) -> Status: ...
    def turn_soon(self) -> None: ...


class Proposal:
    """A change that comes in parts."""

    def __init__(self) -> None:
        self.puts: list[CatalogEntry] = []
        self.removals: list[EntryKey] = []
        self.bytes = 0

    def add(self, body: bytes) -> None:
        """UnreadableChangeError; an entry that is too large is one too."""
        part = decode_change(body)
        if len(body) > MAX_ENTRY_BYTES:
            for entry in part.puts:
                if len(encode_entries([entry])) > MAX_ENTRY_BYTES:
                    raise UnreadableChangeError(f"{entry.key} is longer than {MAX_ENTRY_BYTES} bytes")
        self.puts += part.puts
        self.removals += part.removals


class ServerStream(Int32StringReceiver):
    """One connection: it says by its first frame what it is."""

    MAX_LENGTH = MAX_FRAME_BYTES
    transport: Any

    def __init__(self, server: Server, number: int) -> None:
        self.server, self.number = server, number
        self.named = self.subscribed = self.decided = self.closed = False
        self.received: TokenBucket | None = None
        self.proposal: Proposal | None = None
        self.proposed_until = 0.0
        self.timer: Any = None

    # Connection

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        if not self.server.admit(self):
            self.drop("too many streams")
            return
        self.set_timer(FIRST_FRAME_LIMIT)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.closed = True
        self.set_timer(None)
        if self.proposal is not None and not self.decided:
            self.release(None, self.proposal)
        self.server.forget(self)

    def set_timer(self, seconds: float | None) -> None:
        """The stream is dropped after so long; None: no more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if seconds is not None:
            self.timer = self.server.reactor.callLater(seconds, self.drop, "too slow")

    def drop(self, reason: str) -> None:
        if not self.closed:
            self.closed = True
            self.server.dropped(reason)
            self.transport.abortConnection()

    # Frames

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.received is not None:
            now = self.server.reactor.seconds()
            self.received.take(now, len(data))
            if self.received.level(now) < 0:
                self.drop("too much")
        if self.closed:
            return
        try:
            super().dataReceived(data)
        except Exception:  # a defect costs the stream that met it
            self.server.controller.counters["faults"] += 1
            self.server.controller.log.exception("fault", call="dataReceived")
            self.drop("fault")

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.drop("frame too long")

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        if self.closed:  # frames behind one that cost the stream
            return
        try:
            message = messages.decode(string)
        except MalformedMessageError as fault:
            self.drop(str(fault).partition(":")[0])
            return
        if self.subscribed:
            self.server.tell(self, message)
            return
        match message:
            case Subscribe() if not self.named:
                self.begin_subscription(message)
            case StatusRequest() if not self.named and self.server.admit_command(self):
                self.answer(self.server.controller.status())
            case Propose() if not self.decided and (self.named or self.server.admit_command(self)):
                self.take_part(message)
            case _:
                self.drop("unexpected message")

    def begin_subscription(self, message: Subscribe) -> None:
        self.named = self.subscribed = True
        self.MAX_LENGTH = MAX_DISPATCHER_FRAME
        now = self.server.reactor.seconds()
        self.received = TokenBucket(now, RECEIVED_BYTES_PER_SECOND, RECEIVED_BURST)
        self.set_timer(None)  # the publisher watches it
        self.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.transport.registerProducer(WriteMonitor(self), True)
        self.server.tell(self, message)

    # An operator's change

    def take_part(self, message: Propose) -> None:
        now = self.server.reactor.seconds()
        if self.proposal is None:
            self.proposal, self.proposed_until = Proposal(), now + PROPOSAL_LIMIT
        if not self.server.room_for(self.proposal, len(message.body)):
            self.refuse(f"longer than {MAX_PROPOSAL_BYTES} bytes, with what else is being proposed")
            return
        try:
            self.proposal.add(message.body)
        except UnreadableChangeError as fault:
            self.refuse(f"unreadable change: {fault}"[:500])
            return
        if not message.last:
            self.set_timer(min(FIRST_FRAME_LIMIT, self.proposed_until - now))
            return
        self.set_timer(None)
        change = Change(tuple(self.proposal.puts), tuple(self.proposal.removals))
        self.proposal.puts, self.proposal.removals = [], []
        self.decided = True
        decided = self.server.controller.propose(change, message.expected_version)
        decided.addBoth(self.release, self.proposal)
        decided.addCallbacks(self.answer, self.defect)

    def release(self, result: T, proposal: Proposal) -> T:
        """Its bytes are held until it is decided, also where the command has gone meanwhile."""
        self.server.proposed_bytes -= proposal.bytes
        proposal.bytes = 0
        return result

    def refuse(self, reason: str) -> None:
        self.answer(Rejected((FaultReport((), reason),), 1))

    def defect(self, failure: Failure) -> None:
        self.server.controller.counters["faults"] += 1
        self.server.controller.log.error("fault", call="propose", exc_info=failure.value)
        self.refuse("a fault in the controller; its log has it")

    def answer(self, message: Accepted | Rejected | Status) -> None:
        if self.closed:
            return
        self.sendString(bounded(message))
        # What the command still sends is read and dropped: closed at once, it might never see the answer.
        self.closed = True
        self.set_timer(None)
        self.timer = self.server.reactor.callLater(CLOSING_LIMIT, self.transport.abortConnection)
        self.transport.loseWriteConnection()


@implementer(IPushProducer)
class WriteMonitor:
    """Tells the publisher where a dispatcher reads more slowly than it is sent to."""

    def __init__(self, stream: ServerStream) -> None:
        self.stream, self.server = stream, stream.server

    def pauseProducing(self) -> None:  # noqa: N802
        self.server.controller.publisher.stream_paused(self.stream.number)

    def resumeProducing(self) -> None:  # noqa: N802
        self.server.controller.publisher.stream_resumed(self.server.reactor.seconds(), self.stream.number)
        self.server.controller.turn_soon()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is lost; `connectionLost` tells it."""


def bounded(message: Accepted | Rejected | Status) -> bytes:
    """The payload; of a refusal with very long faults only as many of these as a frame takes."""
    payload = messages.encode(message)
    while isinstance(message, Rejected) and len(payload) > MAX_FRAME_BYTES:
        message = Rejected(message.faults[: len(message.faults) // 2], message.count)
        payload = messages.encode(message)
    return payload


class Server(Factory):
    """All streams of a controller, by number."""

    noisy = False

    def __init__(self, controller: Controller) -> None:
        self.controller, self.reactor = controller, controller.reactor
        self.numbers = 0
        self.unnamed: dict[int, ServerStream] = {}
        self.commands: dict[int, ServerStream] = {}
        self.dispatchers: dict[int, ServerStream] = {}
        self.port: Any = None
        self.proposed_bytes = 0  # of changes that are not decided yet

    @property
    def streams(self) -> int:
        return len(self.unnamed) + len(self.commands) + len(self.dispatchers)

    def listen(self, address: str) -> None:
        """OSError where nothing can listen there."""
        host, _, port = address.rpartition(":")
        self.port = self.reactor.listenTCP(int(port), self, backlog=BACKLOG, interface=host)

    def close(self) -> None:
        if self.port is not None:
            self.port.stopListening()
        for group in (self.unnamed, self.commands, self.dispatchers):
            for stream in list(group.values()):
                stream.transport.abortConnection()

    def buildProtocol(self, addr: IAddress | None) -> ServerStream:  # noqa: N802
        self.numbers += 1
        return ServerStream(self, self.numbers)

    def admit(self, stream: ServerStream) -> bool:
        """A new one, unless too many have not said yet what they are."""
        if len(self.unnamed) >= MAX_UNNAMED_STREAMS:
            return False
        self.unnamed[stream.number] = stream
        return True

    def admit_command(self, stream: ServerStream) -> bool:
        if len(self.commands) >= MAX_COMMANDS:
            return False
        stream.named = True
        self.unnamed.pop(stream.number, None)
        self.commands[stream.number] = stream
        return True

    def forget(self, stream: ServerStream) -> None:
        self.unnamed.pop(stream.number, None)
        self.commands.pop(stream.number, None)
        if self.dispatchers.pop(stream.number, None) is not None:
            self.controller.publisher.stream_lost(stream.number)
            self.controller.turn_soon()

    def dropped(self, reason: str) -> None:
        self.controller.counters["streams dropped"] += 1
        self.controller.log.warning(
            "stream dropped", why=reason, so_far=self.controller.counters["streams dropped"]
        )

    def room_for(self, proposal: Proposal, size: int) -> bool:
        if self.proposed_bytes + size > MAX_PROPOSAL_BYTES:
            return False
        proposal.bytes += size
        self.proposed_bytes += size
        return True

    # Dispatchers

    def tell(self, stream: ServerStream, message: Message) -> None:
        """A dispatcher's message to the publisher."""
        self.unnamed.pop(stream.number, None)
        self.dispatchers[stream.number] = stream
        self.controller.publisher.message_received(self.reactor.seconds(), stream.number, message)
        self.controller.turn_soon()

    def send(self, number: int, payload: bytes) -> None:
        stream = self.dispatchers.get(number)
        if stream is not None and not stream.closed:
            stream.sendString(payload)

    def abort(self, number: int) -> None:
        """The publisher has let go of it."""
        stream = self.dispatchers.get(number)
        if stream is not None:
            stream.closed = True
            stream.transport.abortConnection()
