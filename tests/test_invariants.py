"""Each invariant counts a violation where the guard in front of it is broken on purpose, and none else."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from dock import Quay

from laureldock.core.invariants import Invariant
from laureldock.core.peer_view import PeerView
from laureldock.delivery_policy import MessageStage
from laureldock.delivery_state import KeyQueue
from laureldock.fronts.resp import CloseReason


def allow_all(quay: Quay) -> None:
    """Break the check before a send: it allows every attempt."""
    quay.dispatcher.policy.may_start = lambda *_: True  # type: ignore[method-assign]


def no_guard(quay: Quay) -> None:
    quay.dispatcher.may_start = lambda *_: True  # type: ignore[method-assign]


def held_up(quay: Quay, *names: str) -> None:
    """Messages whose connections have not come up yet."""
    quay.late = {"1"}
    for name in names:
        quay.put(quay.client(), name)


def let_go(quay: Quay) -> None:
    quay.late = set()
    quay.flow()


def sent_when_over(quay: Quay) -> None:
    held_up(quay, "m1")
    no_guard(quay)
    client = quay.dispatcher.messages_by_name[b"m1"]
    quay.dispatcher.submissions.withdraw(client)
    let_go(quay)


def sent_without_record(quay: Quay) -> None:
    held_up(quay, "m1")
    no_guard(quay)
    let_go(quay)


def sent_late(quay: Quay) -> None:
    quay.late = {"1"}
    quay.put(quay.client(), "m1", left=300)
    allow_all(quay)
    message = quay.dispatcher.messages_by_name[b"m1"]
    errand = next(iter(quay.assembly.carrier.errands.values()))
    message.expires_at -= 0.4
    assert errand
    let_go(quay)


def sent_to_drained(quay: Quay) -> None:
    held_up(quay, "m1")
    allow_all(quay)
    quay.news("1", "Terminating", 2)
    quay.after(0.1)
    let_go(quay)


def widen(quay: Quay) -> None:
    """A served call lets two be out at once."""
    quay.put(quay.client(), "m0")
    quay.answer("1", "200 OK")


def sent_during_wait(quay: Quay) -> None:
    widen(quay)
    quay.put(quay.client(), "m1")
    held_up(quay, "m2")
    allow_all(quay)
    quay.answer("1", "429 Too Many", "X-RateLimit-Wait-Ms: 900")
    let_go(quay)


def no_turns(quay: Quay) -> None:
    """Break the order of keys: every message of a key is queued at once, and always has its turn."""
    policy = quay.dispatcher.policy

    def queue_all(now: float, key_queue: KeyQueue) -> None:
        for message in key_queue.messages:
            if message.stage is MessageStage.WAITING and not message.queued:
                policy.enqueue(now, message)

    policy.start_next_of_key = queue_all  # type: ignore[method-assign]
    policy.has_turn = lambda *_: True  # type: ignore[method-assign]


def sent_out_of_order(quay: Quay) -> None:
    widen(quay)
    no_turns(quay)
    for name in ("m1", "m2"):
        quay.put(quay.client(), name, "order", "key")


def sent_out_of_order_of_another_process(quay: Quay) -> None:
    no_turns(quay)
    quay.dispatcher.peers.view = PeerView(processes=1, accepted_by_key={"key": {b"m0": 1.0}})
    quay.put(quay.client(), "m1", "order", "key")


def sent_during_rest(quay: Quay) -> None:
    no_turns(quay)
    quay.put(quay.client(), "m1", "order", "key")
    quay.cut("1")
    quay.after(0.1)
    quay.answer("1", "200 OK")
    quay.put(quay.client(), "m2", "order", "key")


def sent_over_slots(quay: Quay) -> None:
    quay.dispatcher.peers.view = PeerView(processes=1, calls_in_flight=8)
    quay.put(quay.client(), "m1")


def sent_over_window(quay: Quay) -> None:
    route = quay.dispatcher.registry.routes["r1"]
    route.window = 4
    quay.dispatcher.peers.view = PeerView(processes=1, calls_in_flight=4, calls_by_route={"r1": 4})
    quay.put(quay.client(), "m1")


def sent_beside(quay: Quay) -> None:
    quay.put(quay.client(), "m1")
    attempt = next(iter(quay.assembly.carrier.errands))
    message = quay.dispatcher.messages_by_name[b"m1"]
    quay.dispatcher.attempt_sending(attempt, message)


def repeated(quay: Quay) -> None:
    quay.put(quay.client(), "m1", "charge")
    quay.dispatcher.policy.may_attempt = lambda *_: True  # type: ignore[method-assign]
    quay.answer("1", "500 Internal Server Error")
    quay.after(3.0)


def repeated_late(quay: Quay) -> None:
    quay.put(quay.client(), "m1", "stamp")
    stored = quay.dispatcher.store.pending[b"m1"]
    assert stored.in_flight_since is not None
    stored.in_flight_since -= 5.0  # longer ago than the decisions believe
    quay.answer("1", "500 Internal Server Error")
    quay.after(0.1)


def refused_owed(quay: Quay) -> None:
    store: Any = quay.dispatcher.store
    store.record_refusal = store.record_finished = lambda *_: None
    held_up(quay, *(f"m{number}" for number in range(45)))


def notice_unrecorded(quay: Quay) -> None:
    store: Any = quay.dispatcher.store
    store.record_notice = lambda *_: None
    quay.put(quay.client(), "m1", "charge")
    quay.answer("1", "500 Internal Server Error")


def closed_unanswered(quay: Quay) -> None:
    client = quay.client()
    quay.put(client, "m1")
    client.protocol.unreplied = quay.dispatcher.messages_by_name[b"m1"]
    client.protocol.half_close(CloseReason.BETWEEN_REQUESTS)


def opened_early(quay: Quay) -> None:
    quay.dispatcher.recovered = False
    quay.dispatcher.start_listening()


BREAKS: dict[Invariant, Callable[[Quay], None]] = {
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
    quay = Quay(tmp_path, monkeypatch)
    assert not quay.dispatcher.invariants.violations
    BREAKS[invariant](quay)
    assert quay.dispatcher.invariants.violations[invariant], quay.dispatcher.invariants.violations
    assert quay.dispatcher.metrics()["invariant violations"]


def test_an_earlier_message_of_another_process_is_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    quay = Quay(tmp_path, monkeypatch)
    sent_out_of_order_of_another_process(quay)
    assert quay.dispatcher.invariants.violations[Invariant.SENT_OUT_OF_ORDER]


def test_a_day_without_broken_guards_counts_none(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Waits, drains, errors, keys and a full room, with every guard in its place."""
    quay = Quay(tmp_path, monkeypatch, routes="12")
    quay.put(quay.client(), "m1", "charge")
    quay.put(quay.client(), "m2", "order", "key")
    quay.put(quay.client(), "m3", "order", "key")
    quay.answer("12", "429 Too Many", "X-RateLimit-Wait-Ms: 300")
    quay.after(0.5)
    quay.news("1", "Terminating", 2)
    for _ in range(100):
        quay.after(0.1)
        for pipe in list(quay.pipes):
            if pipe.name in "12" and pipe.asked:
                quay.answer(pipe.name, "200 OK")
    assert quay.dispatcher.counters["relayed"] == 3
    assert not quay.dispatcher.invariants.violations
