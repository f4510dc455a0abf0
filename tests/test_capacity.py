"""Checks docs/CAPACITY.md against the readings that it is computed from."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from benchmarks.capacity import roles
from benchmarks.capacity.full_size import FullSize
from benchmarks.capacity.mechanisms import MECHANISMS, PLACEMENT, module_exists
from benchmarks.capacity.missing import missing, over_budget
from benchmarks.capacity.page import all_rows, render_page
from benchmarks.capacity.rows import Basis, Row, Slopes, assumed
from benchmarks.slopes.model import (
    CHANGE_COST,
    FOLDER,
    Fit,
    Machine,
    Point,
    Readings,
    Slope,
    fit,
    load,
    load_slopes,
    point,
    save,
)

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SIZE = FullSize()
SAVED = load_slopes()
OWN_FILES = [path for path in sorted(FOLDER.glob("*.json")) if path.stem != CHANGE_COST]


def line(name: str = "a", slope: float = 2.0, intercept: float = 10.0) -> tuple[Readings, Slope]:
    points = [point(size, [intercept + slope * size]) for size in (1, 10, 100, 1000)]
    found = Slope(name, "B", "things", points, fit(points))
    return Readings("2026-01-01T00:00:00Z", "abc", Machine(1, "3.11"), [found]), found


def test_page_matches_the_saved_readings() -> None:
    assert PAGE.read_text() == render_page(Slopes(SAVED), SIZE), (
        "python -m benchmarks.capacity --write docs/CAPACITY.md"
    )


def test_page_changes_with_any_slope() -> None:
    page = render_page(Slopes(SAVED), SIZE)
    for name, (readings, slope) in SAVED.items():
        steeper = Fit(slope.fit.intercept, slope.fit.slope * 2 + 1, slope.fit.residual, slope.fit.interval)
        changed = Slope(slope.name, slope.unit, slope.varied, slope.points, steeper)
        assert render_page(Slopes({**SAVED, name: (readings, changed)}), SIZE) != page, name


@pytest.mark.parametrize("name", SAVED)
def test_saved_slopes_have_four_sizes_and_state_their_origin(name: str) -> None:
    readings, slope = SAVED[name]
    assert len({each.size for each in slope.points}) >= 4
    assert all(each.values for each in slope.points)
    assert readings.date and readings.commit and not readings.commit.endswith("-dirty")


@pytest.mark.parametrize("path", OWN_FILES, ids=lambda path: path.stem)
def test_statistics_in_files_match_their_values(path: Path) -> None:
    for slope in load(path).slopes:
        assert slope.points == [point(each.size, each.values) for each in slope.points]
        again = fit(slope.points)
        assert slope.fit.slope == pytest.approx(again.slope)
        assert slope.fit.intercept == pytest.approx(again.intercept)
        assert slope.fit.residual == pytest.approx(again.residual)


def test_every_slope_named_in_rows_is_saved_or_marked_not_measured() -> None:
    for row in all_rows(Slopes(SAVED), SIZE):
        if row.estimate.basis is Basis.NOT_MEASURED:
            assert row.estimate.source in roles.CONTROLLER_SLOPES, row.quantity
        elif row.estimate.basis is not Basis.ASSUMED:
            assert set(row.estimate.source.split(" + ")) <= SAVED.keys(), row.quantity


def test_modules_that_the_page_names_exist_unless_it_says_missing() -> None:
    for text in PAGE.read_text().splitlines():
        for marked, module in re.findall(r"(missing \()?`(laureldock/[\w/]+\.py)`", text):
            assert module_exists(module) is not bool(marked), text


def test_ranges_contain_their_values() -> None:
    for row in all_rows(Slopes(SAVED), SIZE):
        each = row.estimate
        if each.value is not None and each.low is not None and each.high is not None:
            assert each.low <= each.value * (1 + 1e-9) + 1e-9, row.quantity
            assert each.value <= each.high * (1 + 1e-9) + 1e-9, row.quantity


def test_needs_are_ranked_by_need_over_budget() -> None:
    rows = [
        Row("a", "B", assumed(30, ""), 10),
        Row("b", "B", assumed(5, ""), 10),
        Row("c", "B", assumed(90, ""), 10),
    ]
    assert [row.quantity for row in over_budget(rows)] == ["c", "a"]
    assert [row.ratio for row in rows] == [3, 0.5, 9]


def test_mechanisms_are_ranked_by_their_greatest_need() -> None:
    found = missing(all_rows(Slopes(SAVED), SIZE))
    assert [need.ratio for need in found] == sorted((need.ratio for need in found), reverse=True)
    assert {need.mechanism.name for need in found} == {each.name for each in MECHANISMS if not each.exists}
    placement = next(need for need in found if need.mechanism is PLACEMENT)
    assert placement.ratio == max(row.ratio or 0 for row in placement.rows) > 50


def test_a_value_is_measured_within_the_sizes_and_derived_beyond_them() -> None:
    slopes = Slopes({"a": line()})
    within, beyond = slopes.value_at("a", 500), slopes.value_at("a", 370_000)
    assert within.basis is Basis.MEASURED and within.value == pytest.approx(1010)
    assert beyond.basis is Basis.DERIVED and beyond.value == pytest.approx(740_010)
    assert (
        slopes.value_at("b", 1).basis is Basis.NOT_MEASURED
        and slopes.value_at("b", 1).scaled(2).value is None
    )


def test_a_bent_line_has_a_large_residual_and_interval() -> None:
    straight = fit([Point(size, [size], size, 0.0) for size in (1.0, 10.0, 100.0, 1000.0)])
    bent = fit([Point(size, [size**2], size**2, 0.0) for size in (1.0, 10.0, 100.0, 1000.0)])
    assert straight.residual == pytest.approx(0) and straight.interval == pytest.approx((1, 1))
    assert bent.residual > 0.01 and bent.interval and bent.interval[1] > 2 * bent.interval[0]


def test_readings_survive_saving_and_loading(tmp_path: Path) -> None:
    readings, _ = line()
    save(tmp_path / "a.json", readings)
    assert load(tmp_path / "a.json") == readings


def test_full_size_follows_from_the_operators_figures() -> None:
    assert SIZE.events_per_dispatcher == 240
    assert SIZE.destinations_down == pytest.approx(6_660)
    assert SIZE.event_interval / 60 == pytest.approx(25.7, abs=0.1)
    assert SIZE.pending_per_dispatcher == pytest.approx(19.3e6, rel=0.01)
