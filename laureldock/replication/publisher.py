"""What a controller sends to whom, and when. No I/O: a clock, a history and messages in, effects out.

Each dispatcher that follows has a position up to which it was told, and a token bucket of its own. What
follows that position is read from the history one record at a time as the bucket allows; one who cannot be
led on by records gets a snapshot first. Dispatchers that were lost stay known, so that operators see them.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from typing import Any, Protocol

from laureldock.replication import messages
from laureldock.replication.messages import (
    HEARTBEAT_INTERVAL,
    SILENCE_LIMIT,
    ChangeMessage,
    Heartbeat,
    InForce,
    Message,
    Position,
    Refusal,
    Refused,
    SnapshotBegin,
    SnapshotPart,
    Status,
    Subscribe,
    SubscriberStatus,
    VersionCount,
)
from laureldock.replication.pacing import TokenBucket

BURST_BYTES = 32 << 10
MAX_CHANGE_BYTES = 64 << 10  # of one change that is sent; a larger one is carried by a snapshot
CACHED_PAYLOADS, CACHED_BYTES = 64, 1 << 20
KNOWN_ACCEPT_TIMES = 10_000
SLOWEST_TOLD, VERSIONS_TOLD = 20, 1000


class StoredRecord(Protocol):
    """As `change_log.Record`."""

    @property
    def position(self) -> Position: ...
    @property
    def digest(self) -> int: ...
    @property
    def accepted_at(self) -> float: ...
    @property
    def body(self) -> bytes: ...


class StoredSnapshot(Protocol):
    """As `change_log.SnapshotReader`."""

    @property
    def position(self) -> Position: ...
    @property
    def digest(self) -> int: ...
    @property
    def entries(self) -> int: ...
    @property
    def parts(self) -> int: ...
    @property
    def parts_read(self) -> int: ...
    def next_part(self) -> bytes | None: ...


class History(Protocol):
    """As `change_log.ChangeLog`: what was accepted."""

    @property
    def oldest_version(self) -> int: ...
    def digest_at(self, version: int) -> int | None: ...
    def records_after(self, version: int, max_records: int) -> list[Any] | None: ...
    def snapshot_file(self) -> StoredSnapshot | None: ...


# Effects


@dataclass(frozen=True, slots=True)
class Send:
    stream: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Close:
    stream: int


@dataclass(frozen=True, slots=True)
class Report:
    """For the log: an event of one dispatcher. `serious`: a person may have to look."""

    event: str
    dispatcher: str
    fields: dict[str, Any] = field(default_factory=dict)
    serious: bool = False


Effect = Send | Close | Report


@dataclass(slots=True, eq=False)
class Subscriber:
    """A dispatcher that follows, or that followed and was lost (`stream` is None)."""

    name: str
    bucket: TokenBucket
    stream: int | None = None
    told: Position = messages.NO_POSITION
    in_force: Position = messages.NO_POSITION
    refusal: Refusal | None = None
    last_heard: float = -inf
    last_heartbeat: float = -inf
    due: float = inf
    paused: bool = False  # its stream takes nothing at present
    snapshot: StoredSnapshot | None = None  # that is being sent
    wants_snapshot: bool = False
    waits_for_compaction: bool = False


def change_message(record: StoredRecord) -> ChangeMessage:
    checksum = messages.checksum(record.body)
    return ChangeMessage(record.position, record.digest, record.accepted_at, checksum, record.body)


class Publisher:
    """`pace`: bytes a second to one dispatcher, bursts aside."""

    def __init__(
        self,
        now: float,
        history: History,
        position: Position,
        digest: int,
        pace: float,
        max_subscribers: int,
    ) -> None:
        self.began = now
        self.history, self.position, self.digest = history, position, digest
        self.pace, self.max_subscribers = pace, max_subscribers
        self.counters: Counter[str] = Counter()
        self.subscribers: dict[str, Subscriber] = {}  # by name, known ones
        self.streams: dict[int, Subscriber] = {}
        self.newest_large_version = 0  # the last change that is too large to be sent as one
        self.compaction_wanted = False  # somebody waits for a later snapshot
        self._accept_times: deque[float] = deque(maxlen=KNOWN_ACCEPT_TIMES)  # up to the newest version
        self._heartbeat = messages.encode(Heartbeat(position))
        self._payloads: OrderedDict[int, bytes] = OrderedDict()  # of the last changes sent
        self._payload_bytes = 0
        self._schedule: list[tuple[float, int, Subscriber]] = []
        self._scheduled = 0
        self._effects: list[Effect] = []

    # What happens

    def received(self, now: float, stream: int, message: Message) -> None:
        """A message of a stream that began with Subscribe, or the Subscribe itself."""
        match message:
            case Subscribe():
                self.subscribed(now, stream, message)
            case InForce():
                self.in_force(now, stream, message)
            case Refused():
                self.refused(now, stream, message)
            case Heartbeat():
                self.heartbeat(now, stream)
            case _:
                self._drop(stream, "unexpected message")

    def subscribed(self, now: float, stream: int, message: Subscribe) -> None:
        subscriber = self._admitted(now, stream, message.dispatcher)
        if subscriber is None:
            return
        position = message.position
        subscriber.last_heard, subscriber.snapshot = now, None
        subscriber.told = subscriber.in_force = position
        subscriber.wants_snapshot = not self._continues(position, message.digest)
        self.counters["subscriptions"] += 1
        fields = {"version": position.version, "snapshot": subscriber.wants_snapshot}
        self._effects.append(Report("dispatcher subscribed", subscriber.name, fields))
        self._wake(subscriber, now)

    def _admitted(self, now: float, stream: int, name: str) -> Subscriber | None:
        """Who subscribes there; None where there is no room."""
        known = self.subscribers.get(name)
        current = self.streams.get(stream)
        if current is not None and current is not known:
            self._drop(stream, "another name on one stream")
            return None
        if current is None and known is not None and known.stream is not None:
            self._drop(known.stream, "name taken by a later stream")
        if current is None and len(self.streams) >= self.max_subscribers:
            self.counters["subscribers refused"] += 1
            self._effects += [Report("dispatcher refused: too many", name, serious=True), Close(stream)]
            return None
        if known is None:
            self._forget_one()
            known = Subscriber(name, TokenBucket(now, self.pace, BURST_BYTES))
            self.subscribers[name] = known
        if current is None:
            known.stream, known.paused, known.last_heartbeat = stream, False, -inf
            self.streams[stream] = known
        return known

    def _forget_one(self) -> None:
        """Room for one more among those known: the one that was lost longest ago goes."""
        if len(self.subscribers) >= 2 * self.max_subscribers:
            lost = (each for each in self.subscribers.values() if each.stream is None)
            del self.subscribers[min(lost, key=lambda each: each.last_heard).name]

    def _continues(self, position: Position, digest: int) -> bool:
        """Whether records alone can lead on from there."""
        if position.epoch != self.position.epoch or position.version > self.position.version:
            return False
        return self.history.digest_at(position.version) == digest

    def in_force(self, now: float, stream: int, message: InForce) -> None:
        subscriber = self.streams.get(stream)
        if subscriber is None:
            return
        position = message.position
        if position.epoch == self.position.epoch and position.version > self.position.version:
            self._drop(stream, "a version that was never accepted")
            return
        subscriber.last_heard, subscriber.in_force = now, position
        if subscriber.refusal is not None and position >= subscriber.refusal.position:
            subscriber.refusal = None

    def refused(self, now: float, stream: int, message: Refused) -> None:
        subscriber = self.streams.get(stream)
        if subscriber is None:
            return
        reason = message.faults[0].reason if message.faults else ""
        subscriber.last_heard, subscriber.refusal = now, Refusal(message.position, reason)
        self.counters["changes refused by dispatchers"] += 1
        fields = {"version": message.position.version, "reason": reason, "faults": len(message.faults)}
        self._effects.append(Report("change refused by a dispatcher", subscriber.name, fields, serious=True))

    def heartbeat(self, now: float, stream: int) -> None:
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.last_heard = now

    def lost(self, stream: int) -> None:
        """The stream is closed."""
        if (subscriber := self._detach(stream)) is not None:
            self._effects.append(Report("dispatcher lost", subscriber.name))

    def paused(self, stream: int) -> None:
        """The stream takes nothing until `resumed`."""
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.paused = True
            self.counters["streams paused"] += 1

    def resumed(self, now: float, stream: int) -> None:
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.paused = False
            self._wake(subscriber, now)

    def restored(self, version: int, body_bytes: int, at: float) -> None:
        """A record that was read at the start; accepted at `at` by the clock of `now`."""
        self._note(version, body_bytes, at)

    def accepted(self, now: float, record: StoredRecord) -> None:
        """A change that is in the history."""
        self.position, self.digest = record.position, record.digest
        self._heartbeat = messages.encode(Heartbeat(self.position))
        self._note(record.position.version, len(record.body), now)
        if len(record.body) <= MAX_CHANGE_BYTES:
            self._keep_payload(record.position.version, messages.encode(change_message(record)))
        for subscriber in self.streams.values():
            self._wake(subscriber, now)

    def compacted(self, now: float) -> None:
        """There is a later snapshot: those who wait for one go on."""
        self.compaction_wanted = False
        for subscriber in self.streams.values():
            if subscriber.waits_for_compaction:
                self._wake(subscriber, now)

    def _note(self, version: int, body_bytes: int, at: float) -> None:
        self._accept_times.append(at)
        if body_bytes > MAX_CHANGE_BYTES:
            self.newest_large_version = version

    def _detach(self, stream: int) -> Subscriber | None:
        subscriber = self.streams.pop(stream, None)
        if subscriber is not None:
            subscriber.stream = subscriber.snapshot = None
            subscriber.wants_snapshot = subscriber.waits_for_compaction = False
        return subscriber

    def _drop(self, stream: int, reason: str) -> None:
        subscriber = self._detach(stream)
        self.counters["dispatchers' streams closed"] += 1
        name = subscriber.name if subscriber is not None else ""
        self._effects += [Report("dispatcher's stream closed", name, {"reason": reason}), Close(stream)]

    # Turns

    @property
    def due(self) -> float:
        """When the next turn is to be taken at the latest."""
        return self._schedule[0][0] if self._schedule else inf

    def turn(self, now: float) -> list[Effect]:
        while self._schedule and self._schedule[0][0] <= now:
            due, _, subscriber = heappop(self._schedule)
            if due != subscriber.due:
                continue  # it was woken earlier since
            subscriber.due = inf
            if subscriber.stream is not None:
                self._serve(now, subscriber, subscriber.stream)
        effects, self._effects = self._effects, []
        return effects

    def _wake(self, subscriber: Subscriber, at: float) -> None:
        if at < subscriber.due:
            self._scheduled += 1
            subscriber.due = at
            heappush(self._schedule, (at, self._scheduled, subscriber))

    def _serve(self, now: float, subscriber: Subscriber, stream: int) -> None:
        silent_at = subscriber.last_heard + SILENCE_LIMIT
        if now >= silent_at:
            self._drop(stream, "silent")
            return
        if subscriber.paused:
            self._wake(subscriber, silent_at)
            return
        if now >= subscriber.last_heartbeat + HEARTBEAT_INTERVAL:
            subscriber.last_heartbeat = now
            self._send(now, subscriber, stream, self._heartbeat)
        more_at = self._send_what_follows(now, subscriber, stream)
        if subscriber.stream is not None:
            heartbeat_at = subscriber.last_heartbeat + HEARTBEAT_INTERVAL
            self._wake(subscriber, min(silent_at, heartbeat_at, more_at))

    def _send_what_follows(self, now: float, subscriber: Subscriber, stream: int) -> float:
        """When there will be more to send."""
        while (ready_at := subscriber.bucket.ready_at(now)) <= now:
            try:
                payload = self._next_payload(subscriber)
            except Exception as fault:  # whatever the disk gives; the others go on
                self.counters["history unreadable"] += 1
                self._drop(stream, f"history unreadable: {fault}")
                return inf
            if payload is None:
                return inf
            self._send(now, subscriber, stream, payload)
        return ready_at

    def _send(self, now: float, subscriber: Subscriber, stream: int, payload: bytes) -> None:
        subscriber.bucket.take(now, len(payload) + 4)  # and the length before it
        self.counters["bytes sent"] += len(payload) + 4
        self._effects.append(Send(stream, payload))

    def _next_payload(self, subscriber: Subscriber) -> bytes | None:
        """None: it was told all, or waits for a snapshot."""
        if subscriber.snapshot is not None:
            if (payload := self._next_part(subscriber, subscriber.snapshot)) is not None:
                return payload
            subscriber.told, subscriber.snapshot = subscriber.snapshot.position, None
        version = subscriber.told.version
        if version < max(self.newest_large_version, self.history.oldest_version):
            subscriber.wants_snapshot = True
        if subscriber.wants_snapshot:
            return self._begin_snapshot(subscriber)
        if version >= self.position.version:
            return None
        payload = self._payload_after(version)
        subscriber.told = Position(self.position.epoch, version + 1)
        self.counters["changes sent"] += 1
        return payload

    def _begin_snapshot(self, subscriber: Subscriber) -> bytes | None:
        snapshot = self.history.snapshot_file()
        wanted = max(self.newest_large_version, self._least_snapshot_version(subscriber))
        if snapshot is None or snapshot.position.version < wanted:
            subscriber.waits_for_compaction = True
            self.compaction_wanted = self.position.version >= wanted
            return None
        subscriber.snapshot = snapshot
        subscriber.wants_snapshot = subscriber.waits_for_compaction = False
        self.counters["snapshots sent"] += 1
        begin = SnapshotBegin(snapshot.position, snapshot.digest, snapshot.entries, snapshot.parts)
        return messages.encode(begin)

    @staticmethod
    def _least_snapshot_version(subscriber: Subscriber) -> int:
        """A controller that began with an empty folder takes nobody's entries away before it is filled."""
        return 0 if subscriber.told.epoch == 0 else 1

    def _next_part(self, subscriber: Subscriber, snapshot: StoredSnapshot) -> bytes | None:
        number, body = snapshot.parts_read, snapshot.next_part()
        if body is None:
            return None
        return messages.encode(SnapshotPart(number, messages.checksum(body), body))

    def _payload_after(self, version: int) -> bytes:
        cached = self._payloads.get(version + 1)
        if cached is not None:
            return cached
        records = self.history.records_after(version, 1)
        if not records:
            raise LookupError(f"no record behind version {version}")
        payload = messages.encode(change_message(records[0]))
        self._keep_payload(version + 1, payload)
        return payload

    def _keep_payload(self, version: int, payload: bytes) -> None:
        self._payloads[version] = payload
        self._payload_bytes += len(payload)
        while len(self._payloads) > CACHED_PAYLOADS or self._payload_bytes > CACHED_BYTES:
            self._payload_bytes -= len(self._payloads.popitem(last=False)[1])

    # What operators are told

    def status(self, now: float, entries: int, accepted_seconds_ago: float) -> Status:
        told = [self._status_of(now, each) for each in self.subscribers.values()]
        told.sort(key=lambda each: (-each.behind_seconds, each.position, each.dispatcher))
        counts = Counter(self._version_of(each) for each in told)
        versions = tuple(VersionCount(*each) for each in sorted(counts.items(), reverse=True))
        slowest = [each for each in told if self._is_behind(each)]
        return Status(
            self.position, self.digest, entries, accepted_seconds_ago, versions[:VERSIONS_TOLD],
            tuple(slowest[:SLOWEST_TOLD]),
        )  # fmt: skip

    def _version_of(self, each: SubscriberStatus) -> int:
        return each.position.version if each.position.epoch == self.position.epoch else 0

    def _is_behind(self, each: SubscriberStatus) -> bool:
        return each.position != self.position or not each.connected or each.refused_version > 0

    def _status_of(self, now: float, subscriber: Subscriber) -> SubscriberStatus:
        refusal = subscriber.refusal
        return SubscriberStatus(
            dispatcher=subscriber.name,
            position=subscriber.in_force,
            connected=subscriber.stream is not None,
            silent_seconds=max(0.0, now - subscriber.last_heard),
            behind_seconds=self._behind(now, subscriber.in_force),
            refused_version=refusal.position.version if refusal else 0,
            refused_reason=refusal.reason if refusal else "",
        )

    def _behind(self, now: float, position: Position) -> float:
        """Seconds since the oldest change was accepted that is not in force there, as far as it is known."""
        if position == self.position:
            return 0.0
        version = position.version if position.epoch == self.position.epoch else -1
        first = self.position.version - len(self._accept_times) + 1
        place = max(0, version + 1 - first)
        at = self._accept_times[place] if place < len(self._accept_times) else self.began
        return max(0.0, now - at)
