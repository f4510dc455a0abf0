"""A relay before each member: streams and datagrams of members, calls to receivers, each way by itself.

Members send everything of the fleet from their own address, so the relay before a member knows each sender by
its source address. Cut means nothing passes, as a pulled cable does it: no refusal, no reset; streams that
are open stand still until they are given up. What is spoilt is drawn by a seed.
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
    """From one to another. Times are seconds, `rate` bytes a second; nought: any."""

    cuts: int = 0
    loss: float = 0.0
    doubled: float = 0.0
    delay: float = 0.0
    rate: int = 0
    free: float = 0.0  # when what was sent so far has passed at that rate


@dataclass(slots=True)
class Network:
    seed: int
    links: dict[Pair, Link] = field(default_factory=dict)
    by_host: dict[str, str] = field(default_factory=dict)  # names by source address
    passed: int = 0  # bytes
    chance: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self.chance.seed(self.seed)

    def link(self, sender: str, receiver: str) -> Link:
        return self.links.setdefault((sender, receiver), Link())

    def late(self, link: Link, size: int) -> float:
        """Seconds for which so many bytes are held back."""
        wait = link.delay * self.chance.random()
        if link.rate:
            now = asyncio.get_running_loop().time()
            link.free = max(link.free, now) + size / link.rate
            wait += link.free - now
        return wait


class Datagrams(asyncio.DatagramProtocol):
    """`to` is where the member itself listens."""

    def __init__(self, network: Network, name: str, to: tuple[str, int]) -> None:
        self.network, self.name, self.to = network, name, to
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        network = self.network
        link = network.link(network.by_host.get(addr[0], addr[0]), self.name)
        for _ in range(2 if network.chance.random() < link.doubled else 1):
            if link.cuts or network.chance.random() < link.loss:
                continue
            network.passed += len(data)
            wait = network.late(link, len(data))
            if wait:
                asyncio.get_running_loop().call_later(wait, self.send, data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, self.to)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there just now: as a datagram to a machine that is off."""


class Relay:
    """Stands at `at` for what listens at `to`; `name` is the receiving side of its links.

    `sender` is the other side where only one uses this relay; else it is known by its source address.
    """

    def __init__(
        self, network: Network, name: str, at: tuple[str, int], to: tuple[str, int], sender: str = ""
    ) -> None:
        self.network, self.name, self.at, self.to, self.sender = network, name, at, to, sender
        self.server: asyncio.Server | None = None
        self.datagrams: asyncio.DatagramTransport | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, datagrams: bool = True) -> None:
        self.server = await asyncio.start_server(self.accept, *self.at)
        if datagrams:
            made = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: Datagrams(self.network, self.name, self.to), local_addr=self.at
            )
            self.datagrams = made[0]

    async def close(self) -> None:
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
        host = writer.get_extra_info("peername")[0]
        sender = self.sender or self.network.by_host.get(host, host)
        there = self.network.link(sender, self.name)
        back = self.network.link(self.name, sender)
        try:
            while there.cuts or back.cuts:  # as a connect that is never answered
                await asyncio.sleep(0.02)
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            self.tasks.discard(task)
            return
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, far_writer, there))
                group.create_task(self.pump(far_reader, writer, back))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            far_writer.transport.abort()
            self.tasks.discard(task)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        while data := await reader.read(65536):
            wait = self.network.late(link, len(data))
            if link.loss:  # what a stream loses comes again, later
                wait += 0.2 if self.network.chance.random() < link.loss else 0.0
            if wait:
                await asyncio.sleep(wait)
            while link.cuts:
                await asyncio.sleep(0.02)
            self.network.passed += len(data)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
