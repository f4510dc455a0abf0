"""What was accepted is still owed, and what was refused is not, while the disk fails or the clock is set."""

from __future__ import annotations

import contextlib
import json
import os
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from pathlib import Path
from typing import Any

import pytest
import structlog
from dock import Quay
from pytest import approx

from laureldock.core.messages import StoredMessage
from laureldock.logs import LossyStream
from laureldock.outlets.lines import LineFile, Lines
from laureldock.rehearsal.soak.system_calls import FaultInjector, FaultWindow, SystemCallFault
from laureldock.stores.spool import Spool
from laureldock.stores.spool_records import encode_message, encode_record

HOUR = 3600.0


@contextmanager
def failing(
    folder: Path, fault: SystemCallFault, seed: int = 1, share: float = 1.0
) -> Iterator[FaultInjector]:
    """The disk below a folder fails."""
    calls = FaultInjector(folder, seed, [FaultWindow(fault, -inf, inf, share)])
    calls.install()
    try:
        yield calls
    finally:
        calls.remove()


def kill(quay: Quay) -> None:
    """The process ends as by SIGKILL: its timers and its lock go, its folder stays."""
    store: Any = quay.dispatcher.store
    store.close()
    timers: Any = quay.reactor.getDelayedCalls()
    for timer in list(timers):
        timer.cancel()


def hooks(quay: Quay) -> list[str]:
    """Names of the messages that receivers were sent, in turn."""
    return [line.partition("X-Call-Id: ")[2].split(" ")[0] for line in quay.lines if "POST /hook" in line]


def notices(quay: Quay) -> list[str]:
    """Names of the messages that ended by a notice, in turn."""
    posts = [line for line in quay.lines if "POST /v1/notices" in line]
    return [part.split('"')[3] for line in posts for part in line.split(" | ") if '"message"' in part]


def test_a_stepped_wall_clock_between_two_lives_moves_no_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An hour forward once gave up all that was owed untried; an hour back, and none ended in its time."""
    for number, step in enumerate((HOUR, -HOUR)):
        folder = tmp_path / str(number)
        folder.mkdir()
        quay = Quay(folder, monkeypatch)
        quay.late = {"1"}
        quay.put(quay.client(), "m1", "charge")
        kill(quay)
        monkeypatch.setattr("time.time", lambda quay=quay, step=step: 1e9 + quay.reactor.seconds() + step)
        quay.lines.clear()
        quay.start()
        quay.after(0.5)
        assert not notices(quay), step
        quay.after(9.0)
        assert notices(quay) == ["m1"], step
        quay.late = set()
        quay.after(1.0)
        assert not hooks(quay), step


def test_what_was_told_busy_while_writes_failed_never_runs_nor_ends_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Half of the writes fail, then the process is killed. What it told stays true in the next life."""
    for seed in range(12):
        folder = tmp_path / str(seed)
        folder.mkdir()
        quay = Quay(folder, monkeypatch)
        quay.late = {"1"}
        told = {}
        with failing(quay.state, SystemCallFault.DISK_ERROR, seed, 0.5):
            for number in range(140):
                client = quay.client(f"client-{number}")
                quay.put(client, f"m{number:03}", "charge", left=3000)
                said = [line for line in quay.lines if f"client-{number}:" in line]
                told[f"m{number:03}"] = said[-1].split()[-1] if said else ""
            quay.after(0.2)
        kill(quay)
        ended = notices(quay)
        quay.late = set()
        quay.start()
        for _ in range(80):
            quay.after(0.05)
            for pipe in list(quay.pipes):
                if pipe.name == "1" and pipe.asked:
                    quay.answer("1", "200 OK")
        refused = [name for name, word in told.items() if word == "-BUSY" or word.isdigit()]
        taken = [name for name, word in told.items() if word == "+OK"]
        assert refused and taken
        ran, ends = hooks(quay), [*hooks(quay), *notices(quay)]
        assert not set(refused) & {*ran, *ends}, (seed, "told BUSY, and more came of it")
        assert not set(ended) & set(ran), (seed, "ended by a notice, and ran in the next life")
        assert sorted(ends) == sorted(taken), (seed, "not one end for each that was accepted")


def test_short_writes_whose_truncation_fails_lose_nothing_that_was_accepted(tmp_path: Path) -> None:
    """A half record in the middle of the file once hid all that was written behind it."""
    spool = Spool(tmp_path, 1e6)
    spool.open()
    taken = []
    with failing(tmp_path, SystemCallFault.DISK_SHORT, share=0.5):
        for number in range(100):
            name = b"m%d" % number
            if spool.take(StoredMessage(name, None, "news", "x", b"", 7, 1e12, bytes(50 + number))):
                taken.append(name)
    spool.close()
    assert taken and list(Spool(tmp_path, 1e6, writes=False).owed) == taken


def test_bytes_of_a_failed_write_never_read_as_a_record(tmp_path: Path) -> None:
    """What a write left behind lies past the end, and may hold a record at just the right place."""
    spool = Spool(tmp_path, 1e6)
    spool.open()
    assert spool.take(message(b"m0", b""))
    forged, _ = encode_record(encode_message(message(b"forged", b"")), 0)
    failed, _ = encode_record(encode_message(message(b"m2", forged * 3)), 0)
    with failing(tmp_path, SystemCallFault.DISK_ERROR):
        assert not spool.take(message(b"m2", b""))
    os.pwrite(spool.file, failed[:-1], spool.size)
    assert spool.take(message(b"m1", b""))
    spool.close()
    assert list(Spool(tmp_path, 1e6, writes=False).owed) == [b"m0", b"m1"]


