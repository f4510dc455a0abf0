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
from shore import Peer, Shore
from test_crossing_exit import launched
from test_process import Platform, Process
from test_process import platform as platform  # a fixture

from laureldock.interface import ListedState
from laureldock.sockets.reactor import can_open

OK, PONG = b"+OK\r\n", b"+PONG\r\n"
TOLD = 6.0


@pytest.fixture
def shore(tmp_path: Path) -> Iterator[Shore]:
    here = Shore(tmp_path)
    yield here.ready()
    here.end()


def connected(shore: Shore) -> Peer:
    host, _, port = shore.listen.rpartition(":")
    peer = Peer(socket.create_connection((host, int(port))))
    peer.send(b"PING\r\n")
    return peer


def test_idle_clients_fill_the_room_while_discovery_is_down(shore: Shore) -> None:
    """What the list needs is kept from them: once it is back it is known in time, and mails flow."""
    shore.until(lambda: shore.platform.watches)
    shore.platform.silence().reset()
    peers = [connected(shore) for _ in range(80)]
    shore.until(lambda: all(peer.pull() == PONG for peer in peers))  # none is turned away
    assert len(shore.front.connections) < 32 + 4  # half of 64 sockets, and one look
    assert peers[0].ended == "closed" and not peers[-1].ended  # the longest idle went first
    shore.announce("Ready", seq=5)
    shore.platform.hosts["hosts"].append(
        {**shore.platform.hosts["hosts"][0], "host": "r9", "health": "Terminating"}
    )
    shore.platform.lists, back = True, time.monotonic()
    shore.until(lambda: "r9" in shore.core.registry.routes)
    assert time.monotonic() - back < 1.0
    assert shore.core.registry.routes["r9"].listed_state is ListedState.DRAINING
    peer = connected(shore)
    shore.until(lambda: peer.pull() == PONG)
    peer.got = b""
    peer.send(shore.put("a", "charge"))
    shore.until(lambda: peer.pull() == OK)
    shore.serve("a")
    shore.until(lambda: not shore.core.store.pending)
    assert not shore.core.counters["faults"]


def test_who_asks_behind_idle_clients_is_answered_and_none_of_them_is_reset(shore: Shore) -> None:
    peers = [connected(shore) for _ in range(30)]
    shore.until(lambda: sum(peer.pull() == PONG for peer in peers) == 30)
    for number, peer in enumerate(peers):
        if not peer.ended:
            peer.got = b""
            peer.send(shore.put(f"m{number}", "news"))
    more = [connected(shore) for _ in range(30)]
    shore.until(lambda: all(peer.pull() or peer.ended for peer in more))
    shore.until(lambda: all(peer.pull() == OK or peer.ended for peer in peers))
    ends = {peer.ended for peer in peers + more}
    assert ends <= {"", "closed"}  # a reset takes an answer along
    asked = [peer for peer in peers if peer.got == OK]
    assert len(asked) >= 10 and shore.core.counters["taken"] == len(asked)


def test_clients_that_send_much_at_once_and_go_leave_nothing_behind(shore: Shore) -> None:
    """A flood of whole requests, of half ones and of noise; their mails are withdrawn, others are served."""
    floods = [
        shore.put("f%d", body="x" * 4000) * 30,
        shore.put("h", body="y" * 60_000)[:-9],
        b"\xff" * 300_000,
    ]
    good = shore.client()
    for number in range(30):
        peer = connected(shore)
        peer.link.setblocking(False)
        with contextlib.suppress(OSError):
            peer.link.send(floods[number % 3].replace(b"f%d", b"f%02d" % number))
        (peer.reset if number % 2 else peer.close)()
        shore.step()
    good.send(shore.put("a", "charge"))
    shore.until(lambda: good.pull() == OK)
    shore.spend(0.5)
    held = sum(len(client._buffer) for client in shore.front.connections)
    assert held < 200_000 and len(shore.front.connections) <= 2
    shore.serve("a")
    assert not shore.core.counters["faults"]


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
        peers = [Peer(process.open()) for _ in range(90)]
        for number, peer in enumerate(peers):  # each has a request open in the moment in which it is accepted
            peer.send(Shore.put(f"m{number}", left=20_000))
        before, began = cpu(child.pid), time.monotonic()
        while time.monotonic() - began < 6 and not all(peer.pull() == OK for peer in peers):
            time.sleep(0.02)
        spent = (cpu(child.pid) - before) / (time.monotonic() - began)
        assert all(peer.pull() == OK for peer in peers), [(p.got, p.ended) for p in peers if p.got != OK][:9]
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
