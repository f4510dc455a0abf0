"""Ranks the missing mechanisms by the highest ratio of need to budget."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.mechanisms import MECHANISMS, Mechanism
from benchmarks.capacity.rows import Row


@dataclass(frozen=True, slots=True)
class Need:
    """A mechanism and the rows that call for it, sorted by descending ratio of need to budget."""

    mechanism: Mechanism
    rows: Sequence[Row]

    @property
    def ratio(self) -> float:
        """The highest ratio of need to budget; 0 if none of the rows has a budget."""
        return max((row.ratio or 0.0 for row in self.rows), default=0.0)


def over_budget(rows: Iterable[Row]) -> list[Row]:
    """Rows that exceed their budget, by descending ratio of need to budget."""
    return sorted((row for row in rows if (row.ratio or 0.0) > 1), key=lambda row: -(row.ratio or 0.0))


def needs(rows: Iterable[Row]) -> list[Need]:
    """For each mechanism, the rows that exceed their budget and those without one; highest ratio first."""
    rows = list(rows)
    found = []
    for mechanism in MECHANISMS:
        requiring = [row for row in rows if row.mechanism is mechanism]
        without = [row for row in requiring if row.budget is None]
        found.append(Need(mechanism, [*over_budget(requiring), *without]))
    return sorted(found, key=lambda need: -need.ratio)


def missing(rows: Iterable[Row]) -> list[Need]:
    """The needs for mechanisms that the project does not have."""
    return [need for need in needs(rows) if not need.mechanism.exists]
