"""Run as `python -m laureldock.benchlink`: batches on standard input, replies on standard output."""

import sys

from laureldock.benchlink.wire import WireError, serve


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"benchlink: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
