"""Measure the slopes that docs/CAPACITY.md is worked out from; each experiment writes a JSON file.

    python -m benchmarks.capacity_slopes [--only NAME] [--quick] [--to benchmarks/slopes]

Processor time is read from the kernel's clock of each process, so that a busy machine spoils it less than
wall time. All experiments one after the other took some 40 minutes beside 20 to 50 other processes; on a free
machine the time was not measured. `--quick` measures each size once and leaves the largest out; its figures
belong on no page.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from pathlib import Path

import click

from benchmarks.slopes import configuration, controlled, fleet, mails, owed, thin_load
from benchmarks.slopes.model import FOLDER, Experiment, Readings, Slope, fit, load, point, readings, save

EXPERIMENTS = [
    *configuration.EXPERIMENTS,
    *owed.EXPERIMENTS,
    *fleet.EXPERIMENTS,
    *mails.EXPERIMENTS,
    *thin_load.EXPERIMENTS,
    *controlled.EXPERIMENTS,
]


def run(experiment: Experiment, quick: bool, only: Sequence[int] = ()) -> Readings:
    """Every size, or only some, as often as the experiment says."""
    sizes = experiment.sizes[:-1] if quick else experiment.sizes
    values: dict[str, dict[int, list[float]]] = {each.name: {} for each in experiment.slopes}
    for size, runs in zip(sizes, experiment.runs, strict=False):
        if only and size not in only:
            continue
        began = time.monotonic()
        for _ in range(1 if quick else runs):
            for name, found in experiment.measure(size).items():
                values[name].setdefault(size, []).extend(found)
        click.echo(f"  {experiment.name} {size}: {time.monotonic() - began:.0f} s", err=True)
    slopes = []
    for measured in experiment.slopes:
        points = [point(size, found) for size, found in values[measured.name].items()]
        slopes.append(Slope(measured.name, measured.unit, measured.varied, points, fit(points)))
    return readings(slopes)


def merged(path: Path, found: Readings) -> Readings:
    """With the sizes that were measured before of the same program."""
    if not path.exists() or (before := load(path)).commit != found.commit:
        return found
    kept = {slope.name: slope.points for slope in before.slopes}
    slopes = []
    for slope in found.slopes:
        fresh = {each.size for each in slope.points}
        points = slope.points + [each for each in kept.get(slope.name, []) if each.size not in fresh]
        points.sort(key=lambda each: each.size)
        slopes.append(Slope(slope.name, slope.unit, slope.varied, points, fit(points)))
    return readings(slopes)


def show(slope: Slope) -> str:
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
@click.option("--size", multiple=True, type=int, help="Only these; other sizes that are kept stay.")
@click.option("--quick", is_flag=True, help="Each size once, without the largest: a trial.")
@click.option("--to", default=FOLDER, type=click.Path(file_okay=False, path_type=Path), show_default=True)
def main(only: tuple[str, ...], size: tuple[int, ...], quick: bool, to: Path) -> None:
    for experiment in EXPERIMENTS:
        if not only or experiment.name in only:
            path = to / f"{experiment.name}.json"
            found = merged(path, run(experiment, quick, size))
            save(path, found)
            for slope in found.slopes:
                click.echo(show(slope))


if __name__ == "__main__":
    main()
