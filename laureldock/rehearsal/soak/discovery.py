"""A stand-in for the platform's agent: the list of receivers, watches of it, and notices, over HTTP.

Written from the platform's protocol page.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11

from laureldock.rehearsal.soak.faults import Listing

READY, DRAINING = "Ready", "Terminating"
NOTICES_PATH = "/v1/notices"
TOLD_AFTER = 6.0  # seconds after which a change counts as told, whether it arrived or not
FIRST_VERSION = 40


@dataclass(slots=True)
class Host:
    """A receiver as the list has it."""

    name: str
    port: int
    destination: int
    rate: float  # calls a second
    health: str = READY
    version: int = FIRST_VERSION  # of its last change

    def encode(self) -> dict[str, Any]:
        """Its entry in an answer."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "a", "class": "partner",
            "block": self.destination, "health": self.health, "share": self.rate, "born_ms": 0,
        }  # fmt: skip


class Discovery:
    """Serves the list to all processes of one dispatcher, and takes their notices.

    `trouble` tells what is wrong now; `on_notice` takes the message and the outcome of each notice, as often
    as it comes.
    """

    def __init__(self, trouble: Callable[[], Listing | None], on_notice: Callable[[str, str], None]) -> None:
        self._trouble, self._on_notice = trouble, on_notice
        self._version = FIRST_VERSION
        self._hosts: dict[str, Host] = {}
        self._changed = asyncio.Event()
        self._written: dict[int, float] = {}  # by version: when it was first written to a process
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, hosts: list[Host]) -> None:
        """Listen. OSError."""
        self._hosts = {host.name: host for host in hosts}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def set_health(self, name: str, health: str) -> int:
        """Change one entry; the version of that change."""
        self._version += 1
        self._hosts[name].health, self._hosts[name].version = health, self._version
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._version

    async def told(self, version: int) -> float:
        """Wait until a change counts as told; when that was, by the wall clock."""
        until = time.time() + TOLD_AFTER
        while time.time() < until:
            if written := [at for each, at in self._written.items() if each >= version]:
                return min(written)
            await asyncio.sleep(0.01)
        return until

    def whole(self) -> dict[str, Any]:
        """The whole list, as a process is given it at its start."""
        return {
            "seq": self._version,
            "whole": True,
            "hosts": [each.encode() for each in self._hosts.values()],
        }

    def _since(self, version: int) -> dict[str, Any]:
        hosts = [each.encode() for each in self._hosts.values() if each.version > version]
        return {"seq": self._version, "whole": False, "hosts": hosts}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        # The process went or was killed, or the play is over.
        with contextlib.suppress(OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            await self._converse(reader, writer)
        self._connections.discard(writer)
        writer.transport.abort()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire, request, body = h11.Connection(h11.SERVER), None, b""
        while True:
            event = wire.next_event()
            if event is h11.NEED_DATA:
                wire.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request:
                answer = await self._answer(wire, request, body)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                wire.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _answer(self, wire: h11.Connection, request: h11.Request, body: bytes) -> bytes | None:
        """What is written; None: the connection ends without."""
        url = urlsplit(request.target.decode())
        if url.path == NOTICES_PATH:
            return self._take_notices(wire, body)
        query = parse_qs(url.query)
        news = self.whole()
        if "after" in query:
            news = await self._watch(int(query["after"][0]), int(query["wait_ms"][0]) / 1000)
        trouble = self._trouble()
        if trouble is Listing.SILENT:
            await asyncio.sleep(TOLD_AFTER)
            return None
        if trouble is Listing.ERROR:
            return encode(wire, 500, b"")
        answer = encode(wire, 200, json.dumps(news).encode())
        if trouble is Listing.CUT:
            return None
        self._written.setdefault(news["seq"], time.time())
        return answer

    async def _watch(self, version: int, wait: float) -> dict[str, Any]:
        if version >= self._version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait)
        return self._since(version)

    def _take_notices(self, wire: h11.Connection, body: bytes) -> bytes | None:
        for line in body.splitlines():
            told = json.loads(line)
            self._on_notice(told["message"], told["outcome"])
        if self._trouble() is Listing.NOTICES_LOST:
            return None
        return encode(wire, 204, b"")


def encode(wire: h11.Connection, status: int, body: bytes) -> bytes:
    """A whole answer."""
    headers = [] if status == 204 else [("Content-Length", str(len(body)))]
    parts = [wire.send(h11.Response(status_code=status, headers=headers))]
    if body:
        parts.append(wire.send(h11.Data(data=body)))
    parts.append(wire.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
