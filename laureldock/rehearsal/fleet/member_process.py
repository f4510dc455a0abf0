"""A member of a rehearsed fleet as a process of its own: start it, ask it, signal it."""

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

READY_TIMEOUT = 30.0  # seconds in which all processes must be up: forty of them start on one core or two
READY_INTERVAL = 0.05  # seconds between looks whether one is up
REQUEST_TIMEOUT = 1.0  # seconds, of a request to the operators' address


@dataclass(eq=False, slots=True)
class MemberProcess:
    """The process of one member, its folder and its addresses."""

    key: str  # of its folder and addresses; a duplicate of a name has another
    name: str
    site: str
    host: str  # where it listens
    relay: str  # where others reach it
    receiver_host: str  # where it reaches receivers
    folder: Path
    process: asyncio.subprocess.Process | None = None
    stopped: bool = False  # by SIGSTOP
    notices_read: int = 0  # bytes of its file of notices
    duplicate: bool = False

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended; it may be stopped."""
        return self.process is not None and self.process.returncode is None

    @property
    def log(self) -> Path:
        return self.folder / "log"

    @property
    def notices(self) -> Path:
        return self.folder / "state" / "undelivered.jsonl"

    async def launch(self, clock: float = 0.0) -> None:
        """Start the process; its wall clock is off by `clock` seconds."""
        command = [sys.executable, "-m", "laureldock.rehearsal.fleet.member", str(clock)]
        command += ["serve", str(self.folder / "laureldock.toml")]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        self.stopped = False

    async def wait_ready(self) -> None:
        """Until it takes clients. RuntimeError if the process ended, TimeoutError if that takes too long."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.is_running:
                raise RuntimeError(f"{self.key} ended; see {self.log}")
            if await self.ask("/_ready") == {"ready": True}:
                return
            await asyncio.sleep(READY_INTERVAL)
        raise TimeoutError(f"{self.key} not ready; see {self.log}")

    async def ask(self, path: str) -> dict[str, Any] | None:
        """What its operators' address answers; None where it does not."""
        return await get_json(self.host, OPERATORS_PORT, path, REQUEST_TIMEOUT)

    async def kill(self, sign: signal.Signals) -> None:
        """Send a signal that ends the process, and wait for its end."""
        if self.process and self.is_running:
            if self.stopped:
                self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(sign)
            await self.process.wait()

    def stop(self) -> None:
        """SIGSTOP."""
        if self.process and self.is_running:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = True

    def resume(self, process: asyncio.subprocess.Process) -> None:
        """SIGCONT to a process that was stopped, also if another one has taken its place."""
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        if self.process is process:
            self.stopped = False
