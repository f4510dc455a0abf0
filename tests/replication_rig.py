"""One subscriber with a clock set by hand, a controller in memory, and a wire between that loses as told."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from laureldock.replication.messages import (
    NO_POSITION,
    ChangeMessage,
    FaultReport,
    Heartbeat,
    InForce,
    Message,
    Position,
    Refused,
    SnapshotBegin,
    SnapshotPart,
    Subscribe,
    checksum,
)
from laureldock.replication.subscriber import (
    ApplyChange,
    Connect,
    Disconnect,
    Effect,
    ReplaceEntries,
    Send,
    Subscriber,
    SubscriberEvent,
)
from laureldock.setup import plan
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    CustomerEntry,
    EntryKey,
    EntryKind,
    encode_change,
    encode_entries,
    entry_digest,
)

PART_ENTRIES = 2
Wire = Callable[[Message], Iterable[Message]]


def customer(name: str, quota: float) -> CustomerEntry:
    return CustomerEntry(name, plan.Customer(quota=quota))


def key(name: str) -> EntryKey:
    return EntryKey(EntryKind.CUSTOMER, name)


def put(*entries: CatalogEntry) -> Change:
    return Change(puts=entries)


def remove(*names: str) -> Change:
    return Change(removals=tuple(key(name) for name in names))


class MemorySinkError(ValueError):
    """The sink's rules refuse a change."""


class MemorySink:
    """Entries by key. `barred` names what its rules refuse; what is removed must be there."""

    def __init__(self) -> None:
        self.by_key: dict[EntryKey, CatalogEntry] = {}
        self.barred: Callable[[CatalogEntry], bool] = lambda entry: False
        self.history: list[dict[EntryKey, CatalogEntry]] = [{}]  # all states that were ever in force

    @property
    def digest(self) -> int:
        found = 0
        for entry in self.by_key.values():
            found ^= entry_digest(entry)
        return found

    def holds(self, wanted: EntryKey) -> bool:
        return wanted in self.by_key

    def entries(self) -> Iterable[CatalogEntry]:
        return list(self.by_key.values())

    def apply_change(self, change: Change) -> None:
        after = dict(self.by_key)
        for gone in change.removals:
            if gone not in after:
                raise MemorySinkError(f"{gone} is not there")
            del after[gone]
        for entry in change.puts:
            after[entry.key] = entry
        self._take(after)

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        self._take({entry.key: entry for entry in entries})

    def _take(self, after: dict[EntryKey, CatalogEntry]) -> None:
        for entry in after.values():
            if self.barred(entry):
                raise MemorySinkError(f"{entry.key} is barred")
        self.by_key = after
        self.history.append(dict(after))


class MemoryController:
    """What a controller has accepted, and what it would send. `kept`: changes that are not compacted away."""

    def __init__(self, epoch: int = 7, kept: int = 1000) -> None:
        self.state = MemorySink()
        self.position = Position(epoch, 0)
        self.log: list[ChangeMessage] = []
        self.digests = {0: 0}
        self.kept = kept

    def accept(self, change: Change, body: bytes | None = None) -> ChangeMessage:
        """`body`: what stands in its place on the wire, as of a later format."""
        self.state.apply_change(change)
        self.position = Position(self.position.epoch, self.position.version + 1)
        body = encode_change(change) if body is None else body
        digest = self.digests[self.position.version] = self.state.digest
        message = ChangeMessage(self.position, digest, 0.0, checksum(body), body)
        self.log = [*self.log, message][-self.kept :]
        return message

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(self.position)

    def answer(self, asked: Subscribe) -> list[Message]:
        at = asked.position
        missing = [each for each in self.log if each.position.version > at.version]
        whole = len(missing) == self.position.version - at.version
        known = at.epoch == self.position.epoch and self.digests.get(at.version) == asked.digest
        return [*missing] if known and whole and at != NO_POSITION else self.snapshot()

    def snapshot(self) -> list[Message]:
        entries = list(self.state.entries())
        bodies = [
            encode_entries(entries[place : place + PART_ENTRIES])
            for place in range(0, len(entries), PART_ENTRIES)
        ]
        begin = SnapshotBegin(self.position, self.state.digest, len(entries), len(bodies))
        parts = [SnapshotPart(number, checksum(body), body) for number, body in enumerate(bodies)]
        return [begin, *parts]


