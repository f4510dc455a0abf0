"""Calls to receivers, each crossed by an end of its connection: what has not run, and what may have."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from socket_dispatcher import Connection, SocketDispatcher

from laureldock.core.ends import End
from laureldock.interface import Attempt
from laureldock.sockets import httpline

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def taken(dispatcher: SocketDispatcher, name: str, sort: str = "charge", left: int = 9000) -> Connection:
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request(name, sort, lifetime=left))
    dispatcher.step_until(lambda: peer.receive() == OK)
    return peer


def warm(dispatcher: SocketDispatcher) -> Connection:
    """A connection at rest, that has carried a call."""
    taken(dispatcher, "first", "news")
    link = dispatcher.respond("first")
    dispatcher.step_until(lambda: not dispatcher.core.store.owed and dispatcher.assembly.receivers.pools)
    return link


def ends(dispatcher: SocketDispatcher) -> dict[str, int]:
    return {name[7:]: count for name, count in dispatcher.core.counters.items() if name.startswith("ended: ")}


def as_it_is_written(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Acts once, as the next call is given to its connection: kept ones have been looked at by then."""
    ask = httpline.HttpLine.ask

    def asking(self: httpline.HttpLine, *args: Any) -> None:
        monkeypatch.setattr(httpline.HttpLine, "ask", ask)
        act()
        ask(self, *args)

    monkeypatch.setattr(httpline.HttpLine, "ask", asking)


def sent_whole(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Acts once, as the next call's last byte is in the kernel."""
    written = httpline.HttpLine.all_written

    def writing(self: httpline.HttpLine) -> None:
        monkeypatch.setattr(httpline.HttpLine, "all_written", written)
        act()
        written(self)

    monkeypatch.setattr(httpline.HttpLine, "all_written", writing)


@pytest.mark.parametrize(
    ("begun", "served"),
    [
        (b"HTTP/1.1 20", False),
        (b"HTTP/1.1 200 OK\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Le", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf", True),
        (b"HTTP/1.1 500 No\r\nContent-Le", False),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 500\r\n\r\nhalf", False),
    ],
)
@pytest.mark.parametrize("end", ["close", "reset", "silence"])
def test_a_begun_answer_and_then_its_end(
    dispatcher: SocketDispatcher, begun: bytes, served: bool, end: str
) -> None:
    """A first line of 200 holds, whatever follows it. All else may have run: once-only goes not twice."""
    dispatcher.skip_opening_period()
    taken(dispatcher, "a", left=1200)
    link, began = dispatcher.respond("a", begun), time.monotonic()
    if end == "close":
        link.close()
    elif end == "reset":
        dispatcher.step_for(0.05)
        link.reset()
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert dispatcher.core.counters["relayed"] == served
    if served:  # at once: it once held its slot, and its key, up to the time-out
        assert time.monotonic() - began < 0.4
    told = [] if served else ['{"message":"a","outcome":"given_up"}']
    assert dispatcher.platform.notices == told
    assert len(dispatcher.receiver.connections) == 1


def test_a_reset_long_after_its_answer_says_nothing_of_the_mail(dispatcher: SocketDispatcher) -> None:
    link = warm(dispatcher)
    dispatcher.step_for(0.3)
    link.reset()
    dispatcher.step_for(0.1)
    taken(dispatcher, "a")
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 2} and not dispatcher.platform.notices


@pytest.mark.parametrize("stray", [SERVED, FULL, b"HTTP/1.1 410 Gone\r\n\r\n", b"\r\n"])
def test_bytes_that_come_before_the_call_is_written_answer_nothing(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, stray: bytes
) -> None:
    """They come between the look at the resting connection and the call. A 200 ended the mail unsent, and a
    503 had it sent a second time, while the first call went out with the close."""
    link = warm(dispatcher)
    as_it_is_written(monkeypatch, lambda: link.send(stray))
    taken(dispatcher, "a")
    dispatcher.step_until(lambda: len(dispatcher.receiver.connections) == 2)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert dispatcher.received_calls().count("a") == 1  # nothing of it went out on the first
    assert ends(dispatcher) == {"200": 2, End.UNREACHED.value: 1}


@pytest.mark.parametrize("how", [Connection.close, Connection.reset])
def test_a_resting_connection_closed_as_a_call_is_written(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, how: Callable[[Connection], None]
) -> None:
    """Before its first byte is in the kernel it has not run, and goes again at once."""
    link = warm(dispatcher)
    as_it_is_written(monkeypatch, lambda: how(link))
    taken(dispatcher, "a")
    dispatcher.step_until(lambda: len(dispatcher.receiver.connections) == 2)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 2, End.UNREACHED.value: 1} and not dispatcher.platform.notices


