"""Reproducible randomness: numbers from a seed, a name and a counter, so that one seed gives one run."""

from __future__ import annotations

import zlib
from collections.abc import Iterator


class SeededRandom:
    """Draws from CRC-32 of a seed, a name and the next value of a counter shared with the timer queue."""

    def __init__(self, seed: int, name: str, counter: Iterator[int]) -> None:
        self._prefix = f"{seed}:{name}:"
        self._counter = counter

    def fraction(self) -> float:
        """A number from 0 up to, not including, 1."""
        return zlib.crc32(f"{self._prefix}{next(self._counter)}".encode()) / 2**32

    def jitter(self) -> float:
        """A factor from 0.75 to 1.25, for intervals that members should not keep in step."""
        return 0.75 + 0.5 * self.fraction()

    def shuffled(self, names: list[str]) -> list[str]:
        """The names in a random order, which differs between members whose counters are equal."""
        return sorted(
            names, key=lambda name: zlib.crc32(f"{self._prefix}{next(self._counter)}:{name}".encode())
        )
