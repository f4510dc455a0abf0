"""Plays the phases of a scale run and has each measured."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Callable

from laureldock.rehearsal.scale import commands, script
from laureldock.rehearsal.scale.measures import PhaseResult
from laureldock.rehearsal.scale.phase_results import PhaseJudge, PhaseRecord
from laureldock.rehearsal.scale.process_usage import available_bytes
from laureldock.rehearsal.scale.processes import ScaleProcesses
from laureldock.rehearsal.scale.settings import RunResult, RunSettings
from laureldock.rehearsal.scale.topology import Topology
from laureldock.rehearsal.scale.view_part import decode_records, encode_records

POLL_INTERVAL = 0.25  # seconds between two looks at all hollow views
REAL_POLL_INTERVAL = 2.0  # seconds; a whole view as JSON costs the dispatcher that is measured
RESTART_PAUSE = 0.8  # seconds from a planned stop to the next start: the stop itself takes half a second
RAMP_MEMBERS = 15  # started in each second where they are to be filled
RAMP_SETTLE = 60.0  # seconds in which all of these have the configuration
GUARD_INTERVAL = 1.0  # seconds
MIN_AVAILABLE_BYTES = 1_000_000_000  # of the machine; with less the run ends


class MemoryBoundError(RuntimeError):
    """The run takes more memory than it may."""


class ScaleRun:
    def __init__(self, settings: RunSettings, say: Callable[[str], None] = lambda text: None) -> None:
        """ValueError for unknown phases or a world that has no room."""
        self.settings, self.say = settings, say
        self.topology = Topology(settings.world)
        self.phases = script.plan(settings.phases, self.topology, settings.timing, settings.world.seed)
        self.processes = ScaleProcesses(settings, self.topology)
        self.up: set[str] = set()
        self.cut_now: set[tuple[str, str]] = set()
        self.record = PhaseRecord()
        self.disturbed = 0.0  # monotonic seconds: since when views have been left alone
        self.equal_view = ""  # as all hollow members held it when they were last equal
        self.result = RunResult(settings, self.processes.count)

    async def play(self) -> RunResult:
        """OSError, TimeoutError, RuntimeError where a process did not start or has ended."""
        began = time.monotonic()
        try:
            async with asyncio.TaskGroup() as group:
                guard = group.create_task(self._guard_memory())
                await self.processes.begin()
                for phase in self.phases:
                    self.result.phases.append(await self._measured(phase))
                guard.cancel()
        except* MemoryBoundError as faults:
            self.result.ended_early = str(faults.exceptions[0])
            self.say(self.result.ended_early)
        finally:
            await self.processes.end()
        self.result.seconds = time.monotonic() - began
        return self.result

    async def _guard_memory(self) -> None:
        """MemoryBoundError: the machine is shared, and must not swap or kill for this run."""
        while True:
            used, available = self.processes.resident_bytes(), available_bytes()
            self.result.peak_bytes = max(self.result.peak_bytes, used)
            if used > self.settings.max_bytes:
                raise MemoryBoundError(f"ended: {used / 1e9:.1f} GB resident, over its own bound")
            if available < MIN_AVAILABLE_BYTES:
                raise MemoryBoundError(f"ended: the machine has {available / 1e9:.1f} GB of memory left")
            await asyncio.sleep(GUARD_INTERVAL)

    async def _measured(self, phase: script.Phase) -> PhaseResult:
        self.record = PhaseRecord(cut=set(self.cut_now))
        self.say(f"{phase.name}: {phase.about}")
        before = await self.processes.snapshot_after_asking()
        for step in phase.steps:
            await self._do(step)
        if not self.record.not_run:
            await asyncio.sleep(max(0.0, before.at + self.settings.timing.shortest - time.monotonic()))
        after = await self.processes.snapshot()
        result = PhaseJudge(self.topology, self.processes.hosts, self.up, self.record).result(
            phase, before, after
        )
        self.say(f"  {describe(result)}")
        return result

    # Steps

    async def _do(self, step: script.Step) -> None:
        match step:
            case script.Wait(seconds=seconds):
                await asyncio.sleep(seconds)
            case script.StartMembers(names=names):
                self.disturbed = time.monotonic()
                await self._start(names)
            case script.StartFilled(names=names):
                await self._start_filled(names)
            case script.StopMembers(names=names, leave=leave):
                self.disturbed = time.monotonic()
                await self._stop(names, leave)
            case script.RestartEach(names=names, interval=interval):
                await self._restart_each(names, interval)
                self.disturbed = time.monotonic()
            case script.CutRegions(regions=regions):
                await self._cut(set(regions))
            case script.ImpairRegions(loss=loss, slowdown=slowdown):
                for one, other in self._region_pairs():
                    await self.processes.tell_all(commands.SetLink(one, other, loss=loss, slowdown=slowdown))
            case script.HealLinks():
                self.disturbed = time.monotonic()
                for one, other in self._region_pairs():
                    await self.processes.tell_all(commands.SetLink(one, other))
                self.cut_now = set()
                self.record.healed = time.time()
            case script.Settle(within=within):
                settled = await self._settle(within)
                self.record.settled.append(settled)
            case script.ApplyChanges():
                await self._apply_changes(step)
            case script.SettleConfiguration(within=within):
                await self._settle_configuration(within)

    def _region_pairs(self) -> list[tuple[str, str]]:
        regions = self.topology.regions
        return [(one, other) for one in regions for other in regions if one < other]

    async def _start(self, names: tuple[str, ...]) -> None:
        started = [self.processes.real[name] for name in names if name in self.processes.real]
        await asyncio.gather(*(dispatcher.start() for dispatcher in started))
        await asyncio.gather(
            *(
                self.processes.hosts[number].ask(commands.Start(each))
                for number, each in self.processes.by_host(names).items()
            )
        )
        self.up.update(names)
        for dispatcher in started:
            await dispatcher.wait_until_listening()

    async def _start_filled(self, names: tuple[str, ...]) -> None:
        hollow = tuple(name for name in names if name in self.processes.host_of)
        await self._ramp_up(hollow)
        answers = await self.processes.tell_all(commands.AskRecords())
        records = [
            record
            for answer in answers
            if isinstance(answer, commands.Records)
            for record in decode_records(answer.records)
        ]
        self.disturbed = time.monotonic()
        await self.processes.tell_all(commands.FillViews(encode_records(records)))
        await self._start(tuple(name for name in names if name in self.processes.real))

    async def _ramp_up(self, names: tuple[str, ...]) -> None:
        """Alone, so many a second; then each has the configuration before it meets the others."""
        began = time.monotonic()
        for number in range(0, len(names), RAMP_MEMBERS):
            await asyncio.sleep(max(0.0, began + number / RAMP_MEMBERS - time.monotonic()))
            for host, each in self.processes.by_host(names[number : number + RAMP_MEMBERS]).items():
                await self.processes.hosts[host].ask(commands.Start(each, alone=True))
        self.up.update(names)
        self.disturbed = time.monotonic()
        await self._settle_configuration(RAMP_SETTLE)

    async def _stop(self, names: tuple[str, ...], leave: bool) -> None:
        self.record.stopped.update({name: time.time() for name in names})
        if not leave:
            self.record.crashed += names
        self.up.difference_update(names)
        sign = signal.SIGTERM if leave else signal.SIGKILL
        real_stops = [self.processes.real[name].stop(sign) for name in names if name in self.processes.real]
        hollow_stops = [
            self.processes.hosts[number].ask(commands.Stop(each, leave))
            for number, each in self.processes.by_host(names).items()
        ]
        await asyncio.gather(*real_stops, *hollow_stops)

    async def _restart_each(self, names: tuple[str, ...], interval: float) -> None:
        async def restart(name: str) -> None:
            await self._stop((name,), leave=True)
            await asyncio.sleep(RESTART_PAUSE)
            await self._start((name,))

        began = time.monotonic()
        running = []
        for number, name in enumerate(names):
            await asyncio.sleep(max(0.0, began + number * interval - time.monotonic()))
            running.append(asyncio.create_task(restart(name)))
        await asyncio.gather(*running)

    async def _cut(self, away: set[str]) -> None:
        for one, other in self._region_pairs():
            if (one in away) != (other in away):
                await self.processes.tell_all(commands.SetLink(one, other, cut=True))
                self.cut_now |= {(one, other), (other, one)}
        self.record.cut |= self.cut_now

    async def _settle(self, within: float) -> float | None:
        """Seconds from the last disturbance until all views were equal; None where they were not in time."""
        next_real = began = time.monotonic()
        while time.monotonic() - began < within:
            passed = time.monotonic() - self.disturbed
            if await self._hollow_agree():
                if not self.processes.real:
                    return passed
                if time.monotonic() >= next_real:
                    next_real = time.monotonic() + REAL_POLL_INTERVAL
                    if await self._real_agree():
                        self.record.real_asked = True
                        return passed
            await asyncio.sleep(POLL_INTERVAL)
        return None

    async def _hollow_agree(self) -> bool:
        """Equal digests, each over as many members as are up: then all hold just those to be there."""
        views: Counter[str] = Counter()
        for answer in await asyncio.gather(*(host.views() for host in self.processes.hosts)):
            views.update(answer.views)
        hollow_up = sum(name in self.processes.host_of for name in self.up)
        if len(views) != 1 or views.total() != hollow_up:
            return False
        self.equal_view = next(iter(views))
        return self.equal_view.endswith(f"/{len(self.up)}")

    async def _real_agree(self) -> bool:
        """Whether all real dispatchers that are up hold the view that all hollow ones hold."""
        for dispatcher in self.processes.real.values():
            if dispatcher.name not in self.up:
                continue
            view = await dispatcher.ask("/_fleet")
            if view is None or view["digest"] != self.equal_view.partition("/")[0]:
                return False
        return True

    # The configuration

    async def _apply_changes(self, step: script.ApplyChanges) -> None:
        if self.processes.control is None:
            self.record.not_run = "no controller in this run"
            return
        began = time.monotonic()
        for number in range(step.count):
            await asyncio.sleep(max(0.0, began + number * step.interval - time.monotonic()))
            self.record.proposed.append(await self.processes.control.propose_next())
        self.disturbed = time.monotonic()

    async def _settle_configuration(self, within: float) -> None:
        if self.processes.control is None:
            return
        began, waited = time.monotonic(), None
        while time.monotonic() - began < within:
            passed = time.monotonic() - self.disturbed
            if await self._newest_in_force():
                waited = passed
                break
            await asyncio.sleep(POLL_INTERVAL)
        self.record.in_force.append(waited)

    def _followers(self) -> set[str]:
        """Members that are up and not cut off from the controller."""
        home = self.topology.controller_place.region
        places = (self.topology.places[name] for name in self.up)
        return {place.name for place in places if (home, place.region) not in self.cut_now}

    async def _newest_in_force(self) -> bool:
        assert self.processes.control
        version, followers = self.processes.control.version, self._followers()
        for host in self.processes.hosts:
            expected = sum(name in followers for name in host.names)
            answer = await host.views() if expected else None
            if answer and answer.configurations.get(version, 0) < expected:
                return False
        for name in followers & self.processes.real.keys():
            figures = await self.processes.real[name].ask("/_vars")
            if figures is None or figures.get("configuration_version") != version:
                return False
        return True


def describe(result: PhaseResult) -> str:
    """One line for those who watch the run."""
    if result.not_run:
        return f"not run: {result.not_run}"
    settled = seconds_of(result.settled_seconds)
    cpu, traffic = result.cpu_share, result.bytes_per_second
    parts = [f"{result.seconds:.0f} s"]
    if settled:
        parts.append(f"views equal after {settled}")
    if result.in_force_seconds:
        parts.append(f"newest configuration in force after {seconds_of(result.in_force_seconds)}")
    if cpu and traffic:
        parts.append(f"median {cpu.median:.2%} of a core, {traffic.median:.0f} bytes/s")
    parts.append(f"{result.false_failures.members} false failures, {result.stalls} stalls")
    return "; ".join(parts)


def seconds_of(waits: list[float | None]) -> str:
    return ", ".join("not in time" if each is None else f"{each:.1f} s" for each in waits)
