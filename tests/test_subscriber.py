"""The dispatcher's side of the change stream, on a manual clock."""

from __future__ import annotations

import functools
import operator
import random
from collections.abc import Iterable
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs
from replication_rig import MemoryController, Rig, customer, put, remove

from laureldock.replication import subscriber as module
from laureldock.replication.messages import (
    NO_POSITION,
    ChangeMessage,
    Heartbeat,
    InForce,
    Message,
    Position,
    SnapshotBegin,
    SnapshotPart,
    Subscribe,
    checksum,
)
from laureldock.replication.pending import MAX_PENDING_CHANGES
from laureldock.replication.subscriber import Connect, Disconnect
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    UnreadableChangeError,
    decode_change,
    encode_change,
    encode_entries,
    entry_digest,
)


def digest_of(entries: Iterable[CatalogEntry]) -> int:
    return functools.reduce(operator.xor, map(entry_digest, entries), 0)


def synchronized_rig(changes: int = 3) -> Rig:
    """A subscriber that has all changes of its controller."""
    rig = Rig()
    for number in range(changes):
        rig.controller.accept(put(customer(f"c{number}", number + 1.0)))
    rig.start()
    rig.advance(2.5)  # a heartbeat has confirmed that this is the newest position
    assert rig.in_sync and rig.acknowledged_versions() == [changes]
    return rig


def dropping(kind: type[Message], count: int = 1) -> tuple[list[Message], object]:
    """The lost messages, and a wire that loses the next `count` messages of one type."""
    lost: list[Message] = []

    def wire(message: Message) -> Iterable[Message]:
        if isinstance(message, kind) and len(lost) < count:
            lost.append(message)
            return []
        return [message]

    return lost, wire


# Connecting


def test_reconnects_with_jittered_backoff_round_robin_over_the_controllers() -> None:
    rig = Rig(controllers=("a:1", "b:1", "c:1"))
    rig.reachable = False
    rig.start()
    calls: list[tuple[float, str]] = []
    while len(calls) < 12:
        before = len(rig.effects)
        rig.advance(0.1)
        for effect in rig.effects[before:]:
            if isinstance(effect, Connect):
                calls.append((rig.now, effect.address))
                rig.subscriber.connection_lost(rig.now, "refused")
    assert [address for _, address in calls] == ["a:1", "b:1", "c:1"] * 4
    waits = [later - earlier for (earlier, _), (later, _) in pairwise(calls)]
    assert waits[0] <= 0.4 and all(1.9 <= wait <= 4.2 for wait in waits[5:])
    assert len({round(wait, 2) for wait in waits[5:]}) > 2  # jitter


def test_dispatchers_with_the_same_seed_do_not_connect_at_the_same_time() -> None:
    due = set()
    for name in ("d1", "d2", "d3", "d4"):
        one = module.Subscriber(name, ("a:1",), 1, lambda key: False)
        one.start(0.0)
        due.add(one.due_at)
    assert len(due) == 4 and max(due) <= 0.25


def test_a_connection_attempt_times_out() -> None:
    rig = Rig()
    rig.reachable = False
    rig.start()
    rig.advance(0.3)
    assert rig.effects == [Connect("c:1")]
    rig.advance(3.1)
    assert Disconnect() in rig.effects
    rig.reachable = True
    rig.advance(1.0)
    assert rig.in_sync


def test_a_controller_silent_for_six_seconds_is_disconnected_and_reconnected() -> None:
    rig = synchronized_rig()
    rig.reachable = False
    rig.advance(5.0)
    assert rig.subscriber.connected
    rig.advance(1.2)
    assert not rig.subscriber.connected and rig.events == ["controller lost"]
    rig.controller.accept(put(customer("late", 9.0)))
    rig.reachable = True
    rig.advance(6.5)
    assert rig.in_sync and rig.subscriptions()[-1].position.version == 3


