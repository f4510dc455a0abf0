"""Each invariant counts a violation when the check that enforces it is disabled, and none otherwise."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher

from laureldock.core.invariants import Invariant
from laureldock.core.peer_view import PeerView
from laureldock.delivery_state import KeyQueue, MessageStage
from laureldock.fronts.resp import CloseReason


def disable_policy_check(dispatcher: InMemoryDispatcher) -> None:
    """Break the check before a send: the policy allows every attempt."""
    dispatcher.core.policy.may_start = lambda *_: True  # type: ignore[method-assign]


def disable_start_check(dispatcher: InMemoryDispatcher) -> None:
    """The dispatcher allows every attempt to start, and records none."""
    dispatcher.core.may_start = lambda *_: True  # type: ignore[method-assign]


def submit_unconnected(dispatcher: InMemoryDispatcher, *names: str) -> None:
    """Submit messages whose connections to the receiver are not established yet."""
    dispatcher.not_connecting = {"1"}
    for name in names:
        dispatcher.put(dispatcher.connect_client(), name)


def let_connect(dispatcher: InMemoryDispatcher) -> None:
    """Establish the connections to the receiver."""
    dispatcher.not_connecting = set()
    dispatcher.process_events()


def sent_when_finished(dispatcher: InMemoryDispatcher) -> None:
    submit_unconnected(dispatcher, "m1")
    disable_start_check(dispatcher)
    message = dispatcher.core.messages_by_name[b"m1"]
    dispatcher.core.submissions.withdraw(message)
    let_connect(dispatcher)


def sent_without_record(dispatcher: InMemoryDispatcher) -> None:
    submit_unconnected(dispatcher, "m1")
    disable_start_check(dispatcher)
    let_connect(dispatcher)


def sent_late(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.not_connecting = {"1"}
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=300)
    disable_policy_check(dispatcher)
    message = dispatcher.core.messages_by_name[b"m1"]
    call = next(iter(dispatcher.assembly.carrier.calls.values()))
    message.expires_at -= 0.4
    assert call
    let_connect(dispatcher)


def sent_to_draining(dispatcher: InMemoryDispatcher) -> None:
    submit_unconnected(dispatcher, "m1")
    disable_policy_check(dispatcher)
    dispatcher.update_list("1", "Terminating", 2)
    dispatcher.advance(0.1)
    let_connect(dispatcher)


def open_window(dispatcher: InMemoryDispatcher) -> None:
    """After a served call, two may be in flight at once."""
    dispatcher.put(dispatcher.connect_client(), "m0")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()


def sent_during_wait(dispatcher: InMemoryDispatcher) -> None:
    open_window(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1")
    submit_unconnected(dispatcher, "m2")
    disable_policy_check(dispatcher)
    dispatcher.respond("1", "429 Too Many", "X-RateLimit-Wait-Ms: 900")
    let_connect(dispatcher)


def disable_key_order(dispatcher: InMemoryDispatcher) -> None:
    """Break the order of keys: every message of a key is queued at once, and always has its turn."""
    policy = dispatcher.core.policy

    def queue_all(now: float, queue: KeyQueue) -> None:
        for message in queue.messages:
            if message.stage is MessageStage.WAITING and not message.queued:
                policy.enqueue(now, message)

    policy.key_order.start_next = queue_all  # type: ignore[method-assign]
    policy.key_order.has_turn = lambda *_: True  # type: ignore[method-assign]


def sent_out_of_order(dispatcher: InMemoryDispatcher) -> None:
    open_window(dispatcher)
    disable_key_order(dispatcher)
    for name in ("m1", "m2"):
        dispatcher.put(dispatcher.connect_client(), name, "order", "key")


def sent_out_of_order_of_a_peer_process(dispatcher: InMemoryDispatcher) -> None:
    disable_key_order(dispatcher)
    dispatcher.core.peers.view = PeerView(processes=1, accepted_by_key={"key": {b"m0": 1.0}})
    dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")


def sent_during_cooldown(dispatcher: InMemoryDispatcher) -> None:
    disable_key_order(dispatcher)
    dispatcher.put(dispatcher.connect_client(), "m1", "order", "key")
    dispatcher.break_connection("1")
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    dispatcher.put(dispatcher.connect_client(), "m2", "order", "key")
    dispatcher.rest()


def sent_over_slots(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.core.peers.view = PeerView(processes=1, calls_in_flight=8)
    dispatcher.put(dispatcher.connect_client(), "m1")


def sent_over_window(dispatcher: InMemoryDispatcher) -> None:
    route = dispatcher.core.registry.routes["r1"]
    route.window = 4
    dispatcher.core.peers.view = PeerView(processes=1, calls_in_flight=4, calls_by_route={"r1": 4})
    dispatcher.put(dispatcher.connect_client(), "m1")


def sent_concurrently(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1")
    attempt = next(iter(dispatcher.assembly.carrier.calls))
    message = dispatcher.core.messages_by_name[b"m1"]
    dispatcher.core.attempt_sending(attempt, message)


def repeated_unsafely(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    dispatcher.core.policy.may_attempt = lambda *_: True  # type: ignore[method-assign]
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(3.0)


def repeated_late(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    stored = dispatcher.core.store.pending[b"m1"]
    assert stored.in_flight_since is not None
    stored.in_flight_since -= 5.0  # longer ago than the policy knows
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(0.1)


def refused_pending(dispatcher: InMemoryDispatcher) -> None:
    store: Any = dispatcher.core.store
    store.record_refusal = store.record_finished = lambda *_: None
    submit_unconnected(dispatcher, *(f"m{number}" for number in range(45)))


def notice_unrecorded(dispatcher: InMemoryDispatcher) -> None:
    store: Any = dispatcher.core.store
    store.record_notice = lambda *_: None
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    dispatcher.respond("1", "500 Internal Server Error")


def closed_without_reply(dispatcher: InMemoryDispatcher) -> None:
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    client.protocol.unreplied = dispatcher.core.messages_by_name[b"m1"]
    client.protocol.half_close(CloseReason.BETWEEN_REQUESTS)


def accepted_early(dispatcher: InMemoryDispatcher) -> None:
    dispatcher.core.recovered = False
    dispatcher.core.start_listening()


VIOLATIONS: dict[Invariant, Callable[[InMemoryDispatcher], None]] = {
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
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    assert not dispatcher.core.invariants.violations
    VIOLATIONS[invariant](dispatcher)
    assert dispatcher.core.invariants.violations[invariant], dispatcher.core.invariants.violations
    assert dispatcher.core.metrics()["invariant violations"]


def test_an_earlier_message_of_a_peer_process_is_detected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    sent_out_of_order_of_a_peer_process(dispatcher)
    assert dispatcher.core.invariants.violations[Invariant.SENT_OUT_OF_ORDER]


def test_normal_operation_counts_no_violation(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Requested waits, drains, errors and ordering keys, with every check enabled."""
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
