"""A controller and dispatchers in one process on a clock set by hand: all code as shipped, sockets in memory.

`play` is a check of the whole way of changes: random ones are accepted while the controller is killed, frames
are lost and doubled, and dispatchers are cut off; one dispatcher's file is older. It gives what was broken.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import structlog
from assembled import unheard
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
TRANSIT = 0.01  # seconds from one end of a stream to the other
STEP = 0.05
MAX_CALLS = 20_000  # in one step
IN_TIME = 15.0  # seconds in which a change is in force on all that are up


class RecordingSink(CatalogSink):
    """A dispatcher's catalog; `digests` are of all states that were ever in force."""

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


class End:
    """One end of a stream in memory; what is written is one frame."""

    def __init__(self, world: World, name: str, downward: bool) -> None:
        self.world, self.name, self.downward = world, name, downward
        self.peer: End
        self.protocol: Any = None
        self.open = True
        self.socket = self
        self.flying: deque[bytes | None] = deque()  # None: the close
        self.moving = False

    def write(self, data: bytes) -> None:
        if self.open:
            frames = self.world.wire(self.name, data) if self.downward else [data]
            for frame in frames:
                self.fly(frame)

    def fly(self, frame: bytes | None) -> None:
        self.flying.append(frame)
        if not self.moving:
            self.moving = True
            self.world.reactor.callLater(TRANSIT, self.arrive)

    def arrive(self) -> None:
        self.moving = False
        if self.name in self.world.cut:  # held back, as by a network that sends it again
            self.moving = True
            self.world.reactor.callLater(STEP, self.arrive)
            return
        while self.flying:
            frame = self.flying.popleft()
            if frame is None:
                self.peer.closed()
            elif self.peer.open:
                self.peer.protocol.dataReceived(frame)

    def closed(self) -> None:
        if self.open:
            self.open = False
            self.protocol.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    def abortConnection(self) -> None:  # noqa: N802
        if self.open:
            self.fly(None)
            self.world.reactor.callLater(0, self.closed)

    loseConnection = loseWriteConnection = abortConnection  # noqa: N815

    def nothing(self, *words: Any) -> None:
        """As of a socket that always takes what is written."""

    setsockopt = setTcpNoDelay = registerProducer = unregisterProducer = nothing  # noqa: N815
    pauseProducing = resumeProducing = nothing  # noqa: N815


class EndlessError(Exception):
    """Calls follow calls and no time passes."""


