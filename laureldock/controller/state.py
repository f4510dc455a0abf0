"""A controller's accepted configuration: the catalog in memory, and the change log it is rebuilt from."""

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
    """The entries at the newest version. `load` must be called before any other method."""

    def __init__(self, base: Plan, folder: Path) -> None:
        """Raises OSError; LogInUseError if another controller has locked the folder."""
        self.catalog = Catalog(base)
        self.log = ChangeLog(folder, durable=True)
        self.accepted_at = 0.0  # of the newest change, in seconds since 1970; 0 if unknown

    @property
    def position(self) -> Position:
        return self.log.position

    @property
    def digest(self) -> int:
        return self.log.digest

    def load(self, new_epoch: int) -> Iterator[Record]:
        """Load the state; yield each record after the snapshot. An empty folder starts with `new_epoch`.

        Raises CorruptedLogError; RefusedChangeError if the entries do not fit the configuration file any
        more; OSError.
        """
        replayed = ReplayedEntries()
        for item in self.log.load():
            try:
                replayed.add(item)
            except UnreadableChangeError as error:
                raise CorruptedLogError(self.log.folder, 0, f"written by a later version? {error}") from None
            if isinstance(item, Record):
                self.accepted_at = item.accepted_at
                self._check_digest(replayed.digest, item.digest, item.position)
                yield item
        self._check_digest(replayed.digest, self.log.digest, self.log.position)
        self.catalog.replace(replayed.by_key.values())
        if self.log.position == NO_POSITION:
            self.log.compact(Position(new_epoch, 0), 0, [])

    def _check_digest(self, digest: int, expected: int, position: Position) -> None:
        if digest != expected:
            reason = f"the entries at version {position.version} do not match the accepted digest"
            raise CorruptedLogError(self.log.folder, 0, reason)

    def prepare(self, change: Change) -> tuple[bytes, Change] | None:
        """Apply a change in memory; return its encoding and the change that undoes it.

        Returns None if it changes nothing. Raises RefusedChangeError: nothing was changed.
        """
        keys = [*(entry.key for entry in change.puts), *change.removals]
        previous = {key: self.catalog.get(key) for key in keys}
        body = encode_change(change)  # first: an encoding error must not leave the catalog ahead of the log
        if not self.catalog.apply(change):
            return None
        puts = tuple(entry for entry in previous.values() if entry is not None)
        removals = tuple(key for key, entry in previous.items() if entry is None)
        return body, Change(puts, removals)

    def commit(self, body: bytes, undo: Change, accepted_at: float) -> Record:
        """Store a prepared change as the next version. Raises OSError: the change was undone."""
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
    """The snapshot was cancelled as the process is stopping; the old snapshot and log remain valid."""


class SnapshotJob:
    """Writes a snapshot in a thread; setting `cancelled` stops it at the next part."""

    def __init__(self, writer: SnapshotWriter, entries: list[CatalogEntry]) -> None:
        self.writer, self.entries = writer, entries
        self.cancelled = False

    def run(self) -> None:
        """Raises OSError, SnapshotCancelledError; the temporary file is then deleted."""
        try:
            for part in snapshot_parts(self.entries):
                if self.cancelled:
                    raise SnapshotCancelledError
                self.writer.write(part)
            self.writer.finish(sync=True)
        except (OSError, SnapshotCancelledError):
            self.writer.discard()
            raise
