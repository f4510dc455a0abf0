"""Races between the end or start of the process and messages and notices that are pending.

The process is killed between any two steps of a message; the restart finds the folder that it left.
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
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher
    dispatcher.close()


# Steps in the processing of a message: the method that performs the step, and which of its calls count.
STEPS: dict[str, tuple[type, str, Callable[..., bool]]] = {
    "store written": (Spool, "accept", lambda *_: True),
    "attempt recorded": (Spool, "record_attempt_start", lambda *_: True),
    "last byte written": (
        HttpConnection,
        "on_request_flushed",
        lambda line: isinstance(line.handler, HttpCall),
    ),
    "response read": (HttpCall, "finish", lambda *_: False),
    "+OK written": (ClientConnection, "on_reply_written", lambda client: client.unreplied is not None),
    "finish recorded": (Spool, "record_finished", lambda *_: True),
    "notice recorded": (Spool, "record_notice", lambda *_: True),
    "notice sent": (PlatformOutlet, "request_written", lambda *_: True),
    "notice answered": (PlatformOutlet, "response_received", lambda *_: False),
}


class KillAfterStep:
    """Kills the dispatcher once, right after a step; if the step reads a response, before it is acted on."""

    def __init__(self, dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, step: str) -> None:
        self.done = False
        owner, name, due = STEPS[step]
        call = getattr(owner, name)

        def stepped(this: Any, *args: Any, **kwargs: Any) -> Any:
            if self.done:  # the process has been killed: nothing further is done
                return None
            before = step in ("response read", "notice answered")
            reached = before or due(this, *args)
            result = None if before else call(this, *args, **kwargs)
            if reached:
                self.done = True
                dispatcher.kill()
            return result

        monkeypatch.setattr(owner, name, stepped)
        self.restore = monkeypatch.undo


def respond_until_killed(
    dispatcher: SocketDispatcher, kill: KillAfterStep, client: Connection, name: str, response: bytes
) -> bool:
    """The receiver responds to each call until the kill. Returns whether the client has read its +OK."""
    responded: set[Connection] = set()
    end = time.monotonic() + 8
    while not kill.done:
        assert time.monotonic() < end, dispatcher.core.counters
        dispatcher.step(0.002)
        respond_to_calls(dispatcher, responded, response)
    kill.restore()
    dispatcher.platform.handle_requests()
    return client.receive() == OK


def respond_to_calls(dispatcher: SocketDispatcher, responded: set[Connection], response: bytes) -> None:
    """Responds once on each connection over which a call has arrived."""
    for connection in dispatcher.receiver.connections:
        if (
            connection not in responded
            and connection.socket.fileno() >= 0
            and b"\r\n\r\nhello" in connection.receive()
        ):
            responded.add(connection)
            if not connection.ended_by:
                connection.send(response)


@pytest.mark.parametrize("queue_class", ["news", "order", "charge"])
@pytest.mark.parametrize("step", STEPS)
def test_a_kill_right_after_a_step_of_a_message(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, step: str, queue_class: str
) -> None:
    """An accepted message is delivered or reported by a notice after the restart; a once-only message is sent
    at most once, whatever the response was."""
    response = ERROR if "notice" in step else SERVED
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    client = dispatcher.connect_client()
    kill = KillAfterStep(dispatcher, monkeypatch, step)
    client.send(dispatcher.put_request("a", queue_class, key="k", lifetime=1500))
    accepted = respond_until_killed(dispatcher, kill, client, "a", response)
    before = dispatcher.received_calls().count("a")
    dispatcher.start_until_ready()
    responded: set[Connection] = set()
    end = time.monotonic() + 6
    while dispatcher.core.store.pending or dispatcher.core.outlet.pending_count:
        assert time.monotonic() < end, (dispatcher.core.counters, dispatcher.core.store.pending)
        respond_to_calls(dispatcher, responded, response)
        dispatcher.step(0.002)
    calls, notices = (
        dispatcher.received_calls().count("a"),
        [json.loads(line) for line in dispatcher.platform.notices],
    )
    assert {notice["message"] for notice in notices} <= {"a"}
    if queue_class == "charge":
        assert calls <= 1
        # After these steps it may have run, so it is not sent again.
        if step in ("attempt recorded", "last byte written", "response read"):
            assert calls == before and [each["outcome"] for each in notices] == ["given_up"]
    if accepted:
        assert notices or (response == SERVED and calls)
    if response == SERVED and queue_class != "charge":
        assert calls and not notices
    if step in ("store written", "+OK written"):  # without an attempt at the kill, so it gets one
        assert calls
    # The key is free for its next message after the cooldown for a call that the kill or a timeout broke.
    cooled_down_at = time.monotonic() + dispatcher.core.settings.key_cooldown_time + 0.1
    while dispatcher.core.policy.key_order.queues:
        assert time.monotonic() < cooled_down_at, dispatcher.core.policy.key_order.queues
        dispatcher.step(0.002)
        dispatcher.core.run_turn()  # as any event would


def test_a_notice_unanswered_at_the_kill_is_sent_again_while_clients_are_accepted(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a", lifetime=300))
    dispatcher.step_until(lambda: client.receive() == OK and dispatcher.core.outlet.pending_count)
    dispatcher.kill()
    dispatcher.start_until_ready()  # no response to notices
    other = dispatcher.connect_client()
    other.send(b"PING\r\n")
    dispatcher.step_until(lambda: other.receive() == b"+PONG\r\n")
    dispatcher.platform.accepts_notices = True
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]


def test_a_notice_whose_response_is_cut_off_is_sent_again_and_finished_once(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a", lifetime=300))
    post_connections: list[Connection] = []

    def notice_posted() -> bool:
        post_connections[:] = [
            each for each in dispatcher.platform.connections if b"POST /v1/notices" in each.received
        ]
        return bool(post_connections)

    dispatcher.step_until(notice_posted)
    post_connections[0].send(b"HTTP/1.1 204 No Con")
    post_connections[0].reset()
    dispatcher.platform.accepts_notices = True
    dispatcher.step_until(
        lambda: not dispatcher.core.store.pending and not dispatcher.core.outlet.pending_count
    )
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]


def test_a_stop_before_the_list_has_arrived_accepts_no_client_and_keeps_pending_messages(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a", "charge", lifetime=9000))
    dispatcher.step_until(lambda: client.receive() == OK)
    dispatcher.wait_for_call("a")
    dispatcher.kill()
    dispatcher.platform.answers_list = False
    dispatcher.start()
    stopped: list[bool] = []
    dispatcher.core.stop(lambda: stopped.append(True))
    dispatcher.step_until(lambda: stopped, timeout=4.0)
    assert not dispatcher.core.ready and list(dispatcher.core.store.pending) == [b"a"]
    dispatcher.kill()
    dispatcher.platform.answers_list = True
    dispatcher.start_until_ready()
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert [json.loads(line)["outcome"] for line in dispatcher.platform.notices] == ["given_up"]


def test_unattempted_messages_of_the_previous_process_are_attempted_at_once(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.receiver.listener.listen(0)
    client = dispatcher.connect_client()
    names = [f"m{number}" for number in range(20)]
    for name in names:
        client.received = b""
        client.send(dispatcher.put_request(name, "charge", lifetime=6000))
        dispatcher.step_until(lambda: client.receive() == OK)
    unattempted = [
        message.name.decode()
        for message in dispatcher.core.store.pending.values()
        if message.in_flight_since is None
    ]
    assert len(unattempted) > 8
    dispatcher.kill()
    started_at, responded = time.monotonic(), set[Connection]()
    for connection in dispatcher.receiver.connections:
        connection.close()
    dispatcher.start_until_ready()
    while dispatcher.core.store.pending:
        assert time.monotonic() - started_at < 3.0, dispatcher.core.counters  # half of their lifetime
        respond_to_calls(dispatcher, responded, SERVED)
        for connection in list(responded):  # further calls on the same connections
            connection.receive()
            if connection.received.count(b"\r\n\r\nhello") > 1:
                connection.received = connection.received.replace(b"\r\n\r\nhello", b"", 1)
                responded.discard(connection)
        dispatcher.step(0.002)
    ended = {json.loads(line)["message"] for line in dispatcher.platform.notices}
    assert not ended & set(unattempted)


def test_a_full_store_without_list_and_notice_server_delays_clients_little(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    for number in range(2000):
        name = b"n%d" % number
        taken = dispatcher.core.store.accept(stored_message(name))
        dispatcher.core.store.record_notice(name, b'{"message":"x"}\n') if taken and number % 2 else None
    pending_count = len(dispatcher.core.store.pending)
    assert pending_count > 700
    dispatcher.kill()
    dispatcher.platform.answers_list = dispatcher.platform.accepts_notices = False
    started_at = time.monotonic()
    dispatcher.start()
    dispatcher.step_until(lambda: dispatcher.core.ready, timeout=10.0)
    assert time.monotonic() - started_at < 5.0
    assert len(dispatcher.core.held_messages) == pending_count
    client = dispatcher.connect_client()
    client.send(b"PING\r\n")
    dispatcher.step_until(lambda: client.receive() == b"+PONG\r\n")


def stored_message(
    name: bytes, queue_class: str = "order", lifetime: float = 60.0, key: str | None = None
) -> StoredMessage:
    order = "k" + name.decode()[-2:] if key is None else key or None
    return StoredMessage(name, order, queue_class, "", b"t" + name, 7, time.monotonic() + lifetime, b"hello")


def launch_with(process: Process, run: str) -> subprocess.Popen[bytes]:
    process.child.kill()
    process.child.wait(10)
    process.child = subprocess.Popen(["/bin/sh", "-c", run], env=process.environ, stdout=subprocess.PIPE)
    return process.child


@pytest.mark.parametrize("first", [signal.SIGHUP, signal.SIGUSR1])
def test_a_signal_during_startup_does_not_end_the_process(
    tmp_path: Path, platform: ThreadingHTTPServer, first: signal.Signals
) -> None:
    """The process runs as on the platform. SIGHUP once ended a process whose signal handlers were not
    installed yet."""
    deployed_command = tomllib.loads((Path(__file__).parents[1] / "deploy" / "balancer.toml").read_text())[
        "run"
    ]
    process = Process(tmp_path, platform)
    try:
        child = launch_with(process, deployed_command.replace(".venv/bin/python", sys.executable))
        time.sleep(0.02)  # the shell has started
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


def test_sighup_during_the_first_read_of_the_configuration_causes_a_second(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """The configuration file is a pipe, so that it is read at the moment when the test writes it."""
    process = Process(tmp_path, platform)
    config = tmp_path / "config.json"
    text = config.read_text()
    config.unlink()
    os.mkfifo(config)
    try:
        child = launch_with(process, f"exec {sys.executable} -m laureldock serve")
        with config.open("w") as file:  # opens as soon as the process has opened it for reading
            child.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            file.write(text)
        time.sleep(0.2)
        with TimeLimit(10), config.open("w") as file:
            file.write(text)
        end = time.monotonic() + 10
        while b"configurations_read:1" not in process.ask(b"INFO\r\n"):
            assert child.poll() is None and time.monotonic() < end
            time.sleep(0.02)
    finally:
        process.child.kill()
        process.child.wait(10)


class TimeLimit:
    """Ends a blocking call of the main thread after so many seconds."""

    def __init__(self, seconds: int) -> None:
        self.seconds = seconds

    def __enter__(self) -> None:
        signal.signal(signal.SIGALRM, self.expired)
        signal.alarm(self.seconds)

    def __exit__(self, *_: object) -> None:
        signal.alarm(0)

    @staticmethod
    def expired(*_: object) -> None:
        raise TimeoutError("the configuration is not read")


def test_a_second_sigterm_during_a_stop_changes_nothing(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    process = Process(tmp_path, platform)
    try:
        with process.open() as connection:
            assert process.put("m1", "news", "quick", connection) == OK
            process.child.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            process.child.send_signal(signal.SIGTERM)
            assert process.put("m2", "news", "quick", connection) == OK
        assert process.child.wait(10) == 0
    finally:
        process.child.kill()
        process.child.wait(10)


@pytest.mark.parametrize(
    ("age", "clock_step", "reboot", "expected_calls"),
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
def test_a_tagged_message_found_at_restart_is_sent_again_only_while_its_tag_is_remembered(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    age: float,
    clock_step: float,
    reboot: bool,
    expected_calls: int,
) -> None:
    """Its receivers remember a tag for one second of real time. A step of the wall clock between two
    processes makes no difference, except after a reboot, when no other clock has run on: then it counts, and
    against another attempt."""
    dispatchers: list[InMemoryDispatcher] = []
    monkeypatch.setattr("time.monotonic", lambda: dispatchers[0].reactor.seconds() if dispatchers else 100.0)
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatchers.append(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    assert dispatcher.waiting_connection("1")
    store = dispatcher.core.store
    assert isinstance(store, Spool)
    store.close()  # as if killed
    timers: Any = dispatcher.reactor.getDelayedCalls()
    for timer in list(timers):
        timer.cancel()
    dispatcher.now += age
    dispatcher.reactor.advance(age)
    monkeypatch.setattr("time.time", lambda: 1e9 + dispatcher.reactor.seconds() + clock_step)
    if reboot:
        monkeypatch.setattr("laureldock.clocks._boot_id", lambda: "another")
    dispatcher.lines.clear()
    dispatcher.start()
    dispatcher.advance(0.1)
    found = [line for line in dispatcher.lines if "POST /hook" in line]
    assert len(found) == expected_calls
    ended = [line for line in dispatcher.lines if "POST /v1/notices" in line]
    assert len(ended) == 1 - expected_calls  # a message that is not sent gets one notice


@pytest.mark.parametrize("unavailable", ["nothing", "discovery", "all routes at first"])
def test_most_unattempted_messages_with_half_of_their_lifetime_left_are_attempted(
    dispatcher: SocketDispatcher, unavailable: str
) -> None:
    """Many are found at once, and slots are few; fewer than half of them may end without a call."""
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    names = [f"m{number}" for number in range(60)]
    for name in names:
        assert dispatcher.core.store.accept(stored_message(name.encode(), "news", 6.0, ""))
    dispatcher.kill()
    port = int(dispatcher.receiver.address.rpartition(":")[2])
    if unavailable == "discovery":
        dispatcher.platform.answers_list = False
    if unavailable == "all routes at first":
        dispatcher.receiver.listener.close()
    started_at, seen = time.monotonic(), dict[Connection, int]()
    dispatcher.start_until_ready()
    while dispatcher.core.store.pending:
        assert time.monotonic() - started_at < 7.0
        if (
            unavailable == "all routes at first"
            and time.monotonic() - started_at > 1.0
            and dispatcher.receiver.listener.fileno() < 0
        ):
            dispatcher.receiver.listener = socket.create_server(("127.0.0.1", port))
            dispatcher.receiver.listener.setblocking(False)
        for connection in dispatcher.receiver.connections:
            whole = connection.receive().count(b"\r\n\r\nhello") if connection.socket.fileno() >= 0 else 0
            for _ in range(whole - seen.get(connection, 0)):
                connection.send(SERVED)
            seen[connection] = whole
        dispatcher.step(0.002)
    tried = set(dispatcher.received_calls())
    assert len(tried) > len(names) // 2, (len(tried), dispatcher.core.counters)


def test_thirty_processes_restarted_at_once_with_full_stores_accept_clients_in_time(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """At least 27 of them must accept clients within ten seconds."""
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
            while spool.accept(stored_message(b"n%d" % len(spool.pending), "order", 60.0)):
                pass
            assert len(spool.pending) > 700
            spool.close()
            processes.append(process)
        started_at = time.monotonic()
        for process in processes:
            process.launch()
        waiting = list(processes)
        while waiting and time.monotonic() - started_at < 20:
            for process in list(waiting):
                if process.ask(b"PING\r\n") == b"+PONG\r\n":
                    ready.append(time.monotonic() - started_at)
                    waiting.remove(process)
            time.sleep(0.02)
        assert sum(seconds < 10 for seconds in ready) >= 27, ready
    finally:
        for process in processes:
            if child := getattr(process, "child", None):
                child.kill()
                child.wait(10)


def test_a_notice_unanswered_at_a_planned_stop_is_kept_for_the_next_process(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    dispatcher.platform.accepts_notices = False
    dispatcher.receiver.listener.close()
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a", "order", key="k", lifetime=300))
    dispatcher.step_until(lambda: client.receive() == OK and dispatcher.core.outlet.pending_count)
    stopped: list[float] = []
    started_at = time.monotonic()
    dispatcher.core.stop(lambda: stopped.append(time.monotonic() - started_at))
    dispatcher.step_until(lambda: stopped, timeout=4.0)
    assert stopped[0] < 3.7 and list(dispatcher.core.store.pending) == [b"a"]
    dispatcher.kill()
    dispatcher.platform.accepts_notices = True
    dispatcher.start_until_ready()
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert [json.loads(line)["message"] for line in dispatcher.platform.notices] == ["a"]
    assert not dispatcher.core.policy.key_order.queues
