"""Data model of measured slopes, and how they are saved as JSON."""

from __future__ import annotations

import os
import platform
import statistics
import subprocess
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec

FOLDER = Path(__file__).parent
ROOT = FOLDER.parent.parent
# Written by `benchmarks/change_cost.py`, in the same format; its slopes are named after the way of change.
CHANGE_COST = "change_cost"

Values = dict[str, list[float]]  # by name of the slope


class Point(msgspec.Struct):
    """All values of one size. `spread` is the largest minus the smallest."""

    size: float
    values: list[float]
    median: float
    spread: float


class Fit(msgspec.Struct):
    """A straight line through the medians.

    `residual` is the largest distance of a median from the line, as a fraction of the largest median; it is
    large if the medians are not on a line. `interval` has the lowest and highest slope with any one size left
    out.
    """

    intercept: float
    slope: float
    residual: float
    interval: tuple[float, float] | None = None


class Slope(msgspec.Struct):
    name: str
    unit: str
    varied: str
    points: list[Point]
    fit: Fit


class Machine(msgspec.Struct):
    """`load` is the five-minute load average at the end of the run."""

    cores: int
    python: str
    load: float = 0.0


class Readings(msgspec.Struct):
    """One run of an experiment, saved as a JSON file. `commit` is the last one that changed the program."""

    date: str
    commit: str
    machine: Machine
    slopes: list[Slope]


@dataclass(frozen=True, slots=True)
class SlopeDefinition:
    """Definition of a slope that an experiment measures: name, unit of its values, and what is varied."""

    name: str
    unit: str
    varied: str


@dataclass(frozen=True, slots=True)
class Experiment:
    """`measure` takes a size and returns one or more values for each slope of `slopes`.

    `runs` has the number of runs for each size, in the order of `sizes`.
    """

    name: str
    slopes: Sequence[SlopeDefinition]
    sizes: Sequence[int]
    runs: Sequence[int]
    measure: Callable[[int], Values]


def point(size: float, values: list[float]) -> Point:
    return Point(size, values, statistics.median(values), max(values) - min(values))


def fit(points: Sequence[Point]) -> Fit:
    sizes, medians = [each.size for each in points], [each.median for each in points]
    if len(points) < 2:
        return Fit(medians[0], 0.0, 0.0)
    slope, intercept = statistics.linear_regression(sizes, medians)
    distances = [abs(y - intercept - slope * x) for x, y in zip(sizes, medians, strict=True)]
    largest = max(map(abs, medians)) or 1.0
    interval = None
    if len(points) > 2:
        partial_slopes = [
            statistics.linear_regression(
                sizes[:left_out] + sizes[left_out + 1 :], medians[:left_out] + medians[left_out + 1 :]
            ).slope
            for left_out in range(len(points))
        ]
        interval = min(partial_slopes), max(partial_slopes)
    return Fit(intercept, slope, max(distances) / largest, interval)


def program_commit() -> str:
    """The last commit that changed the program, with `-dirty` appended if its files have changed since."""
    git = ["git", "-C", str(ROOT)]
    paths = ["--", "laureldock"]
    last = subprocess.run(
        [*git, "log", "-1", "--format=%h", *paths], capture_output=True, text=True, check=True
    )
    changed = subprocess.run(
        [*git, "status", "--porcelain", *paths], capture_output=True, text=True, check=True
    )
    return last.stdout.strip() + ("-dirty" if changed.stdout.strip() else "")


def new_readings(slopes: list[Slope]) -> Readings:
    machine = Machine(os.cpu_count() or 1, platform.python_version(), round(os.getloadavg()[1], 1))
    return Readings(datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"), program_commit(), machine, slopes)


def save(path: Path, found: Readings) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")


def load(path: Path) -> Readings:
    """Raises OSError or msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Readings)


def load_slopes() -> dict[str, tuple[Readings, Slope]]:
    """All saved slopes by name, with the run that each comes from.

    Medians, spreads and lines are recomputed from the values here, whichever benchmark wrote the file.
    """
    found: dict[str, tuple[Readings, Slope]] = {}
    for path in sorted(FOLDER.glob("*.json")):
        run = load(path)
        for slope in run.slopes:
            name = f"one change: {slope.name}" if path.stem == CHANGE_COST else slope.name
            points = [point(each.size, each.values) for each in slope.points]
            found[name] = run, Slope(name, slope.unit, slope.varied, points, fit(points))
    return found
