"""Accepted messages stay pending, and refused ones do not, while the disk fails or the clock is set."""

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
from drivers import InMemoryDispatcher
from pytest import approx

from laureldock.core.messages import StoredMessage
from laureldock.delivery_connections import ExtraBytes
from laureldock.delivery_memory import MemoryBudget, MemoryRefusal
from laureldock.logs import LossyStream
from laureldock.outlets.lines import LineFile, LineOutlet
from laureldock.rehearsal.soak.system_calls import FaultInjector, FaultWindow, SystemCallFault
from laureldock.stores.spool import Spool
from laureldock.stores.spool_records import encode_message, encode_record

HOUR = 3600.0


@contextmanager
def failing(
    folder: Path, fault: SystemCallFault, seed: int = 1, share: float = 1.0
) -> Iterator[FaultInjector]:
    """Make calls on the disk of a folder fail."""
    calls = FaultInjector(folder, seed, [FaultWindow(fault, -inf, inf, share)])
    calls.install()
    try:
        yield calls
    finally:
        calls.remove()


def kill(dispatcher: InMemoryDispatcher) -> None:
    """End the process as by SIGKILL: its timers and its lock are gone, its folder stays."""
    store: Any = dispatcher.core.store
    store.close()
    timers: Any = dispatcher.reactor.getDelayedCalls()
    for timer in list(timers):
        timer.cancel()


def hooks(dispatcher: InMemoryDispatcher) -> list[str]:
    """Names of the messages that were sent to receivers, in order."""
    return [
        line.partition("X-Call-Id: ")[2].split(" ")[0] for line in dispatcher.lines if "POST /hook" in line
    ]


def notices(dispatcher: InMemoryDispatcher) -> list[str]:
    """Names of the messages that ended by a notice, in order."""
    posts = [line for line in dispatcher.lines if "POST /v1/notices" in line]
    return [part.split('"')[3] for line in posts for part in line.split(" | ") if '"message"' in part]


def test_a_wall_clock_step_between_two_processes_moves_no_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A step of an hour forward once ended all pending messages untried; a step back kept them too long."""
    for number, step in enumerate((HOUR, -HOUR)):
        folder = tmp_path / str(number)
        folder.mkdir()
        dispatcher = InMemoryDispatcher(folder, monkeypatch)
        dispatcher.not_connecting = {"1"}
        dispatcher.put(dispatcher.connect_client(), "m1", "charge")
        kill(dispatcher)
        monkeypatch.setattr(
            "time.time", lambda dispatcher=dispatcher, step=step: 1e9 + dispatcher.reactor.seconds() + step
        )
        dispatcher.lines.clear()
        dispatcher.start()
        dispatcher.advance(0.5)
        assert not notices(dispatcher), step
        dispatcher.advance(9.0)
        assert notices(dispatcher) == ["m1"], step
        dispatcher.not_connecting = set()
        dispatcher.advance(1.0)
        assert not hooks(dispatcher), step


def test_messages_refused_while_writes_fail_never_run_nor_end_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Half of the writes fail, then the process is killed. Its replies must hold in the next process."""
    for seed in range(12):
        folder = tmp_path / str(seed)
        folder.mkdir()
        dispatcher = InMemoryDispatcher(folder, monkeypatch)
        dispatcher.not_connecting = {"1"}
        replies = {}
        with failing(dispatcher.folder, SystemCallFault.DISK_ERROR, seed, 0.5):
            for number in range(140):
                client = dispatcher.connect_client(f"client-{number}")
                dispatcher.put(client, f"m{number:03}", "charge", lifetime=3000)
                lines = [line for line in dispatcher.lines if f"client-{number}:" in line]
                replies[f"m{number:03}"] = lines[-1].split()[-1] if lines else ""
            dispatcher.advance(0.2)
        kill(dispatcher)
        ended = notices(dispatcher)
        dispatcher.not_connecting = set()
        dispatcher.start()
        for _ in range(80):
            dispatcher.advance(0.05)
            for connection in list(dispatcher.connections):
                if connection.name == "1" and connection.awaits_response:
                    dispatcher.respond("1", "200 OK")
        refused = [name for name, word in replies.items() if word == "-BUSY" or word.isdigit()]
        accepted = [name for name, word in replies.items() if word == "+OK"]
        assert refused and accepted
        ran, ends = hooks(dispatcher), [*hooks(dispatcher), *notices(dispatcher)]
        assert not set(refused) & {*ran, *ends}, (seed, "refused with BUSY, and run or ended all the same")
        assert not set(ended) & set(ran), (seed, "ended by a notice, and run by the next process")
        assert sorted(ends) == sorted(accepted), (seed, "not one end for each accepted message")