def test_heartbeats_are_sent_every_two_seconds_when_idle() -> None:
    rig = synchronized_rig()
    rig.advance(10.0)
    assert rig.count(Heartbeat) in (4, 5)
    assert rig.sent[-1] == Heartbeat(rig.controller.position)


def test_the_age_counts_from_when_the_controller_last_had_nothing_newer() -> None:
    rig = Rig()
    assert rig.subscriber.age(rig.now) is None
    rig = synchronized_rig()
    rig.advance(4.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and age <= 2.1
    rig.reachable = False
    rig.advance(60.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and 59 < age < 63
    assert rig.in_sync  # the configuration stays in force


def test_the_age_is_known_once_the_announced_position_is_in_force() -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    held_messages: list[Message] = []
    rig.wire = lambda message: held_messages.append(message) or ()  # type: ignore[func-returns-value]
    rig.start()
    rig.advance(0.5)
    rig.subscriber.message_received(rig.now, rig.controller.heartbeat())
    rig.now += 3.0
    assert rig.subscriber.age(rig.now) is None
    rig.wire = lambda message: [message]
    rig.deliver(*held_messages)
    age = rig.subscriber.age(rig.now)
    assert rig.in_sync and age is not None and 2.9 < age < 3.1


def test_after_a_restart_only_changes_after_the_stored_position_are_requested() -> None:
    old = synchronized_rig()
    old.controller.accept(put(customer("missed", 1.0)))
    rig = Rig(old.controller)
    rig.sink.by_key = dict(old.sink.by_key)
    rig.reachable = False
    rig.start(old.subscriber.position, age=30.0)
    assert rig.subscriber.has_configuration
    age = rig.subscriber.age(rig.now + 5)
    assert age == 35.0
    rig.reachable = True
    rig.advance(5.0)
    assert rig.in_sync and rig.subscriptions()[-1].position.version == 3
    assert rig.acknowledged_versions() == [4]  # from the change alone, without a snapshot


def test_without_a_stored_configuration_there_is_none_until_the_first_snapshot() -> None:
    rig = Rig()
    rig.reachable = False
    rig.start()
    rig.advance(5.0)
    assert not rig.subscriber.has_configuration
    rig.reachable = True
    rig.advance(5.0)
    assert rig.subscriber.has_configuration and rig.in_sync  # the snapshot of a controller without entries


# Changes


def test_each_change_is_applied_stored_and_then_acknowledged() -> None:
    rig = synchronized_rig()
    rig.accept(put(customer("c1", 20.0), customer("c9", 1.0)))
    rig.accept(remove("c0"))
    assert rig.in_sync and rig.acknowledged_versions() == [3, 4, 5]
    assert [each.position.version for each in rig.disk] == [3, 4, 5]


def test_a_duplicate_change_is_ignored() -> None:
    rig = synchronized_rig()
    rig.wire = lambda message: [message, message]
    rig.accept(put(customer("c9", 1.0)))
    rig.accept(remove("c9"))
    assert rig.in_sync and rig.acknowledged_versions() == [3, 4, 5] and rig.events == ["change repeated"] * 2


def test_a_gap_triggers_a_subscription_from_the_own_position_at_once() -> None:
    rig = synchronized_rig()
    _, rig.wire = dropping(ChangeMessage)  # type: ignore[assignment]
    rig.accept(put(customer("lost", 1.0)))
    assert not rig.in_sync
    rig.accept(put(customer("seen", 1.0)))
    assert (
        rig.in_sync
        and rig.acknowledged_versions() == [3, 4, 5]
        and rig.subscriptions()[-1].position.version == 3
    )
    assert len(rig.subscriptions()) == 2


def test_a_lost_last_change_is_requested_when_heartbeats_keep_announcing_it() -> None:
    rig = synchronized_rig()
    rig.advance(10.0)
    _, rig.wire = dropping(ChangeMessage)  # type: ignore[assignment]
    rig.accept(put(customer("lost", 1.0)))
    rig.advance(3.0)
    assert not rig.in_sync and len(rig.subscriptions()) == 1
    rig.advance(3.5)
    assert rig.in_sync and len(rig.subscriptions()) == 2


def test_a_heartbeat_that_overtakes_its_change_triggers_no_subscription() -> None:
    rig = synchronized_rig()
    rig.advance(60.0)
    message = rig.controller.accept(put(customer("c9", 1.0)))
    rig.deliver(rig.controller.heartbeat(), message)
    rig.advance(60.0)
    assert rig.in_sync and len(rig.subscriptions()) == 1


def test_repeated_subscriptions_for_one_gap_back_off() -> None:
    rig = synchronized_rig()
    rig.wire = lambda message: [] if isinstance(message, ChangeMessage) else [message]
    for number in range(300):
        rig.accept(put(customer(f"x{number}", 1.0)))
        rig.advance(0.2)
    assert not rig.in_sync and len(rig.subscriptions()) <= 7
    rig.wire = lambda message: [message]
    rig.advance(70.0)
    assert rig.in_sync


def test_a_change_with_a_wrong_checksum_is_not_applied_and_requested_again() -> None:
    rig = synchronized_rig()
    corrupted_count = 0

    def truncate(message: Message) -> Iterable[Message]:
        nonlocal corrupted_count
        if isinstance(message, ChangeMessage) and not corrupted_count:
            corrupted_count += 1
            message = ChangeMessage(
                message.position,
                message.digest,
                0.0,
                message.checksum,
                message.body[: len(message.body) // 2],
            )
        return [message]

    rig.wire = truncate
    rig.accept(put(customer("c9", 1.0), customer("c8", 1.0)))
    assert rig.in_sync and rig.events == ["change spoilt", "asked again"]
    assert len(rig.sink.history) == 3  # empty, the snapshot, the change: no intermediate state


def test_a_controller_with_a_new_epoch_is_followed_from_its_snapshot() -> None:
    rig = synchronized_rig()
    rig.controller = MemoryController(epoch=8)
    rig.controller.accept(put(customer("other", 1.0)))
    rig.subscriber.connection_lost(rig.now, "closed")
    rig.advance(5.0)
    assert rig.in_sync and set(rig.sink.by_key) == set(rig.controller.state.by_key)


def test_a_digest_mismatch_triggers_a_snapshot() -> None:
    rig = synchronized_rig()
    key, entry = next(iter(rig.sink.by_key.items()))
    rig.sink.by_key[key] = customer(entry.name, 999.0)  # simulates a memory or software error
    rig.accept(put(customer("c9", 1.0)))
    assert rig.in_sync and rig.acknowledged_versions() == [3, 4] and "digest differs" in rig.events
    assert rig.subscriptions()[-1] == Subscribe("d1", NO_POSITION, 0)


# Refused changes


def test_a_refused_change_is_reported_and_applied_with_the_one_that_corrects_it() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad" and getattr(entry.value, "quota", 0) > 5
    rig.accept(put(customer("bad", 6.0), customer("good", 1.0)))
    assert rig.refused_versions() == [4] and rig.subscriber.position.version == 3
    assert len(rig.sink.history) == 2  # not partially applied
    refusal = rig.subscriber.refusal
    assert refusal and refusal.position.version == 4 and "denied" in refusal.reason
    rig.accept(put(customer("c1", 7.0)))
    assert rig.refused_versions() == [4, 5] and rig.subscriber.pending.count == 2
    rig.advance(10.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and age > 8  # it is known to be outdated
    assert len(rig.subscriptions()) == 1  # nothing is missing
    rig.accept(put(customer("bad", 5.0)))
    assert rig.in_sync and rig.acknowledged_versions() == [3, 6] and rig.subscriber.refusal is None


def test_an_entry_added_and_removed_while_pending_is_not_removed() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0), customer("c1", 50.0)))
    rig.accept(remove("bad", "c0"))
    assert rig.in_sync and rig.acknowledged_versions() == [3, 5]


def test_a_change_of_a_later_format_is_refused_and_a_later_change_triggers_a_snapshot() -> None:
    rig = synchronized_rig()
    rig.accept(put(customer("c9", 1.0)), body=b"\x93\x01\x02\x03")
    assert rig.refused_versions() == [4] and rig.subscriber.position.version == 3 and rig.subscriber.connected
    refusal = rig.subscriber.refusal
    assert refusal and "cannot be read" in refusal.reason
    assert rig.in_sync is False
    rig.advance(61.0)
    rig.accept(put(customer("c8", 1.0)))
    assert rig.in_sync  # from a snapshot that can be decoded


def test_a_refused_snapshot_changes_nothing_and_is_rarely_requested_again() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.controller.kept_changes = 0
    rig.controller.accept(put(customer("bad", 1.0)))
    rig.subscriber.connection_lost(rig.now, "closed")
    rig.advance(5.0)
    assert rig.refused_versions() == [4] and rig.subscriber.position.version == 3
    assert len(rig.sink.history) == 2
    before = len(rig.subscriptions())
    for number in range(30):
        rig.accept(put(customer(f"x{number}", 1.0)))
        rig.advance(1.0)
    assert len(rig.subscriptions()) == before
    rig.accept(remove("bad"))
    rig.advance(31.0)
    rig.accept(put(customer("c8", 1.0)))
    assert rig.in_sync and rig.subscriber.refusal is None


def test_a_refused_change_is_retried_when_the_rules_change() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0)))
    rig.sink.refuses = lambda entry: False
    rig.subscriber.retry_refused(rig.now)
    rig.poll()
    assert rig.in_sync


