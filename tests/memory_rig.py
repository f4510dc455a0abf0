"""Test rig: a dispatcher process on a platform with a limit on memory, and sound clients beside a crowd."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import socket
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import RunRecord
from laureldock.rehearsal.soak.clients import command
from laureldock.rehearsal.soak.discovery import Endpoint, StubDiscovery
from laureldock.rehearsal.soak.dispatcher_process import DispatcherProcess
from laureldock.rehearsal.soak.platform import environment, write_configuration
from laureldock.rehearsal.stub_receivers import StubReceiver

MEGABYTE = 1e6
REPLY_TIMEOUT = 0.4  # seconds, by the platform's protocol
SOCKETS = 1024
SEED = 11


def memory_of(process_id: int) -> dict[str, float]:
    """Figures of `/proc/PID/status` in MB: `VmRSS` resident now, `VmHWM` at most so far."""
    text = Path(f"/proc/{process_id}/status").read_text()
    return {name: int(value) * 1024 / MEGABYTE for name, value in re.findall(r"(\w+):\s+(\d+) kB", text)}


@dataclass(eq=False, slots=True)
class SoundClients:
    """Clients that send small messages at a steady rate and wait for each reply as the protocol has it."""

    address: tuple[str, int]
    count: int = 5
    rate: float = 10.0  # messages a second and client
    latencies: list[float] = field(default_factory=list)  # seconds
    replies: list[bytes] = field(default_factory=list)
    late: int = 0

    async def run(self, seconds: float) -> None:
        """Send for so many seconds."""
        until = time.monotonic() + seconds
        await asyncio.gather(*(self._run_one(number, until) for number in range(self.count)))

    async def _run_one(self, client: int, until: float) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        number = 0
        while time.monotonic() < until:
            sent_at, number = time.monotonic(), number + 1
            request = command(
                b"MSG.PUT",
                b"0",
                b"g%d-%d-%d" % (os.getpid(), client, number),
                b"c=notice,d=8000,dest=1",
                b"y" * 200,
            )
            try:
                async with asyncio.timeout(REPLY_TIMEOUT):
                    if connection is None or connection[0].at_eof():
                        connection = await asyncio.open_connection(*self.address)
                    connection[1].write(request)
                    line = await connection[0].readline()
                    if not line:  # the close crossed the request, which is sent once more
                        connection = await asyncio.open_connection(*self.address)
                        connection[1].write(request)
                        line = await connection[0].readline()
                self.latencies.append(time.monotonic() - sent_at)
                self.replies.append(line)
            except (OSError, TimeoutError):
                self.late += 1
                if connection:
                    connection[1].transport.abort()
                connection = None
            await asyncio.sleep(max(0.0, sent_at + 1 / self.rate - time.monotonic()))
        if connection:
            connection[1].transport.abort()


class MemoryRig:
    """A platform, one receiver and the processes of one dispatcher, each with the limit on memory."""

    def __init__(self, folder: Path, memory_mb: float, sockets: int = SOCKETS, passed: bool = False) -> None:
        self.folder, self.memory_mb, self.sockets = folder, memory_mb, sockets
        self.record = RunRecord()
        self.receiver = StubReceiver("r1", "1", self.record, SEED, rate=400.0, call_time=0.02)
        self.notices: list[tuple[str, str]] = []
        self.discovery = StubDiscovery(lambda: None, lambda name, end: self.notices.append((name, end)))
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512) if passed else None
        self.port: int = self.listening.getsockname()[1] if self.listening else free_port()
        self.processes: list[DispatcherProcess] = []

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return "127.0.0.1", self.port

    @property
    def log(self) -> str:
        """The log of all processes."""
        return (self.folder / "log").read_text(errors="replace")

    async def launch(self, **limits: Any) -> DispatcherProcess:
        """Start a process, and wait until it is ready. Raises RuntimeError if it ended."""
        process = await self.start(**limits)
        await process.wait_ready()
        return process

    def write_file(self, file: Path, **limits: Any) -> None:
        """Write the platform's configuration, with other limits than those of the rig."""
        write_configuration(
            file,
            "n0",
            SEED,
            f"127.0.0.1:{self.port}",
            f"127.0.0.1:{self.discovery.port}",
            self.discovery.full_list(),
            {"memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": 3, **limits},
        )

    async def start(self, **limits: Any) -> DispatcherProcess:
        """Start a process."""
        file = self.folder / f"config-{len(self.processes)}.json"
        management = ("127.0.0.1", free_port())
        self.write_file(file, **limits)
        state = self.folder / "state"
        state.mkdir(exist_ok=True)
        passed = self.listening.fileno() if self.listening else -1
        process = await DispatcherProcess.launch(
            [os.environ.get("LAURELDOCK_PYTHON", sys.executable), "-m", "laureldock", "serve"],
            file,
            management,
            self.folder / "log",
            passed,
            environment(file, state, management, passed),
        )
        self.processes.append(process)
        return process


@contextlib.asynccontextmanager
async def memory_rig(
    folder: Path, memory_mb: float, sockets: int = SOCKETS, passed: bool = False
) -> AsyncIterator[MemoryRig]:
    """Start the platform and the receiver, and stop everything at the end."""
    rig = MemoryRig(folder, memory_mb, sockets, passed)
    await rig.receiver.start(time.time())
    await rig.discovery.start([Endpoint("r1", rig.receiver.port, 1, 400.0)])
    try:
        yield rig
    finally:
        for process in rig.processes:
            if process.is_running:
                await process.kill()
        await rig.receiver.stop()
        await rig.discovery.stop()
        if rig.listening:
            rig.listening.close()
