"""What binds an endpoint that leaves the list, or is not in it, and is listed again under its name."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from drivers import PLATFORM_SETTINGS, InMemoryDispatcher
from test_records_of_peers import Upgrade

from laureldock import interface
from laureldock.core import binding_records
from laureldock.core.invariants import Invariant
from laureldock.core.peer_view import RouteRecord, SharedRecords
from laureldock.stores.spool import Spool

WAIT = 3.0  # seconds
TELLS_WAIT = ("429 no", f"X-RateLimit-Wait-Ms: {WAIT * 1000:.0f}")


class ListedDispatcher(InMemoryDispatcher):
    """A dispatcher whose list the test changes at once, in place of the server of the list."""

    def list_endpoints(self, names: str, health: str = "Ready", block: int = 7, full: bool = False) -> None:
        """The list has these endpoints of a destination now, each named by its port."""
        document = self.endpoint_list(names, health, full=full)
        for host in document["hosts"]:
            host["block"] = block
        source: Any = self.core.source
        self.record(f"list: {names} {health}")
        self.list_seq = getattr(self, "list_seq", 1) + 1
        self.send_list(self.waiting_connection("list"), {**document, "seq": self.list_seq})
        assert source.settled
        self.process_events()

    def calls(self, name: str = "") -> list[float]:
        """When calls of one message, or of all, were sent to endpoint 1, in seconds since the start."""
        sent = [line.split() for line in self.lines if f"X-Call-Id: {name}" in line]
        return [float(words[0]) for words in sent if words[2] == "1:"]


@pytest.fixture
def dispatcher(tmp_path: Path, monkeypatch: Any) -> ListedDispatcher:
    return ListedDispatcher(tmp_path, monkeypatch)


def leave(dispatcher: ListedDispatcher, way: str) -> None:
    if way == "whole list":
        dispatcher.list_endpoints("2", full=True)
    else:
        dispatcher.list_endpoints("1", way)


@pytest.mark.parametrize("way", ["Gone", "Terminating", "whole list"])
@pytest.mark.parametrize("told", ["before it leaves", "while it is gone", "once it is back"])
def test_a_wait_is_kept_for_an_endpoint_that_leaves_and_returns(
    dispatcher: ListedDispatcher, way: str, told: str
) -> None:
    """Guards against a route that began anew without the wait that its endpoint had told."""
    dispatcher.put(dispatcher.connect_client(), "m")
    if told == "before it leaves":
        dispatcher.respond("1", *TELLS_WAIT)
        told_at = dispatcher.now
    dispatcher.advance(0.5)
    leave(dispatcher, way)
    dispatcher.advance(0.3)
    if told == "while it is gone":
        dispatcher.respond("1", *TELLS_WAIT)
        told_at = dispatcher.now
        dispatcher.advance(0.1)
    dispatcher.list_endpoints("1", full=way == "whole list")
    if told == "once it is back":
        dispatcher.respond("1", *TELLS_WAIT)
        told_at = dispatcher.now
    dispatcher.put(dispatcher.connect_client(), "n")
    dispatcher.advance(WAIT + 2.5)
    sent = [at for at in dispatcher.calls() if at + 100 > told_at]
    assert sent and min(sent) + 100 >= told_at + WAIT - 1e-6, dispatcher.lines


def test_another_endpoint_under_the_name_is_not_bound(dispatcher: ListedDispatcher) -> None:
    """A name that is given to an endpoint of another destination, at once or later, begins anew."""
    dispatcher.put(dispatcher.connect_client(), "m")
    dispatcher.respond("1", *TELLS_WAIT)
    for block in (8, 9):
        dispatcher.list_endpoints("1", block=block)
        client = dispatcher.connect_client()
        fields = f"c=news,t=x,d=9000,dest={block}"
        dispatcher.send(client, dispatcher.command("MSG.PUT", "0", f"n{block}", fields, "hello"))
        dispatcher.advance(0.1)
        assert dispatcher.calls(f"n{block}"), dispatcher.lines
        dispatcher.respond("1", *TELLS_WAIT)
        dispatcher.list_endpoints("1", "Gone", block=block)


def test_a_wait_that_is_over_binds_no_endpoint_that_returns(dispatcher: ListedDispatcher) -> None:
    """Guards against a wait that begins anew when its endpoint is listed again."""
    dispatcher.put(dispatcher.connect_client(), "m")
    dispatcher.respond("1", "429 no", "X-RateLimit-Wait-Ms: 400")
    dispatcher.list_endpoints("1", "Gone")
    dispatcher.advance(0.5)
    dispatcher.list_endpoints("1")
    dispatcher.advance(0.1)
    assert len(dispatcher.calls()) == 2, dispatcher.lines


@pytest.mark.parametrize("outage", ["failing", "shut", "cold"])
def test_an_outage_is_remembered_for_an_endpoint_that_leaves_and_returns(
    dispatcher: ListedDispatcher, outage: str
) -> None:
    """Guards against an endpoint that is called at full pace though its circuit was open, or it was cold."""
    core = dispatcher.core
    route = core.registry.routes["r1"]
    at = core.now()
    if outage == "failing":
        core.execute(interface.RouteFailed(route))
    elif outage == "shut":
        core.execute(interface.RouteFailed(route, shut=True))
    else:
        core.execute(interface.RouteRecovered(route, at))
    dispatcher.list_endpoints("1", "Gone")
    dispatcher.advance(0.5)
    dispatcher.list_endpoints("1")
    returned = core.registry.routes["r1"]
    assert returned is not route
    state = returned.policy_state
    if outage == "cold":
        assert state.recovered_at == at
        assert core.policy.slow_start(core.now(), state) < 0.5
    else:
        assert state.circuit.name == "OPEN" and state.cold_when_served


def test_a_wait_told_to_another_process_binds_an_endpoint_that_is_listed_later(
    tmp_path: Path, monkeypatch: Any
) -> None:
    """Guards against records that are passed on only for endpoints that are listed at that moment."""
    for taken_over in (False, True):
        folder = tmp_path / str(taken_over)
        folder.mkdir()
        upgrade = Upgrade(folder, monkeypatch)
        until = upgrade.now + WAIT
        if taken_over:
            upgrade.before_taking_over(upgrade.told_wait("r2", WAIT))
        else:
            upgrade.told_wait("r2", WAIT)(upgrade.previous)
        upgrade.dispatcher.advance(0.05)
        assert upgrade.dispatcher.core.store.is_shared is not taken_over
        upgrade.dispatcher.update_list("2", "Ready", 2)
        upgrade.dispatcher.update_list("1", "Gone", 3)
        assert upgrade.first_call_after_submitting(WAIT + 0.5) >= until


def test_what_is_kept_for_endpoints_that_never_return_is_bounded(dispatcher: ListedDispatcher) -> None:
    """Guards against memory that grows with each new name."""
    core = dispatcher.core
    kept: Any = core.binding_records
    most = binding_records.MAX_ENTRIES
    for number in range(most + 100):
        waits = {f"gone{number}": core.now() + 3600.0}
        kept.apply(SharedRecords(waits, {}, {f"gone{number}": RouteRecord(None, core.now())}))
    assert len(kept._entries) == most
    assert f"gone{most + 99}" in kept._entries and "gone0" not in kept._entries
    dispatcher.reactor.advance(3600.0 + binding_records.ENTRY_KEPT_TIME)
    kept.apply(SharedRecords({}, {}, {"new": RouteRecord(None, core.now())}))
    assert list(kept._entries) == ["new"]
    for number in range(most + 100):
        core.store.record_route(f"gone{number}", RouteRecord(None, core.now()))
    store: Any = core.store
    assert len(store.routes) == most


def test_a_call_within_a_wait_told_to_another_process_is_found(tmp_path: Path, monkeypatch: Any) -> None:
    """The check of the rules does not depend on what the decisions were told of other processes."""
    upgrade = Upgrade(tmp_path, monkeypatch)
    core = upgrade.dispatcher.core
    monkeypatch.setattr(core.policy, "route_requested_wait", lambda *_: None)
    upgrade.before_taking_over(upgrade.told_wait("r1", WAIT))
    upgrade.dispatcher.advance(0.05)
    upgrade.first_call_after_submitting(0.1)
    assert core.invariants.violations == {Invariant.SENT_DURING_WAIT: 1}


@pytest.mark.parametrize("taken_over", [False, True], ids=["read", "taken over"])
def test_a_wait_of_an_endpoint_that_is_not_listed_binds_those_that_share_its_limit(
    tmp_path: Path, monkeypatch: Any, taken_over: bool
) -> None:
    """Guards against a wait that is lost with its endpoint, though others share the limit."""
    family = {**PLATFORM_SETTINGS["family_info"], "routes_apart": [False]}
    monkeypatch.setitem(PLATFORM_SETTINGS, "family_info", family)
    upgrade = Upgrade(tmp_path, monkeypatch)
    core, now = upgrade.dispatcher.core, upgrade.now

    def record(previous: Spool) -> None:
        previous.record_requested_wait("gone", now + WAIT, now)
        previous.record_destination_wait("7", now + WAIT, now)

    if taken_over:
        upgrade.before_taking_over(record)
    else:
        record(upgrade.previous)
    upgrade.dispatcher.advance(0.05)
    assert core.store.is_shared is not taken_over
    assert upgrade.first_call_after_submitting(WAIT + 0.5) >= now + WAIT


@pytest.mark.parametrize("shared", [True, False])
def test_a_wait_is_recorded_for_the_destination_where_its_endpoints_share_a_limit(
    tmp_path: Path, monkeypatch: Any, shared: bool
) -> None:
    """Guards against a wait that binds more endpoints than share the limit, or fewer."""
    family = {**PLATFORM_SETTINGS["family_info"], "routes_apart": [not shared]}
    monkeypatch.setitem(PLATFORM_SETTINGS, "family_info", family)
    upgrade = Upgrade(tmp_path, monkeypatch)
    upgrade.dispatcher.put(upgrade.client, "m")
    upgrade.dispatcher.respond("1", *TELLS_WAIT)
    view = upgrade.previous.read_peers()
    until = pytest.approx(upgrade.now + WAIT, abs=0.1)
    assert view.requested_waits == {"r1": until}
    assert view.destination_waits == ({"7": until} if shared else {})
    upgrade.dispatcher.core.store.flush()
    upgrade.end_dispatcher()
    upgrade.previous.adopt()
    assert upgrade.previous.inherit_records().destination_waits == ({"7": until} if shared else {})
