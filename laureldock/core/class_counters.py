"""Counts by queue class: what became of its messages, as operators are shown it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container

# Of the settings, and some that clients name wrongly.
MAX_CLASSES = 256

SHOWN_NAMES = {"served": "relayed", "refused": "deferred", "failed": "bounced", "attempts": "sent"}
"""The names that operators are shown, by which count each of them is."""


class ClassCounters:
    """Counters of each queue class; names that clients make up take a bounded room."""

    def __init__(self) -> None:
        self._by_class: dict[str, Counter[str]] = {}

    def count(self, queue_class: str, what: str, known: Container[str]) -> None:
        """Add one; a class beyond `MAX_CLASSES` is counted only if it is a known one."""
        counter = self._by_class.get(queue_class)
        if counter is None:
            if len(self._by_class) >= MAX_CLASSES and queue_class not in known:
                return
            counter = self._by_class[queue_class] = Counter()
        counter[what] += 1

    def shown(self) -> dict[str, dict[str, int]]:
        """By class, then by the name that operators are shown."""
        return {
            name: {shown: counter[what] for shown, what in SHOWN_NAMES.items()}
            for name, counter in sorted(self._by_class.items())
        }
