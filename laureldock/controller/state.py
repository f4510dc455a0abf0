"""What a controller has accepted: a catalog in memory, and the change log that it is rebuilt from."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from laureldock.replication.change_log import ChangeLog, CorruptedLogError, Record, SnapshotWriter
from laureldock.replication.messages import NO_POSITION, Position
from laureldock.replication.parts import snapshot_parts
from laureldock.replication.replay import ReplayedEntries
from laureldock.setup.catalog import Catalog
from laureldock.setup.changes import CatalogEntry, Change, UnreadableChangeError, encode_change
from laureldock.setup.plan import Plan

MAX_ENTRY_BYTES = 64 << 10


class AcceptedState:
    """The entries at the newest version. `load` is called once, before all else."""

    def __init__(self, base: Plan, folder: Path) -> None:
        """OSError; LogInUseError where another controller holds the folder."""
        self.catalog = Catalog(base)
        self.log = ChangeLog(folder, durable=True)
        self.accepted_at = 0.0  # of the newest change, seconds since 1970; 0: not known

    @property
    def position(self) -> Position:
        return self.log.position

    @property
    def digest(self) -> int:
        return self.log.digest

    def load(self, new_epoch: int) -> Iterator[Record]:
        """From disk; yields each record behind the snapshot. An empty folder begins with `new_epoch`.

        CorruptedLogError; RefusedChangeError where the entries do not fit the file any more; OSError.
        """
        replayed = ReplayedEntries()
        for found in self.log.load():
            try:
                replayed.add(found)
            except UnreadableChangeError as fault:
                raise CorruptedLogError(self.log.folder, 0, f"of a later program? {fault}") from None
            if isinstance(found, Record):
                self.accepted_at = found.accepted_at
                self._compare(replayed.digest, found.digest, found.position)
                yield found
        self._compare(replayed.digest, self.log.digest, self.log.position)
        self.catalog.replace(replayed.by_key.values())
        if self.log.position == NO_POSITION:
            self.log.compact(Position(new_epoch, 0), 0, [])

    def _compare(self, digest: int, expected: int, position: Position) -> None:
        if digest != expected:
            reason = f"the entries at version {position.version} are others than were accepted"
            raise CorruptedLogError(self.log.folder, 0, reason)

    def prepare(self, change: Change) -> tuple[bytes, Change] | None:
        """Applied in memory: the encoded change, and the one that undoes it. None: nothing differs.

        RefusedChangeError: nothing was changed.
        """
        keys = [*(entry.key for entry in change.puts), *change.removals]
        before = {key: self.catalog.get(key) for key in keys}
        body = encode_change(change)  # lest a fault of it leave the catalog ahead of the log
        if not self.catalog.apply(change):
            return None
        puts = tuple(entry for entry in before.values() if entry is not None)
        removals = tuple(key for key, entry in before.items() if entry is None)
        return body, Change(puts, removals)

    def commit(self, body: bytes, undo: Change, accepted_at: float) -> Record:
        """On disk as the next version. OSError: undone, as if it had not been proposed."""
        position = Position(self.position.epoch, self.position.version + 1)
        record = Record(position, self.catalog.digest, accepted_at, body)
        try:
            self.log.append(record)
        except Exception:
            self.catalog.apply(undo)
            raise
        self.accepted_at = accepted_at
        return record


class SnapshotCancelledError(Exception):
    """The process ends, or the disk failed: the old snapshot and log hold."""


class SnapshotJob:
    """Writes a snapshot in a thread of its own; `cancelled` ends it at the next part."""

    def __init__(self, writer: SnapshotWriter, entries: list[CatalogEntry]) -> None:
        self.writer, self.entries = writer, entries
        self.cancelled = False

    def run(self) -> None:
        """OSError, SnapshotCancelledError: nothing is left of it."""
        try:
            for part in snapshot_parts(self.entries):
                if self.cancelled:
                    raise SnapshotCancelledError
                self.writer.write(part)
            self.writer.finish(sync=True)
        except (OSError, SnapshotCancelledError):
            self.writer.discard()
            raise
