"""CPU time and memory of a process, read from /proc."""

from __future__ import annotations

import os
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """CPU time of all live threads. Raises OSError if the process has ended."""
    threads = Path(f"/proc/{pid}/task")
    try:
        return sum(int((each / "schedstat").read_text().split()[0]) for each in threads.iterdir()) / 1e9
    except (FileNotFoundError, IndexError, ValueError):
        # The kernel has no schedstat: fall back to a resolution of one clock tick, often 10 ms.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Resident set size. Raises OSError if the process has ended."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def available_bytes() -> int:
    """Memory of the whole machine that can be allocated without swapping."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) * 1024
    raise OSError("no MemAvailable in /proc/meminfo")
