"""The memory budget: what fits, what gives way first, and that nothing stays refused once it is freed."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest
from socket_dispatcher import SocketDispatcher

from laureldock.core.memory_limit import RefusedMemoryError
from laureldock.delivery_memory import (
    MIN_BUDGET_BYTES,
    MemoryBudget,
    MemoryKind,
    first_to_give_way,
    required_bytes,
)
from laureldock.fronts.resp_server import MIN_CONNECTIONS

MB = 1_000_000


@dataclass
class Holder:
    closable_bytes: int
    waiting_since: float


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def test_the_connection_that_has_held_the_most_for_the_longest_gives_way_first() -> None:
    small_old, large_new, large_old = Holder(100, 0.0), Holder(60_000, 9.99), Holder(60_000, 8.0)
    assert first_to_give_way([small_old, large_new, large_old], 10.0) is large_old
    assert first_to_give_way([small_old, large_new], 10.0) is large_new
    assert first_to_give_way([Holder(0, 0.0)], 10.0) is None


def test_kinds_are_limited_by_their_shares_and_by_the_sum() -> None:
    budget = MemoryBudget(100 * MB, 40 * MB)
    assert budget.may_hold(MemoryKind.MESSAGES, 38 * MB)
    budget.change(MemoryKind.MESSAGES, 38 * MB)
    assert not budget.may_hold(MemoryKind.MESSAGES, 2 * MB)
    assert budget.may_hold(MemoryKind.REQUESTS, 10 * MB)
    budget.change(MemoryKind.LISTS, 20 * MB)  # known at the start: never refused
    assert budget.is_short_of(MemoryKind.REQUESTS)
    budget.change(MemoryKind.MESSAGES, -38 * MB)
    assert not budget.is_short_of(MemoryKind.REQUESTS)


def test_processes_share_the_limit_and_each_has_the_least_budget() -> None:
    alone, together = MemoryBudget(200 * MB, 40 * MB), MemoryBudget(200 * MB, 40 * MB, processes=2)
    assert together.total < alone.total / 2
    assert 2 * (together.total + 40 * MB) < 200 * MB
    assert MemoryBudget(64 * MB, 40 * MB, processes=2).total == MIN_BUDGET_BYTES
    assert required_bytes(40 * MB, 1, 2) == 2 * required_bytes(40 * MB, 1)


def test_clients_are_accepted_again_once_memory_was_freed_elsewhere(dispatcher: SocketDispatcher) -> None:
    memory = dispatcher.core.memory
    memory.set_limit(40 * MB, 1)
    clients = [dispatcher.connect_client() for _ in range(MIN_CONNECTIONS)]
    memory.change(MemoryKind.MESSAGES, 100 * MB)
    clients.append(dispatcher.connect_client())  # to be told that it comes again
    memory.change(MemoryKind.CONNECTIONS, 100 * MB)
    dispatcher.front.make_room()
    assert dispatcher.front.accepting_paused
    memory.change(MemoryKind.CONNECTIONS, -100 * MB)
    dispatcher.step_until(lambda: not dispatcher.front.accepting_paused, timeout=2.0)
    assert dispatcher.connect_client()
    assert clients


def test_a_message_is_refused_for_want_of_memory_and_an_accepted_one_stays(
    dispatcher: SocketDispatcher,
) -> None:
    memory, client = dispatcher.core.memory, dispatcher.connect_client()
    client.send(dispatcher.put_request("a"))
    dispatcher.step_until(lambda: client.receive() == b"+OK\r\n")
    memory.set_limit(40 * MB, 1)
    memory.change(MemoryKind.MESSAGES, 100 * MB)
    client.send(dispatcher.put_request("b"))
    dispatcher.step_until(lambda: client.receive() == b"+OK\r\n-BUSY\r\n")
    assert dispatcher.core.metrics()["memory gave way: message refused"] == 1
    dispatcher.respond("a")
    dispatcher.step_until(lambda: not dispatcher.core.held_messages)
    memory.change(MemoryKind.MESSAGES, -100 * MB)
    client.send(dispatcher.put_request("c"))
    dispatcher.step_until(lambda: client.receive() == b"+OK\r\n-BUSY\r\n+OK\r\n")


def test_all_requests_in_part_give_way_with_their_answers_when_messages_take_the_whole_budget(
    tmp_path: Path,
) -> None:
    dispatcher = SocketDispatcher(tmp_path, sockets=1024).start_until_ready()
    memory = dispatcher.core.memory
    clients = [dispatcher.connect_client(ping=False) for _ in range(300)]
    for client in clients:
        client.send(dispatcher.put_request("h", body="x" * 500)[:-200])
    dispatcher.step_until(lambda: memory.held[MemoryKind.REQUESTS] > 300 * 420)
    memory.set_limit(40 * MB, 1)
    memory.change(MemoryKind.MESSAGES, 100 * MB)
    clients[0].send(b"x")
    dispatcher.step_until(lambda: sum(bool(client.receive()) for client in clients) == len(clients))
    assert {client.received for client in clients} == {b"-BUSY\r\n"}
    assert not dispatcher.core.counters["faults"]
    assert memory.held[MemoryKind.REQUESTS] == 0
    dispatcher.close()


def test_the_limit_that_a_refusal_names_is_not_refused_at_the_next_start() -> None:
    """Guards against a limit that is named, and refused since the next start takes a little more memory."""
    for resident in range(45 * MB, 46 * MB, 50_000):
        required = required_bytes(resident, endpoints=1)
        words = str(RefusedMemoryError(32 * MB, required, 1)).split()
        assert int(words[-2]) * MB >= required_bytes(resident + 900_000, endpoints=1)