def test_a_file_of_an_older_release_is_taken_over_with_its_times_of_the_wall_clock(tmp_path: Path) -> None:
    lines = [
        b'["mail","m1",null,"news","x","",7,%.1f,0,null,null]\nhello' % (time.time() + 60),
        b'["mail","m2",null,"news","x","",7,%.1f,0,null,null]\nhello' % (time.time() + 60),
        b'["out","m1",%.1f]\n' % (time.time() - 5),
        b'["over","m2"]\n',
    ]
    (tmp_path / "spool").write_bytes(b"".join(encode_record(line)[0] for line in lines))
    for _ in range(2):  # as it was written, and as it is written anew
        spool = Spool(tmp_path, 1e6)
        spool.open()
        assert list(spool.owed) == [b"m1"]
        owed = spool.owed[b"m1"]
        assert owed.out is not None
        assert (owed.end - time.monotonic(), time.monotonic() - owed.out) == approx((60, 5), abs=1)
        assert (owed.attempts, owed.body) == (1, b"hello")
        spool.close()


def message(name: bytes, body: bytes) -> StoredMessage:
    return StoredMessage(name, None, "news", "x", b"", 7, 1e12, body)


class Notices:
    """The core as an outlet sees it, with timers run by hand."""

    def __init__(self) -> None:
        self.taken: list[bytes] = []
        self.due: list[Any] = []
        self.log: Any = structlog.get_logger()
        self.counters: Counter[str] = Counter()

    def noticed(self, name: bytes) -> None:
        self.taken.append(name)

    def now(self) -> float:
        return 0.0

    def later(self, after: float, call: Any, *args: Any) -> Any:
        self.pause = after
        self.due.append(call)

    def run(self) -> None:
        due, self.due = self.due, []
        for call in due:
            call()


def test_each_notice_is_a_line_once_while_writes_end_early_and_after_a_half_line(tmp_path: Path) -> None:
    """A half line that could not be cut off once swallowed the next, and lines before it came twice."""
    path = tmp_path / "undelivered.jsonl"
    path.write_bytes(b'{"message":"m0"}\n{"mess')  # as a kill may leave it
    core = Notices()
    lines = Lines(core, path)
    with (
        failing(tmp_path, SystemCallFault.DISK_ERROR, share=0.7),
        failing(tmp_path, SystemCallFault.DISK_SHORT, share=0.7),
    ):
        for number in range(1, 60):
            name = b"m%d" % number
            lines.put(name, b'{"message":"%s"}\n' % name)
            core.run()
    while lines.waiting:
        core.run()
    whole = [json.loads(line)["message"] for line in path.read_bytes().splitlines() if line.endswith(b"}")]
    assert whole == [f"m{number}" for number in range(60)]
    assert core.taken == [b"m%d" % number for number in range(1, 60)]


def test_a_log_that_cannot_be_written_is_dropped(tmp_path: Path) -> None:
    with open("/dev/full", "w", buffering=1, encoding="utf-8") as full:
        stream = LossyStream(full)
        for _ in range(3):
            stream.write("a line\n")
            stream.flush()
        assert stream.dropped >= 3
        with contextlib.suppress(OSError):
            full.close()


def test_a_notice_whose_file_fails_for_a_moment_is_no_second_late(tmp_path: Path) -> None:
    """A pause of a second before the next try made an end late by that much."""
    core = Notices()
    lines = Lines(core, tmp_path / "undelivered.jsonl")
    with failing(tmp_path, SystemCallFault.DISK_ERROR):
        lines.put(b"m1", b'{"message":"m1"}\n')
        core.run()
    assert not core.taken and core.pause <= 0.1
    core.run()
    assert core.taken == [b"m1"]


def test_a_store_that_fails_is_not_said_to_work_before_a_write_has_succeeded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing was queued, so that a retry had nothing to write, and each draw met the failure anew."""
    quay = Quay(tmp_path, monkeypatch)
    quay.late = {"1"}
    quay.put(quay.client(), "m1")
    with failing(quay.state, SystemCallFault.DISK_ERROR):
        quay.late = set()
        quay.after(2.0)
        assert quay.dispatcher.records.failing
        assert quay.dispatcher.counters["connects"] == 1
    quay.after(0.1)
    assert not quay.dispatcher.records.failing and hooks(quay) == ["m1"]


def test_two_processes_of_one_dispatcher_write_no_line_over_each_other(tmp_path: Path) -> None:
    """While one hands over to the next, both have the file of notices open."""
    path = tmp_path / "undelivered.jsonl"
    first = LineFile(path)
    with pytest.raises(BlockingIOError):
        LineFile(path)
    first.append(b"one\n")
    first.close()
    second = LineFile(path)
    second.append(b"two\n")
    second.close()
    assert path.read_bytes() == b"one\ntwo\n"


def test_a_planned_stop_waits_for_the_record_of_what_was_delivered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ended with the record unwritten, and the next life sent the message once more."""
    quay = Quay(tmp_path, monkeypatch)
    quay.put(quay.client(), "m1", "order", "key")
    stopped: list[None] = []
    with failing(quay.state, SystemCallFault.DISK_ERROR):
        quay.answer("1", "200 OK")
        quay.assembly.stop().addCallback(stopped.append)
        quay.after(2.0)
        assert not stopped and quay.dispatcher.store.behind
    quay.after(0.2)
    assert stopped and not quay.dispatcher.store.owed
    quay.start()
    quay.after(1.0)
    assert hooks(quay) == ["m1"]
