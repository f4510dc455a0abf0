"""The reactor of a dispatcher: steady time, and a door that takes a few at each look."""

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


# Accepted at a look; descriptors that clients cannot take: for the list, notices, the store, receivers.
ACCEPTS, KEPT = 4, 8
ACCEPT_PAUSE = 0.1  # seconds, after which a door that could not accept looks again
# By accept(2): errors of a connection that waited, to be passed over by accepting the next one.
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


def listen_error(barred: CannotListenError) -> OSError:
    """The error of the system call behind it."""
    error = barred.socketError
    return error if isinstance(error, OSError) else OSError(str(barred))


def can_open(descriptors: int) -> bool:
    """Whether the process may hold so many more."""
    held: list[int] = []
    try:
        for _ in range(descriptors):
            held.append(os.dup(2))
    except OSError as fault:  # a process may run without standard error
        return fault.errno not in (errno.EMFILE, errno.ENFILE)
    finally:
        for each in held:
            os.close(each)
    return True


class ListeningPort(Port):
    """Accepts a few at each look; the reactor's own takes a hundred and more, past any limit of sockets.

    Out of descriptors, the reactor's own closes who comes, whatever they have asked. Here they wait, those
    who rest give way, and the next look is a moment later.
    """

    shut_since = inf  # nobody has been accepted since then, though somebody may wait

    @property
    def backlog_wait(self) -> float:
        """Seconds for which at most somebody who is accepted now has waited."""
        now: float = self.reactor.seconds()
        return max(0.0, now - self.shut_since)

    def stopReading(self) -> None:  # noqa: N802
        self.shut_since = min(self.shut_since, self.reactor.seconds())
        super().stopReading()

    def startReading(self) -> None:  # noqa: N802
        if not self.somebody_waits():
            self.shut_since = inf
        super().startReading()

    def doRead(self) -> None:  # noqa: N802
        if can_open(ACCEPTS + KEPT):
            self.accept_all(ACCEPTS)
            return
        self.pause()
        if crowded := getattr(self.factory, "crowded", None):
            crowded(ACCEPTS)

    def accept_all(self, most: int) -> None:
        """Accept so many that wait at most. What fails for a moment is looked at again a moment later."""
        for _ in range(most):
            try:
                link, address = self.socket.accept()
            except BlockingIOError:
                self.shut_since = inf  # all who waited are in
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue  # of that connection alone
                log.warning("cannot accept", fault=str(error))
                self.pause()
                return
            self.serve(link, address)

    def serve(self, link: socket.socket, address: tuple[str, int]) -> None:
        """Begin a connection that was accepted, as the reactor's own does. A failure ends that one alone."""
        factory: Any = self.factory
        transport = None
        try:
            protocol = factory.buildProtocol(self._buildAddr(address))
            self.sessionno += 1
            transport = self.transport(link, protocol, address, self, self.sessionno, self.reactor)
            protocol.makeConnection(transport)
        except Exception as error:  # else the reactor would close what listens
            log.warning("cannot serve a connection", fault=repr(error))
            if transport is None:
                link.close()
            else:
                transport.abortConnection()

    def pause(self) -> None:
        """Nobody is accepted for a moment; who comes waits."""
        self.stopReading()
        self.reactor.callLater(ACCEPT_PAUSE, self.look_again)

    def look_again(self) -> None:
        if self.connected and not getattr(self.factory, "full", False):
            self.startReading()

    def somebody_waits(self) -> bool:
        """Whether a connection waits to be accepted."""
        poll = select.poll()
        poll.register(self.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def accept_some(self) -> bool:
        """A few of those that wait; whether there was one."""
        before = self.sessionno
        self.doRead()
        return bool(self.sessionno > before)


# A poll that took longer has slept, so that what it found has just come.
SLEPT = 0.001
# After a door has opened, clients come that were refused before, with lifetimes that run already.
OPENING = 1.0


class SteadyReactor(EPollReactor):
    """Timers run by the monotonic clock: a step of the wall clock neither delays nor hurries them."""

    def __init__(self) -> None:
        self.rested = self.opened = self.polled = -inf  # when all had been read; a door opened; a poll began
        self.found = False
        super().__init__()

    def seconds(self) -> float:
        return time.monotonic()

    def stop(self) -> None:
        """A further signal while it stops asks for nothing new."""
        if not self._stopped:
            super().stop()

    def unread(self) -> float:
        """For how long at most what is read now has lain unread."""
        now = self.seconds()
        return inf if now < self.opened + OPENING else now - self.rested

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        self.polled, self.found = self.seconds(), False
        super().doPoll(timeout)
        if not self.found:
            self.rested = self.seconds()

    doIteration = doPoll  # noqa: N815

    def _doReadOrWrite(self, selectable: Any, descriptor: int, event: int) -> None:  # noqa: N802
        if not self.found:
            self.found, now = True, self.seconds()
            if now > self.polled + SLEPT:
                self.rested = now
        super()._doReadOrWrite(selectable, descriptor, event)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:  # noqa: N802
        self.opened = self.seconds()
        door = ListeningPort(port, factory, backlog, interface, self)
        door.startListening()
        return door

    def adopt(self, descriptor: int, factory: Any) -> ListeningPort:
        """A listening socket that the platform holds: it may come blocking, and a blocking accept would stop
        the whole process until the next client, since the processes that share it race for each one."""
        self.opened = self.seconds()
        door: ListeningPort = ListeningPort._fromListeningDescriptor(
            self, descriptor, socket.AF_INET, factory
        )
        door.startListening()
        door.socket.setblocking(False)
        return door

    def runUntilCurrent(self) -> None:  # noqa: N802
        """After a stall, what has come in is read before any timer says that it has not come."""
        if self.running:
            self.doIteration(0)
        super().runUntilCurrent()


class Reread(Generic[T]):
    """Reads beside the reactor, lest a long file hold mails up; what is asked meanwhile is read once."""

    def __init__(self, reactor: SteadyReactor, read: Callable[[], T], take_over: Callable[[T], None]) -> None:
        self.reactor, self.read, self.take_over = reactor, read, take_over
        self.busy = self.again = False

    def ask(self) -> None:
        if self.busy:
            self.again = True
            return
        self.busy = True
        self.reactor.callInThread(self.work)

    def work(self) -> None:
        self.reactor.callFromThread(self.done, self.read())

    def done(self, found: T) -> None:
        self.busy = False
        self.take_over(found)
        if self.again:
            self.again = False
            self.ask()
