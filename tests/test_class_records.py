"""The records of queue classes in the spool: room, releases that do not know them, and writes that fail."""

from __future__ import annotations

import contextlib
import os
import time
from math import inf
from pathlib import Path
from typing import Any

import pytest
from drivers import PLATFORM_SETTINGS
from socket_dispatcher import SocketDispatcher

from laureldock.clocks import read_clocks
from laureldock.core.messages import StoredMessage
from laureldock.delivery_settings import class_values
from laureldock.interface import QueueClass, RepeatSafety
from laureldock.rehearsal.soak.system_calls import FaultInjector, FaultWindow, SystemCallFault
from laureldock.stores.class_records import decode_class, encode_class
from laureldock.stores.record_file import RecordFile
from laureldock.stores.spool import Spool
from laureldock.stores.spool_records import RecordReader, encode_message, encode_payload, encode_record

DISK = 3e6  # bytes


def charge_class(importance: float = 5.0) -> QueueClass:
    return QueueClass(RepeatSafety.ONCE_ONLY, importance, 2.0, 9.0, 0.5, False, name="charge")


def message(name: str, accepted_class: QueueClass | None = None, body: bytes = b"hello") -> StoredMessage:
    end = time.monotonic() + 60
    return StoredMessage(name.encode(), None, "charge", "x", b"", 7, end, body, accepted_class=accepted_class)


def open_spool(folder: Path, disk: float = DISK) -> Spool:
    spool = Spool(folder, disk)
    spool.open()
    return spool


def records_of(data: bytes) -> list[list[Any]]:
    return [record.fields for record in RecordReader(read_clocks()).read(data)]


def kinds(path: Path) -> list[str]:
    return [fields[0] for fields in records_of(path.read_bytes())]


def read_back(queue_class: QueueClass) -> QueueClass:
    """The class, written and read."""
    ((_, name, _, settings),) = records_of(encode_record(encode_class(queue_class, 3))[0])
    return decode_class(name, settings)


def importances(spool: Spool) -> dict[str, float | None]:
    return {
        name.decode(): stored.accepted_class.importance if stored.accepted_class else None
        for name, stored in spool.pending.items()
    }


@pytest.mark.parametrize("safety", list(RepeatSafety))
def test_each_setting_of_a_class_is_read_as_it_was_written(safety: RepeatSafety) -> None:
    written = QueueClass(safety, 0.1, 1 / 3, 12.5, 0.25, True, True, 7.5, True, True, True, name="x.y")
    assert class_values(read_back(written)) == class_values(written)
    unlimited = charge_class()
    assert unlimited.tag_memory_time == inf
    assert class_values(read_back(unlimited)) == class_values(unlimited)


def test_settings_of_later_releases_do_not_end_the_start() -> None:
    """An effect that is not known counts as the one that forbids most."""
    settings = {"repeat_safety": "new", "importance": 1.0, "target_delay": 1.0, "lifetime": 5.0, "later": 1}
    settings |= {"late_share": 0.5, "halves_importance_when_late": False}
    assert decode_class("charge", settings).repeat_safety is RepeatSafety.ONCE_ONLY


def test_a_class_is_written_once_and_goes_with_its_last_message(tmp_path: Path) -> None:
    spool = open_spool(tmp_path)
    first, second = charge_class(5.0), charge_class(6.0)
    for number in range(50):
        assert spool.accept(message(f"a{number}", first))
        assert spool.accept(message(f"b{number}", charge_class(6.0) if number else second))  # equal ones
    assert kinds(spool.path).count("class") == 2 and kinds(spool.path).count("under") == 100
    for number in range(50):
        spool.record_finished(b"a%d" % number)
    spool.close()
    for _ in range(2):  # as it was left, and compacted
        spool = open_spool(tmp_path)
        assert set(importances(spool).values()) == {6.0}
        spool._compact()
        assert kinds(spool.path).count("class") == 1
        spool.close()
    spool = open_spool(tmp_path)
    for name in list(spool.pending):
        spool.record_finished(name)
    assert spool.content.reserved_bytes == 0 and spool.content.classes.reserved_bytes == 0
    spool._compact()
    assert set(kinds(spool.path)) <= {"boot"}
    assert spool.accept(message("c", first)) and kinds(spool.path).count("class") == 1
    spool.close()