def test_pending_changes_are_bounded() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0)))
    for number in range(MAX_PENDING_CHANGES + 50):
        rig.accept(put(customer(f"x{number % 7}", number + 1.0)))
    assert rig.subscriber.pending.count <= MAX_PENDING_CHANGES + 1
    assert rig.subscriber.pending.unreadable  # the snapshot was refused too, so later changes are not kept
    assert rig.subscriber.pending.bytes == 0
    assert [each.position for each in rig.subscriptions()] == [NO_POSITION, NO_POSITION]
    rig.accept(remove("bad"))
    rig.advance(121.0)
    rig.accept(put(customer("c1", 3.0)))
    assert rig.in_sync


def test_a_snapshot_older_than_the_position_in_force_is_not_applied() -> None:
    rig = synchronized_rig()
    rig.controller.kept_changes = 10 * MAX_PENDING_CHANGES
    old = rig.controller.snapshot()
    rig.accept(put(customer("c0", 50.0)))
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.controller.snapshot = lambda: [*old, *rig.controller.log[3:]]  # type: ignore[method-assign]
    rig.accept(put(customer("bad", 1.0)))
    for number in range(2 * MAX_PENDING_CHANGES + 100):
        rig.accept(put(customer("c1", number + 1.0)))
    assert rig.subscriber.position.version == 4
    assert len(rig.sink.history) == 3 and len(rig.subscriptions()) == 2
    rig.accept(remove("bad"))
    del rig.controller.snapshot  # the controller has compacted its log since
    rig.advance(121.0)
    rig.accept(put(customer("c1", 3.0)))
    assert rig.in_sync


