"""docs/CAPACITY.md worked out from the slopes that are kept: `python -m benchmarks.capacity --write FILE`."""
