"""A client whose connection ends before its answer sends its request once more, under the same id."""

from __future__ import annotations

from pathlib import Path

import pytest
from drivers import InMemoryDispatcher, MemoryConnection


@pytest.fixture
def dispatcher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> InMemoryDispatcher:
    return InMemoryDispatcher(tmp_path, monkeypatch, routes="12")


def calls(dispatcher: InMemoryDispatcher) -> int:
    return sum("POST /hook" in line for line in dispatcher.lines)


def notices(dispatcher: InMemoryDispatcher) -> int:
    return sum("POST /v1/notices" in line for line in dispatcher.lines)


def put_and_break(dispatcher: InMemoryDispatcher, sort: str, key: str = "0") -> None:
    """The answer cannot leave, and the connection breaks."""
    client = dispatcher.connect_client("first client")
    client.blocked = True
    dispatcher.put(client, "m1", sort, key)
    dispatcher.disconnect(client)
    dispatcher.process_events()


def put_again(dispatcher: InMemoryDispatcher, sort: str, key: str = "0") -> MemoryConnection:
    client = dispatcher.connect_client("second client")
    dispatcher.put(client, "m1", sort, key)
    return client


def heard(dispatcher: InMemoryDispatcher) -> list[str]:
    return [line.split("second client: ")[1] for line in dispatcher.lines if "second client: " in line]


@pytest.mark.parametrize("sort", ["charge", "order", "news"])
def test_while_its_call_is_out_the_same_message_goes_on(dispatcher: InMemoryDispatcher, sort: str) -> None:
    """It once was taken for another message: a once-only one ran twice, beside itself."""
    put_and_break(dispatcher, sort, "key" if sort == "order" else "0")
    put_again(dispatcher, sort, "key" if sort == "order" else "0")
    assert (calls(dispatcher), heard(dispatcher)) == (1, ["+OK"])
    dispatcher.respond("12", "200 OK")
    dispatcher.advance(9.5)
    assert (calls(dispatcher), notices(dispatcher)) == (1, 0)
    assert not dispatcher.core.held and not dispatcher.core.store.owed
    assert not dispatcher.core.invariants.violations


def test_after_its_call_was_served_it_is_accepted_and_not_sent_again(dispatcher: InMemoryDispatcher) -> None:
    put_and_break(dispatcher, "charge")
    dispatcher.respond("12", "200 OK")
    put_again(dispatcher, "charge")
    dispatcher.advance(1.0)
    assert (calls(dispatcher), heard(dispatcher), notices(dispatcher)) == (1, ["+OK"], 0)
    assert not dispatcher.core.store.owed


def test_after_its_call_failed_once_only_is_failed_and_not_sent_again(dispatcher: InMemoryDispatcher) -> None:
    put_and_break(dispatcher, "charge")
    dispatcher.respond("12", "500 Internal Server Error")
    put_again(dispatcher, "charge")
    dispatcher.advance(1.0)
    assert (calls(dispatcher), heard(dispatcher), notices(dispatcher)) == (1, ["-ERR"], 0)
    assert not dispatcher.core.store.owed


def test_nobody_who_sends_it_again_leaves_nothing_owed(dispatcher: InMemoryDispatcher) -> None:
    put_and_break(dispatcher, "news")
    dispatcher.advance(1.0)
    assert not dispatcher.core.held and not dispatcher.core.store.owed
    assert (calls(dispatcher), notices(dispatcher)) == (1, 0)


def test_a_late_end_of_the_first_touches_no_second_message_of_that_id(dispatcher: InMemoryDispatcher) -> None:
    """Its end once took the second one's record out of the store."""
    put_and_break(dispatcher, "news")
    dispatcher.advance(1.0)
    put_again(dispatcher, "news")
    first = next(
        connection
        for connection in dispatcher.connections
        if connection.awaits_response and connection.name in ("1", "2")
    )
    dispatcher.respond(first.name, "500 Internal Server Error")
    assert b"m1" in dispatcher.core.by_name and b"m1" in dispatcher.core.store.owed
    dispatcher.advance(0.1)
    for connection in list(dispatcher.connections):
        if connection.awaits_response and connection.name in ("1", "2"):
            dispatcher.respond(connection.name, "200 OK")
    dispatcher.advance(0.5)
    assert not dispatcher.core.held and not dispatcher.core.store.owed
