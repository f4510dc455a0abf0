"""A dispatcher's side of the stream of changes, on a clock set by hand."""

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


def following(changes: int = 3) -> Rig:
    """A subscriber that is level with a controller."""
    rig = Rig()
    for number in range(changes):
        rig.controller.accept(put(customer(f"c{number}", number + 1.0)))
    rig.start()
    rig.after(2.5)  # a heartbeat has told that this is the newest
    assert rig.level and rig.in_force() == [changes]
    return rig


def losing(kind: type[Message], count: int = 1) -> tuple[list[Message], object]:
    """A wire that loses the next messages of a kind, and what it lost."""
    lost: list[Message] = []

    def wire(message: Message) -> Iterable[Message]:
        if isinstance(message, kind) and len(lost) < count:
            lost.append(message)
            return []
        return [message]

    return lost, wire


# Connecting


def test_a_lost_controller_is_called_again_with_jittered_backoff_over_the_list_in_turn() -> None:
    rig = Rig(controllers=("a:1", "b:1", "c:1"))
    rig.reachable = False
    rig.start()
    calls: list[tuple[float, str]] = []
    while len(calls) < 12:
        before = len(rig.effects)
        rig.after(0.1)
        for effect in rig.effects[before:]:
            if isinstance(effect, Connect):
                calls.append((rig.now, effect.address))
                rig.subscriber.connection_lost(rig.now, "refused")
    assert [address for _, address in calls] == ["a:1", "b:1", "c:1"] * 4
    waits = [later - earlier for (earlier, _), (later, _) in pairwise(calls)]
    assert waits[0] <= 0.4 and all(1.9 <= wait <= 4.2 for wait in waits[5:])
    assert len({round(wait, 2) for wait in waits[5:]}) > 2  # jitter


def test_dispatchers_of_one_seed_do_not_call_in_step() -> None:
    due = set()
    for name in ("d1", "d2", "d3", "d4"):
        one = module.Subscriber(name, ("a:1",), 1, lambda key: False)
        one.start(0.0)
        due.add(one.due_at)
    assert len(due) == 4 and max(due) <= 0.25


def test_a_connect_that_is_not_answered_is_given_up() -> None:
    rig = Rig()
    rig.reachable = False
    rig.start()
    rig.after(0.3)
    assert rig.effects == [Connect("c:1")]
    rig.after(3.1)
    assert Disconnect() in rig.effects
    rig.reachable = True
    rig.after(1.0)
    assert rig.level


def test_a_silent_controller_is_left_after_six_seconds_and_called_again() -> None:
    rig = following()
    rig.reachable = False
    rig.after(5.0)
    assert rig.subscriber.connected
    rig.after(1.2)
    assert not rig.subscriber.connected and rig.happened == ["controller lost"]
    rig.controller.accept(put(customer("late", 9.0)))
    rig.reachable = True
    rig.after(6.5)
    assert rig.level and rig.asked()[-1].position.version == 3


def test_heartbeats_go_every_two_seconds_where_nothing_else_does() -> None:
    rig = following()
    rig.after(10.0)
    assert rig.count(Heartbeat) in (4, 5)
    assert rig.sent[-1] == Heartbeat(rig.controller.position)


