"""The change log on disk: no acknowledged record is lost in a crash, and corruption is detected."""

from __future__ import annotations

import errno
import os
import random
import shutil
import signal
import time
import traceback
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from xxhash import xxh3_64_intdigest

from laureldock.replication import change_log
from laureldock.replication.change_log import (
    LOG_HEADER,
    LOG_NAME,
    SNAPSHOT_NAME,
    ChangeLog,
    CorruptedLogError,
    LogInUseError,
    Record,
)
from laureldock.replication.messages import NO_POSITION, Position

EPOCH = 77


class State:
    """A stub of the catalog: names with numbers, changed one at a time."""

    def __init__(self) -> None:
        self.values: dict[str, int] = {}

    @property
    def digest(self) -> int:
        return xxh3_64_intdigest(msgspec.msgpack.encode(sorted(self.values.items()))) >> 2

    def record(self, version: int, size: int = 20) -> Record:
        name = f"n{version % 13}"
        self.values[name] = version
        body = msgspec.msgpack.encode([name, version, "x" * size])
        return Record(Position(EPOCH, version), self.digest, float(version), body)

    def parts(self, each: int = 3) -> Iterator[bytes]:
        items = sorted(self.values.items())
        for index in range(0, len(items), each):
            yield msgspec.msgpack.encode(items[index : index + each])

    def load(self, log: ChangeLog) -> None:
        for item in log.load():
            if isinstance(item, Record):
                name, value, _ = msgspec.msgpack.decode(item.body)
                self.values[name] = value
                assert self.digest == item.digest, item.position
            else:
                self.values.update(dict(msgspec.msgpack.decode(item)))
        assert not self.values or self.digest == log.digest


def open_log(folder: Path, durable: bool = True) -> tuple[ChangeLog, State]:
    log, state = ChangeLog(folder, durable), State()
    state.load(log)
    return log, state


def open_controller_log(folder: Path) -> tuple[ChangeLog, State]:
    """Open the log like a controller, with an epoch on disk before the first change."""
    log, state = open_log(folder)
    if log.position == NO_POSITION:
        log.compact(Position(EPOCH, 0), state.digest, [])
    return log, state


def append(log: ChangeLog, state: State, size: int = 20) -> int:
    version = log.position.version + 1
    log.append(state.record(version, size))
    return version


def compact_incrementally(log: ChangeLog, state: State, between_parts: Callable[[], Any]) -> None:
    parts = list(state.parts())
    writer = log.begin_compaction(log.position, log.digest, len(state.values))
    for part in parts:
        writer.write(part)
        between_parts()
    writer.finish(True)
    between_parts()
    log.finish_compaction(writer)


def create_log(folder: Path, records: int) -> None:
    """Create a snapshot of a few entries and this many records after it."""
    log, state = open_controller_log(folder)
    for _ in range(4):
        append(log, state)
    compact_incrementally(log, state, lambda: None)
    for _ in range(records):
        append(log, state)
    log.close()


def test_appended_records_survive_a_restart(tmp_path: Path) -> None:
    create_log(tmp_path, 6)
    log, state = open_log(tmp_path)
    assert log.position == Position(EPOCH, 10) and state.values["n10"] == 10 and len(state.values) == 10
    assert log.torn_bytes == 0 == log.corrupted_bytes
    append(log, state)
    log.close()
    log, _ = open_log(tmp_path)
    assert log.position.version == 11


def test_records_are_available_across_one_compaction_but_not_two(tmp_path: Path) -> None:
    log, state = open_controller_log(tmp_path)
    for _ in range(5):
        append(log, state)
    assert log.oldest_version == 0
    compact_incrementally(log, state, lambda: append(log, state))
    newest = log.position.version
    for version in range(newest + 1):  # records of the log before the compaction are still available
        records = log.records_after(version, 1)
        assert records is not None
        assert [each.position.version for each in records] == [version + 1][: newest - version]
        assert [each.digest for each in records] == [log.digest_at(version + 1)][: newest - version]
    assert log.records_after(newest + 1) is None
    compact_incrementally(log, state, lambda: None)
    assert log.oldest_version == 5 and log.records_after(4) is None
    assert log.digest_at(4) is None is log.digest_at(newest + 1) and log.digest_at(newest) == log.digest
    assert [each.position.version for each in log.records_after(5) or []] == list(range(6, newest + 1))
    log.close()
    log, state = open_log(tmp_path)
    assert log.records_after(newest - 1) is None and log.records_after(newest) == []


