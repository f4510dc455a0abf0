"""A real dispatcher of the scale run: `laureldock serve` as a process of its own."""

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
READY_TIMEOUT = 60.0  # seconds: dozens start at once on a machine that does other work
ASK_TIMEOUT = 5.0
BASE = """\
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
ONE_ENDPOINT = """\
[[endpoint]]
name = "nowhere"
destination = "nowhere"
address = "127.0.0.1:9"
"""
VIEW = """\
[fleet]
name = "{fleet}"
listen = "{address}"
seeds = {seeds}
site = "{site}"
period = "{period}ms"
"""
FOLLOW = """\
[source]
kind = "controller"
controllers = {controllers}
"""


class RealSample(Struct):
    """What one real dispatcher has spent since its start."""

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
        """OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "laureldock.toml"
        path.write_text(self.configuration)
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "laureldock", "serve", str(path), stdout=log, stderr=log
            )

    async def wait_until_listening(self) -> None:
        """RuntimeError, TimeoutError. Ready it may not be: that needs a configuration."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.up:
                raise RuntimeError(f"{self.name} ended; see {self.folder / 'log'}")
            if await self.ask("/_ready") is not None:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"{self.name} does not listen; see {self.folder / 'log'}")

    async def stop(self, sign: signal.Signals) -> None:
        if self.process and self.up:
            self.process.send_signal(sign)
            await self.process.wait()

    async def ask(self, path: str) -> dict[str, Any] | None:
        """What its management address answers; None where it does not."""
        return await get_json(self.host, MANAGEMENT_PORT, path, ASK_TIMEOUT)

    def usage(self) -> tuple[float, int]:
        """Processor seconds and resident bytes. OSError where it has ended."""
        assert self.process
        return cpu_seconds(self.process.pid), resident_bytes(self.process.pid)

    async def sample(self, usage: tuple[float, int]) -> RealSample:
        """With `usage` as it was read: asking for the counts costs the dispatcher time itself."""
        sample = RealSample(self.name, *usage)
        view = await self.ask("/_fleet")
        if view and "counts" in view:
            counts = view["counts"]
            sample.datagrams_sent = counts["sent"]
            sample.datagram_bytes_sent = counts["bytes_sent"]
            sample.datagrams_received = counts["datagrams"]
        return sample
