"""Computes docs/CAPACITY.md from the saved slopes: `python -m benchmarks.capacity --write FILE`."""
