"""A dispatcher in the test's thread, on real loopback sockets; the test sends every byte of the other sides.

The reactor takes a step only when the test asks for one. Until then, what the other sides have sent stays in
the kernel, so that a test can arrange which events the dispatcher meets in the same step.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from drivers import PLATFORM_SETTINGS, InMemoryDispatcher

from laureldock.assembly import Assembly
from laureldock.setup.platform import plan_from_platform
from laureldock.sockets.reactor import MonotonicReactor


class Connection:
    """The test's end of a connection."""

    def __init__(self, connected: socket.socket) -> None:
        self.socket, self.received, self.ended_by = connected, b"", ""
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connected.setblocking(False)

    def send(self, data: bytes) -> None:
        with contextlib.suppress(ConnectionError):  # the other side has closed; the next `receive` notes it
            self.socket.setblocking(True)
            self.socket.sendall(data)
        self.socket.setblocking(False)

    def receive(self) -> bytes:
        """All bytes received so far; `ended_by` becomes "closed" or "reset" at the end of the stream."""
        try:
            while not self.ended_by:
                data = self.socket.recv(1 << 16)
                self.received += data
                self.ended_by = self.ended_by or ("" if data else "closed")
        except BlockingIOError:
            pass
        except OSError:
            self.ended_by = "reset"
        return self.received

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.socket.close()

    def close(self) -> None:
        self.socket.close()


