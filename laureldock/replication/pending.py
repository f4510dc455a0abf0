"""Changes that a dispatcher received but could not apply, merged until they can be applied. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from laureldock.setup.changes import CatalogEntry, Change, EntryKey

MAX_PENDING_CHANGES = 1000
MAX_PENDING_BYTES = 8 << 20


class PendingChanges:
    """Puts and removals by key; a later one replaces an earlier one of the same key.

    `unreadable` is set if one of them could not be decoded: the merged change is then unknown, and only a
    snapshot helps.
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
        """Merge a change; `size` is the length of its encoding in bytes."""
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
        """The merged change. `holds` returns whether an entry is in force.

        The removal of an entry that was added and removed while pending is omitted.
        """
        puts = tuple(entry for entry in self._by_key.values() if entry is not None)
        removals = tuple(key for key, entry in self._by_key.items() if entry is None and holds(key))
        return Change(puts, removals)

    def clear(self) -> None:
        self.count = self.bytes = 0
        self.unreadable = False
        self._by_key.clear()
