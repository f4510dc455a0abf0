"""Closes of clients' connections, each crossed by bytes that the client sent in that very instant."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from shore import Peer, Shore

OK = b"+OK\r\n"


@pytest.fixture
def shore(tmp_path: Path) -> Iterator[Shore]:
    here = Shore(tmp_path)
    yield here.ready()
    here.end()


def by_stop(shore: Shore, peer: Peer) -> None:
    shore.front.stop_accepting()


def by_lameduck(shore: Shore, peer: Peer) -> None:
    shore.front.set_lameduck(True)


def by_eviction(shore: Shore, peer: Peer) -> None:
    shore.front.max_idle = 0
    shore.front.make_room()


CLOSES: list[Callable[[Shore, Peer], None]] = [by_stop, by_lameduck, by_eviction]


def when_written(shore: Shore, act: Callable[[], None]) -> None:
    """Acts once, right after the next bytes to a client are in the kernel, before all else is decided."""
    transport: Any = next(iter(shore.front.connections)).transport
    write = transport.writeSomeData

    def writing(data: bytes) -> Any:
        sent = write(data)
        transport.writeSomeData = write
        act()
        return sent

    transport.writeSomeData = writing


def alone(shore: Shore, name: str) -> None:
    """It was sent on once, and nothing else was."""
    shore.serve(name)
    shore.spend(0.1)
    assert shore.calls() == [name]


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_unread_when_the_close_of_a_resting_connection_is_decided(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    peer = shore.client()
    peer.send(shore.put("a"))  # in the kernel: the reactor has not looked since
    close(shore, peer)
    if close is by_eviction:  # who has something unread is not idle
        shore.until(lambda: peer.pull() == OK)
    else:
        shore.until(lambda: peer.pull() and peer.ended)
        assert (peer.got, peer.ended) == (OK, "closed")
    alone(shore, "a")


@pytest.mark.parametrize("close", CLOSES)
def test_half_a_request_at_the_close_is_waited_for_and_answered(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    peer = shore.client()
    request = shore.put("a")
    peer.send(request[:25])
    close(shore, peer)
    shore.spend(0.3)
    assert not peer.pull() and not peer.ended
    peer.send(request[25:])
    shore.until(lambda: peer.pull() == OK)
    if close is not by_eviction:
        shore.until(lambda: peer.pull() and peer.ended)
        assert (peer.got, peer.ended) == (OK, "closed")
    alone(shore, "a")


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_a_request_that_comes_as_the_last_answer_leaves_is_answered(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    """It lies in the kernel as the close is decided; the close reset the connection over it."""
    peer = shore.client()
    peer.send(shore.put("a"))
    close(shore, peer)
    when_written(shore, lambda: peer.send(shore.put("b")))
    shore.until(lambda: peer.pull() and peer.ended)
    assert (peer.got, peer.ended) == (OK + OK, "closed")
    shore.serve("a")
    shore.until(lambda: shore.calls() == ["a", "b"])


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_several_requests_behind_each_other_at_the_close_are_all_answered(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    peer = shore.client()
    peer.send(b"".join(shore.put(name) for name in "abc"))
    close(shore, peer)
    shore.until(lambda: peer.pull() and peer.ended)
    assert (peer.got, peer.ended) == (OK * 3, "closed")


@pytest.mark.parametrize("close", CLOSES)
def test_a_request_after_the_shutdown_is_never_sent_on_and_resets_nothing(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    peer = shore.client()
    peer.send(shore.put("a"))
    shore.until(lambda: peer.pull() == OK)
    close(shore, peer)  # the writing is ended in this very call
    shore.until(lambda: peer.pull() and peer.ended)
    peer.send(shore.put("b"))
    shore.spend(0.2)
    assert (peer.got, peer.ended) == (OK, "closed")
    alone(shore, "a")
    shore.spend(1.0)  # it is not kept for ever
    assert not shore.front.connections


def test_a_new_connection_at_the_close_of_the_door_is_accepted_and_answered(shore: Shore) -> None:
    """It waits in the backlog, its request unread: closing the door reset it."""
    peers = [shore.client(ping=False) for _ in range(9)]
    for number, peer in enumerate(peers):
        peer.send(shore.put(f"m{number}"))
    shore.front.stop_accepting()
    shore.until(lambda: all(peer.pull() and peer.ended for peer in peers))
    assert {(peer.got, peer.ended) for peer in peers} == {(OK, "closed")}


@pytest.mark.parametrize("close", [by_stop, by_lameduck])
def test_who_has_just_connected_has_a_moment_to_ask(
    shore: Shore, close: Callable[[Shore, Peer], None]
) -> None:
    peer = shore.client(ping=False)
    shore.until(lambda: shore.front.connections)
    close(shore, peer)
    shore.spend(0.2)
    peer.send(shore.put("a"))
    shore.until(lambda: peer.pull() and peer.ended)
    assert (peer.got, peer.ended) == (OK, "closed")
    silent = shore.client(ping=False) if close is by_lameduck else None
    if silent:
        shore.until(lambda: silent.pull() or silent.ended, most=4.0)


def test_patience_over_half_a_request_ends_with_its_error_and_the_rest_is_read(shore: Shore) -> None:
    """The rest comes as the error leaves; a close over it would take the error along."""
    peer = shore.client()
    request = shore.put("a")
    peer.send(request[:30])
    shore.step(0.01)
    when_written(shore, lambda: peer.send(request[30:] + shore.put("b") * 40))
    shore.until(lambda: peer.pull() and peer.ended)
    assert peer.got.startswith(b"-ERR ") and peer.got.count(b"\r\n") == 1 and peer.ended == "closed"
    shore.spend(0.2)
    assert shore.calls() == [] and not shore.core.counters["taken"]


def test_a_client_that_sends_much_behind_an_error_reads_the_error(shore: Shore) -> None:
    peer = shore.client()
    peer.send(b"*1\r\n$-5\r\n")
    when_written(shore, lambda: peer.send(b"x" * 200_000))
    shore.until(lambda: peer.pull() and peer.ended)
    assert peer.got.startswith(b"-ERR ") and peer.ended == "closed"


def test_too_many_errors_end_with_one_and_whole_requests_before_them_are_answered(shore: Shore) -> None:
    peer = shore.client()
    peer.send(shore.put("a") + b"SNEEZE\r\n" * 15 + shore.put("b") + b"SNEEZE\r\n" * 9)
    shore.until(lambda: peer.pull() and peer.ended)
    lines = peer.got.split(b"\r\n")
    assert lines.count(b"+OK") == 2 and lines[-2] == b"-ERR too many errors" and peer.ended == "closed"


def test_no_delay_is_set_before_the_first_write(shore: Shore) -> None:
    shore.client()
    client = next(iter(shore.front.connections))
    assert client.transport.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
