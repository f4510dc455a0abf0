"""Races between closes of client connections and bytes that the clients send at the same moment."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from socket_dispatcher import Connection, SocketDispatcher

OK = b"+OK\r\n"


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def by_stop(dispatcher: SocketDispatcher, client: Connection) -> None:
    dispatcher.front.stop_accepting()


def by_lameduck(dispatcher: SocketDispatcher, client: Connection) -> None:
    dispatcher.front.set_lameduck(True)


def by_eviction(dispatcher: SocketDispatcher, client: Connection) -> None:
    dispatcher.front.max_idle = 0
    dispatcher.front.make_room()


CLOSES: list[Callable[[SocketDispatcher, Connection], None]] = [by_stop, by_lameduck, by_eviction]


def after_next_write(dispatcher: SocketDispatcher, act: Callable[[], None]) -> None:
    """Runs `act` once, right after the next bytes to a client are in the kernel, before anything else is
    done."""
    transport: Any = next(iter(dispatcher.front.connections)).transport
    write = transport.writeSomeData

    def writing(data: bytes) -> Any:
        sent = write(data)
        transport.writeSomeData = write
        act()
        return sent

    transport.writeSomeData = writing


def assert_only_call(dispatcher: SocketDispatcher, name: str) -> None:
    """The message was sent to the receiver once, and no other was."""
    dispatcher.respond(name)
    dispatcher.step_for(0.1)
    assert dispatcher.received_calls() == [name]


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_unread_when_an_idle_connection_is_closed_is_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    """The request is in the kernel, unread, when the dispatcher decides to close the connection."""
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a"))  # in the kernel: the reactor has not polled since
    close(dispatcher, client)
    if close is by_eviction:  # a client with unread bytes is not idle
        dispatcher.step_until(lambda: client.receive() == OK)
    else:
        dispatcher.step_until(lambda: client.receive() and client.ended_by)
        assert (client.received, client.ended_by) == (OK, "closed")
    assert_only_call(dispatcher, "a")


@pytest.mark.parametrize("close", CLOSES)
def test_half_a_request_at_the_close_is_waited_for_and_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    """The first half has been received when the dispatcher decides to close the connection."""
    client = dispatcher.connect_client()
    request = dispatcher.put_request("a")
    client.send(request[:25])
    close(dispatcher, client)
    dispatcher.step_for(0.3)
    assert not client.receive() and not client.ended_by
    client.send(request[25:])
    dispatcher.step_until(lambda: client.receive() == OK)
    if close is not by_eviction:
        dispatcher.step_until(lambda: client.receive() and client.ended_by)
        assert (client.received, client.ended_by) == (OK, "closed")
    assert_only_call(dispatcher, "a")


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_a_request_received_as_the_last_reply_is_sent_is_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    """It is in the kernel as the close is decided; closing over unread bytes once reset the connection."""
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a"))
    close(dispatcher, client)
    after_next_write(dispatcher, lambda: client.send(dispatcher.put_request("b")))
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    assert (client.received, client.ended_by) == (OK + OK, "closed")
    dispatcher.respond("a")
    dispatcher.step_until(lambda: dispatcher.received_calls() == ["a", "b"])


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_pipelined_requests_at_the_close_are_all_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    client = dispatcher.connect_client()
    client.send(b"".join(dispatcher.put_request(name) for name in "abc"))
    close(dispatcher, client)
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    assert (client.received, client.ended_by) == (OK * 3, "closed")


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_after_the_shutdown_is_not_accepted_and_causes_no_reset(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    """A reset would discard replies that the client has not read yet."""
    client = dispatcher.connect_client()
    client.send(dispatcher.put_request("a"))
    dispatcher.step_until(lambda: client.receive() == OK)
    close(dispatcher, client)  # this call ends the dispatcher's side of the stream
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    client.send(dispatcher.put_request("b"))
    dispatcher.step_for(0.2)
    assert (client.received, client.ended_by) == (OK, "closed")
    assert_only_call(dispatcher, "a")
    dispatcher.step_for(1.0)  # the connection is not kept forever
    assert not dispatcher.front.connections


def test_connections_in_the_backlog_as_the_listener_closes_are_accepted_and_answered(
    dispatcher: SocketDispatcher,
) -> None:
    """They wait in the backlog, their requests unread; closing the listener once reset them."""
    clients = [dispatcher.connect_client(ping=False) for _ in range(9)]
    for number, client in enumerate(clients):
        client.send(dispatcher.put_request(f"m{number}"))
    dispatcher.front.stop_accepting()
    dispatcher.step_until(lambda: all(client.receive() and client.ended_by for client in clients))
    assert {(client.received, client.ended_by) for client in clients} == {(OK, "closed")}


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_a_client_that_has_just_connected_has_a_moment_to_send_its_request(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    client = dispatcher.connect_client(ping=False)
    dispatcher.step_until(lambda: dispatcher.front.connections)
    close(dispatcher, client)
    dispatcher.step_for(0.2)
    client.send(dispatcher.put_request("a"))
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    assert (client.received, client.ended_by) == (OK, "closed")
    silent = dispatcher.connect_client(ping=False) if close is by_lameduck else None
    if silent:
        dispatcher.step_until(lambda: silent.receive() or silent.ended_by, timeout=4.0)


def test_half_a_request_times_out_with_one_error_and_the_rest_is_read(dispatcher: SocketDispatcher) -> None:
    """The rest arrives as the error is sent; a close over unread bytes would discard the error."""
    client = dispatcher.connect_client()
    request = dispatcher.put_request("a")
    client.send(request[:30])
    dispatcher.step(0.01)
    after_next_write(dispatcher, lambda: client.send(request[30:] + dispatcher.put_request("b") * 40))
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    assert (
        client.received.startswith(b"-ERR ")
        and client.received.count(b"\r\n") == 1
        and client.ended_by == "closed"
    )
    dispatcher.step_for(0.2)
    assert dispatcher.received_calls() == [] and not dispatcher.core.counters["taken"]


def test_a_client_that_sends_much_after_a_malformed_request_reads_the_error(
    dispatcher: SocketDispatcher,
) -> None:
    client = dispatcher.connect_client()
    client.send(b"*1\r\n$-5\r\n")
    after_next_write(dispatcher, lambda: client.send(b"x" * 200_000))
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    assert client.received.startswith(b"-ERR ") and client.ended_by == "closed"


def test_too_many_errors_end_the_connection_after_the_requests_before_them_are_answered(
    dispatcher: SocketDispatcher,
) -> None:
    client = dispatcher.connect_client()
    client.send(
        dispatcher.put_request("a") + b"SNEEZE\r\n" * 15 + dispatcher.put_request("b") + b"SNEEZE\r\n" * 9
    )
    dispatcher.step_until(lambda: client.receive() and client.ended_by)
    lines = client.received.split(b"\r\n")
    assert lines.count(b"+OK") == 2 and lines[-2] == b"-ERR too many errors" and client.ended_by == "closed"


def test_tcp_nodelay_is_set_before_the_first_write(dispatcher: SocketDispatcher) -> None:
    dispatcher.connect_client()
    accepted = next(iter(dispatcher.front.connections))
    assert accepted.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


def test_requests_of_a_client_that_has_left_are_not_sent_on_though_much_is_unread(
    dispatcher: SocketDispatcher,
) -> None:
    client = dispatcher.connect_client()
    client.send(b"".join(dispatcher.put_request(name, "charge", body="x" * 30_000) for name in "abcde"))
    client.close()
    dispatcher.step_for(0.3)
    assert dispatcher.core.counters["taken"] == 0
    assert not [each for each in dispatcher.receiver.connections if each.receive()]
