"""A stub of the platform's agent: the endpoint list, watches of it, and notices, over HTTP.

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

from laureldock.rehearsal.response_repeats import ResponseRepeater, ResponseRepeats, StubConnection
from laureldock.rehearsal.soak.faults import ListFault

READY, DRAINING = "Ready", "Terminating"
NOTICES_PATH = "/v1/notices"
UPDATE_TIMEOUT = 6.0  # seconds after which a list update counts as sent, whether it arrived or not
FIRST_VERSION = 40


@dataclass(slots=True)
class Endpoint:
    """A receiver's entry in the endpoint list."""

    name: str
    port: int
    destination: int
    rate: float  # calls per second
    health: str = READY
    version: int = FIRST_VERSION  # of its last change

    def encode(self) -> dict[str, Any]:
        """Return the entry in the format of the agent's responses."""
        return {
            "host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "a", "class": "partner",
            "block": self.destination, "health": self.health, "share": self.rate, "born_ms": 0,
        }  # fmt: skip


class StubDiscovery:
    """Serves the endpoint list to all processes of one dispatcher, and receives their notices.

    `current_fault` returns the fault that is active now; `on_notice` gets the message and the outcome of each
    notice, each time the notice is sent; `repeats`: responses are sent once more.
    """

    def __init__(
        self,
        current_fault: Callable[[], ListFault | None],
        on_notice: Callable[[str, str], None],
        repeats: ResponseRepeats | None = None,
        seed: int = 0,
    ) -> None:
        self._current_fault, self._on_notice = current_fault, on_notice
        self.repeater = ResponseRepeater("platform", repeats, seed)
        self._connection_count = 0
        self._version = FIRST_VERSION
        self._endpoints: dict[str, Endpoint] = {}
        self._changed = asyncio.Event()
        self._first_sent_at: dict[int, float] = {}  # by version, in seconds of the wall clock
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, endpoints: list[Endpoint]) -> None:
        """Listen. Raises OSError."""
        self._endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()

    def set_health(self, name: str, health: str) -> int:
        """Change one entry, and return the version of that change."""
        self._endpoints[name].health = health
        return self.put(self._endpoints[name])

    def put(self, *endpoints: Endpoint) -> int:
        """Add entries or replace those of their names, in one change of the list; return its version."""
        self._version += 1
        for endpoint in endpoints:
            endpoint.version = self._version
            self._endpoints[endpoint.name] = endpoint
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._version

    async def wait_sent(self, version: int) -> float:
        """Wait until an update counts as sent, and return that time, in seconds of the wall clock."""
        until = time.time() + UPDATE_TIMEOUT
        while time.time() < until:
            if sent := [at for each, at in self._first_sent_at.items() if each >= version]:
                return min(sent)
            await asyncio.sleep(0.01)
        return until

    def full_list(self) -> dict[str, Any]:
        """Return the full list, as a process gets it at startup."""
        return {
            "seq": self._version,
            "whole": True,
            "hosts": [each.encode() for each in self._endpoints.values()],
        }

    def _update_since(self, version: int) -> dict[str, Any]:
        endpoints = [each.encode() for each in self._endpoints.values() if each.version > version]
        return {"seq": self._version, "whole": False, "hosts": endpoints}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        # The process ended or was killed, or the run has ended.
        with contextlib.suppress(OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            await self._serve_requests(reader, writer)
        self._connections.discard(writer)
        writer.transport.abort()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connection_count += 1
        connection = StubConnection(self._connection_count, writer)
        http, request, body = h11.Connection(h11.SERVER), None, b""
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request, body, connection.request_open = event, b"", True
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and request:
                response = await self._respond(http, request, body)
                if response is None:
                    return
                writer.write(response)
                connection.request_open = False
                self.repeater.response_sent(connection, int(response.split()[1]), response)
                await writer.drain()
                http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _respond(self, http: h11.Connection, request: h11.Request, body: bytes) -> bytes | None:
        """Return the encoded response; None if the connection is to end without one."""
        url = urlsplit(request.target.decode())
        if url.path == NOTICES_PATH:
            return self._receive_notices(http, body)
        query = parse_qs(url.query)
        update = self.full_list()
        if "after" in query:
            update = await self._watch(int(query["after"][0]), int(query["wait_ms"][0]) / 1000)
        fault = self._current_fault()
        if fault is ListFault.SILENT:
            await asyncio.sleep(UPDATE_TIMEOUT)
            return None
        if fault is ListFault.ERROR:
            return encode(http, 500, b"")
        response = encode(http, 200, json.dumps(update).encode())
        if fault is ListFault.CUT:
            return None
        self._first_sent_at.setdefault(update["seq"], time.time())
        return response

    async def _watch(self, version: int, timeout: float) -> dict[str, Any]:
        if version >= self._version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), timeout)
        return self._update_since(version)

    def _receive_notices(self, http: h11.Connection, body: bytes) -> bytes | None:
        for line in body.splitlines():
            notice = json.loads(line)
            self._on_notice(notice["message"], notice["outcome"])
        if self._current_fault() is ListFault.NOTICES_LOST:
            return None
        return encode(http, 204, b"")


def encode(http: h11.Connection, status: int, body: bytes) -> bytes:
    """Return a complete response."""
    headers = [] if status == 204 else [("Content-Length", str(len(body)))]
    parts = [http.send(h11.Response(status_code=status, headers=headers))]
    if body:
        parts.append(http.send(h11.Data(data=body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
