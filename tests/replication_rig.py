"""One subscriber with a manual clock, a controller in memory, and a configurable lossy wire between them."""

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

ENTRIES_PER_PART = 2
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
    """The rules of the sink refuse a change."""


class MemorySink:
    """Entries by key. `refuses` returns whether an entry is refused; only existing entries can be removed."""

    def __init__(self) -> None:
        self.by_key: dict[EntryKey, CatalogEntry] = {}
        self.refuses: Callable[[CatalogEntry], bool] = lambda entry: False
        self.history: list[dict[EntryKey, CatalogEntry]] = [{}]  # all states that have been in force

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
        entries_after = dict(self.by_key)
        for removed in change.removals:
            if removed not in entries_after:
                raise MemorySinkError(f"{removed} does not exist")
            del entries_after[removed]
        for entry in change.puts:
            entries_after[entry.key] = entry
        self._take(entries_after)

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        self._take({entry.key: entry for entry in entries})

    def _take(self, entries_after: dict[EntryKey, CatalogEntry]) -> None:
        for entry in entries_after.values():
            if self.refuses(entry):
                raise MemorySinkError(f"{entry.key} is denied")
        self.by_key = entries_after
        self.history.append(dict(entries_after))


class MemoryController:
    """A stub of a controller in memory; its log has the last `kept_changes` changes."""

    def __init__(self, epoch: int = 7, kept_changes: int = 1000) -> None:
        self.state = MemorySink()
        self.position = Position(epoch, 0)
        self.log: list[ChangeMessage] = []
        self.digests = {0: 0}
        self.kept_changes = kept_changes

    def accept(self, change: Change, body: bytes | None = None) -> ChangeMessage:
        """Accept a change. `body` replaces its encoding on the wire, for example by a later format."""
        self.state.apply_change(change)
        self.position = Position(self.position.epoch, self.position.version + 1)
        body = encode_change(change) if body is None else body
        digest = self.digests[self.position.version] = self.state.digest
        message = ChangeMessage(self.position, digest, 0.0, checksum(body), body)
        self.log = [*self.log, message][-self.kept_changes :]
        return message

    def heartbeat(self) -> Heartbeat:
        return Heartbeat(self.position)

    def respond(self, message: Subscribe) -> list[Message]:
        position = message.position
        missing = [each for each in self.log if each.position.version > position.version]
        complete = len(missing) == self.position.version - position.version
        known = position.epoch == self.position.epoch and self.digests.get(position.version) == message.digest
        return [*missing] if known and complete and position != NO_POSITION else self.snapshot()

    def snapshot(self) -> list[Message]:
        entries = list(self.state.entries())
        bodies = [
            encode_entries(entries[start : start + ENTRIES_PER_PART])
            for start in range(0, len(entries), ENTRIES_PER_PART)
        ]
        begin = SnapshotBegin(self.position, self.state.digest, len(entries), len(bodies))
        parts = [SnapshotPart(number, checksum(body), body) for number, body in enumerate(bodies)]
        return [begin, *parts]


class Rig:
    """Drives a subscriber: `sent` has its messages; the controller's responses reach it through `wire`."""

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
        self.events: list[str] = []
        self.disk: list[ApplyChange | ReplaceEntries] = []
        self.disk_full = False

    def start(self, position: Position = NO_POSITION, age: float | None = None) -> None:
        self.subscriber.restore(self.now, position, self.sink.digest, age)
        self.subscriber.start(self.now)
        self.poll()

    def poll(self) -> None:
        while effects := self.subscriber.poll(self.now):
            for effect in effects:
                self.effects.append(effect)
                self.execute(effect)

    def execute(self, effect: Effect) -> None:
        match effect:
            case Connect():
                if self.reachable:
                    self.subscriber.connection_opened(self.now)
            case Send(message=message):
                self.sent.append(message)
                if isinstance(message, Subscribe) and self.reachable:
                    self.responses = self.controller.respond(message)
                    self.deliver(*self.responses)
            case ApplyChange(change=change):
                self.apply(effect, lambda: self.sink.apply_change(change))
            case ReplaceEntries(entries=entries):
                self.apply(effect, lambda: self.sink.replace_entries(entries))
            case SubscriberEvent(event=event):
                if event != "controller reached":
                    self.events.append(event)
            case Disconnect():
                pass

    def apply(self, effect: ApplyChange | ReplaceEntries, call: Callable[[], None]) -> None:
        try:
            call()
        except MemorySinkError as error:
            self.subscriber.refused(self.now, [FaultReport((), str(error))])
            return
        if not self.disk_full:
            self.disk.append(effect)
        self.subscriber.applied(self.now, self.sink.digest, not self.disk_full)

    def deliver(self, *messages: Message) -> None:
        for message in messages:
            for each in self.wire(message):
                self.subscriber.message_received(self.now, each)
                self.poll()

    def accept(self, change: Change, body: bytes | None = None) -> None:
        message = self.controller.accept(change, body)
        if self.subscriber.connected and self.reachable:
            self.deliver(message)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of 0.1 s; the controller sends a heartbeat every two seconds."""
        for _ in range(round(seconds * 10)):
            before, self.now = self.now, self.now + 0.1
            self.poll()
            if int(before / 2) != int(self.now / 2) and self.subscriber.connected and self.reachable:
                self.deliver(self.controller.heartbeat())

    def count(self, kind: type[Message]) -> int:
        return sum(isinstance(each, kind) for each in self.sent)

    def subscriptions(self) -> list[Subscribe]:
        return [each for each in self.sent if isinstance(each, Subscribe)]

    def acknowledged_versions(self) -> list[int]:
        return [each.position.version for each in self.sent if isinstance(each, InForce)]

    def refused_versions(self) -> list[int]:
        return [each.position.version for each in self.sent if isinstance(each, Refused)]

    @property
    def in_sync(self) -> bool:
        """Whether the dispatcher has the entries and the position of the controller."""
        same = self.sink.by_key == self.controller.state.by_key
        return same and self.subscriber.position == self.controller.position
