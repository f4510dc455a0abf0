"""A process that runs many hollow members on one reactor, controlled over its standard input and output.

Run as `python -m laureldock.rehearsal.scale.hollow`. It exits when its standard input is closed.
"""

from __future__ import annotations

import gc
import os
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as installed_reactor
from twisted.internet.error import CannotListenError
from twisted.internet.stdio import StandardIO
from twisted.protocols.basic import LineOnlyReceiver

from laureldock.rehearsal.scale import commands
from laureldock.rehearsal.scale.accounting import ResourceUsage
from laureldock.rehearsal.scale.network import Network
from laureldock.rehearsal.scale.process_usage import cpu_seconds, resident_bytes
from laureldock.rehearsal.scale.shaping import MemberReactor
from laureldock.rehearsal.scale.topology import MemberLocation, Topology
from laureldock.rehearsal.scale.view_part import HollowView, decode_records, encode_records

if TYPE_CHECKING:
    from laureldock.rehearsal.scale.configuration_part import HollowConfiguration

LEAVE_DELAY = 0.5  # seconds from a member's last datagrams to its stop; above the longest network delay
LISTEN_RETRY_DELAY = 0.05  # seconds; the sockets of the previous start may still be closing
MAX_LINE_BYTES = 1 << 24

reactor: Any = installed_reactor


class HollowMember:
    """One hollow member, over all of its starts."""

    def __init__(self, host: HollowHost, location: MemberLocation) -> None:
        self.host, self.location = host, location
        self.usage = ResourceUsage()
        self.reactor: MemberReactor | None = None
        self.view: HollowView | None = None
        self.configuration: HollowConfiguration | None = None
        self.applied = commands.Applied(location.name)
        self.starts = self.stalls = self.refutations = 0

    @property
    def up(self) -> bool:
        return self.view is not None

    def start(self, alone: bool) -> None:
        if not self.up:
            self.usage.measure_call(self._start, alone)

    def _start(self, alone: bool) -> None:
        host = self.host
        self.reactor = MemberReactor(reactor, host.network, self.location, self.usage)
        self.starts += 1
        seeds = [] if alone else [host.topology.locations[name].address for name in host.topology.seeds()]
        view = HollowView(self.reactor, seeds, host.setup.period, host.setup.world.seed, self.on_event)
        try:
            view.start()
        except CannotListenError:
            self.reactor.close()
            reactor.callLater(LISTEN_RETRY_DELAY, self.start, alone)
            return
        self.view = view
        if host.setup.controllers:
            self._follow(self.reactor)

    def _follow(self, member_reactor: MemberReactor) -> None:
        # Imported only when needed, so that a run without a controller does not hold it in memory.
        from laureldock.rehearsal.scale.configuration_part import HollowConfiguration

        setup = self.host.setup
        self.configuration = HollowConfiguration(
            member_reactor, setup.controllers, setup.world.seed, self.on_applied
        )
        self.configuration.start()

    def on_applied(self, version: int) -> None:
        self.applied.versions.append(version)
        self.applied.at.append(time.time())

    def on_event(self, name: str, member: str) -> None:
        self.host.count_event(name, member)

    def stop(self, leave: bool) -> None:
        if self.view and leave:
            self.usage.measure_call(self.view.leave)
            reactor.callLater(LEAVE_DELAY, self.crash)
        else:
            self.crash()

    def crash(self) -> None:
        if self.view and self.reactor:
            self.stalls += self.view.stalls
            self.refutations += self.view.refutations
            self.reactor.close()
        self.view = self.reactor = self.configuration = None

    def sample(self) -> commands.MemberSample:
        usage = self.usage
        return commands.MemberSample(
            name=self.location.name,
            up=self.up,
            cpu_seconds=usage.cpu_nanoseconds / 1e9,
            view_datagrams=usage.view_datagrams,
            view_streams=usage.view_streams,
            configuration=usage.configuration,
            stalls=self.stalls + (self.view.stalls if self.view else 0),
            refutations=self.refutations + (self.view.refutations if self.view else 0),
        )


class HollowHost:
    """The hollow members of this process; executes the runner's commands."""

    def __init__(self, setup: commands.Setup) -> None:
        self.setup = setup
        self.topology = Topology(setup.world)
        self.network = Network(self.topology, f"{setup.world.seed}:{setup.names[0]}")
        self.members = {name: HollowMember(self, self.topology.locations[name]) for name in setup.names}
        self.events: dict[tuple[str, str], commands.EventCount] = {}

    def count_event(self, name: str, member: str) -> None:
        now = time.time()
        count = self.events.setdefault((name, member), commands.EventCount(name, member, 0, now, now))
        count.observers += 1
        count.last = now

    def execute(self, command: commands.Command) -> commands.Reply:
        match command:
            case commands.Start(names=names, alone=alone):
                for name in names:
                    self.members[name].start(alone)
            case commands.GetRecords():
                return commands.Records(encode_records([view.own_record() for view in self.live_views()]))
            case commands.FillViews(records=records):
                for view in self.live_views():
                    view.fill(decode_records(records))
            case commands.Stop(names=names, leave=leave):
                for name in names:
                    self.members[name].stop(leave)
            case commands.SetLink():
                link = self.network.link(command.one, command.other)
                link.cut, link.loss, link.slowdown = command.cut, command.loss, command.slowdown
            case commands.GetViews():
                return self.views()
            case commands.GetSample():
                return self.sample()
        return commands.Ready(resident_bytes(os.getpid()))

    def live_views(self) -> list[HollowView]:
        """Views of the members that are up."""
        return [member.view for member in self.members.values() if member.view is not None]

    def views(self) -> commands.Views:
        views: Counter[str] = Counter()
        configurations: Counter[int] = Counter()
        stopped = 0
        for member in self.members.values():
            if member.view is None:
                continue
            if member.view.active:
                views[f"{member.view.digest:016x}/{member.view.present}"] += 1
            else:
                stopped += 1
            if member.configuration:
                configurations[member.configuration.version] += 1
        return commands.Views(dict(views), dict(configurations), stopped)

    def sample(self) -> commands.Sample:
        sample = commands.Sample(
            members=[member.sample() for member in self.members.values()],
            events=list(self.events.values()),
            applied=[member.applied for member in self.members.values() if member.applied.versions],
            process_cpu_seconds=cpu_seconds(os.getpid()),
            resident_bytes=resident_bytes(os.getpid()),
        )
        self.events = {}
        for member in self.members.values():
            member.applied = commands.Applied(member.location.name)
        return sample


class CommandProtocol(LineOnlyReceiver):
    """Reads the runner's commands and writes the replies."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self) -> None:
        self.host: HollowHost | None = None

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        command = commands.decode_command(line)
        if isinstance(command, commands.Setup):
            self.host = HollowHost(command)
            gc.collect()
            reply: commands.Reply = commands.Ready(resident_bytes(os.getpid()))
        elif self.host is None:
            raise RuntimeError("the first command must be setup")
        else:
            reply = self.host.execute(command)
        self.sendLine(commands.encode(reply))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if reactor.running:
            reactor.stop()


def main() -> None:
    StandardIO(CommandProtocol(), reactor=reactor)
    reactor.run()


if __name__ == "__main__":
    main()
