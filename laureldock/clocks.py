"""The clocks of the machine, and the conversion of times that another process has recorded.

Recorded times are of the monotonic clock, which continues between processes of one boot and is not affected
by steps of the wall clock. Only after a reboot, when it starts again, the wall clock tells how much time
passed.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # proc(5): changes with each boot


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment, in seconds, and the boot from which the monotonic one counts."""

    boot: str  # empty if the system has no boot id
    monotonic: float
    wall: float

    @property
    def monotonic_to_wall(self) -> float:
        """Seconds to add to a monotonic time to get the wall clock time of the same moment."""
        return self.wall - self.monotonic

    def time_shift_from(self, recorded: ClockReading) -> float:
        """Seconds to add to a monotonic time recorded at `recorded`, to convert it to this clock."""
        same_boot = recorded.boot == self.boot
        if same_boot and (self.boot or recorded.monotonic <= self.monotonic):
            return 0.0
        return recorded.monotonic_to_wall - self.monotonic_to_wall


# For wall clock times, as in a spool without a clock record.
WALL_TIMES = ClockReading("wall", 0.0, 0.0)


def read_clocks() -> ClockReading:
    """Read both clocks."""
    return ClockReading(_boot_id(), time.monotonic(), time.time())


def _boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
