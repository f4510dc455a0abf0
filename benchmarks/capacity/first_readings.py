"""Early readings of another test harness, provided by the operators, compared with those of this project."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.rows import Estimate, Slopes


@dataclass(frozen=True, slots=True)
class FirstReading:
    """`low` and `high` are from the other harness, `found` is from this project."""

    quantity: str
    unit: str
    low: float
    high: float
    found: Estimate

    @property
    def verdict(self) -> str:
        """Whether the ranges overlap, otherwise the ratio of our value to the nearest end of their range."""
        value, low, high = self.found.value, self.found.low, self.found.high
        if value is None or low is None or high is None:
            return "not measured"
        if low <= self.high and high >= self.low:
            return "agrees"
        nearest = self.high if value > self.high else self.low
        return f"{value / nearest:.2f} times that"


def first_readings(slopes: Slopes) -> list[FirstReading]:
    def each(quantity: str, unit: str, low: float, high: float, name: str) -> FirstReading:
        return FirstReading(quantity, unit, low, high, slopes.per_unit(name))

    view = "a common start, ten periods, {} members"
    started = ((100, 0.9e3), (200, 4.1e3), (400, 9.1e3))
    return [
        each("memory, a destination, at the start", "B", 6600, 6600, "destination: memory"),
        each("memory, a destination, after reloads", "B", 6600, 6600, "destination: memory after"),
        each("start, a destination", "s", 0.07e-3, 0.09e-3, "destination: start"),
        each(
            "any change by reload, a destination (one endpoint)",
            "s",
            0.06e-3,
            0.08e-3,
            "destination: one rate",
        ),
        each(
            "any change by reload, a destination (one setting)",
            "s",
            0.06e-3,
            0.08e-3,
            "destination: one setting",
        ),
        each("memory, a pending message", "B", 1360, 1360, "owed mail: memory"),
        each("start, a pending message", "s", 0.018e-3, 0.018e-3, "owed mail: start"),
        *(
            FirstReading(
                view.format(members),
                "B",
                value,
                value,
                slopes.measured_at("common start, first ten: bytes", members),
            )
            for members, value in started
        ),
    ]
