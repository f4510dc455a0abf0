"""Closes of clients' connections, each crossed by bytes that the client sent in that very instant."""

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


def by_stop(dispatcher: SocketDispatcher, peer: Connection) -> None:
    dispatcher.front.shut()


def by_lameduck(dispatcher: SocketDispatcher, peer: Connection) -> None:
    dispatcher.front.set_lameduck(True)


def by_eviction(dispatcher: SocketDispatcher, peer: Connection) -> None:
    dispatcher.front.most_idle = 0
    dispatcher.front.make_room()


CLOSES: list[Callable[[SocketDispatcher, Connection], None]] = [by_stop, by_lameduck, by_eviction]


def when_written(dispatcher: SocketDispatcher, act: Callable[[], None]) -> None:
    """Acts once, right after the next bytes to a client are in the kernel, before all else is decided."""
    transport: Any = next(iter(dispatcher.front.clients)).transport
    write = transport.writeSomeData

    def writing(data: bytes) -> Any:
        sent = write(data)
        transport.writeSomeData = write
        act()
        return sent

    transport.writeSomeData = writing


def alone(dispatcher: SocketDispatcher, name: str) -> None:
    """It was sent on once, and nothing else was."""
    dispatcher.respond(name)
    dispatcher.step_for(0.1)
    assert dispatcher.received_calls() == [name]


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_unread_when_the_close_of_a_resting_connection_is_decided(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a"))  # in the kernel: the reactor has not looked since
    close(dispatcher, peer)
    if close is by_eviction:  # who has something unread is not idle
        dispatcher.step_until(lambda: peer.receive() == OK)
    else:
        dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
        assert (peer.received, peer.ended_by) == (OK, "closed")
    alone(dispatcher, "a")


@pytest.mark.parametrize("close", CLOSES)
def test_half_a_request_at_the_close_is_waited_for_and_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    peer = dispatcher.connect_client()
    request = dispatcher.put_request("a")
    peer.send(request[:25])
    close(dispatcher, peer)
    dispatcher.step_for(0.3)
    assert not peer.receive() and not peer.ended_by
    peer.send(request[25:])
    dispatcher.step_until(lambda: peer.receive() == OK)
    if close is not by_eviction:
        dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
        assert (peer.received, peer.ended_by) == (OK, "closed")
    alone(dispatcher, "a")


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_a_request_that_comes_as_the_last_answer_leaves_is_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    """It lies in the kernel as the close is decided; the close reset the connection over it."""
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a"))
    close(dispatcher, peer)
    when_written(dispatcher, lambda: peer.send(dispatcher.put_request("b")))
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    assert (peer.received, peer.ended_by) == (OK + OK, "closed")
    dispatcher.respond("a")
    dispatcher.step_until(lambda: dispatcher.received_calls() == ["a", "b"])


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_several_requests_behind_each_other_at_the_close_are_all_answered(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    peer = dispatcher.connect_client()
    peer.send(b"".join(dispatcher.put_request(name) for name in "abc"))
    close(dispatcher, peer)
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    assert (peer.received, peer.ended_by) == (OK * 3, "closed")


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_after_the_shutdown_is_never_sent_on_and_resets_nothing(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    peer = dispatcher.connect_client()
    peer.send(dispatcher.put_request("a"))
    dispatcher.step_until(lambda: peer.receive() == OK)
    close(dispatcher, peer)  # the writing is ended in this very call
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    peer.send(dispatcher.put_request("b"))
    dispatcher.step_for(0.2)
    assert (peer.received, peer.ended_by) == (OK, "closed")
    alone(dispatcher, "a")
    dispatcher.step_for(1.0)  # it is not kept for ever
    assert not dispatcher.front.clients


def test_a_new_connection_at_the_close_of_the_door_is_accepted_and_answered(
    dispatcher: SocketDispatcher,
) -> None:
    """It waits in the backlog, its request unread: closing the door reset it."""
    peers = [dispatcher.connect_client(ping=False) for _ in range(9)]
    for number, peer in enumerate(peers):
        peer.send(dispatcher.put_request(f"m{number}"))
    dispatcher.front.shut()
    dispatcher.step_until(lambda: all(peer.receive() and peer.ended_by for peer in peers))
    assert {(peer.received, peer.ended_by) for peer in peers} == {(OK, "closed")}


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_who_has_just_connected_has_a_moment_to_ask(
    dispatcher: SocketDispatcher, close: Callable[[SocketDispatcher, Connection], None]
) -> None:
    peer = dispatcher.connect_client(ping=False)
    dispatcher.step_until(lambda: dispatcher.front.clients)
    close(dispatcher, peer)
    dispatcher.step_for(0.2)
    peer.send(dispatcher.put_request("a"))
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    assert (peer.received, peer.ended_by) == (OK, "closed")
    silent = dispatcher.connect_client(ping=False) if close is by_lameduck else None
    if silent:
        dispatcher.step_until(lambda: silent.receive() or silent.ended_by, timeout=4.0)


def test_patience_over_half_a_request_ends_with_its_error_and_the_rest_is_read(
    dispatcher: SocketDispatcher,
) -> None:
    """The rest comes as the error leaves; a close over it would take the error along."""
    peer = dispatcher.connect_client()
    request = dispatcher.put_request("a")
    peer.send(request[:30])
    dispatcher.step(0.01)
    when_written(dispatcher, lambda: peer.send(request[30:] + dispatcher.put_request("b") * 40))
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    assert (
        peer.received.startswith(b"-ERR ") and peer.received.count(b"\r\n") == 1 and peer.ended_by == "closed"
    )
    dispatcher.step_for(0.2)
    assert dispatcher.received_calls() == [] and not dispatcher.core.counters["taken"]


def test_a_client_that_sends_much_behind_an_error_reads_the_error(dispatcher: SocketDispatcher) -> None:
    peer = dispatcher.connect_client()
    peer.send(b"*1\r\n$-5\r\n")
    when_written(dispatcher, lambda: peer.send(b"x" * 200_000))
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    assert peer.received.startswith(b"-ERR ") and peer.ended_by == "closed"


def test_too_many_errors_end_with_one_and_whole_requests_before_them_are_answered(
    dispatcher: SocketDispatcher,
) -> None:
    peer = dispatcher.connect_client()
    peer.send(
        dispatcher.put_request("a") + b"SNEEZE\r\n" * 15 + dispatcher.put_request("b") + b"SNEEZE\r\n" * 9
    )
    dispatcher.step_until(lambda: peer.receive() and peer.ended_by)
    lines = peer.received.split(b"\r\n")
    assert lines.count(b"+OK") == 2 and lines[-2] == b"-ERR too many errors" and peer.ended_by == "closed"


def test_no_delay_is_set_before_the_first_write(dispatcher: SocketDispatcher) -> None:
    dispatcher.connect_client()
    client = next(iter(dispatcher.front.clients))
    assert client.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
