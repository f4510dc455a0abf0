"""The processes of one dispatcher under soak: starts, stops, restarts, handovers, requests to all of them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import Restart, RunRecord
from laureldock.rehearsal.scale.process_usage import resident_bytes
from laureldock.rehearsal.soak.dispatcher_process import Address, DispatcherProcess
from laureldock.rehearsal.soak.faulty_process import FaultPlan
from laureldock.rehearsal.soak.platform import environment
from laureldock.rehearsal.soak.soak_result import SoakResult
from laureldock.rehearsal.soak.system_calls import FaultWindow

DOWN_TIME = 0.6  # seconds from the end of a process to its next start
EXTRA_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)  # may follow while a process ends
EXTRA_SIGNAL_SHARE = 0.3  # fraction of the ends of processes in which each of them is sent
# Seconds before a kill: responses from that time may never have been read or recorded.
UNREAD_RESPONSE_TIME = 0.5
RELOAD_TIMEOUT = 3.0  # seconds


class ProcessGroup:
    """The running processes of one dispatcher, the newest last.

    `listening` is the socket that is passed to them, if any; `write_file` configures a process by its file,
    management address and passed descriptor; `windows` returns the faults of its system calls. With
    `platform` they are started as the platform does it.
    """

    def __init__(
        self,
        folder: Path,
        host: str,
        seed: int,
        listening: socket.socket | None,
        write_file: Callable[[Path, Address, int], None],
        windows: Callable[[], list[FaultWindow]],
        record: RunRecord,
        result: SoakResult,
        platform: bool = False,
        extra_signal_share: float = EXTRA_SIGNAL_SHARE,
    ) -> None:
        self.extra_signal_share = extra_signal_share
        self.folder, self.host, self.seed = folder, host, seed
        self.listening, self.write_file, self.windows = listening, write_file, windows
        self.record, self.result, self.platform = record, result, platform
        self.running: list[DispatcherProcess] = []
        self.kill_times: list[float] = []  # seconds of the wall clock
        self._started_count = 0
        self._rng = random.Random(seed)  # of extra signals
        self._handovers: set[asyncio.Task[None]] = set()  # processes that are ending

    @property
    def passed(self) -> int:
        """The descriptor of the passed socket; -1: none."""
        return self.listening.fileno() if self.listening else -1

    @property
    def newest(self) -> DispatcherProcess:
        """The newest process. Raises RuntimeError if it has ended."""
        if not self.running or not self.running[-1].is_running:
            raise RuntimeError("a process ended unexpectedly")
        return self.running[-1]

    def resident_bytes(self) -> int:
        """Resident memory of all processes that run."""
        total = 0
        for process in self.running:
            with contextlib.suppress(OSError):
                total += resident_bytes(process.process_id)
        return total

    def configure(self) -> None:
        """Write the file of each process. Raises OSError."""
        for process in self.running:
            self.write_file(process.file, process.management, self.passed)

    async def launch(self) -> DispatcherProcess:
        """Start a process, and wait until it accepts clients. Raises TimeoutError, RuntimeError."""
        process = await self._start()
        await process.wait_ready()
        return process

    async def kill_start(self, delay: float) -> None:
        """Start a process and kill it `delay` seconds later, whether or not it accepts clients by then."""
        process = await self._start()
        await asyncio.sleep(delay)
        down_at = time.time()
        await self._kill(process)
        self.record.restarts.append(Restart(down_at, down_at, True))

    async def _start(self) -> DispatcherProcess:
        plan = self.folder / f"faults-{self._started_count}.json"
        FaultPlan(str(self.folder / "state"), self.seed, self.windows()).write(plan)
        file = self.folder / f"laureldock-{self._started_count}.toml"
        management = self.host, free_port(self.host)
        self._started_count += 1
        self.write_file(file, management, self.passed)
        module = "laureldock.rehearsal.soak.faulty_process"
        command = [sys.executable, "-m", module, str(plan), "serve"]
        variables = None
        if self.platform:
            variables = environment(file, self.folder / "state", management, self.passed)
        else:
            command.append(str(file))
        log = self.folder / "log"
        process = await DispatcherProcess.launch(command, file, management, log, self.passed, variables)
        self.running.append(process)
        return process

    async def pending_messages(self) -> int | None:
        """Return the number of messages that are pending; None if a process does not respond now."""
        pending = 0
        for process in self.running:
            if (counters := await process.counters()) is None:
                return None
            pending += int(counters["in_flight"])
        return pending

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to each process."""
        for process in self.running:
            process.send_signal(number)

    async def reload(self) -> bool:
        """Send SIGHUP; return whether each process has certainly read its file since."""
        processes = list(self.running)
        before = [await each.counters() for each in processes]
        self.send_signal(signal.SIGHUP)
        until = time.monotonic() + RELOAD_TIMEOUT
        while None not in before and time.monotonic() < until:
            now = [await each.counters() for each in processes]
            if all(
                new and old and new["reloads_ok"] > old["reloads_ok"]
                for old, new in zip(before, now, strict=True)
            ):
                return True
            await asyncio.sleep(0.02)
        return False

    async def restart(self, number: signal.Signals) -> None:
        """End the newest process by SIGTERM or SIGKILL, and start one in the same folder."""
        down_at, process = time.time(), self.newest
        if number is signal.SIGTERM:
            process.send_signal(number)
            await self._wait_stopped(process)
        else:
            await self._kill(process)
        await asyncio.sleep(DOWN_TIME)
        await self.launch()
        self.result.restarts += 1
        self.record.restarts.append(Restart(down_at, time.time(), number is signal.SIGKILL))

    async def hand_over(self, kill_delay: float | None) -> None:
        """Start a second process, and end the first one once the second accepts clients.

        `kill_delay`: seconds after which the first one is killed, if it has not ended by then.
        """
        previous = self.newest
        await self.launch()
        self.result.handovers += 1
        previous.send_signal(signal.SIGTERM)
        ending: Coroutine[Any, Any, None]
        ending = (
            self._wait_stopped(previous) if kill_delay is None else self._kill_later(previous, kill_delay)
        )
        task = asyncio.create_task(ending)
        self._handovers.add(task)
        task.add_done_callback(self._record_handover)

    async def wait_for_handovers(self) -> None:
        """Wait until all processes that hand over have ended."""
        await asyncio.gather(*self._handovers)

    async def kill_newest(self) -> None:
        """Kill the newest process. Raises RuntimeError if it has ended."""
        await self._kill(self.newest)

    async def close(self) -> None:
        """Kill all processes that run."""
        for task in self._handovers:
            task.cancel()
        for process in self.running:
            await process.kill()
        if self.listening:
            self.listening.close()

    def _record_handover(self, task: asyncio.Task[None]) -> None:
        self._handovers.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.result.errors.append(f"the soak itself failed: {error!r}")

    async def _kill_later(self, process: DispatcherProcess, delay: float) -> None:
        """Kill a process that is ending; it may have ended by then."""
        await asyncio.sleep(delay)
        if process.is_running:
            down_at = time.time()
            await self._kill(process)
            self.record.restarts.append(Restart(down_at, down_at, True))
        else:
            await self._wait_stopped(process)

    async def _wait_stopped(self, process: DispatcherProcess) -> None:
        """Wait for the end of a process that was sent SIGTERM; more signals may follow meanwhile."""
        for number in EXTRA_SIGNALS:
            if self._rng.random() < self.extra_signal_share:
                await asyncio.sleep(self._rng.uniform(0.0, 0.2))
                process.send_signal(number)
        if not await process.wait_stopped():
            self.result.errors.append("a planned stop took too long")
            self._record_kill()
        elif process.process.returncode:
            self.result.errors.append(f"a planned stop ended with exit code {process.process.returncode}")
        self.running.remove(process)

    async def _kill(self, process: DispatcherProcess) -> None:
        if not process.is_running:
            raise RuntimeError(f"a process ended unexpectedly with exit code {process.process.returncode}")
        self.kill_times.append(time.time())  # clients may observe the kill before this process does
        await process.kill()
        self.running.remove(process)
        self._record_kill()

    def _record_kill(self) -> None:
        """Record a kill: responses sent right before may not have been read."""
        self.kill_times.append(time.time())
        recent = time.time() - UNREAD_RESPONSE_TIME
        self.record.pending_at_kill |= {call.message for call in self.record.calls if call.ended_at > recent}
