"""Effects of a controller's changes on a dispatcher: messages in flight, endpoint list, memory, and cost."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from msgspec import structs
from offline_assembly import OfflineAssembly
from test_catalog import BASE, CHANGES, calls_of, destination, endpoint, put, removal, terms

from laureldock import interface
from laureldock.assembly import PreparedReload
from laureldock.setup.catalog import RefusedChangeError
from laureldock.setup.changes import Change, ClassEntry, ClassSettings, CustomerEntry
from laureldock.setup.plan import Customer
from laureldock.setup.units import Seconds

Start = Callable[[str], OfflineAssembly]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    found: list[OfflineAssembly] = []

    def start_dispatcher(name: str) -> OfflineAssembly:
        found.append(OfflineAssembly(BASE, tmp_path / name))
        return found[-1]

    yield start_dispatcher
    for each in found:
        each.close()
        assert not each.core.counters["faults"]


def accept_message(dispatcher: OfflineAssembly, customer: str = "") -> interface.Message:
    book, core = dispatcher.core.registry, dispatcher.core
    message = book.new_message(book.classes["news"], "north", 9.0, customer)
    core.policy.message_accepted(core.now(), message)
    return message


def test_a_message_in_flight_keeps_the_settings_it_was_accepted_with(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(
        put(endpoint("n1", "north"), terms(destination="north", connects=2),
            CustomerEntry("acme", Customer(quota=5.0)))
    )  # fmt: skip
    before = accept_message(dispatcher, "acme")
    dispatcher.apply_change(
        put(terms(destination="north", connects=3), CustomerEntry("acme", Customer(quota=1.0)))
    )
    after = accept_message(dispatcher, "acme")
    assert before.terms and after.terms and before.customer and after.customer
    assert (before.terms.max_attempts, after.terms.max_attempts) == (2, 3)
    assert before.policy_state.terms is before.terms
    assert (before.customer.quota, after.customer.quota) == (5.0, 1.0)
    dispatcher.apply_change(removal("customer.acme"))
    assert accept_message(dispatcher, "acme").customer is None and before.customer.quota == 5.0


def test_a_message_waits_for_a_destination_whose_endpoint_is_replaced(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(put(endpoint("n1", "north"), endpoint("s1", "south", 9002)))
    message = accept_message(dispatcher)
    dispatcher.apply_change(removal("endpoint.n1"))
    assert dispatcher.core.policy.destination_states[message.destination].routes == {}
    dispatcher.apply_change(put(endpoint("n2", "north", 9003)))
    states = dispatcher.core.policy.destination_states[message.destination].routes
    assert [route.name for route in states] == ["n2"]
    assert message.destination is dispatcher.core.registry.destination("north")


def test_an_endpoint_with_a_new_address_keeps_its_route_state(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(put(endpoint("n1", "north", 9001)))
    route = dispatcher.core.registry.routes["n1"]
    state = route.policy_state
    dispatcher.apply_change(put(endpoint("n1", "north", 9002, time_out=Seconds(2))))
    assert dispatcher.core.registry.routes["n1"] is route and route.policy_state is state
    assert dispatcher.carrier.pools[route].address == "127.0.0.1:9002"
    assert route.timeouts == dict.fromkeys(("", *dispatcher.core.registry.classes), 2.0)
    assert len(dispatcher.core.registry.classes) == 2


def test_a_refused_change_does_not_modify_the_dispatcher(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(put(endpoint("n1", "north")))
    assert dispatcher.catalog is not None
    before = dispatcher.dispatch_state(), dispatcher.catalog.digest
    with pytest.raises(RefusedChangeError):
        dispatcher.apply_change(put(endpoint("n2", "north", 9002), destination("nowhere")))
    assert (dispatcher.dispatch_state(), dispatcher.catalog.digest) == before


def test_pools_and_caches_keep_nothing_of_removed_entries(start: Start) -> None:
    """Only the state of a destination that had endpoints remains, for messages that may be pending."""
    dispatcher = start("one")
    book = dispatcher.core.registry
    removed = Change()
    for number in range(200):
        puts = (endpoint("n1", f"d{number}"), destination(f"d{number}", "shop"))
        dispatcher.apply_change(Change(puts, removed.removals))
        removed = removal(f"destination.d{number}")
        book.new_message(book.classes["news"], f"d{number}", 1.0)
    assert dispatcher.catalog is not None and dispatcher.listed_source is not None
    sizes = [len(dispatcher.catalog), len(dispatcher.listed_source.endpoints), len(dispatcher.carrier.pools)]
    assert sizes == [2, 1, 1] and len(dispatcher.catalog.endpoint_names) == 1
    assert [len(book.routes), len(book.terms), len(book.kind_names)] == [1, 1, 1]


@pytest.mark.parametrize("name", CHANGES)
def test_the_cost_of_a_change_does_not_depend_on_the_number_of_entries(start: Start, name: str) -> None:
    counts = []
    for size in (10, 2000):
        dispatcher = start(str(size))
        dispatcher.replace_entries([endpoint(f"e{number}", f"d{number}") for number in range(size)])
        counts.append(calls_of(lambda: dispatcher.apply_change(CHANGES[name])))  # noqa: B023
    assert counts[0] == counts[1] < 5000


def test_a_reloaded_file_keeps_the_entries_of_the_controller(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(put(endpoint("n1", "north", time_out=Seconds(2)), destination("north", "shop")))
    route = dispatcher.core.registry.routes["n1"]
    assert route.window == 4
    kinds = {**BASE.kinds, "shop": structs.replace(BASE.kinds["shop"], window=5)}
    assert dispatcher.reload(PreparedReload.prepare(structs.replace(BASE, kinds=kinds))) == []
    assert route.window == 5 and dispatcher.core.registry.routes == {"n1": route}
    dispatcher.apply_change(put(endpoint("n2", "north", 9002), destination("north", "shop", window=3)))
    assert [each.window for each in dispatcher.core.registry.routes.values()] == [3, 3]


def test_a_reloaded_file_that_contradicts_the_controllers_entries_is_refused(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.apply_change(put(endpoint("n1", "north", time_out=Seconds(2))))
    before = dispatcher.dispatch_state()
    news = structs.replace(BASE.classes["news"], time_out=Seconds(3))
    faults = dispatcher.reload(
        PreparedReload.prepare(structs.replace(BASE, classes=BASE.classes | {"news": news}))
    )
    assert faults and "equally specific" in faults[0] and dispatcher.dispatch_state() == before
    assert dispatcher.core.counters["configurations refused"] == 1
    dispatcher.apply_change(removal("endpoint.n1"))


def test_a_dispatcher_without_a_controller_imports_no_replication_modules() -> None:
    parts = ("laureldock.setup.catalog", "laureldock.setup.changes", "laureldock.replication", "xxhash")
    code = f"import sys, laureldock.cli.serve; sys.exit(any(part in sys.modules for part in {parts}))"
    assert subprocess.run([sys.executable, "-c", code], timeout=60).returncode == 0


def test_a_timeout_of_a_class_applies_to_each_route_without_a_more_specific_setting(start: Start) -> None:
    dispatcher = start("one")
    dispatcher.replace_entries(
        [
            *(endpoint(f"e{number}", f"d{number % 3}", 9000 + number) for number in range(12)),
            endpoint("own", "d1", 9100, window=2),
            destination("d2", "shop"),
            terms(queue_class="news", destination="d2", time_out=Seconds(7)),
        ]
    )
    book = dispatcher.core.registry
    for seconds in (3.0, 4.0):
        dispatcher.apply_change(put(ClassEntry("news", ClassSettings(time_out=Seconds(seconds)))))
        found = {name: route.timeouts.get("news") for name, route in book.routes.items()}
        expected = {name: 7.0 if int(name[1:]) % 3 == 2 else seconds for name in found if name != "own"}
        assert found == {**expected, "own": seconds}
    assert {name: route.window for name, route in book.routes.items() if route.window < 9} == {
        "own": 2, "e2": 4, "e5": 4, "e8": 4, "e11": 4
    }  # fmt: skip
