"""A relay before a stand-in receiver that resets, stalls and closes connections, and loses answers."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.soak.faults import Path

CALL_ID = re.compile(rb"X-Call-Id: (\S+)\r\n")
NO_LINGER = struct.pack("ii", 1, 0)  # a close resets
CLOSE_AFTER = 0.05  # seconds after an answer


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    link = writer.get_extra_info("socket")
    if link is not None and not writer.is_closing():
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


@dataclass(eq=False, slots=True)
class RelayedCall:
    """A call that went through a relay."""

    mail: str
    at: float  # before its first byte went on; wall clock, seconds since 1970
    answered: bool = False  # the answer went back


class Relay:
    """Listens on a port of its own, and passes on to `port`.

    `trouble` tells what it does just now. `calls` are those that went through, in turn.
    """

    def __init__(self, trouble: Callable[[], Path | None]) -> None:
        self.trouble = trouble
        self.port = 0
        self.calls: list[RelayedCall] = []
        self._to = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, to: int) -> None:
        """Listen. OSError."""
        self._to = to
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all."""
        if self._server:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._to)
        except (OSError, asyncio.CancelledError):
            reset(writer)  # as where nobody listens: nothing of the call is read
            self._tasks.discard(task)
            return
        link = Link(self, reader, writer, far_reader, far_writer)
        try:
            await link.run()
        except asyncio.CancelledError:
            pass  # by `stop`
        finally:
            reset(writer)
            reset(far_writer)
            self._tasks.discard(task)


class Link:
    """One connection through a relay, with one call at a time."""

    def __init__(
        self,
        relay: Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far_writer: asyncio.StreamWriter,
    ) -> None:
        self.relay = relay
        self.reader, self.writer = reader, writer
        self.far_reader, self.far_writer = far_reader, far_writer
        self.call: RelayedCall | None = None  # whose answer is awaited
        self.called_at = 0.0
        self.head = b""  # of the call, as far as it has come

    async def run(self) -> None:
        """Until either side closes."""
        ways = [asyncio.create_task(self._calls()), asyncio.create_task(self._answers())]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    async def _calls(self) -> None:
        while data := await self.reader.read(1 << 16):
            await self._stalled()
            if self.reader.at_eof() or self.reader.exception():
                return  # given up meanwhile: it never arrives
            self.called_at = self.called_at if self.head else time.time()
            self.head += data
            if self.call is None and (found := CALL_ID.search(self.head)):
                self.call = RelayedCall(found[1].decode(), self.called_at)
                self.relay.calls.append(self.call)
            self.far_writer.write(data)
            await self.far_writer.drain()
            if self.relay.trouble() is Path.RESET:
                return

    async def _answers(self) -> None:
        while data := await self.far_reader.read(1 << 16):
            await self._stalled()
            trouble = self.relay.trouble()
            if trouble in (Path.LOSE, Path.RESET) or self.writer.is_closing() or self.reader.at_eof():
                return
            self.writer.write(data)
            await self.writer.drain()
            if self.call:
                self.call.answered = True
            self.call, self.head = None, b""
            if trouble is Path.CLOSE:
                await asyncio.sleep(CLOSE_AFTER)
                return

    async def _stalled(self) -> None:
        while self.relay.trouble() is Path.STALL:
            await asyncio.sleep(0.02)
