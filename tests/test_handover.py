"""Two processes of one dispatcher share a folder during a handover."""

from __future__ import annotations

import copy
import errno
import os
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher
from socket_dispatcher import SocketDispatcher

from laureldock.core.messages import StoredMessage
from laureldock.stores.spool import Spool


def message(name: bytes, key: str | None = None) -> StoredMessage:
    return StoredMessage(name, key, "news", "", b"", 7, 1e12, b"body")


def test_the_next_process_writes_its_own_file_and_takes_over_that_of_the_previous(tmp_path: Path) -> None:
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.accept(message(b"a", "k1")) and old.accept(message(b"b", "k2")) and old.accept(message(b"c"))
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.is_shared and new.path.name == "spool.1" and not new.pending
    assert new.accept(message(b"d", "k1"))
    assert sorted(new.read_peers().accepted_by_key) == ["k1", "k2"]
    assert [*old.read_peers().accepted_by_key] == ["k1"]  # the old process reads the new file too
    old.record_finished(b"b")
    assert [*new.read_peers().accepted_by_key] == [
        "k1"
    ] and new.adopt() == []  # still running: nothing is taken over

    old.close()  # its process ends, which releases the lock
    assert sorted(adopted.name for adopted in new.adopt()) == [b"a", b"c"]
    assert not new.is_shared and new.path.name == "spool.1" and not new.read_peers().accepted_by_key
    # A file never takes the name of another.
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool.1"]
    new.close()
    assert sorted(Spool(tmp_path, 3e6, writes=False).pending) == [b"a", b"c", b"d"]


def test_a_file_left_by_an_ended_process_is_taken_over_at_the_start(tmp_path: Path) -> None:
    old, new = Spool(tmp_path, 3e6), None
    old.open()
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.accept(message(b"n"))
    old.accept(message(b"o"))
    new.close()
    old.close()  # both have ended: the next start takes over what each had pending
    again = Spool(tmp_path, 3e6)
    again.open()
    assert sorted(again.pending) == [b"n", b"o"] and not again.is_shared
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool"]


def test_a_requested_wait_is_read_by_the_peer_process(tmp_path: Path) -> None:
    old = Spool(tmp_path, 3e6)
    old.open()
    old.record_requested_wait("r1", 50.0, now=40.0)
    old.record_requested_wait("r2", 60.0, now=55.0)
    old._compact()  # the expired wait is dropped, the other stays
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.read_peers().requested_waits == {"r2": 60.0}
    new.record_requested_wait("r3", 70.0, now=55.0)
    old.record_requested_wait("r2", 65.0, now=55.0)
    assert (old.read_peers().accepted_by_key, old.read_peers().requested_waits) == ({}, {"r3": 70.0})
    assert (new.read_peers().accepted_by_key, new.read_peers().requested_waits) == ({}, {"r2": 65.0})


def test_nothing_is_sent_to_a_route_that_asked_the_peer_process_to_wait(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """The new process once sent what the receiver had asked the old process to hold back."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.shares_listening_socket = True
    peer_spool = Spool(dispatcher.folder, 1e6)
    peer_spool.open()
    store: Any = dispatcher.core.store
    store.peer_paths.append(peer_spool.path)  # as if it had been there at the start
    dispatcher.core.recovery.watch_peer_processes()
    peer_spool.record_requested_wait("r1", dispatcher.core.now() + 0.5, now=0.0)
    dispatcher.advance(0.1)
    dispatcher.put(dispatcher.connect_client(), "m")
    dispatcher.advance(0.2)
    assert not [line for line in dispatcher.lines if "POST" in line], dispatcher.lines
    dispatcher.advance(0.4)
    assert [line for line in dispatcher.lines if "POST" in line], dispatcher.lines


def test_messages_of_an_ended_process_are_adopted_once_though_reads_and_writes_fail(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """A failure in the middle once left messages in the file that no process held until the next start."""
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.accept(message(b"a")) and old.accept(message(b"b"))
    new = Spool(tmp_path, 3e6)
    new.open()
    assert new.accept(message(b"c"))
    old.close()
    with monkeypatch.context() as failing:
        failing.setattr(Path, "read_bytes", fail)
        assert new.adopt() == [] and new.is_shared
    with monkeypatch.context() as failing:
        failing.setattr(os, "pwrite", fail)
        failing.setattr(os, "rename", fail)
        assert sorted(adopted.name for adopted in new.adopt()) == [b"a", b"b"]
        assert new.has_unwritten and not new.is_shared
        assert not new.accept(message(b"d"))  # nothing is accepted before it is recorded
    assert new.adopt() == []  # once
    assert not new.has_unwritten and sorted(path.name for path in tmp_path.iterdir()) == ["spool.1"]
    new.close()
    assert sorted(Spool(tmp_path, 3e6, writes=False).pending) == [b"a", b"b", b"c"]


def test_no_record_is_written_while_the_file_of_an_ended_process_cannot_be_removed(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """The next start reads that file too; messages finished here would be pending again."""
    old = Spool(tmp_path, 3e6)
    old.open()
    assert old.accept(message(b"a"))
    new = Spool(tmp_path, 3e6)
    new.open()
    old.close()
    with monkeypatch.context() as failing:
        failing.setattr(Path, "unlink", fail)
        assert [adopted.name for adopted in new.adopt()] == [b"a"]
        with pytest.raises(OSError):
            new.record_attempt_start(b"a", 1.0, "n1")
        assert new.pending[b"a"].in_flight_since is None
    new.record_attempt_start(b"a", 1.0, "n1")
    assert not new.has_unwritten and not (tmp_path / "spool").exists()  # the new file keeps its number


def fail(*_: Any, **__: Any) -> None:
    raise OSError(errno.EIO, os.strerror(errno.EIO))


def test_a_key_goes_on_after_a_peer_process_without_a_passed_socket_has_ended(tmp_path: Path) -> None:
    """What a peer process had pending stayed in force after its end: its keys never went on."""
    old = SocketDispatcher(tmp_path)
    old.start_until_ready()
    client = old.connect_client()
    client.send(old.put_request("a", "order", key="k") + old.put_request("b", "order", key="k"))
    old.step_until(lambda: client.receive() == b"+OK\r\n+OK\r\n")
    old.wait_for_call("a")
    new = copy.copy(old)
    new.start_until_ready()
    assert new.core.store.is_shared and not new.core.shares_listening_socket
    old.kill()
    new.step_until(lambda: not new.core.store.is_shared)
    for connection in new.receiver.connections:
        connection.close()
    new.receiver.connections.clear()
    for name in "ab":
        new.respond(name)
    new.step_until(lambda: not new.core.store.pending)
    new.close()
