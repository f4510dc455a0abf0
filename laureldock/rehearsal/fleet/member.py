"""A member of a rehearsed fleet: the program as it is, with its wall clock so many seconds off.

Run as `python -m laureldock.rehearsal.fleet.member SECONDS ARGUMENTS...`.
"""

from __future__ import annotations

import runpy
import sys
import time


def main() -> None:
    off = float(sys.argv.pop(1))
    if off:
        real = time.time
        time.time = lambda: real() + off
    runpy.run_module("laureldock", run_name="__main__")  # what it imports takes the clock as it finds it


if __name__ == "__main__":
    main()
