"""A dispatcher as a process on loopback, whose processor time and memory are read from the kernel."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path

from laureldock.cli.info import read_counters

MOST_START = 300.0  # seconds that a start may take
MOST_WAIT = 300.0  # seconds that a change or a load may take
MOST_ASKS = 20  # of five seconds each at most
SETTLED = 0.25  # seconds without processor time after which nothing more is being done

FIRST_PORT, LAST_PORT = 12_000, 32_000
_ports = iter(range(FIRST_PORT + os.getpid() % 97 * 200, LAST_PORT))

HEAD = """\
name = "{name}"
instances = 1500
[limits]
sockets = 1024
slots = {slots}
room = {room}
disk = "{disk}MiB"
probes = {probes}
[[front]]
listen = "127.0.0.1:{port}"
[log]
level = "error"
[class.news]
effect = "redeliverable"
target_delay = "1s"
lifetime = "{lifetime}s"
{classes}
"""


def free_port() -> int:
    """Below those that the kernel gives to connections, and each only once in this process."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise RuntimeError("no port is free")


def processor_time(pid: int) -> float:
    """Seconds of processor time of all threads of a process, by the kernel's clock of it."""
    return time.clock_gettime((~pid << 3) | 2)


def resident(pid: int | None = None) -> float:
    """Bytes of memory that a process, or this one, holds now."""
    lines = Path(f"/proc/{pid or 'self'}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) * 1024.0


def endpoint(name: str, destination: str, address: str, rate: float = 20.0) -> str:
    owner = f'[[endpoint]]\nname = "{name}"\ndestination = "{destination}"\n'
    return f'{owner}address = "{address}"\nrate = {rate}\n'


def address_of(number: int) -> str:
    """On loopback, another one for each number; nothing listens there."""
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"


class Process:
    """Start it with `start`, end it with `end` or `kill`; it may be started again in the same folder."""

    def __init__(
        self,
        folder: Path,
        *,
        name: str = "laureldock",
        slots: int = 64,
        room: int = 2000,
        disk_mb: int = 64,
        lifetime: float = 10.0,
        probes: bool = False,
        classes: str = "",
    ) -> None:
        self.port, self.file = free_port(), folder / "laureldock.toml"
        self.head = HEAD.format(
            name=name,
            slots=slots,
            room=room,
            disk=disk_mb,
            probes=str(probes).lower(),
            port=self.port,
            lifetime=lifetime,
            classes=classes,
        )
        self.child: subprocess.Popen[bytes] | None = None
        self.start_processor = self.start_memory = 0.0

    @property
    def pid(self) -> int:
        assert self.child
        return self.child.pid

    def write(self, parts: Iterable[str]) -> None:
        fresh = self.file.with_suffix(".new")
        fresh.write_text(self.head + "".join(parts))
        fresh.rename(self.file)

    def start(self) -> None:
        """Until it answers a client; what that took is in `start_processor` and `start_memory`."""
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file)]
        self.child = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        end = time.monotonic() + MOST_START
        while not self.answers():
            if self.child.poll() is not None or time.monotonic() > end:
                raise RuntimeError("the dispatcher did not start")
            time.sleep(0.005)
        self.start_processor, self.start_memory = self.processor(), self.memory()

    def answers(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), 60) as link:
                link.sendall(b"PING\r\n")
                return link.recv(16) == b"+PONG\r\n"
        except OSError:
            return False

    def processor(self) -> float:
        """Seconds of processor time."""
        return processor_time(self.pid)

    def memory(self) -> float:
        """Bytes resident now."""
        return resident(self.pid)

    def counter(self, name: str) -> int:
        """Of those that INFO tells; asked again while a long step keeps it from answering."""
        for _ in range(MOST_ASKS):
            with contextlib.suppress(OSError, ValueError):
                return int(read_counters(f"127.0.0.1:{self.port}").get(name, 0))
        raise RuntimeError("the dispatcher does not answer")

    def settle(self) -> float:
        """Wait until it does nothing any more; its processor time then."""
        end, used = time.monotonic() + MOST_WAIT, self.processor()
        while time.monotonic() < end:
            time.sleep(SETTLED)
            before, used = used, self.processor()
            if used - before < 0.02 * SETTLED:
                return used
        raise RuntimeError("the dispatcher does not come to rest")

    def reload(self, parts: Iterable[str]) -> float:
        """Processor seconds that a fresh file costs, from the signal until it is at rest again."""
        self.write(parts)
        before, read = self.settle(), self.counter("configurations_read")
        os.kill(self.pid, signal.SIGHUP)
        end = time.monotonic() + MOST_WAIT
        while self.counter("configurations_read") == read:
            if self.counter("configurations_refused") or time.monotonic() > end:
                raise RuntimeError("the configuration was not read")
            time.sleep(0.2)
        return self.settle() - before

    def kill(self) -> None:
        if self.child:
            self.child.kill()
            self.child.wait(30)

    def end(self) -> None:
        if self.child and self.child.poll() is None:
            self.child.terminate()
            try:
                self.child.wait(20)
            except subprocess.TimeoutExpired:
                self.kill()
