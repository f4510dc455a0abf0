"""Reproducible randomness: numbers from a seed, a name and a counter, so that a seed determines a run."""

from __future__ import annotations

import zlib
from collections.abc import Iterator


class SeededRandom:
    """Random numbers from CRC-32 of a seed, a name, and a counter that is shared with the timer queue."""

    def __init__(self, seed: int, name: str, counter: Iterator[int]) -> None:
        self._prefix = f"{seed}:{name}:"
        self._counter = counter

    def fraction(self) -> float:
        """Return a number from 0 up to, but not including, 1."""
        return zlib.crc32(f"{self._prefix}{next(self._counter)}".encode()) / 2**32

    def jitter(self) -> float:
        """Return a factor from 0.75 to 1.25, for intervals in which members should not act in step."""
        return 0.75 + 0.5 * self.fraction()

    def shuffled(self, names: list[str]) -> list[str]:
        """Return the names in a random order, different for members whose counters are equal."""
        return sorted(
            names, key=lambda name: zlib.crc32(f"{self._prefix}{next(self._counter)}:{name}".encode())
        )
