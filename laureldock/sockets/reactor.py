"""The reactor of a dispatcher: monotonic time, and listening ports that accept a few clients at a time."""

from __future__ import annotations

import errno
import os
import select
import socket
import time
from collections.abc import Callable
from math import inf
from typing import Any, Generic, TypeVar

import structlog
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import CannotListenError
from twisted.internet.tcp import Port

T = TypeVar("T")


# Connections accepted in one reactor iteration; descriptors that clients must leave free, for the endpoint
# list, notices, the store and receivers.
ACCEPT_BATCH, RESERVED_DESCRIPTORS = 4, 8
ACCEPT_PAUSE = 0.1  # seconds, after which a port that could not accept tries again
# By accept(2): pending network errors of the connection to accept; the next one can be accepted at once.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    }
)

log = structlog.get_logger()


def listen_error(refusal: CannotListenError) -> OSError:
    """The error of the system call that failed."""
    error = refusal.socketError
    return error if isinstance(error, OSError) else OSError(str(refusal))


def can_open(descriptors: int) -> bool:
    """Whether the process can open so many more descriptors."""
    opened: list[int] = []
    try:
        for _ in range(descriptors):
            opened.append(os.dup(2))
    except OSError as fault:  # such as EBADF in a process without standard error
        return fault.errno not in (errno.EMFILE, errno.ENFILE)
    finally:
        for descriptor in opened:
            os.close(descriptor)
    return True


class ListeningPort(Port):
    """Accepts a few connections in one reactor iteration.

    Twisted's port accepts a hundred or more, past any limit on sockets, and when descriptors run out it
    closes new connections, whatever they have sent. Here they wait in the accept backlog, idle clients are
    closed to make room, and the port tries again after a short pause.
    """

    paused_since = inf  # nothing has been accepted since then, though connections may wait

    @property
    def backlog_wait(self) -> float:
        """The longest time, in seconds, for which a connection accepted now can have waited."""
        now: float = self.reactor.seconds()
        return max(0.0, now - self.paused_since)

    def stopReading(self) -> None:  # noqa: N802
        self.paused_since = min(self.paused_since, self.reactor.seconds())
        super().stopReading()

    def startReading(self) -> None:  # noqa: N802
        if not self.has_waiting_connection():
            self.paused_since = inf
        super().startReading()

    def doRead(self) -> None:  # noqa: N802
        if can_open(ACCEPT_BATCH + RESERVED_DESCRIPTORS):
            self.accept_up_to(ACCEPT_BATCH)
            return
        self.pause_accepting()
        if out_of_descriptors := getattr(self.factory, "out_of_descriptors", None):
            out_of_descriptors(ACCEPT_BATCH)

    def accept_up_to(self, limit: int) -> None:
        """Accept at most so many waiting connections. After a transient error, try again after a pause."""
        for _ in range(limit):
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                self.paused_since = inf  # the accept backlog is empty
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue  # it concerns that connection alone
                log.warning("cannot accept", fault=str(error))
                self.pause_accepting()
                return
            self.start_connection(accepted, address)

    def start_connection(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        """Start an accepted connection as Twisted's port does. A failure closes that connection alone."""
        factory: Any = self.factory
        transport = None
        try:
            protocol = factory.buildProtocol(self._buildAddr(address))
            self.sessionno += 1
            transport = self.transport(accepted, protocol, address, self, self.sessionno, self.reactor)
            protocol.makeConnection(transport)
        except Exception as error:  # otherwise the reactor would close the listening socket
            log.warning("cannot serve a connection", fault=repr(error))
            if transport is None:
                accepted.close()
            else:
                transport.abortConnection()

    def pause_accepting(self) -> None:
        """Accept nothing for a moment; new connections wait in the backlog."""
        self.stopReading()
        self.reactor.callLater(ACCEPT_PAUSE, self.resume_accepting)

    def resume_accepting(self) -> None:
        if self.connected and not getattr(self.factory, "accepting_paused", False):
            self.startReading()

    def has_waiting_connection(self) -> bool:
        """Whether a connection waits to be accepted."""
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def accept_batch(self) -> bool:
        """Accept a few waiting connections. Returns whether there was one."""
        before = self.sessionno
        self.doRead()
        return bool(self.sessionno > before)


# Seconds. A poll that took longer has blocked, so that the events it returned are new.
BLOCKED_POLL_TIME = 0.001
# Seconds after a port has begun to listen in which clients connect that were refused before: the lifetimes
# of their messages run already.
LISTEN_SETTLE_TIME = 1.0


class MonotonicReactor(EPollReactor):
    """Timers use the monotonic clock: a step of the wall clock neither delays nor advances them."""

    def __init__(self) -> None:
        # When all received bytes had last been read; when a port last began to listen; when the poll began.
        self.all_read_at = self.listening_at = self.poll_began_at = -inf
        self.poll_has_events = False
        super().__init__()

    def seconds(self) -> float:
        return time.monotonic()

    def stop(self) -> None:
        """Ignored while it is stopping already, as after a second signal."""
        if not self._stopped:
            super().stop()

    def max_unread_time(self) -> float:
        """The longest time, in seconds, for which bytes that are read now can have waited to be read.

        Infinite just after a port has begun to listen: clients that were refused before connect then.
        """
        now = self.seconds()
        return inf if now < self.listening_at + LISTEN_SETTLE_TIME else now - self.all_read_at

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        self.poll_began_at, self.poll_has_events = self.seconds(), False
        super().doPoll(timeout)
        if not self.poll_has_events:
            self.all_read_at = self.seconds()

    doIteration = doPoll  # noqa: N815

    def _doReadOrWrite(self, selectable: Any, descriptor: int, event: int) -> None:  # noqa: N802
        if not self.poll_has_events:
            self.poll_has_events, now = True, self.seconds()
            if now > self.poll_began_at + BLOCKED_POLL_TIME:
                self.all_read_at = now
        super()._doReadOrWrite(selectable, descriptor, event)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:  # noqa: N802
        self.listening_at = self.seconds()
        listener = ListeningPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def adopt_port(self, descriptor: int, factory: Any) -> ListeningPort:
        """Listen on a socket that the platform opened and passed to this process.

        It is set to non-blocking. The processes that share it race for each connection, and a blocking accept
        in the loser would stop that whole process until the next client connects.
        """
        self.listening_at = self.seconds()
        listener: ListeningPort = ListeningPort._fromListeningDescriptor(
            self, descriptor, socket.AF_INET, factory
        )
        listener.startListening()
        listener.socket.setblocking(False)
        return listener

    def runUntilCurrent(self) -> None:  # noqa: N802
        """After a stall, read what has arrived before a timer runs that would count it as missing."""
        if self.running:
            self.doIteration(0)
        super().runUntilCurrent()


class BackgroundReader(Generic[T]):
    """Reads in a thread, so that a long file does not delay messages.

    Requests that come during a read lead to one further read together.
    """

    def __init__(self, reactor: MonotonicReactor, read: Callable[[], T], apply: Callable[[T], None]) -> None:
        self.reactor, self.read, self.apply = reactor, read, apply
        self.busy = self.requested_again = False

    def request(self) -> None:
        if self.busy:
            self.requested_again = True
            return
        self.busy = True
        self.reactor.callInThread(self.run)

    def run(self) -> None:
        self.reactor.callFromThread(self.finish, self.read())

    def finish(self, result: T) -> None:
        self.busy = False
        self.apply(result)
        if self.requested_again:
            self.requested_again = False
            self.request()
