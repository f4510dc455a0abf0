"""Memory of this process: what is resident, and how the C library returns freed memory to the system."""

from __future__ import annotations

import contextlib
import ctypes
import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of mallopt(3), by <malloc.h> of the GNU C library.
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD, M_ARENA_MAX = -1, -3, -8
# Bytes. Larger buffers get pages of their own, which are returned as soon as they are freed. Just above what
# one read of a socket allocates.
OWN_PAGES_BYTES = 33 * 1024
TRIM_BYTES = 128 * 1024  # free bytes at the end of the heap that are returned


def resident_bytes() -> int:
    """The resident set of this process; 0 where the system does not tell it."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_freed_memory() -> None:
    """Have large buffers returned to the system once they are freed, where the C library can be told so."""
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        for parameter, value in (
            (M_MMAP_THRESHOLD, OWN_PAGES_BYTES),
            (M_TRIM_THRESHOLD, TRIM_BYTES),
            (M_ARENA_MAX, 1),
        ):
            library.mallopt(parameter, value)


def trim_heap() -> None:
    """Return free pages of the heap to the system, where the C library can; takes about a millisecond."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
