"""What another process of the dispatcher has recorded binds this one, however the two are scheduled.

The other process is a `Spool` beside a whole dispatcher: its last record falls between the dispatcher's last
read of its file and the moment at which that file is taken over.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from drivers import PLATFORM_SETTINGS, InMemoryDispatcher
from test_handover import fail, message

from laureldock.stores.spool import Spool

WAIT = 1.0  # seconds
Record = Callable[[Spool], None]


class Upgrade:
    """A dispatcher whose previous process still runs, as far as its file shows."""

    def __init__(self, folder: Path, monkeypatch: Any, routes: str = "1") -> None:
        self.monkeypatch = monkeypatch
        self.dispatcher = InMemoryDispatcher(folder, monkeypatch, routes=routes)
        self.previous = self.launch_peer()
        self.watch_peers()
        self.client = self.dispatcher.connect_client()

    def launch_peer(self) -> Spool:
        """One more process of the dispatcher."""
        peer = Spool(self.dispatcher.folder, 1e6)
        peer.open()
        return peer

    def end_dispatcher(self) -> None:
        """End the dispatcher's process, as far as its file shows."""
        store: Any = self.dispatcher.core.store
        store.close()

    def watch_peers(self) -> None:
        """Begin to read the files of other processes."""
        self.dispatcher.core.shares_listening_socket = True
        self.dispatcher.core.recovery.watch_peer_processes()
        assert self.dispatcher.core.store.is_shared

    @property
    def now(self) -> float:
        return self.dispatcher.core.now()

    def told_wait(self, route: str = "r1", seconds: float = WAIT) -> Record:
        """A record that a route told a process to wait, from now on."""
        now = self.now
        return lambda spool: spool.record_requested_wait(route, now + seconds, now)

    def before_taking_over(self, record: Record, *ended: Spool) -> None:
        """The previous process makes its last record and ends, after its file was last read."""
        store = self.dispatcher.core.store
        take_over = store.adopt

        def adopt() -> Any:
            self.monkeypatch.setattr(store, "adopt", take_over)
            record(self.previous)
            for each in ended or [self.previous]:
                each.close()
            return take_over()

        self.monkeypatch.setattr(store, "adopt", adopt)

    def take_over_with_faults(self) -> None:
        """Take over files, first while they cannot be read, then while the own one cannot be written."""
        core = self.dispatcher.core
        with self.monkeypatch.context() as failing:
            failing.setattr(Path, "read_bytes", fail)
            core.recovery.adopt()
        assert core.store.is_shared
        with self.monkeypatch.context() as failing:
            failing.setattr(os, "pwrite", fail)
            failing.setattr(os, "rename", fail)
            core.recovery.adopt()
        assert core.store.has_unwritten and not core.store.is_shared

    def calls(self) -> list[tuple[float, str]]:
        """When calls were sent, by the dispatcher's clock, and the ports of their receivers."""
        sent = [line.split() for line in self.dispatcher.lines if "POST /hook" in line]
        return [(100 + float(words[0]), words[2].rstrip(":")) for words in sent]

    def first_call_after_submitting(
        self, seconds: float = 2 * WAIT, queue_class: str = "news", key: str = "0"
    ) -> float:
        """When the first call was sent, after a message was handed in now."""
        self.dispatcher.put(self.client, "n", queue_class, key)
        self.dispatcher.advance(seconds)
        assert self.calls(), self.dispatcher.lines
        return self.calls()[0][0]


