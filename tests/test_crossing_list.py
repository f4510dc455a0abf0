"""The list of receivers, crossed by silence, spoilt answers, refused and hanging connections, and moves.

What discovery has counts as told six seconds after a watch fell silent: on a clock set by hand, for each
trouble and for all in turn, and over loopback.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from drivers import InMemoryDispatcher, MemoryConnection
from msgspec.structs import replace
from socket_dispatcher import SocketDispatcher, StubPlatform

from laureldock.interface import ListedState
from laureldock.setup.units import Address
from laureldock.sources.platform import read

TOLD = 6.0  # by the platform's pages, from when a watch fell silent
OK = b"+OK\r\n"
TROUBLES = ["refused", "hanging", "silent", "cut short", "spoilt", "spoilt without end", "error", "slow"]
GARBAGE = b"\xff{]," * 10


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


class Agent:
    """Meets each ask after the silent watch by the next of its troubles, and the last by the list."""

    def __init__(self, dispatcher: InMemoryDispatcher, troubles: list[str]) -> None:
        self.dispatcher, self.troubles, self.seen = dispatcher, troubles, 0
        self.body = json.dumps(dispatcher.endpoint_list("1", "Terminating", 2))
        self.slow: Iterator[bytes] = iter(())  # what is still to come, a part at each look
        self.step()

    def step(self) -> None:
        trouble = self.troubles[0] if self.troubles else ""
        self.dispatcher.refusing = {"9"} if trouble == "refused" else set()
        self.dispatcher.not_connecting = {"9"} if trouble == "hanging" else set()

    def look(self) -> None:
        dispatcher, lines = self.dispatcher, self.dispatcher.lines[self.seen :]
        self.seen += len(lines)
        over = any("9: no connection" in line or "9: not waited for" in line for line in lines)
        connection = next(
            (connection for connection in dispatcher.connections if connection.name == "list"), None
        )
        if over:
            self.troubles.pop(0)
        elif connection and connection.awaits_response:
            connection.awaits_response = False
            self.meet(connection)
        elif connection and (part := next(self.slow, b"")):
            dispatcher.send(connection, part)
        self.step()

    def meet(self, connection: MemoryConnection) -> None:
        trouble = self.troubles.pop(0) if self.troubles else ""
        whole = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n{self.body}".encode()
        self.slow = iter(())
        match trouble:
            case "":
                self.dispatcher.send(connection, whole)
            case "cut short":
                self.dispatcher.send(connection, whole[:-30])
            case "spoilt":
                self.dispatcher.send(connection, whole.replace(b'"hosts"', b'"hsots"'))
            case "error":
                self.dispatcher.send(connection, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            case "spoilt without end":
                self.dispatcher.send(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
                self.slow = iter([GARBAGE] * 400)
            case "slow":
                self.slow = iter([whole[place : place + 24] for place in range(0, len(whole), 24)])  # 0.5 s


@pytest.mark.parametrize(
    "troubles", [[], *([each] for each in TROUBLES), TROUBLES, [*TROUBLES[-2::-1], "slow"]], ids=str
)
def test_what_a_silent_watch_missed_is_known_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, troubles: list[str]
) -> None:
    """A watch that fell silent was once given six seconds itself, and each further ask two."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.answers_list = False  # from here on the watch that stands is never answered
    watch = dispatcher.waiting_connection("list")
    watch.awaits_response = False
    dispatcher.lines.clear()
    agent = Agent(dispatcher, list(troubles))
    route = dispatcher.core.book.routes["r1"]
    while route.listed_state is ListedState.UP:
        assert dispatcher.now < 100 + TOLD, dispatcher.lines
        dispatcher.advance(0.05)
        agent.look()
    assert not agent.troubles
    assert dispatcher.now - 100 < TOLD