def test_the_age_counts_from_when_the_controller_last_had_nothing_newer() -> None:
    rig = Rig()
    assert rig.subscriber.age(rig.now) is None
    rig = following()
    rig.after(4.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and age <= 2.1
    rig.reachable = False
    rig.after(60.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and 59 < age < 63
    assert rig.level  # it goes on with what it has


def test_the_age_is_known_once_what_was_named_first_is_in_force() -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    held: list[Message] = []
    rig.wire = lambda message: held.append(message) or ()  # type: ignore[func-returns-value]
    rig.start()
    rig.after(0.5)
    rig.subscriber.message_received(rig.now, rig.controller.heartbeat())
    rig.now += 3.0
    assert rig.subscriber.age(rig.now) is None
    rig.wire = lambda message: [message]
    rig.tell(*held)
    age = rig.subscriber.age(rig.now)
    assert rig.level and age is not None and 2.9 < age < 3.1


def test_after_a_restart_it_goes_on_with_what_it_kept_and_asks_for_the_rest() -> None:
    old = following()
    old.controller.accept(put(customer("missed", 1.0)))
    rig = Rig(old.controller)
    rig.sink.by_key = dict(old.sink.by_key)
    rig.reachable = False
    rig.start(old.subscriber.position, age=30.0)
    assert rig.subscriber.has_configuration
    age = rig.subscriber.age(rig.now + 5)
    assert age == 35.0
    rig.reachable = True
    rig.after(5.0)
    assert rig.level and rig.asked()[-1].position.version == 3
    assert rig.in_force() == [4]  # by the change alone, not by a snapshot


def test_with_nothing_kept_it_is_not_settled_until_the_first_snapshot() -> None:
    rig = Rig()
    rig.reachable = False
    rig.start()
    rig.after(5.0)
    assert not rig.subscriber.has_configuration
    rig.reachable = True
    rig.after(5.0)
    assert rig.subscriber.has_configuration and rig.level  # of a controller without any entry


# Changes


def test_each_change_is_applied_kept_and_then_told_in_force() -> None:
    rig = following()
    rig.accept(put(customer("c1", 20.0), customer("c9", 1.0)))
    rig.accept(remove("c0"))
    assert rig.level and rig.in_force() == [3, 4, 5]
    assert [each.position.version for each in rig.disk] == [3, 4, 5]


def test_a_change_that_comes_twice_is_dropped() -> None:
    rig = following()
    rig.wire = lambda message: [message, message]
    rig.accept(put(customer("c9", 1.0)))
    rig.accept(remove("c9"))
    assert rig.level and rig.in_force() == [3, 4, 5] and rig.happened == ["change repeated"] * 2


def test_a_gap_is_asked_for_with_the_own_position_at_once() -> None:
    rig = following()
    _, rig.wire = losing(ChangeMessage)  # type: ignore[assignment]
    rig.accept(put(customer("lost", 1.0)))
    assert not rig.level
    rig.accept(put(customer("seen", 1.0)))
    assert rig.level and rig.in_force() == [3, 4, 5] and rig.asked()[-1].position.version == 3
    assert len(rig.asked()) == 2


def test_the_last_change_lost_is_asked_for_when_heartbeats_go_on_naming_it() -> None:
    rig = following()
    rig.after(10.0)
    _, rig.wire = losing(ChangeMessage)  # type: ignore[assignment]
    rig.accept(put(customer("lost", 1.0)))
    rig.after(3.0)
    assert not rig.level and len(rig.asked()) == 1
    rig.after(3.5)
    assert rig.level and len(rig.asked()) == 2


def test_a_heartbeat_that_overtakes_its_change_asks_for_nothing() -> None:
    rig = following()
    rig.after(60.0)
    message = rig.controller.accept(put(customer("c9", 1.0)))
    rig.tell(rig.controller.heartbeat(), message)
    rig.after(60.0)
    assert rig.level and len(rig.asked()) == 1


def test_questions_about_one_gap_become_rare() -> None:
    rig = following()
    rig.wire = lambda message: [] if isinstance(message, ChangeMessage) else [message]
    for number in range(300):
        rig.accept(put(customer(f"x{number}", 1.0)))
        rig.after(0.2)
    assert not rig.level and len(rig.asked()) <= 7
    rig.wire = lambda message: [message]
    rig.after(70.0)
    assert rig.level


def test_a_change_with_a_wrong_checksum_is_not_applied_and_asked_for() -> None:
    rig = following()
    spoilt = 0

    def cut(message: Message) -> Iterable[Message]:
        nonlocal spoilt
        if isinstance(message, ChangeMessage) and not spoilt:
            spoilt += 1
            message = ChangeMessage(
                message.position,
                message.digest,
                0.0,
                message.checksum,
                message.body[: len(message.body) // 2],
            )
        return [message]

    rig.wire = cut
    rig.accept(put(customer("c9", 1.0), customer("c8", 1.0)))
    assert rig.level and rig.happened == ["change spoilt", "asked again"]
    assert len(rig.sink.history) == 3  # nothing, the snapshot, the change: no state between


def test_a_controller_that_began_anew_is_followed_by_its_snapshot() -> None:
    rig = following()
    rig.controller = MemoryController(epoch=8)
    rig.controller.accept(put(customer("other", 1.0)))
    rig.subscriber.connection_lost(rig.now, "closed")
    rig.after(5.0)
    assert rig.level and set(rig.sink.by_key) == set(rig.controller.state.by_key)


def test_a_digest_that_differs_brings_a_snapshot() -> None:
    rig = following()
    key, entry = next(iter(rig.sink.by_key.items()))
    rig.sink.by_key[key] = customer(entry.name, 999.0)  # as by a fault of memory or of this program
    rig.accept(put(customer("c9", 1.0)))
    assert rig.level and rig.in_force() == [3, 4] and "digest differs" in rig.happened
    assert rig.asked()[-1] == Subscribe("d1", NO_POSITION, 0)


# Refused changes


def test_a_refused_change_is_told_and_passes_with_the_one_that_mends_it() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad" and getattr(entry.value, "quota", 0) > 5
    rig.accept(put(customer("bad", 6.0), customer("good", 1.0)))
    assert rig.refusals() == [4] and rig.subscriber.position.version == 3
    assert len(rig.sink.history) == 2  # not half applied
    refusal = rig.subscriber.refusal
    assert refusal and refusal.position.version == 4 and "barred" in refusal.reason
    rig.accept(put(customer("c1", 7.0)))
    assert rig.refusals() == [4, 5] and rig.subscriber.pending.count == 2
    rig.after(10.0)
    age = rig.subscriber.age(rig.now)
    assert age is not None and age > 8  # it is known not to be the newest
    assert len(rig.asked()) == 1  # nothing is missing
    rig.accept(put(customer("bad", 5.0)))
    assert rig.level and rig.in_force() == [3, 6] and rig.subscriber.refusal is None


def test_what_came_and_went_while_pending_is_not_removed() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0), customer("c1", 50.0)))
    rig.accept(remove("bad", "c0"))
    assert rig.level and rig.in_force() == [3, 5]