def test_a_message_accepted_right_after_a_compaction_has_its_class(tmp_path: Path) -> None:
    """The compaction that makes room for a message leaves out its class if no other message has it."""
    spool = open_spool(tmp_path, 100e3)
    short, longer = charge_class(5.0), charge_class(6.0)
    compacted = 0
    for number in range(800):
        before = os.stat(spool.path).st_ino
        assert spool.accept(message(f"m{number}", short if number % 2 else longer, bytes(500)))
        if os.stat(spool.path).st_ino != before:
            compacted += 1
            expected = {f"m{number}": 5.0 if number % 2 else 6.0}
            assert importances(Spool(tmp_path, 100e3, writes=False)) == expected
        spool.record_finished(b"m%d" % number)
    assert compacted > 3
    spool.close()


def test_a_full_store_stays_within_its_disk_space_with_a_class_for_each_message(tmp_path: Path) -> None:
    spool = open_spool(tmp_path, 200e3)
    route = "r" * 40
    count = 0
    while spool.accept(message(f"message-{count:010d}", charge_class(float(count)))):
        count += 1
    assert count > 60
    for name, stored in list(spool.pending.items()):
        stored.key, stored.accepted_at = "k", time.monotonic()
        spool.record_attempt_start(name, time.monotonic(), route)
        spool.record_notice(name, b'{"message":"%s","outcome":"handed_back","retry_in_ms":12345}\n' % name)
        size = sum(path.stat().st_size for path in tmp_path.iterdir())
        assert size <= 200e3
    spool._compact()
    assert spool.size <= spool.max_pending_bytes
    for name in list(spool.pending):
        spool.record_finished(name)
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) <= 200e3
    spool.close()


def test_messages_of_an_older_release_keep_the_class_that_they_first_got(tmp_path: Path) -> None:
    """Their records name a class only; what that meant at the first start of this release stays."""
    spool = open_spool(tmp_path)
    old, new = message("a"), message("b", charge_class(6.0))
    assert spool.accept(old) and spool.accept(new)
    assert importances(spool) == {"a": None, "b": 6.0}
    spool.set_accepted_class(old, charge_class(7.0))
    spool.flush()
    spool.close()
    assert importances(Spool(tmp_path, DISK, writes=False)) == {"a": 7.0, "b": 6.0}


def test_a_message_that_an_older_release_appends_has_no_class_of_this_one(tmp_path: Path) -> None:
    """On the way back of an upgrade, the older release appends to the file that this one began."""
    spool = open_spool(tmp_path)
    assert spool.accept(message("a", charge_class(5.0)))
    spool.close()
    data = spool.path.read_bytes()
    reader = RecordReader(read_clocks())
    assert [record.fields[0] for record in reader.read(data)] == ["class", "under", "mail"]
    # As one that was cut short: the record ahead of a message is there, and the message is not.
    descriptor = os.open(spool.path, os.O_RDWR)
    file = RecordFile(descriptor, reader.size, reader.checksum)
    file.append_all([encode_payload(["under", "lost", 1]), encode_message(message("b"))])
    file.append_all([encode_payload(["under", "c", 99]), encode_message(message("c"))])
    file.close()
    again = open_spool(tmp_path)
    assert importances(again) == {"a": 5.0, "b": None, "c": None}
    assert again.accept(message("d", charge_class(5.0))) and again.accept(message("e", charge_class(6.0)))
    again.close()
    found = {"a": 5.0, "b": None, "c": None, "d": 5.0, "e": 6.0}
    assert importances(Spool(tmp_path, DISK, writes=False)) == found


