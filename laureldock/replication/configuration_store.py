"""A dispatcher's copy on disk of the configuration it received from its controller.

The folder (`configuration` in the state folder) holds a `ChangeLog`, a lock, and a file whose modification
time tells when the configuration was last known to be the newest. During a handover two processes of the
dispatcher use the folder: the one that holds the lock writes, the other only reads. The folder does not count
towards the spool's room.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from laureldock.file_locks import open_locked
from laureldock.replication.change_log import ChangeLog, CorruptedLogError, Record
from laureldock.replication.messages import NO_POSITION, Position
from laureldock.replication.parts import snapshot_parts
from laureldock.replication.replay import ReplayedEntries
from laureldock.setup.changes import CatalogEntry, UnreadableChangeError

LOCK_NAME, CONFIRMED_NAME = "following.lock", "confirmed"

Entries = Callable[[], Iterable[CatalogEntry]]


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The configuration found on disk.

    `age`: seconds since it was last known to be the newest, None if unknown. `fault`: why data was dropped.
    """

    position: Position = NO_POSITION
    digest: int = 0
    entries: tuple[CatalogEntry, ...] = ()
    age: float | None = None
    fault: str = ""


class ConfigurationStore:
    """Reads and writes the folder. `wall_clock` returns seconds since 1970."""

    def __init__(self, folder: Path, wall_clock: Callable[[], float] = time.time) -> None:
        self.folder, self.wall_clock = folder, wall_clock
        self.writes = False  # whether this process holds the lock
        self._lock = -1
        self._log: ChangeLog | None = None
        self._incomplete = False  # a write failed: the log is incomplete, so the next write is a snapshot

    def acquire(self) -> bool:
        """Take the lock; return whether this process may write from now on. Raises OSError."""
        if self.writes:
            return True
        self.folder.mkdir(parents=True, exist_ok=True)
        lock = open_locked(self.folder / LOCK_NAME)
        if lock is None:
            return False
        self._lock, self.writes = lock, True
        return True

    def load(self) -> StoredConfiguration:
        """The stored configuration. If it is corrupted it is dropped, and an empty one returned.

        Raises OSError.
        """
        log = self._log = ChangeLog(self.folder, durable=False, writes=self.writes)
        replayed = ReplayedEntries()
        try:
            for item in log.load():
                replayed.add(item)
        except CorruptedLogError as corrupted:
            return self._discard(log, str(corrupted))
        except UnreadableChangeError as unreadable:
            return self._discard(log, f"cannot be read: {unreadable}")
        fault = f"{log.corrupted_bytes} corrupted bytes at the end" if log.corrupted_bytes else ""
        if replayed.digest != log.digest:
            return self._discard(log, fault or "the entries do not match the stored digest")
        entries = tuple(replayed.by_key.values())
        return StoredConfiguration(log.position, log.digest, entries, self._stored_age(), fault)

    def _discard(self, log: ChangeLog, fault: str) -> StoredConfiguration:
        """Discard the unusable content of the folder. Raises OSError."""
        self._incomplete = True
        if self.writes:
            log.clear()
        return StoredConfiguration(fault=fault)

    # Writing

    def append_change(self, record: Record, entries: Entries) -> None:
        """Store a change that is in force; `entries` returns all entries including it.

        Raises OSError: the change is not on disk yet.
        """
        log = self._writable_log()
        if self._incomplete or log.compaction_due:
            self.replace_all(record.position, record.digest, snapshot_parts(entries()))
            return
        self._incomplete = True
        log.append(record)
        self._incomplete = False

    def replace_all(self, position: Position, digest: int, parts: Iterable[bytes]) -> None:
        """Store a complete configuration, given as encoded parts. Raises OSError: it is not on disk yet."""
        self._incomplete = True
        self._writable_log().compact(position, digest, parts)
        self._incomplete = False

    def retry(self, position: Position, digest: int, entries: Entries) -> bool:
        """Write what an earlier failure left out, if anything; return whether everything is on disk."""
        if self._incomplete:
            with contextlib.suppress(OSError):
                self.replace_all(position, digest, snapshot_parts(entries()))
        return not self._incomplete

    def confirm(self, age: float) -> None:
        """Record that the configuration was known to be the newest `age` seconds ago."""
        if self.writes:
            path, at = self.folder / CONFIRMED_NAME, self.wall_clock() - age
            with contextlib.suppress(OSError):
                path.touch(mode=0o600)
                os.utime(path, (at, at))

    def close(self) -> None:
        if self._log is not None:
            self._log.close()
            self._log = None
        if self._lock >= 0:
            os.close(self._lock)
        self._lock, self.writes = -1, False

    def _writable_log(self) -> ChangeLog:
        if self._log is None or not self.writes:
            raise OSError("the configuration's folder is not this process's to write")
        return self._log

    def _stored_age(self) -> float | None:
        try:
            return max(0.0, self.wall_clock() - (self.folder / CONFIRMED_NAME).stat().st_mtime)
        except OSError:
            return None
