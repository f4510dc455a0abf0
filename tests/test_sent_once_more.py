"""A client whose connection ends before its reply repeats its request with the same id."""

from __future__ import annotations

from pathlib import Path

import pytest
from dock import Pipe, Quay


@pytest.fixture
def quay(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Quay:
    return Quay(tmp_path, monkeypatch, routes="12")


def calls(quay: Quay) -> int:
    return sum("POST /hook" in line for line in quay.lines)


def notices(quay: Quay) -> int:
    return sum("POST /v1/notices" in line for line in quay.lines)


def submit_and_disconnect(quay: Quay, sort: str, key: str = "0") -> None:
    """Submit a message whose reply cannot be sent before the connection breaks."""
    client = quay.client("first client")
    client.stuck = True
    quay.put(client, "m1", sort, key)
    quay.lose(client)
    quay.flow()


def submit_again(quay: Quay, sort: str, key: str = "0") -> Pipe:
    client = quay.client("second client")
    quay.put(client, "m1", sort, key)
    return client


def replies(quay: Quay) -> list[str]:
    return [line.split("second client: ")[1] for line in quay.lines if "second client: " in line]


@pytest.mark.parametrize("sort", ["charge", "order", "news"])
def test_a_repeat_while_its_call_is_in_flight_continues_the_same_message(quay: Quay, sort: str) -> None:
    """The repeat once counted as another message, so that a once-only one ran twice at the same time."""
    submit_and_disconnect(quay, sort, "key" if sort == "order" else "0")
    submit_again(quay, sort, "key" if sort == "order" else "0")
    assert (calls(quay), replies(quay)) == (1, ["+OK"])
    quay.answer("12", "200 OK")
    quay.after(9.5)
    assert (calls(quay), notices(quay)) == (1, 0)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
    assert not quay.dispatcher.invariants.violations


def test_a_repeat_after_its_call_was_served_is_accepted_and_not_sent_again(quay: Quay) -> None:
    submit_and_disconnect(quay, "charge")
    quay.answer("12", "200 OK")
    submit_again(quay, "charge")
    quay.after(1.0)
    assert (calls(quay), replies(quay), notices(quay)) == (1, ["+OK"], 0)
    assert not quay.dispatcher.store.pending


def test_a_repeat_after_its_call_failed_is_failed_and_not_sent_again_if_once_only(quay: Quay) -> None:
    submit_and_disconnect(quay, "charge")
    quay.answer("12", "500 Internal Server Error")
    submit_again(quay, "charge")
    quay.after(1.0)
    assert (calls(quay), replies(quay), notices(quay)) == (1, ["-ERR"], 0)
    assert not quay.dispatcher.store.pending


def test_without_a_repeat_nothing_stays_pending(quay: Quay) -> None:
    submit_and_disconnect(quay, "news")
    quay.after(1.0)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
    assert (calls(quay), notices(quay)) == (1, 0)


def test_a_late_end_of_the_first_message_leaves_the_second_of_that_id_alone(quay: Quay) -> None:
    """The end of the first once removed the record of the second from the store."""
    submit_and_disconnect(quay, "news")
    quay.after(1.0)
    submit_again(quay, "news")
    first = next(pipe for pipe in quay.pipes if pipe.asked and pipe.name in ("1", "2"))
    quay.answer(first.name, "500 Internal Server Error")
    assert b"m1" in quay.dispatcher.messages_by_name and b"m1" in quay.dispatcher.store.pending
    quay.after(0.1)
    for pipe in list(quay.pipes):
        if pipe.asked and pipe.name in ("1", "2"):
            quay.answer(pipe.name, "200 OK")
    quay.after(0.5)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
