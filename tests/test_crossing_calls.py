"""Calls to receivers, each crossed by an end of its connection: what has not run, and what may have."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from shore import Peer, Shore

from laureldock.core.call_results import CallResult
from laureldock.interface import Attempt
from laureldock.sockets import http_client

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def shore(tmp_path: Path) -> Iterator[Shore]:
    here = Shore(tmp_path)
    yield here.ready()
    here.end()


def taken(shore: Shore, name: str, sort: str = "charge", left: int = 9000) -> Peer:
    peer = shore.client()
    peer.send(shore.put(name, sort, left=left))
    shore.until(lambda: peer.pull() == OK)
    return peer


def warm(shore: Shore) -> Peer:
    """A connection at rest, that has carried a call."""
    taken(shore, "first", "news")
    link = shore.serve("first")
    shore.until(lambda: not shore.core.store.pending and shore.assembly.carrier.pools)
    return link


def ends(shore: Shore) -> dict[str, int]:
    return {name[7:]: count for name, count in shore.core.counters.items() if name.startswith("ended: ")}


def as_it_is_written(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Acts once, as the next call is given to its connection: kept ones have been looked at by then."""
    ask = http_client.HttpConnection.send_request

    def asking(self: http_client.HttpConnection, *args: Any) -> None:
        monkeypatch.setattr(http_client.HttpConnection, "send_request", ask)
        act()
        ask(self, *args)

    monkeypatch.setattr(http_client.HttpConnection, "send_request", asking)


def sent_whole(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Acts once, as the next call's last byte is in the kernel."""
    written = http_client.HttpConnection.on_request_flushed

    def writing(self: http_client.HttpConnection) -> None:
        monkeypatch.setattr(http_client.HttpConnection, "on_request_flushed", written)
        act()
        written(self)

    monkeypatch.setattr(http_client.HttpConnection, "on_request_flushed", writing)


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
def test_a_begun_answer_and_then_its_end(shore: Shore, begun: bytes, served: bool, end: str) -> None:
    """A first line of 200 holds, whatever follows it. All else may have run: once-only goes not twice."""
    shore.settle()
    taken(shore, "a", left=1200)
    link, began = shore.serve("a", begun), time.monotonic()
    if end == "close":
        link.close()
    elif end == "reset":
        shore.spend(0.05)
        link.reset()
    shore.until(lambda: not shore.core.store.pending)
    assert shore.core.counters["relayed"] == served
    if served:  # at once: it once held its slot, and its key, up to the time-out
        assert time.monotonic() - began < 0.4
    told = [] if served else ['{"message":"a","outcome":"given_up"}']
    assert shore.platform.notices == told
    assert len(shore.receiver.peers) == 1


def test_a_reset_long_after_its_answer_says_nothing_of_the_mail(shore: Shore) -> None:
    link = warm(shore)
    shore.spend(0.3)
    link.reset()
    shore.spend(0.1)
    taken(shore, "a")
    shore.serve("a")
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 2} and not shore.platform.notices


@pytest.mark.parametrize("stray", [SERVED, FULL, b"HTTP/1.1 410 Gone\r\n\r\n", b"\r\n"])
def test_bytes_that_come_before_the_call_is_written_answer_nothing(
    shore: Shore, monkeypatch: pytest.MonkeyPatch, stray: bytes
) -> None:
    """They come between the look at the resting connection and the call. A 200 ended the mail unsent, and a
    503 had it sent a second time, while the first call went out with the close."""
    link = warm(shore)
    as_it_is_written(monkeypatch, lambda: link.send(stray))
    taken(shore, "a")
    shore.until(lambda: len(shore.receiver.peers) == 2)
    shore.serve("a")
    shore.until(lambda: not shore.core.store.pending)
    assert shore.calls().count("a") == 1  # nothing of it went out on the first
    assert ends(shore) == {"200": 2, CallResult.NOT_CONNECTED.value: 1}


@pytest.mark.parametrize("how", [Peer.close, Peer.reset])
def test_a_resting_connection_closed_as_a_call_is_written(
    shore: Shore, monkeypatch: pytest.MonkeyPatch, how: Callable[[Peer], None]
) -> None:
    """Before its first byte is in the kernel it has not run, and goes again at once."""
    link = warm(shore)
    as_it_is_written(monkeypatch, lambda: how(link))
    taken(shore, "a")
    shore.until(lambda: len(shore.receiver.peers) == 2)
    shore.serve("a")
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 2, CallResult.NOT_CONNECTED.value: 1} and not shore.platform.notices


def test_a_connection_reset_as_the_last_byte_has_left_may_have_run(
    shore: Shore, monkeypatch: pytest.MonkeyPatch
) -> None:
    link = warm(shore)
    sent_whole(monkeypatch, link.reset)
    taken(shore, "a")
    shore.until(lambda: shore.platform.notices)
    assert shore.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert ends(shore) == {"200": 1, CallResult.CONNECTION_LOST.value: 1} and len(shore.receiver.peers) == 1


