"""A timer queue with an external clock: scheduled calls in a reproducible order."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from math import inf
from typing import Any, NamedTuple

TimerAction = Callable[..., None]
"""Called with the current time and the arguments that it was scheduled with."""


class Timer(NamedTuple):
    """A scheduled call. Timers that are due at the same time run in the order of their serial numbers."""

    due: float
    serial: int
    action: TimerAction
    arguments: tuple[Any, ...]


class TimerQueue:
    """Scheduled calls, earliest first. Times are seconds of the caller's clock."""

    def __init__(self, counter: Iterator[int]) -> None:
        self._counter = counter
        self._heap: list[Timer] = []

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_due(self) -> float:
        """When the earliest timer is due; infinity if there is none."""
        return self._heap[0].due if self._heap else inf

    def schedule(self, now: float, delay: float, action: TimerAction, *arguments: Any) -> None:
        """Call `action` with the time and `arguments`, `delay` seconds after `now`."""
        heapq.heappush(self._heap, Timer(now + delay, next(self._counter), action, arguments))

    def run_next(self, now: float) -> None:
        """Remove the earliest timer and call its action. Raises IndexError if there is none."""
        timer = heapq.heappop(self._heap)
        timer.action(now, *timer.arguments)

    def postpone(self, action: TimerAction, seconds: float) -> None:
        """Postpone all timers of an action by `seconds`."""
        self._heap = [
            timer._replace(due=timer.due + seconds) if timer.action == action else timer
            for timer in self._heap
        ]
        heapq.heapify(self._heap)