class StubServer:
    """A stub server that accepts connections; the test sends its responses."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections: list[Connection] = []

    def accept(self) -> None:
        while True:
            try:
                self.connections.append(Connection(self.listener.accept()[0]))
            except OSError:  # no connection waits, or the listener is closed
                return

    def close(self) -> None:
        for connection in self.connections:
            connection.close()
        self.listener.close()


class StubPlatform(StubServer):
    """Stub of the endpoint list and the notice server.

    It responds to list requests while `answers_list` is set, to notices while `accepts_notices` is set.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answers_list = self.accepts_notices = True
        self.endpoint_list: dict[str, Any] = {}
        self.list_requests: list[tuple[float, str, Connection]] = []  # time, query, connection
        self.notices: list[str] = []
        self.consumed_bytes: dict[Connection, int] = {}
        self.watches: dict[Connection, tuple[int, float]] = {}  # version it has, end of its wait

    def handle_requests(self) -> None:
        self.accept()
        for connection in self.connections:
            if connection.socket.fileno() >= 0:
                self.read_request(connection)
        for connection, (version, watch_until) in list(self.watches.items()):
            if version != self.endpoint_list["seq"]:
                self.send_list(connection, self.endpoint_list)
            elif watch_until <= time.monotonic():
                self.send_list(connection, {**self.endpoint_list, "whole": False, "hosts": []})

    def read_request(self, connection: Connection) -> None:
        text = connection.receive()[self.consumed_bytes.get(connection, 0) :]
        head, end, rest = text.partition(b"\r\n\r\n")
        if not end:
            return
        length = re.search(rb"Content-Length: (\d+)", head)
        size = int(length[1]) if length else 0
        if len(rest) < size:
            return
        self.consumed_bytes[connection] = self.consumed_bytes.get(connection, 0) + len(head) + 4 + size
        if head.startswith(b"POST"):
            if self.accepts_notices:
                self.notices += rest[:size].decode().split()
                connection.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        query = head.split()[1].decode()
        self.list_requests.append((time.monotonic(), query, connection))
        after = re.search(r"after=(\d+)&wait_ms=(\d+)", query)
        if self.answers_list:
            version, wait = (int(after[1]), int(after[2]) / 1000) if after else (-1, 0.0)
            self.watches[connection] = version, time.monotonic() + wait

    def send_list(self, connection: Connection, endpoint_list: dict[str, Any]) -> None:
        self.watches.pop(connection, None)
        connection.send(self.list_response(endpoint_list))

    @staticmethod
    def list_response(endpoint_list: dict[str, Any], indent: int | None = None) -> bytes:
        body = json.dumps(endpoint_list, indent=indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    def stop_answering_list(self) -> Connection:
        """Ignores list requests until `answers_list` is set. Returns the open watch, left unanswered."""
        self.answers_list = False
        self.watches.clear()
        return self.list_requests[-1][2]


class SocketDispatcher:
    """The dispatcher, its stub receiver and its stub platform.

    The folder outlives `kill`: the next `start` is a restart that finds what the previous process left.
    """

    def __init__(self, folder: Path, sockets: int = 64, settings: dict[str, Any] | None = None) -> None:
        self.folder = folder / "state"
        self.folder.mkdir(exist_ok=True)
        self.platform, self.receiver = StubPlatform(), StubServer()
        self.config_file = folder / "config.json"
        self.sockets, self.settings = sockets, settings or PLATFORM_SETTINGS
        self.set_endpoint_list()
        self.running = False

    def set_endpoint_list(self, health: str = "Ready", seq: int = 1) -> None:
        """Sets the endpoint list that discovery has from now on: the stub receiver alone."""
        endpoint_list = InMemoryDispatcher.endpoint_list("1", health, seq)
        self.platform.endpoint_list = {
            **endpoint_list,
            "hosts": [{**endpoint_list["hosts"][0], "dial": self.receiver.address}],
        }

    def start(self) -> None:
        """Starts the dispatcher as a new process, with the folder that the previous one left."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        settings = {"name": "n0", "listen": listen, "discovery": self.platform.address, "seed": "7"}
        limits = {"cores": 1, "memory_mb": 64, "sockets": self.sockets, "disk_mb": 1}
        known = self.platform.endpoint_list
        self.config_file.write_text(
            json.dumps({**settings, "limits": limits, "known": known, "settings": self.settings})
        )
        plan, _ = plan_from_platform({"LB_CONFIG": str(self.config_file), "LB_STATE": str(self.folder)})
        self.listen_address = listen
        self.reactor: Any = MonotonicReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        self.faults: list[str] = []
        self.assembly = Assembly(plan, self.folder, self.reactor, self.faults.append)
        self.core, self.front = self.assembly.core, self.assembly.clients[0]
        self.assembly.start()
        self.running = True

    def start_until_ready(self) -> SocketDispatcher:
        self.start()
        self.step_until(lambda: self.core.ready)
        return self

    def skip_opening_period(self) -> None:
        """As if the listener had opened long ago: no message counts as one that was refused before that."""
        self.reactor.listening_at -= 10

    def kill(self) -> None:
        """Ends the dispatcher as SIGKILL would: sockets reset, folder unlocked, nothing recorded."""
        for selectable in self.reactor.removeAll():
            if isinstance(opened := getattr(selectable, "socket", None), socket.socket):
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                opened.close()
        self.reactor._poller.close()
        if self.core.store.file >= 0:  # type: ignore[attr-defined]
            os.close(self.core.store.file)  # type: ignore[attr-defined]
        self.running = False

    def close(self) -> None:
        if self.running:
            self.kill()
        self.platform.close()
        self.receiver.close()

    # Steps

    def step(self, wait: float = 0.0) -> None:
        self.platform.handle_requests()
        self.receiver.accept()
        try:
            self.reactor.iterate(wait)
        except ValueError:  # killed during this step
            if self.running:
                raise
        self.platform.handle_requests()
        self.receiver.accept()

    def step_until(self, condition: Callable[[], Any], timeout: float = 8.0) -> None:
        end = time.monotonic() + timeout
        while not condition():
            assert time.monotonic() < end, (self.core.counters, self.faults)
            self.step(0.002)

    def step_for(self, wait: float) -> None:
        end = time.monotonic() + wait
        while time.monotonic() < end:
            self.step(0.002)

    # The other sides

    def connect_client(self, ping: bool = True) -> Connection:
        host, _, port = self.listen_address.rpartition(":")
        connection = Connection(socket.create_connection((host, int(port))))
        if ping:
            connection.send(b"PING\r\n")
            self.step_until(lambda: connection.receive() == b"+PONG\r\n")
            connection.received = b""
        return connection

    @staticmethod
    def put_request(
        name: str, queue_class: str = "news", key: str = "0", lifetime: int = 9000, body: str = "hello"
    ) -> bytes:
        tag = ",k=t" + name if queue_class in ("order", "stamp") else ""
        return InMemoryDispatcher.command(
            "MSG.PUT", key, name, f"c={queue_class},d={lifetime},dest=7{tag}", body
        )

    def received_calls(self) -> list[str]:
        """Ids of the messages whose calls the receiver has whole; ordered within each connection."""
        found = []
        for connection in self.receiver.connections:
            if connection.socket.fileno() >= 0:
                connection.receive()
            found += re.findall(r"X-Call-Id: (\S+)[^$]*?\r\n\r\nhello", connection.received.decode("latin-1"))
        return found

    def wait_for_call(self, name: str) -> Connection:
        """Waits for the call of that message; returns the connection that it came over."""

        def carrying() -> list[Connection]:
            self.received_calls()
            return [
                connection
                for connection in self.receiver.connections
                if f"X-Call-Id: {name}\r\n".encode() in connection.received
            ]

        self.step_until(carrying)
        return carrying()[-1]

    def respond(
        self, name: str, response: bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    ) -> Connection:
        connection = self.wait_for_call(name)
        connection.send(response)
        return connection
