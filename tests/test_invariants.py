"""Each invariant counts a violation where the guard in front of it is broken on purpose, and none else."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher

from laureldock.core.invariants import Invariant
from laureldock.core.peer_view import PeerView
from laureldock.delivery_policy import MessageStage
from laureldock.delivery_state import KeyQueue
from laureldock.fronts.resp import CloseReason


def allow_all(dispatcher: InMemoryDispatcher) -> None:
    """Break the check before a send: it allows every attempt."""
    dispatcher.core.control.may_start = lambda *_: True  # type: ignore[method-assign]


def no_guard(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.core.may_begin = lambda *_: True  # type: ignore[method-assign]


def held_up(dispatcher: InMemoryDispatcher, *names: str) -> None:
    """Messages whose connections have not come up yet."""
    dispatcher.not_connecting = {"1"}
    for name in names:
        dispatcher.put(dispatcher.connect_client(), name)


def let_go(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.not_connecting = set()
    dispatcher.process_events()


def sent_when_over(dispatcher: InMemoryDispatcher) -> None:
    held_up(dispatcher, "m1")
    no_guard(dispatcher)
    client = dispatcher.core.by_name[b"m1"]
    dispatcher.core.submissions.withdraw(client)
    let_go(dispatcher)


def sent_without_record(dispatcher: InMemoryDispatcher) -> None:
    held_up(dispatcher, "m1")
    no_guard(dispatcher)
    let_go(dispatcher)


def sent_late(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.not_connecting = {"1"}
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=300)
    allow_all(dispatcher)
    message = dispatcher.core.by_name[b"m1"]
    errand = next(iter(dispatcher.assembly.receivers.errands.values()))
    message.end -= 0.4
    assert errand
    let_go(dispatcher)


def sent_to_drained(dispatcher: InMemoryDispatcher) -> None:
    held_up(dispatcher, "m1")
    allow_all(dispatcher)
    dispatcher.update_list("1", "Terminating", 2)
    dispatcher.advance(0.1)
    let_go(dispatcher)


def widen(dispatcher: InMemoryDispatcher) -> None:
    """A served call lets two be out at once."""
    dispatcher.put(dispatcher.connect_client(), "m0")
    dispatcher.respond("1", "200 OK")


def sent_during_wait(dispatcher: InMemoryDispatcher) -> None:
    widen(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1")
    held_up(dispatcher, "m2")
    allow_all(dispatcher)
    dispatcher.respond("1", "429 Too Many", "X-RateLimit-Wait-Ms: 900")
    let_go(dispatcher)


def no_turns(dispatcher: InMemoryDispatcher) -> None:
    """Break the order of keys: every message of a key is queued at once, and always has its turn."""
    policy = dispatcher.core.control

    def queue_all(now: float, key_queue: KeyQueue) -> None:
        for message in key_queue.messages:
            if message.stage is MessageStage.WAITING and not message.queued:
                policy.enqueue(now, message)

    policy.start_next_of_key = queue_all  # type: ignore[method-assign]
    policy.has_turn = lambda *_: True  # type: ignore[method-assign]


def sent_out_of_order(dispatcher: InMemoryDispatcher) -> None:
    widen(dispatcher)
    no_turns(dispatcher)
    for name in ("m1", "m2"):
        dispatcher.put(dispatcher.connect_client(), name, "order", "key")


def sent_out_of_order_of_another_process(dispatcher: InMemoryDispatcher) -> None:
    no_turns(dispatcher)
    dispatcher.core.peers.view = PeerView(processes=1, keys={"key": {b"m0": 1.0}})
    dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")


def sent_during_rest(dispatcher: InMemoryDispatcher) -> None:
    no_turns(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")
    dispatcher.break_connection("1")
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    dispatcher.put(dispatcher.connect_client(), "m2", "order", "key")


def sent_over_slots(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.core.peers.view = PeerView(processes=1, calls_out=8)
    dispatcher.put(dispatcher.connect_client(), "m1")


def sent_over_window(dispatcher: InMemoryDispatcher) -> None:
    route = dispatcher.core.book.routes["r1"]
    route.window = 4
    dispatcher.core.peers.view = PeerView(processes=1, calls_out=4, calls_to={"r1": 4})
    dispatcher.put(dispatcher.connect_client(), "m1")


def sent_beside(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1")
    attempt = next(iter(dispatcher.assembly.receivers.errands))
    message = dispatcher.core.by_name[b"m1"]
    dispatcher.core.sending(attempt, message)


def repeated(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    dispatcher.core.control.may_attempt = lambda *_: True  # type: ignore[method-assign]
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(3.0)


def repeated_late(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    stored = dispatcher.core.store.owed[b"m1"]
    assert stored.out is not None
    stored.out -= 5.0  # longer ago than the decisions believe
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(0.1)


def refused_owed(dispatcher: InMemoryDispatcher) -> None:
    store: Any = dispatcher.core.store
    store.refuse = store.over = lambda *_: None
    held_up(dispatcher, *(f"m{number}" for number in range(45)))


def notice_unrecorded(dispatcher: InMemoryDispatcher) -> None:
    store: Any = dispatcher.core.store
    store.notice = lambda *_: None
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    dispatcher.respond("1", "500 Internal Server Error")


def closed_unanswered(dispatcher: InMemoryDispatcher) -> None:
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    client.protocol.pending = dispatcher.core.by_name[b"m1"]
    client.protocol.half_close(CloseReason.LEAVING)


def opened_early(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.core.recovered = False
    dispatcher.core.start_listening()


BREAKS: dict[Invariant, Callable[[InMemoryDispatcher], None]] = {
    Invariant.SENT_UNOWED: sent_when_over,
    Invariant.SENT_UNRECORDED: sent_without_record,
    Invariant.SENT_LATE: sent_late,
    Invariant.SENT_TO_DRAINED: sent_to_drained,
    Invariant.SENT_DURING_WAIT: sent_during_wait,
    Invariant.SENT_OUT_OF_ORDER: sent_out_of_order,
    Invariant.SENT_DURING_REST: sent_during_rest,
    Invariant.SENT_OVER_SLOTS: sent_over_slots,
    Invariant.SENT_OVER_WINDOW: sent_over_window,
    Invariant.SENT_BESIDE: sent_beside,
    Invariant.REPEATED: repeated,
    Invariant.REPEATED_LATE: repeated_late,
    Invariant.REFUSED_OWED: refused_owed,
    Invariant.NOTICE_UNRECORDED: notice_unrecorded,
    Invariant.CLOSED_UNANSWERED: closed_unanswered,
    Invariant.OPENED_EARLY: opened_early,
}


@pytest.mark.parametrize("invariant", Invariant, ids=lambda each: each.name)
def test_a_broken_guard_is_counted(
    invariant: Invariant, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    assert not dispatcher.core.invariants.violations
    BREAKS[invariant](dispatcher)
    assert dispatcher.core.invariants.violations[invariant], dispatcher.core.invariants.violations
    assert dispatcher.core.figures()["invariant violations"]


def test_an_earlier_message_of_another_process_is_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    sent_out_of_order_of_another_process(dispatcher)
    assert dispatcher.core.invariants.violations[Invariant.SENT_OUT_OF_ORDER]


def test_a_day_without_broken_guards_counts_none(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Waits, drains, errors, keys and a full room, with every guard in its place."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch, routes="12")
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    dispatcher.put(dispatcher.connect_client(), "m2", "order", "key")
    dispatcher.put(dispatcher.connect_client(), "m3", "order", "key")
    dispatcher.respond("12", "429 Too Many", "X-RateLimit-Wait-Ms: 300")
    dispatcher.advance(0.5)
    dispatcher.update_list("1", "Terminating", 2)
    for _ in range(100):
        dispatcher.advance(0.1)
        for connection in list(dispatcher.connections):
            if connection.name in "12" and connection.awaits_response:
                dispatcher.respond(connection.name, "200 OK")
    assert dispatcher.core.counters["relayed"] == 3
    assert not dispatcher.core.invariants.violations
