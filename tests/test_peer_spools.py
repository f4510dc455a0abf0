"""What one process reads of the others' files, while these grow, are written anew, taken over and renamed."""

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
from laureldock.core.peer_view import RouteRecord
from laureldock.file_locks import open_locked
from laureldock.stores import peer_spools
from laureldock.stores.peer_spool import PeerSpool
from laureldock.stores.spool import Spool
from laureldock.stores.spool_records import encode_payload

DISK = 3e6


def message(name: str, key: str | None = None, accepted: float = -inf) -> StoredMessage:
    found = StoredMessage(name.encode(), key, "order", "", b"", 7, 1e12, b"body")
    found.accepted = accepted
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
        assert writer.take(message(name, "k", float(number)))
        assert name.encode() in reader.read_peers().accepted
        if number % 7 == 0:
            writer._renew()
            assert name.encode() in reader.read_peers().accepted
    assert new.read_peers().first_accepted("k") == 1.0
    old.over(b"m1")
    assert new.read_peers().first_accepted("k") == 3.0
    assert new.read_peers().knows(b"m1")  # for a moment


def test_calls_that_are_out_are_counted_until_their_end(tmp_path: Path) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    for name in ("a", "b", "c", "d"):
        assert old.take(message(name))
        old.out(name.encode(), 1.0, "r1" if name == "a" else "r2")
    assert new.read_peers().calls_out == 4
    assert new.read_peers().calls_to == {"r1": 1, "r2": 3}
    old.back(b"a")
    old.end(b"b")
    old.over(b"c")
    assert new.read_peers().calls_out == 1
    old._renew()
    assert new.read_peers().calls_out == 1
    assert new.read_peers().calls_to == {"r2": 1}
    assert old.owed[b"b"].ran == 1.0 and old.owed[b"b"].out is None


def test_rests_and_routes_are_read_and_outlive_a_renewal(tmp_path: Path) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    old.rest("k", 50.0, now=40.0)
    back_at = time.monotonic()
    failed, returned = RouteRecord(None, back_at - 1), RouteRecord(back_at, back_at)
    old.route("r1", failed)
    old.route("r2", failed)
    old.route("r2", returned)
    for _ in range(2):
        view = new.read_peers()
        assert view.rests == {"k": 50.0}
        assert view.routes == {"r1": failed, "r2": returned}
        old._renew()
    old.close()
    assert Spool(tmp_path, DISK, writes=False).rests == {"k": 50.0}


def adopt_once_listed(heir: Spool, monkeypatch: pytest.MonkeyPatch) -> None:
    """It takes over what it can right after a reader has listed the folder for the first time."""
    real, steps = peer_spools.list_spools, iter([heir.adopt])

    def listing(folder: Path) -> dict[int, Path]:
        found = real(folder)
        for step in steps:
            step()
        return found

    monkeypatch.setattr(peer_spools, "list_spools", listing)


def test_a_message_is_seen_by_a_third_process_throughout_a_take_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The ended process's file goes once the heir has written its own: between two looks it is in either."""
    first, heir, third = spool(tmp_path), spool(tmp_path), spool(tmp_path)
    assert first.take(message("m", "k", 1.0))
    assert third.read_peers().first_accepted("k") == 1.0
    first.close()
    adopt_once_listed(heir, monkeypatch)
    assert third.read_peers().first_accepted("k") == 1.0
    assert sorted(path.name for path in tmp_path.iterdir()) == ["spool.1", "spool.2"]
    assert third.read_peers().first_accepted("k") == 1.0


def test_a_message_is_seen_by_a_process_that_knows_the_heir_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It has the heir's file open, which is written anew while it looks for that of the ended process."""
    heir, third = spool(tmp_path), spool(tmp_path)
    assert third.read_peers().processes == 1
    first = spool(tmp_path)
    assert first.take(message("m", "k", 1.0))
    heir.read_peers()
    first.close()
    adopt_once_listed(heir, monkeypatch)
    assert third.read_peers().first_accepted("k") == 1.0


def test_what_cannot_be_read_is_not_taken_for_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    old, new = spool(tmp_path), spool(tmp_path)
    assert old.take(message("m", "k", 1.0))
    with monkeypatch.context() as failing:
        failing.setattr(PeerSpool, "read", refuse)
        with pytest.raises(OSError):
            new.read_peers()
    assert new.read_peers().first_accepted("k") == 1.0


def test_a_client_is_refused_while_another_process_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It once counted as owing nothing. -BUSY does no harm; nothing is sent either."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.handed_down = True
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


def test_an_id_that_another_process_has_is_not_taken_a_second_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client whose connection broke sends its request once more, and may come to the other process."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.handed_down = True
    beside = spool(dispatcher.folder)
    end = dispatcher.core.now() + 5
    assert beside.take(StoredMessage(b"m1", None, "charge", "", b"", 7, end, b"body"))
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    assert "client" not in dispatcher.lines[-1], (
        dispatcher.lines
    )  # it has given up before it would hear that it failed
    dispatcher.advance(0.7)
    assert dispatcher.lines[-1].endswith("-ERR"), dispatcher.lines
    beside.close()  # its process ends: the message is this one's now, and so is the client's
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    assert any(line.endswith("-> client: +OK") for line in dispatcher.lines), dispatcher.lines
    dispatcher.advance(0.2)
    assert sum("X-Call-Id: m1" in line for line in dispatcher.lines) == 1