# Snapshots


@pytest.mark.parametrize("lost", [SnapshotBegin, SnapshotPart])
def test_a_snapshot_with_a_lost_message_is_requested_again_and_not_partially_applied(
    lost: type[Message],
) -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    _, rig.wire = dropping(lost)  # type: ignore[assignment]
    rig.start()
    rig.advance(10.0)
    assert rig.in_sync and len(rig.sink.history) == 2 and rig.acknowledged_versions() == [9]


def test_a_connection_lost_during_a_snapshot_restarts_the_snapshot() -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    rig.wire = lambda message: (
        [message] if not isinstance(message, SnapshotPart) or message.number < 3 else []
    )
    rig.start()
    rig.advance(1.0)
    rig.subscriber.connection_lost(rig.now, "closed")
    assert not rig.subscriber.has_configuration
    rig.wire = lambda message: [message]
    rig.advance(5.0)
    assert rig.in_sync and len(rig.sink.history) == 2


def test_changes_sent_after_a_snapshot_are_applied_after_it() -> None:
    rig = Rig()
    for number in range(5):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    held_messages: list[Message] = []
    rig.wire = lambda message: held_messages.append(message) or ()  # type: ignore[func-returns-value]
    rig.start()
    rig.advance(1.0)
    rig.accept(remove("c1"))
    rig.wire = lambda message: [message]
    rig.deliver(*held_messages)
    assert rig.in_sync and rig.acknowledged_versions() == [5, 6]


