"""Membership protocol by fleet size, simulated: detection, false failures, bytes, convergence of views.

    python -m benchmarks.fleet_view [--sizes 3,20,200,2000] [--seeds 5] [--plot docs/design/fleet-view.svg]

Times are in periods. The plot requires matplotlib (the extra `plots`).
"""

from __future__ import annotations

import statistics
import time
from pathlib import Path
from typing import Any

import click

from laureldock.fleet.simulation import Simulation


def start_simulation(members: int, seed: int) -> Simulation:
    simulation = Simulation({f"d{number}": f"s{number % 3}" for number in range(members)}, seed)
    for name in simulation.hosts:
        simulation.start(name)
    return simulation


def quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else float("nan")


def crash(members: int, seed: int) -> dict[str, float]:
    """Simulate a joint start, a quiet time, a crash, the member's return, and a partition that heals."""
    simulation = start_simulation(members, seed)
    results = {"join": simulation.settle(120.0)}
    simulation.run(simulation.now + 10)
    sent, size, started_at = simulation.datagrams_sent, simulation.bytes_sent, simulation.now
    simulation.run(simulation.now + 20)
    results["messages"] = (simulation.datagrams_sent - sent) / 20 / members
    results["bytes"] = (simulation.bytes_sent - size) / (simulation.now - started_at) / members
    at = simulation.now
    simulation.kill("d1")
    results["settled"] = simulation.settle(120.0)
    simulation.run(simulation.now + 2)
    crash_events = [
        (when - at, event.name)
        for when, _, event in simulation.events
        if when >= at and event.fields.get("member") == "d1"
    ]
    results["suspected"] = min(
        (when for when, name in crash_events if name == "suspected"), default=float("nan")
    )
    failed = [when for when, name in crash_events if name == "failed"]
    results["first"], results["last"] = (min(failed), max(failed)) if failed else (float("nan"),) * 2
    simulation.start("d1")
    results["return"] = simulation.settle(120.0)
    half = [name for number, name in enumerate(simulation.hosts) if number % 2]
    pairs = [(one, other) for one in half for other in simulation.hosts if other not in set(half)]
    for cut_change in (1, -1):
        for one, other in pairs:
            simulation.network.link(one, other).cuts += cut_change
            simulation.network.link(other, one).cuts += cut_change
        if cut_change > 0:
            simulation.run(simulation.now + 40)
    results["heal"] = simulation.settle(120.0)
    return results


def false_failures(members: int, loss: float, stalling: bool, hours: float, seed: int) -> float:
    """Members wrongly marked as failed, per member-hour (a period is one second)."""
    simulation = start_simulation(members, seed)
    simulation.settle(120.0)
    started_at, end = simulation.now, simulation.now + 3600 * hours
    simulation.network.loss = loss
    while simulation.now < end:
        if stalling:  # one member in eight stalls for two periods, repeatedly
            for name in list(simulation.hosts)[::8]:
                simulation.stall(name, 2.0)
        simulation.run(simulation.now + 10)
    wrongly_failed = {
        (event.fields["member"], round(at / 10))
        for at, _, event in simulation.events
        if event.name == "failed" and at > started_at
    }
    return len(wrongly_failed) / (members * hours)


@click.command()
@click.option("--sizes", default="3,20,200", show_default=True)
@click.option("--seeds", default=5, show_default=True)
@click.option("--loss-members", default=20, show_default=True)
@click.option("--hours", default=0.25, show_default=True, help="Simulated time for false failures.")
@click.option("--plot", "plot_path", type=click.Path(path_type=Path))
def main(sizes: str, seeds: int, loss_members: int, hours: float, plot_path: Path | None) -> None:
    rows: dict[str, Any] = {"sizes": {}, "false": {}}
    print("members  join  suspected  first failed  last failed  equal  return  heal  messages  bytes  wall s")
    for size in map(int, sizes.split(",")):
        started_at = time.monotonic()
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
            + f"  {median['messages']:.2f}  {median['bytes']:.0f}  {time.monotonic() - started_at:.0f}",
            flush=True,
        )
    theory = 2.718281828 / 1.718281828
    print(f"SWIM's expected time to first detection: e/(e-1) = {theory:.2f} periods, plus the probe period")
    for stalling in (False, True) if hours else ():
        for loss in (0.0, 0.05, 0.2, 0.4):
            rate = false_failures(loss_members, loss, stalling, hours, 7)
            rows["false"][f"{loss:g}{' stalling' if stalling else ''}"] = rate
            name = f"loss {loss:.0%}" + (", one in eight stalling" if stalling else "")
            print(f"{name:32} {rate:.2f} false failures per member-hour", flush=True)
    if plot_path:
        plot(rows, plot_path)


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
