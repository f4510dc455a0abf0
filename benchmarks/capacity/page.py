"""The page as text."""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.capacity import roles, texts, thin_load
from benchmarks.capacity.failures import Failure, failures
from benchmarks.capacity.first_readings import FirstReading, first_readings
from benchmarks.capacity.full_size import FullSize
from benchmarks.capacity.missing import Need, missing, needs
from benchmarks.capacity.rows import Basis, Row, Slopes
from benchmarks.capacity.tables import basis, carried, line, quantity, ranged, ratio, section, table
from benchmarks.slopes.model import Readings, Slope


def slope_line(readings: Readings, slope: Slope) -> str:
    last, fit = slope.points[-1], slope.fit
    low, high = fit.interval or (fit.slope, fit.slope)
    load = f"{readings.machine.load:.0f}" if readings.machine.load else "not kept"
    return line(
        slope.name,
        slope.unit,
        slope.varied,
        ", ".join(f"{each.size:,.0f}" for each in slope.points),
        f"{last.median:.4g} ({last.spread:.2g})",
        f"{fit.slope:.3g} ({low:.3g} to {high:.3g})",
        f"{fit.residual:.1%}",
        f"{readings.date[:16]}, {readings.commit}, {load}",
    )


def first_line(reading: FirstReading) -> str:
    theirs = quantity(reading.low, reading.unit)
    if reading.low != reading.high:
        theirs += f" to {quantity(reading.high, reading.unit)}"
    return line(reading.quantity, theirs, ranged(reading.found, reading.unit), reading.verdict)


def row_line(row: Row) -> str:
    budget = "none given" if row.budget is None else quantity(row.budget, row.unit)
    estimate = row.estimate
    source = estimate.source if estimate.basis is Basis.ASSUMED else f"*{estimate.source}*"
    value = ranged(estimate, row.unit)
    return line(row.quantity, value, basis(estimate), source, budget, ratio(row), carried(row), row.note)


def failure_line(each: Failure) -> str:
    sent = f"{ranged(each.size, 'B')}, {basis(each.size)}; {ranged(each.messages, '')} messages"
    return line(each.name, each.often, each.happens, each.lasts, sent, each.seen, each.missing)


def asked_by(row: Row) -> str:
    told = f"{ratio(row)} times" if row.ratio else quantity(row.estimate.value, row.unit)
    return f"{row.quantity}: {told}"


def need_line(need: Need) -> str:
    module = f" (`{need.mechanism.module}`)" if need.mechanism.exists else ""
    greatest = f"{need.ratio:.3g}" if need.ratio else "no budget"
    return line(need.mechanism.name + module, greatest, "; ".join(map(asked_by, need.rows)))


def all_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Every row of the page."""
    parts = (
        roles.state,
        roles.starting,
        roles.changing,
        roles.following,
        roles.control_in_sum,
        roles.viewing,
        roles.serving,
        roles.controller,
        roles.receivers,
        thin_load.rows,
    )
    return [row for part in parts for row in part(slopes, size)]


def rendered(slopes: Slopes, size: FullSize) -> str:
    """The whole page."""

    def rows(found: Iterable[Row]) -> str:
        return table(texts.ROWS_HEAD, map(row_line, found))

    every = all_rows(slopes, size)
    measured = table(texts.SLOPES_HEAD, (slope_line(*each) for each in slopes.kept.values()))
    first = table(texts.FIRST_HEAD, map(first_line, first_readings(slopes)))
    failed = table(texts.FAILURES_HEAD, map(failure_line, failures(slopes, size)))
    thin = texts.THIN_LOAD.format(minutes=size.between_events / 60)
    absent = table(texts.MISSING_HEAD, map(need_line, missing(every)))
    built = [need_line(need) for need in needs(every) if need.mechanism.exists]
    parts = [
        texts.head(size),
        section("Slopes", texts.SLOPES, measured),
        section("The first readings, checked", first),
        section("A dispatcher: state", rows(roles.state(slopes, size))),
        section("A dispatcher: start", rows(roles.starting(slopes, size))),
        section("A dispatcher: changes of configuration by reload", rows(roles.changing(slopes, size))),
        section("A dispatcher: changes from a controller", rows(roles.following(slopes, size))),
        section("A dispatcher: the view of the fleet", rows(roles.viewing(slopes, size))),
        section("A dispatcher: control in sum, on a quiet day", rows(roles.control_in_sum(slopes, size))),
        section("A dispatcher: mails", rows(roles.serving(slopes, size))),
        section("A control machine", rows(roles.controller(slopes, size))),
        section("A receiver", rows(roles.receivers(slopes, size))),
        section("Failures", texts.FAILURES, failed),
        section("Thin load", thin, rows(thin_load.rows(slopes, size))),
        section("What is missing, in order", texts.MISSING, absent),
    ]
    if built:
        parts.append(section("Carried since", texts.BUILT, table(texts.BUILT_HEAD, built)))
    return "".join(parts)