def test_a_snapshot_with_a_corrupted_part_or_a_wrong_digest_is_not_applied() -> None:
    rig = synchronized_rig()
    rig.controller.kept_changes = 0
    rig.controller.accept(put(customer("c9", 1.0)))
    begin, *parts = rig.controller.snapshot()
    assert isinstance(begin, SnapshotBegin) and isinstance(parts[0], SnapshotPart)
    rig.wire = lambda message: [] if isinstance(message, SnapshotBegin | SnapshotPart) else [message]
    rig.subscriber.message_received(rig.now, begin)
    rig.subscriber.message_received(rig.now, SnapshotPart(0, parts[0].checksum ^ 1, parts[0].body))
    rig.poll()
    assert "snapshot spoilt" in rig.events and rig.subscriber.position.version == 3
    mismatch = SnapshotBegin(begin.position, begin.digest ^ 1, begin.entries, begin.parts)
    for message in (mismatch, *parts):
        rig.subscriber.message_received(rig.now, message)
        rig.poll()
    assert rig.events.count("snapshot spoilt") == 2 and rig.subscriber.position.version == 3
    rig.wire = lambda message: [message]
    rig.advance(10.0)
    assert rig.in_sync


def test_a_repeated_old_snapshot_is_not_applied() -> None:
    rig = synchronized_rig()
    rig.controller.kept_changes = 10 * MAX_PENDING_CHANGES
    old = rig.controller.snapshot()
    rig.accept(put(customer("c9", 1.0)))
    rig.advance(3.0)
    rig.deliver(*old)
    assert rig.in_sync and rig.acknowledged_versions() == [3, 4]


# The disk


def test_a_change_that_could_not_be_stored_is_not_acknowledged_until_it_is() -> None:
    rig = synchronized_rig()
    rig.disk_full = True
    rig.accept(put(customer("c9", 1.0)))
    assert rig.sink.by_key == rig.controller.state.by_key and rig.acknowledged_versions() == [3]
    rig.subscriber.persisted(rig.now)
    rig.subscriber.persisted(rig.now)
    rig.poll()
    assert rig.acknowledged_versions() == [3, 4]


def test_an_unexpected_message_closes_the_connection() -> None:
    rig = synchronized_rig()
    rig.subscriber.message_received(rig.now, InForce(Position(1, 1), 0))
    rig.poll()
    assert not rig.subscriber.connected and "malformed message" in rig.events
    rig.advance(2.0)
    assert rig.subscriber.connected and rig.in_sync


# Random sequences of faults


def any_change(rng: random.Random, rig: Rig) -> Change:
    names = [entry.name for entry in rig.controller.state.entries()]
    if names and rng.random() < 0.3:
        return remove(rng.choice(names))
    return put(customer(f"c{rng.randrange(12)}", float(rng.randrange(1, 9))))


