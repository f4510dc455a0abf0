"""Races and faults of the endpoint list: silence, corrupted responses, failing reconnects and moves.

What discovery has must be known six seconds after a watch fell silent. This is tested in memory, for each
fault and for all of them in turn, and over loopback.
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
from laureldock.sources.platform import parse_endpoint_list

LIST_DEADLINE = 6.0  # seconds from when a watch falls silent; from the platform's documentation
OK = b"+OK\r\n"
FAULTS = ["refused", "hanging", "silent", "cut short", "corrupted", "corrupted without end", "error", "slow"]
NOISE = b"\xff{]," * 10


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


class FaultyDiscovery:
    """Responds to each list request after the silent watch with the next of its faults, and after the last
    with the list."""

    def __init__(self, dispatcher: InMemoryDispatcher, faults: list[str]) -> None:
        self.dispatcher, self.faults, self.seen_lines = dispatcher, faults, 0
        self.body = json.dumps(dispatcher.endpoint_list("1", "Terminating", 2))
        self.fragments: Iterator[bytes] = iter(())  # of a slow response, one is sent at each poll
        self.set_connects()

    def set_connects(self) -> None:
        fault = self.faults[0] if self.faults else ""
        self.dispatcher.refusing = {"9"} if fault == "refused" else set()
        self.dispatcher.not_connecting = {"9"} if fault == "hanging" else set()

    def poll(self) -> None:
        dispatcher, lines = self.dispatcher, self.dispatcher.lines[self.seen_lines :]
        self.seen_lines += len(lines)
        connect_failed = any("9: no connection" in line or "9: not waited for" in line for line in lines)
        connection = next(
            (connection for connection in dispatcher.connections if connection.name == "list"), None
        )
        if connect_failed:
            self.faults.pop(0)
        elif connection and connection.awaits_response:
            connection.awaits_response = False
            self.respond(connection)
        elif connection and (part := next(self.fragments, b"")):
            dispatcher.send(connection, part)
        self.set_connects()

    def respond(self, connection: MemoryConnection) -> None:
        fault = self.faults.pop(0) if self.faults else ""
        whole = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n{self.body}".encode()
        self.fragments = iter(())
        match fault:
            case "":
                self.dispatcher.send(connection, whole)
            case "cut short":
                self.dispatcher.send(connection, whole[:-30])
            case "corrupted":
                self.dispatcher.send(connection, whole.replace(b'"hosts"', b'"hsots"'))
            case "error":
                self.dispatcher.send(connection, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            case "corrupted without end":
                self.dispatcher.send(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
                self.fragments = iter([NOISE] * 400)
            case "slow":
                # 24 bytes at each poll: 0.5 s in all.
                self.fragments = iter([whole[place : place + 24] for place in range(0, len(whole), 24)])


@pytest.mark.parametrize(
    "faults", [[], *([each] for each in FAULTS), FAULTS, [*FAULTS[-2::-1], "slow"]], ids=str
)
def test_what_a_silent_watch_missed_is_known_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, faults: list[str]
) -> None:
    """The watch itself once had a timeout of six seconds, and each further request one of two."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.answers_list = False  # from here on, the open watch gets no response
    watch = dispatcher.waiting_connection("list")
    watch.awaits_response = False
    dispatcher.lines.clear()
    discovery = FaultyDiscovery(dispatcher, list(faults))
    route = dispatcher.core.registry.routes["r1"]
    while route.listed_state is ListedState.UP:
        assert dispatcher.now < 100 + LIST_DEADLINE, dispatcher.lines
        dispatcher.advance(0.05)
        discovery.poll()
    assert not discovery.faults
    assert dispatcher.now - 100 < LIST_DEADLINE


