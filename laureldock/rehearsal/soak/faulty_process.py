"""Runs the program with failing system calls: `python -m ... FAULTS COMMAND ...`.

FAULTS is a JSON file (`FaultPlan`); the rest are arguments of `laureldock`.
"""

from __future__ import annotations

import runpy
import sys
from pathlib import Path

import msgspec

from laureldock.rehearsal.soak.system_calls import FaultInjector, FaultWindow


class FaultPlan(msgspec.Struct, frozen=True):
    """The system calls of a process that fail, and when. `folder` is the one whose files are affected."""

    folder: str
    seed: int
    windows: list[FaultWindow]

    def write(self, path: Path) -> None:
        """Write the plan to the file that a process gets as FAULTS. Raises OSError."""
        path.write_bytes(msgspec.json.encode(self))


def main() -> None:
    """Install the faults, then run the command line of the program."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=FaultPlan)
    FaultInjector(Path(plan.folder), plan.seed, plan.windows).install()
    sys.argv = ["laureldock", *sys.argv[2:]]
    runpy.run_module("laureldock", run_name="__main__")


if __name__ == "__main__":
    main()
