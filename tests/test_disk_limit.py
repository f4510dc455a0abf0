"""All files of the spool together stay within the limit on the folder, at each call that changes a file."""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
import random
import subprocess
import sys
import time
from math import inf
from pathlib import Path

import pytest
from disk_usage import DiskUsage, folder_bytes
from drivers import PLATFORM_SETTINGS

from laureldock.core import MAX_BODY_BYTES
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import RouteRecord
from laureldock.interface import QueueClass, RepeatSafety
from laureldock.rehearsal.soak.system_calls import FaultInjector, FaultWindow, SystemCallFault
from laureldock.stores.disk_room import RefusedDiskError, check_disk, holds_largest_message, required_disk
from laureldock.stores.spool import Spool

LIMIT = 300_000  # bytes
LIFETIME = 60.0  # seconds


def queue_class(importance: float = 5.0) -> QueueClass:
    return QueueClass(RepeatSafety.ONCE_ONLY, importance, 2.0, LIFETIME, 0.5, False, name="charge")


def message(name: str, size: int = 1200, key: str | None = None, importance: float = 5.0) -> StoredMessage:
    now = time.monotonic()
    return StoredMessage(
        name.encode(), key, "charge", "x", b"t" * 16, 7, now + LIFETIME, bytes(size), accepted_at=now,
        accepted_class=queue_class(importance),
    )  # fmt: skip


def open_spool(folder: Path, limit: float = LIMIT) -> Spool:
    spool = Spool(folder, limit)
    spool.open()
    return spool


def fill(spool: Spool, prefix: str, size: int = 1200) -> list[str]:
    """Accept messages until one is refused; returns their names."""
    names: list[str] = []
    while spool.accept(message(f"{prefix}-{len(names):06}", size)):
        names.append(f"{prefix}-{len(names):06}")
    return names


def finish(spool: Spool, names: list[str]) -> None:
    for name in names:
        spool.record_attempt_start(name.encode(), time.monotonic(), "r" * 40)
        spool.record_finished(name.encode(), accepted=True)


def test_a_rewritten_file_has_room_for_all_that_it_keeps(tmp_path: Path) -> None:
    """The names of finished messages, waits and routes had no room: two files were beyond the limit."""
    usage, spool = DiskUsage(tmp_path), open_spool(tmp_path)
    held: list[str] = []
    for number in range(1500):
        with usage.watched():
            if spool.accept(message(f"large-{number:06}", 9000)):
                held.append(f"large-{number:06}")
            if spool.accept(message(f"small-{number:06}", 300)):
                finish(spool, [f"small-{number:06}"])
            now = time.monotonic()
            spool.record_requested_wait(f"route-{number % 50}", now + 60, now)
            spool.record_cooldown(f"key-{number % 50}", now + 60, now)
            spool.record_route(f"route-{number % 50}", RouteRecord(now, now))
    assert len(held) > 5 and usage.most <= LIMIT, usage.files
    spool.close()
    assert sorted(Spool(tmp_path, LIMIT, writes=False).pending) == sorted(name.encode() for name in held)


