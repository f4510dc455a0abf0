"""Measures the slopes from which docs/CAPACITY.md is computed; each experiment writes a JSON file.

    python -m benchmarks.capacity_slopes [--only NAME] [--quick] [--to benchmarks/slopes]

CPU time is read from the kernel's clock of each process, because a busy machine distorts it less than wall
time. Running all experiments took about 40 minutes next to 20 to 50 other processes; the time on an idle
machine was not measured. `--quick` measures each size once and skips the largest; its figures are not for
publication.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import click

from benchmarks.slopes import configuration, controlled, fleet, mails, owed, thin_load
from benchmarks.slopes.model import FOLDER, Experiment, Readings, Slope, fit, load, new_readings, point, save

EXPERIMENTS = [
    *configuration.EXPERIMENTS,
    *owed.EXPERIMENTS,
    *fleet.EXPERIMENTS,
    *mails.EXPERIMENTS,
    *thin_load.EXPERIMENTS,
    *controlled.EXPERIMENTS,
]


def run(experiment: Experiment, quick: bool, only: Sequence[int] = ()) -> Readings:
    """Run an experiment for all sizes, or only for some, with the number of runs that it defines."""
    sizes = experiment.sizes[:-1] if quick else experiment.sizes
    values: dict[str, dict[int, list[float]]] = {each.name: {} for each in experiment.slopes}
    for size, runs in zip(sizes, experiment.runs, strict=False):
        if only and size not in only:
            continue
        started_at = time.monotonic()
        for _ in range(1 if quick else runs):
            for name, found in experiment.measure(size).items():
                values[name].setdefault(size, []).extend(found)
        click.echo(f"  {experiment.name} {size}: {time.monotonic() - started_at:.0f} s", err=True)
    slopes = []
    for measured in experiment.slopes:
        points = [point(size, found) for size, found in values[measured.name].items()]
        slopes.append(Slope(measured.name, measured.unit, measured.varied, points, fit(points)))
    return new_readings(slopes)


def merge_previous(path: Path, found: Readings) -> Readings:
    """Add the sizes that were measured before with the same commit of the program."""
    if not path.exists() or (previous := load(path)).commit != found.commit:
        return found
    previous_points = {slope.name: slope.points for slope in previous.slopes}
    slopes = []
    for slope in found.slopes:
        new_sizes = {each.size for each in slope.points}
        points = slope.points + [
            each for each in previous_points.get(slope.name, []) if each.size not in new_sizes
        ]
        points.sort(key=lambda each: each.size)
        slopes.append(Slope(slope.name, slope.unit, slope.varied, points, fit(points)))
    return new_readings(slopes)


def format_slope(slope: Slope) -> str:
    lines = [f"{slope.name} ({slope.unit}) against {slope.varied}"]
    lines += [f"  {each.size:>9g}  {each.median:.6g}  spread {each.spread:.3g}" for each in slope.points]
    low, high = slope.fit.interval or (slope.fit.slope, slope.fit.slope)
    lines.append(
        f"  {slope.fit.intercept:.4g} + {slope.fit.slope:.4g} each ({low:.4g} to {high:.4g}),"
        f" residual {slope.fit.residual:.1%}"
    )
    return "\n".join(lines)


@click.command()
@click.option("--only", multiple=True, type=click.Choice([each.name for each in EXPERIMENTS]))
@click.option("--size", multiple=True, type=int, help="Only these; other sizes that are saved stay.")
@click.option("--quick", is_flag=True, help="Each size once, without the largest: a trial run.")
@click.option("--to", default=FOLDER, type=click.Path(file_okay=False, path_type=Path), show_default=True)
def main(only: tuple[str, ...], size: tuple[int, ...], quick: bool, to: Path) -> None:
    for experiment in EXPERIMENTS:
        if not only or experiment.name in only:
            path = to / f"{experiment.name}.json"
            found = merge_previous(path, run(experiment, quick, size))
            save(path, found)
            for slope in found.slopes:
                click.echo(format_slope(slope))


if __name__ == "__main__":
    main()
