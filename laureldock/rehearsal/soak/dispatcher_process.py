"""One process of a rehearsed dispatcher: its start, its end, and what its management address says."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from laureldock.rehearsal.management import get_json

READY_TIMEOUT = 30.0  # seconds
STOP_TIMEOUT = 3.7  # seconds from SIGTERM to SIGKILL, by the platform's protocol
ASK_TIMEOUT = 2.0  # seconds
Address = tuple[str, int]  # host and port
READY_INTERVAL = 0.02  # seconds between two asks of a process that starts


@dataclass(eq=False, slots=True)
class DispatcherProcess:
    """A process, with the file that it was configured by and its management address."""

    process: asyncio.subprocess.Process
    file: Path
    management: Address
    terminated_at: float = 0.0  # monotonic seconds; 0: it was not told to end

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
        """Start a process by a command; `passed` is a descriptor that it inherits. OSError.

        `environment` stands in place of this process's own.
        """
        descriptors = [passed] if passed >= 0 else []
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *command, stdout=output, stderr=output, pass_fds=descriptors, env=environment
            )
        return cls(process, file, management)

    @property
    def id(self) -> int:
        """Of the process."""
        return self.process.pid

    @property
    def lives(self) -> bool:
        """Whether it has not ended, as far as is known."""
        return self.process.returncode is None

    def send(self, sign: signal.Signals) -> None:
        """A signal, if it lives."""
        if not self.lives:
            return
        if sign is signal.SIGTERM and not self.terminated_at:
            self.terminated_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(sign)

    async def ready(self) -> None:
        """Wait until it says that it takes clients. RuntimeError: it ended; TimeoutError."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if not self.lives:
                raise RuntimeError(f"a process ended at its start with {self.process.returncode}")
            figures = await self.figures()
            if figures and figures["ready"]:
                return
            await asyncio.sleep(READY_INTERVAL)
        raise TimeoutError(f"a process was not ready in {READY_TIMEOUT:g} s")

    async def figures(self) -> dict[str, Any] | None:
        """What `/_vars` shows; None where it does not answer now."""
        return await get_json(*self.management, "/_vars", ASK_TIMEOUT)

    async def kill(self) -> None:
        """End it at once, and wait for that."""
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stopped(self) -> bool:
        """Wait for its end after SIGTERM, and kill it where that is late; whether it ended in time."""
        left = self.terminated_at + STOP_TIMEOUT - time.monotonic()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), max(0.0, left))
        if self.lives:
            await self.kill()
            return False
        return True
