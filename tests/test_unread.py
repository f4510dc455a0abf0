"""The lifetime of a message runs from its arrival, also while the process is too busy to read it."""

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

from laureldock.sockets.reactor import LISTEN_SETTLE_TIME, MonotonicReactor


class ReadingSocket:
    """One end of a socket pair, read by the reactor; notes the age of what it reads."""

    def __init__(self, reactor: MonotonicReactor) -> None:
        self.reactor, self.ages = reactor, list[float]()
        self.far_end, self.near_end = socket.socketpair()

    def fileno(self) -> int:
        return self.near_end.fileno()

    def doRead(self) -> None:  # noqa: N802
        self.near_end.recv(99)
        self.ages.append(self.reactor.max_unread_time())

    def logPrefix(self) -> str:  # noqa: N802
        return "reading"


def test_bytes_received_while_the_process_was_busy_have_an_age() -> None:
    reactor: Any = MonotonicReactor()
    reading: Any = ReadingSocket(reactor)
    reactor.addReader(reading)
    reactor.doIteration(0)  # nothing has been received
    time.sleep(0.2)  # busy while bytes arrive
    reading.far_end.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() >= 0.2
    reactor.doIteration(0)  # nothing is unread any more
    reading.far_end.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() < 0.15
    # Clients that were refused before then come with lifetimes that are running already.
    reactor.listening_at = reactor.seconds()
    reading.far_end.send(b"x")
    reactor.doIteration(0)
    assert reading.ages.pop() > 10 * LISTEN_SETTLE_TIME
    reactor.removeReader(reading)


def test_the_lifetime_of_an_unread_message_runs_from_its_arrival(tmp_path: Path, monkeypatch: Any) -> None:
    """Its request waited unread for 0.3 s, which count against its lifetime of one second."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting.add("1")  # no connection to the receiver is established
    dispatcher.front.max_unread_time = lambda: 0.3
    client = dispatcher.connect_client()
    dispatcher.put(client, "m", lifetime=1000)
    dispatcher.advance(0.85)
    assert dispatcher.assembly.core.counters["deferred"] == 1, dispatcher.lines


def test_a_message_that_may_have_been_refused_before_startup_ends_sooner(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """Its client may have been refused before the listener was open, for an unknown part of its lifetime."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.not_connecting.add("1")
    dispatcher.front.max_unread_time = lambda: inf
    dispatcher.put(dispatcher.connect_client(), "m", lifetime=1300)
    dispatcher.advance(0.65)
    assert dispatcher.assembly.core.counters["deferred"] == 1, dispatcher.lines


class FailingAccept:
    """A listening socket whose accept fails."""

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listening, name)

    def accept(self) -> None:
        raise OSError(errno.ENOBUFS, "no buffer space available")


@pytest.mark.parametrize("cause", ["accepts fail", "no room"])
def test_the_lifetime_of_a_message_runs_while_its_connection_waits_to_be_accepted(
    tmp_path: Path, cause: str
) -> None:
    """Its client had connected and sent it; the lifetime was once counted from when it was read."""
    dispatcher = SocketDispatcher(tmp_path)
    try:
        dispatcher.start_until_ready().skip_opening_period()
        port: Any = dispatcher.front.port
        listening = port.socket
        if cause == "accepts fail":
            port.socket = FailingAccept(listening)
        else:
            dispatcher.front.set_accepting_paused(True)
        client = dispatcher.connect_client(ping=False)
        client.send(dispatcher.put_request("a", lifetime=1500))
        sent_at = time.monotonic()
        dispatcher.step_for(0.35)
        port.socket = listening
        if cause == "no room":
            dispatcher.front.set_accepting_paused(False)
        dispatcher.step_until(lambda: b"a" in dispatcher.core.messages_by_name)
        assert dispatcher.core.messages_by_name[b"a"].expires_at <= sent_at + 1.52
        dispatcher.step_until(lambda: client.receive() == b"+OK\r\n")
        client.send(dispatcher.put_request("b", lifetime=1500))  # this one did not wait
        sent_at = time.monotonic()
        dispatcher.step_until(lambda: b"b" in dispatcher.core.messages_by_name)
        assert sent_at + 1.4 <= dispatcher.core.messages_by_name[b"b"].expires_at <= sent_at + 1.52
    finally:
        dispatcher.close()


def test_a_client_that_connects_after_a_pause_of_accepting_loses_no_lifetime(tmp_path: Path) -> None:
    dispatcher = SocketDispatcher(tmp_path)
    try:
        dispatcher.start_until_ready().skip_opening_period()
        dispatcher.front.set_accepting_paused(True)
        dispatcher.step_for(0.3)
        dispatcher.front.set_accepting_paused(False)
        client = dispatcher.connect_client(ping=False)
        client.send(dispatcher.put_request("a", lifetime=1500))
        sent_at = time.monotonic()
        dispatcher.step_until(lambda: b"a" in dispatcher.core.messages_by_name)
        assert dispatcher.core.messages_by_name[b"a"].expires_at >= sent_at + 1.4
    finally:
        dispatcher.close()
