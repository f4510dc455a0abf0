"""Traffic shaping for a hollow member: a reactor that applies the network model and counts the traffic.

What a hollow member sends is delayed or dropped before it is written. What it receives from a process without
a network model (a real dispatcher or the controller) is delayed or dropped after it has been read.
Connections open one round-trip time late, and fail while their link is cut; streams that are open then stall.
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

from laureldock.rehearsal.scale.accounting import ResourceUsage, Traffic
from laureldock.rehearsal.scale.network import Network
from laureldock.rehearsal.scale.topology import MemberLocation

CUT_POLL_INTERVAL = 0.1  # seconds after which the link of a stalled stream is checked again


class ShapedDatagrams:
    """Transport of a datagram protocol that shapes what it sends."""

    def __init__(self, reactor: MemberReactor, port: Any) -> None:
        self.reactor, self.port = reactor, port

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.reactor.usage.view_datagrams.count_sent(len(data))
        receiver = self.reactor.location_of_host(address[0])
        if receiver is None:
            return
        delay = self.reactor.network.datagram_delay(self.reactor.location, receiver)
        if delay is not None:
            self.reactor.callLater(delay, self.port.write, data, address)


class ShapedDatagramProtocol(DatagramProtocol):
    """Wraps a member's protocol: counts datagrams, and delays those whose sender has no network model."""

    noisy = False

    def __init__(self, reactor: MemberReactor, inner: DatagramProtocol) -> None:
        self.reactor, self.inner = reactor, inner

    def startProtocol(self) -> None:  # noqa: N802
        self.inner.transport = cast(IUDPTransport, ShapedDatagrams(self.reactor, self.transport))
        self.inner.startProtocol()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        reactor = self.reactor
        sender = reactor.location_of_host(addr[0])
        if reactor.closed or sender is None:
            return
        if not sender.real:
            self.deliver(datagram, addr)
            return
        delay = reactor.network.datagram_delay(sender, reactor.location)
        if delay is not None:
            reactor.callLater(delay, self.deliver, datagram, addr)

    def deliver(self, datagram: bytes, addr: Any) -> None:
        self.reactor.usage.view_datagrams.count_received(len(datagram))
        self.reactor.usage.measure_call(self.inner.datagramReceived, datagram, addr)


class StreamDelayQueue:
    """One direction of a stream: delivers chunks in order after their delay, none while the link is cut."""

    def __init__(
        self,
        reactor: MemberReactor,
        sender: MemberLocation,
        receiver: MemberLocation,
        deliver: Callable[[Any], None],
    ) -> None:
        self.reactor, self.sender, self.receiver, self.deliver = reactor, sender, receiver, deliver
        self.chunks: deque[tuple[float, Any]] = deque()
        self.scheduled = False

    def put(self, chunk: Any) -> None:
        now = self.reactor.seconds()
        release = now + self.reactor.network.stream_delay(self.sender, self.receiver)
        if self.chunks:
            release = max(release, self.chunks[-1][0])
        self.chunks.append((release, chunk))
        self._schedule(release - now)

    def _schedule(self, delay: float) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.reactor.callLater(max(0.0, delay), self._release)

    def _release(self) -> None:
        self.scheduled = False
        if self.reactor.network.is_cut(self.sender, self.receiver):
            self._schedule(CUT_POLL_INTERVAL)
            return
        now = self.reactor.seconds()
        while self.chunks and self.chunks[0][0] <= now + 1e-4:
            self.deliver(self.chunks.popleft()[1])
        if self.chunks:
            self._schedule(self.chunks[0][0] - now)


CLOSE = object()  # takes the place of a chunk: close the connection after all data written before


