"""The order in which members are probed: each present member once per round.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 4.3: a round is shuffled, and a member that joins
during it is inserted at a random position, so that the detection time does not depend on when it joined.
"""

from __future__ import annotations

from laureldock.fleet.randomness import SeededRandom


class ProbeRound:
    """Names of the members that are still to be probed in the current round."""

    def __init__(self, random: SeededRandom) -> None:
        self._random = random
        self._queue: list[str] = []  # the last one is probed next
        self._remaining_names: set[str] = set()  # the same names, for membership tests

    def begin(self, names: list[str]) -> None:
        """Start a new round with these names."""
        self._queue = self._random.shuffled(names)
        self._remaining_names = set(names)

    def add(self, name: str) -> None:
        """Add a member that became present to the round in progress, if any; the next one has it anyway."""
        if self._queue and name not in self._remaining_names:
            self._queue.insert(int(self._random.fraction() * (len(self._queue) + 1)), name)
            self._remaining_names.add(name)

    def take(self) -> str | None:
        """Remove and return the next name; None at the end of the round."""
        if not self._queue:
            return None
        name = self._queue.pop()
        self._remaining_names.discard(name)
        return name