def test_short_writes_whose_truncation_fails_lose_no_accepted_message(tmp_path: Path) -> None:
    """An incomplete record in the middle of the file once hid all records after it."""
    spool = Spool(tmp_path, 1e6)
    spool.open()
    accepted = []
    with failing(tmp_path, SystemCallFault.DISK_SHORT, share=0.5):
        for number in range(100):
            name = b"m%d" % number
            if spool.accept(StoredMessage(name, None, "news", "x", b"", 7, 1e12, bytes(50 + number))):
                accepted.append(name)
    spool.close()
    assert accepted and list(Spool(tmp_path, 1e6, writes=False).pending) == accepted


def test_bytes_of_a_failed_write_are_never_read_as_a_record(tmp_path: Path) -> None:
    """A failed write leaves bytes past the end, which may contain a valid record at the right offset."""
    spool = Spool(tmp_path, 1e6)
    spool.open()
    assert spool.accept(message(b"m0", b""))
    forged, _ = encode_record(encode_message(message(b"forged", b"")), 0)
    failed, _ = encode_record(encode_message(message(b"m2", forged * 3)), 0)
    with failing(tmp_path, SystemCallFault.DISK_ERROR):
        assert not spool.accept(message(b"m2", b""))
    os.pwrite(spool.file, failed[:-1], spool.size)
    assert spool.accept(message(b"m1", b""))
    spool.close()
    assert list(Spool(tmp_path, 1e6, writes=False).pending) == [b"m0", b"m1"]


def test_a_file_of_an_older_release_is_read_with_its_wall_clock_times(tmp_path: Path) -> None:
    lines = [
        b'["mail","m1",null,"news","x","",7,%.1f,0,null,null]\nhello' % (time.time() + 60),
        b'["mail","m2",null,"news","x","",7,%.1f,0,null,null]\nhello' % (time.time() + 60),
        b'["out","m1",%.1f]\n' % (time.time() - 5),
        b'["over","m2"]\n',
    ]
    (tmp_path / "spool").write_bytes(b"".join(encode_record(line)[0] for line in lines))
    for _ in range(2):  # as the older release wrote it, and after it is compacted
        spool = Spool(tmp_path, 1e6)
        spool.open()
        assert list(spool.pending) == [b"m1"]
        stored = spool.pending[b"m1"]
        assert stored.in_flight_since is not None
        assert (stored.expires_at - time.monotonic(), time.monotonic() - stored.in_flight_since) == approx(
            (60, 5), abs=1
        )
        assert (stored.attempts, stored.body) == (1, b"hello")
        spool.close()


def message(name: bytes, body: bytes) -> StoredMessage:
    return StoredMessage(name, None, "news", "x", b"", 7, 1e12, body)


