"""A member of a rehearsed fleet as a process: start it, query it, signal it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from laureldock.rehearsal.fleet.configuration import OPERATORS_PORT
from laureldock.rehearsal.management import get_json

READY_TIMEOUT = 30.0  # seconds until all processes must be ready; forty of them may start on one or two cores
READY_INTERVAL = 0.05  # seconds between checks whether one is ready
REQUEST_TIMEOUT = 1.0  # seconds, for a request to the operators' address


@dataclass(eq=False, slots=True)
class MemberProcess:
    """The process of one member, its directory and its addresses."""

    key: str  # identifies its directory and addresses; a duplicate of a name has a key of its own
    name: str
    site: str
    host: str  # host that it listens at
    relay_host: str  # host by which other members reach it
    receiver_host: str  # host by which it reaches receivers
    folder: Path
    process: asyncio.subprocess.Process | None = None
    stopped: bool = False  # by SIGSTOP
    notices_read: int = 0  # bytes of its file of notices that have been read
    duplicate: bool = False  # another process of the same name

    @property
    def is_running(self) -> bool:
        """Whether its process has not exited; it may be stopped."""
        return self.process is not None and self.process.returncode is None

    @property
    def log_path(self) -> Path:
        return self.folder / "log"

    @property
    def notices_path(self) -> Path:
        return self.folder / "state" / "undelivered.jsonl"

    async def launch(self, clock_offset: float = 0.0) -> None:
        """Start the process; its wall clock deviates by `clock_offset` seconds."""
        command = [sys.executable, "-m", "laureldock.rehearsal.fleet.member", str(clock_offset)]
        command += ["serve", str(self.folder / "laureldock.toml")]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        self.stopped = False

    async def wait_ready(self) -> None:
        """Wait until it accepts clients. Raises RuntimeError if the process exits, or TimeoutError."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.is_running:
                raise RuntimeError(f"{self.key} exited before it was ready; see {self.log_path}")
            if await self.query("/_ready") == {"ready": True}:
                return
            await asyncio.sleep(READY_INTERVAL)
        raise TimeoutError(f"{self.key} was not ready in time; see {self.log_path}")

    async def query(self, path: str) -> dict[str, Any] | None:
        """Return the response of its operators' address; None if there is none."""
        return await get_json(self.host, OPERATORS_PORT, path, REQUEST_TIMEOUT)

    async def kill(self, ending_signal: signal.Signals) -> None:
        """Send a signal that ends the process, and wait until it has exited."""
        if self.process and self.is_running:
            if self.stopped:
                self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(ending_signal)
            await self.process.wait()

    def stop(self) -> None:
        """Suspend the process with SIGSTOP."""
        if self.process and self.is_running:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = True

    def resume(self, process: asyncio.subprocess.Process) -> None:
        """Send SIGCONT to a process that was stopped, even if another one has replaced it."""
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        if self.process is process:
            self.stopped = False
