"""Clients of a dispatcher under soak: a steady load by the protocol's rules, and clients that break them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.rule_checks import (
    ABANDONED,
    ACCEPTED,
    BUSY,
    FAILED,
    RunRecord,
    SubmittedMessage,
)
from laureldock.rehearsal.scripted_run import LIFETIME, QUEUE_CLASSES
from laureldock.rehearsal.soak.faults import ClientFault
from laureldock.rehearsal.soak.relay import reset

REPLY_TIMEOUT = 0.4  # seconds, by the platform's protocol
Address = tuple[str, int]
KEYS = 5  # number of ordering keys
NEW_CONNECTION_SHARE = 0.15  # fraction of the requests that open a connection though others are idle
# Messages of one key in a row, and the fraction of the messages with a key that begin such a row.
BURST, BURST_SHARE = 6, 0.15
CROWD = 400  # connections
NO_REPLY = ""  # the reply of a message whose connection was closed without one


def command(*words: bytes) -> bytes:
    """Return a RESP2 command."""
    parts = [b"$%d\r\n%s\r\n" % (len(word), word) for word in words]
    return b"*%d\r\n" % len(words) + b"".join(parts)


@dataclass(eq=False, slots=True)
class Connection:
    """A client's connection; `used`: it has had a reply."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


class SteadyLoad:
    """Submits messages at a steady rate, and records the replies.

    `may_lack_reply` returns whether a missing reply is no violation just now: the dispatcher is being killed,
    or its connections break.
    """

    def __init__(
        self,
        record: RunRecord,
        address: Address,
        seed: int,
        rate: float,
        destinations: list[str],
        may_lack_reply: Callable[[], bool],
    ) -> None:
        self.record, self.address, self.rate = record, address, rate
        self.destinations, self.may_lack_reply = destinations, may_lack_reply
        self.rng = random.Random(seed)
        self.idle: list[Connection] = []
        self.key_locks: dict[str, asyncio.Lock] = {}
        self.next_number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, length: float) -> None:
        """Submit open-loop for `length` seconds; returns once all messages have their replies."""
        loop = asyncio.get_running_loop()
        at = started_at = loop.time()
        while (at := at + self.rng.expovariate(self.rate)) < started_at + length:
            await asyncio.sleep(max(0.0, at - loop.time()))
            self.submit_random()
        await asyncio.gather(*self.tasks)

    def submit_random(self) -> None:
        """Draw one message, or several of one key, and submit them concurrently."""
        queue_class = self.rng.choices(list(QUEUE_CLASSES), [4, 3, 3])[0]
        key = f"k{self.rng.randrange(KEYS)}" if queue_class == "order" else ""
        destination = self.rng.choice(self.destinations)
        count = BURST if key and self.rng.random() < BURST_SHARE else 1
        for _ in range(count):
            task = asyncio.create_task(self.submit(queue_class, key, destination))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def submit(self, queue_class: str, key: str, destination: str) -> None:
        """Submit one message. Those of a key follow each other, each after the reply to the previous one."""
        lock = self.key_locks.setdefault(key, asyncio.Lock()) if key else contextlib.nullcontext()
        async with lock:
            now, number = time.time(), self.next_number
            name = f"m{number:05d}"
            self.next_number += 1
            message = SubmittedMessage(
                name, queue_class, QUEUE_CLASSES[queue_class], key, destination, now, now + LIFETIME, number
            )
            self.record.messages[name] = message
            fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
            request = command(b"MSG.PUT", key.encode() or b"0", name.encode(), fields.encode(), b"hello")
            message.reply = await self.request_reply(request)
            message.replied_at = time.time()

    async def request_reply(self, request: bytes) -> str:
        """Send a request; once more on a new connection, if an idle one was closed meanwhile."""
        for is_retry in (False, True):
            try:
                connection = await self.connection(new=is_retry)
            except OSError:
                return ABANDONED  # nobody listens: it was never submitted
            was_idle = connection.used
            reply = await self.exchange(connection, request)
            if reply is not None:
                return reply
            if not was_idle:
                break
        return ABANDONED if self.may_lack_reply() else NO_REPLY

    async def connection(self, new: bool) -> Connection:
        """Return an idle connection that is still open, or a new one. Raises OSError."""
        new = new or self.rng.random() < NEW_CONNECTION_SHARE
        while self.idle and not new:
            connection = self.idle.pop(self.rng.randrange(len(self.idle)))
            if not connection.reader.at_eof():
                return connection
            connection.writer.transport.abort()
        return Connection(*await asyncio.open_connection(*self.address))

    async def exchange(self, connection: Connection, request: bytes) -> str | None:
        """Return the kind of the reply; None if the connection ended without one."""
        try:
            connection.writer.write(request)
            async with asyncio.timeout(REPLY_TIMEOUT):
                line = await connection.reader.readline()
        except TimeoutError:
            connection.writer.transport.abort()
            return ABANDONED  # the client has given up
        except OSError:
            line = b""
        if not line.endswith(b"\r\n"):
            connection.writer.transport.abort()
            return None
        connection.used = True
        self.idle.append(connection)
        if line == b"+OK\r\n":
            return ACCEPTED
        return BUSY if line.startswith(b"-BUSY") else FAILED

    async def close(self) -> None:
        """Cancel all requests, and abort the idle connections."""
        for task in list(self.tasks):
            task.cancel()
        for connection in self.idle:
            connection.writer.transport.abort()


async def run_client_fault(kind: ClientFault, address: Address, seconds: float) -> None:
    """Run a client that violates the protocol, for `seconds` at most. What it submits is not recorded."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(seconds):
            await CLIENT_FAULTS[kind](address)


async def send_half_command(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$5\r\nhal")
    await reader.read()
    writer.close()


async def reset_after_commands(address: Address) -> None:
    for _ in range(10):
        _, writer = await asyncio.open_connection(*address)
        writer.write(command(b"PING"))
        reset(writer)
        await asyncio.sleep(0.02)


async def send_pipeline(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(command(b"PING") * 200)
    await reader.read()
    writer.close()


async def send_garbage(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(bytes(range(256)) * 8)
    await reader.read()
    writer.close()


async def stay_idle(address: Address) -> None:
    await hold_connections(address, 60)


async def open_crowd(address: Address) -> None:
    await hold_connections(address, CROWD)


async def hold_connections(address: Address, count: int) -> None:
    """Open `count` connections without sending a request, until the dispatcher closes them."""
    connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    try:
        for _ in range(count):
            connections.append(await asyncio.open_connection(*address))
        await asyncio.gather(*(reader.read() for reader, _ in connections))
    finally:
        for _, writer in connections:
            writer.transport.abort()


CLIENT_FAULTS = {
    ClientFault.HALF_COMMAND: send_half_command,
    ClientFault.RESET: reset_after_commands,
    ClientFault.PIPELINE: send_pipeline,
    ClientFault.GARBAGE: send_garbage,
    ClientFault.IDLE: stay_idle,
    ClientFault.CROWD: open_crowd,
}
