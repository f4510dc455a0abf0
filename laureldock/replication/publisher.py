"""Decides what a controller sends to which dispatcher, and when. No I/O: times and messages in, effects out.

Each subscriber has the position up to which changes were sent, and a token bucket of its own. Later records
are read from the history one at a time as the bucket allows; a subscriber that cannot continue from records
gets a snapshot first. Disconnected dispatchers stay in the list, so that operators see them.
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
MAX_CHANGE_BYTES = 64 << 10  # of one change; a larger one is distributed in a snapshot
CACHED_PAYLOADS, CACHED_BYTES = 64, 1 << 20
MAX_ACCEPT_TIMES = 10_000
MAX_SLOWEST_REPORTED, MAX_VERSIONS_REPORTED = 20, 1000


class StoredRecord(Protocol):
    """Interface of `change_log.Record`."""

    @property
    def position(self) -> Position: ...
    @property
    def digest(self) -> int: ...
    @property
    def accepted_at(self) -> float: ...
    @property
    def body(self) -> bytes: ...


class StoredSnapshot(Protocol):
    """Interface of `change_log.SnapshotReader`."""

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
    """Interface of `change_log.ChangeLog`: the accepted changes."""

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
    """An event of one dispatcher, for the log. `serious`: an operator may have to act."""

    event: str
    dispatcher: str
    fields: dict[str, Any] = field(default_factory=dict)
    serious: bool = False


Effect = Send | Close | Report


@dataclass(slots=True, eq=False)
class Subscriber:
    """A dispatcher that is subscribed, or was until its stream closed (`stream` is None)."""

    name: str
    bucket: TokenBucket
    stream: int | None = None
    sent_position: Position = messages.NO_POSITION
    in_force: Position = messages.NO_POSITION
    refusal: Refusal | None = None
    last_received_at: float = -inf
    last_heartbeat_at: float = -inf
    due_at: float = inf
    paused: bool = False  # the stream's send buffer is full
    snapshot: StoredSnapshot | None = None  # the one being sent
    needs_snapshot: bool = False
    waits_for_compaction: bool = False


def change_message(record: StoredRecord) -> ChangeMessage:
    checksum = messages.checksum(record.body)
    return ChangeMessage(record.position, record.digest, record.accepted_at, checksum, record.body)


class Publisher:
    """Serves all subscribers. `pace`: bytes per second to one dispatcher, in addition to bursts."""

    def __init__(
        self,
        now: float,
        history: History,
        position: Position,
        digest: int,
        pace: float,
        max_subscribers: int,
    ) -> None:
        self.started_at = now
        self.history, self.position, self.digest = history, position, digest
        self.pace, self.max_subscribers = pace, max_subscribers
        self.counters: Counter[str] = Counter()
        self.subscribers: dict[str, Subscriber] = {}  # by name, including disconnected ones
        self.streams: dict[int, Subscriber] = {}
        self.newest_large_version = 0  # of the last change that is too large for a single message
        self.compaction_wanted = False  # a subscriber waits for a newer snapshot
        self._accept_times: deque[float] = deque(maxlen=MAX_ACCEPT_TIMES)  # of the newest versions, in order
        self._heartbeat = messages.encode(Heartbeat(position))
        self._payloads: OrderedDict[int, bytes] = OrderedDict()  # of the last changes sent, by version
        self._payload_bytes = 0
        self._wakeups: list[tuple[float, int, Subscriber]] = []
        self._wakeup_count = 0
        self._effects: list[Effect] = []

    # Events

    def message_received(self, now: float, stream: int, message: Message) -> None:
        """A message on a stream that began with Subscribe, or the Subscribe itself."""
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
        subscriber = self._admit(now, stream, message.dispatcher)
        if subscriber is None:
            return
        position = message.position
        subscriber.last_received_at, subscriber.snapshot = now, None
        subscriber.sent_position = subscriber.in_force = position
        subscriber.needs_snapshot = not self._can_resume(position, message.digest)
        self.counters["subscriptions"] += 1
        fields = {"version": position.version, "snapshot": subscriber.needs_snapshot}
        self._effects.append(Report("dispatcher subscribed", subscriber.name, fields))
        self._wake_at(subscriber, now)

    def _admit(self, now: float, stream: int, name: str) -> Subscriber | None:
        """The subscriber of that name; None if it is refused."""
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
            self._evict_disconnected()
            known = Subscriber(name, TokenBucket(now, self.pace, BURST_BYTES))
            self.subscribers[name] = known
        if current is None:
            known.stream, known.paused, known.last_heartbeat_at = stream, False, -inf
            self.streams[stream] = known
        return known

    def _evict_disconnected(self) -> None:
        """If too many subscribers are remembered, remove the one that has been disconnected longest."""
        if len(self.subscribers) >= 2 * self.max_subscribers:
            disconnected = (each for each in self.subscribers.values() if each.stream is None)
            del self.subscribers[min(disconnected, key=lambda each: each.last_received_at).name]

    def _can_resume(self, position: Position, digest: int) -> bool:
        """Whether the records after that position suffice, without a snapshot."""
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
        subscriber.last_received_at, subscriber.in_force = now, position
        if subscriber.refusal is not None and position >= subscriber.refusal.position:
            subscriber.refusal = None

    def refused(self, now: float, stream: int, message: Refused) -> None:
        subscriber = self.streams.get(stream)
        if subscriber is None:
            return
        reason = message.faults[0].reason if message.faults else ""
        subscriber.last_received_at, subscriber.refusal = now, Refusal(message.position, reason)
        self.counters["changes refused by dispatchers"] += 1
        fields = {"version": message.position.version, "reason": reason, "faults": len(message.faults)}
        self._effects.append(Report("change refused by a dispatcher", subscriber.name, fields, serious=True))

    def heartbeat(self, now: float, stream: int) -> None:
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.last_received_at = now

    def stream_lost(self, stream: int) -> None:
        """The stream was closed by the other side."""
        if (subscriber := self._detach(stream)) is not None:
            self._effects.append(Report("dispatcher lost", subscriber.name))

    def stream_paused(self, stream: int) -> None:
        """The stream's send buffer is full until `stream_resumed` is called."""
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.paused = True
            self.counters["streams paused"] += 1

    def stream_resumed(self, now: float, stream: int) -> None:
        if (subscriber := self.streams.get(stream)) is not None:
            subscriber.paused = False
            self._wake_at(subscriber, now)

    def record_restored(self, version: int, body_bytes: int, at: float) -> None:
        """A record was read at startup; `at` is when it was accepted, on the same clock as `now`."""
        self._note_accepted(version, body_bytes, at)

    def change_accepted(self, now: float, record: StoredRecord) -> None:
        """A change was appended to the history."""
        self.position, self.digest = record.position, record.digest
        self._heartbeat = messages.encode(Heartbeat(self.position))
        self._note_accepted(record.position.version, len(record.body), now)
        if len(record.body) <= MAX_CHANGE_BYTES:
            self._cache_payload(record.position.version, messages.encode(change_message(record)))
        for subscriber in self.streams.values():
            self._wake_at(subscriber, now)

    def compacted(self, now: float) -> None:
        """A newer snapshot exists: subscribers that wait for one continue."""
        self.compaction_wanted = False
        for subscriber in self.streams.values():
            if subscriber.waits_for_compaction:
                self._wake_at(subscriber, now)

    def _note_accepted(self, version: int, body_bytes: int, at: float) -> None:
        self._accept_times.append(at)
        if body_bytes > MAX_CHANGE_BYTES:
            self.newest_large_version = version

    def _detach(self, stream: int) -> Subscriber | None:
        subscriber = self.streams.pop(stream, None)
        if subscriber is not None:
            subscriber.stream = subscriber.snapshot = None
            subscriber.needs_snapshot = subscriber.waits_for_compaction = False
        return subscriber

    def _drop(self, stream: int, reason: str) -> None:
        subscriber = self._detach(stream)
        self.counters["dispatchers' streams closed"] += 1
        name = subscriber.name if subscriber is not None else ""
        self._effects += [Report("dispatcher's stream closed", name, {"reason": reason}), Close(stream)]

    # Sending

    @property
    def due_at(self) -> float:
        """The latest time at which `poll` must be called."""
        return self._wakeups[0][0] if self._wakeups else inf

    def poll(self, now: float) -> list[Effect]:
        """Serve the subscribers that are due, and return all effects since the last call."""
        while self._wakeups and self._wakeups[0][0] <= now:
            due_at, _, subscriber = heappop(self._wakeups)
            if due_at != subscriber.due_at:
                continue  # it has been rescheduled for an earlier time
            subscriber.due_at = inf
            if subscriber.stream is not None:
                self._serve(now, subscriber, subscriber.stream)
        effects, self._effects = self._effects, []
        return effects

    def _wake_at(self, subscriber: Subscriber, at: float) -> None:
        if at < subscriber.due_at:
            self._wakeup_count += 1
            subscriber.due_at = at
            heappush(self._wakeups, (at, self._wakeup_count, subscriber))

    def _serve(self, now: float, subscriber: Subscriber, stream: int) -> None:
        silent_at = subscriber.last_received_at + SILENCE_LIMIT
        if now >= silent_at:
            self._drop(stream, "silent")
            return
        if subscriber.paused:
            self._wake_at(subscriber, silent_at)
            return
        if now >= subscriber.last_heartbeat_at + HEARTBEAT_INTERVAL:
            subscriber.last_heartbeat_at = now
            self._send(now, subscriber, stream, self._heartbeat)
        next_send_at = self._send_pending(now, subscriber, stream)
        if subscriber.stream is not None:
            heartbeat_at = subscriber.last_heartbeat_at + HEARTBEAT_INTERVAL
            self._wake_at(subscriber, min(silent_at, heartbeat_at, next_send_at))

    def _send_pending(self, now: float, subscriber: Subscriber, stream: int) -> float:
        """Send what the token bucket allows; return when more can be sent."""
        while (ready_at := subscriber.bucket.ready_at(now)) <= now:
            try:
                payload = self._next_payload(subscriber)
            except Exception as error:  # any error of the disk ends this stream alone
                self.counters["history unreadable"] += 1
                self._drop(stream, f"history unreadable: {error}")
                return inf
            if payload is None:
                return inf
            self._send(now, subscriber, stream, payload)
        return ready_at

    def _send(self, now: float, subscriber: Subscriber, stream: int, payload: bytes) -> None:
        subscriber.bucket.take(now, len(payload) + 4)  # 4 bytes of length prefix
        self.counters["bytes sent"] += len(payload) + 4
        self._effects.append(Send(stream, payload))

    def _next_payload(self, subscriber: Subscriber) -> bytes | None:
        """The next message; None if the subscriber is up to date, or waits for a snapshot."""
        if subscriber.snapshot is not None:
            if (payload := self._next_part(subscriber, subscriber.snapshot)) is not None:
                return payload
            subscriber.sent_position, subscriber.snapshot = subscriber.snapshot.position, None
        version = subscriber.sent_position.version
        if version < max(self.newest_large_version, self.history.oldest_version):
            subscriber.needs_snapshot = True
        if subscriber.needs_snapshot:
            return self._begin_snapshot(subscriber)
        if version >= self.position.version:
            return None
        payload = self._payload_after(version)
        subscriber.sent_position = Position(self.position.epoch, version + 1)
        self.counters["changes sent"] += 1
        return payload

    def _begin_snapshot(self, subscriber: Subscriber) -> bytes | None:
        snapshot = self.history.snapshot_file()
        wanted = max(self.newest_large_version, self._min_snapshot_version(subscriber))
        if snapshot is None or snapshot.position.version < wanted:
            subscriber.waits_for_compaction = True
            self.compaction_wanted = self.position.version >= wanted
            return None
        subscriber.snapshot = snapshot
        subscriber.needs_snapshot = subscriber.waits_for_compaction = False
        self.counters["snapshots sent"] += 1
        begin = SnapshotBegin(snapshot.position, snapshot.digest, snapshot.entries, snapshot.parts)
        return messages.encode(begin)

    @staticmethod
    def _min_snapshot_version(subscriber: Subscriber) -> int:
        """The version a snapshot must have.

        A controller that started with an empty folder must not remove a dispatcher's entries before it has
        accepted its first change.
        """
        return 0 if subscriber.sent_position.epoch == 0 else 1

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
        self._cache_payload(version + 1, payload)
        return payload

    def _cache_payload(self, version: int, payload: bytes) -> None:
        self._payloads[version] = payload
        self._payload_bytes += len(payload)
        while len(self._payloads) > CACHED_PAYLOADS or self._payload_bytes > CACHED_BYTES:
            self._payload_bytes -= len(self._payloads.popitem(last=False)[1])

    # Status for operators

    def status(self, now: float, entries: int, accepted_seconds_ago: float) -> Status:
        """The versions in force at the subscribers, and the slowest of these."""
        statuses = [self._status_of(now, each) for each in self.subscribers.values()]
        statuses.sort(key=lambda each: (-each.behind_seconds, each.position, each.dispatcher))
        counts = Counter(self._version_of(each) for each in statuses)
        versions = tuple(VersionCount(*each) for each in sorted(counts.items(), reverse=True))
        slowest = [each for each in statuses if self._is_behind(each)]
        return Status(
            self.position, self.digest, entries, accepted_seconds_ago, versions[:MAX_VERSIONS_REPORTED],
            tuple(slowest[:MAX_SLOWEST_REPORTED]),
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
            silent_seconds=max(0.0, now - subscriber.last_received_at),
            behind_seconds=self._seconds_behind(now, subscriber.in_force),
            refused_version=refusal.position.version if refusal else 0,
            refused_reason=refusal.reason if refusal else "",
        )

    def _seconds_behind(self, now: float, position: Position) -> float:
        """Seconds since the oldest change that is not in force there was accepted.

        Too small where that change is older than the recorded times.
        """
        if position == self.position:
            return 0.0
        version = position.version if position.epoch == self.position.epoch else -1
        first = self.position.version - len(self._accept_times) + 1
        index = max(0, version + 1 - first)
        at = self._accept_times[index] if index < len(self._accept_times) else self.started_at
        return max(0.0, now - at)
