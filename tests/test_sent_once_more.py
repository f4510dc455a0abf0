"""A client whose connection ends before its answer sends its request once more, under the same id."""

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


def put_and_break(quay: Quay, sort: str, key: str = "0") -> None:
    """The answer cannot leave, and the connection breaks."""
    client = quay.client("first client")
    client.stuck = True
    quay.put(client, "m1", sort, key)
    quay.lose(client)
    quay.flow()


def put_again(quay: Quay, sort: str, key: str = "0") -> Pipe:
    client = quay.client("second client")
    quay.put(client, "m1", sort, key)
    return client


def heard(quay: Quay) -> list[str]:
    return [line.split("second client: ")[1] for line in quay.lines if "second client: " in line]


@pytest.mark.parametrize("sort", ["charge", "order", "news"])
def test_while_its_call_is_out_the_same_message_goes_on(quay: Quay, sort: str) -> None:
    """It once was taken for another message: a once-only one ran twice, beside itself."""
    put_and_break(quay, sort, "key" if sort == "order" else "0")
    put_again(quay, sort, "key" if sort == "order" else "0")
    assert (calls(quay), heard(quay)) == (1, ["+OK"])
    quay.answer("12", "200 OK")
    quay.after(9.5)
    assert (calls(quay), notices(quay)) == (1, 0)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
    assert not quay.dispatcher.invariants.violations


def test_after_its_call_was_served_it_is_accepted_and_not_sent_again(quay: Quay) -> None:
    put_and_break(quay, "charge")
    quay.answer("12", "200 OK")
    put_again(quay, "charge")
    quay.after(1.0)
    assert (calls(quay), heard(quay), notices(quay)) == (1, ["+OK"], 0)
    assert not quay.dispatcher.store.pending


def test_after_its_call_failed_once_only_is_failed_and_not_sent_again(quay: Quay) -> None:
    put_and_break(quay, "charge")
    quay.answer("12", "500 Internal Server Error")
    put_again(quay, "charge")
    quay.after(1.0)
    assert (calls(quay), heard(quay), notices(quay)) == (1, ["-ERR"], 0)
    assert not quay.dispatcher.store.pending


def test_nobody_who_sends_it_again_leaves_nothing_owed(quay: Quay) -> None:
    put_and_break(quay, "news")
    quay.after(1.0)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
    assert (calls(quay), notices(quay)) == (1, 0)


def test_a_late_end_of_the_first_touches_no_second_message_of_that_id(quay: Quay) -> None:
    """Its end once took the second one's record out of the store."""
    put_and_break(quay, "news")
    quay.after(1.0)
    put_again(quay, "news")
    first = next(pipe for pipe in quay.pipes if pipe.asked and pipe.name in ("1", "2"))
    quay.answer(first.name, "500 Internal Server Error")
    assert b"m1" in quay.dispatcher.messages_by_name and b"m1" in quay.dispatcher.store.pending
    quay.after(0.1)
    for pipe in list(quay.pipes):
        if pipe.asked and pipe.name in ("1", "2"):
            quay.answer(pipe.name, "200 OK")
    quay.after(0.5)
    assert not quay.dispatcher.held_messages and not quay.dispatcher.store.pending
