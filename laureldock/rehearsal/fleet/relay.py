"""Relays that impair links: streams and datagrams between members, and calls to receivers.

Each direction of a link is impaired separately. Members send all fleet traffic from their own address, so the
relay in front of a member identifies each sender by its source address. A cut behaves as an unplugged cable:
no refusal and no reset; open streams stall until an end gives up. Random impairments are drawn from a seed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass, field
from typing import Any

Pair = tuple[str, str]


@dataclass(slots=True)
class Link:
    """Impairments of one directed link. Times are seconds; `rate` is bytes per second, 0 for no limit."""

    cuts: int = 0  # number of active faults that cut it
    loss: float = 0.0
    duplicated: float = 0.0
    delay: float = 0.0
    rate: int = 0
    free_at: float = 0.0  # when everything sent so far has passed at that rate


@dataclass(slots=True)
class RelayNetwork:
    """The links between all members and receivers of a rehearsal."""

    seed: int
    links: dict[Pair, Link] = field(default_factory=dict)
    names_by_host: dict[str, str] = field(default_factory=dict)  # names by source host
    bytes_passed: int = 0
    rng: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)

    def link(self, sender: str, receiver: str) -> Link:
        """Return the link from one member or receiver to another."""
        return self.links.setdefault((sender, receiver), Link())

    def transit_delay(self, link: Link, size: int) -> float:
        """Return the seconds for which `size` bytes are delayed on a link."""
        wait_seconds = link.delay * self.rng.random()
        if link.rate:
            now = asyncio.get_running_loop().time()
            link.free_at = max(link.free_at, now) + size / link.rate
            wait_seconds += link.free_at - now
        return wait_seconds


class DatagramRelay(asyncio.DatagramProtocol):
    """Relays datagrams to a member, which listens at `target_address`."""

    def __init__(self, network: RelayNetwork, name: str, target_address: tuple[str, int]) -> None:
        self.network, self.name, self.target_address = network, name, target_address
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        network = self.network
        link = network.link(network.names_by_host.get(addr[0], addr[0]), self.name)
        for _ in range(2 if network.rng.random() < link.duplicated else 1):
            if link.cuts or network.rng.random() < link.loss:
                continue
            network.bytes_passed += len(data)
            wait_seconds = network.transit_delay(link, len(data))
            if wait_seconds:
                asyncio.get_running_loop().call_later(wait_seconds, self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.target_address)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nothing listens at the target: the datagram is lost, as one to a host that is down."""


class Relay:
    """Listens at `listen_address` and relays to `target_address`; `name` is the receiving end of its links.

    `sender` is the sending end if only one process uses this relay; by default it is identified by its source
    address.
    """

    def __init__(
        self,
        network: RelayNetwork,
        name: str,
        listen_address: tuple[str, int],
        target_address: tuple[str, int],
        sender: str = "",
    ) -> None:
        self.network, self.name, self.listen_address, self.target_address, self.sender = (
            network,
            name,
            listen_address,
            target_address,
            sender,
        )
        self.server: asyncio.Server | None = None
        self.datagrams: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, datagrams: bool = True) -> None:
        """Listen for streams and, with `datagrams`, for datagrams. Raises OSError."""
        self.server = await asyncio.start_server(self.accept, *self.listen_address)
        if datagrams:
            endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: DatagramRelay(self.network, self.name, self.target_address),
                local_addr=self.listen_address,
            )
            self.datagrams = endpoint[0]

    async def close(self) -> None:
        """Stop listening, and close all streams."""
        if self.datagrams:
            self.datagrams.close()
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        source_host = writer.get_extra_info("peername")[0]
        sender = self.sender or self.network.names_by_host.get(source_host, source_host)
        forward_link = self.network.link(sender, self.name)
        return_link = self.network.link(self.name, sender)
        try:
            while forward_link.cuts or return_link.cuts:  # as a connection attempt without a response
                await asyncio.sleep(0.02)
            target_reader, target_writer = await asyncio.open_connection(*self.target_address)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self.tasks.discard(task)
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward(reader, target_writer, forward_link))
                group.create_task(self.forward(target_reader, writer, return_link))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            target_writer.transport.abort()
            self.tasks.discard(task)

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        while data := await reader.read(65536):
            wait_seconds = self.network.transit_delay(link, len(data))
            if link.loss:  # a lost segment of a stream is retransmitted later
                wait_seconds += 0.2 if self.network.rng.random() < link.loss else 0.0
            if wait_seconds:
                await asyncio.sleep(wait_seconds)
            while link.cuts:
                await asyncio.sleep(0.02)
            self.network.bytes_passed += len(data)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