def test_a_change_of_a_later_format_is_told_and_a_snapshot_asked_for_with_a_later_one() -> None:
    rig = following()
    rig.accept(put(customer("c9", 1.0)), body=b"\x93\x01\x02\x03")
    assert rig.refusals() == [4] and rig.subscriber.position.version == 3 and rig.subscriber.connected
    refusal = rig.subscriber.refusal
    assert refusal and "cannot be read" in refusal.reason
    assert rig.level is False
    rig.after(61.0)
    rig.accept(put(customer("c8", 1.0)))
    assert rig.level  # by a snapshot that can be read


def test_a_snapshot_that_is_refused_changes_nothing_and_is_asked_for_rarely() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.controller.kept = 0
    rig.controller.accept(put(customer("bad", 1.0)))
    rig.subscriber.connection_lost(rig.now, "closed")
    rig.after(5.0)
    assert rig.refusals() == [4] and rig.subscriber.position.version == 3
    assert len(rig.sink.history) == 2
    before = len(rig.asked())
    for number in range(30):
        rig.accept(put(customer(f"x{number}", 1.0)))
        rig.after(1.0)
    assert len(rig.asked()) == before
    rig.accept(remove("bad"))
    rig.after(31.0)
    rig.accept(put(customer("c8", 1.0)))
    assert rig.level and rig.subscriber.refusal is None


def test_what_was_refused_is_tried_again_when_the_rules_change() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0)))
    rig.sink.barred = lambda entry: False
    rig.subscriber.retry_refused(rig.now)
    rig.turn()
    assert rig.level


def test_pending_changes_are_bounded() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.accept(put(customer("bad", 1.0)))
    for number in range(MAX_PENDING_CHANGES + 50):
        rig.accept(put(customer(f"x{number % 7}", number + 1.0)))
    assert rig.subscriber.pending.count <= MAX_PENDING_CHANGES + 1
    assert rig.subscriber.pending.unreadable  # the snapshot was refused, too: later changes are not kept
    assert rig.subscriber.pending.bytes == 0
    assert [each.position for each in rig.asked()] == [NO_POSITION, NO_POSITION]
    rig.accept(remove("bad"))
    rig.after(121.0)
    rig.accept(put(customer("c1", 3.0)))
    assert rig.level


