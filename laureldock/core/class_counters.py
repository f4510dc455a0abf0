"""Counters of messages by queue class and outcome, as operators are shown them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container

# Enough for the classes of the settings, and some misspelt names that clients send.
MAX_CLASSES = 256

OPERATOR_NAMES = {"served": "relayed", "refused": "deferred", "failed": "bounced", "attempts": "sent"}
"""Counters by the names under which operators are shown them."""


class ClassCounters:
    """Counters of each queue class. Memory is bounded, whatever class names clients send."""

    def __init__(self) -> None:
        self._by_class: dict[str, Counter[str]] = {}

    def count(self, queue_class: str, counter_name: str, known: Container[str]) -> None:
        """Add one; a class beyond `MAX_CLASSES` is counted only if it is a `known` one."""
        counter = self._by_class.get(queue_class)
        if counter is None:
            if len(self._by_class) >= MAX_CLASSES and queue_class not in known:
                return
            counter = self._by_class[queue_class] = Counter()
        counter[counter_name] += 1

    def operator_counts(self) -> dict[str, dict[str, int]]:
        """By class, then by the name that operators are shown."""
        return {
            name: {shown_name: counter[counter_name] for shown_name, counter_name in OPERATOR_NAMES.items()}
            for name, counter in sorted(self._by_class.items())
        }
