"""A figure of the page, and how it is worked out from a slope."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from benchmarks.capacity.mechanisms import Mechanism
from benchmarks.slopes.model import Readings, Slope


class Basis(StrEnum):
    """MEASURED: within the measured sizes; RECKONED: beyond them; ASSUMED: a figure was chosen."""

    MEASURED = "measured"
    RECKONED = "reckoned"
    ASSUMED = "assumed"
    NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with the range that the spread of its slope gives; `value` is None where none was measured."""

    value: float | None
    low: float | None
    high: float | None
    basis: Basis
    source: str  # the slope's name, or what was assumed
    residual: float = 0.0  # of the slope: how far its line is from straight, as `Fit` has it

    def times(self, factor: float) -> Estimate:
        """All of it, multiplied."""
        if self.value is None or self.low is None or self.high is None:
            return self
        return replace(self, value=self.value * factor, low=self.low * factor, high=self.high * factor)

    def on(self, basis: Basis) -> Estimate:
        """On another basis; what was not measured stays so."""
        return self if self.value is None else replace(self, basis=basis)


def sum_of(parts: Sequence[Estimate]) -> Estimate:
    """All of them together; reckoned, and not measured where one of them was not."""
    source = " + ".join(part.source for part in parts)
    value = low = high = 0.0
    for part in parts:
        if part.value is None or part.low is None or part.high is None:
            return Estimate(None, None, None, Basis.NOT_MEASURED, part.source)
        value, low, high = value + part.value, low + part.low, high + part.high
    return Estimate(value, low, high, Basis.RECKONED, source)


def assumed(value: float, why: str) -> Estimate:
    return Estimate(value, value, value, Basis.ASSUMED, why)


@dataclass(frozen=True, slots=True)
class Row:
    """`budget` is None where none was given.

    `carrier` is a module of the project, or empty: missing. `mechanism` is what would carry it better.
    """

    quantity: str
    unit: str
    estimate: Estimate
    budget: float | None = None
    carrier: str = ""
    note: str = ""
    mechanism: Mechanism | None = None

    @property
    def ratio(self) -> float | None:
        """Need over budget."""
        if self.budget is None or self.estimate.value is None:
            return None
        return self.estimate.value / self.budget


class Slopes:
    """The slopes that are kept, by name."""

    def __init__(self, kept: Mapping[str, tuple[Readings, Slope]]) -> None:
        self.kept = kept

    def at(self, name: str, size: float) -> Estimate:
        """The value of a slope's line at a size."""
        if name not in self.kept:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        slope = self.kept[name][1]
        line, sizes = slope.fit, [each.size for each in slope.points]
        basis = Basis.MEASURED if min(sizes) <= size <= max(sizes) else Basis.RECKONED
        edges = [line.intercept + each * size for each in line.interval or (line.slope, line.slope)]
        value = line.intercept + line.slope * size
        return Estimate(value, min(edges), max(edges), basis, name, line.residual)

    def each(self, name: str) -> Estimate:
        """What one more costs."""
        if name not in self.kept:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        line = self.kept[name][1].fit
        low, high = line.interval or (line.slope, line.slope)
        return Estimate(line.slope, low, high, Basis.MEASURED, name, line.residual)

    def largest(self, name: str) -> Estimate:
        """What was measured at the largest size."""
        if name not in self.kept:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        return self.point(name, self.kept[name][1].points[-1].size)

    def point(self, name: str, size: float) -> Estimate:
        """What was measured at a size: the median, the least and the greatest value."""
        points = self.kept[name][1].points if name in self.kept else []
        for each in points:
            if each.size == size:
                return Estimate(each.median, min(each.values), max(each.values), Basis.MEASURED, name)
        return Estimate(None, None, None, Basis.NOT_MEASURED, name)
