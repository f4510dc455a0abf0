"""A receiver that was shut, and told its callers so or not, comes back cold; one above its limit does not."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from drivers import InMemoryDispatcher, PolicyDriver
from shut_receiver import Play, Receiver

from laureldock import interface
from laureldock.delivery_policy import DeliveryPolicy
from laureldock.stores.spool import Spool

RATE, SHUT_FROM, WATCHED = 30.0, 6.0, 8.0
# Instances, and routes to other receivers: few instances, many that call a route often, and many rarely.
FLEETS = [(1, 0), (3, 0), (12, 0), (30, 0), (30, 60)]


def play_outage(
    fleet: tuple[int, int], seconds: float, load: float = 0.5, endpoints: int = 1, **receiver: Any
) -> Play:
    """Play an outage and the time after it; `load` is the part of the limit that is called."""
    instances, other_routes = fleet
    shut = Receiver(RATE, SHUT_FROM, SHUT_FROM + seconds, **receiver)
    play = Play(shut, instances, RATE * load, endpoints, other_routes, limits_per_route=endpoints == 1)
    play.run(SHUT_FROM + seconds + WATCHED)
    assert len(shut.arrivals) > 20 and shut.observers
    return play


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize(("seconds", "told"), [(5.2, 0.95), (10.0, 1.0), (24.0, 0.5), (10.0, 0.0)])
def test_a_receiver_that_was_shut_is_not_overloaded(
    fleet: tuple[int, int], seconds: float, told: float
) -> None:
    """It was taken for warm by those whom it had told a wait: they sent what had waited at full pace."""
    ratio, after = play_outage(fleet, seconds, told=told).receiver.fall()
    assert ratio <= 1.0, after


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("reports", [True, False])
def test_a_shut_receiver_that_tells_short_waits_is_not_overloaded(
    fleet: tuple[int, int], reports: bool
) -> None:
    """It refuses call after call and serves none, which a limit alone does not."""
    ratio, after = play_outage(fleet, 10.0, 0.9, short_wait=0.5, reports=reports).receiver.fall()
    assert ratio <= 1.0, after


@pytest.mark.parametrize("fleet", FLEETS)
def test_endpoints_that_share_a_limit_are_cold_together(fleet: tuple[int, int]) -> None:
    """Only the endpoint that had told the wait was; and each was paced by the whole limit."""
    ratio, after = play_outage(fleet, 10.0, endpoints=2).receiver.fall()
    assert ratio <= 1.0, after


@pytest.mark.parametrize("fleet", [each for each in FLEETS if each[0] > 1])
@pytest.mark.parametrize(("reports", "limit_wait"), [(True, 0.0), (False, 0.0), (True, 0.8), (False, 0.8)])
def test_a_receiver_above_its_limit_goes_on_being_sent_what_it_takes(
    fleet: tuple[int, int], reports: bool, limit_wait: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Thirty calls a second are taken and 39 offered; the wait told to the others is that of a limit.

    No less than 0.98 of what is served where no refusal is taken for an outage.
    """

    def served() -> int:
        receiver = Receiver(RATE, told=1.0, reports=reports, limit_wait=limit_wait)
        Play(receiver, fleet[0], 39.0, 1, fleet[1]).run(30.0)
        return receiver.served

    found = served()
    monkeypatch.setattr(DeliveryPolicy, "is_shut", lambda *_: False)
    assert found >= 0.98 * served()


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("instances", [2, 3])
def test_a_limit_that_is_stated_to_be_used_up_is_hardly_taken_for_an_outage(
    instances: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With room for few calls at once, an instance meets refusals alone for seconds: it lost up to 0.04."""

    def served() -> int:
        receiver = Receiver(RATE, told=1.0, burst=5.0, headroom=9.0)
        Play(receiver, instances, 39.0, seed=seed).run(30.0)
        return receiver.served

    found = served()
    monkeypatch.setattr(DeliveryPolicy, "is_shut", lambda *_: False)
    assert found >= 0.98 * served()


@pytest.mark.parametrize(("instances", "others"), FLEETS)
def test_an_outage_that_another_process_saw_leaves_the_receiver_cold(instances: int, others: int) -> None:
    """The next process, or the one beside, knew of the wait at most, and took the receiver for warm."""
    seen = PolicyDriver(instances=instances, connect_timeout=1.5, max_attempts=9)
    seen.update_list("north/1", *(f"other/{number}" for number in range(others)))
    seen.accept("m", "redeliverable")
    seen.turn()
    seen.end_attempt("m", "full", requested_wait=5.0)
    reported = [effect for effect in seen.policy.effects if isinstance(effect, interface.RouteFailed)]
    assert [effect.route.name for effect in reported] == ["north/1"]

    heir = PolicyDriver(instances=instances, connect_timeout=1.5, max_attempts=9)
    heir.update_list("north/1", *(f"other/{number}" for number in range(others)))
    route = heir.routes["north/1"]
    heir.policy.route_failed_elsewhere(heir.now, route, heir.now, reported[0].shut)
    heir.accept("n", "redeliverable", lifetime=60.0)
    while "n" not in heir.attempts:
        heir.advance(0.05)
    heir.end_attempt("n", "served")
    assert heir.policy.slow_start(heir.now, route.policy_state) < 0.5
    assert heir.policy.is_eligible(heir.messages["n"].policy_state, route.policy_state)
    heir.accept("o", "once-only")  # refusals have not run: the route is steady
    assert heir.policy.is_eligible(heir.messages["o"].policy_state, route.policy_state)


def test_an_outage_is_recorded_when_its_wait_is_told(tmp_path: Path, monkeypatch: Any) -> None:
    """A restart before the end of the wait once left no trace of the outage."""
    dispatcher = InMemoryDispatcher(tmp_path, monkeypatch)
    dispatcher.put(dispatcher.connect_client(), "m", "news")
    dispatcher.respond("1", "429 no", "X-RateLimit-Wait-Ms: 8000")
    dispatcher.advance(0.1)
    record = Spool(dispatcher.folder, 1e6, writes=False).routes["r1"]
    assert record.recovered_at is None and record.shut


def test_an_outage_is_reported_once_for_all_calls_that_were_out() -> None:
    """Each of them is refused; each wrote a record, and put the trial off further."""
    driver = PolicyDriver(instances=3)
    driver.update_list("north/1")
    for number in range(8):
        driver.accept(f"m{number}", "redeliverable")
        driver.turn()
        if number < 4:
            driver.end_attempt(f"m{number}", "served")
    assert len(driver.attempts) > 2
    for name in list(driver.attempts):
        driver.end_attempt(name, "full", requested_wait=5.0)
    reported = [effect for effect in driver.policy.effects if isinstance(effect, interface.RouteFailed)]
    assert len(reported) == 1


def test_a_served_call_from_before_the_outage_does_not_end_it() -> None:
    """Calls that the receiver took before it shut end while the told wait runs."""
    driver = PolicyDriver(instances=3)
    driver.update_list("north/1")
    for name in "abc":
        driver.accept(name, "redeliverable")
        driver.turn()
        if name == "a":
            driver.end_attempt(name, "served")
    driver.end_attempt("c", "full", requested_wait=5.0)
    driver.end_attempt("b", "served")
    while "c" not in driver.attempts:
        driver.advance(0.05)
    driver.end_attempt("c", "served")
    assert driver.policy.slow_start(driver.now, driver.routes["north/1"].policy_state) < 0.5
