"""Processor time and memory of a process, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Time on a processor, of all threads that live. OSError where the process has ended."""
    threads = Path(f"/proc/{pid}/task")
    try:
        return sum(int((each / "schedstat").read_text().split()[0]) for each in threads.iterdir()) / 1e9
    except (FileNotFoundError, IndexError, ValueError):
        # No such file in this kernel: to the clock tick, often 10 ms.
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """OSError where the process has ended."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def available_bytes() -> int:
    """Of the whole machine: what may be taken without swapping."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return int(line.split()[1]) * 1024
    raise OSError("no MemAvailable in /proc/meminfo")
