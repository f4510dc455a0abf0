"""Crowds of clients that make a dispatcher hold memory for them: slow, half-finished or unread requests.

They stand in for the bad clients of the platform's protocol. Every loop is bounded in count and time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from laureldock.rehearsal.soak.clients import Address, command

DRIP_INTERVAL = 0.25  # seconds between two single bytes of a slow client
LARGE_WORD, LARGE_BODY = 65_000, 64_000  # bytes
SMALL_WORDS = 1020  # words of one byte
FIELD_COUNT = 8000  # of a list of names and values
UNREAD_ECHO = 60_000  # bytes of a reply that is not read
# Seconds between two crowds of a soak, on average, and the longest time of one.
MEAN_PAUSE, MAX_CROWD_TIME = 2.5, 5.0
SOAK_CROWD = 240  # clients; a process that hands over has room for a quarter of its 1,024 descriptors
CONNECT_BATCH = 64  # connections opened side by side, below any listen backlog


class CrowdForm(StrEnum):
    """What each client of a crowd sends before it writes on slowly, or reads nothing."""

    SILENT = "nothing"
    FEW_BYTES = "the start of a head"
    HALF_BODY = "a large body, not whole"
    LARGE_WORDS = "two large words, the third not whole"
    MANY_FIELDS = "a list of many short fields, and half a body"
    SMALL_WORDS = "a command of many words of one byte, not whole"
    BEHIND_COMMAND = "a whole command, and half a large one behind it"
    UNREAD_REPLY = "requests for large replies that are not read"


def opening_bytes(form: CrowdForm, number: int = 0) -> bytes:
    """The bytes that client `number` of a crowd sends at once."""
    head = b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n"
    message = head + b"$8\r\ns%07d\r\n" % number
    fields = b"c=notice,d=8000,dest=1"
    match form:
        case CrowdForm.SILENT:
            return b""
        case CrowdForm.FEW_BYTES:
            return head + b"$8\r\ns"
        case CrowdForm.HALF_BODY:
            return message + b"$%d\r\n%s\r\n$%d\r\n" % (len(fields), fields, 65_536) + b"x" * LARGE_WORD
        case CrowdForm.LARGE_WORDS:
            word = b"$%d\r\n%s\r\n" % (LARGE_WORD, b"x" * LARGE_WORD)
            return b"*5\r\n" + word + word + b"$1000\r\n"
        case CrowdForm.MANY_FIELDS:
            fields += b",a=1" * FIELD_COUNT
            return message + b"$%d\r\n%s\r\n$%d\r\n" % (len(fields), fields, LARGE_BODY) + b"x" * 40_000
        case CrowdForm.SMALL_WORDS:
            return b"*%d\r\n" % (SMALL_WORDS + 4) + b"$1\r\nx\r\n" * SMALL_WORDS
        case CrowdForm.BEHIND_COMMAND:
            whole = command(b"ECHO", b"x" * 1000)
            return (
                whole + message + b"$%d\r\n%s\r\n$%d\r\n" % (len(fields), fields, LARGE_BODY) + b"x" * 50_000
            )
        case CrowdForm.UNREAD_REPLY:
            return command(b"ECHO", b"x" * UNREAD_ECHO) * 8


@dataclass(eq=False, slots=True)
class SlowClient:
    """One client of a crowd, and what it got. Times are seconds from its connect."""

    form: CrowdForm
    received: bytes = b""  # the first bytes that it was sent
    answered_after: float | None = None  # the first byte
    ended_after: float | None = None  # the close by the dispatcher
    connect_failed: bool = False

    @property
    def settled_after(self) -> float | None:
        """When it had its error or the close, whichever came first."""
        times = [self.ended_after, self.answered_after if self.received.startswith(b"-") else None]
        return min((each for each in times if each is not None), default=None)

    async def run(self, address: Address, number: int, until: float) -> None:
        """Connect, send the opening, and go on byte by byte until `until` (monotonic clock)."""
        try:
            async with asyncio.timeout_at(until):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            self.connect_failed = True
            return
        started_at = time.monotonic()
        receiving = asyncio.create_task(self._receive(reader, started_at))
        try:
            if self.form is CrowdForm.UNREAD_REPLY:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(opening_bytes(self.form, number))
            while not receiving.done() and time.monotonic() < until:
                await asyncio.wait([receiving], timeout=min(DRIP_INTERVAL, until - time.monotonic()))
                if self.form not in (CrowdForm.SILENT, CrowdForm.UNREAD_REPLY) and not writer.is_closing():
                    writer.write(b"x")
        finally:
            receiving.cancel()
            await asyncio.gather(receiving, return_exceptions=True)
            writer.transport.abort()

    async def _receive(self, reader: asyncio.StreamReader, started_at: float) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                if self.answered_after is None:
                    self.answered_after = time.monotonic() - started_at
                self.received = (self.received + data)[:256]
        self.ended_after = time.monotonic() - started_at


@dataclass(frozen=True, slots=True)
class ScheduledCrowd:
    """A crowd of a soak. Times are seconds from the start of the load."""

    since: float
    until: float
    forms: tuple[CrowdForm, ...]


def draw_crowds(seed: int, length: float) -> list[ScheduledCrowd]:
    """The crowds of one dispatcher over `length` seconds; drawn apart from its other faults."""
    rng = random.Random(f"crowds {seed}")
    crowds, since = [], 1.0
    while (since := since + rng.uniform(0.5, 2 * MEAN_PAUSE)) < length:
        until = since + rng.uniform(1.0, MAX_CROWD_TIME)
        forms = tuple(rng.sample(list(CrowdForm), rng.choice([1, 3, len(CrowdForm)])))
        crowds.append(ScheduledCrowd(since, until, forms))
        since = until
    return crowds


@dataclass(eq=False, slots=True)
class Crowd:
    """Clients that connect at once, each in one of the forms in turn."""

    address: Address
    forms: Sequence[CrowdForm]
    count: int
    clients: list[SlowClient] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Run all clients for `seconds`, and close those that are still open."""
        until = asyncio.get_running_loop().time() + seconds
        self.clients = [SlowClient(self.forms[number % len(self.forms)]) for number in range(self.count)]
        tasks = []
        for number, client in enumerate(self.clients):
            tasks.append(asyncio.create_task(client.run(self.address, number, until)))
            if number % CONNECT_BATCH == CONNECT_BATCH - 1:
                await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
