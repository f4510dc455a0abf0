"""The soak of one dispatcher: its processes, the stub receivers, relays and clients around it, its faults."""

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

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.response_repeats import ResponseRepeats
from laureldock.rehearsal.rule_checks import ReceiverPeriod, RunRecord
from laureldock.rehearsal.scripted_run import LIFETIME, RECEIVERS, new_lines, write_example
from laureldock.rehearsal.soak import faults
from laureldock.rehearsal.soak.clients import SteadyLoad, run_client_fault
from laureldock.rehearsal.soak.crowd_process import run_crowd_process
from laureldock.rehearsal.soak.discovery import DRAINING, READY, Endpoint, StubDiscovery
from laureldock.rehearsal.soak.dispatcher_process import Address
from laureldock.rehearsal.soak.evaluation import evaluate_run
from laureldock.rehearsal.soak.faults import ProcessFault, ScheduledFault
from laureldock.rehearsal.soak.platform import write_configuration
from laureldock.rehearsal.soak.process_group import EXTRA_SIGNAL_SHARE, ProcessGroup
from laureldock.rehearsal.soak.relay import Relay
from laureldock.rehearsal.soak.slow_clients import ScheduledCrowd, draw_crowds
from laureldock.rehearsal.soak.soak_result import SoakResult
from laureldock.rehearsal.soak.system_calls import FaultWindow, SystemCallFault
from laureldock.rehearsal.stub_receivers import FaultPeriod, StubReceiver

PAUSE_TIME = 0.15  # seconds for which a process is paused
RESUME_TIME = 0.02  # seconds until it has read what arrived meanwhile
RELOADS = 3  # in a row
START_SHARE = 0.3  # fraction of a fault's time after which a starting process is killed: ready or not yet
NOTICE_INTERVAL = 0.02  # seconds between two reads of a file of notices
SHORTEST_STALL = 0.02  # seconds; shorter ones are within the tolerances of the rules
EMPTY_POLLS = 6  # in a row, a tenth of a second apart, after which no message counts as pending
MEMORY_MB = 128  # of all processes together, in runs with crowds
CROWD_SOCKETS = 1024  # descriptors of a process in such runs
MEMORY_INTERVAL = 0.1  # seconds between two looks at the memory
SETTLE_TIME = LIFETIME + 3.0  # seconds in which all accepted messages reach their final outcomes


