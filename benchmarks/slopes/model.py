"""What a measured slope is, and how it is kept as JSON."""

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
# Written by `benchmarks/change_cost.py`, in the same form; its slopes are named after the way of changing.
CHANGE_COST = "change_cost"

Values = dict[str, list[float]]  # by the name of a slope


class Point(msgspec.Struct):
    """All values of one size. `spread` is the largest less the smallest."""

    size: float
    values: list[float]
    median: float
    spread: float


class Fit(msgspec.Struct):
    """A straight line through the medians.

    `residual` is the largest distance of a median from the line, as a share of the largest median: a bend
    shows in it. `interval` holds the least and the greatest slope when any one size is left out.
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
    """`load` is how many processes wanted a core at the end, on average of the last minutes."""

    cores: int
    python: str
    load: float = 0.0


class Readings(msgspec.Struct):
    """One run of an experiment: a JSON file. `commit` is the last one that changed the program."""

    date: str
    commit: str
    machine: Machine
    slopes: list[Slope]


@dataclass(frozen=True, slots=True)
class Measured:
    """A slope that an experiment measures: its name, the unit of its values, and what is varied."""

    name: str
    unit: str
    varied: str


@dataclass(frozen=True, slots=True)
class Experiment:
    """`measure` takes a size and gives one or more values for each slope of `slopes`.

    `runs` says how often each size is measured anew, in the order of `sizes`.
    """

    name: str
    slopes: Sequence[Measured]
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
        rest = [
            statistics.linear_regression(
                sizes[:left_out] + sizes[left_out + 1 :], medians[:left_out] + medians[left_out + 1 :]
            ).slope
            for left_out in range(len(points))
        ]
        interval = min(rest), max(rest)
    return Fit(intercept, slope, max(distances) / largest, interval)


def program_commit() -> str:
    """The last commit that changed the program, and `-dirty` where files of it differ from it."""
    told = ["git", "-C", str(ROOT)]
    paths = ["--", "laureldock"]
    last = subprocess.run(
        [*told, "log", "-1", "--format=%h", *paths], capture_output=True, text=True, check=True
    )
    changed = subprocess.run(
        [*told, "status", "--porcelain", *paths], capture_output=True, text=True, check=True
    )
    return last.stdout.strip() + ("-dirty" if changed.stdout.strip() else "")


def readings(slopes: list[Slope]) -> Readings:
    machine = Machine(os.cpu_count() or 1, platform.python_version(), round(os.getloadavg()[1], 1))
    return Readings(datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"), program_commit(), machine, slopes)


def save(path: Path, found: Readings) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")


def load(path: Path) -> Readings:
    """OSError, msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=Readings)


def kept() -> dict[str, tuple[Readings, Slope]]:
    """Every slope that is kept, by name, with the run that it came from.

    Medians, spreads and lines are those of its values by this module's rules, whichever benchmark wrote it.
    """
    found: dict[str, tuple[Readings, Slope]] = {}
    for path in sorted(FOLDER.glob("*.json")):
        run = load(path)
        for slope in run.slopes:
            name = f"one change: {slope.name}" if path.stem == CHANGE_COST else slope.name
            points = [point(each.size, each.values) for each in slope.points]
            found[name] = run, Slope(name, slope.unit, slope.varied, points, fit(points))
    return found