class Rig:
    """A subscriber, driven: what it sends is kept in `sent`, a controller's answers go over `wire` to it."""

    def __init__(self, controller: MemoryController | None = None, **settings: object) -> None:
        self.now = 100.0
        self.controller = controller or MemoryController()
        self.sink = MemorySink()
        controllers = settings.get("controllers", ("c:1",))
        assert isinstance(controllers, tuple)
        self.subscriber = Subscriber("d1", controllers, 1, self.sink.holds)
        self.wire: Wire = lambda message: [message]
        self.reachable = True
        self.sent: list[Message] = []
        self.effects: list[Effect] = []
        self.happened: list[str] = []
        self.disk: list[ApplyChange | ReplaceEntries] = []
        self.disk_full = False

    def start(self, position: Position = NO_POSITION, age: float | None = None) -> None:
        self.subscriber.restore(self.now, position, self.sink.digest, age)
        self.subscriber.start(self.now)
        self.turn()

    def turn(self) -> None:
        while effects := self.subscriber.poll(self.now):
            for effect in effects:
                self.effects.append(effect)
                self.carry_out(effect)

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case Connect():
                if self.reachable:
                    self.subscriber.connection_opened(self.now)
            case Send(message=message):
                self.sent.append(message)
                if isinstance(message, Subscribe) and self.reachable:
                    self.answers = self.controller.answer(message)
                    self.tell(*self.answers)
            case ApplyChange(change=change):
                self.apply(effect, lambda: self.sink.apply_change(change))
            case ReplaceEntries(entries=entries):
                self.apply(effect, lambda: self.sink.replace_entries(entries))
            case SubscriberEvent(event=event):
                if event != "controller reached":
                    self.happened.append(event)
            case Disconnect():
                pass

    def apply(self, effect: ApplyChange | ReplaceEntries, call: Callable[[], None]) -> None:
        try:
            call()
        except MemorySinkError as fault:
            self.subscriber.refused(self.now, [FaultReport((), str(fault))])
            return
        if not self.disk_full:
            self.disk.append(effect)
        self.subscriber.applied(self.now, self.sink.digest, not self.disk_full)

    def tell(self, *messages: Message) -> None:
        for message in messages:
            for each in self.wire(message):
                self.subscriber.message_received(self.now, each)
                self.turn()

    def accept(self, change: Change, body: bytes | None = None) -> None:
        message = self.controller.accept(change, body)
        if self.subscriber.connected and self.reachable:
            self.tell(message)

    def after(self, seconds: float) -> None:
        """Time passes in steps of a tenth; the controller tells a heartbeat every two seconds."""
        for _ in range(round(seconds * 10)):
            before, self.now = self.now, self.now + 0.1
            self.turn()
            if int(before / 2) != int(self.now / 2) and self.subscriber.connected and self.reachable:
                self.tell(self.controller.heartbeat())

    def count(self, kind: type[Message]) -> int:
        return sum(isinstance(each, kind) for each in self.sent)

    def asked(self) -> list[Subscribe]:
        return [each for each in self.sent if isinstance(each, Subscribe)]

    def in_force(self) -> list[int]:
        return [each.position.version for each in self.sent if isinstance(each, InForce)]

    def refusals(self) -> list[int]:
        return [each.position.version for each in self.sent if isinstance(each, Refused)]

    @property
    def level(self) -> bool:
        """Whether the dispatcher's entries and its version are the controller's."""
        same = self.sink.by_key == self.controller.state.by_key
        return same and self.subscriber.position == self.controller.position