class DispatcherSoak:
    """Plays `length` seconds of load and faults, and evaluates them.

    `passed`: the listening socket is held here and passed to each process, as the platform does when a new
    version is deployed under load; then processes hand over. `platform`: the endpoint list and the notices
    are the platform's. `repeats`: receivers and platform send responses once more; then there are no relays,
    which cannot tell the two apart, and so no faults of connections to receivers. `crowds`: crowds of slow
    clients come and go, all signals of a stop come in series, and memory is watched.
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
        repeats: ResponseRepeats | None = None,
        crowds: bool = False,
    ) -> None:
        self.crowds = draw_crowds(seed, length) if crowds else []
        self.folder, self.name, self.seed, self.length = folder, name, seed, length
        self.record = RunRecord(sees_calls_end=repeats is not None)
        self.result = SoakResult(name, seed)
        self.receivers = {
            each: StubReceiver(each, destination, self.record, seed + number, repeats=repeats)
            for number, (each, destination) in enumerate(RECEIVERS.items())
        }
        self.faults = faults.draw_faults(seed, length, list(RECEIVERS), passed, platform)
        if repeats:
            self.faults = [each for each in self.faults if not isinstance(each.kind, faults.ConnectionFault)]
        names = sorted(set(RECEIVERS.values()))
        # The platform's destinations are numbers.
        self.destinations = {
            destination: str(number + 1) if platform else destination
            for number, destination in enumerate(names)
        }
        self.discovery = (
            StubDiscovery(self.list_fault, self.receive_notice, repeats, seed) if platform else None
        )
        relayed = [] if repeats else list(RECEIVERS)
        self.relays = {each: Relay(partial(self.connection_fault, each)) for each in relayed}
        self.notices_path, self.notices_read = folder / "state" / "undelivered.jsonl", 0
        self.log = folder / "log"
        # A separate address for each dispatcher: none of its ports is used by an outgoing connection.
        self.host, self.port = f"127.77.{seed // 250 % 250}.{seed % 250 + 1}", free_port()
        listening = socket.create_server((self.host, self.port), backlog=512) if passed else None
        self.load = SteadyLoad(
            self.record,
            (self.host, self.port),
            seed,
            rate,
            list(self.destinations.values()),
            self.may_lack_reply,
        )
        self.without = ""  # name of a receiver that is removed from the configuration now
        self.started_at = 0.0  # start of the load, in seconds of the monotonic clock
        self.processes = ProcessGroup(
            folder,
            self.host,
            seed,
            listening,
            self.write_file,
            self.fault_windows,
            self.record,
            self.result,
            platform,
            EXTRA_SIGNAL_SHARE if not crowds else 1.0,
        )

    # Faults that are active now

    def elapsed(self) -> float:
        """Return the seconds since the start of the load."""
        return time.monotonic() - self.started_at

    def receiver_port(self, name: str) -> int:
        """Return the port at which the dispatcher reaches a receiver."""
        return self.relays[name].port if name in self.relays else self.receivers[name].port

    def connection_fault(self, receiver: str) -> faults.ConnectionFault | None:
        """Return the active fault of the relay in front of a receiver."""
        now = self.elapsed()
        for each in self.faults:
            if (
                isinstance(each.kind, faults.ConnectionFault)
                and each.target == receiver
                and each.since <= now < each.until
            ):
                return each.kind
        return None

    def list_fault(self) -> faults.ListFault | None:
        """Return the active fault of the platform's agent."""
        now = self.elapsed()
        for each in self.faults:
            if isinstance(each.kind, faults.ListFault) and each.since <= now < each.until:
                return each.kind
        return None

    def may_lack_reply(self) -> bool:
        """Return whether connections break just now: a process was killed, or its reads and writes fail."""
        now = self.elapsed()
        breaking = [each for each in self.faults if each.kind is SystemCallFault.BROKEN]
        if any(each.since - 0.5 <= now < each.until + 0.5 for each in breaking):
            return True
        return any(abs(time.time() - at) < 1.0 for at in self.processes.kill_times)

    def fault_windows(self) -> list[FaultWindow]:
        """Return the faults of a process's system calls, on the monotonic clock."""
        return [
            FaultWindow(
                each.kind, self.started_at + each.since, self.started_at + each.until, each.share, each.step
            )
            for each in self.faults
            if isinstance(each.kind, SystemCallFault)
        ]

    # The process

    def write_file(self, file: Path, management: Address, passed: int) -> None:
        """Configure a process: the example, with the relays as receivers. Raises OSError."""
        listen = f"{self.host}:{self.port}"
        if self.discovery:
            agent = f"127.0.0.1:{self.discovery.port}"
            limits: dict[str, float] | None = None
            if self.crowds:
                limits = {"sockets": CROWD_SOCKETS, "memory_mb": MEMORY_MB}
            write_configuration(file, self.name, self.seed, listen, agent, self.discovery.full_list(), limits)
            return
        ports = [
            (each, self.receiver_port(name)) for name, each in self.receivers.items() if name != self.without
        ]
        more: dict[str, Any] = {"name": self.name, "management": f"{management[0]}:{management[1]}"}
        if passed >= 0:
            more["passed"] = passed
        write_example(file, listen, ports, **more)

    # The run

    async def play(self) -> None:
        """Play the load and the faults to the end; `evaluate` returns the result."""
        (self.folder / "state").mkdir(parents=True, exist_ok=True)
        self.started_at = time.monotonic() + 3600.0  # no fault is active yet
        for name, receiver in self.receivers.items():
            await receiver.start(time.time())
            if name in self.relays:
                await self.relays[name].start(receiver.port)
        if self.discovery:
            await self.discovery.start(self.endpoints())
        drawn = self.faults
        try:
            self.faults = []
            await self.processes.launch()
            await self.processes.kill_newest()
            self.faults, self.started_at = drawn, time.monotonic()
            self.set_receiver_faults()
            await self.processes.launch()
            self.processes.kill_times.clear()
            await self.run()
        except (RuntimeError, TimeoutError) as error:
            self.result.errors.append(str(error))
        finally:
            await self.close()
            self.read_notices()  # now, so that their time is not that of the evaluation, after all runs

    def endpoints(self) -> list[Endpoint]:
        """Return the receivers, behind their relays if any, as entries of a platform's list."""
        return [
            Endpoint(name, self.receiver_port(name), int(self.destinations[each.destination]), each.rate)
            for name, each in self.receivers.items()
        ]

    def set_receiver_faults(self) -> None:
        """Give the stub receivers their faults and the start of the load."""
        wall_start = time.time() - self.elapsed()
        for receiver in self.receivers.values():
            receiver.started_at = wall_start
        for each in self.faults:
            if isinstance(each.kind, faults.ReceiverFault):
                period = FaultPeriod(each.kind.value, each.since, each.until)
                self.receivers[each.target].faults.append(period)

    async def run(self) -> None:
        """Run load and faults, and wait for the final outcomes."""
        background = [asyncio.create_task(self.watch_notices())]
        background += [asyncio.create_task(each.run()) for each in self.receivers.values()]
        background += [asyncio.create_task(self.run_client_fault(each)) for each in self.faults]
        if self.crowds:
            background.append(asyncio.create_task(self.watch_memory()))
        background += [asyncio.create_task(self.run_crowd(each)) for each in self.crowds]
        process_faults = asyncio.create_task(self.run_process_faults())
        try:
            await self.load.run(max(0.0, self.length - self.elapsed()))
            await process_faults
            await self.settle()
        finally:
            for task in [*background, process_faults]:
                task.cancel()
            done = await asyncio.gather(*background, process_faults, return_exceptions=True)
        errors = [each for each in done if isinstance(each, Exception)]
        self.result.errors += [f"the soak itself failed: {error!r}" for error in errors]

    async def run_crowd(self, crowd: ScheduledCrowd) -> None:
        """Run a crowd of slow clients at its time."""
        await self.wait_until(crowd.since)
        await run_crowd_process((self.host, self.port), crowd)

    async def watch_memory(self) -> None:
        """Hold the resident memory of all processes together to the limit."""
        while True:
            self.result.highest_memory = max(self.result.highest_memory, self.processes.resident_bytes())
            if self.result.highest_memory > MEMORY_MB * 1e6:
                self.result.errors.append(f"over {MEMORY_MB} MB of memory at {self.elapsed():.1f}s")
                return
            await asyncio.sleep(MEMORY_INTERVAL)

    async def run_client_fault(self, fault: ScheduledFault) -> None:
        """Run a client fault at its time."""
        if isinstance(fault.kind, faults.ClientFault):
            await self.wait_until(fault.since)
            await run_client_fault(fault.kind, (self.host, self.port), fault.until - fault.since)

    async def wait_until(self, at: float) -> None:
        """Wait until `at` seconds after the start of the load."""
        await asyncio.sleep(max(0.0, at - self.elapsed()))

    async def run_process_faults(self) -> None:
        """Run the process faults in turn, each at its time or later."""
        actions = {
            ProcessFault.KILL: self.kill,
            ProcessFault.TERMINATE: self.terminate,
            ProcessFault.RELOAD: self.reload,
            ProcessFault.DRAIN: self.drain,
            ProcessFault.PAUSE: self.pause,
            ProcessFault.HANDOVER: self.hand_over,
            ProcessFault.KILLED_HANDOVER: self.hand_over,
            ProcessFault.KILLED_START: self.kill_start,
        }
        for fault in self.faults:
            if isinstance(fault.kind, ProcessFault):
                await self.wait_until(fault.since)
                action: Coroutine[Any, Any, None] = actions[fault.kind](fault)
                await action

    async def kill(self, fault: ScheduledFault) -> None:
        """Kill the newest process, and start one in the same folder."""
        await self.processes.restart(signal.SIGKILL)

    async def terminate(self, fault: ScheduledFault) -> None:
        """Stop the newest process, and start one in the same folder."""
        await self.processes.restart(signal.SIGTERM)

    async def hand_over(self, fault: ScheduledFault) -> None:
        """Hand over to a second process; the first one may be killed meanwhile."""
        killed = fault.kind is ProcessFault.KILLED_HANDOVER
        await self.processes.hand_over(fault.until - fault.since if killed else None)

    async def kill_start(self, fault: ScheduledFault) -> None:
        """Start a second process, and kill it as it starts."""
        await self.processes.kill_start((fault.until - fault.since) * START_SHARE)

    async def reload(self, fault: ScheduledFault) -> None:
        """Send several SIGHUPs in a row."""
        for _ in range(RELOADS):
            self.processes.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.03)

    async def drain(self, fault: ScheduledFault) -> None:
        """Remove a receiver from the configuration until the end of the fault.

        The drain is recorded from when all processes have certainly read the file, and not at all if they
        may not have.
        """
        if self.discovery:
            await self.drain_listed(self.discovery, fault)
            return
        self.without = fault.target
        self.processes.configure()
        if await self.processes.reload():
            period = ReceiverPeriod(fault.target, time.time())
            self.record.drains.append(period)
            await self.wait_until(fault.until)
            period.until = time.time()
        self.without = ""
        self.processes.configure()
        await self.processes.reload()

    async def drain_listed(self, discovery: StubDiscovery, fault: ScheduledFault) -> None:
        """Drain a receiver by the platform's list. It is recorded from when the update counts as sent."""
        period = ReceiverPeriod(
            fault.target, await discovery.wait_sent(discovery.set_health(fault.target, DRAINING))
        )
        self.record.drains.append(period)
        await self.wait_until(fault.until)
        period.until = time.time()
        discovery.set_health(fault.target, READY)

    async def pause(self, fault: ScheduledFault) -> None:
        """Stop all processes by SIGSTOP for a moment."""
        since = time.time()
        self.processes.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_TIME)
        self.processes.send_signal(signal.SIGCONT)
        self.record.pauses.append((since, time.time() + RESUME_TIME))

    async def watch_notices(self) -> None:
        """Read notices as they are written, and measure the scheduling delay of this process."""
        while True:
            self.read_notices()
            before = self.elapsed()
            await asyncio.sleep(NOTICE_INTERVAL)
            delay = self.elapsed() - before - NOTICE_INTERVAL
            if delay > SHORTEST_STALL:
                now = time.time()
                self.record.stalls.append((now - delay, now))
            if delay > self.result.longest_stall:
                self.result.longest_stall, self.result.longest_stall_at = delay, before

    def read_notices(self) -> None:
        """Record the new complete lines of the outlet's file."""
        lines, self.notices_read = new_lines(self.notices_path, self.notices_read)
        for line in lines:
            notice = json.loads(line)
            self.record_notice(notice["message"], notice["outcome"])

    def receive_notice(self, name: str, outcome: str) -> None:
        """Record a notice to the platform, which is sent again until its response has been read."""
        message = self.record.messages.get(name)
        if message is None or outcome not in (recorded for _, recorded in message.notices):
            self.record_notice(name, outcome)

    def record_notice(self, name: str, outcome: str) -> None:
        """Record a notice."""
        if (message := self.record.messages.get(name)) is not None:
            message.notices.append((time.time(), outcome))
        else:
            self.record.unknown_notices.append(name)

    async def settle(self) -> None:
        """Wait until no message is pending, or all have passed their lifetime."""
        await self.processes.wait_for_handovers()
        until, empty = time.monotonic() + SETTLE_TIME, 0
        while time.monotonic() < until and empty < EMPTY_POLLS:
            # What was pending at a killed process is counted by none until the next one has taken it over.
            empty = empty + 1 if await self.processes.pending_messages() == 0 else 0
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Stop all clients, processes, receivers and relays."""
        await self.load.close()
        await self.processes.close()
        for receiver in self.receivers.values():
            await receiver.stop()
        for relay in self.relays.values():
            await relay.stop()
        if self.discovery:
            await self.discovery.stop()

    def evaluate(self) -> SoakResult:
        """Return the result of the run; see `evaluate_run`."""
        started_at = time.time() - self.elapsed()
        on_disk = self.discovery is None
        evaluate_run(self.result, self.record, self.faults, self.relays, self.log, started_at, on_disk)
        return self.result
