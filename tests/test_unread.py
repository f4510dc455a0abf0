"""What came in while the process was busy is older than its reading."""

from __future__ import annotations

import socket
import time
from math import inf
from pathlib import Path
from typing import Any

from dock import Quay

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
    quay = Quay(tmp_path, monkeypatch)
    quay.late.add("1")  # the receiver never comes up
    quay.front.unread = lambda: 0.3
    client = quay.client()
    quay.put(client, "m", left=1000)
    quay.after(0.85)
    assert quay.assembly.core.counters["deferred"] == 1, quay.lines


def test_a_mail_refused_before_the_door_was_open_ends_sooner(tmp_path: Path, monkeypatch: Any) -> None:
    quay = Quay(tmp_path, monkeypatch)
    quay.late.add("1")
    quay.front.unread = lambda: inf
    quay.put(quay.client(), "m", left=1300)
    quay.after(0.65)
    assert quay.assembly.core.counters["deferred"] == 1, quay.lines
