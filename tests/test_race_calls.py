"""Races between calls and the ends of their connections: which calls have run, or may have run."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from socket_dispatcher import Connection, SocketDispatcher

from laureldock.core.call_results import CallResult
from laureldock.interface import Attempt
from laureldock.sockets import http_client

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def put_message(
    dispatcher: SocketDispatcher, name: str, queue_class: str = "charge", lifetime: int = 9000
) -> Connection:
    """A client hands in a message and has read its +OK."""
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request(name, queue_class, lifetime=lifetime))
    dispatcher.step_until(lambda: client.receive() == OK)
    return client


def idle_connection(dispatcher: SocketDispatcher) -> Connection:
    """A kept connection without a call, which has carried one before."""
    put_message(dispatcher, "first", "news")
    connection = dispatcher.respond("first")
    dispatcher.step_until(lambda: not dispatcher.core.store.pending and dispatcher.assembly.carrier.pools)
    return connection


def result_counts(dispatcher: SocketDispatcher) -> dict[str, int]:
    """Ended attempts, by result."""
    return {name[7:]: count for name, count in dispatcher.core.counters.items() if name.startswith("ended: ")}


def before_next_call_is_written(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Runs `act` once, as the next call is passed to its connection: the check of kept connections for unread
    bytes is past by then."""
    ask = http_client.HttpConnection.send_request

    def asking(self: http_client.HttpConnection, *args: Any) -> None:
        monkeypatch.setattr(http_client.HttpConnection, "send_request", ask)
        act()
        ask(self, *args)

    monkeypatch.setattr(http_client.HttpConnection, "send_request", asking)


def after_next_call_is_written(monkeypatch: pytest.MonkeyPatch, act: Callable[[], None]) -> None:
    """Runs `act` once, right after the next call's last byte has been passed to the kernel."""
    written = http_client.HttpConnection.on_request_flushed

    def writing(self: http_client.HttpConnection) -> None:
        monkeypatch.setattr(http_client.HttpConnection, "on_request_flushed", written)
        act()
        written(self)

    monkeypatch.setattr(http_client.HttpConnection, "on_request_flushed", writing)


