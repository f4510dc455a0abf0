"""A controller and dispatchers in one process: production code on a manual clock, with sockets in memory.

`play` checks the replication end to end: random changes are accepted while the controller is killed, frames
are lost and duplicated, and dispatchers are disconnected; one dispatcher has an older configuration file. It
returns the violations found.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog
from offline_assembly import drop_event
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from laureldock.controller.service import ControllerService
from laureldock.replication.catalog_sink import CatalogSink
from laureldock.replication.change_log import Record
from laureldock.replication.subscriber import Subscriber
from laureldock.setup import plan as model
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    EndpointEntry,
    EntryKey,
    EntryKind,
    TermsEntry,
)
from laureldock.setup.reading import load
from laureldock.setup.units import Address
from laureldock.sources.controlled import ControllerStream

CLASSES = """
[class.news]
effect = "redeliverable"
target_delay = "5s"
lifetime = "30s"
"""
FRESH = '[class.fresh]\neffect = "redeliverable"\ntarget_delay = "5s"\nlifetime = "30s"\n'
CONTROLLER = 'name = "c"\n[controller]\nlisten = "127.0.0.1:1"\n' + CLASSES + FRESH
DISPATCHER = 'name = "d"\n[source]\nkind = "controller"\ncontrollers = ["127.0.0.1:1"]\n' + CLASSES
LATENCY = 0.01  # seconds, the latency of a connection
STEP = 0.05
MAX_CALLS = 20_000  # scheduled by one step
SETTLE_TIME = 15.0  # seconds within which a change must be in force on all running dispatchers


class RecordingSink(CatalogSink):
    """A dispatcher's catalog; `digests` are the digests of all states that have been in force."""

    def __init__(self, base: model.Plan) -> None:
        super().__init__(base)
        self.digests: list[int] = []

    def apply_change(self, change: Change) -> None:
        try:
            self.apply(change)
        finally:
            self.digests.append(self.digest)

    def apply(self, change: Change) -> None:
        super().apply_change(change)

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        super().replace_entries(entries)
        self.digests.append(self.digest)


class ConnectionEnd:
    """One end of a connection in memory; each write is one frame."""

    def __init__(self, world: World, name: str, from_controller: bool) -> None:
        self.world, self.name, self.from_controller = world, name, from_controller
        self.other_end: ConnectionEnd
        self.protocol: Any = None
        self.open = True
        self.socket = self
        self.in_flight: deque[bytes | None] = deque()  # None: the close
        self.arrival_scheduled = False

    def write(self, data: bytes) -> None:
        if self.open:
            frames = self.world.wire(self.name, data) if self.from_controller else [data]
            for frame in frames:
                self.enqueue(frame)

    def enqueue(self, frame: bytes | None) -> None:
        self.in_flight.append(frame)
        if not self.arrival_scheduled:
            self.arrival_scheduled = True
            self.world.reactor.callLater(LATENCY, self.deliver)

    def deliver(self) -> None:
        self.arrival_scheduled = False
        if self.name in self.world.cut:  # delayed, as by retransmission
            self.arrival_scheduled = True
            self.world.reactor.callLater(STEP, self.deliver)
            return
        while self.in_flight:
            frame = self.in_flight.popleft()
            if frame is None:
                self.other_end.closed()
            elif self.other_end.open:
                self.other_end.protocol.dataReceived(frame)

    def closed(self) -> None:
        if self.open:
            self.open = False
            self.protocol.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    def abortConnection(self) -> None:  # noqa: N802
        if self.open:
            self.enqueue(None)
            self.world.reactor.callLater(0, self.closed)

    loseConnection = loseWriteConnection = abortConnection  # noqa: N815

    def ignore(self, *args: Any) -> None:
        """Does nothing: the socket always accepts written data."""

    setsockopt = setTcpNoDelay = registerProducer = unregisterProducer = ignore  # noqa: N815
    pauseProducing = resumeProducing = ignore  # noqa: N815


