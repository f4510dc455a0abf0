"""Changes that a dispatcher received and could not apply: merged, until their sum passes. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from laureldock.setup.changes import CatalogEntry, Change, EntryKey

MAX_PENDING_CHANGES = 1000
MAX_PENDING_BYTES = 8 << 20


class PendingChanges:
    """Puts and removals by key; of two that name one key the later one holds.

    `unreadable` is set where one of them could not be read: their sum is not known then, and only a snapshot
    helps.
    """

    def __init__(self) -> None:
        self.count = 0
        self.bytes = 0
        self.unreadable = False
        self._by_key: dict[EntryKey, CatalogEntry | None] = {}  # None: removed

    @property
    def full(self) -> bool:
        return self.count > MAX_PENDING_CHANGES or self.bytes > MAX_PENDING_BYTES

    def add(self, change: Change, size: int) -> None:
        """`size`: bytes of the encoded change."""
        self.count += 1
        self.bytes += size
        for entry in change.puts:
            self._by_key[entry.key] = entry
        for key in change.removals:
            self._by_key[key] = None

    def add_unreadable(self) -> None:
        self.count += 1
        self.unreadable = True
        self.bytes = 0
        self._by_key.clear()

    def merged(self, holds: Callable[[EntryKey], bool]) -> Change:
        """The sum. `holds` tells which entries are in force: one that came and went within it is left out."""
        puts = tuple(entry for entry in self._by_key.values() if entry is not None)
        removals = tuple(key for key, entry in self._by_key.items() if entry is None and holds(key))
        return Change(puts, removals)

    def clear(self) -> None:
        self.count = self.bytes = 0
        self.unreadable = False
        self._by_key.clear()