def test_reading_a_snapshot_continues_across_a_later_compaction(tmp_path: Path) -> None:
    log, state = open_controller_log(tmp_path)
    first = log.snapshot_file()
    assert first and (first.entries, first.parts) == (0, 0) and first.next_part() is None
    for _ in range(13):
        append(log, state)
    compact_incrementally(log, state, lambda: None)
    reader, before = log.snapshot_file(), state.digest
    assert reader and reader.position == log.position and (reader.entries, reader.parts) == (13, 5)
    parts = [reader.next_part()]
    for _ in range(9):
        append(log, state)
    compact_incrementally(log, state, lambda: None)
    while (part := reader.next_part()) is not None:
        parts.append(part)
    seen = State()
    for part in parts:
        seen.values.update(dict(msgspec.msgpack.decode(part or b"")))
    assert seen.digest == before == reader.digest != log.digest


def test_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    log, _ = open_controller_log(tmp_path)
    with pytest.raises(LogInUseError, match="another process"):
        ChangeLog(tmp_path, durable=True)
    log.close()
    ChangeLog(tmp_path, durable=True).close()


def test_without_writes_nothing_on_disk_is_modified(tmp_path: Path) -> None:
    absent = ChangeLog(tmp_path / "absent", durable=False, writes=False)
    assert list(absent.load()) == [] and not (tmp_path / "absent").exists()
    create_log(tmp_path, 3)
    path = tmp_path / LOG_NAME
    path.write_bytes(path.read_bytes()[:-1])
    before = {each.name: each.read_bytes() for each in tmp_path.iterdir()}
    log = ChangeLog(tmp_path, durable=False, writes=False)
    State().load(log)
    assert log.position.version == 6 and log.torn_bytes > 0
    assert before == {each.name: each.read_bytes() for each in tmp_path.iterdir()}
    with pytest.raises(RuntimeError):
        log.append(State().record(8))


def test_a_record_must_follow_on_the_last(tmp_path: Path) -> None:
    log, state = open_controller_log(tmp_path)
    append(log, state)
    for position in (Position(EPOCH, 1), Position(EPOCH, 0), Position(EPOCH + 1, 2)):
        with pytest.raises(ValueError, match="does not follow"):
            log.append(Record(position, 0, 0.0, b""))
    with pytest.raises(ValueError, match="would drop records"):
        log.compact(Position(EPOCH, 0), 0, [])


# Truncated and corrupted files


@pytest.mark.usefixtures("without_fsync")
def test_truncation_at_any_byte_keeps_the_complete_records(tmp_path: Path) -> None:
    create_log(tmp_path / "complete", 3)
    data = (tmp_path / "complete" / LOG_NAME).read_bytes()
    ends = [LOG_HEADER.size]  # offsets of the ends of the records
    log, _ = open_log(tmp_path / "complete")
    for record in log.records_after(4) or []:
        ends.append(ends[-1] + len(change_log.encode_record(record)))
    log.close()
    assert ends[-1] == len(data)
    for size in range(LOG_HEADER.size, len(data)):
        folder = tmp_path / "cut"
        shutil.copytree(tmp_path / "complete", folder)
        (folder / LOG_NAME).write_bytes(data[:size])
        log, state = open_log(folder)
        complete = sum(end <= size for end in ends) - 1
        assert log.position.version == 4 + complete and log.torn_bytes == size - ends[complete], size
        append(log, state)
        log.close()
        log, _ = open_log(folder)
        assert log.position.version == 5 + complete and log.torn_bytes == 0
        log.close()
        shutil.rmtree(folder)


