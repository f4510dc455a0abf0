"""A reload brings a class that goes in order, and with it the time for which its keys rest."""

from __future__ import annotations

import copy
from dataclasses import replace

import pytest
from drivers import DELIVERY_SETTINGS, PLATFORM_SETTINGS, PolicyDriver

from laureldock.delivery_settings import DeliveryRegistry
from laureldock.setup.platform import plan_from_profile


@pytest.mark.parametrize(("before", "after"), [(0.0, 0.3), (0.3, 0.6)])
def test_a_key_rests_for_the_time_that_a_reload_brought(before: float, after: float) -> None:
    """It rested for the time of the start, none here: the next message went beside the call that broke."""
    driver = PolicyDriver(key_cooldown_time=before)
    driver.update_list("north/1", "north/2")
    driver.policy.update_settings(driver.now, replace(DELIVERY_SETTINGS, key_cooldown_time=after))
    for name in "ab":
        driver.accept(name, "in-order", key="k")
    driver.turn()
    driver.end_attempt("a", "reset")
    broke_at = driver.now
    driver.turn()
    driver.end_attempt("a", "served")
    while "b" not in driver.attempts:
        driver.advance(0.05)
    assert driver.now - broke_at >= after - 1e-9


def test_all_figures_of_the_rules_are_those_of_the_reload() -> None:
    """Likewise those of drains and of receivers that come back."""
    driver = PolicyDriver()
    changed = replace(DELIVERY_SETTINGS, drain_grace=0.1, start_capacity=0.5, warm_time=3.0, tip_multiple=1.0)
    driver.policy.update_settings(driver.now, changed)
    fresh = PolicyDriver(drain_grace=0.1, start_capacity=0.5, warm_time=3.0, tip_multiple=1.0).policy
    for name in ("drain_grace", "start_capacity", "warm_time", "cold_load_factor", "key_cooldown_time"):
        assert getattr(driver.policy, name) == getattr(fresh, name), name


def test_keys_rest_as_before_where_a_reload_drops_the_last_class_that_goes_in_order() -> None:
    """Messages that were accepted under it are still in order, and the next process reads its records."""
    registry = DeliveryRegistry(plan_from_profile(1, PLATFORM_SETTINGS, True), sockets=True)
    assert registry.settings.key_cooldown_time == 0.3
    profile = copy.deepcopy(PLATFORM_SETTINGS)
    del profile["invariants"]["key_rest_ns"]
    profile["classes"] = [each for each in profile["classes"] if not each.get("in_order")]
    registry.update_classes(plan_from_profile(1, profile, True))
    assert "order" not in registry.classes and registry.settings.key_cooldown_time == 0.3
