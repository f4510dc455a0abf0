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
from drivers import InMemoryDispatcher
from socket_dispatcher import Connection, SocketDispatcher
from test_process import Process
from test_process import platform as platform  # a fixture

from laureldock.carriers.http import Errand
from laureldock.core.messages import StoredMessage
from laureldock.fronts.resp import Client
from laureldock.outlets.platform import Notices
from laureldock.sockets.httpline import HttpLine
from laureldock.stores.spool import Spool

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher
    dispatcher.close()


# Each step of a mail by the call that takes it, and when a call is that step.
STEPS: dict[str, tuple[type, str, Callable[..., bool]]] = {
    "store written": (Spool, "take", lambda *_: True),
    "attempt noted": (Spool, "out", lambda *_: True),
    "last byte out": (HttpLine, "all_written", lambda line: isinstance(line.reader, Errand)),
    "answer read": (Errand, "finish", lambda *_: False),
    "+OK written": (Client, "answered", lambda client: client.pending is not None),
    "end noted": (Spool, "over", lambda *_: True),
    "notice noted": (Spool, "notice", lambda *_: True),
    "notice sent": (Notices, "written_out", lambda *_: True),
    "notice answered": (Notices, "answered", lambda *_: False),
}


class Death:
    """Kills the dispatcher once, right after a step: of what was read, before what that leads to."""

    def __init__(self, dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, step: str) -> None:
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
                dispatcher.kill()
            return done

        monkeypatch.setattr(owner, name, stepped)
        self.restore = monkeypatch.undo


def play(dispatcher: SocketDispatcher, death: Death, peer: Connection, name: str, answer: bytes) -> bool:
    """The receiver answers each call that comes to it, until the kill; whether the client was told `+OK`."""
    answered: set[Connection] = set()
    end = time.monotonic() + 8
    while not death.came:
        assert time.monotonic() < end, dispatcher.core.counters
        dispatcher.step(0.002)
        answer_calls(dispatcher, answered, answer)
    death.restore()
    dispatcher.platform.handle_requests()
    return peer.receive() == OK


def answer_calls(dispatcher: SocketDispatcher, answered: set[Connection], answer: bytes) -> None:
    for link in dispatcher.receiver.connections:
        if link not in answered and link.socket.fileno() >= 0 and b"\r\n\r\nhello" in link.receive():
            answered.add(link)
            if not link.ended_by:
                link.send(answer)


@pytest.mark.parametrize("sort", ["news", "order", "charge"])
@pytest.mark.parametrize("step", STEPS)
def test_a_kill_right_after_a_step_of_a_mail(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, step: str, sort: str
) -> None:
    """What was answered +OK has one end; once-only goes out once, whatever its answer was."""
    answer = ERROR if "notice" in step else SERVED
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    peer = dispatcher.connect_client()
    death = Death(dispatcher, monkeypatch, step)
    peer.send(dispatcher.put_request("a", sort, key="k", lifetime=1500))
    told = play(dispatcher, death, peer, "a", answer)
    before = dispatcher.received_calls().count("a")
    dispatcher.start_until_ready()
    answered: set[Connection] = set()
    end = time.monotonic() + 6
    while dispatcher.core.store.owed or dispatcher.core.outlet.waiting:
        assert time.monotonic() < end, (dispatcher.core.counters, dispatcher.core.store.owed)
        answer_calls(dispatcher, answered, answer)
        dispatcher.step(0.002)
    calls, notices = (
        dispatcher.received_calls().count("a"),
        [json.loads(line) for line in dispatcher.platform.notices],
    )
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
    rested = time.monotonic() + dispatcher.core.tariff.key_cooldown_time + 0.1
    while dispatcher.core.control.key_queues:
        assert time.monotonic() < rested, dispatcher.core.control.key_queues
        dispatcher.step(0.002)
        dispatcher.core.turn()  # as any event brings


def test_a_notice_unanswered_at_the_kill_is_sent_again_and_clients_come_meanwhile(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a", lifetime=300))
    dispatcher.step_until(lambda: peer.receive() == OK and dispatcher.core.outlet.waiting)
    dispatcher.kill()
    dispatcher.start_until_ready()  # nobody answers notices
    other = dispatcher.connect_client()
    other.send(b"PING\r\n")
    dispatcher.step_until(lambda: other.receive() == b"+PONG\r\n")
    dispatcher.platform.accepts_notices = True
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]


def test_a_notice_whose_answer_is_cut_is_sent_again_and_ends_once(dispatcher: SocketDispatcher) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a", lifetime=300))
    posts: list[Connection] = []

    def posted() -> bool:
        posts[:] = [each for each in dispatcher.platform.connections if b"POST /v1/notices" in each.received]
        return bool(posts)

    dispatcher.step_until(posted)
    posts[0].send(b"HTTP/1.1 204 No Con")
    posts[0].reset()
    dispatcher.platform.accepts_notices = True
    dispatcher.step_until(lambda: not dispatcher.core.store.owed and not dispatcher.core.outlet.waiting)
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]


