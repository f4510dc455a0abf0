"""The order in which members are probed: all present ones in a round, before any of them twice.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), section 4.3: a round is shuffled, and who joins within it is
put at a random place, so that a failure is found in the same time whenever the member joined.
"""

from __future__ import annotations

from laureldock.fleet.randomness import SeededRandom


class ProbeRound:
    """Names of members that are still to be probed in the present round."""

    def __init__(self, random: SeededRandom) -> None:
        self._random = random
        self._names: list[str] = []  # the last one is next
        self._waiting: set[str] = set()  # the same names

    def begin(self, names: list[str]) -> None:
        """A new round of these."""
        self._names = self._random.shuffled(names)
        self._waiting = set(names)

    def add(self, name: str) -> None:
        """A member that became present; the next round has it anyway where none is under way."""
        if self._names and name not in self._waiting:
            self._names.insert(int(self._random.fraction() * (len(self._names) + 1)), name)
            self._waiting.add(name)

    def take(self) -> str | None:
        """The next name; None at the end of the round."""
        if not self._names:
            return None
        name = self._names.pop()
        self._waiting.discard(name)
        return name
