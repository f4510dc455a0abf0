"""What came in while the process was busy is older than its reading."""

from __future__ import annotations

import errno
import socket
import time
from math import inf
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher
from socket_dispatcher import SocketDispatcher

from laureldock.sockets.reactor import OPENING, SteadyReactor


class Reading:
    """One end of a pair of sockets, read by the reactor."""

    def __init__(self, reactor: SteadyReactor) -> None:
        self.reactor, self.ages = reactor, list[float]()
        self.far, self.near = socket.socketpair()

    def fileno(self) -> int:
        return self.near.fileno()

    def doRead(self) -> None:  # noqa: N802
        self.near.recv(99)
        self.ages.append(self.reactor.unread())

    def logPrefix(self) -> str:  # noqa: N802
        return "reading"


def test_what_lay_while_the_process_was_busy_is_known_to_be_old() -> None:
    reactor: Any = SteadyReactor()
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
    reactor.opened = reactor.seconds()  # clients refused before come with lifetimes that run already
    reading.far.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() > 10 * OPENING
    reactor.removeReader(reading)


def test_a_mail_that_lay_unread_ends_in_its_own_time(tmp_path: Path, monkeypatch: Any) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting.add("1")  # the receiver never comes up
    dispatcher.front.unread = lambda: 0.3
    client = dispatcher.connect_client()
    dispatcher.put(client, "m", lifetime=1000)
    dispatcher.advance(0.85)
    assert dispatcher.assembly.core.counters["deferred"] == 1, dispatcher.lines


def test_a_mail_refused_before_the_door_was_open_ends_sooner(tmp_path: Path, monkeypatch: Any) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting.add("1")
    dispatcher.front.unread = lambda: inf
    dispatcher.put(dispatcher.connect_client(), "m", lifetime=1300)
    dispatcher.advance(0.65)
    assert dispatcher.assembly.core.counters["deferred"] == 1, dispatcher.lines


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
    dispatcher = SocketDispatcher(tmp_path)
    try:
        dispatcher.start_until_ready().skip_opening_period()
        port: Any = dispatcher.front.port
        listening = port.socket
        if cause == "accepts fail":
            port.socket = FailingAccept(listening)
        else:
            dispatcher.front.turn_away(True)
        client = dispatcher.connect_client(ping=False)
        client.send(dispatcher.put_request("a", lifetime=1500))
        sent_at = time.monotonic()
        dispatcher.step_for(0.35)
        port.socket = listening
        if cause == "no room":
            dispatcher.front.turn_away(False)
        dispatcher.step_until(lambda: b"a" in dispatcher.core.by_name)
        assert dispatcher.core.by_name[b"a"].end <= sent_at + 1.52
        dispatcher.step_until(lambda: client.receive() == b"+OK\r\n")
        client.send(dispatcher.put_request("b", lifetime=1500))  # no time was lost before this one
        sent_at = time.monotonic()
        dispatcher.step_until(lambda: b"b" in dispatcher.core.by_name)
        assert sent_at + 1.4 <= dispatcher.core.by_name[b"b"].end <= sent_at + 1.52
    finally:
        dispatcher.close()


def test_who_connects_after_a_moment_without_accepts_has_lost_no_time(tmp_path: Path) -> None:
    dispatcher = SocketDispatcher(tmp_path)
    try:
        dispatcher.start_until_ready().skip_opening_period()
        dispatcher.front.turn_away(True)
        dispatcher.step_for(0.3)
        dispatcher.front.turn_away(False)
        client = dispatcher.connect_client(ping=False)
        client.send(dispatcher.put_request("a", lifetime=1500))
        sent_at = time.monotonic()
        dispatcher.step_until(lambda: b"a" in dispatcher.core.by_name)
        assert dispatcher.core.by_name[b"a"].end >= sent_at + 1.4
    finally:
        dispatcher.close()
