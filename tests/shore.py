"""A dispatcher in the test's own thread, on real sockets, and peers whose every byte the test sends itself.

The reactor takes a step only when the test says so: what a peer has sent meanwhile lies in the kernel.
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

from dock import SETTINGS, Quay

from laureldock.assembly import Assembly
from laureldock.setup.platform import plan_from_platform
from laureldock.sockets.reactor import MonotonicReactor


class Peer:
    """The test's end of a connection."""

    def __init__(self, link: socket.socket) -> None:
        self.link, self.got, self.ended = link, b"", ""
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.setblocking(False)

    def send(self, data: bytes) -> None:
        with contextlib.suppress(ConnectionError):  # the other side is gone, and the next `pull` says so
            self.link.setblocking(True)
            self.link.sendall(data)
        self.link.setblocking(False)

    def pull(self) -> bytes:
        """All that has come so far; `ended` says how its stream ended."""
        try:
            while not self.ended:
                data = self.link.recv(1 << 16)
                self.got += data
                self.ended = self.ended or ("" if data else "closed")
        except BlockingIOError:
            pass
        except OSError:
            self.ended = "reset"
        return self.got

    def reset(self) -> None:
        self.link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.link.close()

    def close(self) -> None:
        self.link.close()


class Server:
    """A stand-in that accepts; what it answers, the test sends."""

    def __init__(self) -> None:
        self.door = socket.create_server(("127.0.0.1", 0))
        self.door.setblocking(False)
        self.address = f"127.0.0.1:{self.door.getsockname()[1]}"
        self.peers: list[Peer] = []

    def accept(self) -> None:
        while True:
            try:
                self.peers.append(Peer(self.door.accept()[0]))
            except OSError:  # nobody there, or no door
                return

    def close(self) -> None:
        for peer in self.peers:
            peer.close()
        self.door.close()


class Platform(Server):
    """Lists and notices, answered while `lists` and `takes_notices` are set."""

    def __init__(self) -> None:
        super().__init__()
        self.lists = self.takes_notices = True
        self.hosts: dict[str, Any] = {}
        self.asks: list[tuple[float, str, Peer]] = []  # each ask for the list: when, its query, over what
        self.notices: list[str] = []
        self.read: dict[Peer, int] = {}
        self.watches: dict[Peer, tuple[int, float]] = {}  # what each has, and when its wait is over

    def work(self) -> None:
        self.accept()
        for peer in self.peers:
            if peer.link.fileno() >= 0:
                self.hear(peer)
        for peer, (version, due) in list(self.watches.items()):
            if version != self.hosts["seq"]:
                self.tell(peer, self.hosts)
            elif due <= time.monotonic():
                self.tell(peer, {**self.hosts, "whole": False, "hosts": []})

    def hear(self, peer: Peer) -> None:
        text = peer.pull()[self.read.get(peer, 0) :]
        head, end, rest = text.partition(b"\r\n\r\n")
        if not end:
            return
        length = re.search(rb"Content-Length: (\d+)", head)
        size = int(length[1]) if length else 0
        if len(rest) < size:
            return
        self.read[peer] = self.read.get(peer, 0) + len(head) + 4 + size
        if head.startswith(b"POST"):
            if self.takes_notices:
                self.notices += rest[:size].decode().split()
                peer.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        query = head.split()[1].decode()
        self.asks.append((time.monotonic(), query, peer))
        after = re.search(r"after=(\d+)&wait_ms=(\d+)", query)
        if self.lists:
            version, wait = (int(after[1]), int(after[2]) / 1000) if after else (-1, 0.0)
            self.watches[peer] = version, time.monotonic() + wait

    def tell(self, peer: Peer, hosts: dict[str, Any]) -> None:
        self.watches.pop(peer, None)
        peer.send(self.answer(hosts))

    @staticmethod
    def answer(hosts: dict[str, Any], indent: int | None = None) -> bytes:
        body = json.dumps(hosts, indent=indent).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    def silence(self) -> Peer:
        """No ask is answered until `lists` is set, and the open watch never; gives its connection."""
        self.lists = False
        self.watches.clear()
        return self.asks[-1][2]


