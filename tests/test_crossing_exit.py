"""Ends and starts of the process, each crossed by something that is still owed.

A kill falls between each pair of a mail's steps; the next life has the folder that the one before left.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Iterator
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from dock import Quay
from shore import Peer, Shore
from test_process import Process
from test_process import platform as platform  # a fixture

from laureldock.carriers.http import HttpCall
from laureldock.core.messages import StoredMessage
from laureldock.fronts.resp import ClientConnection
from laureldock.outlets.platform import PlatformOutlet
from laureldock.sockets.http_client import HttpConnection
from laureldock.stores.spool import Spool

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def shore(tmp_path: Path) -> Iterator[Shore]:
    here = Shore(tmp_path)
    yield here
    here.end()


# Each step of a mail by the call that takes it, and when a call is that step.
STEPS: dict[str, tuple[type, str, Callable[..., bool]]] = {
    "store written": (Spool, "accept", lambda *_: True),
    "attempt noted": (Spool, "record_attempt_start", lambda *_: True),
    "last byte out": (HttpConnection, "on_request_flushed", lambda line: isinstance(line.handler, HttpCall)),
    "answer read": (HttpCall, "finish", lambda *_: False),
    "+OK written": (ClientConnection, "on_reply_written", lambda client: client.unreplied is not None),
    "end noted": (Spool, "record_finished", lambda *_: True),
    "notice noted": (Spool, "record_notice", lambda *_: True),
    "notice sent": (PlatformOutlet, "request_written", lambda *_: True),
    "notice answered": (PlatformOutlet, "response_received", lambda *_: False),
}


class Death:
    """Kills the dispatcher once, right after a step: of what was read, before what that leads to."""

    def __init__(self, shore: Shore, monkeypatch: pytest.MonkeyPatch, step: str) -> None:
        self.came = False
        owner, name, due = STEPS[step]
        call = getattr(owner, name)

        def stepped(this: Any, *args: Any, **kwargs: Any) -> Any:
            if self.came:  # the process is gone: whatever was still to be done is not
                return None
            before = step in ("answer read", "notice answered")
            came = before or due(this, *args)
            done = None if before else call(this, *args, **kwargs)
            if came:
                self.came = True
                shore.kill()
            return done

        monkeypatch.setattr(owner, name, stepped)
        self.restore = monkeypatch.undo


def play(shore: Shore, death: Death, peer: Peer, name: str, answer: bytes) -> bool:
    """The receiver answers each call that comes to it, until the kill; whether the client was told `+OK`."""
    answered: set[Peer] = set()
    end = time.monotonic() + 8
    while not death.came:
        assert time.monotonic() < end, shore.core.counters
        shore.step(0.002)
        answer_calls(shore, answered, answer)
    death.restore()
    shore.platform.work()
    return peer.pull() == OK


def answer_calls(shore: Shore, answered: set[Peer], answer: bytes) -> None:
    for link in shore.receiver.peers:
        if link not in answered and link.link.fileno() >= 0 and b"\r\n\r\nhello" in link.pull():
            answered.add(link)
            if not link.ended:
                link.send(answer)


@pytest.mark.parametrize("sort", ["news", "order", "charge"])
@pytest.mark.parametrize("step", STEPS)
def test_a_kill_right_after_a_step_of_a_mail(
    shore: Shore, monkeypatch: pytest.MonkeyPatch, step: str, sort: str
) -> None:
    """What was answered +OK has one end; once-only goes out once, whatever its answer was."""
    answer = ERROR if "notice" in step else SERVED
    shore.ready()
    shore.settle()
    peer = shore.client()
    death = Death(shore, monkeypatch, step)
    peer.send(shore.put("a", sort, key="k", left=1500))
    told = play(shore, death, peer, "a", answer)
    before = shore.calls().count("a")
    shore.ready()
    answered: set[Peer] = set()
    end = time.monotonic() + 6
    while shore.core.store.pending or shore.core.outlet.pending_count:
        assert time.monotonic() < end, (shore.core.counters, shore.core.store.pending)
        answer_calls(shore, answered, answer)
        shore.step(0.002)
    calls, notices = shore.calls().count("a"), [json.loads(line) for line in shore.platform.notices]
    assert {notice["message"] for notice in notices} <= {"a"}
    if sort == "charge":
        assert calls <= 1
        if step in ("attempt noted", "last byte out", "answer read"):  # it may have run: no second time
            assert calls == before and [each["outcome"] for each in notices] == ["given_up"]
    if told:
        assert notices or (answer == SERVED and calls)
    if answer == SERVED and sort != "charge":
        assert calls and not notices
    if step in ("store written", "+OK written"):  # untried then, and tried
        assert calls
    # The key is free for the next once it has rested for a call that the kill, or a time-out, has broken.
    rested = time.monotonic() + shore.core.settings.key_cooldown_time + 0.1
    while shore.core.policy.key_queues:
        assert time.monotonic() < rested, shore.core.policy.key_queues
        shore.step(0.002)
        shore.core.run_turn()  # as any event brings


def test_a_notice_unanswered_at_the_kill_is_sent_again_and_clients_come_meanwhile(shore: Shore) -> None:
    shore.ready()
    shore.settle()
    shore.platform.takes_notices = False
    shore.receiver.door.close()
    peer = shore.client()
    peer.send(shore.put("a", left=300))
    shore.until(lambda: peer.pull() == OK and shore.core.outlet.pending_count)
    shore.kill()
    shore.ready()  # nobody answers notices
    other = shore.client()
    other.send(b"PING\r\n")
    shore.until(lambda: other.pull() == b"+PONG\r\n")
    shore.platform.takes_notices = True
    shore.until(lambda: not shore.core.store.pending)
    assert [json.loads(line)["message"] for line in shore.platform.notices] == ["a"]


def test_a_notice_whose_answer_is_cut_is_sent_again_and_ends_once(shore: Shore) -> None:
    shore.ready()
    shore.settle()
    shore.platform.takes_notices = False
    shore.receiver.door.close()
    peer = shore.client()
    peer.send(shore.put("a", left=300))
    posts: list[Peer] = []

    def posted() -> bool:
        posts[:] = [each for each in shore.platform.peers if b"POST /v1/notices" in each.got]
        return bool(posts)

    shore.until(posted)
    posts[0].send(b"HTTP/1.1 204 No Con")
    posts[0].reset()
    shore.platform.takes_notices = True
    shore.until(lambda: not shore.core.store.pending and not shore.core.outlet.pending_count)
    assert [json.loads(line)["message"] for line in shore.platform.notices] == ["a"]


def test_a_stop_before_the_list_has_answered_opens_no_door_and_keeps_what_is_owed(shore: Shore) -> None:
    shore.ready()
    peer = shore.client()
    peer.send(shore.put("a", "charge", left=9000))
    shore.until(lambda: peer.pull() == OK)
    shore.call("a")
    shore.kill()
    shore.platform.lists = False
    shore.begin()
    over: list[bool] = []
    shore.core.stop(lambda: over.append(True))
    shore.until(lambda: over, most=4.0)
    assert not shore.core.ready and list(shore.core.store.pending) == [b"a"]
    shore.kill()
    shore.platform.lists = True
    shore.ready()
    shore.until(lambda: not shore.core.store.pending)
    assert [json.loads(line)["outcome"] for line in shore.platform.notices] == ["given_up"]


def test_untried_mails_of_the_life_before_are_tried_at_once(shore: Shore) -> None:
    shore.ready()
    shore.settle()
    shore.receiver.door.listen(0)
    peer = shore.client()
    names = [f"m{number}" for number in range(20)]
    for name in names:
        peer.got = b""
        peer.send(shore.put(name, "charge", left=6000))
        shore.until(lambda: peer.pull() == OK)
    untried = [
        mail.name.decode() for mail in shore.core.store.pending.values() if mail.in_flight_since is None
    ]
    assert len(untried) > 8
    shore.kill()
    began, answered = time.monotonic(), set[Peer]()
    for link in shore.receiver.peers:
        link.close()
    shore.ready()
    while shore.core.store.pending:
        assert time.monotonic() - began < 3.0, shore.core.counters  # half of their time
        answer_calls(shore, answered, SERVED)
        for link in list(answered):  # further calls on kept connections
            link.pull()
            if link.got.count(b"\r\n\r\nhello") > 1:
                link.got = link.got.replace(b"\r\n\r\nhello", b"", 1)
                answered.discard(link)
        shore.step(0.002)
    ended = {json.loads(line)["message"] for line in shore.platform.notices}
    assert not ended & set(untried)


def test_a_full_store_with_nobody_at_the_list_nor_for_notices_takes_clients_soon(shore: Shore) -> None:
    shore.ready()
    for number in range(2000):
        name = b"n%d" % number
        took = shore.core.store.accept(owed(name))
        shore.core.store.record_notice(name, b'{"message":"x"}\n') if took and number % 2 else None
    many = len(shore.core.store.pending)
    assert many > 700
    shore.kill()
    shore.platform.lists = shore.platform.takes_notices = False
    began = time.monotonic()
    shore.begin()
    shore.until(lambda: shore.core.ready, most=10.0)
    assert time.monotonic() - began < 5.0
    assert len(shore.core.held_messages) == many
    peer = shore.client()
    peer.send(b"PING\r\n")
    shore.until(lambda: peer.pull() == b"+PONG\r\n")


def owed(name: bytes, sort: str = "order", left: float = 60.0, key: str | None = None) -> StoredMessage:
    order = "k" + name.decode()[-2:] if key is None else key or None
    return StoredMessage(name, order, sort, "", b"t" + name, 7, time.monotonic() + left, b"hello")


def launched(process: Process, run: str) -> subprocess.Popen[bytes]:
    process.child.kill()
    process.child.wait(10)
    process.child = subprocess.Popen(["/bin/sh", "-c", run], env=process.environ, stdout=subprocess.PIPE)
    return process.child


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGUSR1])
def test_a_signal_in_the_first_moments_of_a_process_does_not_end_it(
    tmp_path: Path, platform: ThreadingHTTPServer, first: signal.Signals
) -> None:
    """As the platform runs it. Until its handlers stood, SIGHUP ended a process that was starting."""
    deployed = tomllib.loads((Path(__file__).parents[1] / "deploy" / "balancer.toml").read_text())["run"]
    process = Process(tmp_path, platform)
    try:
        child = launched(process, deployed.replace(".venv/bin/python", sys.executable))
        time.sleep(0.02)  # the shell has begun
        for _ in range(40):
            time.sleep(0.01)
            child.send_signal(first)
        end = time.monotonic() + 10
        while process.ask(b"PING\r\n") != b"+PONG\r\n":
            assert child.poll() is None and time.monotonic() < end
            time.sleep(0.02)
    finally:
        process.child.kill()
        process.child.wait(10)


def test_sighup_while_the_configuration_is_first_read_has_it_read_again(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """The file is a pipe, which is read just when the test writes it."""
    process = Process(tmp_path, platform)
    config = tmp_path / "config.json"
    text = config.read_text()
    config.unlink()
    os.mkfifo(config)
    try:
        child = launched(process, f"exec {sys.executable} -m laureldock serve")
        with config.open("w") as file:  # opens once the process has opened it
            child.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            file.write(text)
        time.sleep(0.2)
        with Timed(10), config.open("w") as file:
            file.write(text)
        end = time.monotonic() + 10
        while b"configurations_read:1" not in process.ask(b"INFO\r\n"):
            assert child.poll() is None and time.monotonic() < end
            time.sleep(0.02)
    finally:
        process.child.kill()
        process.child.wait(10)


class Timed:
    """Ends what blocks for too long, in the main thread."""

    def __init__(self, seconds: int) -> None:
        self.seconds = seconds

    def __enter__(self) -> None:
        signal.signal(signal.SIGALRM, self.over)
        signal.alarm(self.seconds)

    def __exit__(self, *_: object) -> None:
        signal.alarm(0)

    @staticmethod
    def over(*_: object) -> None:
        raise TimeoutError("nobody reads it")


def test_a_second_sigterm_during_a_stop_changes_nothing(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    process = Process(tmp_path, platform)
    try:
        with process.open() as link:
            assert process.put("m1", "news", "quick", link) == OK
            process.child.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            process.child.send_signal(signal.SIGTERM)
            assert process.put("m2", "news", "quick", link) == OK
        assert process.child.wait(10) == 0
    finally:
        process.child.kill()
        process.child.wait(10)


@pytest.mark.parametrize(
    ("age", "step", "reboot", "calls"),
    [
        pytest.param(0.3, 0.0, False, 1, id="within"),
        pytest.param(0.92, 0.0, False, 1, id="just before"),
        pytest.param(0.985, 0.0, False, 0, id="too near its end"),
        pytest.param(1.05, 0.0, False, 0, id="just after"),
        pytest.param(0.3, -5.0, False, 1, id="clock set back, within"),
        pytest.param(0.3, 5.0, False, 1, id="clock set forward, within"),
        pytest.param(1.05, -5.0, False, 0, id="clock set back, just after"),
        pytest.param(1.05, -1.0, False, 0, id="clock set back to within, just after"),
        pytest.param(0.3, 0.0, True, 1, id="reboot, within"),
        pytest.param(0.3, -5.0, True, 0, id="reboot and clock set back"),
        pytest.param(0.3, 5.0, True, 0, id="reboot and clock set forward"),
    ],
)
def test_a_tagged_mail_found_goes_again_only_while_its_tag_is_surely_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, age: float, step: float, reboot: bool, calls: int
) -> None:
    """A window of one second, of real time. A step of the wall clock between two lives moves nothing; only
    after a reboot, where no other clock goes on, does it count, and then against another try."""
    began: list[Quay] = []
    monkeypatch.setattr("time.monotonic", lambda: began[0].reactor.seconds() if began else 100.0)
    quay = Quay(tmp_path, monkeypatch)
    began.append(quay)
    quay.put(quay.client(), "m1", "stamp")
    assert quay.pipe("1")
    store = quay.dispatcher.store
    assert isinstance(store, Spool)
    store.close()  # killed
    timers: Any = quay.reactor.getDelayedCalls()
    for timer in list(timers):
        timer.cancel()
    quay.now += age
    quay.reactor.advance(age)
    monkeypatch.setattr("time.time", lambda: 1e9 + quay.reactor.seconds() + step)
    if reboot:
        monkeypatch.setattr("laureldock.clocks._boot_id", lambda: "another")
    quay.lines.clear()
    quay.start()
    quay.after(0.1)
    found = [line for line in quay.lines if "POST /hook" in line]
    assert len(found) == calls
    ended = [line for line in quay.lines if "POST /v1/notices" in line]
    assert len(ended) == 1 - calls  # else its client hears of it, once


@pytest.mark.parametrize("down", ["nothing", "discovery", "all routes at first"])
def test_untried_mails_with_half_of_their_time_left_are_tried(shore: Shore, down: str) -> None:
    """Under half of them may be given up with no call; many are found at once, and slots are few."""
    shore.ready()
    shore.settle()
    names = [f"m{number}" for number in range(60)]
    for name in names:
        assert shore.core.store.accept(owed(name.encode(), "news", 6.0, ""))
    shore.kill()
    port = int(shore.receiver.address.rpartition(":")[2])
    if down == "discovery":
        shore.platform.lists = False
    if down == "all routes at first":
        shore.receiver.door.close()
    began, seen = time.monotonic(), dict[Peer, int]()
    shore.ready()
    while shore.core.store.pending:
        assert time.monotonic() - began < 7.0
        if (
            down == "all routes at first"
            and time.monotonic() - began > 1.0
            and shore.receiver.door.fileno() < 0
        ):
            shore.receiver.door = socket.create_server(("127.0.0.1", port))
            shore.receiver.door.setblocking(False)
        for link in shore.receiver.peers:
            whole = link.pull().count(b"\r\n\r\nhello") if link.link.fileno() >= 0 else 0
            for _ in range(whole - seen.get(link, 0)):
                link.send(SERVED)
            seen[link] = whole
        shore.step(0.002)
    tried = set(shore.calls())
    assert len(tried) > len(names) // 2, (len(tried), shore.core.counters)


def test_nine_in_ten_of_thirty_processes_restarted_at_once_with_full_stores_take_clients_in_time(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    processes = []
    ready: list[float] = []
    try:
        for number in range(30):
            folder = tmp_path / str(number)
            folder.mkdir()
            process = Process.__new__(Process)
            process.prepare(folder, platform)
            spool = Spool(folder / "state", 1e6)
            spool.open()
            while spool.accept(owed(b"n%d" % len(spool.pending), "order", 60.0)):
                pass
            assert len(spool.pending) > 700
            spool.close()
            processes.append(process)
        began = time.monotonic()
        for process in processes:
            process.launch()
        waiting = list(processes)
        while waiting and time.monotonic() - began < 20:
            for process in list(waiting):
                if process.ask(b"PING\r\n") == b"+PONG\r\n":
                    ready.append(time.monotonic() - began)
                    waiting.remove(process)
            time.sleep(0.02)
        assert sum(took < 10 for took in ready) >= 27, ready
    finally:
        for process in processes:
            if child := getattr(process, "child", None):
                child.kill()
                child.wait(10)


def test_a_notice_unanswered_at_a_planned_stop_is_kept_for_the_next_life(shore: Shore) -> None:
    shore.ready()
    shore.settle()
    shore.platform.takes_notices = False
    shore.receiver.door.close()
    peer = shore.client()
    peer.send(shore.put("a", "order", key="k", left=300))
    shore.until(lambda: peer.pull() == OK and shore.core.outlet.pending_count)
    over: list[float] = []
    began = time.monotonic()
    shore.core.stop(lambda: over.append(time.monotonic() - began))
    shore.until(lambda: over, most=4.0)
    assert over[0] < 3.7 and list(shore.core.store.pending) == [b"a"]
    shore.kill()
    shore.platform.takes_notices = True
    shore.ready()
    shore.until(lambda: not shore.core.store.pending)
    assert [json.loads(line)["message"] for line in shore.platform.notices] == ["a"]
    assert not shore.core.policy.key_queues