def test_a_list_that_is_down_is_asked_for_at_a_pace(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Refused at once, it is not asked for without pause; and many that fail together do not ask as one."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.answers_list, dispatcher.refusing = False, {"9"}
    dispatcher.disconnect(dispatcher.waiting_connection("list"))
    dispatcher.lines.clear()
    dispatcher.advance(8.0)
    refused = [line.split()[0] for line in dispatcher.lines if "9: no connection" in line]
    assert 24 <= len(refused) <= 44 and len(set(refused)) == len(refused)


@pytest.mark.parametrize("told", ["nothing", "half a head", "half a body"])
def test_a_watch_that_falls_silent_over_loopback(dispatcher: SocketDispatcher, told: str) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, began = dispatcher.platform.stop_answering_list(), time.monotonic()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    answer = StubPlatform.list_response(dispatcher.platform.endpoint_list)
    watch.send({"nothing": b"", "half a head": answer[:25], "half a body": answer[:-40]}[told])
    dispatcher.step_for(0.3)
    dispatcher.platform.answers_list = True
    route = dispatcher.core.book.routes["r1"]
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - began < TOLD
    assert watch.receive() is not None and watch.ended_by  # the silent connection is not kept


def test_an_indented_list_that_comes_in_single_bytes(dispatcher: SocketDispatcher) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch = dispatcher.platform.stop_answering_list()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    for byte in StubPlatform.list_response(dispatcher.platform.endpoint_list, indent=4):
        watch.send(bytes([byte]))
        dispatcher.step()
    route = dispatcher.core.book.routes["r1"]
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert dispatcher.core.counters["list failures"] == 0


def test_a_list_spoilt_without_end_changes_nothing_and_is_asked_for_anew(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, began = dispatcher.platform.stop_answering_list(), time.monotonic()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    watch.send(b'HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n{"seq":2,"whole":true,"hosts":[')
    route = dispatcher.core.book.routes["r1"]
    asks = len(dispatcher.platform.list_requests)
    while len(dispatcher.platform.list_requests) == asks:
        assert time.monotonic() - began < TOLD and route.listed_state is ListedState.UP
        if not watch.ended_by:
            watch.send(GARBAGE)
            watch.receive()
        dispatcher.step(0.01)
    dispatcher.platform.answers_list = True
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - began < TOLD


@pytest.mark.parametrize("how", ["refused", "hanging"])
def test_a_reconnect_to_the_list_that_fails(dispatcher: SocketDispatcher, how: str) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, door = dispatcher.platform.stop_answering_list(), dispatcher.platform.listener
    dispatcher.set_endpoint_list("Terminating", seq=2)
    host, port = door.getsockname()
    waiting: list[socket.socket] = []
    if how == "refused":
        door.close()
        dispatcher.platform.listener = socket.create_server(
            (host, 0)
        )  # so that the stand-in has one to look at
        dispatcher.platform.listener.setblocking(False)
    else:  # connections wait for a place among those not accepted
        door.listen(0)
        for _ in range(3):
            waiting.append(socket.socket())
            waiting[-1].setblocking(False)
            waiting[-1].connect_ex((host, port))
        dispatcher.platform.accept = lambda: None  # type: ignore[method-assign]
    began = time.monotonic()
    watch.reset()
    failures = dispatcher.core.counters["list failures"]
    dispatcher.step_until(lambda: dispatcher.core.counters["list failures"] >= failures + 3)
    assert 0.3 < time.monotonic() - began < 3.0
    assert dispatcher.core.book.routes["r1"].listed_state is ListedState.UP and dispatcher.core.ready
    if how == "refused":
        dispatcher.platform.listener.close()
        dispatcher.platform.listener = socket.create_server((host, port))
        dispatcher.platform.listener.setblocking(False)
    else:
        for link in waiting:
            link.close()
        door.listen(64)
        del dispatcher.platform.accept
    dispatcher.platform.answers_list, back = True, time.monotonic()
    dispatcher.step_until(lambda: dispatcher.core.book.routes["r1"].listed_state is ListedState.DRAINING)
    assert time.monotonic() - back < 2.0


def test_the_list_moves_while_an_ask_is_out(dispatcher: SocketDispatcher) -> None:
    """What the old address answers after the move is nothing any more."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    old, watch = dispatcher.platform, dispatcher.platform.stop_answering_list()
    new = StubPlatform()
    new.endpoint_list = {**old.endpoint_list, "seq": 1}
    plan, there = dispatcher.assembly.plan, Address(new.address)
    source, outlet = replace(plan.source, address=there), replace(plan.outlet, address=there)
    dispatcher.set_endpoint_list("Terminating", seq=9)
    watch.send(StubPlatform.list_response(old.endpoint_list))  # in the kernel as the move is read
    dispatcher.assembly.retold(replace(plan, source=source, outlet=outlet))
    try:
        dispatcher.platform = new
        dispatcher.step_until(lambda: any("wait_ms=2" in query for _, query, _ in new.list_requests))
        assert "after" not in new.list_requests[0][1]  # its versions are its own
        assert dispatcher.core.book.routes["r1"].listed_state is ListedState.UP
    finally:
        dispatcher.platform = old
        new.close()


def test_an_agent_that_never_answers_keeps_no_client_out(tmp_path: Path) -> None:
    dispatcher = SocketDispatcher(tmp_path)
    dispatcher.platform.answers_list = False
    began = time.monotonic()
    try:
        dispatcher.start_until_ready()
        assert time.monotonic() - began < 2.0
        peer = dispatcher.connect_client()
        peer.send(dispatcher.put_request("a"))
        dispatcher.step_until(lambda: peer.receive() == OK)
        dispatcher.respond("a")
        dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    finally:
        dispatcher.close()


@pytest.mark.parametrize("first", ["call", "drain"])
def test_a_drain_told_as_a_call_is_being_written(dispatcher: SocketDispatcher, first: str) -> None:
    """Both wait in the kernel: the connection to the receiver that has come up, and the news of its drain."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch = dispatcher.platform.stop_answering_list()
    peer = dispatcher.connect_client()
    calls: list[Callable[[], None]] = []
    hold = dispatcher.core.may_begin

    def asked(attempt: object, held: object) -> bool:
        """The last look before the call's first byte: the list is read there, or right after it."""
        dispatcher.core.may_begin = hold  # type: ignore[method-assign]
        dispatcher.set_endpoint_list("Terminating", seq=2)
        news = read(dispatcher.platform.endpoint_list)[2]
        if first == "drain":
            dispatcher.core.news(news, True)
            return hold(attempt, held)  # type: ignore[arg-type]
        may = hold(attempt, held)  # type: ignore[arg-type]
        calls.append(lambda: dispatcher.core.news(news, True))
        return may

    dispatcher.core.may_begin = asked  # type: ignore[method-assign]
    peer.send(dispatcher.put_request("a", lifetime=1500))
    dispatcher.step_until(lambda: peer.receive() == OK and dispatcher.core.may_begin == hold)
    for call in calls:
        call()
    dispatcher.step_for(0.3)
    assert dispatcher.received_calls() == (["a"] if first == "call" else [])
    if first == "call":
        dispatcher.respond("a")
        dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    else:
        dispatcher.step_until(lambda: dispatcher.platform.notices)
        assert '"handed_back"' in dispatcher.platform.notices[0]
    assert watch