def test_sockets_and_disk_are_shared_for_as_long_as_another_process_lives(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next process once kept to half of them for its life; the last one to all until its stop."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.handed_down = True
    store: Any = dispatcher.core.store
    alone = dispatcher.assembly.room.most, dispatcher.front.most, dispatcher.front.most_idle, store.max_owed
    beside = spool(dispatcher.folder)
    assert dispatcher.core.peers.read()
    shared = dispatcher.assembly.room.most, dispatcher.front.most, dispatcher.front.most_idle, store.max_owed
    assert all(each <= before / 2 for each, before in zip(shared, alone, strict=True))
    beside.close()
    dispatcher.core.recovery.adopt()
    assert dispatcher.core.peers.read()
    assert alone == (
        dispatcher.assembly.room.most,
        dispatcher.front.most,
        dispatcher.front.most_idle,
        store.max_owed,
    )


def test_a_lock_on_a_file_that_was_replaced_is_none_on_its_path(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A third process once took over a living one's file, by the lock of the one that stood there before."""
    path, real = tmp_path / "spool", os.open

    def replaced(name: Any, flags: int, *rest: Any) -> int:
        file = real(name, flags, *rest)
        fresh = tmp_path / "fresh"
        fresh.write_bytes(b"")
        os.rename(fresh, path)  # between the open and the lock
        return file

    monkeypatch.setattr(os, "open", replaced)
    assert open_locked(path) is None


def test_a_process_that_starts_beside_an_heir_takes_the_free_name(tmp_path: Path) -> None:
    """The heir once took the first name by a rename, over the file of a process that had just started."""
    first, heir = spool(tmp_path), spool(tmp_path)
    assert heir.take(message("m", "k", 1.0))
    first.close()
    assert heir.adopt() == [] and heir.path.name == "spool.1"
    started = spool(tmp_path)
    assert started.path.name == "spool" and started.take(message("n", "k", 2.0))
    for _ in range(3):
        assert heir.adopt() == [] and started.adopt() == []
        assert started.read_peers().first_accepted("k") == 1.0
        assert heir.read_peers().first_accepted("k") == 2.0
        heir._renew()
        started._renew()
    started.close()
    assert [each.name for each in heir.adopt()] == [b"n"]


def test_messages_of_a_key_go_in_the_order_of_their_acceptance_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What was taken over stands behind in the file, and was accepted before."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.core.store.close()  # type: ignore[attr-defined]
    now = dispatcher.core.now()
    store = spool(dispatcher.folder)
    for name, accepted in (("second", now - 1.0), ("first", now - 2.0), ("third", now - 0.5)):
        stored = StoredMessage(name.encode(), "key", "order", "x", b"", 7, now + 9, b"hello")
        stored.accepted = accepted
        assert store.take(stored)
    store.close()
    dispatcher.start()
    for name in ("first", "second", "third"):
        calls = [line for line in dispatcher.lines if "POST /hook" in line]
        assert f"X-Call-Id: {name} " in calls[-1], calls
        dispatcher.respond("1", "200 OK")
    assert sum("POST /hook" in line for line in dispatcher.lines) == 3


def test_a_file_of_an_older_release_counts_from_when_it_is_read(tmp_path: Path) -> None:
    """It has no time of acceptance: what is read before another is accepted comes before it."""
    old, new = spool(tmp_path), spool(tmp_path)
    assert old.take(message("m", "k"))
    before = time.monotonic()
    assert before <= new.read_peers().first_accepted("k") <= time.monotonic()


def test_what_was_seen_of_a_route_last_counts_whoever_saw_it(tmp_path: Path) -> None:
    """The record of a process that ended was older than what its heir had seen of that route itself."""
    now = time.monotonic()
    old, new, third = spool(tmp_path), spool(tmp_path), spool(tmp_path)
    old.route("r1", RouteRecord(None, now - 2))
    new.route("r1", RouteRecord(now - 1, now - 1))
    old.route("r2", RouteRecord(None, now - 1))
    new.route("r2", RouteRecord(now - 2, now - 2))
    latest = {"r1": RouteRecord(now - 1, now - 1), "r2": RouteRecord(None, now - 1)}
    assert third.read_peers().routes == latest
    old.close()
    new.adopt()
    assert new.inherit_routes() == {"r2": RouteRecord(None, now - 1)} and not new.inherit_routes()
    assert third.read_peers().routes == latest
    new.close()
    third.close()
    assert spool(tmp_path).inherit_routes() == latest


def test_a_route_that_an_older_release_saw_fail_is_inherited(tmp_path: Path) -> None:
    """Its record does not say when, and is older than any that does."""
    old, new = spool(tmp_path), spool(tmp_path)
    old._queue(encode_payload(["route", "r1", None]))
    old._queue(encode_payload(["route", "r2", None]))
    returned = RouteRecord(time.monotonic(), time.monotonic())
    new.route("r2", returned)
    assert new.read_peers().routes["r1"].back_at is None
    old.close()
    new.adopt()
    assert [name for name, each in new.inherit_routes().items() if each.back_at is None] == ["r1"]
    assert new.routes["r2"] == returned
