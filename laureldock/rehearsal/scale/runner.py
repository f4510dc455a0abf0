"""Plays the phases of a scale run and measures each of them."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Callable

from laureldock.rehearsal.scale import commands, script
from laureldock.rehearsal.scale.measures import PhaseResult
from laureldock.rehearsal.scale.phase_results import PhaseEvaluator, PhaseRecord
from laureldock.rehearsal.scale.process_usage import available_bytes
from laureldock.rehearsal.scale.processes import ScaleProcesses
from laureldock.rehearsal.scale.settings import RunResult, RunSettings
from laureldock.rehearsal.scale.topology import Topology
from laureldock.rehearsal.scale.view_part import decode_records, encode_records

POLL_INTERVAL = 0.25  # seconds between two polls of all hollow views
REAL_POLL_INTERVAL = 2.0  # seconds; a view as JSON costs CPU time of the dispatcher that is measured
RESTART_DELAY = 0.8  # seconds from a planned stop to the next start; the stop itself takes half a second
RAMP_RATE = 15  # members started per second by `StartPrefilled`
RAMP_SETTLE_TIMEOUT = 60.0  # seconds until all of these have the configuration
MEMORY_CHECK_INTERVAL = 1.0  # seconds
MIN_AVAILABLE_BYTES = 1_000_000_000  # of the machine; the run stops below this


class MemoryBoundError(RuntimeError):
    """The run uses too much memory."""


class ScaleRun:
    def __init__(
        self, settings: RunSettings, report_progress: Callable[[str], None] = lambda text: None
    ) -> None:
        """Raises ValueError for unknown phases and for a world with no or too many members."""
        self.settings, self.report_progress = settings, report_progress
        self.topology = Topology(settings.world)
        self.phases = script.plan(settings.phases, self.topology, settings.timing, settings.world.seed)
        self.processes = ScaleProcesses(settings, self.topology)
        self.up: set[str] = set()
        self.cut_pairs: set[tuple[str, str]] = set()
        self.record = PhaseRecord()
        self.disturbed_at = 0.0  # monotonic time of the last disturbance
        self.equal_view = ""  # the view of all hollow members when they last agreed
        self.result = RunResult(settings, self.processes.count)

    async def play(self) -> RunResult:
        """Play all phases. Raises OSError, TimeoutError or RuntimeError if a process does not run."""
        started_at = time.monotonic()
        try:
            async with asyncio.TaskGroup() as group:
                memory_watch = group.create_task(self._watch_memory())
                await self.processes.start()
                for phase in self.phases:
                    self.result.phases.append(await self._play_phase(phase))
                memory_watch.cancel()
        except* MemoryBoundError as errors:
            self.result.ended_early = str(errors.exceptions[0])
            self.report_progress(self.result.ended_early)
        finally:
            await self.processes.stop()
        self.result.seconds = time.monotonic() - started_at
        return self.result

    async def _watch_memory(self) -> None:
        """Raise MemoryBoundError before this run makes the shared machine swap or kill processes."""
        while True:
            used, available = self.processes.resident_bytes(), available_bytes()
            self.result.peak_bytes = max(self.result.peak_bytes, used)
            if used > self.settings.max_bytes:
                raise MemoryBoundError(f"stopped: {used / 1e9:.1f} GB resident, over the limit of the run")
            if available < MIN_AVAILABLE_BYTES:
                raise MemoryBoundError(
                    f"stopped: only {available / 1e9:.1f} GB of memory available on the machine"
                )
            await asyncio.sleep(MEMORY_CHECK_INTERVAL)

    async def _play_phase(self, phase: script.Phase) -> PhaseResult:
        self.record = PhaseRecord(cut=set(self.cut_pairs))
        self.report_progress(f"{phase.name}: {phase.about}")
        before = await self.processes.snapshot_excluding_its_cost()
        for step in phase.steps:
            await self._run_step(step)
        if not self.record.not_run:
            await asyncio.sleep(max(0.0, before.at + self.settings.timing.shortest - time.monotonic()))
        after = await self.processes.snapshot()
        result = PhaseEvaluator(self.topology, self.processes.hosts, self.up, self.record).result(
            phase, before, after
        )
        self.report_progress(f"  {describe(result)}")
        return result

    # Steps

    async def _run_step(self, step: script.Step) -> None:
        match step:
            case script.Wait(seconds=seconds):
                await asyncio.sleep(seconds)
            case script.StartMembers(names=names):
                self.disturbed_at = time.monotonic()
                await self._start(names)
            case script.StartPrefilled(names=names):
                await self._start_filled(names)
            case script.StopMembers(names=names, leave=leave):
                self.disturbed_at = time.monotonic()
                await self._stop(names, leave)
            case script.RestartEach(names=names, interval=interval):
                await self._restart_each(names, interval)
                self.disturbed_at = time.monotonic()
            case script.CutRegions(regions=regions):
                await self._cut(set(regions))
            case script.ImpairRegions(loss=loss, slowdown=slowdown):
                for one, other in self._region_pairs():
                    await self.processes.broadcast(commands.SetLink(one, other, loss=loss, slowdown=slowdown))
            case script.HealLinks():
                self.disturbed_at = time.monotonic()
                for one, other in self._region_pairs():
                    await self.processes.broadcast(commands.SetLink(one, other))
                self.cut_pairs = set()
                self.record.healed_at = time.time()
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
                self.processes.hosts[number].send_command(commands.Start(each))
                for number, each in self.processes.by_host(names).items()
            )
        )
        self.up.update(names)
        for dispatcher in started:
            await dispatcher.wait_until_listening()

    async def _start_filled(self, names: tuple[str, ...]) -> None:
        hollow = tuple(name for name in names if name in self.processes.host_of)
        await self._ramp_up(hollow)
        replies = await self.processes.broadcast(commands.GetRecords())
        records = [
            record
            for reply in replies
            if isinstance(reply, commands.Records)
            for record in decode_records(reply.records)
        ]
        self.disturbed_at = time.monotonic()
        await self.processes.broadcast(commands.FillViews(encode_records(records)))
        await self._start(tuple(name for name in names if name in self.processes.real))

    async def _ramp_up(self, names: tuple[str, ...]) -> None:
        """Start isolated members at a fixed rate, and wait until each has the configuration."""
        started_at = time.monotonic()
        for number in range(0, len(names), RAMP_RATE):
            await asyncio.sleep(max(0.0, started_at + number / RAMP_RATE - time.monotonic()))
            for host, each in self.processes.by_host(names[number : number + RAMP_RATE]).items():
                await self.processes.hosts[host].send_command(commands.Start(each, alone=True))
        self.up.update(names)
        self.disturbed_at = time.monotonic()
        await self._settle_configuration(RAMP_SETTLE_TIMEOUT)

    async def _stop(self, names: tuple[str, ...], leave: bool) -> None:
        self.record.stopped.update({name: time.time() for name in names})
        if not leave:
            self.record.crashed += names
        self.up.difference_update(names)
        sent_signal = signal.SIGTERM if leave else signal.SIGKILL
        real_stops = [
            self.processes.real[name].stop(sent_signal) for name in names if name in self.processes.real
        ]
        hollow_stops = [
            self.processes.hosts[number].send_command(commands.Stop(each, leave))
            for number, each in self.processes.by_host(names).items()
        ]
        await asyncio.gather(*real_stops, *hollow_stops)

    async def _restart_each(self, names: tuple[str, ...], interval: float) -> None:
        async def restart(name: str) -> None:
            await self._stop((name,), leave=True)
            await asyncio.sleep(RESTART_DELAY)
            await self._start((name,))

        started_at = time.monotonic()
        running = []
        for number, name in enumerate(names):
            await asyncio.sleep(max(0.0, started_at + number * interval - time.monotonic()))
            running.append(asyncio.create_task(restart(name)))
        await asyncio.gather(*running)

    async def _cut(self, isolated: set[str]) -> None:
        for one, other in self._region_pairs():
            if (one in isolated) != (other in isolated):
                await self.processes.broadcast(commands.SetLink(one, other, cut=True))
                self.cut_pairs |= {(one, other), (other, one)}
        self.record.cut |= self.cut_pairs

    async def _settle(self, within: float) -> float | None:
        """Seconds from the last disturbance until all views were equal; None if they were not in time."""
        next_real_poll = started_at = time.monotonic()
        while time.monotonic() - started_at < within:
            elapsed = time.monotonic() - self.disturbed_at
            if await self._hollow_views_agree():
                if not self.processes.real:
                    return elapsed
                if time.monotonic() >= next_real_poll:
                    next_real_poll = time.monotonic() + REAL_POLL_INTERVAL
                    if await self._real_views_agree():
                        self.record.real_asked = True
                        return elapsed
            await asyncio.sleep(POLL_INTERVAL)
        return None

    async def _hollow_views_agree(self) -> bool:
        """Whether all hollow members have the same view, with as many members present as are up."""
        views: Counter[str] = Counter()
        for reply in await asyncio.gather(*(host.views() for host in self.processes.hosts)):
            views.update(reply.views)
        hollow_up = sum(name in self.processes.host_of for name in self.up)
        if len(views) != 1 or views.total() != hollow_up:
            return False
        self.equal_view = next(iter(views))
        return self.equal_view.endswith(f"/{len(self.up)}")

    async def _real_views_agree(self) -> bool:
        """Whether all real dispatchers that are up have the same view as the hollow members."""
        for dispatcher in self.processes.real.values():
            if dispatcher.name not in self.up:
                continue
            view = await dispatcher.fetch("/_fleet")
            if view is None or view["digest"] != self.equal_view.partition("/")[0]:
                return False
        return True

    # The configuration

    async def _apply_changes(self, step: script.ApplyChanges) -> None:
        if self.processes.controller_process is None:
            self.record.not_run = "no controller in this run"
            return
        started_at = time.monotonic()
        for number in range(step.count):
            await asyncio.sleep(max(0.0, started_at + number * step.interval - time.monotonic()))
            self.record.proposed.append(await self.processes.controller_process.propose_next())
        self.disturbed_at = time.monotonic()

    async def _settle_configuration(self, within: float) -> None:
        if self.processes.controller_process is None:
            return
        started_at, waited = time.monotonic(), None
        while time.monotonic() - started_at < within:
            elapsed = time.monotonic() - self.disturbed_at
            if await self._newest_in_force():
                waited = elapsed
                break
            await asyncio.sleep(POLL_INTERVAL)
        self.record.in_force.append(waited)

    def _followers(self) -> set[str]:
        """Members that are up and not partitioned from the controller."""
        controller_region = self.topology.controller_location.region
        locations = (self.topology.locations[name] for name in self.up)
        return {
            location.name
            for location in locations
            if (controller_region, location.region) not in self.cut_pairs
        }

    async def _newest_in_force(self) -> bool:
        assert self.processes.controller_process
        version, followers = self.processes.controller_process.version, self._followers()
        for host in self.processes.hosts:
            expected = sum(name in followers for name in host.names)
            reply = await host.views() if expected else None
            if reply and reply.configurations.get(version, 0) < expected:
                return False
        for name in followers & self.processes.real.keys():
            figures = await self.processes.real[name].fetch("/_vars")
            if figures is None or figures.get("configuration_version") != version:
                return False
        return True


def describe(result: PhaseResult) -> str:
    """One line of progress output."""
    if result.not_run:
        return f"not run: {result.not_run}"
    settled = format_seconds(result.settled_seconds)
    cpu, traffic = result.cpu_share, result.bytes_per_second
    parts = [f"{result.seconds:.0f} s"]
    if settled:
        parts.append(f"views equal after {settled}")
    if result.in_force_seconds:
        parts.append(f"newest configuration in force after {format_seconds(result.in_force_seconds)}")
    if cpu and traffic:
        parts.append(f"median {cpu.median:.2%} of a core, {traffic.median:.0f} bytes/s")
    parts.append(f"{result.false_failures.members} false failures, {result.stalls} stalls")
    return "; ".join(parts)


def format_seconds(waits: list[float | None]) -> str:
    return ", ".join("not in time" if each is None else f"{each:.1f} s" for each in waits)
