"""What came in while the process was busy is older than its reading."""

from __future__ import annotations

import errno
import socket
import time
from math import inf
from pathlib import Path
from typing import Any

import pytest
from dock import Quay
from shore import Shore

from laureldock.sockets.reactor import LISTEN_SETTLE_TIME, MonotonicReactor


class Reading:
    """One end of a pair of sockets, read by the reactor."""

    def __init__(self, reactor: MonotonicReactor) -> None:
        self.reactor, self.ages = reactor, list[float]()
        self.far, self.near = socket.socketpair()

    def fileno(self) -> int:
        return self.near.fileno()

    def doRead(self) -> None:  # noqa: N802
        self.near.recv(99)
        self.ages.append(self.reactor.max_unread_time())

    def logPrefix(self) -> str:  # noqa: N802
        return "reading"


def test_what_lay_while_the_process_was_busy_is_known_to_be_old() -> None:
    reactor: Any = MonotonicReactor()
    reading: Any = Reading(reactor)
    reactor.addReader(reading)
    reactor.doIteration(0)  # at rest: nothing has come
    time.sleep(0.2)  # busy, while something comes
    reading.far.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() >= 0.2
    reactor.doIteration(0)  # all is read
    reading.far.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() < 0.15
    reactor.listening_at = reactor.seconds()  # clients refused before come with lifetimes that run already
    reading.far.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() > 10 * LISTEN_SETTLE_TIME
    reactor.removeReader(reading)


def test_a_mail_that_lay_unread_ends_in_its_own_time(tmp_path: Path, monkeypatch: Any) -> None:
    quay = Quay(tmp_path, monkeypatch)
    quay.late.add("1")  # the receiver never comes up
    quay.front.max_unread_time = lambda: 0.3
    client = quay.client()
    quay.put(client, "m", left=1000)
    quay.after(0.85)
    assert quay.assembly.core.counters["deferred"] == 1, quay.lines


def test_a_mail_refused_before_the_door_was_open_ends_sooner(tmp_path: Path, monkeypatch: Any) -> None:
    quay = Quay(tmp_path, monkeypatch)
    quay.late.add("1")
    quay.front.max_unread_time = lambda: inf
    quay.put(quay.client(), "m", left=1300)
    quay.after(0.65)
    assert quay.assembly.core.counters["deferred"] == 1, quay.lines


class FailingAccept:
    """A listening socket that accepts nobody."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listening, name)

    def accept(self) -> None:
        raise OSError(errno.ENOBUFS, "no buffer space available")


@pytest.mark.parametrize("cause", ["accepts fail", "no room"])
def test_a_message_that_waited_to_be_accepted_ends_in_its_own_time(tmp_path: Path, cause: str) -> None:
    """Its client had connected and sent it; the lifetime was counted from when it was read."""
    shore = Shore(tmp_path)
    try:
        shore.ready().settle()
        port: Any = shore.front.port
        listening = port.socket
        if cause == "accepts fail":
            port.socket = FailingAccept(listening)
        else:
            shore.front.set_accepting_paused(True)
        client = shore.client(ping=False)
        client.send(shore.put("a", left=1500))
        sent_at = time.monotonic()
        shore.spend(0.35)
        port.socket = listening
        if cause == "no room":
            shore.front.set_accepting_paused(False)
        shore.until(lambda: b"a" in shore.core.messages_by_name)
        assert shore.core.messages_by_name[b"a"].expires_at <= sent_at + 1.52
        shore.until(lambda: client.pull() == b"+OK\r\n")
        client.send(shore.put("b", left=1500))  # no time was lost before this one
        sent_at = time.monotonic()
        shore.until(lambda: b"b" in shore.core.messages_by_name)
        assert sent_at + 1.4 <= shore.core.messages_by_name[b"b"].expires_at <= sent_at + 1.52
    finally:
        shore.end()


def test_who_connects_after_a_moment_without_accepts_has_lost_no_time(tmp_path: Path) -> None:
    shore = Shore(tmp_path)
    try:
        shore.ready().settle()
        shore.front.set_accepting_paused(True)
        shore.spend(0.3)
        shore.front.set_accepting_paused(False)
        client = shore.client(ping=False)
        client.send(shore.put("a", left=1500))
        sent_at = time.monotonic()
        shore.until(lambda: b"a" in shore.core.messages_by_name)
        assert shore.core.messages_by_name[b"a"].expires_at >= sent_at + 1.4
    finally:
        shore.end()