@pytest.mark.parametrize("way", ["round", "accepted message", "retry"])
def test_a_wait_recorded_right_before_its_file_is_taken_over_is_kept(
    tmp_path: Path, monkeypatch: Any, way: str
) -> None:
    """Guards against waits that only reads of a running process's file passed on, not its taking over."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    dispatcher, until = upgrade.dispatcher, upgrade.now + WAIT
    if way == "accepted message":  # the previous process knows its id: the file is taken over at once
        assert upgrade.previous.accept(message(b"m"))
        upgrade.previous.record_finished(b"m", accepted=True)
        dispatcher.core.peers.read()
    upgrade.before_taking_over(upgrade.told_wait())
    if way == "accepted message":
        dispatcher.put(upgrade.client, "m")
    elif way == "round":
        dispatcher.advance(0.05)
    else:
        upgrade.take_over_with_faults()
    assert not dispatcher.core.store.is_shared
    assert upgrade.first_call_after_submitting() >= until


def test_waits_of_two_processes_that_end_at_once_are_kept(tmp_path: Path, monkeypatch: Any) -> None:
    """Guards against a taking over that keeps the records of one file only."""
    upgrade = Upgrade(tmp_path, monkeypatch, routes="12")
    middle, until = upgrade.launch_peer(), upgrade.now + WAIT
    upgrade.dispatcher.core.peers.read()
    first, second = upgrade.told_wait("r1"), upgrade.told_wait("r2")

    def record(previous: Spool) -> None:
        first(previous)
        second(middle)

    upgrade.before_taking_over(record, upgrade.previous, middle)
    upgrade.dispatcher.advance(0.05)
    assert not upgrade.dispatcher.core.store.is_shared
    assert upgrade.first_call_after_submitting() >= until


def test_a_wait_binds_all_endpoints_that_share_the_limit_and_no_others(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """Guards against a wait that is taken over for the endpoint alone that told it, or for too many."""
    for shared in (True, False):
        with monkeypatch.context() as settings:
            family = {**PLATFORM_SETTINGS["family_info"], "routes_apart": [not shared]}
            settings.setitem(PLATFORM_SETTINGS, "family_info", family)
            folder = tmp_path / str(shared)
            folder.mkdir()
            upgrade = Upgrade(folder, monkeypatch, routes="12")
            until = upgrade.now + WAIT
            upgrade.before_taking_over(upgrade.told_wait("r1"))
            upgrade.dispatcher.advance(0.05)
            called_at = upgrade.first_call_after_submitting()
            assert (called_at >= until) is shared
            assert shared or upgrade.calls()[0][1] == "2"


def test_a_process_that_starts_as_another_ends_keeps_its_waits(tmp_path: Path, monkeypatch: Any) -> None:
    """Guards against waits in a file that a third process takes over at its start."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    until = upgrade.now + 3 * WAIT
    first: Any = upgrade.dispatcher.core.store
    upgrade.told_wait(seconds=3 * WAIT)(first)
    upgrade.dispatcher.start()  # a third process; the second, here a `Spool`, has not noticed the end yet
    assert upgrade.dispatcher.core.store.is_shared
    upgrade.client = upgrade.dispatcher.connect_client()
    upgrade.watch_peers()
    assert upgrade.first_call_after_submitting(4 * WAIT) >= until


def test_a_wait_outlives_two_upgrades(tmp_path: Path, monkeypatch: Any) -> None:
    """Guards against a wait that was taken over, but is not read by the process after that."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    until = upgrade.now + 3 * WAIT
    upgrade.before_taking_over(upgrade.told_wait(seconds=3 * WAIT))
    upgrade.dispatcher.advance(0.05)
    assert not upgrade.dispatcher.core.store.is_shared
    third = upgrade.launch_peer()  # reads the file of the second
    assert third.read_peers().requested_waits == {"r1": pytest.approx(until, abs=0.01)}
    upgrade.end_dispatcher()
    third.adopt()
    assert third.inherit_records().requested_waits == {"r1": pytest.approx(until, abs=0.01)}


def test_a_restart_ends_a_wait_for_all_processes_that_follow(tmp_path: Path, monkeypatch: Any) -> None:
    """By the platform's protocol; guards against waits of a time in which no process ran."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    upgrade.told_wait(seconds=30.0)(upgrade.previous)
    upgrade.end_dispatcher()
    upgrade.previous.close()
    upgrade.dispatcher.start()
    assert not upgrade.dispatcher.core.store.is_shared
    upgrade.client = upgrade.dispatcher.connect_client()
    began = upgrade.now
    assert upgrade.first_call_after_submitting() <= began + 0.05
    assert not upgrade.launch_peer().read_peers().requested_waits


