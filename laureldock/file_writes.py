"""Writes to files, repeated until all bytes are written or an error lasts."""

from __future__ import annotations

import errno
import os

# Failures in a row, without a delay between the tries, after which a write is given up; short faults pass.
WRITE_TRIES = 4


def write_whole(descriptor: int, data: bytes | bytearray, offset: int) -> None:
    """Write all data at an offset. Raises OSError, after which part of the data may have been written."""
    remaining = memoryview(data)
    failures = 0
    while remaining:
        try:
            written = os.pwrite(descriptor, remaining, offset)
            if not written:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        except OSError:
            failures += 1
            if failures == WRITE_TRIES:
                raise
            continue
        remaining = remaining[written:]
        offset += written
