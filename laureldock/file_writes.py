"""Writes to files that are whole, in as many calls as it takes, or fail."""

from __future__ import annotations

import errno
import os

# Tries of a write that fails, one right after another: a fault of a moment is over by then.
WRITE_TRIES = 4


def write_whole(descriptor: int, data: bytes, offset: int) -> None:
    """Write all of it at an offset. OSError; part of it may be there then."""
    rest = memoryview(data)
    failures = 0
    while rest:
        try:
            written = os.pwrite(descriptor, rest, offset)
            if not written:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        except OSError:
            failures += 1
            if failures == WRITE_TRIES:
                raise
            continue
        rest = rest[written:]
        offset += written
