"""Two processes of one dispatcher share a folder while one hands over to the next."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher

from laureldock.core.messages import StoredMessage
from laureldock.stores.spool import Spool


def mail(name: bytes, key: str | None = None) -> StoredMessage:
    return StoredMessage(name, key, "news", "", b"", 7, 1e12, b"body")


def test_the_next_process_writes_its_own_file_and_takes_over_what_the_last_one_leaves(tmp_path: Path) -> None:
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.take(mail(b"a", "k1")) and old.take(mail(b"b", "k2")) and old.take(mail(b"c"))
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.sharing and new.path.name == "spool.1" and not new.owed
    assert new.take(mail(b"d", "k1"))
    assert sorted(new.read_peers().keys) == ["k1", "k2"]
    assert [*old.read_peers().keys] == ["k1"]  # the old one sees the new file too
    old.over(b"b")
    assert [*new.read_peers().keys] == ["k1"] and new.adopt() == []  # still alive: nothing is taken

    old.close()  # its process ends, and with it the lock
    assert sorted(owed.name for owed in new.adopt()) == [b"a", b"c"]
    assert not new.sharing and new.path.name == "spool.1" and not new.read_peers().keys
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "spool.1"
    ]  # a name is never taken from another
    new.close()
    assert sorted(Spool(tmp_path, 3e6, writes=False).owed) == [b"a", b"c", b"d"]


def test_a_file_left_by_a_process_that_died_is_taken_over_at_the_start(tmp_path: Path) -> None:
    old, new = Spool(tmp_path, 3e6), None
    old.open()
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.take(mail(b"n"))
    old.take(mail(b"o"))
    new.close()
    old.close()  # both gone: the next start owes what each had
    again = Spool(tmp_path, 3e6)
    again.open()
    assert sorted(again.owed) == [b"n", b"o"] and not again.sharing
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool"]


def test_a_wait_told_to_one_process_is_read_by_the_other(tmp_path: Path) -> None:
    old = Spool(tmp_path, 3e6)
    old.open()
    old.wait("r1", 50.0, now=40.0)
    old.wait("r2", 60.0, now=55.0)
    old._renew()  # what is over goes, what binds stays
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.read_peers().waits == {"r2": 60.0}
    new.wait("r3", 70.0, now=55.0)
    old.wait("r2", 65.0, now=55.0)
    assert (old.read_peers().keys, old.read_peers().waits) == ({}, {"r3": 70.0})
    assert (new.read_peers().keys, new.read_peers().waits) == ({}, {"r2": 65.0})


def test_nothing_goes_to_a_route_that_told_the_other_process_to_wait(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """A new process beside the old one sent what the old one had been told to hold."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.handed_down = True
    beside = Spool(dispatcher.folder, 1e6)
    beside.open()
    store: Any = dispatcher.core.store
    store.held.append(beside.path)  # as if it had been there at the start
    dispatcher.core.recovery.watch_processes()
    beside.wait("r1", dispatcher.core.now() + 0.5, now=0.0)
    dispatcher.advance(0.1)
    dispatcher.put(dispatcher.connect_client(), "m")
    dispatcher.advance(0.2)
    assert not [line for line in dispatcher.lines if "POST" in line], dispatcher.lines
    dispatcher.advance(0.4)
    assert [line for line in dispatcher.lines if "POST" in line], dispatcher.lines


def test_what_an_ended_process_owes_is_adopted_once_though_reads_and_writes_fail(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """A failure in the middle once left messages owed by the file and held by nobody until the next start."""
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.take(mail(b"a")) and old.take(mail(b"b"))
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.take(mail(b"c"))
    old.close()
    with monkeypatch.context() as failing:
        failing.setattr(Path, "read_bytes", refuse)
        assert new.adopt() == [] and new.sharing
    with monkeypatch.context() as failing:
        failing.setattr(os, "pwrite", refuse)
        failing.setattr(os, "rename", refuse)
        assert sorted(owed.name for owed in new.adopt()) == [b"a", b"b"]
        assert new.behind and not new.sharing
        assert not new.take(mail(b"d"))  # nothing is told before it is recorded
    assert new.adopt() == []  # once
    assert not new.behind and sorted(path.name for path in tmp_path.iterdir()) == ["spool.1"]
    new.close()
    assert sorted(Spool(tmp_path, 3e6, writes=False).owed) == [b"a", b"b", b"c"]


def test_a_file_of_an_ended_process_that_cannot_be_removed_holds_up_all_records(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """Else what is over here would be owed again by the next start, which reads that file too."""
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.take(mail(b"a"))
    new = Spool(tmp_path, 3e6)
    new.open()
    old.close()
    with monkeypatch.context() as failing:
        failing.setattr(Path, "unlink", refuse)
        assert [owed.name for owed in new.adopt()] == [b"a"]
        with pytest.raises(OSError):
            new.out(b"a", 1.0, "n1")
        assert new.owed[b"a"].out is None
    new.out(b"a", 1.0, "n1")
    assert not new.behind and not (tmp_path / "spool").exists()  # the old one; its own keeps its number


def refuse(*_: Any, **__: Any) -> None:
    raise OSError(errno.EIO, os.strerror(errno.EIO))
