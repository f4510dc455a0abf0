"""All processes of a scale run: started, sampled, ended."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time

from laureldock.rehearsal.scale import commands, real
from laureldock.rehearsal.scale.configuration import ControlMachine
from laureldock.rehearsal.scale.configuration_part import BASE_CLASSES
from laureldock.rehearsal.scale.hosts import HostProcess, divide
from laureldock.rehearsal.scale.measures import Snapshot
from laureldock.rehearsal.scale.process_usage import resident_bytes
from laureldock.rehearsal.scale.real import RealDispatcher, RealSample
from laureldock.rehearsal.scale.settings import RunSettings
from laureldock.rehearsal.scale.topology import Topology
from laureldock.rehearsal.scale.view_part import FLEET_NAME

STARTS_AT_ONCE = 8  # processes
BARE_DISPATCHERS = 2  # real ones without control parts, beside which the others are measured


class ScaleProcesses:
    """`hosts` hold the hollow members; `real` are by name; `bare` are no members."""

    def __init__(self, settings: RunSettings, topology: Topology) -> None:
        self.settings, self.topology = settings, topology
        by_region = {region: topology.members_of(region=region, real=False) for region in topology.regions}
        self.hosts = [
            HostProcess(number, region, names, settings.folder)
            for number, (region, names) in enumerate(divide(by_region, settings.members_of_process))
        ]
        self.host_of = {name: host for host in self.hosts for name in host.names}
        self.control = ControlMachine(topology, settings.folder) if settings.controller else None
        self.real = {name: self._real(name) for name in topology.members_of(real=True)}
        self.bare = [self._bare(number) for number in range(BARE_DISPATCHERS if self.real else 0)]

    @property
    def count(self) -> int:
        return len(self.hosts) + len(self.real) + len(self.bare) + (self.control is not None)

    def _real(self, name: str) -> RealDispatcher:
        """One that serves by a file of its own."""
        place = self.topology.places[name]
        seeds = [self.topology.places[seed].address for seed in self.topology.seeds()]
        text = real.BASE.format(
            name=name, host=place.host, management=real.MANAGEMENT_PORT, front=real.FRONT_PORT
        )
        text += BASE_CLASSES + real.VIEW.format(
            fleet=FLEET_NAME,
            address=place.address,
            seeds=json.dumps(seeds),
            site=place.zone,
            period=round(self.settings.timing.period * 1000),
        )
        if self.control:
            text += real.FOLLOW.format(controllers=json.dumps([self.control.address]))
        else:
            text += real.ONE_ENDPOINT
        return RealDispatcher(name, place.host, self.settings.folder / name, text)

    def _bare(self, number: int) -> RealDispatcher:
        name, host = f"bare{number}", f"127.{self.settings.world.net}.251.{number + 1}"
        text = real.BASE.format(name=name, host=host, management=real.MANAGEMENT_PORT, front=real.FRONT_PORT)
        return RealDispatcher(
            name, host, self.settings.folder / name, text + BASE_CLASSES + real.ONE_ENDPOINT
        )

    async def begin(self) -> None:
        """All processes but the real members: those start with the hollow ones."""
        if self.control:
            await self.control.start()
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def begin(host: HostProcess) -> None:
            async with gate:
                await host.start(self._setup(host))

        await asyncio.gather(*(begin(host) for host in self.hosts))
        for dispatcher in self.bare:
            await dispatcher.start()
        for dispatcher in self.bare:
            await dispatcher.wait_until_listening()

    def _setup(self, host: HostProcess) -> commands.Setup:
        controllers = [self.control.address] if self.control else []
        return commands.Setup(self.settings.world, host.names, self.settings.timing.period, controllers)

    async def end(self) -> None:
        dispatchers = [*self.real.values(), *self.bare]
        ends = [host.end() for host in self.hosts]
        ends += [dispatcher.stop(signal.SIGKILL) for dispatcher in dispatchers]
        if self.control:
            ends.append(self.control.end())
        await asyncio.gather(*ends, return_exceptions=True)

    def resident_bytes(self) -> int:
        """Of all that live, and of the runner."""
        pids = [host.process.pid for host in self.hosts if host.process]
        pids += [each.process.pid for each in [*self.real.values(), *self.bare] if each.process and each.up]
        pids.append(os.getpid())
        return sum(resident_or_nought(pid) for pid in pids)

    async def tell_all(self, command: commands.Command) -> list[commands.Reply]:
        """A command to all processes of hollow members."""
        return await asyncio.gather(*(host.ask(command) for host in self.hosts))

    def by_host(self, names: tuple[str, ...]) -> dict[int, list[str]]:
        """Hollow ones among `names`, by the number of their process."""
        divided: dict[int, list[str]] = {}
        for name in names:
            if name in self.host_of:
                divided.setdefault(self.host_of[name].number, []).append(name)
        return divided

    async def snapshot(self) -> Snapshot:
        """What each member has spent up to now."""
        living = [dispatcher for dispatcher in self.real.values() if dispatcher.up]
        usages = [dispatcher.usage() for dispatcher in living]
        bare = [RealSample(dispatcher.name, *dispatcher.usage()) for dispatcher in self.bare]
        at = time.monotonic()
        hosts = await asyncio.gather(*(host.sample() for host in self.hosts))
        sampled = [await dispatcher.sample(usage) for dispatcher, usage in zip(living, usages, strict=True)]
        controller = self.control.sample() if self.control else None
        return Snapshot(at, list(hosts), sampled, bare, controller)

    async def snapshot_after_asking(self) -> Snapshot:
        """Its processor times are read anew, so that the asking is in none of the phase to come."""
        snapshot = await self.snapshot()
        for sample in snapshot.real:
            sample.cpu_seconds = self.real[sample.name].usage()[0]
        return snapshot


def resident_or_nought(pid: int) -> int:
    try:
        return resident_bytes(pid)
    except OSError:
        return 0
