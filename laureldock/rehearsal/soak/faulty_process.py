"""The program as it is, with system calls that fail: `python -m ... FAULTS COMMAND ...`.

FAULTS is a JSON file (`FaultPlan`); the rest is what `laureldock` is told.
"""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

import msgspec

from laureldock.rehearsal.soak.system_calls import SystemCalls, Window


class FaultPlan(msgspec.Struct, frozen=True):
    """Which calls of a process fail when. `folder` is the one whose files fail."""

    folder: str
    seed: int
    windows: list[Window]

    def write(self, path: Path) -> None:
        """Put it where a process is told to find it. OSError."""
        path.write_bytes(msgspec.json.encode(self))


def main() -> None:
    """Install the faults, then run the program's own command line."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=FaultPlan)
    SystemCalls(Path(plan.folder), plan.seed, plan.windows).install()
    sys.argv = ["laureldock", *sys.argv[2:]]
    runpy.run_module("laureldock", run_name="__main__")


if __name__ == "__main__":
    main()
