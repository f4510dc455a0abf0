"""The configuration stored by a dispatcher: restarts, corrupted files, a full disk, two processes."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from replication_rig import MemorySink, customer, put, remove

from laureldock.core.messages import StoredMessage
from laureldock.replication import change_log
from laureldock.replication.change_log import ChangeLog, Record
from laureldock.replication.configuration_store import ConfigurationStore
from laureldock.replication.messages import NO_POSITION, Position
from laureldock.setup.changes import Change, encode_change, encode_entries
from laureldock.stores.spool import Spool


class TrackedStore:
    """A store and the state that it should contain."""

    def __init__(self, folder: Path, epoch: int = 3) -> None:
        self.store = ConfigurationStore(folder, wall_clock=lambda: 1000.0)
        assert self.store.acquire()
        self.store.load()
        self.sink, self.position = MemorySink(), Position(epoch, 0)

    def change(self, change: Change) -> None:
        self.sink.apply_change(change)
        self.position = Position(self.position.epoch, self.position.version + 1)
        record = Record(self.position, self.sink.digest, 0.0, encode_change(change))
        self.store.append_change(record, self.sink.entries)

    def snapshot(self, version: int, *names: str) -> None:
        self.sink.replace_entries([customer(name, 1.0) for name in names])
        self.position = Position(self.position.epoch, version)
        entries = list(self.sink.entries())
        parts = [encode_entries(entries[:2]), encode_entries(entries[2:])]
        self.store.replace_all(self.position, self.sink.digest, parts)

    def holds(self, store: ConfigurationStore) -> bool:
        found = store.load()
        same = {entry.key: entry for entry in found.entries} == self.sink.by_key
        return same and (found.position, found.digest, found.fault) == (self.position, self.sink.digest, "")


def reopen(folder: Path) -> ConfigurationStore:
    store = ConfigurationStore(folder, wall_clock=lambda: 1000.0)
    assert store.acquire()
    return store


def test_changes_and_snapshots_survive_a_restart(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path / "configuration")
    tracked.snapshot(5, "a", "b", "c")
    tracked.change(put(customer("d", 2.0), customer("a", 3.0)))
    tracked.change(remove("b"))
    tracked.store.close()
    store = reopen(tmp_path / "configuration")
    assert tracked.holds(store)
    store.close()


def test_versions_may_be_skipped_when_several_changes_were_merged(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path)
    tracked.snapshot(5, "a", "b", "c")
    tracked.position = Position(3, 8)
    tracked.change(put(customer("d", 2.0)))
    tracked.store.close()
    assert tracked.holds(reopen(tmp_path)) and tracked.position.version == 9


def test_an_empty_folder_has_no_configuration(tmp_path: Path) -> None:
    found = reopen(tmp_path / "configuration").load()
    assert (found.position, found.entries, found.age, found.fault) == (NO_POSITION, (), None, "")


def test_the_log_is_compacted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_log, "MIN_COMPACTED_BYTES", 2000)
    tracked = TrackedStore(tmp_path)
    for number in range(500):
        tracked.change(put(customer(f"c{number % 7}", float(number))))
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 10_000
    tracked.store.close()
    assert tracked.holds(reopen(tmp_path))


@pytest.mark.parametrize("cut", [1, 5, 20, 30])
def test_a_torn_record_loses_only_the_last_change(tmp_path: Path, cut: int) -> None:
    tracked = TrackedStore(tmp_path)
    tracked.snapshot(5, "a", "b", "c")
    tracked.change(put(customer("d", 2.0)))
    complete = dict(tracked.sink.by_key)
    tracked.change(remove("a"))
    tracked.store.close()
    log = tmp_path / "changes.log"
    log.write_bytes(log.read_bytes()[:-cut])
    store = reopen(tmp_path)
    found = store.load()
    assert found.position.version == 6 and {entry.key: entry for entry in found.entries} == complete
    tracked.position, tracked.store, tracked.sink.by_key = found.position, store, complete
    tracked.change(put(customer("e", 2.0)))
    store.close()
    assert tracked.holds(reopen(tmp_path))


def corrupt(path: Path, index: int) -> None:
    data = bytearray(path.read_bytes())
    data[index] ^= 0x40
    path.write_bytes(data)


def test_any_corrupted_byte_leaves_an_earlier_state_or_nothing(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path / "complete")
    tracked.snapshot(5, "a", "b", "c")
    for number in range(4):
        tracked.change(put(customer("d", float(number))))
    tracked.store.close()
    states = [sorted(map(str, state)) for state in tracked.sink.history]
    for name in ("changes.log", "snapshot"):
        data = (tmp_path / "complete" / name).read_bytes()
        for index in range(0, len(data), 3):
            folder = tmp_path / f"{name}{index}"
            folder.mkdir()
            for file in (tmp_path / "complete").iterdir():
                (folder / file.name).write_bytes(file.read_bytes())
            corrupt(folder / name, index)
            store = reopen(folder)
            found = store.load()
            assert found.fault or index == 0 or found.position.version == 9, (name, index)
            assert sorted(str(entry.key) for entry in found.entries) in states
            if found.position == NO_POSITION:  # the store starts over and can be used
                fresh = TrackedStore.__new__(TrackedStore)
                fresh.store, fresh.sink, fresh.position = store, MemorySink(), Position(3, 20)
                fresh.change(put(customer("z", 1.0)))
                store.close()
                assert fresh.holds(reopen(folder))
            else:
                assert 5 <= found.position.version <= 9
                store.close()


def test_a_change_lost_to_a_full_disk_is_written_with_the_next(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tracked = TrackedStore(tmp_path)
    tracked.snapshot(5, "a", "b", "c")

    def full(log: ChangeLog, record: Record) -> None:
        raise OSError("no room left")

    with monkeypatch.context() as patched:
        patched.setattr(ChangeLog, "append", full)
        with pytest.raises(OSError, match="no room"):
            tracked.change(remove("a"))
    tracked.change(put(customer("d", 1.0)))
    tracked.store.close()
    assert tracked.holds(reopen(tmp_path))


def test_a_change_lost_to_a_full_disk_is_written_by_a_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tracked = TrackedStore(tmp_path)

    def full(*args: object) -> None:
        raise OSError("no room left")

    with monkeypatch.context() as patched:
        patched.setattr(ChangeLog, "append", full)
        patched.setattr(ChangeLog, "compact", full)
        with pytest.raises(OSError, match="no room"):
            tracked.change(put(customer("a", 1.0)))
        assert not tracked.store.retry(tracked.position, tracked.sink.digest, tracked.sink.entries)
    assert tracked.store.retry(tracked.position, tracked.sink.digest, tracked.sink.entries)
    tracked.store.close()
    assert tracked.holds(reopen(tmp_path))


def test_the_age_survives_a_restart(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path)
    tracked.change(put(customer("a", 1.0)))
    tracked.store.confirm(age=7.0)
    tracked.store.close()
    store = ConfigurationStore(tmp_path, wall_clock=lambda: 1050.0)
    assert store.load().age == 57.0
    earlier_clock = ConfigurationStore(tmp_path, wall_clock=lambda: 900.0)
    assert earlier_clock.load().age == 0.0


def test_a_second_process_only_reads_until_the_first_has_ended(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path)
    tracked.snapshot(5, "a", "b", "c")
    tracked.change(put(customer("d", 2.0)))
    second = ConfigurationStore(tmp_path)
    assert not second.acquire() and tracked.holds(second)
    # Simulates a record that the first process has written in part.
    log = tmp_path / "changes.log"
    complete = log.read_bytes()
    log.write_bytes(complete[:-3])
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert second.load().position.version == 5
    second.confirm(age=0.0)
    with pytest.raises(OSError, match="not this process's"):
        second.replace_all(Position(3, 9), 0, [])
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    log.write_bytes(complete)
    tracked.change(remove("a"))  # the first process continues
    tracked.store.close()
    assert second.acquire() and tracked.holds(second)
    tracked.store = second
    tracked.change(remove("b"))
    second.close()
    assert tracked.holds(reopen(tmp_path))


def test_a_second_process_reading_during_a_compaction_finds_a_complete_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reads at each system call of the first process's compaction, and after a kill there."""
    steps = 0

    class KilledError(Exception):
        pass

    for stop in range(12):
        folder = tmp_path / str(stop)
        tracked = TrackedStore(folder)
        tracked.snapshot(5, "a", "b", "c")
        tracked.change(put(customer("d", 2.0)))
        states = [sorted(map(str, state)) for state in tracked.sink.history]
        tracked.sink.apply_change(remove("a"))
        states.append(sorted(map(str, tracked.sink.by_key)))
        calls = 0

        def read_at_stop(
            name: str, folder: Path = folder, stop: int = stop, states: list[list[str]] = states
        ) -> None:
            nonlocal calls, steps
            if calls == stop:
                steps += 1
                found = ConfigurationStore(folder).load()
                assert sorted(str(entry.key) for entry in found.entries) in states, name
                assert found.position.version in (5, 6, 7)
                raise KilledError
            calls += 1

        with monkeypatch.context() as patched:
            for name in ("rename", "open", "pwrite"):
                call = getattr(os, name)

                def observed(
                    *args: object, call: object = call, name: str = name, **kwargs: object
                ) -> object:
                    read_at_stop(name)
                    return call(*args, **kwargs)  # type: ignore[operator]

                if name == "rename":
                    patched.setattr(os, name, observed)
                else:
                    patched.setattr(f"laureldock.replication.change_log.os.{name}", observed)
            try:
                tracked.store.replace_all(
                    Position(3, 7), tracked.sink.digest, [encode_entries(tracked.sink.entries())]
                )
            except KilledError:
                pass
            else:
                break
        tracked.store.close()
        found = reopen(folder).load()
        assert sorted(str(entry.key) for entry in found.entries) in states
        assert found.position.version in (5, 6, 7)
    assert steps >= 3


def test_the_folder_does_not_count_towards_the_room_of_the_spool(tmp_path: Path) -> None:
    tracked = TrackedStore(tmp_path / "configuration")
    tracked.snapshot(5, *(f"name{number}" for number in range(2000)))
    parent_spool, folder_spool = Spool(tmp_path, 1e5), Spool(tmp_path / "configuration", 1e5)
    assert parent_spool.unknown_files() == [] and not parent_spool.is_shared

    def room(spool: Spool) -> int:
        spool.open()
        messages = (
            StoredMessage(b"m%d" % number, None, "news", "", b"", 7, 1e12, b"x" * 100)
            for number in range(999)
        )
        return sum(spool.accept(message) for message in messages)

    assert 0 < room(parent_spool) == room(folder_spool) < 999
    parent_spool.close()
    folder_spool.close()
    tracked.store.close()
    assert tracked.holds(reopen(tmp_path / "configuration"))
