"""A relay in front of a stub receiver that resets, stalls and closes connections, and loses responses."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.soak.faults import ConnectionFault

CALL_ID = re.compile(rb"X-Call-Id: (\S+)\r\n")
NO_LINGER = struct.pack("ii", 1, 0)  # a close sends a reset
CLOSE_DELAY = 0.05  # seconds after a response


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


@dataclass(eq=False, slots=True)
class RelayedCall:
    """A call that went through a relay."""

    message: str
    relayed_at: float  # before its first byte was passed on; wall clock, seconds since 1970
    response_passed: bool = False  # the response was passed back


class Relay:
    """Listens on its own port, and passes bytes on to the port of a receiver.

    `current_fault` returns the fault that is active now. `calls` are those that went through, in order.
    """

    def __init__(self, current_fault: Callable[[], ConnectionFault | None]) -> None:
        self.current_fault = current_fault
        self.port = 0
        self.calls: list[RelayedCall] = []
        self._receiver_port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, receiver_port: int) -> None:
        """Listen. Raises OSError."""
        self._receiver_port = receiver_port
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all connections, and stop listening."""
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
            receiver_reader, receiver_writer = await asyncio.open_connection("127.0.0.1", self._receiver_port)
        except (OSError, asyncio.CancelledError):
            reset(writer)  # as if nobody listened: nothing of the call is read
            self._tasks.discard(task)
            return
        connection = RelayedConnection(self, reader, writer, receiver_reader, receiver_writer)
        try:
            await connection.run()
        except asyncio.CancelledError:
            pass  # by `stop`
        finally:
            reset(writer)
            reset(receiver_writer)
            self._tasks.discard(task)


class RelayedConnection:
    """One connection through a relay, with one call at a time."""

    def __init__(
        self,
        relay: Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        receiver_reader: asyncio.StreamReader,
        receiver_writer: asyncio.StreamWriter,
    ) -> None:
        self.relay = relay
        self.reader, self.writer = reader, writer
        self.receiver_reader, self.receiver_writer = receiver_reader, receiver_writer
        self.call: RelayedCall | None = None  # the call in flight
        self.called_at = 0.0
        self.head = b""  # of the call, as far as it has arrived

    async def run(self) -> None:
        """Pass bytes on until either side closes."""
        directions = [
            asyncio.create_task(self._relay_calls()),
            asyncio.create_task(self._relay_responses()),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _relay_calls(self) -> None:
        while data := await self.reader.read(1 << 16):
            await self._wait_for_stall()
            if self.reader.at_eof() or self.reader.exception():
                return  # closed by the caller meanwhile: the call never arrives
            self.called_at = self.called_at if self.head else time.time()
            self.head += data
            if self.call is None and (found := CALL_ID.search(self.head)):
                self.call = RelayedCall(found[1].decode(), self.called_at)
                self.relay.calls.append(self.call)
            self.receiver_writer.write(data)
            await self.receiver_writer.drain()
            if self.relay.current_fault() is ConnectionFault.RESET:
                return

    async def _relay_responses(self) -> None:
        while data := await self.receiver_reader.read(1 << 16):
            await self._wait_for_stall()
            fault = self.relay.current_fault()
            if (
                fault in (ConnectionFault.LOSE_RESPONSES, ConnectionFault.RESET)
                or self.writer.is_closing()
                or self.reader.at_eof()
            ):
                return
            self.writer.write(data)
            await self.writer.drain()
            if self.call:
                self.call.response_passed = True
            self.call, self.head = None, b""
            if fault is ConnectionFault.CLOSE:
                await asyncio.sleep(CLOSE_DELAY)
                return

    async def _wait_for_stall(self) -> None:
        while self.relay.current_fault() is ConnectionFault.STALL:
            await asyncio.sleep(0.02)
