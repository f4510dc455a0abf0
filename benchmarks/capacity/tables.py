"""Figures and tables as Markdown."""

from __future__ import annotations

from collections.abc import Iterable

from benchmarks.capacity.mechanisms import module_exists
from benchmarks.capacity.rows import Basis, Estimate, Row

LONG = 120  # seconds from which a time is told in minutes
MANY = 1000  # from which a figure is told in whole ones
BENT = 0.1  # residual above which a row says that its line is not straight
PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"))


def number(value: float) -> str:
    """Three figures, with a prefix where it is large and m or u where it is small."""
    size = abs(value)
    for factor, prefix in PREFIXES:
        if size >= factor:
            return f"{value / factor:.3g} {prefix}"
    if 0 < size < 1e-3:
        return f"{value * 1e6:.3g} u"
    return f"{value * 1e3:.3g} m" if 0 < size < 0.1 else f"{value:.3g} "


def quantity(value: float | None, unit: str) -> str:
    """A value with its unit."""
    if value is None:
        return "not measured"
    if unit == "s" and value >= LONG:
        return f"{value / 60:.3g} min"
    if unit in ("B", "s", "B/s"):
        return f"{number(value)}{unit}"
    figures = f"{value:,.0f}" if abs(value) >= MANY else f"{value:.4g}"
    return f"{figures} {unit}".strip()


def ranged(estimate: Estimate, unit: str) -> str:
    """A value with its range."""
    if estimate.value is None or estimate.low is None or estimate.high is None:
        return "not measured"
    told = quantity(estimate.value, unit)
    if estimate.low == estimate.high:
        return told
    return f"{told} ({quantity(estimate.low, unit)} to {quantity(estimate.high, unit)})"


def basis(estimate: Estimate) -> str:
    """How a value was come by, and whether its line bends."""
    bent = estimate.residual > BENT and estimate.basis is not Basis.ASSUMED
    return estimate.basis + (f", bent ({estimate.residual:.0%})" if bent else "")


def ratio(row: Row) -> str:
    """Need over budget; empty where there is no budget."""
    return "" if row.ratio is None else f"{row.ratio:.3g}"


def carried(row: Row) -> str:
    """The module that carries a need, or that none does."""
    if module_exists(row.carrier):
        return f"`{row.carrier}`"
    return f"missing (`{row.carrier}`)" if row.carrier else "missing"


def line(*cells: str) -> str:
    """One line of a table."""
    return "| " + " | ".join(cells) + " |"


def table(head: str, lines: Iterable[str]) -> str:
    """A table with its head, and an empty line behind it."""
    return "\n".join([head, "|" + " --- |" * (head.count("|") - 1), *lines]) + "\n"


def section(title: str, *parts: str) -> str:
    """A heading and what stands below it."""
    return "\n".join([f"\n## {title}\n", *parts])
