"""Assembles and verifies a snapshot that arrives in parts, before any of it is applied. No I/O."""

from __future__ import annotations

from enum import Enum, auto

from laureldock.replication.messages import SnapshotBegin, SnapshotPart, checksum
from laureldock.setup.changes import CatalogEntry, decode_entries, entry_digest

MAX_SNAPSHOT_BYTES = 128 << 20


class PartOutcome(Enum):
    ACCEPTED = auto()
    REPEATED = auto()  # a part that was received before
    MISSING = auto()  # an earlier part was not received
    CORRUPTED = auto()  # wrong checksum, or the snapshot is too large


class IncomingSnapshot:
    """The parts and entries received so far, and the digest of the entries."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.begin = begin
        self.parts: list[bytes] = []
        self.entries: list[CatalogEntry] = []
        self.bytes = 0
        self._digest = 0

    @property
    def complete(self) -> bool:
        return len(self.parts) >= self.begin.parts

    @property
    def matches(self) -> bool:
        """Whether the number of entries and their digest are the announced ones."""
        return len(self.entries) == self.begin.entries and self._digest == self.begin.digest

    def add(self, part: SnapshotPart) -> PartOutcome:
        """Add a part. Raises UnreadableChangeError if its entries are of a later format."""
        if part.number < len(self.parts):
            return PartOutcome.REPEATED
        if part.number > len(self.parts):
            return PartOutcome.MISSING
        self.bytes += len(part.body)
        if checksum(part.body) != part.checksum or self.bytes > MAX_SNAPSHOT_BYTES:
            return PartOutcome.CORRUPTED
        entries = decode_entries(part.body)
        self.parts.append(part.body)
        self.entries.extend(entries)
        for entry in entries:
            self._digest ^= entry_digest(entry)
        return PartOutcome.ACCEPTED