class WorldReactor(MemoryReactorClock):
    world: World
    calls_made = 0  # asked for since the clock went on

    def callLater(self, delay, callable, *args, **kw):  # type: ignore[no-untyped-def]  # noqa: N802
        self.calls_made += 1
        if self.calls_made > MAX_CALLS:
            raise EndlessError
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
        self.callLater(TRANSIT, self.world.connect, host, factory, connector)  # type: ignore[no-untyped-call]
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
    """`service`, `subscriber` and `sink` are the classes of the controller and its dispatchers."""

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
        self.chance = random.Random(self.seed)
        self.reactor: Any = WorldReactor()  # type: ignore[no-untyped-call]
        self.reactor.world = self
        self.ends: list[End] = []
        self.killed_before = self.killed_after = 0  # the version whose record is not, or just, on disk
        self.file = self.folder / "controller.toml"
        self.file.write_text(CONTROLLER)
        self.service: ControllerService | None = None
        self.followers: dict[str, Follower] = {}

    # The controller

    def start_controller(self) -> None:
        service = self.service_class(load(str(self.file)).plan, self.folder / "state", self.reactor)
        service.log = structlog.wrap_logger(None, processors=[unheard])
        service.start()
        self.service = service
        append = service.state.log.append

        def watched(record: Record) -> None:
            if record.position.version == self.killed_before:
                self.kill_controller()
                raise OSError("killed")
            append(record)
            self.accepted.add(record.digest)
            if record.position.version == self.killed_after:
                self.kill_controller()

        service.state.log.append = watched  # type: ignore[method-assign]

    def kill_controller(self) -> None:
        """What it has written to sockets still arrives."""
        service, self.service = self.service, None
        assert service
        service.stopping = True
        service.state.log.close()
        for end in self.ends:
            if end.downward and end.open:
                end.open = False
                end.fly(None)

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
        down, up = End(self, name, True), End(self, name, False)
        down.peer, up.peer = up, down
        down.protocol = self.service.server.buildProtocol(None)
        up.protocol = factory.buildProtocol(None)
        self.ends = [end for end in self.ends if end.open] + [down, up]
        down.protocol.makeConnection(down)
        up.protocol.makeConnection(up)

    def wire(self, name: str, data: bytes) -> list[bytes]:
        if not self.lossy:
            return [data]
        return self.chance.choices([[data], [], [data, data]], [8, 1, 1])[0]

    # Time

    def after(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.reactor.calls_made = 0
            self.reactor.advance(STEP)
            self.look()

    def look(self) -> None:
        """What is in force anywhere was accepted, and is on the controller's disk."""
        for name, follower in self.followers.items():
            for digest in follower.sink.digests:
                if digest not in self.accepted:
                    self.faults.append(f"{name}: in force is what was never accepted")
            follower.sink.digests.clear()

    def level(self) -> bool:
        assert self.service
        position, digest = self.service.state.position, self.service.state.digest
        return all(
            each.stream.subscriber.position == position and each.sink.digest == digest
            for each in self.followers.values()
        )

    def settle(self) -> None:
        """No more faults: all are level in time."""
        self.cut.clear()
        self.lossy = False
        if self.service is None:
            self.start_controller()
        self.after(IN_TIME)
        if not self.level():
            self.faults.append("not in force on all in time")


def endpoint(number: int, rate: float) -> EndpointEntry:
    name, address = f"e{number}", Address(f"127.0.0.1:{2000 + number}")
    return EndpointEntry(
        name, model.Endpoint(name=name, destination=f"d{number % 3}", address=address, rate=rate)
    )


STEPS = ["change", "change", "change", "burst", "wait", "kill", "cut", "heal", "lossy", "fresh"]
FRESH_TERMS = TermsEntry("class=fresh", model.Entry(queue_class="fresh", connects=2))


def play(world: World, steps: int = 60) -> list[str]:
    """What was broken: nothing where all is sound."""
    chance = world.chance
    world.start_controller()
    for name in ("d1", "d2", "d3"):
        world.add(name)
    world.add("old", extra="")
    world.accept(Change(puts=(endpoint(0, 1.0),)))
    world.after(3.0)
    for _ in range(steps):
        match chance.choice(
            ["change", "change", "change", "burst", "wait", "kill", "cut", "heal", "lossy", "fresh"]
        ):
            case "change":
                world.accept(any_change(chance, world))
            case "burst":
                for _ in range(chance.randrange(15)):
                    world.accept(any_change(chance, world))
            case "wait":
                world.after(chance.randrange(40) * STEP)
            case "kill" if world.service:
                version = world.service.state.position.version + 1
                if chance.random() < 0.5:
                    world.killed_before = version
                else:
                    world.killed_after = version
                world.accept(any_change(chance, world))
                world.killed_before = world.killed_after = 0
                world.after(chance.randrange(40) * STEP)
                if world.service is None:
                    world.start_controller()
            case "cut":
                world.cut.add(chance.choice(["d1", "d2", "d3", "old"]))
            case "heal":
                world.cut.clear()
            case "lossy":
                world.lossy = not world.lossy
            case "fresh":  # what the old one refuses, and what makes up for it
                some = (endpoint(chance.randrange(9), 1.0 + chance.randrange(99)), FRESH_TERMS)
                world.accept(Change(puts=some))
                world.after(chance.randrange(10) * STEP)
                world.accept(Change(removals=(FRESH_TERMS.key,)))
        world.after(chance.randrange(6) * STEP)
    world.settle()
    return world.faults


def any_change(chance: random.Random, world: World) -> Change:
    here = list(world.service.state.catalog.endpoints) if world.service else []
    if len(here) > 3 and chance.random() < 0.3:
        return Change(removals=(EntryKey(EntryKind.ENDPOINT, chance.choice(here)),))
    return Change(
        puts=tuple({n: endpoint(n, 1.0 + chance.randrange(99)) for n in chance.sample(range(9), 2)}.values())
    )
