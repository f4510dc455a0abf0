"""A hollow member's reactor: real sockets behind the modelled network, and an account of what passes.

What a hollow member sends is held back, lost or cut before it is written. What comes from a process that has
no model (a real dispatcher, the controller) is held back, lost or cut when it has been read. A connection is
opened one round trip late, and not at all while its link is cut; an open stream stands still meanwhile.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, cast

from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.error import UserError
from twisted.internet.interfaces import IUDPTransport
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Factory, connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure

from laureldock.rehearsal.scale.accounting import Account, Traffic
from laureldock.rehearsal.scale.network import Network
from laureldock.rehearsal.scale.topology import Place

CUT_POLL = 0.1  # seconds after which a stream that stands still is looked at again


class ShapedDatagrams:
    """In place of a UDP port, as a protocol's transport."""

    def __init__(self, reactor: MemberReactor, port: Any) -> None:
        self.reactor, self.port = reactor, port

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.reactor.account.view_datagrams.count_sent(len(data))
        receiver = self.reactor.place_at(address[0])
        if receiver is None:
            return
        delay = self.reactor.network.datagram_delay(self.reactor.place, receiver)
        if delay is not None:
            self.reactor.callLater(delay, self.port.write, data, address)


class ShapedDatagramProtocol(DatagramProtocol):
    """Before a member's own protocol: counts what comes, and delays what came past no model."""

    noisy = False

    def __init__(self, reactor: MemberReactor, inner: DatagramProtocol) -> None:
        self.reactor, self.inner = reactor, inner

    def startProtocol(self) -> None:  # noqa: N802
        self.inner.transport = cast(IUDPTransport, ShapedDatagrams(self.reactor, self.transport))
        self.inner.startProtocol()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        reactor = self.reactor
        sender = reactor.place_at(addr[0])
        if reactor.closed or sender is None:
            return
        if not sender.real:
            self.deliver(datagram, addr)
            return
        delay = reactor.network.datagram_delay(sender, reactor.place)
        if delay is not None:
            reactor.callLater(delay, self.deliver, datagram, addr)

    def deliver(self, datagram: bytes, addr: Any) -> None:
        self.reactor.account.view_datagrams.count_received(len(datagram))
        self.reactor.account.metered(self.inner.datagramReceived, datagram, addr)


class HeldBack:
    """One way of a stream: pieces are let through in their order, each after its delay, none while cut."""

    def __init__(
        self, reactor: MemberReactor, sender: Place, receiver: Place, deliver: Callable[[Any], None]
    ) -> None:
        self.reactor, self.sender, self.receiver, self.deliver = reactor, sender, receiver, deliver
        self.waiting: deque[tuple[float, Any]] = deque()
        self.scheduled = False

    def put(self, piece: Any) -> None:
        now = self.reactor.seconds()
        release = now + self.reactor.network.stream_delay(self.sender, self.receiver)
        if self.waiting:
            release = max(release, self.waiting[-1][0])
        self.waiting.append((release, piece))
        self._schedule(release - now)

    def _schedule(self, delay: float) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.reactor.callLater(max(0.0, delay), self._release)

    def _release(self) -> None:
        self.scheduled = False
        if self.reactor.network.is_cut(self.sender, self.receiver):
            self._schedule(CUT_POLL)
            return
        now = self.reactor.seconds()
        while self.waiting and self.waiting[0][0] <= now + 1e-4:
            self.deliver(self.waiting.popleft()[1])
        if self.waiting:
            self._schedule(self.waiting[0][0] - now)


CLOSE = object()  # in the place of a piece: the stream ends once what was written before has gone


class ShapedStream(ProtocolWrapper):
    """One end of a stream, at a hollow member."""

    transport: Any
    factory: Any
    outbound: HeldBack | None = None
    inbound: HeldBack | None = None

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        reactor: MemberReactor = self.factory.reactor
        peer = reactor.place_at(transport.getPeer().host)
        if peer is None or reactor.closed or reactor.network.is_cut(peer, reactor.place):
            transport.abortConnection()
            return
        self.outbound = HeldBack(reactor, reactor.place, peer, self._write_through)
        if peer.real:
            self.inbound = HeldBack(reactor, peer, reactor.place, self._receive)
        reactor.streams.add(self)
        reactor.account.metered(super().makeConnection, transport)

    def write(self, data: bytes) -> None:
        self.factory.traffic.count_sent(len(data))
        if self.outbound:
            self.outbound.put(data)

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        self.disconnecting = True
        if self.outbound:
            self.outbound.put(CLOSE)

    def abortConnection(self) -> None:  # noqa: N802
        self.transport.abortConnection()

    def _write_through(self, piece: Any) -> None:
        if not self.connected:
            return
        if piece is CLOSE:
            self.transport.loseConnection()
        else:
            self.transport.write(piece)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.inbound:
            self.inbound.put(data)
        else:
            self._receive(data)

    def _receive(self, piece: bytes | Failure) -> None:
        reactor: MemberReactor = self.factory.reactor
        if isinstance(piece, Failure):
            reactor.streams.discard(self)
            reactor.account.metered(super().connectionLost, piece)
        elif not reactor.closed and self.connected:
            self.factory.traffic.count_received(len(piece))
            reactor.account.metered(self.wrappedProtocol.dataReceived, piece)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.outbound is None:  # its own protocol never heard of it
            return
        self.outbound.waiting.clear()
        if self.inbound and self.inbound.waiting:
            self.inbound.put(reason)  # after what came before it
        else:
            self._receive(reason)


