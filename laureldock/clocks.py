"""The clocks of the machine, and what a time that was recorded by one process is to the next one.

Times that outlive a process are of the monotonic clock: it goes on between processes of one boot, and no step
of the wall clock moves it. Only after a reboot, when it begins anew, is the wall clock asked how much passed.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")  # proc(5): another one after each boot


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Both clocks at one moment, in seconds, and the boot that the monotonic one counts from."""

    boot: str  # empty where the system does not tell
    monotonic: float
    wall: float

    @property
    def monotonic_to_wall(self) -> float:
        """Seconds from a time of the monotonic clock to the same instant on the wall clock."""
        return self.wall - self.monotonic

    def shift_of(self, recorded: ClockReading) -> float:
        """Seconds to add to a monotonic time recorded beside an earlier reading, to have it on this clock."""
        same_boot = recorded.boot == self.boot
        if same_boot and (self.boot or recorded.monotonic <= self.monotonic):
            return 0.0
        return recorded.monotonic_to_wall - self.monotonic_to_wall


# Beside times of the wall clock, as a spool without a clock record has them.
WALL_TIMES = ClockReading("wall", 0.0, 0.0)


def read_clocks() -> ClockReading:
    """Both clocks now."""
    return ClockReading(_boot_id(), time.monotonic(), time.time())


def _boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
