"""What a dispatcher keeps of its configuration: restarts, spoilt files, a full disk, two processes."""

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


class Kept:
    """A store, and the state that it is to hold."""

    def __init__(self, folder: Path, epoch: int = 3) -> None:
        self.store = ConfigurationStore(folder, wall=lambda: 1000.0)
        assert self.store.acquire()
        self.store.load()
        self.sink, self.position = MemorySink(), Position(epoch, 0)

    def change(self, change: Change) -> None:
        self.sink.apply_change(change)
        self.position = Position(self.position.epoch, self.position.version + 1)
        record = Record(self.position, self.sink.digest, 0.0, encode_change(change))
        self.store.keep(record, self.sink.entries)

    def snapshot(self, version: int, *names: str) -> None:
        self.sink.replace_entries([customer(name, 1.0) for name in names])
        self.position = Position(self.position.epoch, version)
        entries = list(self.sink.entries())
        parts = [encode_entries(entries[:2]), encode_entries(entries[2:])]
        self.store.replace(self.position, self.sink.digest, parts)

    def holds(self, store: ConfigurationStore) -> bool:
        found = store.load()
        same = {entry.key: entry for entry in found.entries} == self.sink.by_key
        return same and (found.position, found.digest, found.fault) == (self.position, self.sink.digest, "")


def again(folder: Path) -> ConfigurationStore:
    store = ConfigurationStore(folder, wall=lambda: 1000.0)
    assert store.acquire()
    return store


def test_changes_and_snapshots_outlive_the_process(tmp_path: Path) -> None:
    kept = Kept(tmp_path / "configuration")
    kept.snapshot(5, "a", "b", "c")
    kept.change(put(customer("d", 2.0), customer("a", 3.0)))
    kept.change(remove("b"))
    kept.store.close()
    store = again(tmp_path / "configuration")
    assert kept.holds(store)
    store.close()


def test_versions_may_be_left_out_where_several_changes_were_applied_as_one(tmp_path: Path) -> None:
    kept = Kept(tmp_path)
    kept.snapshot(5, "a", "b", "c")
    kept.position = Position(3, 8)
    kept.change(put(customer("d", 2.0)))
    kept.store.close()
    assert kept.holds(again(tmp_path)) and kept.position.version == 9


def test_an_empty_folder_holds_nothing(tmp_path: Path) -> None:
    found = again(tmp_path / "configuration").load()
    assert (found.position, found.entries, found.age, found.fault) == (NO_POSITION, (), None, "")


def test_the_log_is_compacted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(change_log, "MIN_COMPACTED_BYTES", 2000)
    kept = Kept(tmp_path)
    for number in range(500):
        kept.change(put(customer(f"c{number % 7}", float(number))))
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 10_000
    kept.store.close()
    assert kept.holds(again(tmp_path))


@pytest.mark.parametrize("cut", [1, 5, 20, 30])
def test_a_torn_end_costs_the_last_change_alone(tmp_path: Path, cut: int) -> None:
    kept = Kept(tmp_path)
    kept.snapshot(5, "a", "b", "c")
    kept.change(put(customer("d", 2.0)))
    whole = dict(kept.sink.by_key)
    kept.change(remove("a"))
    kept.store.close()
    log = tmp_path / "changes.log"
    log.write_bytes(log.read_bytes()[:-cut])
    store = again(tmp_path)
    found = store.load()
    assert found.position.version == 6 and {entry.key: entry for entry in found.entries} == whole
    kept.position, kept.store, kept.sink.by_key = found.position, store, whole
    kept.change(put(customer("e", 2.0)))
    store.close()
    assert kept.holds(again(tmp_path))


def spoil(path: Path, place: int) -> None:
    data = bytearray(path.read_bytes())
    data[place] ^= 0x40
    path.write_bytes(data)


def test_any_spoilt_byte_leaves_a_state_that_was_in_force_or_nothing(tmp_path: Path) -> None:
    kept = Kept(tmp_path / "whole")
    kept.snapshot(5, "a", "b", "c")
    for number in range(4):
        kept.change(put(customer("d", float(number))))
    kept.store.close()
    states = [sorted(map(str, state)) for state in kept.sink.history]
    for name in ("changes.log", "snapshot"):
        data = (tmp_path / "whole" / name).read_bytes()
        for place in range(0, len(data), 3):
            folder = tmp_path / f"{name}{place}"
            folder.mkdir()
            for file in (tmp_path / "whole").iterdir():
                (folder / file.name).write_bytes(file.read_bytes())
            spoil(folder / name, place)
            store = again(folder)
            found = store.load()
            assert found.fault or place == 0 or found.position.version == 9, (name, place)
            assert sorted(str(entry.key) for entry in found.entries) in states
            if found.position == NO_POSITION:  # begins anew, and keeps what comes then
                fresh = Kept.__new__(Kept)
                fresh.store, fresh.sink, fresh.position = store, MemorySink(), Position(3, 20)
                fresh.change(put(customer("z", 1.0)))
                store.close()
                assert fresh.holds(again(folder))
            else:
                assert 5 <= found.position.version <= 9
                store.close()