@settings(max_examples=150, deadline=None)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(
            ["accept", "burst", "lose", "duplicate", "corrupt", "swap", "disconnect", "wait", "new epoch"]
        ),
        max_size=40,
    ),
)
def test_the_state_of_the_controller_is_reached_despite_lost_duplicate_corrupted_or_reordered_messages(
    seed: int, steps: list[str]
) -> None:
    rng = random.Random(seed)
    rig = Rig(MemoryController(kept_changes=rng.choice((1, 5, 1000))))
    controllers = [rig.controller]
    mode, held_messages = "", list[Message]()

    def wire(message: Message) -> Iterable[Message]:
        if rng.random() > 0.4:
            return [message]
        match mode:
            case "lose":
                return []
            case "duplicate":
                held_messages.append(message)
                return [message, rng.choice(held_messages)]
            case "corrupt" if isinstance(message, ChangeMessage | SnapshotPart):
                return [structs.replace(message, body=message.body[:-1])]
            case "swap":
                held_messages.append(message)
                return [held_messages.pop(0)] if len(held_messages) > 1 else []
        return [message]

    rig.wire = wire
    rig.start()
    for step in steps:
        match step:
            case "accept":
                rig.accept(any_change(rng, rig))
            case "burst":
                for _ in range(rng.randrange(10)):
                    rig.accept(any_change(rng, rig))
            case "disconnect":
                rig.subscriber.connection_lost(rig.now, "cut")
            case "wait":
                rig.advance(rng.randrange(80) / 10)
            case "new epoch":
                epoch = rig.controller.position.epoch + 1
                rig.controller = MemoryController(epoch=epoch)
                controllers.append(rig.controller)
                rig.subscriber.connection_lost(rig.now, "closed")
            case _:
                mode = "" if mode == step else step
    mode = ""
    rig.advance(140.0)  # the timeout of a subscription without response may have doubled to 64 s
    assert rig.in_sync, (rig.events, rig.subscriber.position, rig.controller.position)
    accepted = {digest for controller in controllers for digest in controller.digests.values()}
    for state in rig.sink.history:  # each was the controller's at some version: nothing was partially applied
        assert digest_of(state.values()) in accepted


BODIES = [
    encode_change(put(customer("a", 1.0))),
    encode_change(remove("a")),
    encode_entries([customer("a", 1.0)]),
    b"",
    b"\x92\x90",
]
POSITIONS = st.builds(Position, st.integers(0, 2), st.integers(0, 4))
DIGESTS = st.sampled_from([0, digest_of([customer("a", 1.0)]), 5])
ANY_BODY = st.sampled_from(BODIES)
ANY_MESSAGE = st.one_of(
    st.builds(
        lambda position, digest, body, mismatch: ChangeMessage(
            position, digest, 0.0, checksum(body) ^ mismatch, body
        ),
        POSITIONS, DIGESTS, ANY_BODY, st.booleans(),
    ),
    st.builds(SnapshotBegin, POSITIONS, DIGESTS, st.integers(0, 2), st.integers(0, 2)),
    st.builds(lambda number, body: SnapshotPart(number, checksum(body), body), st.integers(0, 2), ANY_BODY),
    st.builds(Heartbeat, POSITIONS),
)  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(st.lists(ANY_MESSAGE, max_size=30))
def test_arbitrary_messages_in_any_order_are_handled(sequence: list[Message]) -> None:
    """Without responses: acknowledged digests match the entries, and the stream recovers afterwards."""
    rig = Rig()
    respond, rig.controller.respond = rig.controller.respond, lambda message: []  # type: ignore[method-assign]
    rig.start()
    rig.advance(0.5)
    for message in sequence:
        before = len(rig.effects)
        rig.deliver(message)
        assert len(rig.effects) < before + 12
        assert all(not isinstance(each, InForce) or each.digest == rig.sink.digest for each in rig.sent[-1:])
    rig.controller.accept(put(customer("b", 2.0)))
    rig.controller.respond = respond  # type: ignore[method-assign]
    rig.advance(140.0)
    assert rig.in_sync


def test_additions_of_a_later_format_are_rejected() -> None:
    """A change with a third part, and entries with an additional field, must not be partially applied."""
    for body in (
        b"\x93\x90\x90\x90",
        b"\x92\x91\x94\xa8customer\xa1a\x80\x01\x90",
        b"\x92\x90\x91\x93\xa8customer\xa1a\x01",
    ):
        with pytest.raises(UnreadableChangeError):
            decode_change(body)