@pytest.mark.parametrize(
    ("partial_response", "served"),
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
def test_a_partial_response_then_the_end_of_its_connection(
    dispatcher: SocketDispatcher, partial_response: bytes, served: bool, end: str
) -> None:
    """A status line of 200 is a delivery, whatever follows it; the call once held its slot and key until the
    timeout. After any other partial response the message may have run: once-only is not sent again."""
    dispatcher.skip_opening_period()
    put_message(dispatcher, "a", lifetime=1200)
    connection, started_at = dispatcher.respond("a", partial_response), time.monotonic()
    if end == "close":
        connection.close()
    elif end == "reset":
        dispatcher.step_for(0.05)
        connection.reset()
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert dispatcher.core.counters["relayed"] == served
    if served:  # at once, not at the timeout
        assert time.monotonic() - started_at < 0.4
    expected_notices = [] if served else ['{"message":"a","outcome":"given_up"}']
    assert dispatcher.platform.notices == expected_notices
    assert len(dispatcher.receiver.connections) == 1


def test_a_reset_long_after_a_response_changes_no_result(dispatcher: SocketDispatcher) -> None:
    """The reset of an idle connection must not count against the message that it carried before."""
    connection = idle_connection(dispatcher)
    dispatcher.step_for(0.3)
    connection.reset()
    dispatcher.step_for(0.1)
    put_message(dispatcher, "a")
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert result_counts(dispatcher) == {"200": 2} and not dispatcher.platform.notices


@pytest.mark.parametrize("stray_bytes", [SERVED, FULL, b"HTTP/1.1 410 Gone\r\n\r\n", b"\r\n"])
def test_bytes_received_before_a_call_is_written_are_no_response(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, stray_bytes: bytes
) -> None:
    """They arrive between the check of the idle connection and the call. A 200 once ended the message though
    it was never sent; a 503 had it sent a second time, while the first call still went out before the close.
    """
    connection = idle_connection(dispatcher)
    before_next_call_is_written(monkeypatch, lambda: connection.send(stray_bytes))
    put_message(dispatcher, "a")
    dispatcher.step_until(lambda: len(dispatcher.receiver.connections) == 2)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert dispatcher.received_calls().count("a") == 1  # nothing was sent on the first connection
    assert result_counts(dispatcher) == {"200": 2, CallResult.NOT_CONNECTED.value: 1}


@pytest.mark.parametrize("how", [Connection.close, Connection.reset])
def test_an_idle_connection_closed_as_a_call_is_written(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch, how: Callable[[Connection], None]
) -> None:
    """If none of its bytes has been passed to the kernel, the call has not run, and the message is sent again
    at once."""
    connection = idle_connection(dispatcher)
    before_next_call_is_written(monkeypatch, lambda: how(connection))
    put_message(dispatcher, "a")
    dispatcher.step_until(lambda: len(dispatcher.receiver.connections) == 2)
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert (
        result_counts(dispatcher) == {"200": 2, CallResult.NOT_CONNECTED.value: 1}
        and not dispatcher.platform.notices
    )


def test_a_call_may_have_run_if_its_connection_is_reset_after_the_last_byte(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A once-only message is then not sent again; a notice reports it."""
    connection = idle_connection(dispatcher)
    after_next_call_is_written(monkeypatch, connection.reset)
    put_message(dispatcher, "a")
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert (
        result_counts(dispatcher) == {"200": 1, CallResult.CONNECTION_LOST.value: 1}
        and len(dispatcher.receiver.connections) == 1
    )


def test_a_connection_established_after_its_message_has_ended_carries_nothing(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is established but not yet used when the message's lifetime ends."""
    sends: list[Any] = []
    monkeypatch.setattr(
        "laureldock.carriers.http.HttpCall.send", lambda call, connection: sends.append((call, connection))
    )
    put_message(dispatcher, "a", lifetime=1600)
    dispatcher.step_until(lambda: sends)
    monkeypatch.undo()
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    call, connection = sends[0]
    call.send(connection)
    dispatcher.step_for(0.2)
    assert (
        dispatcher.received_calls() == []
        and json.loads(dispatcher.platform.notices[0])["outcome"] == "handed_back"
    )
    assert dispatcher.assembly.carrier.attempts_in_flight == 0


def test_a_response_unread_in_the_kernel_at_the_timeout_counts(dispatcher: SocketDispatcher) -> None:
    """After a stall of the process, the response is read before the timeout of its call is acted on."""
    put_message(dispatcher, "a", "stamp")
    connection = dispatcher.wait_for_call("a")
    connection.send(SERVED)
    time.sleep(1.2)  # the process stalls past the timeout
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert result_counts(dispatcher) == {"200": 1} and not dispatcher.platform.notices


@pytest.mark.parametrize(("queue_class", "outcome"), [("news", "handed_back"), ("charge", "given_up")])
def test_a_response_read_as_the_lifetime_ends_is_no_delivery(
    dispatcher: SocketDispatcher, queue_class: str, outcome: str
) -> None:
    """Read in the turn in which its call was to be stopped, the response once ended the message, and no
    notice was sent."""
    dispatcher.skip_opening_period()
    put_message(dispatcher, "a", queue_class, lifetime=800)
    connection = dispatcher.wait_for_call("a")
    connection.send(SERVED)
    time.sleep(0.9)
    dispatcher.step_until(
        lambda: not dispatcher.core.store.pending and not dispatcher.core.outlet.pending_count
    )
    assert [json.loads(line)["outcome"] for line in dispatcher.platform.notices] == [outcome]
    assert result_counts(dispatcher) == {CallResult.DELIVERED_LATE.value: 1}
    assert dispatcher.core.counters["relayed"] == 0 and len(dispatcher.receiver.connections) == 1


def test_a_response_read_before_its_cancel_is_carried_out_counts(dispatcher: SocketDispatcher) -> None:
    """The response is in the kernel when the decision to cancel its call is carried out: it is a delivery."""
    put_message(dispatcher, "a", "charge")
    connection = dispatcher.wait_for_call("a")
    attempt: Attempt = next(iter(dispatcher.assembly.carrier.calls))
    connection.send(SERVED)
    dispatcher.assembly.carrier.cancel_attempt(attempt)
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert result_counts(dispatcher) == {"200": 1} and not dispatcher.platform.notices


def test_a_cancelled_call_with_a_partial_response_is_not_waited_for_forever(
    dispatcher: SocketDispatcher,
) -> None:
    """The rest of the response never comes; the message result_counts all the same, with a notice."""
    put_message(dispatcher, "a", "charge")
    connection = dispatcher.wait_for_call("a")
    attempt: Attempt = next(iter(dispatcher.assembly.carrier.calls))
    connection.send(b"HTTP/1.1 20")
    dispatcher.assembly.carrier.cancel_attempt(attempt)
    dispatcher.step_until(lambda: not dispatcher.core.store.pending, timeout=1.0)
    assert result_counts(dispatcher) == {CallResult.CANCELLED.value: 1}
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']


def wait_until_given_up(dispatcher: SocketDispatcher, connection: Connection) -> None:
    """Waits until the receiver can see that the dispatcher has given up its call."""
    dispatcher.step_until(lambda: connection.receive() and connection.ended_by)


def test_a_response_sent_before_the_receiver_sees_the_end_of_the_lifetime_is_a_delivery(
    dispatcher: SocketDispatcher,
) -> None:
    """The receiver responds before it can see that its call was given up. Such a message once got a notice
    too."""
    dispatcher.skip_opening_period()
    for name, queue_class in (("a", "news"), ("b", "charge")):
        put_message(dispatcher, name, queue_class, lifetime=800)
        connection = dispatcher.wait_for_call(name)
        wait_until_given_up(dispatcher, connection)
        connection.send(SERVED)
        dispatcher.step_until(
            lambda: not dispatcher.core.store.pending and not dispatcher.core.outlet.pending_count
        )
    assert result_counts(dispatcher) == {"200": 2} and not dispatcher.platform.notices


def test_a_response_sent_before_the_receiver_sees_the_timeout_is_a_delivery(
    dispatcher: SocketDispatcher,
) -> None:
    """The message must not be sent a second time."""
    dispatcher.skip_opening_period()
    put_message(dispatcher, "a", "stamp")
    connection = dispatcher.wait_for_call("a")
    wait_until_given_up(dispatcher, connection)
    connection.send(SERVED)
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert result_counts(dispatcher) == {"200": 1} and dispatcher.received_calls() == ["a"]


def served_after_cancel(dispatcher: SocketDispatcher) -> Connection:
    """The connection of a call that was cancelled, and served as its receiver saw that."""
    put_message(dispatcher, "a", "charge")
    connection = dispatcher.wait_for_call("a")
    dispatcher.assembly.carrier.cancel_attempt(next(iter(dispatcher.assembly.carrier.calls)))
    wait_until_given_up(dispatcher, connection)
    connection.send(SERVED)
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    return connection


def test_a_response_sent_before_the_receiver_sees_the_cancel_is_a_delivery(
    dispatcher: SocketDispatcher,
) -> None:
    """No notice may report the message."""
    served_after_cancel(dispatcher)
    assert result_counts(dispatcher) == {"200": 1} and not dispatcher.platform.notices


def test_a_connection_on_which_a_call_was_given_up_carries_no_other(dispatcher: SocketDispatcher) -> None:
    """Its side of the stream is closed, so that a further call on it would fail."""
    connection = served_after_cancel(dispatcher)
    put_message(dispatcher, "b", "news")
    assert dispatcher.respond("b") is not connection
    dispatcher.step_until(lambda: not dispatcher.core.store.pending)
    assert result_counts(dispatcher) == {"200": 2}  # no attempt was made on it


def test_a_receiver_that_ignores_the_end_of_its_call_is_not_waited_for(dispatcher: SocketDispatcher) -> None:
    """The message result_counts with its lifetime; a response after that changes nothing."""
    dispatcher.skip_opening_period()
    put_message(dispatcher, "a", "charge", lifetime=800)
    started_at, connection = time.monotonic(), dispatcher.wait_for_call("a")
    dispatcher.step_until(lambda: dispatcher.platform.notices)
    assert time.monotonic() - started_at < 0.85 and result_counts(dispatcher) == {
        CallResult.TIMED_OUT.value: 1
    }
    dispatcher.step_for(0.05)
    connection.send(SERVED)
    dispatcher.step_for(0.05)
    assert dispatcher.platform.notices == ['{"message":"a","outcome":"given_up"}']
    assert result_counts(dispatcher) == {CallResult.TIMED_OUT.value: 1} and not dispatcher.core.store.pending