def test_a_stop_before_the_list_has_answered_opens_no_door_and_keeps_what_is_owed(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a", "charge", lifetime=9000))
    dispatcher.step_until(lambda: peer.receive() == OK)
    dispatcher.wait_for_call("a")
    dispatcher.kill()
    dispatcher.platform.answers_list = False
    dispatcher.start()
    over: list[bool] = []
    dispatcher.core.stop(lambda: over.append(True))
    dispatcher.step_until(lambda: over, timeout=4.0)
    assert not dispatcher.core.ready and list(dispatcher.core.store.owed) == [b"a"]
    dispatcher.kill()
    dispatcher.platform.answers_list = True
    dispatcher.start_until_ready()
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert [json.loads(line)["outcome"] for line in dispatcher.platform.notices] == ["given_up"]


def test_untried_mails_of_the_life_before_are_tried_at_once(dispatcher: SocketDispatcher) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.receiver.listener.listen(0)
    peer = dispatcher.connect_client()
    names = [f"m{number}" for number in range(20)]
    for name in names:
        peer.received = b""
        peer.send(dispatcher.put_request(name, "charge", lifetime=6000))
        dispatcher.step_until(lambda: peer.receive() == OK)
    untried = [mail.name.decode() for mail in dispatcher.core.store.owed.values() if mail.out is None]
    assert len(untried) > 8
    dispatcher.kill()
    began, answered = time.monotonic(), set[Connection]()
    for link in dispatcher.receiver.connections:
        link.close()
    dispatcher.start_until_ready()
    while dispatcher.core.store.owed:
        assert time.monotonic() - began < 3.0, dispatcher.core.counters  # half of their time
        answer_calls(dispatcher, answered, SERVED)
        for link in list(answered):  # further calls on kept connections
            link.receive()
            if link.received.count(b"\r\n\r\nhello") > 1:
                link.received = link.received.replace(b"\r\n\r\nhello", b"", 1)
                answered.discard(link)
        dispatcher.step(0.002)
    ended = {json.loads(line)["message"] for line in dispatcher.platform.notices}
    assert not ended & set(untried)


def test_a_full_store_with_nobody_at_the_list_nor_for_notices_takes_clients_soon(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    for number in range(2000):
        name = b"n%d" % number
        took = dispatcher.core.store.take(owed(name))
        dispatcher.core.store.notice(name, b'{"message":"x"}\n') if took and number % 2 else None
    many = len(dispatcher.core.store.owed)
    assert many > 700
    dispatcher.kill()
    dispatcher.platform.answers_list = dispatcher.platform.accepts_notices = False
    began = time.monotonic()
    dispatcher.start()
    dispatcher.step_until(lambda: dispatcher.core.ready, timeout=10.0)
    assert time.monotonic() - began < 5.0
    assert len(dispatcher.core.held) == many
    peer = dispatcher.connect_client()
    peer.send(b"PING\r\n")
    dispatcher.step_until(lambda: peer.receive() == b"+PONG\r\n")


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
    began: list[InMemoryDispatcher] = []
    monkeypatch.setattr("time.monotonic", lambda: began[0].reactor.seconds() if began else 100.0)
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    began.append(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    assert dispatcher.waiting_connection("1")
    store = dispatcher.core.store
    assert isinstance(store, Spool)
    store.close()  # killed
    timers: Any = dispatcher.reactor.getDelayedCalls()
    for timer in list(timers):
        timer.cancel()
    dispatcher.now += age
    dispatcher.reactor.advance(age)
    monkeypatch.setattr("time.time", lambda: 1e9 + dispatcher.reactor.seconds() + step)
    if reboot:
        monkeypatch.setattr("laureldock.clocks._boot_id", lambda: "another")
    dispatcher.lines.clear()
    dispatcher.start()
    dispatcher.advance(0.1)
    found = [line for line in dispatcher.lines if "POST /hook" in line]
    assert len(found) == calls
    ended = [line for line in dispatcher.lines if "POST /v1/notices" in line]
    assert len(ended) == 1 - calls  # else its client hears of it, once


@pytest.mark.parametrize("down", ["nothing", "discovery", "all routes at first"])
def test_untried_mails_with_half_of_their_time_left_are_tried(
    dispatcher: SocketDispatcher, down: str
) -> None:
    """Under half of them may be given up with no call; many are found at once, and slots are few."""
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    names = [f"m{number}" for number in range(60)]
    for name in names:
        assert dispatcher.core.store.take(owed(name.encode(), "news", 6.0, ""))
    dispatcher.kill()
    port = int(dispatcher.receiver.address.rpartition(":")[2])
    if down == "discovery":
        dispatcher.platform.answers_list = False
    if down == "all routes at first":
        dispatcher.receiver.listener.close()
    began, seen = time.monotonic(), dict[Connection, int]()
    dispatcher.start_until_ready()
    while dispatcher.core.store.owed:
        assert time.monotonic() - began < 7.0
        if (
            down == "all routes at first"
            and time.monotonic() - began > 1.0
            and dispatcher.receiver.listener.fileno() < 0
        ):
            dispatcher.receiver.listener = socket.create_server(("127.0.0.1", port))
            dispatcher.receiver.listener.setblocking(False)
        for link in dispatcher.receiver.connections:
            whole = link.receive().count(b"\r\n\r\nhello") if link.socket.fileno() >= 0 else 0
            for _ in range(whole - seen.get(link, 0)):
                link.send(SERVED)
            seen[link] = whole
        dispatcher.step(0.002)
    tried = set(dispatcher.received_calls())
    assert len(tried) > len(names) // 2, (len(tried), dispatcher.core.counters)


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
            while spool.take(owed(b"n%d" % len(spool.owed), "order", 60.0)):
                pass
            assert len(spool.owed) > 700
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


def test_a_notice_unanswered_at_a_planned_stop_is_kept_for_the_next_life(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a", "order", key="k", lifetime=300))
    dispatcher.step_until(lambda: peer.receive() == OK and dispatcher.core.outlet.waiting)
    over: list[float] = []
    began = time.monotonic()
    dispatcher.core.stop(lambda: over.append(time.monotonic() - began))
    dispatcher.step_until(lambda: over, timeout=4.0)
    assert over[0] < 3.7 and list(dispatcher.core.store.owed) == [b"a"]
    dispatcher.kill()
    dispatcher.platform.accepts_notices = True
    dispatcher.start_until_ready()
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]
    assert not dispatcher.core.control.key_queues
