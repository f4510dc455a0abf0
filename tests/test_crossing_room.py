"""Room: idle clients, floods, clients that send much and go, and descriptors that run out."""

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
from test_crossing_exit import launched
from test_process import Platform, Process
from test_process import platform as platform  # a fixture

from laureldock.interface import ListedState
from laureldock.sockets.reactor import can_open

OK, PONG = b"+OK\r\n", b"+PONG\r\n"
TOLD = 6.0


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def connected(dispatcher: SocketDispatcher) -> Connection:
    host, _, port = dispatcher.listen_address.rpartition(":")
    peer = Connection(socket.create_connection((host, int(port))))
    peer.send(b"PING\r\n")
    return peer


def test_idle_clients_fill_the_room_while_discovery_is_down(dispatcher: SocketDispatcher) -> None:
    """What the list needs is kept from them: once it is back it is known in time, and mails flow."""
    dispatcher.step_until(lambda: dispatcher.platform.watches)
    dispatcher.platform.stop_answering_list().reset()
    peers = [connected(dispatcher) for _ in range(80)]
    dispatcher.step_until(lambda: all(peer.receive() == PONG for peer in peers))  # none is turned away
    assert len(dispatcher.front.clients) < 32 + 4  # half of 64 sockets, and one look
    assert peers[0].ended_by == "closed" and not peers[-1].ended_by  # the longest idle went first
    dispatcher.set_endpoint_list("Ready", seq=5)
    dispatcher.platform.endpoint_list["hosts"].append(
        {**dispatcher.platform.endpoint_list["hosts"][0], "host": "r9", "health": "Terminating"}
    )
    dispatcher.platform.answers_list, back = True, time.monotonic()
    dispatcher.step_until(lambda: "r9" in dispatcher.core.book.routes)
    assert time.monotonic() - back < 1.0
    assert dispatcher.core.book.routes["r9"].listed_state is ListedState.DRAINING
    peer = connected(dispatcher)
    dispatcher.step_until(lambda: peer.receive() == PONG)
    peer.received = b""
    peer.send(dispatcher.put_request("a", "charge"))
    dispatcher.step_until(lambda: peer.receive() == OK)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert not dispatcher.core.counters["faults"]


def test_who_asks_behind_idle_clients_is_answered_and_none_of_them_is_reset(
    dispatcher: SocketDispatcher,
) -> None:
    peers = [connected(dispatcher) for _ in range(30)]
    dispatcher.step_until(lambda: sum(peer.receive() == PONG for peer in peers) == 30)
    for number, peer in enumerate(peers):
        if not peer.ended_by:
            peer.received = b""
            peer.send(dispatcher.put_request(f"m{number}", "news"))
    more = [connected(dispatcher) for _ in range(30)]
    dispatcher.step_until(lambda: all(peer.receive() or peer.ended_by for peer in more))
    dispatcher.step_until(lambda: all(peer.receive() == OK or peer.ended_by for peer in peers))
    ends = {peer.ended_by for peer in peers + more}
    assert ends <= {"", "closed"}  # a reset takes an answer along
    asked = [peer for peer in peers if peer.received == OK]
    assert len(asked) >= 10 and dispatcher.core.counters["taken"] == len(asked)


def test_clients_that_send_much_at_once_and_go_leave_nothing_behind(dispatcher: SocketDispatcher) -> None:
    """A flood of whole requests, of half ones and of noise; their mails are withdrawn, others are served."""
    floods = [
        dispatcher.put_request("f%d", body="x" * 4000) * 30,
        dispatcher.put_request("h", body="y" * 60_000)[:-9],
        b"\xff" * 300_000,
    ]
    good = dispatcher.connect_client()
    for number in range(30):
        peer = connected(dispatcher)
        peer.socket.setblocking(False)
        with contextlib.suppress(OSError):
            peer.socket.send(floods[number % 3].replace(b"f%d", b"f%02d" % number))
        (peer.reset if number % 2 else peer.close)()
        dispatcher.step()
    good.send(dispatcher.put_request("a", "charge"))
    dispatcher.step_until(lambda: good.receive() == OK)
    dispatcher.step_for(0.5)
    held = sum(len(client._buffer) for client in dispatcher.front.clients)
    assert held < 200_000 and len(dispatcher.front.clients) <= 2
    dispatcher.respond("a")
    assert not dispatcher.core.counters["faults"]


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


def test_out_of_descriptors_nobody_who_behaves_is_cut_off_and_nothing_spins(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """The machine gives fewer than the platform told. Who came past them was accepted and closed at once."""
    process = Process(tmp_path, platform)
    try:
        child = launched(process, f"ulimit -n 48; exec {sys.executable} -m laureldock serve")
        end = time.monotonic() + 10
        while process.ask(b"PING\r\n") != PONG:
            assert child.poll() is None and time.monotonic() < end
            time.sleep(0.02)
        peers = [Connection(process.open()) for _ in range(90)]
        for number, peer in enumerate(peers):  # each has a request open in the moment in which it is accepted
            peer.send(SocketDispatcher.put_request(f"m{number}", lifetime=20_000))
        before, began = cpu(child.pid), time.monotonic()
        while time.monotonic() - began < 6 and not all(peer.receive() == OK for peer in peers):
            time.sleep(0.02)
        spent = (cpu(child.pid) - before) / (time.monotonic() - began)
        assert all(peer.receive() == OK for peer in peers), [
            (p.received, p.ended_by) for p in peers if p.received != OK
        ][:9]
        assert spent < 0.6  # of a core, which a loop without rest would take whole
        rest = cpu(child.pid)
        time.sleep(1.0)
        assert cpu(child.pid) - rest < 0.3
        time.sleep(1.0)
        assert set(Platform.relayed) == {f"m{number}" for number in range(90)}
        assert b"out_of_descriptors:" in process.ask(b"INFO\r\n")
    finally:
        process.child.kill()
        process.child.wait(10)


def test_only_a_full_table_of_descriptors_keeps_the_door_shut(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process without standard error has nothing to double, and room all the same."""
    assert can_open(12)
    for fault, room in ((errno.EMFILE, False), (errno.ENFILE, False), (errno.EBADF, True)):

        def failing(descriptor: int, fault: int = fault) -> int:
            raise OSError(fault, "no")

        monkeypatch.setattr(os, "dup", failing)
        assert can_open(12) is room