class StubCore:
    """A stub of the core for an outlet, with timers run by hand."""

    def __init__(self) -> None:
        self.acknowledged: list[bytes] = []
        self.due: list[Any] = []
        self.log: Any = structlog.get_logger()
        self.counters: Counter[str] = Counter()
        self.memory = MemoryBudget()

    def notice_acknowledged(self, name: bytes) -> None:
        self.acknowledged.append(name)

    def now(self) -> float:
        return 0.0

    def call_later(self, delay: float, call: Any, *args: Any) -> Any:
        self.last_delay = delay
        self.due.append(call)

    def report_extra_bytes(self, peer: str, kind: ExtraBytes) -> None:
        """Notices to a file come with no responses."""

    def report_memory_refusal(self, refusal: MemoryRefusal, **facts: object) -> None:
        """Notices to a file hold no memory for peers."""

    def run(self) -> None:
        due, self.due = self.due, []
        for call in due:
            call()


def test_each_notice_is_one_line_despite_short_writes_and_an_incomplete_line(tmp_path: Path) -> None:
    """An incomplete line that could not be truncated once hid the next line, and earlier lines came twice."""
    path = tmp_path / "undelivered.jsonl"
    path.write_bytes(b'{"message":"m0"}\n{"mess')  # as a kill may leave it
    core = StubCore()
    lines = LineOutlet(core, path)
    with (
        failing(tmp_path, SystemCallFault.DISK_ERROR, share=0.7),
        failing(tmp_path, SystemCallFault.DISK_SHORT, share=0.7),
    ):
        for number in range(1, 60):
            name = b"m%d" % number
            lines.send_notice(name, b'{"message":"%s"}\n' % name)
            core.run()
    while lines.pending_count:
        core.run()
    whole = [json.loads(line)["message"] for line in path.read_bytes().splitlines() if line.endswith(b"}")]
    assert whole == [f"m{number}" for number in range(60)]
    assert core.acknowledged == [b"m%d" % number for number in range(1, 60)]


def test_a_log_that_cannot_be_written_is_dropped(tmp_path: Path) -> None:
    with open("/dev/full", "w", buffering=1, encoding="utf-8") as full:
        stream = LossyStream(full)
        for _ in range(3):
            stream.write("a line\n")
            stream.flush()
        assert stream.dropped >= 3
        with contextlib.suppress(OSError):
            full.close()


def test_a_notice_is_written_soon_after_a_short_failure_of_its_file(tmp_path: Path) -> None:
    """A retry after a whole second once made notices late by that much."""
    core = StubCore()
    lines = LineOutlet(core, tmp_path / "undelivered.jsonl")
    with failing(tmp_path, SystemCallFault.DISK_ERROR):
        lines.send_notice(b"m1", b'{"message":"m1"}\n')
        core.run()
    assert not core.acknowledged and core.last_delay <= 0.1
    core.run()
    assert core.acknowledged == [b"m1"]


def test_a_failing_store_counts_as_working_only_after_a_successful_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With nothing queued, a retry wrote nothing and counted as success, and each attempt failed again."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting = {"1"}
    dispatcher.put(dispatcher.connect_client(), "m1")
    with failing(dispatcher.folder, SystemCallFault.DISK_ERROR):
        dispatcher.not_connecting = set()
        dispatcher.advance(2.0)
        assert dispatcher.core.record_keeping.failing
        assert dispatcher.core.counters["connects"] == 1
    dispatcher.advance(0.1)
    assert not dispatcher.core.record_keeping.failing and hooks(dispatcher) == ["m1"]


def test_two_processes_of_one_dispatcher_do_not_overwrite_lines(tmp_path: Path) -> None:
    """During a handover both processes have the file of notices open."""
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
    """The process once ended with the record unwritten, and the next process sent the message again."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")
    stopped: list[None] = []
    with failing(dispatcher.folder, SystemCallFault.DISK_ERROR):
        dispatcher.respond("1", "200 OK")
        dispatcher.assembly.stop().addCallback(stopped.append)
        dispatcher.advance(2.0)
        assert not stopped and dispatcher.core.store.has_unwritten
    dispatcher.advance(0.2)
    assert stopped and not dispatcher.core.store.pending
    dispatcher.start()
    dispatcher.advance(1.0)
    assert hooks(dispatcher) == ["m1"]
