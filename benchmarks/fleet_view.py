"""The view of the fleet against its size, in the model: detection, false failures, bytes, equal views.

    python -m benchmarks.fleet_view [--sizes 3,20,200,2000] [--seeds 5] [--plot docs/design/fleet-view.svg]

Times are periods. The plot needs matplotlib (the extra `plots`).
"""

from __future__ import annotations

import statistics
import time
from pathlib import Path
from typing import Any

import click

from laureldock.fleet.simulation import Simulation


def start_simulation(members: int, seed: int) -> Simulation:
    simulation = Simulation({f"d{place}": f"s{place % 3}" for place in range(members)}, seed)
    for name in simulation.hosts:
        simulation.start(name)
    return simulation


def quantile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else float("nan")


def crash(members: int, seed: int) -> dict[str, float]:
    """Joins, a quiet while, one crash, its return, a cut in halves that heals."""
    simulation = start_simulation(members, seed)
    told = {"join": simulation.settle(120.0)}
    simulation.run(simulation.now + 10)
    sent, size, began = simulation.datagrams_sent, simulation.bytes_sent, simulation.now
    simulation.run(simulation.now + 20)
    told["messages"] = (simulation.datagrams_sent - sent) / 20 / members
    told["bytes"] = (simulation.bytes_sent - size) / (simulation.now - began) / members
    at = simulation.now
    simulation.kill("d1")
    told["settled"] = simulation.settle(120.0)
    simulation.run(simulation.now + 2)
    mine = [
        (when - at, event.name)
        for when, _, event in simulation.events
        if when >= at and event.fields.get("member") == "d1"
    ]
    told["suspected"] = min((when for when, name in mine if name == "suspected"), default=float("nan"))
    failed = [when for when, name in mine if name == "failed"]
    told["first"], told["last"] = (min(failed), max(failed)) if failed else (float("nan"),) * 2
    simulation.start("d1")
    told["return"] = simulation.settle(120.0)
    half = [name for place, name in enumerate(simulation.hosts) if place % 2]
    pairs = [(one, other) for one in half for other in simulation.hosts if other not in set(half)]
    for sign in (1, -1):
        for one, other in pairs:
            simulation.network.link(one, other).cuts += sign
            simulation.network.link(other, one).cuts += sign
        if sign > 0:
            simulation.run(simulation.now + 40)
    told["heal"] = simulation.settle(120.0)
    return told


def false_failures(members: int, loss: float, stalling: bool, hours: float, seed: int) -> float:
    """Members held to have failed that had not, a member-hour (a period is a second)."""
    simulation = start_simulation(members, seed)
    simulation.settle(120.0)
    began, end = simulation.now, simulation.now + 3600 * hours
    simulation.network.loss = loss
    while simulation.now < end:
        if stalling:  # one in eight stands still for two periods, again and again
            for name in list(simulation.hosts)[::8]:
                simulation.stall(name, 2.0)
        simulation.run(simulation.now + 10)
    wrong = {
        (event.fields["member"], round(at / 10))
        for at, _, event in simulation.events
        if event.name == "failed" and at > began
    }
    return len(wrong) / (members * hours)


@click.command()
@click.option("--sizes", default="3,20,200", show_default=True)
@click.option("--seeds", default=5, show_default=True)
@click.option("--loss-members", default=20, show_default=True)
@click.option("--hours", default=0.25, show_default=True, help="Of the clock, for false failures.")
@click.option("--plot", "plotted", type=click.Path(path_type=Path))
def main(sizes: str, seeds: int, loss_members: int, hours: float, plotted: Path | None) -> None:
    rows: dict[str, Any] = {"sizes": {}, "false": {}}
    print("members  join  suspected  first failed  last failed  equal  return  heal  messages  bytes  wall s")
    for size in map(int, sizes.split(",")):
        began = time.monotonic()
        runs = [crash(size, seed) for seed in range(1, 2 if size > 500 else seeds + 1)]
        row = {name: [run[name] for run in runs] for name in runs[0]}
        rows["sizes"][size] = row
        median = {name: statistics.median(values) for name, values in row.items()}
        worst = {name: quantile(values, 0.99) for name, values in row.items()}
        cells = (
            f"{median[name]:.1f}/{worst[name]:.1f}"
            for name in ("join", "suspected", "first", "last", "settled", "return", "heal")
        )
        print(
            f"{size:7}  "
            + "  ".join(cells)
            + f"  {median['messages']:.2f}  {median['bytes']:.0f}  {time.monotonic() - began:.0f}",
            flush=True,
        )
    theory = 2.718281828 / 1.718281828
    print(
        f"SWIM's expected time to first detection: e/(e-1) = {theory:.2f} periods, and the probe's own period"
    )
    for stalling in (False, True) if hours else ():
        for loss in (0.0, 0.05, 0.2, 0.4):
            rate = false_failures(loss_members, loss, stalling, hours, 7)
            rows["false"][f"{loss:g}{' stalling' if stalling else ''}"] = rate
            name = f"loss {loss:.0%}" + (", one in eight stalling" if stalling else "")
            print(f"{name:32} {rate:.2f} false failures a member-hour", flush=True)
    if plotted:
        plot(rows, plotted)


def plot(rows: dict[str, Any], path: Path) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "laureldock"
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4), layout="constrained")
    sizes = list(rows["sizes"])
    for name, label in (
        ("suspected", "first suspicion"),
        ("first", "first failed"),
        ("last", "all know"),
        ("heal", "equal after a cut"),
    ):
        left.plot(
            sizes, [statistics.median(rows["sizes"][size][name]) for size in sizes], marker="o", label=label
        )
    left.axhline(2.718281828 / 1.718281828, linestyle=":", color="grey", label="SWIM, first detection")
    left.set(xscale="log", xlabel="members", ylabel="periods")
    left.legend(fontsize=7)
    right.plot(sizes, [statistics.median(rows["sizes"][size]["bytes"]) for size in sizes], marker="o")
    right.set(xscale="log", xlabel="members", ylabel="bytes a member and period", ylim=(0, None))
    figure.savefig(path, metadata={"Date": None})


if __name__ == "__main__":
    main()