def test_a_connection_reset_as_the_last_byte_has_left_may_have_run(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    link = warm(dispatcher)
    sent_whole(monkeypatch, link.reset)
    taken(dispatcher, "a")
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert ends(dispatcher) == {"200": 1, End.BROKEN.value: 1} and len(dispatcher.receiver.connections) == 1


def test_a_connection_that_comes_up_after_its_mail_has_ended_carries_nothing(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Up and not yet spoken on, as its mail's time is over."""
    errands: list[Any] = []
    monkeypatch.setattr(
        "laureldock.carriers.http.Errand.go", lambda errand, line: errands.append((errand, line))
    )
    taken(dispatcher, "a", left=1600)
    dispatcher.step_until(lambda: errands)
    monkeypatch.undo()
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    errand, line = errands[0]
    errand.go(line)
    dispatcher.step_for(0.2)
    assert (
        dispatcher.received_calls() == []
        and json.loads(dispatcher.platform.notices[0])["outcome"] == "handed_back"
    )
    assert dispatcher.assembly.receivers.out == 0


def test_an_answer_that_lies_in_the_kernel_in_the_turn_of_the_time_out(dispatcher: SocketDispatcher) -> None:
    taken(dispatcher, "a", "stamp")
    link = dispatcher.wait_for_call("a")
    link.send(SERVED)
    time.sleep(1.2)  # a stall of the process, past the time-out
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 1} and not dispatcher.platform.notices


@pytest.mark.parametrize(("sort", "outcome"), [("news", "handed_back"), ("charge", "given_up")])
def test_an_answer_that_comes_as_its_mails_lifetime_ends_is_no_delivery(
    dispatcher: SocketDispatcher, sort: str, outcome: str
) -> None:
    """Read in the very turn in which its call was to be stopped, it ended the mail, and nobody heard."""
    dispatcher.skip_opening_period()
    taken(dispatcher, "a", sort, left=800)
    link = dispatcher.wait_for_call("a")
    link.send(SERVED)
    time.sleep(0.9)
    dispatcher.step_until(lambda: not dispatcher.core.store.owed and not dispatcher.core.outlet.waiting)
    assert [json.loads(line)["outcome"] for line in dispatcher.platform.notices] == [outcome]
    assert ends(dispatcher) == {End.TOO_LATE.value: 1}
    assert dispatcher.core.counters["relayed"] == 0 and len(dispatcher.receiver.connections) == 1


def test_an_answer_that_comes_as_its_call_is_called_off(dispatcher: SocketDispatcher) -> None:
    """Read before the decision was carried out, it is the end of the mail."""
    taken(dispatcher, "a", "charge")
    link = dispatcher.wait_for_call("a")
    attempt: Attempt = next(iter(dispatcher.assembly.receivers.errands))
    link.send(SERVED)
    dispatcher.assembly.receivers.cancel(attempt)
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 1} and not dispatcher.platform.notices


def test_a_call_called_off_with_half_an_answer_come_is_not_waited_for_without_end(
    dispatcher: SocketDispatcher,
) -> None:
    taken(dispatcher, "a", "charge")
    link = dispatcher.wait_for_call("a")
    attempt: Attempt = next(iter(dispatcher.assembly.receivers.errands))
    link.send(b"HTTP/1.1 20")
    dispatcher.assembly.receivers.cancel(attempt)
    dispatcher.step_until(lambda: not dispatcher.core.store.owed, timeout=1.0)
    assert ends(dispatcher) == {End.CALLED_OFF.value: 1}
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']


def until_given_up(dispatcher: SocketDispatcher, link: Connection) -> None:
    """Until the receiver can see that its call is given up."""
    dispatcher.step_until(lambda: link.receive() and link.ended_by)


def test_an_answer_that_crosses_the_end_of_its_lifetime_is_a_delivery(dispatcher: SocketDispatcher) -> None:
    """Written before its receiver sees that the call is given up, it once stood beside a notice."""
    dispatcher.skip_opening_period()
    for name, sort in (("a", "news"), ("b", "charge")):
        taken(dispatcher, name, sort, left=800)
        link = dispatcher.wait_for_call(name)
        until_given_up(dispatcher, link)
        link.send(SERVED)
        dispatcher.step_until(lambda: not dispatcher.core.store.owed and not dispatcher.core.outlet.waiting)
    assert ends(dispatcher) == {"200": 2} and not dispatcher.platform.notices


def test_an_answer_that_crosses_its_time_out_is_a_delivery(dispatcher: SocketDispatcher) -> None:
    dispatcher.skip_opening_period()
    taken(dispatcher, "a", "stamp")
    link = dispatcher.wait_for_call("a")
    until_given_up(dispatcher, link)
    link.send(SERVED)
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 1} and dispatcher.received_calls() == ["a"]


def served_after_its_cancel(dispatcher: SocketDispatcher) -> Connection:
    """The connection of a call that was cancelled, and answered as that was seen."""
    taken(dispatcher, "a", "charge")
    link = dispatcher.wait_for_call("a")
    dispatcher.assembly.receivers.cancel(next(iter(dispatcher.assembly.receivers.errands)))
    until_given_up(dispatcher, link)
    link.send(SERVED)
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    return link


def test_an_answer_that_crosses_its_cancel_is_a_delivery(dispatcher: SocketDispatcher) -> None:
    served_after_its_cancel(dispatcher)
    assert ends(dispatcher) == {"200": 1} and not dispatcher.platform.notices


def test_a_connection_on_which_a_call_was_given_up_carries_no_other(dispatcher: SocketDispatcher) -> None:
    link = served_after_its_cancel(dispatcher)
    taken(dispatcher, "b", "news")
    assert dispatcher.respond("b") is not link
    dispatcher.step_until(lambda: not dispatcher.core.store.owed)
    assert ends(dispatcher) == {"200": 2}  # nothing was tried on it


def test_a_receiver_that_does_not_heed_the_end_of_its_call_is_not_waited_for(
    dispatcher: SocketDispatcher,
) -> None:
    dispatcher.skip_opening_period()
    taken(dispatcher, "a", "charge", left=800)
    began, link = time.monotonic(), dispatcher.wait_for_call("a")
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    assert time.monotonic() - began < 0.85 and ends(dispatcher) == {End.SILENT.value: 1}
    dispatcher.step_for(0.05)
    link.send(SERVED)
    dispatcher.step_for(0.05)
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert ends(dispatcher) == {End.SILENT.value: 1} and not dispatcher.core.store.owed
