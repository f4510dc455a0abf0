"""Report of a scale run as text and as JSON; each phase is compared with the budgets. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from laureldock.rehearsal.scale.measures import (
    CPU_BUDGET,
    IN_FORCE_BUDGET,
    MEMORY_BUDGET,
    TRAFFIC_BUDGET,
    PhaseResult,
    Spread,
)
from laureldock.rehearsal.scale.settings import RunResult, RunSettings

OVER = "over"
WITHIN = "within"


class BudgetCheck(msgspec.Struct):
    """One measure of one phase, compared with its budget."""

    measure: str
    budget: float
    median: float
    p99: float
    worst: float
    verdict: str  # "within", or "over" and which statistics exceed the budget


def check_budget(measure: str, budget: float, values: Spread) -> BudgetCheck:
    over = [
        name
        for name, value in (("median", values.median), ("p99", values.p99), ("worst", values.worst))
        if value > budget
    ]
    verdict = f"{OVER}: {', '.join(over)}" if over else WITHIN
    return BudgetCheck(measure, budget, values.median, values.p99, values.worst, verdict)


def scaled_spread(values: Spread, factor: float) -> Spread:
    return Spread(values.median * factor, values.p99 * factor, values.worst * factor, values.count)


def budget_checks(phase: PhaseResult, period: float) -> list[BudgetCheck]:
    """Compare a phase with the budgets, for a period of 1 s.

    All intervals of the membership protocol scale with its period, so rates are multiplied by the period.
    """
    checks = []
    for measure, budget, values, factor in (
        ("processor share", CPU_BUDGET, phase.cpu_share, period),
        ("processor share, whole process", CPU_BUDGET, phase.process_cpu_share, period),
        ("processor share, real", CPU_BUDGET, phase.real_cpu_share, period),
        ("bytes a second", TRAFFIC_BUDGET, phase.bytes_per_second, period),
        ("memory bytes", MEMORY_BUDGET, phase.memory_bytes, 1.0),
        ("memory bytes, real", MEMORY_BUDGET, phase.real_memory_bytes, 1.0),
    ):
        if values:
            checks.append(check_budget(measure, budget, scaled_spread(values, factor)))
    for change in phase.change_times:
        in_force = Spread(change.p50, change.p99, change.last, change.changes * change.members)
        checks.append(check_budget("seconds until in force", IN_FORCE_BUDGET, in_force))
        if change.missing:
            checks[-1].verdict = f"{OVER}: {change.missing} not in force when the wait ended"
    waits = [float("inf") if each is None else each for each in phase.in_force_seconds]
    if waits:
        longest = max(waits)
        same = Spread(longest, longest, longest, len(waits))
        checks.append(check_budget("seconds until the newest is in force", IN_FORCE_BUDGET, same))
    return checks


# Text


def cell(values: Spread | None, factor: float, digits: int) -> str:
    """Median, p99 and worst value."""
    if values is None:
        return "-"
    return "/".join(f"{value * factor:.{digits}f}" for value in (values.median, values.p99, values.worst))


def settled_cell(phase: PhaseResult) -> str:
    if not phase.settled_seconds:
        return "-"
    return " ".join("never" if each is None else f"{each:.1f}" for each in phase.settled_seconds)


def table(result: RunResult) -> list[str]:
    settings = result.settings
    lines = header(settings, result)
    row = "{:14} {:>5} {:>5} {:>7} {:>15} {:>18} {:>17} {:>14} {:>6} {:>6}"
    lines.append(
        row.format(
            "phase", "s", "up", "equal s", "cpu % of a core", "kB/s, both ways", "messages/s", "MB",
            "false", "stalls",
        )
    )  # fmt: skip
    for phase in result.phases:
        if phase.not_run:
            lines.append(f"{phase.name:14} not run: {phase.not_run}")
            continue
        lines.append(
            row.format(
                phase.name,
                f"{phase.seconds:.0f}",
                phase.members_up,
                settled_cell(phase),
                cell(phase.cpu_share, 100, 2),
                cell(phase.bytes_per_second, 1e-3, 2),
                cell(phase.messages_per_second, 1, 1),
                cell(phase.memory_bytes, 1e-6, 2),
                phase.false_failures.members,
                phase.stalls,
            )
        )
        lines += notes(phase)
    lines += ["", *budget_lines(result), "", *comparison_lines(result)]
    if result.ended_early:
        lines.append(result.ended_early)
    return lines


def header(settings: RunSettings, result: RunResult) -> list[str]:
    world, period = settings.world, settings.timing.period
    lines = [
        f"{world.hollow} hollow and {world.real} real members, {len(world.zones)} regions with"
        f" {sum(world.zones)} zones, seed {world.seed}, period {period:g} s, {result.processes} processes,"
        f" {result.seconds:.0f} s, {result.peak_bytes / 1e9:.2f} GB at most",
        "median/p99/worst of hollow members, mean over each phase; bytes are payload",
    ]
    if period != 1.0:
        lines.append(
            f"rates as measured; budgets are compared with {period:g} times them, for a period of 1 s"
        )
    return lines


def notes(phase: PhaseResult) -> list[str]:
    lines = [f"    {phase.about}" + (f"; scaled: {phase.scaled}" if phase.scaled else "")]
    for found in phase.detections:
        lines.append(
            f"    {found.member}: marked as failed by {found.observers} of {found.expected},"
            f" {found.first:.1f} to {found.last:.1f} s after its crash"
        )
    for change in phase.change_times:
        lines.append(
            f"    {change.changes} changes on {change.members} hollow members {change.who}: in force after"
            f" {change.p50:.3f} s (p50), {change.p99:.3f} s (p99), {change.last:.3f} s (last);"
            f" {change.missing} missing"
        )
    if phase.in_force_seconds:
        waits = ", ".join("never" if each is None else f"{each:.1f} s" for each in phase.in_force_seconds)
        lines.append(f"    newest version in force on all members, including real ones, after {waits}")
    if phase.controller_cpu_share is not None and phase.controller_memory_bytes is not None:
        lines.append(
            f"    controller: {phase.controller_cpu_share:.2%} of a core,"
            f" {phase.controller_memory_bytes / 1e6:.1f} MB"
        )
    return lines


def budget_lines(result: RunResult) -> list[str]:
    """One line for each measure, with the phases in which it exceeds its budget."""
    period = result.settings.timing.period
    by_measure: dict[str, list[tuple[str, BudgetCheck]]] = {}
    for phase in result.phases:
        for each in budget_checks(phase, period):
            by_measure.setdefault(each.measure, []).append((phase.name, each))
    lines = ["budgets"]
    for measure, checks in by_measure.items():
        budget = checks[0][1].budget
        over = [
            f"{name} ({each.verdict.removeprefix(f'{OVER}: ')})"
            for name, each in checks
            if each.verdict != WITHIN
        ]
        worst = max(each.worst for _, each in checks)
        verdicts = f"{OVER} in {'; '.join(over)}" if over else WITHIN
        lines.append(f"  {measure} (at most {budget:g}; worst seen {worst:.4g}): {verdicts}")
    return lines


def comparison_lines(result: RunResult) -> list[str]:
    """Ratios of hollow to real members, for each phase."""
    lines = []
    for phase in result.phases:
        if phase.comparison is None:
            continue
        ratios = ", ".join(f"{name} {ratio:.2f}" for name, ratio in phase.comparison.ratios().items())
        lines.append(f"  {phase.name}: {ratios}")
    if lines:
        lines.insert(0, "ratio of hollow to real members, in the same region and period of time")
    return lines


# JSON


def document(result: RunResult) -> dict[str, Any]:
    """The whole result as builtins, including the verdicts."""
    settings, period = result.settings, result.settings.timing.period
    phases = []
    for phase in result.phases:
        fields = msgspec.to_builtins(phase)
        fields["budgets"] = msgspec.to_builtins(budget_checks(phase, period))
        if phase.comparison:
            fields["comparison"]["hollow_over_real"] = phase.comparison.ratios()
        phases.append(fields)
    return {
        "world": msgspec.to_builtins(settings.world),
        "timing": msgspec.to_builtins(settings.timing),
        "processes": result.processes,
        "seconds": result.seconds,
        "peak_bytes": result.peak_bytes,
        "ended_early": result.ended_early,
        "phases": phases,
    }


def as_json(result: RunResult) -> bytes:
    return msgspec.json.format(msgspec.json.encode(document(result)), indent=1) + b"\n"
