"""Plot of scale runs. Requires matplotlib, the extra `plots`."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from laureldock.rehearsal.scale.measures import CPU_BUDGET, MEMORY_BUDGET, TRAFFIC_BUDGET


def plot(documents: list[dict[str, Any]], path: Path) -> None:
    """Plot a bar for each phase and run: median, with a line up to the worst value, and the budget.

    Raises ImportError if matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    panels = (
        ("cpu_share", "CPU, % of a core", 100.0, CPU_BUDGET, True),
        ("bytes_per_second", "kB/s, both ways", 1e-3, TRAFFIC_BUDGET, True),
        ("memory_bytes", "memory, MB", 1e-6, MEMORY_BUDGET, False),
    )
    names = list(dict.fromkeys(phase["name"] for document in documents for phase in document["phases"]))
    figure, axes = pyplot.subplots(len(panels), 1, figsize=(9, 8), sharex=True, layout="constrained")
    width = 0.8 / len(documents)
    for axis, (field, label, unit, budget, is_rate) in zip(axes, panels, strict=True):
        for number, document in enumerate(documents):
            factor = unit * (document["timing"]["period"] if is_rate else 1.0)
            phases = [phase for phase in document["phases"] if phase[field] and not phase["not_run"]]
            positions = [
                names.index(phase["name"]) + (number - (len(documents) - 1) / 2) * width for phase in phases
            ]
            medians = [phase[field]["median"] * factor for phase in phases]
            above = [
                phase[field]["worst"] * factor - median for phase, median in zip(phases, medians, strict=True)
            ]
            members = document["world"]["hollow"] + document["world"]["real"]
            axis.bar(
                positions,
                medians,
                width,
                yerr=[[0.0] * len(above), above],
                capsize=2,
                label=f"{members} members",
            )
        axis.axhline(budget * unit, linestyle=":", color="black", label="budget")
        axis.set_ylabel(label)
        axis.set_yscale("log")
    axes[0].legend(fontsize=7)
    axes[0].set_title("median and worst of hollow members, mean over a phase, at a period of 1 s", fontsize=9)
    axes[-1].set_xticks(range(len(names)), names, rotation=45, ha="right")
    figure.savefig(path, dpi=80)


def plot_files(paths: list[Path], path: Path) -> None:
    """Plot runs that were saved as JSON."""
    plot([json.loads(each.read_bytes()) for each in paths], path)
