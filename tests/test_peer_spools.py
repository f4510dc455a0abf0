"""Reads of peer processes' spool files while these grow, are compacted, taken over and renamed."""

from __future__ import annotations

import errno
import os
import time
from math import inf
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher

from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import RouteRecord, SharedRecords
from laureldock.file_locks import open_locked
from laureldock.stores import peer_spools
from laureldock.stores.peer_spool import PeerSpool
from laureldock.stores.spool import Spool
from laureldock.stores.spool_records import encode_payload

DISK = 3e6


def message(name: str, key: str | None = None, accepted_at: float = -inf) -> StoredMessage:
    found = StoredMessage(name.encode(), key, "order", "", b"", 7, 1e12, b"body")
    found.accepted_at = accepted_at
    return found


def spool(folder: Path) -> Spool:
    found = Spool(folder, DISK)
    found.open()
    return found


def refuse(*_: Any, **__: Any) -> Any:
    raise OSError(errno.EIO, os.strerror(errno.EIO))


def test_each_read_has_what_was_recorded_before_it(tmp_path: Path) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    for number in range(50):
        name = f"m{number}"
        writer, reader = (old, new) if number % 2 else (new, old)
        assert writer.accept(message(name, "k", float(number)))
        assert name.encode() in reader.read_peers().accepted_at
        if number % 7 == 0:
            writer._compact()
            assert name.encode() in reader.read_peers().accepted_at
    assert new.read_peers().first_accepted("k") == 1.0
    old.record_finished(b"m1")
    assert new.read_peers().first_accepted("k") == 3.0
    assert new.read_peers().knows(b"m1")  # remembered for a moment


def test_calls_in_flight_are_counted_until_they_end(tmp_path: Path) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    for name in ("a", "b", "c", "d"):
        assert old.accept(message(name))
        old.record_attempt_start(name.encode(), 1.0, "r1" if name == "a" else "r2")
    assert new.read_peers().calls_in_flight == 4
    assert new.read_peers().calls_by_route == {"r1": 1, "r2": 3}
    old.record_not_run(b"a")
    old.record_attempt_end(b"b")
    old.record_finished(b"c")
    assert new.read_peers().calls_in_flight == 1
    old._compact()
    assert new.read_peers().calls_in_flight == 1
    assert new.read_peers().calls_by_route == {"r2": 1}
    assert old.pending[b"b"].first_may_have_run_at == 1.0 and old.pending[b"b"].in_flight_since is None


def test_cooldowns_and_routes_are_read_and_survive_a_compaction(tmp_path: Path) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    old.record_cooldown("k", 50.0, now=40.0)
    recovered_at = time.monotonic()
    failed, recovered = RouteRecord(None, recovered_at - 1), RouteRecord(recovered_at, recovered_at)
    old.record_route("r1", failed)
    old.record_route("r2", failed)
    old.record_route("r2", recovered)
    for _ in range(2):
        view = new.read_peers()
        assert view.cooldowns == {"k": 50.0}
        assert view.routes == {"r1": failed, "r2": recovered}
        old._compact()
    old.close()
    assert Spool(tmp_path, DISK, writes=False).cooldowns == {"k": 50.0}


