"""Files that one process at a time holds locked."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

FILE_MODE = 0o600


def open_locked(path: Path, required: bool = False) -> int | None:
    """A descriptor of the file, locked for this process alone; None while another process holds the lock.

    None, too, where the path names another file by then: a lock on one that was replaced protects nothing.
    Where the file system has no locks, a process is taken to be alone with its folder, unless the lock is
    `required`: then OSError.
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
    """Whether a path leads to an open file."""
    try:
        return os.path.samestat(os.stat(path), os.fstat(file))
    except FileNotFoundError:
        return False