@pytest.mark.usefixtures("without_fsync")
@pytest.mark.parametrize("name", [LOG_NAME, SNAPSHOT_NAME])
def test_any_flipped_bit_is_reported_with_its_offset_and_never_read(tmp_path: Path, name: str) -> None:
    create_log(tmp_path / "complete", 3)
    data = (tmp_path / "complete" / name).read_bytes()
    folder = tmp_path / "corrupted"
    shutil.copytree(tmp_path / "complete", folder)
    for index in range(len(data)):
        corrupted = bytearray(data)
        corrupted[index] ^= 1 << (index % 8)
        (folder / name).write_bytes(corrupted)
        log = ChangeLog(folder, durable=True)
        with pytest.raises(CorruptedLogError, match=rf"{name}: byte \d+: ") as raised:
            State().load(log)
        assert raised.value.path == folder / name and raised.value.offset <= index
        log.close()
        if name == LOG_NAME:  # a dispatcher drops the corrupted record and all later ones
            log, state = open_log(folder, durable=False)
            assert 4 <= log.position.version < 7 and log.corrupted_bytes > 0
            append(log, state)
            log.close()
            log, _ = open_log(folder, durable=False)
            assert log.corrupted_bytes == 0
            log.close()
    if name == SNAPSHOT_NAME:
        log = ChangeLog(folder, durable=False)
        with pytest.raises(CorruptedLogError):
            State().load(log)
        log.clear()
        assert log.position == NO_POSITION
        log.append(State().record(9))
        log.close()
        assert open_log(folder, durable=False)[0].position.version == 9


def test_a_copy_of_the_log_and_then_of_the_snapshot_is_a_backup(tmp_path: Path) -> None:
    """Between the two copies there may be nothing, changes, or a compaction."""
    log, state = open_controller_log(tmp_path / "live")
    for step in range(12):
        append(log, state)
        copy = tmp_path / f"copy-{step}"
        copy.mkdir()
        shutil.copy(tmp_path / "live" / LOG_NAME, copy)
        newest = log.position.version
        if step % 3:
            append(log, state)
        if step % 4 == 0:
            compact_incrementally(log, state, lambda: append(log, state))
        shutil.copy(tmp_path / "live" / SNAPSHOT_NAME, copy)
        again, restored = open_log(copy)
        assert newest <= again.position.version <= log.position.version
        append(again, restored)
        again.close()


@pytest.mark.parametrize("name", [LOG_NAME, SNAPSHOT_NAME])
def test_a_missing_file_is_an_error(tmp_path: Path, name: str) -> None:
    create_log(tmp_path, 3)
    (tmp_path / name).unlink()
    with pytest.raises(CorruptedLogError):
        open_log(tmp_path)


def test_a_missing_record_in_the_middle_is_detected(tmp_path: Path) -> None:
    create_log(tmp_path, 3)
    data = (tmp_path / LOG_NAME).read_bytes()
    length = (len(data) - LOG_HEADER.size) // 3
    (tmp_path / LOG_NAME).write_bytes(data[: LOG_HEADER.size] + data[LOG_HEADER.size + length :])
    with pytest.raises(CorruptedLogError, match="behind"):
        open_log(tmp_path)


# A dispatcher's folder


def test_a_dispatcher_stores_a_snapshot_of_any_position_and_may_skip_versions(tmp_path: Path) -> None:
    log, state = open_log(tmp_path, durable=False)
    for position in (Position(3, 10), Position(3, 4), Position(9, 2)):
        log.compact(position, state.digest, state.parts())
        for step in (2, 3):
            record = state.record(position.version + step)
            log.append(
                Record(Position(position.epoch, record.position.version), state.digest, 0.0, record.body)
            )
        log.close()
        log, state = open_log(tmp_path, durable=False)
        assert log.position == Position(position.epoch, position.version + 3)
        assert log.digest == state.digest


# Disk errors


def skip_fsync(descriptor: int) -> None:
    """Replaces fsync in tests of process crashes, since thousands of syncs take long."""


@pytest.fixture
def without_fsync(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "fsync", skip_fsync)
    monkeypatch.setattr(os, "fdatasync", skip_fsync)


