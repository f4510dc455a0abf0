"""Limits on connections: idle clients, floods, clients that send much and leave, exhausted descriptors."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import sys
import time
from collections.abc import Iterator
from http.server import ThreadingHTTPServer
from pathlib import Path

import pytest
from socket_dispatcher import Connection, SocketDispatcher
from test_process import Platform, Process
from test_process import platform as platform  # a fixture
from test_race_exit import launch_with

from laureldock.interface import ListedState
from laureldock.sockets.reactor import can_open

OK, PONG = b"+OK\r\n", b"+PONG\r\n"
LIST_DEADLINE = 6.0


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def connect_and_ping(dispatcher: SocketDispatcher) -> Connection:
    host, _, port = dispatcher.listen_address.rpartition(":")
    client = Connection(socket.create_connection((host, int(port))))
    client.send(b"PING\r\n")
    return client


def test_idle_clients_fill_their_limit_while_discovery_is_down(dispatcher: SocketDispatcher) -> None:
    """The socket that the list needs is reserved: once discovery is back, the list is read in time and
    messages are delivered."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    dispatcher.platform.stop_answering_list().reset()
    clients = [connect_and_ping(dispatcher) for _ in range(80)]
    dispatcher.step_until(lambda: all(client.receive() == PONG for client in clients))  # none is refused
    assert len(dispatcher.front.connections) < 32 + 4  # half of 64 sockets, and those accepted in one poll
    assert clients[0].ended_by == "closed" and not clients[-1].ended_by  # the longest idle went first
    dispatcher.set_endpoint_list("Ready", seq=5)
    dispatcher.platform.endpoint_list["hosts"].append(
        {**dispatcher.platform.endpoint_list["hosts"][0], "host": "r9", "health": "Terminating"}
    )
    dispatcher.platform.answers_list, back = True, time.monotonic()
    dispatcher.step_until(lambda: "r9" in dispatcher.core.registry.routes)
    assert time.monotonic() - back < 1.0
    assert dispatcher.core.registry.routes["r9"].listed_state is ListedState.DRAINING
    client = connect_and_ping(dispatcher)
    dispatcher.step_until(lambda: client.receive() == PONG)
    client.received = b""
    client.send(dispatcher.put_request("a", "charge"))
    dispatcher.step_until(lambda: client.receive() == OK)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert not dispatcher.core.counters["faults"]


def test_clients_beyond_the_idle_ones_are_answered_and_none_is_reset(dispatcher: SocketDispatcher) -> None:
    """Idle clients are closed to make room for later ones, and must not lose a reply by it."""
    clients = [connect_and_ping(dispatcher) for _ in range(30)]
    dispatcher.step_until(lambda: sum(client.receive() == PONG for client in clients) == 30)
    for number, client in enumerate(clients):
        if not client.ended_by:
            client.received = b""
            client.send(dispatcher.put_request(f"m{number}", "news"))
    later_clients = [connect_and_ping(dispatcher) for _ in range(30)]
    dispatcher.step_until(lambda: all(client.receive() or client.ended_by for client in later_clients))
    dispatcher.step_until(lambda: all(client.receive() == OK or client.ended_by for client in clients))
    ends = {client.ended_by for client in clients + later_clients}
    assert ends <= {"", "closed"}  # a reset would discard a reply
    served_clients = [client for client in clients if client.received == OK]
    assert len(served_clients) >= 10 and dispatcher.core.counters["taken"] == len(served_clients)


def test_clients_that_send_much_at_once_and_leave_hold_no_memory(dispatcher: SocketDispatcher) -> None:
    """Floods of complete requests, of incomplete ones and of noise: their messages are withdrawn, and other
    clients are served."""
    floods = [
        dispatcher.put_request("f%d", body="x" * 4000) * 30,
        dispatcher.put_request("h", body="y" * 60_000)[:-9],
        b"\xff" * 300_000,
    ]
    good = dispatcher.connect_client()
    for number in range(30):
        client = connect_and_ping(dispatcher)
        client.socket.setblocking(False)
        with contextlib.suppress(OSError):
            client.socket.send(floods[number % 3].replace(b"f%d", b"f%02d" % number))
        (client.reset if number % 2 else client.close)()
        dispatcher.step()
    good.send(dispatcher.put_request("a", "charge"))
    dispatcher.step_until(lambda: good.receive() == OK)
    dispatcher.step_for(0.5)
    held = sum(len(accepted._buffer) for accepted in dispatcher.front.connections)
    assert held < 200_000 and len(dispatcher.front.connections) <= 2
    dispatcher.respond("a")
    assert not dispatcher.core.counters["faults"]


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def test_out_of_descriptors_clients_wait_to_be_accepted_and_nothing_spins(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """The process has fewer descriptors than the platform stated. Clients beyond them were once accepted and
    closed at once."""
    process = Process(tmp_path, platform)
    try:
        child = launch_with(process, f"ulimit -n 48; exec {sys.executable} -m laureldock serve")
        end = time.monotonic() + 10
        while process.ask(b"PING\r\n") != PONG:
            assert child.poll() is None and time.monotonic() < end
            time.sleep(0.02)
        clients = [Connection(process.open()) for _ in range(90)]
        for number, client in enumerate(clients):  # each has sent a request by the time it is accepted
            client.send(SocketDispatcher.put_request(f"m{number}", lifetime=20_000))
        before, began = cpu_seconds(child.pid), time.monotonic()
        while time.monotonic() - began < 6 and not all(client.receive() == OK for client in clients):
            time.sleep(0.02)
        used_cpu = (cpu_seconds(child.pid) - before) / (time.monotonic() - began)
        assert all(client.receive() == OK for client in clients), [
            (p.received, p.ended_by) for p in clients if p.received != OK
        ][:9]
        assert used_cpu < 0.6  # of a core; a busy loop would use all of it
        rest = cpu_seconds(child.pid)
        time.sleep(1.0)
        assert cpu_seconds(child.pid) - rest < 0.3
        time.sleep(1.0)
        assert set(Platform.relayed) == {f"m{number}" for number in range(90)}
        assert b"out_of_descriptors:" in process.ask(b"INFO\r\n")
    finally:
        process.child.kill()
        process.child.wait(10)


def test_only_a_full_descriptor_table_stops_accepting(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process without standard error has no descriptor to duplicate, but can still open others."""
    assert can_open(12)
    for fault, room in ((errno.EMFILE, False), (errno.ENFILE, False), (errno.EBADF, True)):

        def failing(descriptor: int, fault: int = fault) -> int:
            raise OSError(fault, "no")

        monkeypatch.setattr(os, "dup", failing)
        assert can_open(12) is room
