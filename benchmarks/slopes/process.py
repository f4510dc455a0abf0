"""A dispatcher as a process on loopback, with its CPU time and memory as the kernel reports them."""

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

START_TIMEOUT = 300.0  # seconds
WAIT_TIMEOUT = 300.0  # seconds that a change or a load may take
MAX_REQUESTS = 20  # with a timeout of five seconds each
IDLE_INTERVAL = 0.25  # seconds; a process that uses no CPU time for so long is idle

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
    """A port below the kernel's ephemeral range; each is returned only once in this process."""
    for port in _ports:
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise RuntimeError("no port is free")


def process_cpu_seconds(pid: int) -> float:
    """CPU seconds of all threads of a process, from the kernel's clock for that process."""
    return time.clock_gettime((~pid << 3) | 2)


def resident_bytes(pid: int | None = None) -> float:
    """Resident bytes of a process; of this one if `pid` is None."""
    lines = Path(f"/proc/{pid or 'self'}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) * 1024.0


def endpoint(name: str, destination: str, address: str, rate: float = 20.0) -> str:
    head = f'[[endpoint]]\nname = "{name}"\ndestination = "{destination}"\n'
    return f'{head}address = "{address}"\nrate = {rate}\n'


def address_of(number: int) -> str:
    """A loopback address that is unique for each number; nothing listens there."""
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"


class DispatcherProcess:
    """A dispatcher process. It may be started again after `stop` or `kill`, in the same folder."""

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
        self.start_cpu_seconds = self.start_memory = 0.0

    @property
    def pid(self) -> int:
        assert self.child
        return self.child.pid

    def write(self, parts: Iterable[str]) -> None:
        new_file = self.file.with_suffix(".new")
        new_file.write_text(self.head + "".join(parts))
        new_file.rename(self.file)

    def start(self) -> None:
        """Start and wait until it replies to a client; sets `start_cpu_seconds` and `start_memory`.

        Raises RuntimeError if it does not start in time.
        """
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file)]
        self.child = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        deadline = time.monotonic() + START_TIMEOUT
        while not self.responds():
            if self.child.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError("the dispatcher did not start")
            time.sleep(0.005)
        self.start_cpu_seconds, self.start_memory = self.cpu_seconds(), self.memory()

    def responds(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), 60) as connection:
                connection.sendall(b"PING\r\n")
                return connection.recv(16) == b"+PONG\r\n"
        except OSError:
            return False

    def cpu_seconds(self) -> float:
        """CPU seconds used so far."""
        return process_cpu_seconds(self.pid)

    def memory(self) -> float:
        """Current resident bytes."""
        return resident_bytes(self.pid)

    def counter(self, name: str) -> int:
        """A counter from INFO; retries while a long step keeps the dispatcher from replying."""
        for _ in range(MAX_REQUESTS):
            with contextlib.suppress(OSError, ValueError):
                return int(read_counters(f"127.0.0.1:{self.port}").get(name, 0))
        raise RuntimeError("the dispatcher does not reply")

    def wait_until_idle(self) -> float:
        """Wait until the process is idle; returns its CPU seconds."""
        deadline, used = time.monotonic() + WAIT_TIMEOUT, self.cpu_seconds()
        while time.monotonic() < deadline:
            time.sleep(IDLE_INTERVAL)
            before, used = used, self.cpu_seconds()
            if used - before < 0.02 * IDLE_INTERVAL:
                return used
        raise RuntimeError("the dispatcher does not become idle")

    def reload(self, parts: Iterable[str]) -> float:
        """CPU seconds that a new configuration file costs, from the signal until the process is idle."""
        self.write(parts)
        before, read = self.wait_until_idle(), self.counter("configurations_read")
        os.kill(self.pid, signal.SIGHUP)
        deadline = time.monotonic() + WAIT_TIMEOUT
        while self.counter("configurations_read") == read:
            if self.counter("configurations_refused") or time.monotonic() > deadline:
                raise RuntimeError("the configuration was not read")
            time.sleep(0.2)
        return self.wait_until_idle() - before

    def kill(self) -> None:
        if self.child:
            self.child.kill()
            self.child.wait(30)

    def stop(self) -> None:
        if self.child and self.child.poll() is None:
            self.child.terminate()
            try:
                self.child.wait(20)
            except subprocess.TimeoutExpired:
                self.kill()
