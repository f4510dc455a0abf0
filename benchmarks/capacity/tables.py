"""Formats figures and tables as Markdown."""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.capacity.mechanisms import module_exists
from benchmarks.capacity.rows import Basis, Estimate, Row

MIN_SECONDS_IN_MINUTES = 120  # from this time on, seconds are printed as minutes
MIN_ROUNDED = 1000  # from this value on, figures are printed without decimals
BENT_RESIDUAL = 0.1  # residual above which a row states that its line is not straight
PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))


def format_number(value: float) -> str:
    """Three significant digits with an SI prefix (u for micro)."""
    size = abs(value)
    for factor, prefix in PREFIXES:
        if size >= factor:
            return f"{value / factor:.3g} {prefix}"
    if 0 < size < 1e-3:
        return f"{value * 1e6:.3g} u"
    return f"{value * 1e3:.3g} m" if 0 < size < 0.1 else f"{value:.3g} "


def format_quantity(value: float | None, unit: str) -> str:
    """Format a value with its unit."""
    if value is None:
        return "not measured"
    if unit == "s" and value >= MIN_SECONDS_IN_MINUTES:
        return f"{value / 60:.3g} min"
    if unit in ("B", "s", "B/s"):
        return f"{format_number(value)}{unit}"
    figures = f"{value:,.0f}" if abs(value) >= MIN_ROUNDED else f"{value:.4g}"
    return f"{figures} {unit}".strip()


def format_range(estimate: Estimate, unit: str) -> str:
    """Format an estimate with its range."""
    if estimate.value is None or estimate.low is None or estimate.high is None:
        return "not measured"
    text = format_quantity(estimate.value, unit)
    if estimate.low == estimate.high:
        return text
    return f"{text} ({format_quantity(estimate.low, unit)} to {format_quantity(estimate.high, unit)})"


def basis_cell(estimate: Estimate) -> str:
    """The basis of an estimate, and whether its line is bent."""
    bent = estimate.residual > BENT_RESIDUAL and estimate.basis is not Basis.ASSUMED
    return estimate.basis + (f", bent ({estimate.residual:.0%})" if bent else "")


def ratio_cell(row: Row) -> str:
    """Ratio of need to budget; empty if there is no budget."""
    return "" if row.ratio is None else f"{row.ratio:.3g}"


def module_cell(row: Row) -> str:
    """The module that implements a need, or that it is missing."""
    if module_exists(row.implemented_by):
        return f"`{row.implemented_by}`"
    return f"missing (`{row.implemented_by}`)" if row.implemented_by else "missing"


def table_row(*cells: str) -> str:
    """One row of a table."""
    return "| " + " | ".join(cells) + " |"


def table(head: str, lines: Iterable[str]) -> str:
    """A table with its head."""
    return "\n".join([head, "|" + " --- |" * (head.count("|") - 1), *lines]) + "\n"


def section(title: str, *parts: str) -> str:
    """A heading and the parts below it."""
    return "\n".join([f"\n## {title}\n", *parts])
