"""Stub receivers that respond to every call at once, with no more HTTP than a measurement needs."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BACKLOG = 512


class StubReceivers:
    """`count` listeners on loopback, served by one thread until `close`."""

    def __init__(self, count: int, body: bytes) -> None:
        """`body` is the end of every request."""
        self.body, self.selector, self.closing = body, selectors.DefaultSelector(), False
        self.addresses: list[str] = []
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
            listener.setblocking(False)
            self.addresses.append(f"127.0.0.1:{listener.getsockname()[1]}")
            self.selector.register(listener, selectors.EVENT_READ, None)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        while not self.closing:
            for key, _ in self.selector.select(0.1):
                assert isinstance(key.fileobj, socket.socket)
                if key.data is None:
                    self.accept(key.fileobj)
                else:
                    self.read(key.fileobj, key.data)
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()

    def accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the connection was closed again
            connection, _ = listener.accept()
            connection.setblocking(False)
            self.selector.register(connection, selectors.EVENT_READ, bytearray())

    def read(self, connection: socket.socket, received: bytearray) -> None:
        data = b""
        with contextlib.suppress(OSError):  # reset by the dispatcher
            data = connection.recv(65536)
            received.extend(data)
            if received.endswith(self.body):
                received.clear()
                connection.sendall(RESPONSE)
        if not data:
            self.selector.unregister(connection)
            connection.close()

    def close(self) -> None:
        self.closing = True
        self.thread.join(5)