def test_a_connection_that_comes_up_after_its_mail_has_ended_carries_nothing(
    shore: Shore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Up and not yet spoken on, as its mail's time is over."""
    errands: list[Any] = []
    monkeypatch.setattr(
        "laureldock.carriers.http.HttpCall.send", lambda errand, line: errands.append((errand, line))
    )
    taken(shore, "a", left=1600)
    shore.until(lambda: errands)
    monkeypatch.undo()
    shore.until(lambda: shore.platform.notices)
    errand, line = errands[0]
    errand.send(line)
    shore.spend(0.2)
    assert shore.calls() == [] and json.loads(shore.platform.notices[0])["outcome"] == "handed_back"
    assert shore.assembly.carrier.attempts_in_flight == 0


def test_an_answer_that_lies_in_the_kernel_in_the_turn_of_the_time_out(shore: Shore) -> None:
    taken(shore, "a", "stamp")
    link = shore.call("a")
    link.send(SERVED)
    time.sleep(1.2)  # a stall of the process, past the time-out
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 1} and not shore.platform.notices


@pytest.mark.parametrize(("sort", "outcome"), [("news", "handed_back"), ("charge", "given_up")])
def test_an_answer_that_comes_as_its_mails_lifetime_ends_is_no_delivery(
    shore: Shore, sort: str, outcome: str
) -> None:
    """Read in the very turn in which its call was to be stopped, it ended the mail, and nobody heard."""
    shore.settle()
    taken(shore, "a", sort, left=800)
    link = shore.call("a")
    link.send(SERVED)
    time.sleep(0.9)
    shore.until(lambda: not shore.core.store.pending and not shore.core.outlet.pending_count)
    assert [json.loads(line)["outcome"] for line in shore.platform.notices] == [outcome]
    assert ends(shore) == {CallResult.DELIVERED_LATE.value: 1}
    assert shore.core.counters["relayed"] == 0 and len(shore.receiver.peers) == 1


def test_an_answer_that_comes_as_its_call_is_called_off(shore: Shore) -> None:
    """Read before the decision was carried out, it is the end of the mail."""
    taken(shore, "a", "charge")
    link = shore.call("a")
    attempt: Attempt = next(iter(shore.assembly.carrier.calls))
    link.send(SERVED)
    shore.assembly.carrier.cancel_attempt(attempt)
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 1} and not shore.platform.notices


def test_a_call_called_off_with_half_an_answer_come_is_not_waited_for_without_end(shore: Shore) -> None:
    taken(shore, "a", "charge")
    link = shore.call("a")
    attempt: Attempt = next(iter(shore.assembly.carrier.calls))
    link.send(b"HTTP/1.1 20")
    shore.assembly.carrier.cancel_attempt(attempt)
    shore.until(lambda: not shore.core.store.pending, most=1.0)
    assert ends(shore) == {CallResult.CANCELLED.value: 1}
    assert shore.platform.notices == ['{"message":"a","outcome":"given_up"}']


def until_given_up(shore: Shore, link: Peer) -> None:
    """Until the receiver can see that its call is given up."""
    shore.until(lambda: link.pull() and link.ended)


def test_an_answer_that_crosses_the_end_of_its_lifetime_is_a_delivery(shore: Shore) -> None:
    """Written before its receiver sees that the call is given up, it once stood beside a notice."""
    shore.settle()
    for name, sort in (("a", "news"), ("b", "charge")):
        taken(shore, name, sort, left=800)
        link = shore.call(name)
        until_given_up(shore, link)
        link.send(SERVED)
        shore.until(lambda: not shore.core.store.pending and not shore.core.outlet.pending_count)
    assert ends(shore) == {"200": 2} and not shore.platform.notices


def test_an_answer_that_crosses_its_time_out_is_a_delivery(shore: Shore) -> None:
    shore.settle()
    taken(shore, "a", "stamp")
    link = shore.call("a")
    until_given_up(shore, link)
    link.send(SERVED)
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 1} and shore.calls() == ["a"]


def served_after_its_cancel(shore: Shore) -> Peer:
    """The connection of a call that was cancelled, and answered as that was seen."""
    taken(shore, "a", "charge")
    link = shore.call("a")
    shore.assembly.carrier.cancel_attempt(next(iter(shore.assembly.carrier.calls)))
    until_given_up(shore, link)
    link.send(SERVED)
    shore.until(lambda: not shore.core.store.pending)
    return link


def test_an_answer_that_crosses_its_cancel_is_a_delivery(shore: Shore) -> None:
    served_after_its_cancel(shore)
    assert ends(shore) == {"200": 1} and not shore.platform.notices


def test_a_connection_on_which_a_call_was_given_up_carries_no_other(shore: Shore) -> None:
    link = served_after_its_cancel(shore)
    taken(shore, "b", "news")
    assert shore.serve("b") is not link
    shore.until(lambda: not shore.core.store.pending)
    assert ends(shore) == {"200": 2}  # nothing was tried on it


def test_a_receiver_that_does_not_heed_the_end_of_its_call_is_not_waited_for(shore: Shore) -> None:
    shore.settle()
    taken(shore, "a", "charge", left=800)
    began, link = time.monotonic(), shore.call("a")
    shore.until(lambda: shore.platform.notices)
    assert time.monotonic() - began < 0.85 and ends(shore) == {CallResult.TIMED_OUT.value: 1}
    shore.spend(0.05)
    link.send(SERVED)
    shore.spend(0.05)
    assert shore.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert ends(shore) == {CallResult.TIMED_OUT.value: 1} and not shore.core.store.pending
