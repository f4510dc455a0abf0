"""The publisher on a manual clock: what is sent to whom and when, within the pace; and the token bucket."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laureldock.replication import messages
from laureldock.replication.change_log import Record
from laureldock.replication.messages import (
    HEARTBEAT_INTERVAL,
    NO_POSITION,
    SILENCE_LIMIT,
    ChangeMessage,
    FaultReport,
    Heartbeat,
    InForce,
    Message,
    Position,
    Refused,
    SnapshotBegin,
    SnapshotPart,
    StatusRequest,
    Subscribe,
)
from laureldock.replication.pacing import TokenBucket
from laureldock.replication.publisher import (
    BURST_BYTES,
    MAX_CHANGE_BYTES,
    Close,
    Publisher,
    Report,
    Send,
)

EPOCH, PACE = 5, 4000.0


@dataclass
class Snapshot:
    position: Position
    digest: int
    bodies: list[bytes]
    entries: int = 7
    parts_read: int = 0

    @property
    def parts(self) -> int:
        return len(self.bodies)

    def next_part(self) -> bytes | None:
        if self.parts_read == self.parts:
            return None
        self.parts_read += 1
        return self.bodies[self.parts_read - 1]


@dataclass
class History:
    """A stub of the change log; the digest at a version is the version times a hundred."""

    records: list[Record] = field(default_factory=list)
    oldest_version: int = 0
    snapshot_version: int = 0
    parts: list[bytes] = field(default_factory=list)
    unreadable: bool = False

    def digest_at(self, version: int) -> int | None:
        return version * 100 if self.oldest_version <= version <= len(self.records) else None

    def records_after(self, version: int, max_records: int) -> list[Record] | None:
        if self.unreadable:
            raise OSError("gone")
        return self.records[version : version + max_records] if version >= self.oldest_version else None

    def snapshot_file(self) -> Snapshot | None:
        version = self.snapshot_version
        return Snapshot(Position(EPOCH, version), version * 100, self.parts)

    def add(self, size: int = 50) -> Record:
        version = len(self.records) + 1
        record = Record(Position(EPOCH, version), version * 100, 1.0, bytes([version % 256]) * size)
        self.records.append(record)
        return record

    def compact(self, parts: list[bytes]) -> None:
        self.snapshot_version = self.oldest_version = len(self.records)
        self.parts = parts


class World:
    """A publisher, its clock, and what was sent to each stream."""

    def __init__(self, records: int = 0, max_subscribers: int = 100) -> None:
        self.now, self.history = 1000.0, History()
        for _ in range(records):
            self.history.add()
        position = Position(EPOCH, records)
        self.publisher = Publisher(self.now, self.history, position, records * 100, PACE, max_subscribers)
        self.sent: dict[int, list[tuple[float, Message]]] = {}
        self.bytes: dict[int, list[tuple[float, int]]] = {}
        self.closed: list[int] = []
        self.reports: list[Report] = []

    def poll(self) -> None:
        for effect in self.publisher.poll(self.now):
            match effect:
                case Send(stream, payload):
                    assert stream not in self.closed
                    self.sent.setdefault(stream, []).append((self.now, messages.decode(payload)))
                    self.bytes.setdefault(stream, []).append((self.now, len(payload) + 4))
                case Close(stream):
                    self.closed.append(stream)
                case Report():
                    self.reports.append(effect)

    def run(self, seconds: float, heartbeating: tuple[int, ...] = ()) -> None:
        """Advance the clock, polling when the publisher is due; `heartbeating` streams send heartbeats."""
        end, heartbeat_at = self.now + seconds, self.now
        self.poll()
        while (at := min(self.publisher.due_at, heartbeat_at)) <= end:
            self.now = max(self.now, at)
            if heartbeat_at <= self.now:
                heartbeat_at = self.now + HEARTBEAT_INTERVAL
                for stream in heartbeating:
                    self.publisher.heartbeat(self.now, stream)
            self.poll()
        self.now = end

    def subscribe(
        self, stream: int, version: int = -1, digest: int = -1, name: str = "", epoch: int = EPOCH
    ) -> None:
        position = Position(epoch, version) if version >= 0 else NO_POSITION
        digest = digest if digest >= 0 else max(0, version * 100)
        name = name or f"d{stream}"
        self.publisher.message_received(self.now, stream, Subscribe(name, position, digest))
        self.poll()

    def accept(self, size: int = 50) -> None:
        self.publisher.change_accepted(self.now, self.history.add(size))
        self.poll()

    def received(self, stream: int) -> list[Message]:
        """All but heartbeats."""
        return [each for _, each in self.sent.get(stream, []) if not isinstance(each, Heartbeat)]

    def versions(self, stream: int) -> list[int]:
        return [each.position.version for each in self.received(stream) if isinstance(each, ChangeMessage)]


def test_a_change_is_sent_at_once_to_all_subscribers() -> None:
    world = World(3)
    for stream in range(50):
        world.subscribe(stream, 3)
    world.now += 0.5
    world.accept()
    for stream in range(50):
        at, message = world.sent[stream][-1]
        assert at == world.now and isinstance(message, ChangeMessage)
        assert message.position == Position(EPOCH, 4) and message.digest == 400
        assert message.checksum == messages.checksum(message.body)
    assert not world.closed


def test_a_subscriber_that_is_behind_gets_each_record_once_in_order() -> None:
    world = World(20)
    world.subscribe(1, 4)
    world.accept()
    world.run(5.0, (1,))
    assert world.versions(1) == list(range(5, 22)) and len(world.received(1)) == 17


@pytest.mark.parametrize(
    ("version", "epoch", "digest"),
    [
        (-1, EPOCH, -1),  # a dispatcher with an empty folder
        (4, EPOCH + 1, -1),  # another epoch of the controller
        (4, EPOCH, 3),  # another digest at the same version
        (11, EPOCH, -1),  # newer than the controller, which has lost its newest changes
        (1, EPOCH, -1),  # older than the log
    ],
)
def test_a_subscriber_that_cannot_continue_from_records_gets_the_snapshot_and_later_changes(
    version: int, epoch: int, digest: int
) -> None:
    world = World(10)
    world.history.snapshot_version, world.history.oldest_version = 8, 2
    world.history.parts = [b"a" * 100, b"b" * 100]
    world.subscribe(1, version, digest, epoch=epoch)
    world.run(1.0)
    begin, first, second, *rest = world.received(1)
    assert begin == SnapshotBegin(Position(EPOCH, 8), 800, 7, 2)
    assert [first, second] == [
        SnapshotPart(0, messages.checksum(b"a" * 100), b"a" * 100),
        SnapshotPart(1, messages.checksum(b"b" * 100), b"b" * 100),
    ]
    assert world.versions(1) == [9, 10] and len(rest) == 2


def test_an_empty_state_is_a_snapshot_without_parts() -> None:
    world = World()
    world.subscribe(1)
    assert world.received(1) == [SnapshotBegin(Position(EPOCH, 0), 0, 7, 0)]
    world.accept()
    assert world.versions(1) == [1]


def test_an_empty_controller_removes_no_entries_before_its_first_change() -> None:
    world = World()
    world.subscribe(1, 40, epoch=EPOCH + 1)
    world.run(3.0, (1,))
    assert world.received(1) == [] and not world.publisher.compaction_wanted
    world.accept()
    world.run(3.0, (1,))
    assert world.received(1) == [] and world.publisher.compaction_wanted
    world.history.compact([b"filled"])
    world.publisher.compacted(world.now)
    world.accept()
    assert [type(each) for each in world.received(1)] == [SnapshotBegin, SnapshotPart, ChangeMessage]
    assert not world.publisher.compaction_wanted


def test_a_second_subscription_on_a_stream_restarts_from_its_position() -> None:
    world = World(6)
    world.subscribe(1, 6)
    world.subscribe(1, 4)
    assert world.versions(1) == [5, 6]
    world.history.parts = [b"x" * 30000] * 5
    world.subscribe(1)
    world.run(1.0)
    world.subscribe(1, 6)  # while a snapshot is being sent
    world.run(30.0, (1,))
    parts = [each for each in world.received(1) if isinstance(each, SnapshotPart)]
    assert 0 < len(parts) < 5
    world.accept()
    assert world.versions(1) == [5, 6, 7]


def test_a_snapshot_keeps_to_the_pace_and_heartbeats_continue() -> None:
    world = World(1)
    world.history.compact([b"x" * 16000] * 40)
    world.subscribe(1)
    started_at = world.now
    while len(world.received(1)) < 41:
        world.run(1.0, (1,))
    elapsed = world.now - started_at
    total = sum(size for _, size in world.bytes[1])
    assert total > 40 * 16000
    assert (total - BURST_BYTES) / PACE - 10 <= elapsed <= (total - BURST_BYTES) / PACE + 10
    heartbeats = [at for at, each in world.sent[1] if isinstance(each, Heartbeat)]
    assert max(b - a for a, b in pairwise(heartbeats)) <= HEARTBEAT_INTERVAL + 1e-6
    assert not world.closed


def test_many_changes_keep_to_the_pace_and_all_arrive() -> None:
    world = World()
    world.subscribe(1, 0)
    for _ in range(300):
        world.accept(1000)
        world.run(0.1, (1,))
    world.run(120.0, (1,))
    assert world.versions(1) == list(range(1, 301))
    sent = world.bytes[1]
    for start in range(0, len(sent), 7):
        for end in range(start, len(sent), 11):
            amount = sum(size for _, size in sent[start : end + 1])
            allowed = BURST_BYTES + PACE * (sent[end][0] - sent[start][0]) + 1200
            assert amount <= allowed + 1200


def test_a_new_stream_of_the_same_name_gets_no_new_burst() -> None:
    world = World(1)
    world.history.compact([b"x" * 16000] * 100)
    for stream in range(10):
        world.subscribe(stream, name="again")
        world.run(0.5, (stream,))
        world.publisher.stream_lost(stream)
    total = sum(size for each in world.bytes.values() for _, size in each)
    assert total <= BURST_BYTES + PACE * 5 + 17000


def test_a_change_too_large_for_one_message_waits_for_a_snapshot() -> None:
    world = World(2)
    world.subscribe(1, 2)
    world.subscribe(2, 1)
    world.accept(MAX_CHANGE_BYTES + 1)
    world.accept()
    world.run(3.0, (1, 2))
    assert world.versions(1) == [] and world.versions(2) == [2]
    world.history.snapshot_version, world.history.parts = 3, [b"all"]
    world.publisher.compacted(world.now)
    world.run(3.0, (1, 2))
    for stream in (1, 2):
        message_types = [type(each) for each in world.received(stream)][-3:]
        assert message_types == [SnapshotBegin, SnapshotPart, ChangeMessage]
        assert world.versions(stream)[-1] == 4


def test_a_silent_stream_is_closed_and_its_dispatcher_stays_in_the_status() -> None:
    world = World(1)
    world.subscribe(1, 1)
    world.subscribe(2, 1)
    world.run(SILENCE_LIMIT + 1, (2,))
    assert world.closed == [1]
    status = world.publisher.status(world.now, 3, 9.0)
    assert [(each.dispatcher, each.connected) for each in status.slowest] == [("d1", False)]
    assert [(each.version, each.dispatchers) for each in status.versions] == [(1, 2)]


def test_a_paused_stream_gets_missed_changes_once_resumed() -> None:
    world = World(1)
    world.subscribe(1, 1)
    world.publisher.stream_paused(1)
    world.accept()
    world.run(3.0, (1,))
    assert world.versions(1) == []
    world.publisher.stream_resumed(world.now, 1)
    world.poll()
    assert world.versions(1) == [2]
    world.publisher.stream_paused(1)
    world.run(SILENCE_LIMIT + 1)
    assert world.closed == [1]


@pytest.mark.parametrize("seconds_away", [0.5, 2.5, 10.0, 1000.0])
def test_a_dispatcher_disconnected_for_any_time_is_served_again(seconds_away: float) -> None:
    world = World(1)
    world.subscribe(1, 1, name="one")
    world.subscribe(2, 1)
    world.run(0.5, (1, 2))
    world.publisher.stream_lost(1)
    world.accept()
    world.run(seconds_away, (2,))
    world.subscribe(3, 1, name="one")
    assert world.versions(3) == [2]
    world.accept()
    assert world.versions(3) == [2, 3]
    world.run(20.0, (2, 3))
    assert world.closed == [] and len(world.sent[3]) > 10  # heartbeats


def test_the_later_stream_of_a_name_replaces_the_earlier() -> None:
    world = World(1)
    world.subscribe(1, 1, name="one")
    world.subscribe(2, 1, name="one")
    world.subscribe(2, 1, name="another")
    assert world.closed == [1, 2]
    assert [each.fields["reason"] for each in world.reports if "closed" in each.event] == [
        "name taken by a later stream", "another name on one stream",
    ]  # fmt: skip


def test_subscribers_and_remembered_names_are_bounded() -> None:
    world = World(max_subscribers=3)
    for stream in range(5):
        world.subscribe(stream, 0)
    assert world.closed == [3, 4]
    for stream in range(10, 100):
        world.publisher.stream_lost(2)
        world.publisher.stream_lost(stream - 1)
        world.run(1.0, (0, 1))
        world.subscribe(stream, 0)
    assert len(world.publisher.subscribers) <= 6 and "d0" in world.publisher.subscribers


def test_an_invalid_message_closes_only_its_stream() -> None:
    world = World(2)
    for stream in (1, 2, 3):
        world.subscribe(stream, 2)
    world.publisher.message_received(world.now, 1, InForce(Position(EPOCH, 3), 0))
    world.publisher.message_received(world.now, 2, StatusRequest())
    world.accept()
    assert sorted(world.closed) == [1, 2] and world.versions(3) == [3]


def test_an_unreadable_history_closes_only_the_stream_that_needs_it() -> None:
    world = World(5)
    world.history.unreadable = True
    world.subscribe(1, 5)
    world.subscribe(2, 3)
    assert world.closed == [2]
    world.accept()
    assert world.versions(1) == [6]


def test_status_lists_the_slowest_first_with_refusals() -> None:
    world = World()
    for stream in (1, 2, 3, 4):
        world.subscribe(stream, 0)
    for _ in range(3):
        world.now += 1.0
        world.accept()
        for stream in (1, 2, 3):
            world.publisher.heartbeat(world.now, stream)
    world.publisher.message_received(world.now, 1, InForce(Position(EPOCH, 3), 300))
    world.publisher.message_received(world.now, 2, InForce(Position(EPOCH, 2), 200))
    fault = FaultReport(("endpoint", "a"), "no such class")
    world.publisher.message_received(world.now, 2, Refused(Position(EPOCH, 3), (fault,)))
    status = world.publisher.status(world.now, 9, 0.5)
    assert [(each.version, each.dispatchers) for each in status.versions] == [(3, 1), (2, 1), (0, 2)]
    assert [(each.dispatcher, each.behind_seconds) for each in status.slowest] == [
        ("d3", 2.0), ("d4", 2.0), ("d2", 0.0),
    ]  # fmt: skip
    assert (status.slowest[2].refused_version, status.slowest[2].refused_reason) == (3, "no such class")
    world.publisher.message_received(world.now, 2, InForce(Position(EPOCH, 3), 300))
    assert not world.publisher.subscribers["d2"].refusal


@given(st.integers(0, 1 << 30))
@settings(max_examples=60, deadline=None)
def test_random_events_leave_every_subscriber_with_all_changes_in_order(seed: int) -> None:
    rng = random.Random(seed)
    world = World(rng.randrange(4))
    followers: dict[int, Follower] = {}  # by stream
    streams: dict[str, int] = {}
    for number in range(60):
        world.now += rng.choice((0.0, 0.01, 0.5, 1.5, 4.0))
        match rng.randrange(7):
            case 0 | 1:
                world.accept(rng.choice((10, 3000, MAX_CHANGE_BYTES + 5)))
            case 2:
                name = f"n{rng.randrange(3)}"
                known = followers.get(streams.get(name, -1))
                follower = Follower(known.version if known and rng.random() < 0.7 else -1)
                streams[name], followers[number] = number, follower
                world.subscribe(number, follower.version, name=name)
            case 3:
                world.history.compact([b"p" * 2000] * rng.randrange(4))
                world.publisher.compacted(world.now)
            case 4 if streams:
                world.publisher.stream_paused(rng.choice(list(streams.values())))
            case 5 if streams:
                world.publisher.stream_lost(rng.choice(list(streams.values())))
            case _:
                for stream in streams.values():
                    world.publisher.stream_resumed(world.now, stream)
        for stream in streams.values():
            world.publisher.heartbeat(world.now, stream)
        world.poll()
        for stream, follower in followers.items():
            follower.process(world.sent.pop(stream, []))
    world.history.compact([b"p"])
    world.publisher.compacted(world.now)
    for index, name in enumerate(streams):  # all subscribe again, whether disconnected or not
        follower = Follower(followers[streams[name]].version)
        streams[name], followers[100 + index] = 100 + index, follower
        world.subscribe(100 + index, follower.version, name=name)
    world.run(100.0, tuple(streams.values()))
    for stream in streams.values():
        followers[stream].process(world.sent.pop(stream, []))
        assert followers[stream].version == len(world.history.records)


class Follower:
    """The version of a dispatcher from the messages sent to it; each change must follow on the last."""

    def __init__(self, version: int) -> None:
        self.version, self.base, self.parts = version, 0, 0

    def process(self, sent: list[tuple[float, Message]]) -> None:
        for _, message in sent:
            match message:
                case SnapshotBegin():
                    self.parts, self.base = message.parts, message.position.version
                    self.version = self.version if self.parts else self.base
                case SnapshotPart():
                    assert self.parts
                    self.parts -= 1
                    self.version = self.version if self.parts else self.base
                case ChangeMessage():
                    assert not self.parts and message.position.version == self.version + 1
                    self.version += 1


def test_the_bucket_enforces_its_rate_and_burst() -> None:
    bucket, now = TokenBucket(0.0, 100.0, 500.0), 0.0
    assert bucket.level(now) == 500.0
    bucket.take(now, 700)
    assert bucket.level(now) == -200.0 and bucket.ready_at(now) == pytest.approx(2.01)
    assert bucket.level(2.01) > 0 and bucket.ready_at(2.01) == 2.01
    assert bucket.level(1000.0) == 500.0
    assert bucket.level(900.0) == 500.0  # a clock that steps back adds nothing
