"""Each invariant counts a violation when the check that enforces it is disabled, and none otherwise."""

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


def disable_policy_check(quay: Quay) -> None:
    """Break the check before a send: the policy allows every attempt."""
    quay.dispatcher.policy.may_start = lambda *_: True  # type: ignore[method-assign]


def disable_start_check(quay: Quay) -> None:
    """The dispatcher allows every attempt to start, and records none."""
    quay.dispatcher.may_start = lambda *_: True  # type: ignore[method-assign]


def submit_unconnected(quay: Quay, *names: str) -> None:
    """Submit messages whose connections to the receiver are not established yet."""
    quay.late = {"1"}
    for name in names:
        quay.put(quay.client(), name)


def let_connect(quay: Quay) -> None:
    """Establish the connections to the receiver."""
    quay.late = set()
    quay.flow()


def sent_when_finished(quay: Quay) -> None:
    submit_unconnected(quay, "m1")
    disable_start_check(quay)
    message = quay.dispatcher.messages_by_name[b"m1"]
    quay.dispatcher.submissions.withdraw(message)
    let_connect(quay)


def sent_without_record(quay: Quay) -> None:
    submit_unconnected(quay, "m1")
    disable_start_check(quay)
    let_connect(quay)


def sent_late(quay: Quay) -> None:
    quay.late = {"1"}
    quay.put(quay.client(), "m1", left=300)
    disable_policy_check(quay)
    message = quay.dispatcher.messages_by_name[b"m1"]
    errand = next(iter(quay.assembly.carrier.calls.values()))
    message.expires_at -= 0.4
    assert errand
    let_connect(quay)


def sent_to_draining(quay: Quay) -> None:
    submit_unconnected(quay, "m1")
    disable_policy_check(quay)
    quay.news("1", "Terminating", 2)
    quay.after(0.1)
    let_connect(quay)


def open_window(quay: Quay) -> None:
    """After a served call, two may be in flight at once."""
    quay.put(quay.client(), "m0")
    quay.answer("1", "200 OK")


def sent_during_wait(quay: Quay) -> None:
    open_window(quay)
    quay.put(quay.client(), "m1")
    submit_unconnected(quay, "m2")
    disable_policy_check(quay)
    quay.answer("1", "429 Too Many", "X-RateLimit-Wait-Ms: 900")
    let_connect(quay)


def disable_key_order(quay: Quay) -> None:
    """Break the order of keys: every message of a key is queued at once, and always has its turn."""
    policy = quay.dispatcher.policy

    def queue_all(now: float, key_queue: KeyQueue) -> None:
        for message in key_queue.messages:
            if message.stage is MessageStage.WAITING and not message.queued:
                policy.enqueue(now, message)

    policy.start_next_of_key = queue_all  # type: ignore[method-assign]
    policy.has_turn = lambda *_: True  # type: ignore[method-assign]


def sent_out_of_order(quay: Quay) -> None:
    open_window(quay)
    disable_key_order(quay)
    for name in ("m1", "m2"):
        quay.put(quay.client(), name, "order", "key")


def sent_out_of_order_of_a_peer_process(quay: Quay) -> None:
    disable_key_order(quay)
    quay.dispatcher.peers.view = PeerView(processes=1, accepted_by_key={"key": {b"m0": 1.0}})
    quay.put(quay.client(), "m1", "order", "key")


def sent_during_cooldown(quay: Quay) -> None:
    disable_key_order(quay)
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


def sent_concurrently(quay: Quay) -> None:
    quay.put(quay.client(), "m1")
    attempt = next(iter(quay.assembly.carrier.calls))
    message = quay.dispatcher.messages_by_name[b"m1"]
    quay.dispatcher.attempt_sending(attempt, message)


def repeated_unsafely(quay: Quay) -> None:
    quay.put(quay.client(), "m1", "charge")
    quay.dispatcher.policy.may_attempt = lambda *_: True  # type: ignore[method-assign]
    quay.answer("1", "500 Internal Server Error")
    quay.after(3.0)


def repeated_late(quay: Quay) -> None:
    quay.put(quay.client(), "m1", "stamp")
    stored = quay.dispatcher.store.pending[b"m1"]
    assert stored.in_flight_since is not None
    stored.in_flight_since -= 5.0  # longer ago than the policy knows
    quay.answer("1", "500 Internal Server Error")
    quay.after(0.1)


def refused_pending(quay: Quay) -> None:
    store: Any = quay.dispatcher.store
    store.record_refusal = store.record_finished = lambda *_: None
    submit_unconnected(quay, *(f"m{number}" for number in range(45)))


def notice_unrecorded(quay: Quay) -> None:
    store: Any = quay.dispatcher.store
    store.record_notice = lambda *_: None
    quay.put(quay.client(), "m1", "charge")
    quay.answer("1", "500 Internal Server Error")


def closed_without_reply(quay: Quay) -> None:
    client = quay.client()
    quay.put(client, "m1")
    client.protocol.unreplied = quay.dispatcher.messages_by_name[b"m1"]
    client.protocol.half_close(CloseReason.BETWEEN_REQUESTS)


def accepted_early(quay: Quay) -> None:
    quay.dispatcher.recovered = False
    quay.dispatcher.start_listening()


VIOLATIONS: dict[Invariant, Callable[[Quay], None]] = {
    Invariant.SENT_WHEN_FINISHED: sent_when_finished,
    Invariant.SENT_UNRECORDED: sent_without_record,
    Invariant.SENT_LATE: sent_late,
    Invariant.SENT_TO_DRAINING: sent_to_draining,
    Invariant.SENT_DURING_WAIT: sent_during_wait,
    Invariant.SENT_OUT_OF_ORDER: sent_out_of_order,
    Invariant.SENT_DURING_COOLDOWN: sent_during_cooldown,
    Invariant.SENT_OVER_SLOTS: sent_over_slots,
    Invariant.SENT_OVER_WINDOW: sent_over_window,
    Invariant.SENT_CONCURRENTLY: sent_concurrently,
    Invariant.REPEATED_UNSAFELY: repeated_unsafely,
    Invariant.REPEATED_LATE: repeated_late,
    Invariant.REFUSED_PENDING: refused_pending,
    Invariant.NOTICE_UNRECORDED: notice_unrecorded,
    Invariant.CLOSED_WITHOUT_REPLY: closed_without_reply,
    Invariant.ACCEPTED_EARLY: accepted_early,
}


@pytest.mark.parametrize("invariant", Invariant, ids=lambda each: each.name)
def test_a_violation_of_each_invariant_is_counted(
    invariant: Invariant, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    quay = Quay(tmp_path, monkeypatch)
    assert not quay.dispatcher.invariants.violations
    VIOLATIONS[invariant](quay)
    assert quay.dispatcher.invariants.violations[invariant], quay.dispatcher.invariants.violations
    assert quay.dispatcher.metrics()["invariant violations"]


def test_an_earlier_message_of_a_peer_process_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    quay = Quay(tmp_path, monkeypatch)
    sent_out_of_order_of_a_peer_process(quay)
    assert quay.dispatcher.invariants.violations[Invariant.SENT_OUT_OF_ORDER]


def test_normal_operation_counts_no_violation(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Requested waits, drains, errors and ordering keys, with every check enabled."""
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