def test_a_list_server_that_refuses_connections_is_retried_at_a_limited_rate(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is not retried without a pause, and dispatchers that fail together do not retry at the same time."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.answers_list, dispatcher.refusing = False, {"9"}
    dispatcher.disconnect(dispatcher.waiting_connection("list"))
    dispatcher.lines.clear()
    dispatcher.advance(8.0)
    refused = [line.split()[0] for line in dispatcher.lines if "9: no connection" in line]
    assert 24 <= len(refused) <= 44 and len(set(refused)) == len(refused)


@pytest.mark.parametrize("sent_part", ["nothing", "half a head", "half a body"])
def test_a_watch_that_falls_silent_is_replaced(dispatcher: SocketDispatcher, sent_part: str) -> None:
    """Over loopback, after no byte of a response, half of its head, or half of its body."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, started_at = dispatcher.platform.stop_answering_list(), time.monotonic()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    response = StubPlatform.list_response(dispatcher.platform.endpoint_list)
    watch.send({"nothing": b"", "half a head": response[:25], "half a body": response[:-40]}[sent_part])
    dispatcher.step_for(0.3)
    dispatcher.platform.answers_list = True
    route = dispatcher.core.registry.routes["r1"]
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - started_at < LIST_DEADLINE
    assert watch.receive() is not None and watch.ended_by  # the silent connection is closed


def test_an_indented_list_received_in_single_bytes_is_read(dispatcher: SocketDispatcher) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch = dispatcher.platform.stop_answering_list()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    for byte in StubPlatform.list_response(dispatcher.platform.endpoint_list, indent=4):
        watch.send(bytes([byte]))
        dispatcher.step()
    route = dispatcher.core.registry.routes["r1"]
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert dispatcher.core.counters["list failures"] == 0


def test_an_endless_corrupted_list_changes_nothing_and_is_requested_anew(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, started_at = dispatcher.platform.stop_answering_list(), time.monotonic()
    dispatcher.set_endpoint_list("Terminating", seq=2)
    watch.send(b'HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n{"seq":2,"whole":true,"hosts":[')
    route = dispatcher.core.registry.routes["r1"]
    requests_before = len(dispatcher.platform.list_requests)
    while len(dispatcher.platform.list_requests) == requests_before:
        assert time.monotonic() - started_at < LIST_DEADLINE and route.listed_state is ListedState.UP
        if not watch.ended_by:
            watch.send(NOISE)
            watch.receive()
        dispatcher.step(0.01)
    dispatcher.platform.answers_list = True
    dispatcher.step_until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - started_at < LIST_DEADLINE


@pytest.mark.parametrize("how", ["refused", "hanging"])
def test_failed_reconnects_to_the_list_are_retried(dispatcher: SocketDispatcher, how: str) -> None:
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch, listener = dispatcher.platform.stop_answering_list(), dispatcher.platform.listener
    dispatcher.set_endpoint_list("Terminating", seq=2)
    host, port = listener.getsockname()
    waiting: list[socket.socket] = []
    if how == "refused":
        listener.close()
        # The stub needs a listener to poll.
        dispatcher.platform.listener = socket.create_server((host, 0))
        dispatcher.platform.listener.setblocking(False)
    else:  # connections wait because the backlog is full
        listener.listen(0)
        for _ in range(3):
            waiting.append(socket.socket())
            waiting[-1].setblocking(False)
            waiting[-1].connect_ex((host, port))
        dispatcher.platform.accept = lambda: None  # type: ignore[method-assign]
    started_at = time.monotonic()
    watch.reset()
    failures = dispatcher.core.counters["list failures"]
    dispatcher.step_until(lambda: dispatcher.core.counters["list failures"] >= failures + 3)
    assert 0.3 < time.monotonic() - started_at < 3.0
    assert dispatcher.core.registry.routes["r1"].listed_state is ListedState.UP and dispatcher.core.ready
    if how == "refused":
        dispatcher.platform.listener.close()
        dispatcher.platform.listener = socket.create_server((host, port))
        dispatcher.platform.listener.setblocking(False)
    else:
        for pending_socket in waiting:
            pending_socket.close()
        listener.listen(64)
        del dispatcher.platform.accept
    dispatcher.platform.answers_list, restored_at = True, time.monotonic()
    dispatcher.step_until(lambda: dispatcher.core.registry.routes["r1"].listed_state is ListedState.DRAINING)
    assert time.monotonic() - restored_at < 2.0


def test_a_response_from_the_old_list_address_is_ignored_after_a_move(dispatcher: SocketDispatcher) -> None:
    """The response is in the kernel, unread, as the new configuration with another address is applied."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    old, watch = dispatcher.platform, dispatcher.platform.stop_answering_list()
    new = StubPlatform()
    new.endpoint_list = {**old.endpoint_list, "seq": 1}
    plan, new_address = dispatcher.assembly.plan, Address(new.address)
    source, outlet = replace(plan.source, address=new_address), replace(plan.outlet, address=new_address)
    dispatcher.set_endpoint_list("Terminating", seq=9)
    watch.send(StubPlatform.list_response(old.endpoint_list))  # in the kernel as the move is applied
    dispatcher.assembly.apply_platform_settings(replace(plan, source=source, outlet=outlet))
    try:
        dispatcher.platform = new
        dispatcher.step_until(lambda: any("wait_ms=2" in query for _, query, _ in new.list_requests))
        assert "after" not in new.list_requests[0][1]  # the versions of the old address do not apply
        assert dispatcher.core.registry.routes["r1"].listed_state is ListedState.UP
    finally:
        dispatcher.platform = old
        new.close()


def test_discovery_that_never_responds_keeps_no_client_out(tmp_path: Path) -> None:
    dispatcher = SocketDispatcher(tmp_path)
    dispatcher.platform.answers_list = False
    started_at = time.monotonic()
    try:
        dispatcher.start_until_ready()
        assert time.monotonic() - started_at < 2.0
        client = dispatcher.connect_client()
        client.send(dispatcher.put_request("a"))
        dispatcher.step_until(lambda: client.receive() == OK)
        dispatcher.respond("a")
        dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    finally:
        dispatcher.close()


@pytest.mark.parametrize("first", ["call", "drain"])
def test_a_drain_received_as_a_call_is_being_written(dispatcher: SocketDispatcher, first: str) -> None:
    """Both wait in the kernel: the established connection to the receiver, and the update that drains its
    route."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    watch = dispatcher.platform.stop_answering_list()
    client = dispatcher.connect_client()
    after_call: list[Callable[[], None]] = []
    may_begin = dispatcher.core.may_start

    def check_before_call(attempt: object, held: object) -> bool:
        """The last check before the call's first byte: the list update is read in it, or right after it."""
        dispatcher.core.may_start = may_begin  # type: ignore[method-assign]
        dispatcher.set_endpoint_list("Terminating", seq=2)
        update = parse_endpoint_list(dispatcher.platform.endpoint_list)[2]
        if first == "drain":
            dispatcher.core.list_updated(update, True)
            return may_begin(attempt, held)  # type: ignore[arg-type]
        may = may_begin(attempt, held)  # type: ignore[arg-type]
        after_call.append(lambda: dispatcher.core.list_updated(update, True))
        return may

    dispatcher.core.may_start = check_before_call  # type: ignore[method-assign]
    client.send(dispatcher.put_request("a", lifetime=1500))
    dispatcher.step_until(lambda: client.receive() == OK and dispatcher.core.may_start == may_begin)
    for call in after_call:
        call()
    dispatcher.step_for(0.3)
    assert dispatcher.received_calls() == (["a"] if first == "call" else [])
    if first == "call":
        dispatcher.respond("a")
        dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    else:
        dispatcher.step_until(lambda: dispatcher.platform.notices)
        assert '"handed_back"' in dispatcher.platform.notices[0]
    assert watch