def test_a_snapshot_older_than_what_is_in_force_does_not_set_it_back() -> None:
    rig = following()
    rig.controller.kept = 10 * MAX_PENDING_CHANGES
    old = rig.controller.snapshot()
    rig.accept(put(customer("c0", 50.0)))
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.controller.snapshot = lambda: [*old, *rig.controller.log[3:]]  # type: ignore[method-assign]
    rig.accept(put(customer("bad", 1.0)))
    for number in range(2 * MAX_PENDING_CHANGES + 100):
        rig.accept(put(customer("c1", number + 1.0)))
    assert rig.subscriber.position.version == 4
    assert len(rig.sink.history) == 3 and len(rig.asked()) == 2
    rig.accept(remove("bad"))
    del rig.controller.snapshot  # it has compacted since
    rig.after(121.0)
    rig.accept(put(customer("c1", 3.0)))
    assert rig.level


# Snapshots


@pytest.mark.parametrize("lost", [SnapshotBegin, SnapshotPart])
def test_a_snapshot_that_loses_a_message_is_asked_for_anew_and_nothing_of_it_is_in_force(
    lost: type[Message],
) -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    _, rig.wire = losing(lost)  # type: ignore[assignment]
    rig.start()
    rig.after(10.0)
    assert rig.level and len(rig.sink.history) == 2 and rig.in_force() == [9]


def test_a_stream_lost_in_the_middle_of_a_snapshot_begins_it_anew() -> None:
    rig = Rig()
    for number in range(9):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    rig.wire = lambda message: (
        [message] if not isinstance(message, SnapshotPart) or message.number < 3 else []
    )
    rig.start()
    rig.after(1.0)
    rig.subscriber.connection_lost(rig.now, "closed")
    assert not rig.subscriber.has_configuration
    rig.wire = lambda message: [message]
    rig.after(5.0)
    assert rig.level and len(rig.sink.history) == 2


def test_changes_behind_a_snapshot_follow_it() -> None:
    rig = Rig()
    for number in range(5):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    held: list[Message] = []
    rig.wire = lambda message: held.append(message) or ()  # type: ignore[func-returns-value]
    rig.start()
    rig.after(1.0)
    rig.accept(remove("c1"))
    rig.wire = lambda message: [message]
    rig.tell(*held)
    assert rig.level and rig.in_force() == [5, 6]


def test_a_snapshot_with_a_spoilt_part_or_another_content_is_not_taken() -> None:
    rig = following()
    rig.controller.kept = 0
    rig.controller.accept(put(customer("c9", 1.0)))
    begin, *parts = rig.controller.snapshot()
    assert isinstance(begin, SnapshotBegin) and isinstance(parts[0], SnapshotPart)
    rig.wire = lambda message: [] if isinstance(message, SnapshotBegin | SnapshotPart) else [message]
    rig.subscriber.message_received(rig.now, begin)
    rig.subscriber.message_received(rig.now, SnapshotPart(0, parts[0].checksum ^ 1, parts[0].body))
    rig.turn()
    assert "snapshot spoilt" in rig.happened and rig.subscriber.position.version == 3
    wrong = SnapshotBegin(begin.position, begin.digest ^ 1, begin.entries, begin.parts)
    for message in (wrong, *parts):
        rig.subscriber.message_received(rig.now, message)
        rig.turn()
    assert rig.happened.count("snapshot spoilt") == 2 and rig.subscriber.position.version == 3
    rig.wire = lambda message: [message]
    rig.after(10.0)
    assert rig.level


def test_an_old_snapshot_that_comes_again_does_not_set_it_back() -> None:
    rig = following()
    rig.controller.kept = 10 * MAX_PENDING_CHANGES
    old = rig.controller.snapshot()
    rig.accept(put(customer("c9", 1.0)))
    rig.after(3.0)
    rig.tell(*old)
    assert rig.level and rig.in_force() == [3, 4]


# The disk


def test_what_could_not_be_kept_is_not_told_in_force_until_it_is() -> None:
    rig = following()
    rig.disk_full = True
    rig.accept(put(customer("c9", 1.0)))
    assert rig.sink.by_key == rig.controller.state.by_key and rig.in_force() == [3]
    rig.subscriber.persisted(rig.now)
    rig.subscriber.persisted(rig.now)
    rig.turn()
    assert rig.in_force() == [3, 4]


def test_a_message_that_no_controller_sends_ends_the_stream() -> None:
    rig = following()
    rig.subscriber.message_received(rig.now, InForce(Position(1, 1), 0))
    rig.turn()
    assert not rig.subscriber.connected and "malformed message" in rig.happened
    rig.after(2.0)
    assert rig.subscriber.connected and rig.level


