"""A real dispatcher of the scale run: `laureldock serve` in a process of its own."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

from msgspec import Struct

from laureldock.rehearsal.management import get_json
from laureldock.rehearsal.scale.process_usage import cpu_seconds, resident_bytes

MANAGEMENT_PORT = 9100
FRONT_PORT = 6390
READY_TIMEOUT = 60.0  # seconds; dozens start at once on a machine that does other work
REQUEST_TIMEOUT = 5.0
BASE_CONFIGURATION = """\
name = "{name}"
state = "state"
management = "{host}:{management}"
[limits]
sockets = 256
slots = 32
[[front]]
listen = "{host}:{front}"
[outlet]
kind = "lines"
path = "undelivered.jsonl"
"""
ENDPOINT_SECTION = """\
[[endpoint]]
name = "nowhere"
destination = "nowhere"
address = "127.0.0.1:9"
"""
FLEET_SECTION = """\
[fleet]
name = "{fleet}"
listen = "{address}"
seeds = {seeds}
site = "{site}"
period = "{period}ms"
"""
SOURCE_SECTION = """\
[source]
kind = "controller"
controllers = {controllers}
"""


class RealSample(Struct):
    """Resource usage of one real dispatcher since its start."""

    name: str
    cpu_seconds: float
    resident_bytes: int
    datagrams_sent: int = 0
    datagram_bytes_sent: int = 0
    datagrams_received: int = 0


class RealDispatcher:
    def __init__(self, name: str, host: str, folder: Path, configuration: str) -> None:
        self.name, self.host, self.folder, self.configuration = name, host, folder, configuration
        self.process: asyncio.subprocess.Process | None = None

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Write the configuration file and start the process. Raises OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "laureldock.toml"
        path.write_text(self.configuration)
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "laureldock", "serve", str(path), stdout=log, stderr=log
            )

    async def wait_until_listening(self) -> None:
        """Wait for its management address to respond; it may not be ready, which takes a configuration.

        Raises RuntimeError if the process ends, TimeoutError if it does not listen in time.
        """
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.up:
                raise RuntimeError(f"{self.name} exited; see {self.folder / 'log'}")
            if await self.fetch("/_ready") is not None:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} did not listen in time; see {self.folder / 'log'}")

    async def stop(self, sent_signal: signal.Signals) -> None:
        if self.process and self.up:
            self.process.send_signal(sent_signal)
            await self.process.wait()

    async def fetch(self, path: str) -> dict[str, Any] | None:
        """The JSON response of its management address; None if there is none."""
        return await get_json(self.host, MANAGEMENT_PORT, path, REQUEST_TIMEOUT)

    def usage(self) -> tuple[float, int]:
        """CPU seconds and resident bytes. Raises OSError if the process has ended."""
        assert self.process
        return cpu_seconds(self.process.pid), resident_bytes(self.process.pid)

    async def sample(self, usage: tuple[float, int]) -> RealSample:
        """Add traffic counters to `usage`, which was read first: requesting the counters costs CPU time."""
        sample = RealSample(self.name, *usage)
        view = await self.fetch("/_fleet")
        if view and "counts" in view:
            counts = view["counts"]
            sample.datagrams_sent = counts["sent"]
            sample.datagram_bytes_sent = counts["bytes_sent"]
            sample.datagrams_received = counts["datagrams"]
        return sample
