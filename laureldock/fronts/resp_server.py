"""The listening side of the RESP2 front: accepts clients, and has some give way where there is no room."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Port

from laureldock.core.protocols import ListenError, SubmissionHandler
from laureldock.fronts.resp import CHECK_INTERVAL, IDLE_GRACE, Client, CloseReason
from laureldock.sockets.flush import unread
from laureldock.sockets.reactor import ListeningPort
from laureldock.sockets.room import Room
from laureldock.transient_errors import is_transient

BACKLOG = 512  # connections that wait to be accepted
# Seconds: for so long those that wait at a door that closes are accepted while that fails; between two tries.
LAST_ACCEPTS, LAST_ACCEPT_INTERVAL = 1.0, 0.02


class Clients(Factory):
    """All connections of one listening address; a `Front` of the core."""

    noisy = False

    def __init__(
        self,
        core: SubmissionHandler,
        reactor: PosixReactorBase,
        room: Room,
        listen: str,
        most: int,
        pipeline: int,
    ) -> None:
        self.core, self.reactor, self.room, self.listen = core, reactor, room, listen
        self.pipeline = pipeline  # commands behind one that waits
        self.limit(most)
        self.clients: dict[Client, None] = {}
        self.numbers = 0
        self.full = self.looking = self.lameduck = False
        self.shutting = False  # the last clients are accepted
        self.port: Port | None = None
        self.unread: Callable[[], float] = lambda: 0.0  # for how long what is read now may have lain
        self.passed = -1  # a descriptor that listens already

    def limit(self, most: int) -> None:
        """Hold so many connections at most."""
        self.most = most
        # Half of what the protocol's clients hold at most, so that as many find room.
        self.most_idle = most // 3

    @property
    def connection_count(self) -> int:
        return len(self.clients) + bool(self.shutting and self.port)

    def open(self) -> None:
        """Listen, unless it does already. ListenError."""
        if self.port:
            return
        if self.passed >= 0:  # the platform listens, and every process of this dispatcher accepts
            try:
                self.port = self.reactor.adopt(self.passed, self)  # type: ignore[attr-defined]
            except OSError as error:
                raise ListenError(f"descriptor {self.passed}: {error}", is_transient(error)) from None
            return
        host, _, port = self.listen.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(int(port), self, backlog=BACKLOG, interface=host)
        except CannotListenError as error:
            raise ListenError(str(error), is_transient(error.socketError)) from None
        except OSError as error:
            raise ListenError(str(error), is_transient(error)) from None

    def stop_accepting(self) -> None:
        if self.port and not self.shutting:
            self.shutting = True
            self._accept_last(self.core.now() + LAST_ACCEPTS)
        for client in list(self.clients):
            client.finish()

    def _accept_last(self, until: float) -> None:
        """Closing the door resets those that wait at it, their requests unread: they are accepted before."""
        port = self.port
        while isinstance(port, ListeningPort) and len(self.clients) < self.most and port.accept_some():
            pass
        for client in list(self.clients):
            client.finish()
        if self._somebody_waits() and self.core.now() < until:  # an accept has failed
            self.core.call_later(LAST_ACCEPT_INTERVAL, self._accept_last, until)
        elif port:
            self.port = None
            port.stopListening()

    def _somebody_waits(self) -> bool:
        # A socket that the platform holds resets nobody when it is closed here.
        own = isinstance(self.port, ListeningPort) and self.passed < 0
        return own and len(self.clients) < self.most and self.port.somebody_waits()  # type: ignore[union-attr]

    def set_lameduck(self, on: bool) -> None:
        """Connections close once answered; those between requests at once. New ones are still served."""
        self.lameduck = on
        if on:
            for client in list(self.clients):
                client.finish()

    def buildProtocol(self, addr: IAddress | None) -> Client:  # noqa: N802
        self.numbers += 1
        port = self.port
        return Client(self, self.numbers, port.backlog_wait if isinstance(port, ListeningPort) else 0.0)

    def joined(self, client: Client) -> None:
        self.clients[client] = None
        self.room.clients += 1
        self.room.spare()
        self.make_room()
        if not self.looking:
            self.looking = True
            self.core.call_later(CHECK_INTERVAL, self.look)

    def look(self) -> None:
        now = self.core.now()
        for client in list(self.clients):
            client.look(now)
        self.make_room()
        self.looking = bool(self.clients)
        if self.looking:
            self.core.call_later(CHECK_INTERVAL, self.look)

    def crowded(self, most: int) -> None:
        """The process is out of descriptors, whatever its limit says: so many give way."""
        self.core.report_out_of_descriptors()
        self.make_room(most)

    def make_room(self, short: int = 0) -> None:
        """Those between requests give way, the longest idle first, so that clients find connections to open.

        At the limit also those that have said nothing; where there is nobody, the next ones wait unaccepted.
        """
        if len(self.clients) <= self.most_idle and not short:
            return  # as on most days: nobody need be looked at
        now, full = self.core.now(), len(self.clients) >= self.most
        staying = [client for client in self.clients if not client.leaving]
        idle = [client for client in staying if client.resting]
        answered = [client for client in idle if client.asked]
        over = max(short, len(answered) - self.most_idle)
        if full:
            over = max(over, len(staying) + 1 - self.most)
            answered += [client for client in idle if not client.asked and client.since <= now - IDLE_GRACE]
        answered.sort(key=lambda client: (client.asked, client.since))
        quiet = (client for client in answered if unread(client.transport) is None)
        for client in islice(quiet, max(0, over)):
            client.finish()
        if full:  # those that linger need not, once they have had a moment; the next ones wait until then
            for client in self.clients:
                if client.released and client.since <= now - CHECK_INTERVAL:
                    client.close(CloseReason.ROOM)
            if not self.full:
                self.turn_away(True)

    def left(self, client: Client) -> None:
        if client in self.clients:
            del self.clients[client]
            self.room.clients -= 1
        if self.full and len(self.clients) < self.most:
            self.turn_away(False)

    def turn_away(self, full: bool) -> None:
        self.full = full
        self.core.report_accepting_paused(full)
        if self.port:
            (self.port.stopReading if full else self.port.startReading)()
