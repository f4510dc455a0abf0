"""Receivers that answer every call at once; no more of HTTP than a measurement needs."""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
BACKLOG = 512


class Receivers:
    """So many listeners on loopback, served by one thread until `close`."""

    def __init__(self, count: int, body: bytes) -> None:
        """`body` is what every call ends with."""
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
        with contextlib.suppress(OSError):  # gone again
            link, _ = listener.accept()
            link.setblocking(False)
            self.selector.register(link, selectors.EVENT_READ, bytearray())

    def read(self, link: socket.socket, received: bytearray) -> None:
        data = b""
        with contextlib.suppress(OSError):  # reset by the dispatcher
            data = link.recv(65536)
            received.extend(data)
            if received.endswith(self.body):
                received.clear()
                link.sendall(ANSWER)
        if not data:
            self.selector.unregister(link)
            link.close()

    def close(self) -> None:
        self.closing = True
        self.thread.join(5)