class ShapedStream(ProtocolWrapper):
    """A hollow member's end of a stream."""

    transport: Any
    factory: Any
    outbound: StreamDelayQueue | None = None
    inbound: StreamDelayQueue | None = None

    def makeConnection(self, transport: Any) -> None:  # noqa: N802
        reactor: MemberReactor = self.factory.reactor
        peer = reactor.location_of_host(transport.getPeer().host)
        if peer is None or reactor.closed or reactor.network.is_cut(peer, reactor.location):
            transport.abortConnection()
            return
        self.outbound = StreamDelayQueue(reactor, reactor.location, peer, self._write_chunk)
        if peer.real:
            self.inbound = StreamDelayQueue(reactor, peer, reactor.location, self._receive)
        reactor.streams.add(self)
        reactor.usage.measure_call(super().makeConnection, transport)

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

    def _write_chunk(self, chunk: Any) -> None:
        if not self.connected:
            return
        if chunk is CLOSE:
            self.transport.loseConnection()
        else:
            self.transport.write(chunk)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.inbound:
            self.inbound.put(data)
        else:
            self._receive(data)

    def _receive(self, chunk: bytes | Failure) -> None:
        reactor: MemberReactor = self.factory.reactor
        if isinstance(chunk, Failure):
            reactor.streams.discard(self)
            reactor.usage.measure_call(super().connectionLost, chunk)
        elif not reactor.closed and self.connected:
            self.factory.traffic.count_received(len(chunk))
            reactor.usage.measure_call(self.wrappedProtocol.dataReceived, chunk)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.outbound is None:  # the wrapped protocol was never connected
            return
        self.outbound.chunks.clear()
        if self.inbound and self.inbound.chunks:
            self.inbound.put(reason)  # after the data received before
        else:
            self._receive(reason)


class ShapedFactory(WrappingFactory):
    """Wraps a member's factory."""

    protocol = ShapedStream
    noisy = False

    def __init__(self, reactor: MemberReactor, inner: Factory, traffic: Traffic) -> None:
        super().__init__(inner)
        self.reactor, self.traffic = reactor, traffic

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.reactor.closed:
            self.reactor.usage.measure_call(super().clientConnectionFailed, connector, reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if not self.reactor.closed:
            self.reactor.usage.measure_call(super().clientConnectionLost, connector, reason)


class ShapedConnector(ShapedFactory):
    """Opens one stream a round-trip time late, or fails after the timeout; the result of `connectTCP`."""

    def __init__(
        self, reactor: MemberReactor, inner: ClientFactory, traffic: Traffic, timeout: float
    ) -> None:
        super().__init__(reactor, inner, traffic)
        self.timeout = timeout
        self.connector: Any = None
        self.call: Any = None

    def connect(self, host: str, port: int, bind_address: tuple[str, int]) -> None:
        reactor = self.reactor
        receiver = reactor.location_of_host(host)
        if receiver is None or reactor.network.is_cut(reactor.location, receiver):
            self.call = reactor.callLater(self.timeout, self._fail, ConnectTimeoutError())
            return
        round_trip = 2 * reactor.network.stream_delay(reactor.location, receiver)
        self.call = reactor.callLater(round_trip, self._connect, host, port, bind_address)

    def _connect(self, host: str, port: int, bind_address: tuple[str, int]) -> None:
        self.connector = self.reactor.reactor.connectTCP(
            host, port, self, timeout=self.timeout, bindAddress=bind_address
        )

    def _fail(self, error: Exception) -> None:
        self.clientConnectionFailed(self, Failure(error))

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Report this object as the connector, since it is the one that the caller has."""
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
    """The subset of Twisted's reactor that the components of a dispatcher use, for one hollow member.

    `close` simulates a crash: no timer fires any more, sockets are closed, nothing more is sent.
    """

    def __init__(
        self, reactor: Any, network: Network, location: MemberLocation, usage: ResourceUsage
    ) -> None:
        self.reactor, self.network, self.location, self.usage = reactor, network, location, usage
        self.location_of_host = network.topology.location_of_host
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
            self.usage.measure_call(function, *arguments, **named)

    def listenUDP(self, port: int, protocol: DatagramProtocol, interface: str = "") -> Any:  # noqa: N802
        shaped = ShapedDatagramProtocol(self, protocol)
        opened = self.reactor.listenUDP(port, shaped, interface=interface)
        self.ports.append(opened)
        return opened

    def listenTCP(  # noqa: N802
        self, port: int, factory: Factory, backlog: int = 50, interface: str = ""
    ) -> Any:
        shaped = ShapedFactory(self, factory, self.usage.view_streams)
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
        """Connect from the member's own address, by which the other side identifies it."""
        to_controller = host == self.network.topology.controller_location.host
        traffic = self.usage.configuration if to_controller else self.usage.view_streams
        shaped = ShapedConnector(self, factory, traffic, timeout)
        shaped.connect(host, port, bindAddress or (self.location.host, 0))
        return shaped

    def close(self) -> None:
        self.closed = True
        for port in self.ports:
            port.stopListening()
        for stream in list(self.streams):
            stream.abortConnection()