class Shore:
    def __init__(self, folder: Path, sockets: int = 64, settings: dict[str, Any] | None = None) -> None:
        self.state = folder / "state"
        self.state.mkdir(exist_ok=True)
        self.platform, self.receiver = Platform(), Server()
        self.config = folder / "config.json"
        self.sockets, self.settings = sockets, settings or SETTINGS
        self.announce()
        self.begun = False

    def announce(self, health: str = "Ready", seq: int = 1) -> None:
        """What discovery has from now on."""
        hosts = Quay.hosts("1", health, seq)
        self.platform.hosts = {**hosts, "hosts": [{**hosts["hosts"][0], "dial": self.receiver.address}]}

    def begin(self) -> None:
        """A life of the dispatcher, with the folder that the one before left."""
        with socket.create_server(("127.0.0.1", 0)) as free:
            listen = f"127.0.0.1:{free.getsockname()[1]}"
        told = {"name": "n0", "listen": listen, "discovery": self.platform.address, "seed": "7"}
        limits = {"cores": 1, "memory_mb": 64, "sockets": self.sockets, "disk_mb": 1}
        known = self.platform.hosts
        self.config.write_text(
            json.dumps({**told, "limits": limits, "known": known, "settings": self.settings})
        )
        plan, _ = plan_from_platform({"LB_CONFIG": str(self.config), "LB_STATE": str(self.state)})
        self.listen = listen
        self.reactor: Any = MonotonicReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        self.faults: list[str] = []
        self.assembly = Assembly(plan, self.state, self.reactor, self.faults.append)
        self.core, self.front = self.assembly.core, self.assembly.clients[0]
        self.assembly.start()
        self.begun = True

    def ready(self) -> Shore:
        self.begin()
        self.until(lambda: self.core.ready)
        return self

    def settle(self) -> None:
        """As if the door had opened long ago: what is read from here on has not been refused before."""
        self.reactor.listening_at -= 10

    def kill(self) -> None:
        """The process is gone: its sockets are reset and closed, its folder is unlocked, nothing is told."""
        for selectable in self.reactor.removeAll():
            if isinstance(link := getattr(selectable, "socket", None), socket.socket):
                link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                link.close()
        self.reactor._poller.close()
        if self.core.store.file >= 0:  # type: ignore[attr-defined]
            os.close(self.core.store.file)  # type: ignore[attr-defined]
        self.begun = False

    def end(self) -> None:
        if self.begun:
            self.kill()
        self.platform.close()
        self.receiver.close()

    # Steps

    def step(self, wait: float = 0.0) -> None:
        self.platform.work()
        self.receiver.accept()
        try:
            self.reactor.iterate(wait)
        except ValueError:  # killed in that very step
            if self.begun:
                raise
        self.platform.work()
        self.receiver.accept()

    def until(self, true: Callable[[], Any], most: float = 8.0) -> None:
        end = time.monotonic() + most
        while not true():
            assert time.monotonic() < end, (self.core.counters, self.faults)
            self.step(0.002)

    def spend(self, wait: float) -> None:
        end = time.monotonic() + wait
        while time.monotonic() < end:
            self.step(0.002)

    # Peers

    def client(self, ping: bool = True) -> Peer:
        host, _, port = self.listen.rpartition(":")
        peer = Peer(socket.create_connection((host, int(port))))
        if ping:
            peer.send(b"PING\r\n")
            self.until(lambda: peer.pull() == b"+PONG\r\n")
            peer.got = b""
        return peer

    @staticmethod
    def put(name: str, sort: str = "news", key: str = "0", left: int = 9000, body: str = "hello") -> bytes:
        tag = ",k=t" + name if sort in ("order", "stamp") else ""
        return Quay.command("MSG.PUT", key, name, f"c={sort},d={left},dest=7{tag}", body)

    def calls(self) -> list[str]:
        """Ids of the mails whose calls have come to the receiver whole, in that order for each connection."""
        found = []
        for peer in self.receiver.peers:
            if peer.link.fileno() >= 0:
                peer.pull()
            found += re.findall(r"X-Call-Id: (\S+)[^$]*?\r\n\r\nhello", peer.got.decode("latin-1"))
        return found

    def call(self, name: str) -> Peer:
        """The connection over which that mail's call has come."""

        def at() -> list[Peer]:
            self.calls()
            return [peer for peer in self.receiver.peers if f"X-Call-Id: {name}\r\n".encode() in peer.got]

        self.until(at)
        return at()[-1]

    def serve(self, name: str, answer: bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") -> Peer:
        peer = self.call(name)
        peer.send(answer)
        return peer
