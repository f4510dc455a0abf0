"""Clients of a soaked dispatcher: a steady load by the protocol's rules, and others that keep none."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.rule_checks import BUSY, FAILED, GONE, TAKEN, Account, Handed
from laureldock.rehearsal.scripted_run import CLASSES, LIFETIME
from laureldock.rehearsal.soak.faults import Client
from laureldock.rehearsal.soak.relay import reset

ANSWER_TIMEOUT = 0.4  # seconds, by the platform's protocol
Address = tuple[str, int]
KEYS = 5  # of messages whose order counts
NEW_CONNECTIONS = 0.15  # part of the requests that open one though others are at rest
BURST, BURSTS = 6, 0.15  # messages of one key in a row, and part of the keyed ones that begin such a row
CROWD = 400  # connections
CLOSED = ""  # the word of a message whose connection was closed with no answer


def command(*words: bytes) -> bytes:
    """A RESP2 command."""
    parts = [b"$%d\r\n%s\r\n" % (len(word), word) for word in words]
    return b"*%d\r\n" % len(words) + b"".join(parts)


@dataclass(eq=False, slots=True)
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used: bool = False


class Load:
    """Hands messages in at a steady rate, and accounts for what their clients hear.

    `excused` tells whether a request that gets no answer just now is nobody's fault: its dispatcher is being
    killed, or its connections break.
    """

    def __init__(
        self,
        account: Account,
        address: Address,
        seed: int,
        rate: float,
        destinations: list[str],
        excused: Callable[[], bool],
    ) -> None:
        self.account, self.address, self.rate = account, address, rate
        self.destinations, self.excused = destinations, excused
        self.chance = random.Random(seed)
        self.idle: list[Connection] = []
        self.locks: dict[str, asyncio.Lock] = {}
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, length: float) -> None:
        """Open-loop over so many seconds; returns when all have their answers."""
        loop = asyncio.get_running_loop()
        at = began = loop.time()
        while (at := at + self.chance.expovariate(self.rate)) < began + length:
            await asyncio.sleep(max(0.0, at - loop.time()))
            self.start_one()
        await asyncio.gather(*self.tasks)

    def start_one(self) -> None:
        """Draw one message, or a few of one key, and hand them in beside all else."""
        queue_class = self.chance.choices(list(CLASSES), [4, 3, 3])[0]
        key = f"k{self.chance.randrange(KEYS)}" if queue_class == "order" else ""
        destination = self.chance.choice(self.destinations)
        count = BURST if key and self.chance.random() < BURSTS else 1
        for _ in range(count):
            task = asyncio.create_task(self.hand_in(queue_class, key, destination))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def hand_in(self, queue_class: str, key: str, destination: str) -> None:
        """Hand one message in; a key's go one after another, each once the one before has its answer."""
        lock = self.locks.setdefault(key, asyncio.Lock()) if key else contextlib.nullcontext()
        async with lock:
            now, place = time.time(), self.number
            name = f"m{place:05d}"
            self.number += 1
            mail = Handed(
                name, queue_class, CLASSES[queue_class], key, destination, now, now + LIFETIME, place
            )
            self.account.handed[name] = mail
            fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
            request = command(b"MSG.PUT", key.encode() or b"0", name.encode(), fields.encode(), b"hello")
            mail.word = await self.ask(request)
            mail.answered = time.time()

    async def ask(self, request: bytes) -> str:
        """Send a request; once more on a new connection, where one at rest was closed under it."""
        for again in (False, True):
            try:
                connection = await self.connection(fresh=again)
            except OSError:
                return GONE  # nobody listens: it was never handed in
            rested = connection.used
            answer = await self.exchange(connection, request)
            if answer is not None:
                return answer
            if not rested:
                break
        return GONE if self.excused() else CLOSED

    async def connection(self, fresh: bool) -> Connection:
        """One at rest, for as long as it stays open, or a new one. OSError."""
        fresh = fresh or self.chance.random() < NEW_CONNECTIONS
        while self.idle and not fresh:
            connection = self.idle.pop(self.chance.randrange(len(self.idle)))
            if not connection.reader.at_eof():
                return connection
            connection.writer.transport.abort()
        return Connection(*await asyncio.open_connection(*self.address))

    async def exchange(self, connection: Connection, request: bytes) -> str | None:
        """The word of an answer; None where the connection ended with none."""
        try:
            connection.writer.write(request)
            async with asyncio.timeout(ANSWER_TIMEOUT):
                line = await connection.reader.readline()
        except TimeoutError:
            connection.writer.transport.abort()
            return GONE  # the client has given up
        except OSError:
            line = b""
        if not line.endswith(b"\r\n"):
            connection.writer.transport.abort()
            return None
        connection.used = True
        self.idle.append(connection)
        if line == b"+OK\r\n":
            return TAKEN
        return BUSY if line.startswith(b"-BUSY") else FAILED

    async def close(self) -> None:
        """Hang up."""
        for task in list(self.tasks):
            task.cancel()
        for connection in self.idle:
            connection.writer.transport.abort()


async def misbehave(kind: Client, address: Address, lasts: float) -> None:
    """A client that keeps no rule, for so many seconds at most. What it hands in is not accounted for."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(lasts):
            await BEHAVIOURS[kind](address)


async def half(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$5\r\nhal")
    await reader.read()
    writer.close()


async def leave(address: Address) -> None:
    for _ in range(10):
        _, writer = await asyncio.open_connection(*address)
        writer.write(command(b"PING"))
        reset(writer)
        await asyncio.sleep(0.02)


async def pipeline(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(command(b"PING") * 200)
    await reader.read()
    writer.close()


async def garbage(address: Address) -> None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(bytes(range(256)) * 8)
    await reader.read()
    writer.close()


async def rest(address: Address) -> None:
    await stay(address, 60)


async def crowd(address: Address) -> None:
    await stay(address, CROWD)


async def stay(address: Address, count: int) -> None:
    """Connections that ask nothing, open until the other side ends them."""
    opened: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
    try:
        for _ in range(count):
            opened.append(await asyncio.open_connection(*address))
        await asyncio.gather(*(reader.read() for reader, _ in opened))
    finally:
        for _, writer in opened:
            writer.transport.abort()


BEHAVIOURS = {
    Client.HALF: half,
    Client.LEAVE: leave,
    Client.PIPELINE: pipeline,
    Client.GARBAGE: garbage,
    Client.REST: rest,
    Client.CROWD: crowd,
}
