"""A member of a rehearsed fleet: the unmodified program, with its wall clock offset by some seconds.

Run as `python -m laureldock.rehearsal.fleet.member SECONDS ARGUMENTS...`.
"""

from __future__ import annotations

import runpy
import sys
import time


def main() -> None:
    clock_offset = float(sys.argv.pop(1))
    if clock_offset:
        real_time = time.time
        time.time = lambda: real_time() + clock_offset
    runpy.run_module("laureldock", run_name="__main__")  # its modules see the replaced clock


if __name__ == "__main__":
    main()