def test_an_upgrade_beside_a_full_spool_stays_within_the_limit(tmp_path: Path) -> None:
    """The old process's file, the new one's and its rewrite were 1.3 times the limit."""
    usage, old = DiskUsage(tmp_path), open_spool(tmp_path)
    with usage.watched():
        for turn in range(4):  # its file has grown by what is finished
            held = fill(old, f"old{turn}", 2000)
            if turn < 3:
                finish(old, held)
        new = open_spool(tmp_path)
        old.read_peers()
        old.share_disk(2)
        new.share_disk(2)
        finish(old, held[: len(held) // 3])
        taken = fill(new, "new")
        assert taken  # what the old one finished makes room
        finish(new, taken[::2])
        old.close()  # as by SIGKILL
        adopted = new.adopt()
        new.share_disk(1)
        assert {each.name.decode() for each in adopted} == set(held[len(held) // 3 :])
        finish(new, [each.name.decode() for each in adopted])
        assert fill(new, "later")
    assert usage.most <= LIMIT, usage.files
    new.close()


class KilledError(BaseException):
    """The process is killed here."""


class World:
    """Up to three processes that share a folder, are killed at random, and follow one another."""

    def __init__(self, folder: Path, seed: int, failing_writes: float) -> None:
        self.failing_writes = failing_writes  # part of the writes
        windows = [
            FaultWindow(fault, -inf, inf, failing_writes)
            for fault in (SystemCallFault.DISK_ERROR, SystemCallFault.DISK_SHORT)
        ]
        self.faults = FaultInjector(folder, seed, windows)
        self.rng, self.folder, self.usage = random.Random(seed), folder, DiskUsage(folder)
        self.limit = self.rng.choice([60_000, 150_000, 400_000])
        self.running: list[Spool] = []
        self.owed: set[str] = set()  # accepted, and not finished
        self.in_doubt: set[str] = set()  # finished, or being accepted, when a kill may have come between
        self.usage.before_rename = self.may_be_killed
        self.taken = 0

    def may_be_killed(self) -> None:
        if self.rng.random() < 0.1:
            raise KilledError

    def step(self, name: str) -> None:
        """One process does something, and looks at the others."""
        if not self.running or (len(self.running) < 3 and self.rng.random() < 0.02):
            with contextlib.suppress(OSError):  # a start that fails is tried again
                self.running.append(Spool(self.folder, self.limit))
        if not self.running:
            return
        spool = self.rng.choice(self.running)
        try:
            if not spool.path.exists() or not spool.size:
                spool.open()
            with contextlib.suppress(OSError):
                self.act(spool, name)
            spool.adopt()
            with contextlib.suppress(OSError):
                spool.read_peers()
            spool.share_disk(1 + len(spool.peer_paths))
            if self.rng.random() < 0.01:
                raise KilledError
        except KilledError:
            spool._limit._depth = 0
            spool.close()
            self.running.remove(spool)

    def act(self, spool: Spool, name: str) -> None:
        now, mine = time.monotonic(), sorted(each.decode() for each in spool.pending)
        match self.rng.randrange(8):
            case 0 | 1 | 2:
                size, importance = self.rng.choice([50, 900, 5000]), float(self.rng.randrange(4))
                self.in_doubt.add(name)
                if spool.accept(message(name, size, self.rng.choice([None, "k" * 30]), importance)):
                    self.owed.add(name)
                    self.taken += 1
                if not self.failing_writes:  # a part that was written may be read by the next process
                    self.in_doubt.remove(name)
            case 3 | 4 if mine:
                done = self.rng.choice(mine)
                self.owed.discard(done)
                self.in_doubt.add(done)
                spool.record_finished(done.encode(), self.rng.choice([None, True, False]))
            case 5 if mine:
                route = "r" * self.rng.choice([5, 40, 200])
                spool.record_attempt_start(self.rng.choice(mine).encode(), now, route)
            case 6 if mine:
                text = b'{"message":"x","outcome":"handed_back","retry_in_ms":12345}\n'
                spool.record_notice(self.rng.choice(mine).encode(), text)
            case 7:
                spool.record_requested_wait(f"route-{self.rng.randrange(9)}", now + 9, now)
                spool.record_cooldown(f"key-{self.rng.randrange(9)}", now + 9, now)
                spool.record_route(f"route-{self.rng.randrange(9)}", RouteRecord(None, now))


@pytest.mark.parametrize("failing_writes", [0.0, 0.05])
@pytest.mark.parametrize("seed", range(8))
def test_three_processes_stay_within_the_limit_whatever_they_do(
    tmp_path: Path, seed: int, failing_writes: float
) -> None:
    """Each once reckoned with a part of the folder that the others used, or that a killed one had left."""
    world = World(tmp_path, seed, failing_writes)
    world.faults.install()
    try:
        for number in range(1500):
            with world.usage.watched():
                world.step(f"m{seed}-{number:06}")
            assert world.usage.most <= world.limit, (number, world.usage.files)
    finally:
        world.faults.remove()
    for each in world.running:
        each.close()
    left = {name.decode() for name in Spool(tmp_path, world.limit, writes=False).pending}
    assert world.owed <= left <= world.owed | world.in_doubt
    assert world.taken > 50


def test_a_new_file_that_a_kill_left_is_counted_and_removed(tmp_path: Path) -> None:
    """Only the file of the same name was removed at a start; that of another process stayed for good."""
    spool = open_spool(tmp_path)
    fill(spool, "m")
    spool.close()
    for name in ("spool.new", "spool.1.new", "spool.2.new"):
        (tmp_path / name).write_bytes(bytes(LIMIT // 10))
    usage = DiskUsage(tmp_path)
    again = Spool(tmp_path, LIMIT)
    with usage.watched():
        again.open()
        finish(again, [name.decode() for name in again.pending])
    assert sorted(each.name for each in tmp_path.iterdir()) == ["spool"] and usage.most <= LIMIT
    again.close()


def test_a_file_that_another_process_is_rewriting_is_not_removed(tmp_path: Path) -> None:
    """A process of an earlier release takes no lock on the folder, but one on its new file."""
    spool, path = open_spool(tmp_path), tmp_path / "spool.1.new"
    with path.open("wb") as rewritten:
        fcntl.flock(rewritten, fcntl.LOCK_EX)
        spool._compact()
        assert path.exists()
    spool._compact()
    assert not path.exists()
    spool.close()


def test_finished_names_last_for_their_lifetime_however_full_the_folder(tmp_path: Path) -> None:
    """They had a quarter of the room: after a restart, requests with older names ran a second time."""
    spool, names = open_spool(tmp_path), []
    for number in range(1000):
        if spool.accept(message(f"m-{number:06}", 10)):
            names.append(f"m-{number:06}")
            finish(spool, names[-1:])
    assert len(names) > 600
    spool.close()
    again = open_spool(tmp_path)
    assert all(again.finished_reply(name.encode()) for name in names)
    again.close()


def test_messages_of_a_folder_beyond_its_limit_are_kept(tmp_path: Path) -> None:
    """A lower limit than before leaves no room for a rewrite: nothing is lost, and nothing is taken on."""
    spool = open_spool(tmp_path)
    names = fill(spool, "m")
    spool.close()
    again = open_spool(tmp_path, LIMIT / 2)
    before = folder_bytes(tmp_path)
    assert not again.accept(message("more")) and len(again.pending) == len(names)
    assert folder_bytes(tmp_path) <= max(before, LIMIT / 2)
    again.close()
    assert len(Spool(tmp_path, LIMIT, writes=False).pending) == len(names)


def test_while_another_process_holds_the_folder_nothing_is_written(tmp_path: Path) -> None:
    """A process that is stopped there must not make each write of the others wait."""
    spool, other = open_spool(tmp_path), open_spool(tmp_path)
    with other._limit:
        assert not spool.accept(message("m"))
        since = time.process_time(), time.monotonic()
        assert not any(spool.accept(message(f"m{number}")) for number in range(100))
        assert time.monotonic() - since[1] - (time.process_time() - since[0]) < 1.0  # 50 ms each before
        with pytest.raises(OSError):
            spool.record_requested_wait("r", 1.0, 0.0)
    spool.flush()
    assert not spool.has_unwritten and spool.accept(message("m"))
    assert os.stat(spool.path).st_size
    spool.close()
    other.close()


def test_a_limit_that_is_too_small_says_so_at_the_start(tmp_path: Path) -> None:
    """Such a process once started as if all was well, and answered -BUSY to every message."""
    with pytest.raises(RefusedDiskError, match=r"a limit of 9 kB on the state folder is too small"):
        check_disk(9e3)
    config = {
        "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "7",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 64, "disk_mb": 0.009},
        "known": {"seq": 1, "whole": True, "hosts": []}, "settings": PLATFORM_SETTINGS,
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(tmp_path / "config.json"), "LB_STATE": str(tmp_path)}
    ended = subprocess.run(
        [sys.executable, "-m", "laureldock", "serve"], env=environment, capture_output=True, timeout=60
    )
    assert ended.returncode == 1 and b"cannot start: a limit of 9 kB" in ended.stderr


@pytest.mark.parametrize("body", [0, MAX_BODY_BYTES])
def test_the_least_limit_for_a_message_holds_it(tmp_path: Path, body: int) -> None:
    spool = open_spool(tmp_path, required_disk(body))
    assert spool.accept(message("m" * 16, body, "k" * 16))
    assert folder_bytes(tmp_path) <= required_disk(body)
    assert holds_largest_message(required_disk(body), 1) is (body == MAX_BODY_BYTES)
    spool.close()
