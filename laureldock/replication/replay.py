"""Reconstructs the entries at the newest version from the content of a change log. No I/O."""

from __future__ import annotations

from laureldock.replication.change_log import Record
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    EntryKey,
    decode_change,
    decode_entries,
    entry_digest,
)


class ReplayedEntries:
    """Entries by key, not validated, and the digest of all entries."""

    def __init__(self) -> None:
        self.by_key: dict[EntryKey, CatalogEntry] = {}
        self.digest = 0

    def add(self, item: bytes | Record) -> None:
        """Add a part of a snapshot, or a record after it. Raises UnreadableChangeError: nothing was added."""
        self._merge(decode_change(item.body) if isinstance(item, Record) else Change(decode_entries(item)))

    def _merge(self, change: Change) -> None:
        for key in (*change.removals, *(entry.key for entry in change.puts)):
            if (before := self.by_key.pop(key, None)) is not None:
                self.digest ^= entry_digest(before)
        for entry in change.puts:
            self.by_key[entry.key] = entry
            self.digest ^= entry_digest(entry)
