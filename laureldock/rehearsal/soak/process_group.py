"""The processes of one soaked dispatcher: starts, ends, restarts, hand-overs, and what all are asked."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from laureldock.rehearsal.rule_checks import Account, Restart
from laureldock.rehearsal.scripted_run import free_port
from laureldock.rehearsal.soak.dispatcher_process import Address, DispatcherProcess
from laureldock.rehearsal.soak.faulty_process import FaultPlan
from laureldock.rehearsal.soak.platform import environment
from laureldock.rehearsal.soak.soak_result import Findings
from laureldock.rehearsal.soak.system_calls import Window

DOWN_TIME = 0.6  # seconds from the end of a process to its next start
SIGNALS_IN_SERIES = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)  # may follow while a process ends
SIGNAL_SHARE = 0.3  # of the ends of processes in which each of them does
UNREAD_ANSWERS = 0.5  # seconds before a kill: answers of that time may never have been read or recorded
RELOAD_TIMEOUT = 3.0  # seconds


class ProcessGroup:
    """Those that live of one dispatcher, the newest last.

    `listening` is the socket that they pass on, if they do; `write_file` configures a process by its file,
    management address and passed descriptor; `windows` are the faults of its system calls. With `platform`
    they are started as the platform does it.
    """

    def __init__(
        self,
        folder: Path,
        host: str,
        seed: int,
        listening: socket.socket | None,
        write_file: Callable[[Path, Address, int], None],
        windows: Callable[[], list[Window]],
        account: Account,
        findings: Findings,
        platform: bool = False,
    ) -> None:
        self.folder, self.host, self.seed = folder, host, seed
        self.listening, self.write_file, self.windows = listening, write_file, windows
        self.account, self.findings, self.platform = account, findings, platform
        self.living: list[DispatcherProcess] = []
        self.killed_at: list[float] = []  # of the wall clock
        self._launched = 0
        self._chance = random.Random(seed)  # of signals in series
        self._endings: set[asyncio.Task[None]] = set()  # of processes that hand over

    @property
    def passed(self) -> int:
        """The descriptor that is passed on; -1: none."""
        return self.listening.fileno() if self.listening else -1

    @property
    def newest(self) -> DispatcherProcess:
        """The newest one. RuntimeError: it has ended."""
        if not self.living or not self.living[-1].lives:
            raise RuntimeError("a process has ended by itself")
        return self.living[-1]

    def configure(self) -> None:
        """Write the file of each process. OSError."""
        for process in self.living:
            self.write_file(process.file, process.management, self.passed)

    async def launch(self) -> DispatcherProcess:
        """Start a process, and wait until it takes clients. TimeoutError, RuntimeError."""
        process = await self._start()
        await process.ready()
        return process

    async def kill_start(self, after: float) -> None:
        """Start a process and kill it so many seconds later, whether it takes clients by then or not."""
        process = await self._start()
        await asyncio.sleep(after)
        down = time.time()
        await self._kill(process)
        self.account.restarts.append(Restart(down, down, True))

    async def _start(self) -> DispatcherProcess:
        plan = self.folder / f"faults-{self._launched}.json"
        FaultPlan(str(self.folder / "state"), self.seed, self.windows()).write(plan)
        file = self.folder / f"laureldock-{self._launched}.toml"
        management = self.host, free_port(self.host)
        self._launched += 1
        self.write_file(file, management, self.passed)
        module = "laureldock.rehearsal.soak.faulty_process"
        command = [sys.executable, "-m", module, str(plan), "serve"]
        told = None
        if self.platform:
            told = environment(file, self.folder / "state", management, self.passed)
        else:
            command.append(str(file))
        log = self.folder / "log"
        process = await DispatcherProcess.launch(command, file, management, log, self.passed, told)
        self.living.append(process)
        return process

    async def held(self) -> int | None:
        """Messages that they hold; None where one does not answer now."""
        held = 0
        for process in self.living:
            if (figures := await process.figures()) is None:
                return None
            held += int(figures["in_flight"])
        return held

    def send(self, sign: signal.Signals) -> None:
        """A signal to each of them."""
        for process in self.living:
            process.send(sign)

    async def read_again(self) -> bool:
        """SIGHUP; whether each of them has surely read its file since."""
        processes = list(self.living)
        before = [await each.figures() for each in processes]
        self.send(signal.SIGHUP)
        until = time.monotonic() + RELOAD_TIMEOUT
        while None not in before and time.monotonic() < until:
            now = [await each.figures() for each in processes]
            if all(
                new and old and new["reloads_ok"] > old["reloads_ok"]
                for old, new in zip(before, now, strict=True)
            ):
                return True
            await asyncio.sleep(0.02)
        return False

    async def restart(self, sign: signal.Signals) -> None:
        """End the newest by SIGTERM or SIGKILL, and start one on the same folder."""
        down, process = time.time(), self.newest
        if sign is signal.SIGTERM:
            process.send(sign)
            await self._end(process)
        else:
            await self._kill(process)
        await asyncio.sleep(DOWN_TIME)
        await self.launch()
        self.findings.restarts += 1
        self.account.restarts.append(Restart(down, time.time(), sign is signal.SIGKILL))

    async def hand_over(self, killed_after: float | None) -> None:
        """Start a second process, and end the first one once the second takes clients.

        `killed_after`: seconds after which the first one is killed, if it has not ended by then.
        """
        before = self.newest
        await self.launch()
        self.findings.hand_overs += 1
        before.send(signal.SIGTERM)
        ending: Coroutine[Any, Any, None]
        ending = self._end(before) if killed_after is None else self._kill_later(before, killed_after)
        task = asyncio.create_task(ending)
        self._endings.add(task)
        task.add_done_callback(self._note_ending)

    async def endings_over(self) -> None:
        """Wait until all that hand over have ended."""
        await asyncio.gather(*self._endings)

    async def kill_newest(self) -> None:
        """RuntimeError: it has ended by itself."""
        await self._kill(self.newest)

    async def close(self) -> None:
        """Kill all that live."""
        for task in self._endings:
            task.cancel()
        for process in self.living:
            await process.kill()
        if self.listening:
            self.listening.close()

    def _note_ending(self, task: asyncio.Task[None]) -> None:
        self._endings.discard(task)
        if not task.cancelled() and (fault := task.exception()):
            self.findings.defects.append(f"the soak itself: {fault!r}")

    async def _kill_later(self, process: DispatcherProcess, delay: float) -> None:
        """Kill a process that ends; it may be over by then."""
        await asyncio.sleep(delay)
        if process.lives:
            down = time.time()
            await self._kill(process)
            self.account.restarts.append(Restart(down, down, True))
        else:
            await self._end(process)

    async def _end(self, process: DispatcherProcess) -> None:
        """Wait for the end of a process that was sent SIGTERM; more signals may follow meanwhile."""
        for sign in SIGNALS_IN_SERIES:
            if self._chance.random() < SIGNAL_SHARE:
                await asyncio.sleep(self._chance.uniform(0.0, 0.2))
                process.send(sign)
        if not await process.stopped():
            self.findings.defects.append("a planned stop took too long")
            self._note_kill()
        elif process.process.returncode:
            self.findings.defects.append(f"a planned stop ended with {process.process.returncode}")
        self.living.remove(process)

    async def _kill(self, process: DispatcherProcess) -> None:
        if not process.lives:
            raise RuntimeError(f"a process has ended by itself with {process.process.returncode}")
        self.killed_at.append(time.time())  # clients may see it before this process does
        await process.kill()
        self.living.remove(process)
        self._note_kill()

    def _note_kill(self) -> None:
        """What was answered right before may not have been read."""
        self.killed_at.append(time.time())
        recent = time.time() - UNREAD_ANSWERS
        self.account.killed |= {call.mail for call in self.account.calls if call.ended > recent}
