"""Checks a run of a script against its requirements, for processes and for the simulation. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from laureldock.rehearsal.fleet.script import Script


@dataclass(frozen=True, slots=True)
class ObservedEvent:
    """An event of a view; `at` is periods since all members were up, `by` the key of the observing member."""

    at: float
    by: str
    name: str
    member: str = ""


@dataclass(slots=True)
class Verdict:
    """The result of a run of a script."""

    script: str
    seed: int
    settled_periods: float  # from the last fault until all views were equal, and still were a period later
    events: list[ObservedEvent] = field(default_factory=list)
    actions: list[tuple[float, str]] = field(default_factory=list)
    bytes_per_member_period: float = 0.0
    broken: list[str] = field(default_factory=list)
    rules: list[tuple[str, int, int]] = field(default_factory=list)  # message rules: name, cases, violations
    violations: list[str] = field(default_factory=list)  # of message rules, each described

    @property
    def passed(self) -> bool:
        """Whether all requirements of the script were met."""
        return not self.broken

    def fields(self) -> dict[str, Any]:
        """Return the result as `--json` prints it."""
        return {
            "script": self.script,
            "seed": self.seed,
            "held": self.passed,
            "broken": self.broken,
            "settled_periods": round(self.settled_periods, 2),
            "events": len(self.events),
            "bytes_a_member_and_period": round(self.bytes_per_member_period, 1),
            "rules": [
                {"rule": rule, "counted": cases, "broken": broken} for rule, cases, broken in self.rules
            ],
        }


def judge(script: Script, verdict: Verdict, length: float) -> Verdict:
    """Check a run against the requirements of its script; `length` is in periods."""
    if verdict.settled_periods > script.within:
        verdict.broken.append(
            f"views not equal {script.within:g} periods after the last fault"
            f" (settled: {verdict.settled_periods:.1f})"
        )
    if script.spared:
        unaffected = set(script.member_names()) - script.affected_members(verdict.seed)
        if not script.step or any(step.do == "spoil" for step in script.step):
            unaffected = set(script.member_names())
        false_failures = [
            event for event in verdict.events if event.name == "failed" and event.member in unaffected
        ]
        if false_failures:
            verdict.broken.append(
                f"{false_failures[0].by} declared {false_failures[0].member} failed, though it was running"
            )
    if script.most_events:
        rate = len(verdict.events) / max(1.0, script.members * length)
        if rate > script.most_events:
            verdict.broken.append(f"{rate:.2f} events a member and period, over {script.most_events:g}")
    verdict.broken += [f"rule broken {broken} times: {rule}" for rule, _, broken in verdict.rules if broken]
    verdict.broken += verdict.violations
    return verdict


def format_timeline(script: Script, verdict: Verdict) -> list[str]:
    """Return the lines of a timeline of actions and events, with a column per member."""
    names = script.member_names()
    lines = [f"{'periods':>8}  " + " ".join(f"{name:^14}" for name in names)]
    rows: list[tuple[float, int, str]] = [(at, -1, text) for at, text in verdict.actions]
    for event in verdict.events:
        if event.by in names:
            rows.append((event.at, names.index(event.by), f"{event.name[:9]} {event.member}"))
    for at, column, text in sorted(rows):
        if column < 0:
            lines.append(f"{at:8.2f}  -- {text}")
        else:
            lines.append(f"{at:8.2f}  " + " " * (15 * column) + f"{text:^14}")
    return lines
