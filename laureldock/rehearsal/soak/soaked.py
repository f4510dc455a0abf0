"""One soaked dispatcher: its process, the stand-ins, relays and clients round it, and its troubles."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
import sys
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from laureldock.rehearsal.account import TAKEN, Account, Restart, Told, Verdict, judge
from laureldock.rehearsal.play import LIFETIME, RECEIVERS, free_port, new_lines, write_example
from laureldock.rehearsal.soak import troubles
from laureldock.rehearsal.soak.clients import Load, misbehave
from laureldock.rehearsal.soak.dispatcher_process import Address, DispatcherProcess
from laureldock.rehearsal.soak.faulty_process import FaultPlan
from laureldock.rehearsal.soak.relay import Relay
from laureldock.rehearsal.soak.system_calls import Fault, Window
from laureldock.rehearsal.soak.troubles import Signal, Trouble
from laureldock.rehearsal.standins import Fault as ReceiverFault
from laureldock.rehearsal.standins import Receiver

DOWN_TIME = 0.6  # seconds from the end of a process to its next start
PAUSE_TIME = 0.15  # seconds for which a process is held up
RELOADS = 3  # in a row
SETTLE_TIME = LIFETIME + 3.0  # seconds in which all that was accepted has its end
SIGNALS_IN_SERIES = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)  # may follow while a process ends
UNREAD_ANSWERS = 0.5  # seconds before a kill: answers of that time may never have been read or recorded


@dataclass(slots=True)
class Findings:
    """What a soak of one dispatcher has shown."""

    name: str
    seed: int
    handed_in: int = 0
    accepted: int = 0
    delivered: int = 0
    restarts: int = 0
    hand_overs: int = 0
    troubles: list[str] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    violations: int = 0  # of invariants, as the process counted them
    defects: list[str] = field(default_factory=list)  # crashes, exceptions, ends that came late
    stories: list[str] = field(default_factory=list)  # of each message for which a rule was broken

    @property
    def broken(self) -> list[str]:
        """All that should not have been seen."""
        found = [f"{each.rule}: {case}" for each in self.verdicts for case in each.broken]
        if self.violations:
            found.append(f"{self.violations} invariant violations; see the log")
        return found + self.defects


class SoakedDispatcher:
    """Plays `length` seconds of load and troubles, and judges them.

    `passed`: the listening socket is held here and passed to each process, as on the platform's days with a
    new version under load; processes hand over then.
    """

    def __init__(
        self, folder: Path, name: str, seed: int, length: float, rate: float, passed: bool = False
    ) -> None:
        self.folder, self.name, self.seed, self.length = folder, name, seed, length
        self.account = Account()
        self.findings = Findings(name, seed)
        self.receivers = {
            each: Receiver(each, owner, self.account, seed + place)
            for place, (each, owner) in enumerate(RECEIVERS.items())
        }
        self.troubles = troubles.draw(seed, length, list(RECEIVERS), passed)
        self.relays = {each: Relay(partial(self.relay_trouble, each)) for each in RECEIVERS}
        self.notices, self.notices_read = folder / "state" / "undelivered.jsonl", 0
        self.log = folder / "log"
        # An address of its own: no port there is taken by a connection that goes out.
        self.host, self.port = f"127.77.{seed // 250 % 250}.{seed % 250 + 1}", free_port()
        self.listening = socket.create_server((self.host, self.port), backlog=512) if passed else None
        self.chance = random.Random(seed)  # of signals in series
        self.load = Load(
            self.account,
            (self.host, self.port),
            seed,
            rate,
            sorted(set(RECEIVERS.values())),
            self.may_be_unanswered,
        )
        self.processes: list[DispatcherProcess] = []  # those that live, the newest last
        self.launched = 0
        self.without = ""  # a receiver that is not listed just now
        self.endings: set[asyncio.Task[None]] = set()  # of processes that hand over
        self.began = 0.0  # of the monotonic clock, as `troubles` count from it
        self.ends_at: list[float] = []  # of the wall clock, when a process was killed or died

    # What the troubles say now

    def elapsed(self) -> float:
        return time.monotonic() - self.began

    def relay_trouble(self, receiver: str) -> troubles.Path | None:
        now = self.elapsed()
        for each in self.troubles:
            if (
                isinstance(each.kind, troubles.Path)
                and each.target == receiver
                and each.at <= now < each.until
            ):
                return each.kind
        return None

    def may_be_unanswered(self) -> bool:
        """Whether its connections break just now: it was killed, or its reads and writes fail."""
        now = self.elapsed()
        breaking = [each for each in self.troubles if each.kind is Fault.BROKEN]
        if any(each.at - 0.5 <= now < each.until + 0.5 for each in breaking):
            return True
        return any(abs(time.time() - at) < 1.0 for at in self.ends_at)

    def windows(self) -> list[Window]:
        """Of the system calls of a process, on the monotonic clock."""
        return [
            Window(each.kind, self.began + each.at, self.began + each.until, each.share, each.step)
            for each in self.troubles
            if isinstance(each.kind, Fault)
        ]

    # The process

    def configure(self) -> None:
        """Write the file of each process: the example, with the relays as receivers."""
        for process in self.processes:
            self.write_file(process.file, process.management)

    def write_file(self, file: Path, management: Address) -> None:
        ports = [
            (each, self.relays[name].port) for name, each in self.receivers.items() if name != self.without
        ]
        more: dict[str, Any] = {"name": self.name, "management": f"{management[0]}:{management[1]}"}
        if self.listening:
            more["passed"] = self.listening.fileno()
        write_example(file, f"{self.host}:{self.port}", ports, **more)

    async def launch(self) -> DispatcherProcess:
        """Start a process, and wait until it takes clients. TimeoutError, RuntimeError."""
        plan = self.folder / f"faults-{self.launched}.json"
        FaultPlan(str(self.folder / "state"), self.seed, self.windows()).write(plan)
        file = self.folder / f"laureldock-{self.launched}.toml"
        management = self.host, free_port(self.host)
        self.launched += 1
        self.write_file(file, management)
        module = "laureldock.rehearsal.soak.faulty_process"
        command = [sys.executable, "-m", module, str(plan), "serve", str(file)]
        passed = self.listening.fileno() if self.listening else -1
        process = await DispatcherProcess.launch(command, file, management, self.log, passed)
        self.processes.append(process)
        await process.ready()
        return process

    @property
    def process(self) -> DispatcherProcess:
        """The newest one. RuntimeError: it has ended."""
        if not self.processes or not self.processes[-1].lives:
            raise RuntimeError(f"{self.name} had ended")
        return self.processes[-1]

    async def held(self) -> int | None:
        """Messages that its processes hold; None where one does not answer now."""
        held = 0
        for process in self.processes:
            if (figures := await process.figures()) is None:
                return None
            held += int(figures["in_flight"])
        return held

    # The soak

    async def play(self) -> Findings:
        """Play, and judge."""
        (self.folder / "state").mkdir(parents=True, exist_ok=True)
        self.began = time.monotonic() + 3600.0  # no trouble yet
        for name, receiver in self.receivers.items():
            await receiver.start(time.time())
            await self.relays[name].start(receiver.port)
        first = self.troubles
        try:
            self.troubles = []
            await self.launch()
            await self.kill_process(self.process)
            self.troubles, self.began = first, time.monotonic()
            self.tell_receivers()
            await self.launch()
            self.ends_at.clear()
            await self.run()
        except (RuntimeError, TimeoutError) as defect:
            self.findings.defects.append(str(defect))
        finally:
            await self.close()
        self.judge()
        return self.findings

    def tell_receivers(self) -> None:
        wall = time.time() - self.elapsed()
        for receiver in self.receivers.values():
            receiver.began = wall
        for each in self.troubles:
            if isinstance(each.kind, troubles.Receiver):
                fault = ReceiverFault(each.kind.value, each.at, each.until)
                self.receivers[each.target].faults.append(fault)

    async def run(self) -> None:
        helpers = [asyncio.create_task(self.watch_notices())]
        helpers += [asyncio.create_task(each.run()) for each in self.receivers.values()]
        helpers += [asyncio.create_task(self.misbehave(each)) for each in self.troubles]
        signals = asyncio.create_task(self.send_signals())
        try:
            await self.load.run(max(0.0, self.length - self.elapsed()))
            await signals
            await self.settle()
        finally:
            for task in [*helpers, signals]:
                task.cancel()
            done = await asyncio.gather(*helpers, signals, return_exceptions=True)
        defects = [each for each in done if isinstance(each, Exception)]
        self.findings.defects += [f"the soak itself: {defect!r}" for defect in defects]

    async def misbehave(self, trouble: Trouble) -> None:
        if isinstance(trouble.kind, troubles.Client):
            await self.wait_until(trouble.at)
            await misbehave(trouble.kind, (self.host, self.port), trouble.until - trouble.at)

    async def wait_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.elapsed()))

    async def send_signals(self) -> None:
        acts = {
            Signal.KILL: self.kill,
            Signal.TERMINATE: self.terminate,
            Signal.RELOAD: self.reload,
            Signal.DRAIN: self.drain,
            Signal.PAUSE: self.pause,
            Signal.HAND_OVER: self.hand_over,
            Signal.KILLED_HAND_OVER: self.hand_over,
        }
        for trouble in self.troubles:
            if isinstance(trouble.kind, Signal):
                await self.wait_until(trouble.at)
                act: Coroutine[Any, Any, None] = acts[trouble.kind](trouble)
                await act

    async def kill(self, trouble: Trouble) -> None:
        await self.restart(signal.SIGKILL)

    async def terminate(self, trouble: Trouble) -> None:
        await self.restart(signal.SIGTERM)

    async def restart(self, sign: signal.Signals) -> None:
        down, process = time.time(), self.process
        if sign is signal.SIGTERM:
            process.send(sign)
            await self.end_process(process)
        else:
            await self.kill_process(process)
        await asyncio.sleep(DOWN_TIME)
        await self.launch()
        self.findings.restarts += 1
        self.account.restarts.append(Restart(down, time.time(), sign is signal.SIGKILL))

    async def hand_over(self, trouble: Trouble) -> None:
        """Start a second process, and end the first one once the second takes clients."""
        before = self.process
        await self.launch()
        self.findings.hand_overs += 1
        before.send(signal.SIGTERM)
        if trouble.kind is Signal.KILLED_HAND_OVER:
            ending = self.kill_later(before, trouble.until - trouble.at)
        else:
            ending = self.end_process(before)
        task = asyncio.create_task(ending)
        self.endings.add(task)
        task.add_done_callback(self.note_ending)

    def note_ending(self, task: asyncio.Task[None]) -> None:
        self.endings.discard(task)
        if not task.cancelled() and (fault := task.exception()):
            self.findings.defects.append(f"the soak itself: {fault!r}")

    async def kill_later(self, process: DispatcherProcess, delay: float) -> None:
        """Kill a process that ends; it may be over by then."""
        await asyncio.sleep(delay)
        if process.lives:
            down = time.time()
            await self.kill_process(process)
            self.account.restarts.append(Restart(down, down, True))
        else:
            await self.end_process(process)

    async def end_process(self, process: DispatcherProcess) -> None:
        """Wait for the end of a process that was sent SIGTERM; more signals may follow meanwhile."""
        for sign in SIGNALS_IN_SERIES:
            if self.chance.random() < 0.3:
                await asyncio.sleep(self.chance.uniform(0.0, 0.2))
                process.send(sign)
        if not await process.stopped():
            self.findings.defects.append("a planned stop took too long")
            self.note_kill()
        elif process.process.returncode:
            self.findings.defects.append(f"a planned stop ended with {process.process.returncode}")
        self.processes.remove(process)

    async def kill_process(self, process: DispatcherProcess) -> None:
        if not process.lives:
            raise RuntimeError(f"{self.name} had ended with {process.process.returncode}")
        await process.kill()
        self.processes.remove(process)
        self.note_kill()

    def note_kill(self) -> None:
        """What was answered right before may not have been read."""
        self.ends_at.append(time.time())
        recent = time.time() - UNREAD_ANSWERS
        self.account.killed |= {call.mail for call in self.account.calls if call.ended > recent}

    async def reload(self, trouble: Trouble) -> None:
        for _ in range(RELOADS):
            self.signal(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def drain(self, trouble: Trouble) -> None:
        """A receiver less, once that has been read; and all of them again."""
        self.without = trouble.target
        self.configure()
        if await self.read_again():
            told = Told(trouble.target, time.time())
            self.account.drains.append(told)
            await self.wait_until(trouble.until)
            told.until = time.time()
        self.without = ""
        self.configure()
        await self.read_again()

    async def read_again(self) -> bool:
        """SIGHUP; whether each process has surely read its file since."""
        processes = list(self.processes)
        before = [await each.figures() for each in processes]
        self.signal(signal.SIGHUP)
        until = time.monotonic() + 3.0
        while None not in before and time.monotonic() < until:
            now = [await each.figures() for each in processes]
            if all(
                new and old and new["reloads_ok"] > old["reloads_ok"]
                for old, new in zip(before, now, strict=True)
            ):
                return True
            await asyncio.sleep(0.02)
        return False

    async def pause(self, trouble: Trouble) -> None:
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_TIME)
        self.signal(signal.SIGCONT)

    def signal(self, sign: signal.Signals) -> None:
        for process in self.processes:
            process.send(sign)

    async def watch_notices(self) -> None:
        while True:
            self.read_notices()
            await asyncio.sleep(0.02)

    def read_notices(self) -> None:
        lines, self.notices_read = new_lines(self.notices, self.notices_read)
        for line in lines:
            told = json.loads(line)
            if (mail := self.account.handed.get(told["message"])) is not None:
                mail.notices.append((time.time(), told["outcome"]))
            else:
                self.account.strays.append(told["message"])

    async def settle(self) -> None:
        """Until all that was accepted has its end, or should have."""
        await asyncio.gather(*self.endings)
        until = time.monotonic() + SETTLE_TIME
        while time.monotonic() < until:
            if await self.held() == 0:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)

    async def close(self) -> None:
        for task in self.endings:
            task.cancel()
        await self.load.close()
        for process in self.processes:
            await process.kill()
        for receiver in self.receivers.values():
            await receiver.stop()
        for relay in self.relays.values():
            await relay.stop()
        if self.listening:
            self.listening.close()

    def is_broken(self, name: str) -> bool:
        return any(name in case for verdict in self.findings.verdicts for case in verdict.broken)

    def story(self, name: str) -> str:
        """All that was seen of a message, in seconds from the start of the load."""
        began = time.time() - self.elapsed()
        mail = self.account.handed[name]
        parts = [f"{name} {mail.effect} to {mail.destination} {mail.key}: at {mail.at - began:.2f}"]
        parts.append(f"{mail.word or 'no answer'} {mail.answered - began:.2f}")
        for call in self.account.calls:
            if call.mail == name:
                ran = "ran" if call.ran else "not run"
                parts.append(
                    f"{call.receiver} {call.first - began:.2f}-{call.ended - began:.2f} {call.status} {ran}"
                )
        parts += [f"{word} {at - began:.2f}" for at, word in mail.notices]
        return "; ".join(parts)

    def forget_lost_answers(self) -> None:
        """What a stand-in answered and its relay did not pass on was told to nobody."""
        for call in self.account.calls:
            relayed = self.relays[call.receiver].calls
            same = [each for each in relayed if each.mail == call.mail and each.at <= call.first]
            if same and same[-1].answered:
                continue
            call.status = 0
            self.account.waits = [
                each
                for each in self.account.waits
                if (each.receiver, each.mail) != (call.receiver, call.mail)
            ]

    def judge(self) -> None:
        self.read_notices()
        self.forget_lost_answers()
        wall = time.time() - self.elapsed()
        for each in self.troubles:
            if each.kind is Fault.BROKEN:
                self.account.unreadable.append((wall + each.at, wall + each.until))
            elif each.kind is Fault.DISK_ERROR and each.share == 1.0:
                self.account.unwritable.append((wall + each.at, wall + each.until))
        findings, handed = self.findings, self.account.handed.values()
        findings.handed_in = len(handed)
        findings.accepted = sum(mail.word == TAKEN for mail in handed)
        served = {call.mail for call in self.account.calls if call.status == 200}
        findings.delivered = len(served)
        findings.verdicts = judge(self.account)
        findings.troubles = [
            f"{each.at:.1f}-{each.until:.1f}s {each.kind} {each.target}".strip() for each in self.troubles
        ]
        findings.stories = [self.story(name) for name in self.account.handed if self.is_broken(name)]
        self.read_log()

    def read_log(self) -> None:
        """Violations and faults, as the processes logged them."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        self.findings.violations = text.count('"event": "invariant violated"')
        if "Traceback" in text or '"event": "fault"' in text:
            self.findings.defects.append(f"an exception in {self.log}")
