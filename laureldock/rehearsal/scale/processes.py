"""Starts, samples and stops all processes of a scale run."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time

from laureldock.rehearsal.scale import commands, real
from laureldock.rehearsal.scale.configuration import ControllerProcess
from laureldock.rehearsal.scale.configuration_part import BASE_CLASSES
from laureldock.rehearsal.scale.hosts import HostProcess, split_by_region
from laureldock.rehearsal.scale.measures import Snapshot
from laureldock.rehearsal.scale.process_usage import resident_bytes
from laureldock.rehearsal.scale.real import RealDispatcher, RealSample
from laureldock.rehearsal.scale.settings import RunSettings
from laureldock.rehearsal.scale.topology import Topology
from laureldock.rehearsal.scale.view_part import FLEET_NAME

MAX_CONCURRENT_STARTS = 8  # processes
BASELINE_DISPATCHERS = 2  # real ones without control: the baseline that is subtracted from the others


class ScaleProcesses:
    """`hosts` run the hollow members; `real` has the real members by name; `baseline` are not members."""

    def __init__(self, settings: RunSettings, topology: Topology) -> None:
        self.settings, self.topology = settings, topology
        by_region = {region: topology.members_of(region=region, real=False) for region in topology.regions}
        self.hosts = [
            HostProcess(number, region, names, settings.folder)
            for number, (region, names) in enumerate(split_by_region(by_region, settings.members_per_process))
        ]
        self.host_of = {name: host for host in self.hosts for name in host.names}
        self.controller_process = (
            ControllerProcess(topology, settings.folder) if settings.controller else None
        )
        self.real = {name: self._real(name) for name in topology.members_of(real=True)}
        self.baseline = [self._baseline(number) for number in range(BASELINE_DISPATCHERS if self.real else 0)]

    @property
    def count(self) -> int:
        return len(self.hosts) + len(self.real) + len(self.baseline) + (self.controller_process is not None)

    def _real(self, name: str) -> RealDispatcher:
        """A real member with a configuration file of its own."""
        location = self.topology.locations[name]
        seeds = [self.topology.locations[seed].address for seed in self.topology.seeds()]
        text = real.BASE_CONFIGURATION.format(
            name=name, host=location.host, management=real.MANAGEMENT_PORT, front=real.FRONT_PORT
        )
        text += BASE_CLASSES + real.FLEET_SECTION.format(
            fleet=FLEET_NAME,
            address=location.address,
            seeds=json.dumps(seeds),
            site=location.zone,
            period=round(self.settings.timing.period * 1000),
        )
        if self.controller_process:
            text += real.SOURCE_SECTION.format(controllers=json.dumps([self.controller_process.address]))
        else:
            text += real.ENDPOINT_SECTION
        return RealDispatcher(name, location.host, self.settings.folder / name, text)

    def _baseline(self, number: int) -> RealDispatcher:
        name, host = f"bare{number}", f"127.{self.settings.world.net}.251.{number + 1}"
        text = real.BASE_CONFIGURATION.format(
            name=name, host=host, management=real.MANAGEMENT_PORT, front=real.FRONT_PORT
        )
        return RealDispatcher(
            name, host, self.settings.folder / name, text + BASE_CLASSES + real.ENDPOINT_SECTION
        )

    async def start(self) -> None:
        """Start all processes but the real members, which are started together with the hollow ones."""
        if self.controller_process:
            await self.controller_process.start()
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_host(host: HostProcess) -> None:
            async with semaphore:
                await host.start(self._setup(host))

        await asyncio.gather(*(start_host(host) for host in self.hosts))
        for dispatcher in self.baseline:
            await dispatcher.start()
        for dispatcher in self.baseline:
            await dispatcher.wait_until_listening()

    def _setup(self, host: HostProcess) -> commands.Setup:
        controllers = [self.controller_process.address] if self.controller_process else []
        return commands.Setup(self.settings.world, host.names, self.settings.timing.period, controllers)

    async def stop(self) -> None:
        dispatchers = [*self.real.values(), *self.baseline]
        stops = [host.stop() for host in self.hosts]
        stops += [dispatcher.stop(signal.SIGKILL) for dispatcher in dispatchers]
        if self.controller_process:
            stops.append(self.controller_process.stop())
        await asyncio.gather(*stops, return_exceptions=True)

    def resident_bytes(self) -> int:
        """Resident size of all live processes, including the runner."""
        pids = [host.process.pid for host in self.hosts if host.process]
        pids += [
            each.process.pid for each in [*self.real.values(), *self.baseline] if each.process and each.up
        ]
        pids.append(os.getpid())
        return sum(resident_or_zero(pid) for pid in pids)

    async def broadcast(self, command: commands.Command) -> list[commands.Reply]:
        """Send a command to all processes of hollow members."""
        return await asyncio.gather(*(host.send_command(command) for host in self.hosts))

    def by_host(self, names: tuple[str, ...]) -> dict[int, list[str]]:
        """The hollow members among `names`, by the number of their process."""
        found: dict[int, list[str]] = {}
        for name in names:
            if name in self.host_of:
                found.setdefault(self.host_of[name].number, []).append(name)
        return found

    async def snapshot(self) -> Snapshot:
        """Sample the resource usage of each member up to now."""
        living = [dispatcher for dispatcher in self.real.values() if dispatcher.up]
        usages = [dispatcher.usage() for dispatcher in living]
        baseline = [RealSample(dispatcher.name, *dispatcher.usage()) for dispatcher in self.baseline]
        taken_at = time.monotonic()
        hosts = await asyncio.gather(*(host.sample() for host in self.hosts))
        sampled = [await dispatcher.sample(usage) for dispatcher, usage in zip(living, usages, strict=True)]
        controller = self.controller_process.sample() if self.controller_process else None
        return Snapshot(taken_at, list(hosts), sampled, baseline, controller)

    async def snapshot_excluding_its_cost(self) -> Snapshot:
        """Take a snapshot whose CPU times include the cost of taking it, so that the next phase does not."""
        snapshot = await self.snapshot()
        for sample in snapshot.real:
            sample.cpu_seconds = self.real[sample.name].usage()[0]
        return snapshot


def resident_or_zero(pid: int) -> int:
    try:
        return resident_bytes(pid)
    except OSError:
        return 0