class ShapedFactory(WrappingFactory):
    """Before a member's own factory."""

    protocol = ShapedStream
    noisy = False

    def __init__(self, reactor: MemberReactor, inner: Factory, traffic: Traffic) -> None:
        super().__init__(inner)
        self.reactor, self.traffic = reactor, traffic

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.reactor.closed:
            self.reactor.account.metered(super().clientConnectionFailed, connector, reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.reactor.closed:
            self.reactor.account.metered(super().clientConnectionLost, connector, reason)


class ShapedConnector(ShapedFactory):
    """Opens one stream a round trip late, or fails in time; what `connectTCP` gives its caller."""

    def __init__(
        self, reactor: MemberReactor, inner: ClientFactory, traffic: Traffic, timeout: float
    ) -> None:
        super().__init__(reactor, inner, traffic)
        self.timeout = timeout
        self.connector: Any = None
        self.call: Any = None

    def connect(self, host: str, port: int, bind_address: tuple[str, int]) -> None:
        reactor = self.reactor
        receiver = reactor.place_at(host)
        if receiver is None or reactor.network.is_cut(reactor.place, receiver):
            self.call = reactor.callLater(self.timeout, self._fail, ConnectTimeoutError())
            return
        round_trip = 2 * reactor.network.stream_delay(reactor.place, receiver)
        self.call = reactor.callLater(round_trip, self._connect, host, port, bind_address)

    def _connect(self, host: str, port: int, bind_address: tuple[str, int]) -> None:
        self.connector = self.reactor.reactor.connectTCP(
            host, port, self, timeout=self.timeout, bindAddress=bind_address
        )

    def _fail(self, error: Exception) -> None:
        self.clientConnectionFailed(self, Failure(error))

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Told as of this object, which the caller knows."""
        super().clientConnectionFailed(self, reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        super().clientConnectionLost(self, reason)

    def stopConnecting(self) -> None:  # noqa: N802
        if self.connector is not None:
            self.connector.stopConnecting()
        elif self.call.active():
            self.call.cancel()
            self.reactor.callLater(0, self._fail, UserError())


class MemberReactor:
    """What the parts of a dispatcher use of Twisted's reactor, for one hollow member.

    `close` is a crash: timers end, sockets close, nothing more is sent.
    """

    def __init__(self, reactor: Any, network: Network, place: Place, account: Account) -> None:
        self.reactor, self.network, self.place, self.account = reactor, network, place, account
        self.place_at = network.topology.place_at
        self.closed = False
        self.ports: list[Any] = []
        self.streams: set[ShapedStream] = set()

    def seconds(self) -> float:
        now: float = self.reactor.seconds()
        return now

    def callLater(self, delay: float, function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:  # noqa: N802
        return self.reactor.callLater(delay, self._call, function, arguments, named)

    def _call(self, function: Callable[..., Any], arguments: Any, named: Any) -> None:
        if not self.closed:
            self.account.metered(function, *arguments, **named)

    def listenUDP(self, port: int, protocol: DatagramProtocol, interface: str = "") -> Any:  # noqa: N802
        shaped = ShapedDatagramProtocol(self, protocol)
        opened = self.reactor.listenUDP(port, shaped, interface=interface)
        self.ports.append(opened)
        return opened

    def listenTCP(  # noqa: N802
        self, port: int, factory: Factory, backlog: int = 50, interface: str = ""
    ) -> Any:
        shaped = ShapedFactory(self, factory, self.account.view_streams)
        opened = self.reactor.listenTCP(port, shaped, backlog=backlog, interface=interface)
        self.ports.append(opened)
        return opened

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: ClientFactory,
        timeout: float = 30,
        bindAddress: tuple[str, int] | None = None,  # noqa: N803
    ) -> Any:
        """Opened from the member's own host, by which the far end knows it."""
        to_controller = host == self.network.topology.controller_place.host
        traffic = self.account.configuration if to_controller else self.account.view_streams
        shaped = ShapedConnector(self, factory, traffic, timeout)
        shaped.connect(host, port, bindAddress or (self.place.host, 0))
        return shaped

    def close(self) -> None:
        self.closed = True
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.abortConnection()