def test_an_adopted_file_has_classes_of_its_own_numbers(tmp_path: Path) -> None:
    """Two processes number their classes by themselves: the same number stands for two classes."""
    old, new = open_spool(tmp_path), open_spool(tmp_path)
    assert old.accept(message("a", charge_class(5.0))) and new.accept(message("b", charge_class(6.0)))
    old.close()
    assert [each.name for each in new.adopt()] == [b"a"]
    assert new.accept(message("c", charge_class(7.0)))
    expected: dict[str, float | None] = {"a": 5.0, "b": 6.0, "c": 7.0}
    assert importances(new) == expected
    new.close()
    assert importances(Spool(tmp_path, DISK, writes=False)) == expected


def test_a_file_cut_at_any_byte_has_the_class_of_each_message_that_it_has(tmp_path: Path) -> None:
    spool = open_spool(tmp_path)
    for number in range(4):
        assert spool.accept(message(f"m{number}", charge_class(float(number))))
    spool.close()
    data = spool.path.read_bytes()
    found = []
    for size in range(len(data) + 1):
        spool.path.write_bytes(data[:size])
        read = importances(Spool(tmp_path, DISK, writes=False))
        assert read == {f"m{number}": float(number) for number in range(len(read))}
        found.append(len(read))
    assert found[-1] == 4


@pytest.mark.parametrize("fault", [SystemCallFault.DISK_ERROR, SystemCallFault.DISK_SHORT])
def test_writes_that_fail_leave_no_message_without_its_class(tmp_path: Path, fault: SystemCallFault) -> None:
    spool = open_spool(tmp_path, 30e3)
    calls = FaultInjector(tmp_path, 1, [FaultWindow(fault, -inf, inf, 0.4)])
    accepted: dict[str, float | None] = {}
    calls.install()
    try:
        for number in range(600):
            name, importance = f"m{number}", float(number % 7)
            if spool.accept(message(name, charge_class(importance))):
                accepted[name] = importance
            if len(accepted) > 5:
                finished = next(iter(accepted))
                del accepted[finished]
                with contextlib.suppress(OSError):  # queued
                    spool.record_finished(finished.encode())
    finally:
        calls.remove()
    assert importances(spool) == accepted
    spool.flush()
    spool.close()
    assert importances(Spool(tmp_path, 30e3, writes=False)) == accepted


def test_a_start_with_a_file_of_an_older_release_keeps_its_messages(tmp_path: Path) -> None:
    """They get the class of that name; of a name that is gone, nothing is known: they end by a notice."""
    rig = SocketDispatcher(tmp_path)
    spool = open_spool(rig.folder, 1e6)
    for name, queue_class in (("a", "charge"), ("b", "gone")):
        stored = message(name)
        stored.queue_class = queue_class
        assert spool.accept(stored)
    spool.close()
    rig.receiver.listener.close()
    rig.start_until_ready()
    rig.step_until(lambda: rig.platform.notices == ['{"message":"b","outcome":"given_up"}'])
    rig.kill()
    classes = [
        {**each, "effect": "retryable"} if each["name"] == "charge" else each
        for each in PLATFORM_SETTINGS["classes"]
    ]
    rig.settings = {**PLATFORM_SETTINGS, "classes": classes}
    rig.start_until_ready()
    held = rig.core.messages_by_name[b"a"].message
    assert held.queue_class.repeat_safety is RepeatSafety.ONCE_ONLY
    rig.close()


def test_the_next_process_goes_on_with_the_numbers_of_its_file(tmp_path: Path) -> None:
    """A class that the file has is not written again, and another one gets the next number."""
    spool = open_spool(tmp_path)
    assert spool.accept(message("a", charge_class(5.0)))
    spool.close()
    again = open_spool(tmp_path)
    assert again.accept(message("b", charge_class(5.0))) and again.accept(message("c", charge_class(6.0)))
    again.close()
    records = records_of(again.path.read_bytes())
    assert [fields[2] for fields in records if fields[0] == "class"] == [1, 2]
    assert [fields[1:] for fields in records if fields[0] == "under"] == [["a", 1], ["b", 1], ["c", 2]]