# Every order of faults


def any_change(chance: random.Random, rig: Rig) -> Change:
    here = [entry.name for entry in rig.controller.state.entries()]
    if here and chance.random() < 0.3:
        return remove(chance.choice(here))
    return put(customer(f"c{chance.randrange(12)}", float(chance.randrange(1, 9))))


@settings(max_examples=150, deadline=None)
@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(["accept", "burst", "lose", "double", "spoil", "swap", "cut", "wait", "anew"]),
        max_size=40,
    ),
)
def test_whatever_is_lost_doubled_spoilt_or_cut_it_ends_at_the_state_of_the_controller(
    seed: int, steps: list[str]
) -> None:
    chance = random.Random(seed)
    rig = Rig(MemoryController(kept=chance.choice((1, 5, 1000))))
    controllers = [rig.controller]
    mode, held = "", list[Message]()

    def wire(message: Message) -> Iterable[Message]:
        if chance.random() > 0.4:
            return [message]
        match mode:
            case "lose":
                return []
            case "double":
                held.append(message)
                return [message, chance.choice(held)]
            case "spoil" if isinstance(message, ChangeMessage | SnapshotPart):
                return [structs.replace(message, body=message.body[:-1])]
            case "swap":
                held.append(message)
                return [held.pop(0)] if len(held) > 1 else []
        return [message]

    rig.wire = wire
    rig.start()
    for step in steps:
        match step:
            case "accept":
                rig.accept(any_change(chance, rig))
            case "burst":
                for _ in range(chance.randrange(10)):
                    rig.accept(any_change(chance, rig))
            case "cut":
                rig.subscriber.connection_lost(rig.now, "cut")
            case "wait":
                rig.after(chance.randrange(80) / 10)
            case "anew":
                epoch = rig.controller.position.epoch + 1
                rig.controller = MemoryController(epoch=epoch)
                controllers.append(rig.controller)
                rig.subscriber.connection_lost(rig.now, "closed")
            case _:
                mode = "" if mode == step else step
    mode = ""
    rig.after(140.0)  # patience with one that answered nothing may have doubled to 64 s
    assert rig.level, (rig.happened, rig.subscriber.position, rig.controller.position)
    accepted = {digest for controller in controllers for digest in controller.digests.values()}
    for state in rig.sink.history:  # each was the controller's at some version: nothing was half applied
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
        lambda position, digest, body, wrong: ChangeMessage(
            position, digest, 0.0, checksum(body) ^ wrong, body
        ),
        POSITIONS, DIGESTS, ANY_BODY, st.booleans(),
    ),
    st.builds(SnapshotBegin, POSITIONS, DIGESTS, st.integers(0, 2), st.integers(0, 2)),
    st.builds(lambda number, body: SnapshotPart(number, checksum(body), body), st.integers(0, 2), ANY_BODY),
    st.builds(Heartbeat, POSITIONS),
)  # fmt: skip


@settings(max_examples=300, deadline=None)
@given(st.lists(ANY_MESSAGE, max_size=30))
def test_any_messages_in_any_order_break_nothing(told: list[Message]) -> None:
    """Nobody answers: what is told in force is what its digest says, and it is followed on afterwards."""
    rig = Rig()
    answer, rig.controller.answer = rig.controller.answer, lambda asked: []  # type: ignore[method-assign]
    rig.start()
    rig.after(0.5)
    for message in told:
        before = len(rig.effects)
        rig.tell(message)
        assert len(rig.effects) < before + 12
        assert all(not isinstance(each, InForce) or each.digest == rig.sink.digest for each in rig.sent[-1:])
    rig.controller.accept(put(customer("b", 2.0)))
    rig.controller.answer = answer  # type: ignore[method-assign]
    rig.after(140.0)
    assert rig.level


def test_what_a_later_format_adds_is_not_ignored() -> None:
    """A change with a third part, an entry with another field: half of each would be in force."""
    for body in (
        b"\x93\x90\x90\x90",
        b"\x92\x91\x94\xa8customer\xa1a\x80\x01\x90",
        b"\x92\x90\x91\x93\xa8customer\xa1a\x01",
    ):
        with pytest.raises(UnreadableChangeError):
            decode_change(body)
