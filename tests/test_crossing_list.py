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
from dock import Pipe, Quay
from msgspec.structs import replace
from shore import Platform, Shore

from laureldock.interface import ListedState
from laureldock.setup.units import Address
from laureldock.sources.platform import parse_endpoint_list

TOLD = 6.0  # by the platform's pages, from when a watch fell silent
OK = b"+OK\r\n"
TROUBLES = ["refused", "hanging", "silent", "cut short", "spoilt", "spoilt without end", "error", "slow"]
GARBAGE = b"\xff{]," * 10


@pytest.fixture
def shore(tmp_path: Path) -> Iterator[Shore]:
    here = Shore(tmp_path)
    yield here.ready()
    here.end()


class Agent:
    """Meets each ask after the silent watch by the next of its troubles, and the last by the list."""

    def __init__(self, quay: Quay, troubles: list[str]) -> None:
        self.quay, self.troubles, self.seen = quay, troubles, 0
        self.body = json.dumps(quay.hosts("1", "Terminating", 2))
        self.slow: Iterator[bytes] = iter(())  # what is still to come, a part at each look
        self.step()

    def step(self) -> None:
        trouble = self.troubles[0] if self.troubles else ""
        self.quay.down = {"9"} if trouble == "refused" else set()
        self.quay.late = {"9"} if trouble == "hanging" else set()

    def look(self) -> None:
        quay, lines = self.quay, self.quay.lines[self.seen :]
        self.seen += len(lines)
        over = any("9: no connection" in line or "9: not waited for" in line for line in lines)
        pipe = next((pipe for pipe in quay.pipes if pipe.name == "list"), None)
        if over:
            self.troubles.pop(0)
        elif pipe and pipe.asked:
            pipe.asked = False
            self.meet(pipe)
        elif pipe and (part := next(self.slow, b"")):
            quay.send(pipe, part)
        self.step()

    def meet(self, pipe: Pipe) -> None:
        trouble = self.troubles.pop(0) if self.troubles else ""
        whole = f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n\r\n{self.body}".encode()
        self.slow = iter(())
        match trouble:
            case "":
                self.quay.send(pipe, whole)
            case "cut short":
                self.quay.send(pipe, whole[:-30])
            case "spoilt":
                self.quay.send(pipe, whole.replace(b'"hosts"', b'"hsots"'))
            case "error":
                self.quay.send(pipe, b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
            case "spoilt without end":
                self.quay.send(pipe, b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
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
    quay = Quay(tmp_path, monkeypatch)
    quay.lists = False  # from here on the watch that stands is never answered
    watch = quay.pipe("list")
    watch.asked = False
    quay.lines.clear()
    agent = Agent(quay, list(troubles))
    route = quay.dispatcher.registry.routes["r1"]
    while route.listed_state is ListedState.UP:
        assert quay.now < 100 + TOLD, quay.lines
        quay.after(0.05)
        agent.look()
    assert not agent.troubles
    assert quay.now - 100 < TOLD


def test_a_list_that_is_down_is_asked_for_at_a_pace(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Refused at once, it is not asked for without pause; and many that fail together do not ask as one."""
    quay = Quay(tmp_path, monkeypatch)
    quay.lists, quay.down = False, {"9"}
    quay.lose(quay.pipe("list"))
    quay.lines.clear()
    quay.after(8.0)
    refused = [line.split()[0] for line in quay.lines if "9: no connection" in line]
    assert 24 <= len(refused) <= 44 and len(set(refused)) == len(refused)


@pytest.mark.parametrize("told", ["nothing", "half a head", "half a body"])
def test_a_watch_that_falls_silent_over_loopback(shore: Shore, told: str) -> None:
    shore.until(lambda: shore.platform.watches)
    watch, began = shore.platform.silence(), time.monotonic()
    shore.announce("Terminating", seq=2)
    answer = Platform.answer(shore.platform.hosts)
    watch.send({"nothing": b"", "half a head": answer[:25], "half a body": answer[:-40]}[told])
    shore.spend(0.3)
    shore.platform.lists = True
    route = shore.core.registry.routes["r1"]
    shore.until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - began < TOLD
    assert watch.pull() is not None and watch.ended  # the silent connection is not kept


def test_an_indented_list_that_comes_in_single_bytes(shore: Shore) -> None:
    shore.until(lambda: shore.platform.watches)
    watch = shore.platform.silence()
    shore.announce("Terminating", seq=2)
    for byte in Platform.answer(shore.platform.hosts, indent=4):
        watch.send(bytes([byte]))
        shore.step()
    route = shore.core.registry.routes["r1"]
    shore.until(lambda: route.listed_state is ListedState.DRAINING)
    assert shore.core.counters["list failures"] == 0


def test_a_list_spoilt_without_end_changes_nothing_and_is_asked_for_anew(shore: Shore) -> None:
    shore.until(lambda: shore.platform.watches)
    watch, began = shore.platform.silence(), time.monotonic()
    shore.announce("Terminating", seq=2)
    watch.send(b'HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n{"seq":2,"whole":true,"hosts":[')
    route = shore.core.registry.routes["r1"]
    asks = len(shore.platform.asks)
    while len(shore.platform.asks) == asks:
        assert time.monotonic() - began < TOLD and route.listed_state is ListedState.UP
        if not watch.ended:
            watch.send(GARBAGE)
            watch.pull()
        shore.step(0.01)
    shore.platform.lists = True
    shore.until(lambda: route.listed_state is ListedState.DRAINING)
    assert time.monotonic() - began < TOLD


@pytest.mark.parametrize("how", ["refused", "hanging"])
def test_a_reconnect_to_the_list_that_fails(shore: Shore, how: str) -> None:
    shore.until(lambda: shore.platform.watches)
    watch, door = shore.platform.silence(), shore.platform.door
    shore.announce("Terminating", seq=2)
    host, port = door.getsockname()
    waiting: list[socket.socket] = []
    if how == "refused":
        door.close()
        shore.platform.door = socket.create_server((host, 0))  # so that the stand-in has one to look at
        shore.platform.door.setblocking(False)
    else:  # connections wait for a place among those not accepted
        door.listen(0)
        for _ in range(3):
            waiting.append(socket.socket())
            waiting[-1].setblocking(False)
            waiting[-1].connect_ex((host, port))
        shore.platform.accept = lambda: None  # type: ignore[method-assign]
    began = time.monotonic()
    watch.reset()
    failures = shore.core.counters["list failures"]
    shore.until(lambda: shore.core.counters["list failures"] >= failures + 3)
    assert 0.3 < time.monotonic() - began < 3.0
    assert shore.core.registry.routes["r1"].listed_state is ListedState.UP and shore.core.ready
    if how == "refused":
        shore.platform.door.close()
        shore.platform.door = socket.create_server((host, port))
        shore.platform.door.setblocking(False)
    else:
        for link in waiting:
            link.close()
        door.listen(64)
        del shore.platform.accept
    shore.platform.lists, back = True, time.monotonic()
    shore.until(lambda: shore.core.registry.routes["r1"].listed_state is ListedState.DRAINING)
    assert time.monotonic() - back < 2.0


def test_the_list_moves_while_an_ask_is_out(shore: Shore) -> None:
    """What the old address answers after the move is nothing any more."""
    shore.until(lambda: shore.platform.watches)
    old, watch = shore.platform, shore.platform.silence()
    new = Platform()
    new.hosts = {**old.hosts, "seq": 1}
    plan, there = shore.assembly.plan, Address(new.address)
    source, outlet = replace(plan.source, address=there), replace(plan.outlet, address=there)
    shore.announce("Terminating", seq=9)
    watch.send(Platform.answer(old.hosts))  # in the kernel as the move is read
    shore.assembly.apply_platform_settings(replace(plan, source=source, outlet=outlet))
    try:
        shore.platform = new
        shore.until(lambda: any("wait_ms=2" in query for _, query, _ in new.asks))
        assert "after" not in new.asks[0][1]  # its versions are its own
        assert shore.core.registry.routes["r1"].listed_state is ListedState.UP
    finally:
        shore.platform = old
        new.close()


def test_an_agent_that_never_answers_keeps_no_client_out(tmp_path: Path) -> None:
    shore = Shore(tmp_path)
    shore.platform.lists = False
    began = time.monotonic()
    try:
        shore.ready()
        assert time.monotonic() - began < 2.0
        peer = shore.client()
        peer.send(shore.put("a"))
        shore.until(lambda: peer.pull() == OK)
        shore.serve("a")
        shore.until(lambda: not shore.core.store.pending)
    finally:
        shore.end()


@pytest.mark.parametrize("first", ["call", "drain"])
def test_a_drain_told_as_a_call_is_being_written(shore: Shore, first: str) -> None:
    """Both wait in the kernel: the connection to the receiver that has come up, and the news of its drain."""
    shore.until(lambda: shore.platform.watches)
    watch = shore.platform.silence()
    peer = shore.client()
    calls: list[Callable[[], None]] = []
    hold = shore.core.may_start

    def asked(attempt: object, held: object) -> bool:
        """The last look before the call's first byte: the list is read there, or right after it."""
        shore.core.may_start = hold  # type: ignore[method-assign]
        shore.announce("Terminating", seq=2)
        news = parse_endpoint_list(shore.platform.hosts)[2]
        if first == "drain":
            shore.core.list_updated(news, True)
            return hold(attempt, held)  # type: ignore[arg-type]
        may = hold(attempt, held)  # type: ignore[arg-type]
        calls.append(lambda: shore.core.list_updated(news, True))
        return may

    shore.core.may_start = asked  # type: ignore[method-assign]
    peer.send(shore.put("a", left=1500))
    shore.until(lambda: peer.pull() == OK and shore.core.may_start == hold)
    for call in calls:
        call()
    shore.spend(0.3)
    assert shore.calls() == (["a"] if first == "call" else [])
    if first == "call":
        shore.serve("a")
        shore.until(lambda: not shore.core.store.pending)
    else:
        shore.until(lambda: shore.platform.notices)
        assert '"handed_back"' in shore.platform.notices[0]
    assert watch
