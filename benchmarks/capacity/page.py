"""Renders the page as Markdown."""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.capacity import roles, texts, thin_load
from benchmarks.capacity.failures import Failure, failures
from benchmarks.capacity.first_readings import FirstReading, first_readings
from benchmarks.capacity.full_size import FullSize
from benchmarks.capacity.missing import Need, missing, needs
from benchmarks.capacity.rows import Basis, Row, Slopes
from benchmarks.capacity.tables import (
    basis_cell,
    format_quantity,
    format_range,
    module_cell,
    ratio_cell,
    section,
    table,
    table_row,
)
from benchmarks.slopes.model import Readings, Slope


def slope_row(readings: Readings, slope: Slope) -> str:
    last, fit = slope.points[-1], slope.fit
    low, high = fit.interval or (fit.slope, fit.slope)
    load = f"{readings.machine.load:.0f}" if readings.machine.load else "not kept"
    return table_row(
        slope.name,
        slope.unit,
        slope.varied,
        ", ".join(f"{each.size:,.0f}" for each in slope.points),
        f"{last.median:.4g} ({last.spread:.2g})",
        f"{fit.slope:.3g} ({low:.3g} to {high:.3g})",
        f"{fit.residual:.1%}",
        f"{readings.date[:16]}, {readings.commit}, {load}",
    )


def first_reading_row(reading: FirstReading) -> str:
    other_value = format_quantity(reading.low, reading.unit)
    if reading.low != reading.high:
        other_value += f" to {format_quantity(reading.high, reading.unit)}"
    return table_row(
        reading.quantity, other_value, format_range(reading.found, reading.unit), reading.verdict
    )


def estimate_row(row: Row) -> str:
    budget = "none given" if row.budget is None else format_quantity(row.budget, row.unit)
    estimate = row.estimate
    source = estimate.source if estimate.basis is Basis.ASSUMED else f"*{estimate.source}*"
    value = format_range(estimate, row.unit)
    return table_row(
        row.quantity, value, basis_cell(estimate), source, budget, ratio_cell(row), module_cell(row), row.note
    )


def failure_row(each: Failure) -> str:
    sent = (
        f"{format_range(each.size, 'B')}, {basis_cell(each.size)}; {format_range(each.messages, '')} messages"
    )
    return table_row(each.name, each.often, each.happens, each.lasts, sent, each.seen, each.missing)


def format_requirement(row: Row) -> str:
    amount = f"{ratio_cell(row)} times" if row.ratio else format_quantity(row.estimate.value, row.unit)
    return f"{row.quantity}: {amount}"


def need_row(need: Need) -> str:
    module = f" (`{need.mechanism.module}`)" if need.mechanism.exists else ""
    greatest = f"{need.ratio:.3g}" if need.ratio else "no budget"
    return table_row(need.mechanism.name + module, greatest, "; ".join(map(format_requirement, need.rows)))


def all_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Every row of the page."""
    parts = (
        roles.state_rows,
        roles.start_rows,
        roles.reload_rows,
        roles.follower_rows,
        roles.control_total_rows,
        roles.membership_rows,
        roles.message_rows,
        roles.controller_rows,
        roles.receiver_rows,
        thin_load.rows,
    )
    return [row for part in parts for row in part(slopes, size)]


def render_page(slopes: Slopes, size: FullSize) -> str:
    """The complete page."""

    def rows(found: Iterable[Row]) -> str:
        return table(texts.ROWS_HEAD, map(estimate_row, found))

    estimates = all_rows(slopes, size)
    measured = table(texts.SLOPES_HEAD, (slope_row(*each) for each in slopes.by_name.values()))
    first = table(texts.FIRST_HEAD, map(first_reading_row, first_readings(slopes)))
    failed = table(texts.FAILURES_HEAD, map(failure_row, failures(slopes, size)))
    thin = texts.THIN_LOAD.format(minutes=size.event_interval / 60)
    absent = table(texts.MISSING_HEAD, map(need_row, missing(estimates)))
    built = [need_row(need) for need in needs(estimates) if need.mechanism.exists]
    parts = [
        texts.head(size),
        section("Slopes", texts.SLOPES, measured),
        section("The first readings, checked", first),
        section("A dispatcher: state", rows(roles.state_rows(slopes, size))),
        section("A dispatcher: start", rows(roles.start_rows(slopes, size))),
        section("A dispatcher: changes of configuration by reload", rows(roles.reload_rows(slopes, size))),
        section("A dispatcher: changes from a controller", rows(roles.follower_rows(slopes, size))),
        section("A dispatcher: the view of the fleet", rows(roles.membership_rows(slopes, size))),
        section("A dispatcher: control in sum, on a quiet day", rows(roles.control_total_rows(slopes, size))),
        section("A dispatcher: messages", rows(roles.message_rows(slopes, size))),
        section("A control machine", rows(roles.controller_rows(slopes, size))),
        section("A receiver", rows(roles.receiver_rows(slopes, size))),
        section("Failures", texts.FAILURES, failed),
        section("Thin load", thin, rows(thin_load.rows(slopes, size))),
        section("What is missing, in order", texts.MISSING, absent),
    ]
    if built:
        parts.append(section("Carried since", texts.BUILT, table(texts.BUILT_HEAD, built)))
    return "".join(parts)
