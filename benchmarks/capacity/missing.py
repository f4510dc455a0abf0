"""What is missing, in order: the greatest need over its budget first."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.mechanisms import MECHANISMS, Mechanism
from benchmarks.capacity.rows import Row


@dataclass(frozen=True, slots=True)
class Need:
    """A mechanism and the rows that ask for it, the greatest need over its budget first."""

    mechanism: Mechanism
    rows: Sequence[Row]

    @property
    def ratio(self) -> float:
        """The greatest need over its budget; 0 where none of the rows has a budget."""
        return max((row.ratio or 0.0 for row in self.rows), default=0.0)


def over_budget(rows: Iterable[Row]) -> list[Row]:
    """The greatest need over its budget first."""
    return sorted((row for row in rows if (row.ratio or 0.0) > 1), key=lambda row: -(row.ratio or 0.0))


def needs(rows: Iterable[Row]) -> list[Need]:
    """Of each mechanism, the needs over their budget and those without one; greatest first."""
    rows = list(rows)
    found = []
    for mechanism in MECHANISMS:
        asking = [row for row in rows if row.mechanism is mechanism]
        without = [row for row in asking if row.budget is None]
        found.append(Need(mechanism, [*over_budget(asking), *without]))
    return sorted(found, key=lambda need: -need.ratio)


def missing(rows: Iterable[Row]) -> list[Need]:
    """Needs of mechanisms that the project does not have."""
    return [need for need in needs(rows) if not need.mechanism.exists]
