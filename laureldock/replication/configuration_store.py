"""What a dispatcher keeps on disk of the configuration that its controller told.

A folder of its own (`configuration` in the state folder) with a `ChangeLog`, a lock, and a file whose time
says when the configuration was last known to be the newest one. Two processes of one dispatcher may be there
while one hands over to the next: the one that holds the lock writes, the other reads what is there. Nothing
in it counts as room of the spool.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from laureldock.file_locks import open_locked
from laureldock.replication.change_log import ChangeLog, Record, SpoiltLogError
from laureldock.replication.messages import NO_POSITION, Position
from laureldock.replication.parts import snapshot_parts
from laureldock.replication.replay import ReplayedEntries
from laureldock.setup.changes import CatalogEntry, UnreadableChangeError

LOCK_NAME, CONFIRMED_NAME = "following.lock", "confirmed"

Entries = Callable[[], Iterable[CatalogEntry]]


@dataclass(frozen=True, slots=True)
class KeptConfiguration:
    """`age`: seconds since it was last known to be the newest; None: not known. `fault`: what was dropped."""

    position: Position = NO_POSITION
    digest: int = 0
    entries: tuple[CatalogEntry, ...] = ()
    age: float | None = None
    fault: str = ""


class ConfigurationStore:
    def __init__(self, folder: Path, wall: Callable[[], float] = time.time) -> None:
        self.folder, self.wall = folder, wall
        self.writes = False  # whether this process holds the lock
        self._lock = -1
        self._log: ChangeLog | None = None
        self._behind = False  # a write failed: the log lacks something, and a snapshot is to be written

    def acquire(self) -> bool:
        """Whether this process may write from here on. OSError."""
        if self.writes:
            return True
        self.folder.mkdir(parents=True, exist_ok=True)
        lock = open_locked(self.folder / LOCK_NAME)
        if lock is None:
            return False
        self._lock, self.writes = lock, True
        return True

    def load(self) -> KeptConfiguration:
        """What was in force; nothing where that is spoilt: then it is dropped. OSError."""
        log = self._log = ChangeLog(self.folder, durable=False, writes=self.writes)
        replayed = ReplayedEntries()
        try:
            for found in log.load():
                replayed.add(found)
        except SpoiltLogError as spoilt:
            return self._dropped(log, str(spoilt))
        except UnreadableChangeError as unreadable:
            return self._dropped(log, f"cannot be read: {unreadable}")
        fault = f"{log.spoilt_bytes} spoilt bytes at the end" if log.spoilt_bytes else ""
        if replayed.digest != log.digest:
            return self._dropped(log, fault or "the entries are not those that were kept")
        entries = tuple(replayed.by_key.values())
        return KeptConfiguration(log.position, log.digest, entries, self._age(), fault)

    def _dropped(self, log: ChangeLog, fault: str) -> KeptConfiguration:
        """Nothing of it can be used: the folder begins anew. OSError."""
        self._behind = True
        if self.writes:
            log.clear()
        return KeptConfiguration(fault=fault)

    # Writing

    def keep(self, record: Record, entries: Entries) -> None:
        """A change that is in force; `entries` gives all with it. OSError: it is not on disk yet."""
        log = self._writable()
        if self._behind or log.compaction_due:
            self.replace(record.position, record.digest, snapshot_parts(entries()))
            return
        self._behind = True
        log.append(record)
        self._behind = False

    def replace(self, position: Position, digest: int, parts: Iterable[bytes]) -> None:
        """A whole configuration, as encoded parts. OSError: it is not on disk yet."""
        self._behind = True
        self._writable().compact(position, digest, parts)
        self._behind = False

    def retry(self, position: Position, digest: int, entries: Entries) -> bool:
        """Write what an earlier failure left out, if any; whether all is on disk."""
        if self._behind:
            with contextlib.suppress(OSError):
                self.replace(position, digest, snapshot_parts(entries()))
        return not self._behind

    def confirm(self, age: float) -> None:
        """The configuration was known to be the newest so many seconds ago."""
        if self.writes:
            path, at = self.folder / CONFIRMED_NAME, self.wall() - age
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

    def _writable(self) -> ChangeLog:
        if self._log is None or not self.writes:
            raise OSError("the configuration's folder is not this process's to write")
        return self._log

    def _age(self) -> float | None:
        try:
            return max(0.0, self.wall() - (self.folder / CONFIRMED_NAME).stat().st_mtime)
        except OSError:
            return None