class RunawayError(Exception):
    """Calls schedule further calls without end while no time passes."""


class WorldReactor(MemoryReactorClock):
    world: World
    calls_scheduled = 0  # scheduled since the clock last advanced

    def callLater(self, delay, callable, *args, **kw):  # type: ignore[no-untyped-def]  # noqa: N802
        self.calls_scheduled += 1
        if self.calls_scheduled > MAX_CALLS:
            raise RunawayError
        return super().callLater(delay, callable, *args, **kw)

    def connectTCP(  # type: ignore[no-untyped-def]  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ):
        connector = Connector()
        self.callLater(LATENCY, self.world.connect, host, factory, connector)  # type: ignore[no-untyped-call]
        return connector


class Connector:
    stopped = False

    def stopConnecting(self) -> None:  # noqa: N802
        self.stopped = True


@dataclass
class Follower:
    sink: RecordingSink
    stream: ControllerStream


@dataclass
class World:
    """The simulation. `service_class`, `subscriber_class` and `sink_class` can be replaced by faulty ones."""

    folder: Path
    seed: int
    service_class: type[ControllerService] = ControllerService
    subscriber_class: type[Subscriber] = Subscriber
    sink_class: type[RecordingSink] = RecordingSink
    cut: set[str] = field(default_factory=set)
    lossy: bool = False
    faults: list[str] = field(default_factory=list)
    accepted: set[int] = field(default_factory=lambda: {0})  # digests of all states on the controller's disk

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.reactor: Any = WorldReactor()  # type: ignore[no-untyped-call]
        self.reactor.world = self
        self.ends: list[ConnectionEnd] = []
        self.killed_before = self.killed_after = 0  # the version before or after whose write it is killed
        self.file = self.folder / "controller.toml"
        self.file.write_text(CONTROLLER)
        self.service: ControllerService | None = None
        self.followers: dict[str, Follower] = {}

    # The controller

    def start_controller(self) -> None:
        service = self.service_class(load(str(self.file)).plan, self.folder / "state", self.reactor)
        service.log = structlog.wrap_logger(None, processors=[drop_event])
        service.start()
        self.service = service
        append = service.state.log.append

        def append_unless_killed(record: Record) -> None:
            if record.position.version == self.killed_before:
                self.kill_controller()
                raise OSError("killed")
            append(record)
            self.accepted.add(record.digest)
            if record.position.version == self.killed_after:
                self.kill_controller()

        service.state.log.append = append_unless_killed  # type: ignore[method-assign]

    def kill_controller(self) -> None:
        """Data it has written to sockets still arrives."""
        service, self.service = self.service, None
        assert service
        service.stopping = True
        service.state.log.close()
        for end in self.ends:
            if end.from_controller and end.open:
                end.open = False
                end.enqueue(None)

    def accept(self, change: Change) -> None:
        if self.service:
            self.service.propose(change, -1)

    # Dispatchers

    def add(self, name: str, extra: str = FRESH) -> None:
        file = self.folder / f"{name}.toml"
        file.write_text(DISPATCHER + extra)
        sink = self.sink_class(load(str(file)).plan)
        stream = ControllerStream(self.reactor, [f"{name}:1"], name, self.seed, sink)
        stream.subscriber = self.subscriber_class(name, [f"{name}:1"], self.seed, sink.holds)
        self.followers[name] = Follower(sink, stream)
        stream.start()

    def connect(self, name: str, factory: Any, connector: Connector) -> None:
        if connector.stopped:
            return
        if self.service is None or name in self.cut:
            factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
            return
        down, up = ConnectionEnd(self, name, True), ConnectionEnd(self, name, False)
        down.other_end, up.other_end = up, down
        down.protocol = self.service.server.buildProtocol(None)
        up.protocol = factory.buildProtocol(None)
        self.ends = [end for end in self.ends if end.open] + [down, up]
        down.protocol.makeConnection(down)
        up.protocol.makeConnection(up)

    def wire(self, name: str, data: bytes) -> list[bytes]:
        if not self.lossy:
            return [data]
        return self.rng.choices([[data], [], [data, data]], [8, 1, 1])[0]

    # Time

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.reactor.calls_scheduled = 0
            self.reactor.advance(STEP)
            self.check_states()

    def check_states(self) -> None:
        """Check that every state in force was accepted, and is on the controller's disk."""
        for name, follower in self.followers.items():
            for digest in follower.sink.digests:
                if digest not in self.accepted:
                    self.faults.append(f"{name}: a state in force was never accepted")
            follower.sink.digests.clear()

    def in_sync(self) -> bool:
        assert self.service
        position, digest = self.service.state.position, self.service.state.digest
        return all(
            each.stream.subscriber.position == position and each.sink.digest == digest
            for each in self.followers.values()
        )

    def settle(self) -> None:
        """End all faults, and check that all dispatchers are in sync in time."""
        self.cut.clear()
        self.lossy = False
        if self.service is None:
            self.start_controller()
        self.advance(SETTLE_TIME)
        if not self.in_sync():
            self.faults.append("not in force everywhere in time")


def endpoint(number: int, rate: float) -> EndpointEntry:
    name, address = f"e{number}", Address(f"127.0.0.1:{2000 + number}")
    return EndpointEntry(
        name, model.Endpoint(name=name, destination=f"d{number % 3}", address=address, rate=rate)
    )


STEPS = ["change", "change", "change", "burst", "wait", "kill", "cut", "heal", "lossy", "fresh"]
FRESH_TERMS = TermsEntry("class=fresh", model.Entry(queue_class="fresh", connects=2))


def play(world: World, steps: int = 60) -> list[str]:
    """Play random steps; return the violations found."""
    rng = world.rng
    world.start_controller()
    for name in ("d1", "d2", "d3"):
        world.add(name)
    world.add("old", extra="")
    world.accept(Change(puts=(endpoint(0, 1.0),)))
    world.advance(3.0)
    for _ in range(steps):
        match rng.choice(
            ["change", "change", "change", "burst", "wait", "kill", "cut", "heal", "lossy", "fresh"]
        ):
            case "change":
                world.accept(any_change(rng, world))
            case "burst":
                for _ in range(rng.randrange(15)):
                    world.accept(any_change(rng, world))
            case "wait":
                world.advance(rng.randrange(40) * STEP)
            case "kill" if world.service:
                version = world.service.state.position.version + 1
                if rng.random() < 0.5:
                    world.killed_before = version
                else:
                    world.killed_after = version
                world.accept(any_change(rng, world))
                world.killed_before = world.killed_after = 0
                world.advance(rng.randrange(40) * STEP)
                if world.service is None:
                    world.start_controller()
            case "cut":
                world.cut.add(rng.choice(["d1", "d2", "d3", "old"]))
            case "heal":
                world.cut.clear()
            case "lossy":
                world.lossy = not world.lossy
            case "fresh":  # a change that the old dispatcher refuses, and one that corrects it
                entries = (endpoint(rng.randrange(9), 1.0 + rng.randrange(99)), FRESH_TERMS)
                world.accept(Change(puts=entries))
                world.advance(rng.randrange(10) * STEP)
                world.accept(Change(removals=(FRESH_TERMS.key,)))
        world.advance(rng.randrange(6) * STEP)
    world.settle()
    return world.faults


def any_change(rng: random.Random, world: World) -> Change:
    names = list(world.service.state.catalog.endpoints) if world.service else []
    if len(names) > 3 and rng.random() < 0.3:
        return Change(removals=(EntryKey(EntryKind.ENDPOINT, rng.choice(names)),))
    return Change(
        puts=tuple({n: endpoint(n, 1.0 + rng.randrange(99)) for n in rng.sample(range(9), 2)}.values())
    )