def adopt_after_listing(successor: Spool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a process take over ended files right after a reader has listed the folder for the first time."""
    real, steps = peer_spools.list_spools, iter([successor.adopt])

    def listing(folder: Path) -> dict[int, Path]:
        found = real(folder)
        for step in steps:
            step()
        return found

    monkeypatch.setattr(peer_spools, "list_spools", listing)


def test_a_message_is_seen_by_a_third_process_throughout_a_takeover(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The file is removed once the successor has written its own, so the message is always in one of them."""
    first, successor, third = spool(tmp_path), spool(tmp_path), spool(tmp_path)
    assert first.accept(message("m", "k", 1.0))
    assert third.read_peers().first_accepted("k") == 1.0
    first.close()
    adopt_after_listing(successor, monkeypatch)
    assert third.read_peers().first_accepted("k") == 1.0
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool.1", "spool.2"]
    assert third.read_peers().first_accepted("k") == 1.0


def test_a_message_is_seen_by_a_process_that_knows_only_the_successor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reader has the successor's file open, which is compacted while it looks for the other file."""
    successor, third = spool(tmp_path), spool(tmp_path)
    assert third.read_peers().processes == 1
    first = spool(tmp_path)
    assert first.accept(message("m", "k", 1.0))
    successor.read_peers()
    first.close()
    adopt_after_listing(successor, monkeypatch)
    assert third.read_peers().first_accepted("k") == 1.0


def test_an_unreadable_file_does_not_count_as_empty(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    assert old.accept(message("m", "k", 1.0))
    with monkeypatch.context() as failing:
        failing.setattr(PeerSpool, "read", refuse)
        with pytest.raises(OSError):
            new.read_peers()
    assert new.read_peers().first_accepted("k") == 1.0


def test_a_client_is_refused_while_a_peer_spool_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An unreadable peer once counted as having nothing pending. -BUSY is harmless; nothing is sent."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.shares_listening_socket = True
    beside = spool(dispatcher.folder)
    with monkeypatch.context() as failing:
        failing.setattr(PeerSpool, "read", refuse)
        dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")
        assert dispatcher.lines[-1].endswith("-BUSY"), dispatcher.lines
        assert dispatcher.core.counters["refused: other processes cannot be read"] == 1
    dispatcher.advance(0.2)
    dispatcher.put(dispatcher.connect_client(), "m2", "order", "key")
    assert any("X-Call-Id: m2" in line for line in dispatcher.lines), dispatcher.lines
    beside.close()


def test_an_id_that_a_peer_process_has_is_not_accepted_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client whose connection broke repeats its request, and may reach the other process."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.shares_listening_socket = True
    beside = spool(dispatcher.folder)
    end = dispatcher.core.now() + 5
    assert beside.accept(StoredMessage(b"m1", None, "charge", "", b"", 7, end, b"body"))
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    assert "client" not in dispatcher.lines[-1], (
        dispatcher.lines
    )  # it gives up before it would be told of the failure
    dispatcher.advance(0.7)
    assert dispatcher.lines[-1].endswith("-ERR"), dispatcher.lines
    beside.close()  # that process ends: this one takes over the message, and accepts its repeat
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    assert any(line.endswith("-> client: +OK") for line in dispatcher.lines), dispatcher.lines
    dispatcher.advance(0.2)
    assert sum("X-Call-Id: m1" in line for line in dispatcher.lines) == 1


def test_sockets_and_disk_are_shared_while_a_peer_process_runs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once the next process kept half of the limits for good, and the old one all of them until its stop."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.shares_listening_socket = True
    store: Any = dispatcher.core.store
    alone = (
        dispatcher.assembly.room.max_sockets,
        dispatcher.front.max_connections,
        dispatcher.front.max_idle,
        store.max_pending_bytes,
    )
    beside = spool(dispatcher.folder)
    assert dispatcher.core.peers.read()
    shared = (
        dispatcher.assembly.room.max_sockets,
        dispatcher.front.max_connections,
        dispatcher.front.max_idle,
        store.max_pending_bytes,
    )
    assert all(each <= before / 2 for each, before in zip(shared, alone, strict=True))
    beside.close()
    dispatcher.core.recovery.adopt()
    assert dispatcher.core.peers.read()
    assert alone == (
        dispatcher.assembly.room.max_sockets,
        dispatcher.front.max_connections,
        dispatcher.front.max_idle,
        store.max_pending_bytes,
    )


def test_a_lock_on_a_replaced_file_does_not_lock_its_path(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A third process once took over the file of a running one, through a lock on the file before it."""
    path, real = tmp_path / "spool", os.open

    def replaced(name: Any, flags: int, *rest: Any) -> int:
        file = real(name, flags, *rest)
        fresh = tmp_path / "fresh"
        fresh.write_bytes(b"")
        os.rename(fresh, path)  # between the open and the lock
        return file

    monkeypatch.setattr(os, "open", replaced)
    assert open_locked(path) is None


def test_a_process_that_starts_beside_a_successor_uses_the_free_name(tmp_path: Path) -> None:
    """The successor once renamed its file over the file of a process that had just started."""
    first, successor = spool(tmp_path), spool(tmp_path)
    assert successor.accept(message("m", "k", 1.0))
    first.close()
    assert successor.adopt() == [] and successor.path.name == "spool.1"
    started = spool(tmp_path)
    assert started.path.name == "spool" and started.accept(message("n", "k", 2.0))
    for _ in range(3):
        assert successor.adopt() == [] and started.adopt() == []
        assert started.read_peers().first_accepted("k") == 1.0
        assert successor.read_peers().first_accepted("k") == 2.0
        successor._compact()
        started._compact()
    started.close()
    assert [each.name for each in successor.adopt()] == [b"n"]


def test_messages_of_a_key_are_sent_in_order_of_acceptance_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Messages that were taken over come later in the file, although they were accepted earlier."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.store.close()  # type: ignore[attr-defined]
    now = dispatcher.core.now()
    store = spool(dispatcher.folder)
    for name, accepted_at in (("second", now - 1.0), ("first", now - 2.0), ("third", now - 0.5)):
        stored = StoredMessage(name.encode(), "key", "order", "x", b"", 7, now + 9, b"hello")
        stored.accepted_at = accepted_at
        assert store.accept(stored)
    store.close()
    dispatcher.start()
    for name in ("first", "second", "third"):
        calls = [line for line in dispatcher.lines if "POST /hook" in line]
        assert f"X-Call-Id: {name} " in calls[-1], calls
        dispatcher.respond("1", "200 OK")
        dispatcher.rest()
    assert sum("POST /hook" in line for line in dispatcher.lines) == 3


def test_messages_in_a_file_of_an_older_release_count_as_accepted_when_read(tmp_path: Path) -> None:
    """Such a file has no times of acceptance: its messages come before any that is accepted afterwards."""
    old, new = spool(tmp_path), spool(tmp_path)
    assert old.accept(message("m", "k"))
    before = time.monotonic()
    assert before <= new.read_peers().first_accepted("k") <= time.monotonic()


def test_the_newest_record_of_a_route_counts_whichever_process_made_it(tmp_path: Path) -> None:
    """The record of an ended process may be older than what its successor has seen of that route."""
    now = time.monotonic()
    old, new, third = spool(tmp_path), spool(tmp_path), spool(tmp_path)
    old.record_route("r1", RouteRecord(None, now - 2))
    new.record_route("r1", RouteRecord(now - 1, now - 1))
    old.record_route("r2", RouteRecord(None, now - 1))
    new.record_route("r2", RouteRecord(now - 2, now - 2))
    latest = {"r1": RouteRecord(now - 1, now - 1), "r2": RouteRecord(None, now - 1)}
    assert third.read_peers().routes == latest
    old.close()
    new.adopt()
    assert new.inherit_records().routes == {"r2": RouteRecord(None, now - 1)}
    assert new.inherit_records() == SharedRecords()
    assert third.read_peers().routes == latest
    new.close()
    third.close()
    assert spool(tmp_path).inherit_records().routes == latest


def test_a_route_failure_recorded_by_an_older_release_is_inherited(tmp_path: Path) -> None:
    """Such a record has no time, and counts as older than any that has one."""
    old, new = spool(tmp_path), spool(tmp_path)
    old._queue(encode_payload(["route", "r1", None]))
    old._queue(encode_payload(["route", "r2", None]))
    recovered = RouteRecord(time.monotonic(), time.monotonic())
    new.record_route("r2", recovered)
    assert new.read_peers().routes["r1"].recovered_at is None
    old.close()
    new.adopt()
    inherited = new.inherit_records().routes
    assert [name for name, each in inherited.items() if each.recovered_at is None] == ["r1"]
    assert new.routes["r2"] == recovered
