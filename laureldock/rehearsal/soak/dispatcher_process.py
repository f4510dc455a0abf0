"""One process of a dispatcher under test: start, stop, and requests to its management address."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from laureldock.rehearsal.management import get_json

READY_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 3.7  # seconds from SIGTERM to SIGKILL, by the platform's protocol
REQUEST_TIMEOUT = 2.0  # seconds
Address = tuple[str, int]  # host and port
READY_INTERVAL = 0.02  # seconds between two requests to a process that starts


@dataclass(eq=False, slots=True)
class DispatcherProcess:
    """A process, with its configuration file and its management address."""

    process: asyncio.subprocess.Process
    file: Path
    management: Address
    terminated_at: float = 0.0  # time of SIGTERM in monotonic seconds; zero: it was not sent

    @classmethod
    async def launch(
        cls,
        command: Sequence[str],
        file: Path,
        management: Address,
        log: Path,
        passed: int = -1,
        environment: Mapping[str, str] | None = None,
    ) -> DispatcherProcess:
        """Start a process by a command; `passed` is a descriptor that it inherits. Raises OSError.

        `environment` replaces the environment of this process.
        """
        descriptors = [passed] if passed >= 0 else []
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command, stdout=output, stderr=output, pass_fds=descriptors, env=environment
            )
        return cls(process, file, management)

    @property
    def process_id(self) -> int:
        """The id of the process."""
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended, as far as is known."""
        return self.process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if not self.is_running:
            return
        if number is signal.SIGTERM and not self.terminated_at:
            self.terminated_at = time.monotonic()
        # Popen.send_signal may collect the exit status of a process that has just ended; asyncio, which waits
        # for it too, then reports 255.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process_id, number)

    async def wait_ready(self) -> None:
        """Wait until it accepts clients. Raises RuntimeError if it ended, else TimeoutError."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.is_running:
                raise RuntimeError(f"a process ended at startup with exit code {self.process.returncode}")
            counters = await self.counters()
            if counters and counters["ready"]:
                return
            await asyncio.sleep(READY_INTERVAL)
        raise TimeoutError(f"a process was not ready in {READY_TIMEOUT:g} s")

    async def counters(self) -> dict[str, Any] | None:
        """Return the response to `/_vars`; None if there is none."""
        return await get_json(*self.management, "/_vars", REQUEST_TIMEOUT)

    async def kill(self) -> None:
        """Kill it by SIGKILL, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def wait_stopped(self) -> bool:
        """Wait for its end after SIGTERM, and kill it if that is late; return whether it ended in time."""
        remaining = self.terminated_at + STOP_TIMEOUT - time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), max(0.0, remaining))
        if self.is_running:
            await self.kill()
            return False
        return True
