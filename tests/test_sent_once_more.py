"""A client whose connection ends before its reply repeats its request with the same id."""

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


def submit_and_disconnect(dispatcher: InMemoryDispatcher, sort: str, key: str = "0") -> None:
    """Submit a message whose reply cannot be sent before the connection breaks."""
    client = dispatcher.connect_client("first client")
    client.blocked = True
    dispatcher.put(client, "m1", sort, key)
    dispatcher.disconnect(client)
    dispatcher.process_events()


def submit_again(dispatcher: InMemoryDispatcher, sort: str, key: str = "0") -> MemoryConnection:
    client = dispatcher.connect_client("second client")
    dispatcher.put(client, "m1", sort, key)
    return client


def replies(dispatcher: InMemoryDispatcher) -> list[str]:
    return [line.split("second client: ")[1] for line in dispatcher.lines if "second client: " in line]


@pytest.mark.parametrize("sort", ["charge", "order", "news"])
def test_a_repeat_while_its_call_is_in_flight_continues_the_same_message(
    dispatcher: InMemoryDispatcher, sort: str
) -> None:
    """The repeat once counted as another message, so that a once-only one ran twice at the same time."""
    submit_and_disconnect(dispatcher, sort, "key" if sort == "order" else "0")
    submit_again(dispatcher, sort, "key" if sort == "order" else "0")
    assert (calls(dispatcher), replies(dispatcher)) == (1, ["+OK"])
    dispatcher.respond("12", "200 OK")
    dispatcher.advance(9.5)
    assert (calls(dispatcher), notices(dispatcher)) == (1, 0)
    assert not dispatcher.core.held_messages and not dispatcher.core.store.pending
    assert not dispatcher.core.invariants.violations


def test_a_repeat_after_its_call_was_served_is_accepted_and_not_sent_again(
    dispatcher: InMemoryDispatcher,
) -> None:
    submit_and_disconnect(dispatcher, "charge")
    dispatcher.respond("12", "200 OK")
    submit_again(dispatcher, "charge")
    dispatcher.advance(1.0)
    assert (calls(dispatcher), replies(dispatcher), notices(dispatcher)) == (1, ["+OK"], 0)
    assert not dispatcher.core.store.pending


def test_a_repeat_after_its_call_failed_is_failed_and_not_sent_again_if_once_only(
    dispatcher: InMemoryDispatcher,
) -> None:
    submit_and_disconnect(dispatcher, "charge")
    dispatcher.respond("12", "500 Internal Server Error")
    submit_again(dispatcher, "charge")
    dispatcher.advance(1.0)
    assert (calls(dispatcher), replies(dispatcher), notices(dispatcher)) == (1, ["-ERR"], 0)
    assert not dispatcher.core.store.pending


def test_without_a_repeat_nothing_stays_pending(dispatcher: InMemoryDispatcher) -> None:
    submit_and_disconnect(dispatcher, "news")
    dispatcher.advance(1.0)
    assert not dispatcher.core.held_messages and not dispatcher.core.store.pending
    assert (calls(dispatcher), notices(dispatcher)) == (1, 0)


def test_a_late_end_of_the_first_message_leaves_the_second_of_that_id_alone(
    dispatcher: InMemoryDispatcher,
) -> None:
    """The end of the first once removed the record of the second from the store."""
    submit_and_disconnect(dispatcher, "news")
    dispatcher.advance(1.0)
    submit_again(dispatcher, "news")
    first = next(
        connection
        for connection in dispatcher.connections
        if connection.awaits_response and connection.name in ("1", "2")
    )
    dispatcher.respond(first.name, "500 Internal Server Error")
    assert b"m1" in dispatcher.core.messages_by_name and b"m1" in dispatcher.core.store.pending
    dispatcher.advance(0.1)
    for connection in list(dispatcher.connections):
        if connection.awaits_response and connection.name in ("1", "2"):
            dispatcher.respond(connection.name, "200 OK")
    dispatcher.advance(0.5)
    assert not dispatcher.core.held_messages and not dispatcher.core.store.pending