def test_a_wait_that_is_over_holds_nobody_back(tmp_path: Path, monkeypatch: Any) -> None:
    """Guards against a taking over that begins a wait anew."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    upgrade.told_wait(seconds=0.5)(upgrade.previous)
    upgrade.dispatcher.advance(0.6)
    began = upgrade.now
    upgrade.before_taking_over(lambda spool: None)
    upgrade.dispatcher.advance(0.05)
    assert not upgrade.dispatcher.core.store.is_shared
    assert upgrade.first_call_after_submitting() <= began + 0.1


@pytest.mark.parametrize("owed", [False, True], ids=["nothing else owed", "a message owed"])
@pytest.mark.parametrize("way", ["round", "retry"])
def test_the_rest_of_a_key_recorded_right_before_its_file_is_taken_over_is_kept(
    tmp_path: Path, monkeypatch: Any, way: str, owed: bool
) -> None:
    """Guards against rests of keys that were taken over only beside messages."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    began = upgrade.now
    if owed:  # of another key
        assert upgrade.previous.accept(message(b"m", "other"))
        upgrade.dispatcher.core.peers.read()
    upgrade.before_taking_over(lambda spool: spool.record_cooldown("k", began + WAIT, began))
    if way == "retry":
        upgrade.take_over_with_faults()
    upgrade.dispatcher.advance(0.05)
    assert not upgrade.dispatcher.core.store.is_shared
    if owed:
        upgrade.dispatcher.respond("1", "200 OK")
    upgrade.first_call_after_submitting(queue_class="order", key="k")
    calls = [line for line in upgrade.dispatcher.lines if "POST /hook" in line and "X-Call-Id: n" in line]
    assert len(calls) == 1 and float(calls[0].split()[0]) + 100 >= began + WAIT, upgrade.dispatcher.lines


@pytest.mark.parametrize("kind", ["wait", "rest of a key", "wait of a destination"])
def test_the_time_that_ends_last_counts_after_a_rewrite(tmp_path: Path, kind: str) -> None:
    """Guards against a shorter wait or rest, recorded later, that replaced a longer one in the file."""
    old, new = Spool(tmp_path, 1e6), Spool(tmp_path, 1e6)
    old.open()
    record = {
        "wait": old.record_requested_wait,
        "rest of a key": old.record_cooldown,
        "wait of a destination": old.record_destination_wait,
    }[kind]
    record("name", 60.0, now=40.0)
    record("name", 50.0, now=41.0)
    for _ in range(2):
        view = new.read_peers()
        assert [*view.requested_waits.items(), *view.cooldowns.items(), *view.destination_waits.items()] == [
            ("name", 60.0)
        ]
        old._compact()


@pytest.mark.parametrize("ended", [False, True], ids=["still running", "ended"])
def test_a_wait_whose_first_write_failed_binds_once_it_is_written(
    tmp_path: Path, monkeypatch: Any, ended: bool
) -> None:
    """Guards against a record that is lost, or held back for good, by a write that failed at first."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    until, record = upgrade.now + WAIT, upgrade.told_wait()

    def record_at_the_second_try(previous: Spool) -> None:
        with monkeypatch.context() as failing:
            failing.setattr(os, "pwrite", fail)
            failing.setattr(os, "rename", fail)
            with pytest.raises(OSError):
                record(previous)
        assert previous.has_unwritten
        previous.flush()

    if ended:
        upgrade.before_taking_over(record_at_the_second_try)
    else:
        record_at_the_second_try(upgrade.previous)
    upgrade.dispatcher.advance(0.05)
    assert upgrade.dispatcher.core.store.is_shared is not ended
    assert upgrade.first_call_after_submitting() >= until
