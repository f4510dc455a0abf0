"""The limit on the size of the spool files in a folder, which several processes of a dispatcher may share.

Whoever makes a file grow holds the lock of the folder from the moment when it adds up the sizes of all files
until the file has grown. So the sum is within the limit at every moment, whatever the processes do, and only
one file is rewritten at a time. The lock is one of the folder itself: it takes no space, and ends with its
process.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import time
from pathlib import Path

DISK_BLOCK_BYTES = 512  # unit in which the platform counts the size of a file
SPOOL_PREFIX, COMPACTED_SUFFIX = "spool", ".new"
# Another process holds the lock while it rewrites its file; longer waits would hold up clients.
LOCK_TRIES, LOCK_RETRY_INTERVAL = 20, 0.0025  # seconds


def whole_blocks(size: int) -> int:
    """The bytes that a file of this size counts for."""
    return -(-size // DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES


class FolderLimit:
    """A limit in bytes on all spool files of a folder together, rewritten ones included.

    As a context manager it is the lock of the folder.
    """

    def __init__(self, folder: Path, limit: float) -> None:
        """Raises OSError if the folder cannot be opened."""
        self.folder, self.limit = folder, int(limit)
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self._depth = 0
        self._tries = LOCK_TRIES  # of the next time; one while another process keeps the lock
        # Grows whenever files may have changed: when the lock is taken, and by what its holder does.
        self.version = 0

    def __enter__(self) -> None:
        """Hold the lock of the folder; may be nested. Raises OSError if another process keeps it."""
        if not self._depth:
            self._lock()
            self.version += 1
        self._depth += 1

    def __exit__(self, *_: object) -> None:
        self._depth -= 1
        if not self._depth and self._descriptor >= 0:
            with contextlib.suppress(OSError):  # a file system without locks
                fcntl.flock(self._descriptor, fcntl.LOCK_UN)

    def _lock(self) -> None:
        if self._descriptor < 0:
            raise OSError(errno.EBADF, "the folder is closed")
        for tries_left in reversed(range(self._tries)):
            try:
                fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                time.sleep(LOCK_RETRY_INTERVAL if tries_left else 0.0)
                continue
            except OSError:  # a file system without locks: this process is assumed to be the only one
                pass
            self._tries = LOCK_TRIES
            return
        self._tries = 1
        raise OSError(errno.EAGAIN, "another process is writing in the folder")

    def sizes(self) -> dict[str, int]:
        """The bytes that each spool file counts for, by name. Raises OSError."""
        found: dict[str, int] = {}
        with os.scandir(self.folder) as entries:
            for entry in entries:
                if entry.name.startswith(SPOOL_PREFIX):
                    with contextlib.suppress(FileNotFoundError):
                        found[entry.name] = whole_blocks(entry.stat().st_size)
        return found

    def files_changed(self) -> None:
        """The holder of the lock has created, replaced or removed files."""
        self.version += 1

    def remove_abandoned(self) -> None:
        """Remove rewritten files whose process ended before they took the name of the old one."""
        with self:
            for name in self.sizes():
                if not name.endswith(COMPACTED_SUFFIX):
                    continue
                with contextlib.suppress(OSError):
                    remove_unlocked(self.folder / name)
            self.files_changed()

    def close(self) -> None:
        """Close the folder, which releases its lock."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = -1


def remove_unlocked(path: Path) -> None:
    """Remove a file unless a process has it locked. Raises OSError."""
    file = os.open(path, os.O_RDWR)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink(missing_ok=True)
    finally:
        os.close(file)
