"""A controller process, and test clients that speak its protocol directly."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from laureldock.controller import client
from laureldock.rehearsal.ports import free_port
from laureldock.replication import messages
from laureldock.replication.messages import (
    NO_POSITION,
    Accepted,
    ChangeMessage,
    Heartbeat,
    Message,
    Position,
    SnapshotBegin,
    SnapshotPart,
    Status,
    Subscribe,
)
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    EndpointEntry,
    EntryKey,
    EntryKind,
    decode_change,
    decode_entries,
    entry_digest,
)
from laureldock.setup.plan import Endpoint
from laureldock.setup.units import Address

BASE = """\
name = "control"
[log]
burst = 1000
[controller]
listen = "127.0.0.1:{port}"
pace = "{pace}"
subscribers = 20
[class.news]
effect = "redeliverable"
target_delay = "5s"
lifetime = "30s"
[kind.shop]
"""
START_TIMEOUT = 9.0  # seconds


def endpoint(name: str, destination: str = "north", zone: str = "") -> EndpointEntry:
    address = Address(f"127.0.0.1:{1024 + int(name.strip('abcdefghijklmnopqrstuvwxyz-') or 0) % 60000}")
    return EndpointEntry(name, Endpoint(destination=destination, address=address, name=name, zone=zone))


def puts(*names: str, zone: str = "") -> Change:
    """Each endpoint has its own destination, since endpoints of one destination must not share an address."""
    return Change(tuple(endpoint(name, f"to-{name}", zone) for name in names))


def removal(*names: str) -> Change:
    return Change((), tuple(EntryKey(EntryKind.ENDPOINT, name) for name in names))


class Controller:
    """A controller process with its folder."""

    def __init__(self, folder: Path, pace: str = "1MB") -> None:
        self.folder, self.port = folder, free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.file, self.state = folder / "controller.toml", folder / "controller-state"
        self.file.write_text(BASE.format(port=self.port, pace=pace))
        self.process: subprocess.Popen[bytes] | None = None

    def launch(self, preexec: Callable[[], None] | None = None) -> None:
        """`preexec` is called in the child process before the program starts."""
        command = [sys.executable, "-m", "laureldock", "controller", str(self.file)]
        ready_count = len(self.events("controller ready"))
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log, preexec_fn=preexec)
        self.wait_until(lambda: len(self.events("controller ready")) > ready_count)

    def wait_until(self, condition: Callable[[], bool], seconds: float = START_TIMEOUT) -> None:
        deadline = time.monotonic() + seconds
        while not condition():
            assert self.process and self.process.poll() is None, self.log_text()
            assert time.monotonic() < deadline, self.log_text()
            time.sleep(0.02)

    def log_text(self) -> str:
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = [json.loads(line) for line in self.log_text().splitlines() if line.startswith("{")]
        return [each for each in lines if each["event"] == name]

    def kill(self) -> None:
        assert self.process
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        assert self.process
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(5)

    def propose(self, change: Change, expected_version: int = -1) -> int:
        """Propose a change that must be accepted; return its version."""
        response = client.propose(self.address, change, expected_version)
        assert isinstance(response, Accepted), response
        return response.position.version

    def status(self) -> Status:
        return client.status(self.address)


@contextmanager
def controller(folder: Path, pace: str = "1MB") -> Iterator[Controller]:
    server = Controller(folder, pace)
    server.launch()
    try:
        yield server
    finally:
        if server.process and server.process.poll() is None:
            server.kill()


class Stream:
    """A connection to a controller."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), 5)
        self.socket.settimeout(5)
        self.reader = self.socket.makefile("rb")

    def write(self, data: bytes) -> None:
        self.socket.sendall(data)

    def send(self, message: Message) -> None:
        payload = messages.encode(message)
        self.write(len(payload).to_bytes(4, "big") + payload)

    def receive(self) -> Message | None:
        """The next message; None if the other side has closed the connection."""
        try:
            head = self.reader.read(4)
            return messages.decode(self.reader.read(int.from_bytes(head, "big"))) if head else None
        except ConnectionError:
            return None

    def is_closed(self, seconds: float) -> bool:
        """Whether the other side closes the connection within that time; data sent before is discarded."""
        self.socket.settimeout(0.2)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if not self.socket.recv(65536):
                    return True
            except TimeoutError:
                continue
            except OSError:
                return True
        return False

    def close(self) -> None:
        self.reader.close()
        self.socket.close()


class Follower(Stream):
    """A stub dispatcher that keeps the entries it receives."""

    def __init__(self, port: int, name: str, position: Position = NO_POSITION) -> None:
        super().__init__(port)
        self.entries: dict[EntryKey, CatalogEntry] = {}
        self.digests: dict[EntryKey, tuple[CatalogEntry, int]] = {}  # cached digests of entries
        self.position, self.digest = position, 0
        self.message_types: list[str] = []
        self.send(Subscribe(name, position, 0))

    def follow(self, version: int, seconds: float = 8.0) -> None:
        """Receive until that version is reached, and check the digest at every version."""
        deadline = time.monotonic() + seconds
        while self.position.version < version:
            assert time.monotonic() < deadline, f"{self.position} after {seconds} s"
            message = self.receive()
            assert message is not None, "the stream was closed"
            self.process_message(message)
            self.send(Heartbeat(self.position))

    def process_message(self, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            self.message_types.append(type(message).__name__)
        match message:
            case SnapshotBegin():
                self.entries, self.snapshot_begin = {}, message
                if not message.parts:
                    self.reach(message.position, message.digest)
            case SnapshotPart(number, checksum, body):
                assert messages.checksum(body) == checksum
                self.entries |= {entry.key: entry for entry in decode_entries(body)}
                if number == self.snapshot_begin.parts - 1:
                    assert len(self.entries) == self.snapshot_begin.entries
                    self.reach(self.snapshot_begin.position, self.snapshot_begin.digest)
            case ChangeMessage():
                assert message.position.version == self.position.version + 1
                assert messages.checksum(message.body) == message.checksum
                change = decode_change(message.body)
                for key in change.removals:
                    del self.entries[key]
                self.entries |= {entry.key: entry for entry in change.puts}
                self.reach(message.position, message.digest)

    def reach(self, position: Position, digest: int) -> None:
        computed = 0
        for key, entry in self.entries.items():
            if key not in self.digests or self.digests[key][0] is not entry:
                self.digests[key] = entry, entry_digest(entry)
            computed ^= self.digests[key][1]
        assert computed == digest
        self.position, self.digest = position, digest
