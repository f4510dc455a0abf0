"""A figure of the page, and how it is computed from a slope."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from benchmarks.capacity.mechanisms import Mechanism
from benchmarks.slopes.model import Readings, Slope


class Basis(StrEnum):
    """How a value was obtained.

    MEASURED: within the measured sizes; DERIVED: extrapolated beyond them, or computed from a measured slope;
    ASSUMED: chosen, or computed from the operators' figures alone.
    """

    MEASURED = "measured"
    DERIVED = "reckoned"
    ASSUMED = "assumed"
    NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value with the range that results from the spread of its slope; `value` is None if not measured."""

    value: float | None
    low: float | None
    high: float | None
    basis: Basis
    source: str  # the slope's name, or what was assumed
    residual: float = 0.0  # of the slope, as in `Fit`: how far its points are from a straight line

    def scaled(self, factor: float) -> Estimate:
        """The value and its range, multiplied."""
        if self.value is None or self.low is None or self.high is None:
            return self
        return replace(self, value=self.value * factor, low=self.low * factor, high=self.high * factor)

    def with_basis(self, basis: Basis) -> Estimate:
        """The same estimate on another basis, unless it was not measured."""
        return self if self.value is None else replace(self, basis=basis)


def sum_of(parts: Sequence[Estimate]) -> Estimate:
    """The sum: derived, or not measured if any part was not."""
    source = " + ".join(part.source for part in parts)
    value = low = high = 0.0
    for part in parts:
        if part.value is None or part.low is None or part.high is None:
            return Estimate(None, None, None, Basis.NOT_MEASURED, part.source)
        value, low, high = value + part.value, low + part.low, high + part.high
    return Estimate(value, low, high, Basis.DERIVED, source)


def assumed(value: float, why: str) -> Estimate:
    return Estimate(value, value, value, Basis.ASSUMED, why)


@dataclass(frozen=True, slots=True)
class Row:
    """A figure of the page. `budget` is None if there is none.

    `implemented_by` is the module of the project that implements it, or empty if it is missing. `mechanism`
    would meet the need better.
    """

    quantity: str
    unit: str
    estimate: Estimate
    budget: float | None = None
    implemented_by: str = ""
    note: str = ""
    mechanism: Mechanism | None = None

    @property
    def ratio(self) -> float | None:
        """Ratio of need to budget."""
        if self.budget is None or self.estimate.value is None:
            return None
        return self.estimate.value / self.budget


class Slopes:
    """The saved slopes, by name."""

    def __init__(self, slopes: Mapping[str, tuple[Readings, Slope]]) -> None:
        self.by_name = slopes

    def value_at(self, name: str, size: float) -> Estimate:
        """The value of a slope's line at a size; extrapolated beyond the measured sizes."""
        if name not in self.by_name:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        slope = self.by_name[name][1]
        line, sizes = slope.fit, [each.size for each in slope.points]
        basis = Basis.MEASURED if min(sizes) <= size <= max(sizes) else Basis.DERIVED
        bounds = [line.intercept + each * size for each in line.interval or (line.slope, line.slope)]
        value = line.intercept + line.slope * size
        return Estimate(value, min(bounds), max(bounds), basis, name, line.residual)

    def per_unit(self, name: str) -> Estimate:
        """The cost of one more: the gradient of the line."""
        if name not in self.by_name:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        line = self.by_name[name][1].fit
        low, high = line.interval or (line.slope, line.slope)
        return Estimate(line.slope, low, high, Basis.MEASURED, name, line.residual)

    def at_largest(self, name: str) -> Estimate:
        """The measurement at the largest size."""
        if name not in self.by_name:
            return Estimate(None, None, None, Basis.NOT_MEASURED, name)
        return self.measured_at(name, self.by_name[name][1].points[-1].size)

    def measured_at(self, name: str, size: float) -> Estimate:
        """The measurement at a size: median, minimum and maximum."""
        points = self.by_name[name][1].points if name in self.by_name else []
        for each in points:
            if each.size == size:
                return Estimate(each.median, min(each.values), max(each.values), Basis.MEASURED, name)
        return Estimate(None, None, None, Basis.NOT_MEASURED, name)