class Syscalls:
    """Counts the system calls of the log, and makes the call number `fail_at` fail."""

    NAMES = ("pwrite", "fdatasync", "fsync", "rename", "ftruncate", "unlink")

    def __init__(self, monkeypatch: pytest.MonkeyPatch, fail_at: int, fault: BaseException) -> None:
        self.count, self.fail_at, self.fault = 0, fail_at, fault
        for name in self.NAMES:
            call = skip_fsync if name in ("fsync", "fdatasync") else getattr(os, name)
            monkeypatch.setattr(os, name, self.wrapped(name, call))

    def wrapped(self, name: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def counted(*args: Any, **kwargs: Any) -> Any:
            self.count += 1
            if self.count == self.fail_at:
                if name == "pwrite":  # half of the data reaches the file
                    descriptor, data, offset = args
                    call(descriptor, data[: len(data) // 2], offset)
                raise self.fault
            return call(*args, **kwargs)

        return counted


def scenario(folder: Path, acknowledged: list[int]) -> None:
    """Open a log, append records, compact with records between the parts, and append more."""
    log, state = open_controller_log(folder)
    try:
        for _ in range(3):
            acknowledged.append(append(log, state))
        compact_incrementally(log, state, lambda: acknowledged.append(append(log, state)))
        acknowledged.append(append(log, state))
        acknowledged.append(append(log, state))
    finally:
        log.close()


class Crash(BaseException):
    """Simulates the end of the process."""


@pytest.mark.usefixtures("without_fsync")
def test_a_crash_at_any_system_call_loses_no_acknowledged_record(tmp_path: Path) -> None:
    fail_at = 0
    while True:
        fail_at += 1
        folder, acknowledged = tmp_path / str(fail_at), list[int]()
        with pytest.MonkeyPatch.context() as patch:
            calls = Syscalls(patch, fail_at, Crash())
            try:
                scenario(folder, acknowledged)
            except Crash as crash:  # closes files that are still referenced by the traceback
                traceback.clear_frames(crash.__traceback__)
                crash.__traceback__ = None
        newest = acknowledged[-1] if acknowledged else 0
        log, state = open_controller_log(folder)
        assert newest <= log.position.version <= newest + 1, fail_at
        assert log.position.epoch == EPOCH
        append(log, state)
        log.close()
        if calls.count < fail_at:
            break
    assert fail_at > 35  # otherwise the calls are not counted


@pytest.mark.usefixtures("without_fsync")
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_after_a_disk_error_exactly_the_acknowledged_records_remain(tmp_path: Path, number: int) -> None:
    fail_at = 0
    while True:
        fail_at += 1
        folder, acknowledged = tmp_path / str(fail_at), list[int]()
        log, state = open_controller_log(folder)
        with pytest.MonkeyPatch.context() as patch:
            calls = Syscalls(patch, fail_at, OSError(number, os.strerror(number)))
            for step in range(12):
                before = dict(state.values)
                try:
                    if step % 4 == 3:
                        log_position = log.position
                        compact_incrementally(log, state, lambda: None)
                        assert log.position == log_position
                    else:
                        acknowledged.append(append(log, state))
                except OSError:
                    state.values = before
        log.close()
        log, again = open_log(folder)
        assert log.position.version == len(acknowledged) == acknowledged[-1]
        assert again.values == state.values
        log.close()
        if calls.count < fail_at:
            break
    assert fail_at > 30


# Killed processes


def run_until_killed(folder: Path, report: int) -> None:
    """Append and compact until killed; report each version that is on disk to the pipe."""
    log, state = open_controller_log(folder)
    rng = random.Random(log.position.version)
    while True:
        size = rng.choice((0, 10, 300, 5000))
        os.write(report, b"%d\n" % append(log, state, size))
        if log.position.version % 5 == 0:
            compact_incrementally(log, state, lambda: os.write(report, b"%d\n" % append(log, state)))


def test_a_hundred_kills_lose_no_acknowledged_record(tmp_path: Path) -> None:
    rng, newest, kills = random.Random(41), 0, 0
    end = time.monotonic() + 6.0
    while kills < 100 and time.monotonic() < end:
        read_end, report = os.pipe()
        child = os.fork()
        if child == 0:
            try:
                run_until_killed(tmp_path, report)
            finally:
                os._exit(1)
        os.close(report)
        time.sleep(rng.uniform(0.0, 0.04))
        os.kill(child, signal.SIGKILL)
        assert os.WIFSIGNALED(os.waitpid(child, 0)[1])
        with open(read_end, "rb") as lines:
            acknowledged = [int(line) for line in lines.read().split(b"\n")[:-1]]
        newest = max([newest, *acknowledged])
        log, state = open_controller_log(tmp_path)
        assert newest <= log.position.version, f"kill {kills}: {newest} was acknowledged"
        newest = log.position.version
        assert newest < 1 or state.values[f"n{newest % 13}"] == newest
        log.close()
        kills += 1
    assert kills >= 30 and newest > kills