def test_what_a_full_disk_left_out_is_written_with_the_next_change(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = Kept(tmp_path)
    kept.snapshot(5, "a", "b", "c")

    def full(log: ChangeLog, record: Record) -> None:
        raise OSError("no room left")

    with monkeypatch.context() as patched:
        patched.setattr(ChangeLog, "append", full)
        with pytest.raises(OSError, match="no room"):
            kept.change(remove("a"))
    kept.change(put(customer("d", 1.0)))
    kept.store.close()
    assert kept.holds(again(tmp_path))


def test_what_a_full_disk_left_out_is_written_by_a_retry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = Kept(tmp_path)

    def full(*told: object) -> None:
        raise OSError("no room left")

    with monkeypatch.context() as patched:
        patched.setattr(ChangeLog, "append", full)
        patched.setattr(ChangeLog, "compact", full)
        with pytest.raises(OSError, match="no room"):
            kept.change(put(customer("a", 1.0)))
        assert not kept.store.retry(kept.position, kept.sink.digest, kept.sink.entries)
    assert kept.store.retry(kept.position, kept.sink.digest, kept.sink.entries)
    kept.store.close()
    assert kept.holds(again(tmp_path))


def test_the_age_outlives_the_process(tmp_path: Path) -> None:
    kept = Kept(tmp_path)
    kept.change(put(customer("a", 1.0)))
    kept.store.confirm(age=7.0)
    kept.store.close()
    store = ConfigurationStore(tmp_path, wall=lambda: 1050.0)
    assert store.load().age == 57.0
    set_back = ConfigurationStore(tmp_path, wall=lambda: 900.0)
    assert set_back.load().age == 0.0


def test_a_second_process_reads_and_writes_nothing_until_the_first_has_ended(tmp_path: Path) -> None:
    kept = Kept(tmp_path)
    kept.snapshot(5, "a", "b", "c")
    kept.change(put(customer("d", 2.0)))
    second = ConfigurationStore(tmp_path)
    assert not second.acquire() and kept.holds(second)
    # As if the first one were in the middle of writing a record.
    log = tmp_path / "changes.log"
    whole = log.read_bytes()
    log.write_bytes(whole[:-3])
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    assert second.load().position.version == 5
    second.confirm(age=0.0)
    with pytest.raises(OSError, match="not this process's"):
        second.replace(Position(3, 9), 0, [])
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    log.write_bytes(whole)
    kept.change(remove("a"))  # the first goes on
    kept.store.close()
    assert second.acquire() and kept.holds(second)
    kept.store = second
    kept.change(remove("b"))
    second.close()
    assert kept.holds(again(tmp_path))


def test_a_second_process_that_reads_during_a_compaction_finds_a_whole_state(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """At each step of the first one's compaction, and where it is killed there."""
    steps = 0

    class KilledError(Exception):
        pass

    for stop in range(12):
        folder = tmp_path / str(stop)
        kept = Kept(folder)
        kept.snapshot(5, "a", "b", "c")
        kept.change(put(customer("d", 2.0)))
        states = [sorted(map(str, state)) for state in kept.sink.history]
        kept.sink.apply_change(remove("a"))
        states.append(sorted(map(str, kept.sink.by_key)))
        calls = 0

        def look(
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

                def watched(*told: object, call: object = call, name: str = name, **more: object) -> object:
                    look(name)
                    return call(*told, **more)  # type: ignore[operator]

                if name == "rename":
                    patched.setattr(os, name, watched)
                else:
                    patched.setattr(f"laureldock.replication.change_log.os.{name}", watched)
            try:
                kept.store.replace(Position(3, 7), kept.sink.digest, [encode_entries(kept.sink.entries())])
            except KilledError:
                pass
            else:
                break
        kept.store.close()
        found = again(folder).load()
        assert sorted(str(entry.key) for entry in found.entries) in states
        assert found.position.version in (5, 6, 7)
    assert steps >= 3


def test_the_folder_takes_nothing_from_the_room_of_the_spool(tmp_path: Path) -> None:
    kept = Kept(tmp_path / "configuration")
    kept.snapshot(5, *(f"name{number}" for number in range(2000)))
    beside, alone = Spool(tmp_path, 1e5), Spool(tmp_path / "configuration", 1e5)
    assert beside.unknown_files() == [] and not beside.is_shared

    def room(spool: Spool) -> int:
        spool.open()
        mails = (
            StoredMessage(b"m%d" % number, None, "news", "", b"", 7, 1e12, b"x" * 100)
            for number in range(999)
        )
        return sum(spool.accept(mail) for mail in mails)

    assert 0 < room(beside) == room(alone) < 999
    beside.close()
    alone.close()
    kept.store.close()
    assert kept.holds(again(tmp_path / "configuration"))
