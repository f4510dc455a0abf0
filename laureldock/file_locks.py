"""Files that are locked by one process at a time."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

FILE_MODE = 0o600


def open_locked(path: Path, required: bool = False) -> int | None:
    """Open a file, created if needed, with an exclusive lock; None while another process holds the lock.

    Also None if the path has been replaced by another file meanwhile, since a lock on the old file protects
    nothing. On a file system without locks the process is assumed to be the only one; if the lock is
    `required`, OSError is raised instead. Returns the descriptor; closing it releases the lock.
    """
    file = os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(file)
        return None
    except OSError:
        if required:
            os.close(file)
            raise
    if not names_file(path, file):
        os.close(file)
        return None
    return file


def names_file(path: Path, file: int) -> bool:
    """Whether a path refers to an open file."""
    try:
        return os.path.samestat(os.stat(path), os.fstat(file))
    except FileNotFoundError:
        return False
