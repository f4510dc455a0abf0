"""The RESP2 server: accepts clients, and closes idle connections where there is no room for new ones."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Port

from laureldock.core.protocols import ListenError, SubmissionHandler
from laureldock.delivery_memory import (
    CLIENT_CONNECTION_BYTES,
    MemoryBudget,
    MemoryKind,
    MemoryRefusal,
    first_to_give_way,
)
from laureldock.fronts.resp import CHECK_INTERVAL, NEW_CONNECTION_GRACE, ClientConnection, CloseReason
from laureldock.process_memory import trim_heap
from laureldock.sockets.flush import peek_unread
from laureldock.sockets.reactor import ListeningPort
from laureldock.sockets.socket_budget import SocketBudget
from laureldock.transient_errors import is_transient

MIN_CONNECTIONS = 16  # that find room however short memory is
ACCEPT_BACKLOG = 512  # connections that wait to be accepted
# Seconds. Before the port closes, the connections that wait are accepted; where that fails, it is tried again
# for so long, at this interval.
FINAL_ACCEPT_TIME, FINAL_ACCEPT_INTERVAL = 1.0, 0.02


class RespServer(Factory):
    """The listening port of one address and all its connections; a `Front` of the core."""

    noisy = False

    def __init__(
        self,
        core: SubmissionHandler,
        reactor: PosixReactorBase,
        sockets: SocketBudget,
        listen: str,
        max_connections: int,
        max_pipelined: int,
        memory: MemoryBudget,
    ) -> None:
        self.core, self.reactor, self.sockets, self.listen = core, reactor, sockets, listen
        self.max_pipelined = max_pipelined  # commands behind one that waits for its reply
        self.memory = memory
        self.set_max_connections(max_connections)
        self.connections: dict[ClientConnection, None] = {}
        self.last_client_id = 0
        self.accepting_paused = self.check_scheduled = self.lameduck = False
        self.freeing_memory = False
        self.stopping = False  # the last waiting connections are being accepted
        self.port: Port | None = None
        # The longest time, in seconds, for which bytes that are read now can have waited to be read.
        self.max_unread_time: Callable[[], float] = lambda: 0.0
        self.passed_descriptor = -1  # of a socket that listens already; -1: none

    def set_max_connections(self, max_connections: int) -> None:
        self.max_connections = max_connections
        # Half of what the clients of the protocol hold at most, so that as many again find room.
        self.max_idle = max_connections // 3

    @property
    def connection_count(self) -> int:
        return len(self.connections) + bool(self.stopping and self.port)

    def open(self) -> None:
        """Listen, unless it listens already. ListenError."""
        if self.port:
            return
        if self.passed_descriptor >= 0:  # the platform opened it; all processes of this dispatcher accept
            try:
                self.port = self.reactor.adopt_port(self.passed_descriptor, self)  # type: ignore[attr-defined]
            except OSError as error:
                raise ListenError(
                    f"descriptor {self.passed_descriptor}: {error}", is_transient(error)
                ) from None
            return
        host, _, port = self.listen.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(int(port), self, backlog=ACCEPT_BACKLOG, interface=host)
        except CannotListenError as error:
            raise ListenError(str(error), is_transient(error.socketError)) from None
        except OSError as error:
            raise ListenError(str(error), is_transient(error)) from None

    def stop_accepting(self) -> None:
        if self.port and not self.stopping:
            self.stopping = True
            self._accept_waiting(self.core.now() + FINAL_ACCEPT_TIME)
        for connection in list(self.connections):
            connection.close_when_idle()

    def _accept_waiting(self, until: float) -> None:
        """Accept the connections that wait, then close the port.

        The close would reset those in the accept backlog, with their requests unread.
        """
        port = self.port
        while (
            isinstance(port, ListeningPort)
            and len(self.connections) < self.max_connections
            and port.accept_batch()
        ):
            pass
        for connection in list(self.connections):
            connection.close_when_idle()
        if self._has_waiting_connection() and self.core.now() < until:  # an accept has failed
            self.core.call_later(FINAL_ACCEPT_INTERVAL, self._accept_waiting, until)
        elif port:
            self.port = None
            port.stopListening()

    def _has_waiting_connection(self) -> bool:
        # A socket that the platform holds too resets no connection when this process closes it.
        owned = isinstance(self.port, ListeningPort) and self.passed_descriptor < 0
        return owned and len(self.connections) < self.max_connections and self.port.has_waiting_connection()  # type: ignore[union-attr]

    def set_lameduck(self, on: bool) -> None:
        """Close connections after their reply, idle ones at once. New ones are still served."""
        self.lameduck = on
        if on:
            for connection in list(self.connections):
                connection.close_when_idle()

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:  # noqa: N802
        self.last_client_id += 1
        port = self.port
        return ClientConnection(
            self, self.last_client_id, port.backlog_wait if isinstance(port, ListeningPort) else 0.0
        )

    def connection_opened(self, connection: ClientConnection) -> None:
        self.connections[connection] = None
        self.memory.change(MemoryKind.CONNECTIONS, CLIENT_CONNECTION_BYTES)
        self.sockets.clients += 1
        self.sockets.free_socket()
        self.make_room()
        if not self.check_scheduled:
            self.check_scheduled = True
            self.core.call_later(CHECK_INTERVAL, self.check_connections)

    def check_connections(self) -> None:
        now = self.core.now()
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.make_room()
        self.resume_accepting()  # memory may have been freed elsewhere
        if self.memory.trim_is_due():
            trim_heap()
        self.check_scheduled = bool(self.connections)
        if self.check_scheduled:
            self.core.call_later(CHECK_INTERVAL, self.check_connections)

    def out_of_descriptors(self, needed: int) -> None:
        """The process has no free descriptors, whatever its limit says: close so many idle connections."""
        self.core.report_out_of_descriptors()
        self.make_room(needed)

    def make_room(self, needed: int = 0) -> None:
        """Close idle connections, the longest idle first, so that clients can open new ones.

        At the limit this includes connections that have sent no command; where none is idle, accepting
        pauses, and new connections wait in the backlog.
        """
        if len(self.connections) <= self.max_idle and not needed and not self.is_full:
            return  # the usual case, in which no connection need be examined
        now, full = self.core.now(), self.is_full
        staying = [connection for connection in self.connections if not connection.close_after_reply]
        idle = [connection for connection in staying if connection.is_idle]
        closable = [connection for connection in idle if connection.has_sent_command]
        excess = max(needed, len(closable) - self.max_idle)
        if full:
            short_of_memory = len(self.connections) < self.max_connections
            excess = max(excess, 1 if short_of_memory else len(staying) + 1 - self.max_connections)
            closable += [
                connection
                for connection in idle
                if not connection.has_sent_command and connection.waiting_since <= now - NEW_CONNECTION_GRACE
            ]
        closable.sort(key=lambda connection: (connection.has_sent_command, connection.waiting_since))
        quiet = (connection for connection in closable if peek_unread(connection.transport) is None)
        for connection in islice(quiet, max(0, excess)):
            connection.close_when_idle()
        if full:  # lingering ones are closed after a moment; until then new connections wait in the backlog
            for connection in self.connections:
                if connection.lingering and connection.waiting_since <= now - CHECK_INTERVAL:
                    connection.close(CloseReason.MAKE_ROOM)
            if not self.accepting_paused:
                self.set_accepting_paused(True)
                if len(self.connections) < self.max_connections:
                    self.core.report_memory_refusal(MemoryRefusal.CLIENTS_WAIT, clients=len(self.connections))

    def connection_closed(self, connection: ClientConnection) -> None:
        if connection in self.connections:
            del self.connections[connection]
            self.memory.change(MemoryKind.CONNECTIONS, -CLIENT_CONNECTION_BYTES)
            self.sockets.clients -= 1
        self.resume_accepting()

    def resume_accepting(self) -> None:
        """Accept clients again once there is room."""
        if self.accepting_paused and not self.is_full:
            self.set_accepting_paused(False)

    @property
    def is_full(self) -> bool:
        """Whether there is no room for one more connection; for a few there is always memory.

        Connections have a share of their own: a client is told `-BUSY` rather than not accepted.
        """
        count = len(self.connections)
        short = count >= MIN_CONNECTIONS and not self.memory.is_within_share(
            MemoryKind.CONNECTIONS, CLIENT_CONNECTION_BYTES
        )
        return short or count >= self.max_connections

    def change_memory(self, kind: MemoryKind, amount: int) -> None:
        """Charge memory held for a client, or free it; where it is short, connections give way."""
        if amount:
            self.memory.change(kind, amount)
        if amount <= 0 or self.freeing_memory:  # the last reply to one that gives way is charged, too
            return
        self.freeing_memory = True
        try:
            self.free_memory(kind)
        finally:
            self.freeing_memory = False

    def free_memory(self, kind: MemoryKind) -> None:
        """Have connections give way while memory of a kind is short."""
        while self.memory.is_short_of(kind):
            connection = first_to_give_way(self.connections, self.core.now())
            if connection is None:
                return
            freed, client = connection.closable_bytes, connection.client_id
            self.core.report_memory_refusal(
                connection.give_way(), client=client, freed=freed, held=self.memory.held_bytes
            )

    def set_accepting_paused(self, paused: bool) -> None:
        """Pause accepting, so that new connections wait in the backlog, or resume it."""
        self.accepting_paused = paused
        self.core.report_accepting_paused(paused, len(self.connections))
        if self.port:
            (self.port.stopReading if paused else self.port.startReading)()
