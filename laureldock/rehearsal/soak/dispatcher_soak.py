"""One soaked dispatcher: its process, the stand-ins, relays and clients round it, and its troubles."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from laureldock.rehearsal.rule_checks import Account, Told
from laureldock.rehearsal.scripted_run import LIFETIME, RECEIVERS, free_port, new_lines, write_example
from laureldock.rehearsal.soak import faults as troubles
from laureldock.rehearsal.soak.clients import Load, misbehave
from laureldock.rehearsal.soak.discovery import DRAINING, READY, Discovery, Host
from laureldock.rehearsal.soak.dispatcher_process import Address
from laureldock.rehearsal.soak.evaluation import judge_play
from laureldock.rehearsal.soak.faults import Signal, Trouble
from laureldock.rehearsal.soak.platform import write_configuration
from laureldock.rehearsal.soak.process_group import ProcessGroup
from laureldock.rehearsal.soak.relay import Relay
from laureldock.rehearsal.soak.soak_result import Findings
from laureldock.rehearsal.soak.system_calls import Fault, Window
from laureldock.rehearsal.stub_receivers import Fault as ReceiverFault
from laureldock.rehearsal.stub_receivers import Receiver

PAUSE_TIME = 0.15  # seconds for which a process is held up
RESUME_TIME = 0.02  # seconds until it has read what came meanwhile
RELOADS = 3  # in a row
START_SHARE = 0.3  # of a trouble's time, after which a process that starts is killed: ready or not yet
NOTICE_INTERVAL = 0.02  # seconds between two looks at a file of notices
EMPTY_LOOKS = 6  # in a row, a tenth of a second apart, after which nothing is held
SETTLE_TIME = LIFETIME + 3.0  # seconds in which all that was accepted has its end


class SoakedDispatcher:
    """Plays `length` seconds of load and troubles, and judges them.

    `passed`: the listening socket is held here and passed to each process, as on the platform's days with a
    new version under load; processes hand over then. `platform`: the list of receivers and the notices are
    the platform's.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        seed: int,
        length: float,
        rate: float,
        passed: bool = False,
        platform: bool = False,
    ) -> None:
        self.folder, self.name, self.seed, self.length = folder, name, seed, length
        self.account = Account()
        self.findings = Findings(name, seed)
        self.receivers = {
            each: Receiver(each, owner, self.account, seed + place)
            for place, (each, owner) in enumerate(RECEIVERS.items())
        }
        self.troubles = troubles.draw(seed, length, list(RECEIVERS), passed, platform)
        owners = sorted(set(RECEIVERS.values()))
        # The platform's destinations are numbers.
        self.destinations = {
            owner: str(place + 1) if platform else owner for place, owner in enumerate(owners)
        }
        self.discovery = Discovery(self.listing_trouble, self.take_notice) if platform else None
        self.relays = {each: Relay(partial(self.relay_trouble, each)) for each in RECEIVERS}
        self.notices, self.notices_read = folder / "state" / "undelivered.jsonl", 0
        self.log = folder / "log"
        # An address of its own: no port there is taken by a connection that goes out.
        self.host, self.port = f"127.77.{seed // 250 % 250}.{seed % 250 + 1}", free_port()
        listening = socket.create_server((self.host, self.port), backlog=512) if passed else None
        self.load = Load(
            self.account,
            (self.host, self.port),
            seed,
            rate,
            list(self.destinations.values()),
            self.may_be_unanswered,
        )
        self.without = ""  # a receiver that is not listed just now
        self.began = 0.0  # of the monotonic clock, as `troubles` count from it
        self.processes = ProcessGroup(
            folder,
            self.host,
            seed,
            listening,
            self.write_file,
            self.windows,
            self.account,
            self.findings,
            platform,
        )

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

    def listing_trouble(self) -> troubles.Listing | None:
        now = self.elapsed()
        for each in self.troubles:
            if isinstance(each.kind, troubles.Listing) and each.at <= now < each.until:
                return each.kind
        return None

    def may_be_unanswered(self) -> bool:
        """Whether its connections break just now: it was killed, or its reads and writes fail."""
        now = self.elapsed()
        breaking = [each for each in self.troubles if each.kind is Fault.BROKEN]
        if any(each.at - 0.5 <= now < each.until + 0.5 for each in breaking):
            return True
        return any(abs(time.time() - at) < 1.0 for at in self.processes.killed_at)

    def windows(self) -> list[Window]:
        """Of the system calls of a process, on the monotonic clock."""
        return [
            Window(each.kind, self.began + each.at, self.began + each.until, each.share, each.step)
            for each in self.troubles
            if isinstance(each.kind, Fault)
        ]

    # The process

    def write_file(self, file: Path, management: Address, passed: int) -> None:
        """Configure a process: the example, with the relays as receivers. OSError."""
        listen = f"{self.host}:{self.port}"
        if self.discovery:
            agent = f"127.0.0.1:{self.discovery.port}"
            write_configuration(file, self.name, self.seed, listen, agent, self.discovery.whole())
            return
        ports = [
            (each, self.relays[name].port) for name, each in self.receivers.items() if name != self.without
        ]
        more: dict[str, Any] = {"name": self.name, "management": f"{management[0]}:{management[1]}"}
        if passed >= 0:
            more["passed"] = passed
        write_example(file, listen, ports, **more)

    # The soak

    async def play(self) -> None:
        """Play to the end; what it has shown is `judge`."""
        (self.folder / "state").mkdir(parents=True, exist_ok=True)
        self.began = time.monotonic() + 3600.0  # no trouble yet
        for name, receiver in self.receivers.items():
            await receiver.start(time.time())
            await self.relays[name].start(receiver.port)
        if self.discovery:
            await self.discovery.start(self.hosts())
        first = self.troubles
        try:
            self.troubles = []
            await self.processes.launch()
            await self.processes.kill_newest()
            self.troubles, self.began = first, time.monotonic()
            self.tell_receivers()
            await self.processes.launch()
            self.processes.killed_at.clear()
            await self.run()
        except (RuntimeError, TimeoutError) as defect:
            self.findings.defects.append(str(defect))
        finally:
            await self.close()
            self.read_notices()  # with the time of now, not of when all plays are judged

    def hosts(self) -> list[Host]:
        """The receivers, behind their relays, as a platform lists them."""
        return [
            Host(name, self.relays[name].port, int(self.destinations[each.destination]), each.rate)
            for name, each in self.receivers.items()
        ]

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
            Signal.KILLED_START: self.kill_start,
        }
        for trouble in self.troubles:
            if isinstance(trouble.kind, Signal):
                await self.wait_until(trouble.at)
                act: Coroutine[Any, Any, None] = acts[trouble.kind](trouble)
                await act

    async def kill(self, trouble: Trouble) -> None:
        await self.processes.restart(signal.SIGKILL)

    async def terminate(self, trouble: Trouble) -> None:
        await self.processes.restart(signal.SIGTERM)

    async def hand_over(self, trouble: Trouble) -> None:
        killed = trouble.kind is Signal.KILLED_HAND_OVER
        await self.processes.hand_over(trouble.until - trouble.at if killed else None)

    async def kill_start(self, trouble: Trouble) -> None:
        await self.processes.kill_start((trouble.until - trouble.at) * START_SHARE)

    async def reload(self, trouble: Trouble) -> None:
        for _ in range(RELOADS):
            self.processes.send(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def drain(self, trouble: Trouble) -> None:
        """A receiver less, once that has been read; and all of them again."""
        if self.discovery:
            await self.drain_listed(self.discovery, trouble)
            return
        self.without = trouble.target
        self.processes.configure()
        if await self.processes.read_again():
            told = Told(trouble.target, time.time())
            self.account.drains.append(told)
            await self.wait_until(trouble.until)
            told.until = time.time()
        self.without = ""
        self.processes.configure()
        await self.processes.read_again()

    async def drain_listed(self, discovery: Discovery, trouble: Trouble) -> None:
        """The same by the platform's list. A list that is silent holds it up."""
        told = Told(trouble.target, await discovery.told(discovery.set_health(trouble.target, DRAINING)))
        self.account.drains.append(told)
        await self.wait_until(trouble.until)
        told.until = time.time()
        discovery.set_health(trouble.target, READY)

    async def pause(self, trouble: Trouble) -> None:
        since = time.time()
        self.processes.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_TIME)
        self.processes.send(signal.SIGCONT)
        self.account.stopped.append((since, time.time() + RESUME_TIME))

    async def watch_notices(self) -> None:
        while True:
            self.read_notices()
            before = self.elapsed()
            await asyncio.sleep(NOTICE_INTERVAL)
            late = self.elapsed() - before - NOTICE_INTERVAL
            if late > self.findings.held_up:
                self.findings.held_up, self.findings.held_up_at = late, before

    def read_notices(self) -> None:
        lines, self.notices_read = new_lines(self.notices, self.notices_read)
        for line in lines:
            told = json.loads(line)
            self.note(told["message"], told["outcome"])

    def take_notice(self, message: str, outcome: str) -> None:
        """One sent to the platform: it comes again until its answer has been read."""
        mail = self.account.handed.get(message)
        if mail is None or outcome not in (word for _, word in mail.notices):
            self.note(message, outcome)

    def note(self, message: str, outcome: str) -> None:
        if (mail := self.account.handed.get(message)) is not None:
            mail.notices.append((time.time(), outcome))
        else:
            self.account.strays.append(message)

    async def settle(self) -> None:
        """Until all that was accepted has its end, or should have."""
        await self.processes.endings_over()
        until, empty = time.monotonic() + SETTLE_TIME, 0
        while time.monotonic() < until and empty < EMPTY_LOOKS:
            # What a killed process owed is held by nobody until the next one has taken it over.
            empty = empty + 1 if await self.processes.held() == 0 else 0
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        await self.load.close()
        await self.processes.close()
        for receiver in self.receivers.values():
            await receiver.stop()
        for relay in self.relays.values():
            await relay.stop()
        if self.discovery:
            await self.discovery.stop()

    def judge(self) -> Findings:
        """What the play has shown; see `judge_play`."""
        began = time.time() - self.elapsed()
        on_disk = self.discovery is None
        judge_play(self.findings, self.account, self.troubles, self.relays, self.log, began, on_disk)
        return self.findings
