"""What is asked of a run of a script, whether it was played by processes or in the model. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from laureldock.rehearsal.fleet.script import Script


@dataclass(frozen=True, slots=True)
class ObservedEvent:
    """An event of a view: when (in periods from when all were up), by whom, what."""

    at: float
    by: str
    name: str
    member: str = ""


@dataclass(slots=True)
class Verdict:
    script: str
    seed: int
    settled: float  # periods after the last fault until all views were equal, and stayed so for one
    events: list[ObservedEvent] = field(default_factory=list)
    deeds: list[tuple[float, str]] = field(default_factory=list)
    bytes_each: float = 0.0  # a member and period
    broken: list[str] = field(default_factory=list)
    rules: list[tuple[str, int, int]] = field(default_factory=list)  # of mails: rule, cases, broken
    cases: list[str] = field(default_factory=list)  # in which a rule of mails was broken

    @property
    def held(self) -> bool:
        return not self.broken

    def fields(self) -> dict[str, Any]:
        return {
            "script": self.script,
            "seed": self.seed,
            "held": self.held,
            "broken": self.broken,
            "settled_periods": round(self.settled, 2),
            "events": len(self.events),
            "bytes_a_member_and_period": round(self.bytes_each, 1),
            "rules": [
                {"rule": rule, "counted": cases, "broken": broken} for rule, cases, broken in self.rules
            ],
        }


def judge(script: Script, verdict: Verdict, length: float) -> Verdict:
    """Hold a run against what its script asks; `length` in periods."""
    if verdict.settled > script.within:
        verdict.broken.append(
            f"views not equal {script.within:g} periods after the last fault (settled: {verdict.settled:.1f})"
        )
    if script.spared:
        alone = set(script.names()) - script.touched(verdict.seed)
        if not script.step or any(step.do == "spoil" for step in script.step):
            alone = set(script.names())
        wrong = [told for told in verdict.events if told.name == "failed" and told.member in alone]
        if wrong:
            verdict.broken.append(f"{wrong[0].by} held {wrong[0].member} to have failed, and it had not")
    if script.most_events:
        rate = len(verdict.events) / max(1.0, script.members * length)
        if rate > script.most_events:
            verdict.broken.append(f"{rate:.2f} events a member and period, over {script.most_events:g}")
    verdict.broken += [f"rule broken {broken} times: {rule}" for rule, _, broken in verdict.rules if broken]
    verdict.broken += verdict.cases
    return verdict


def side_by_side(script: Script, verdict: Verdict) -> list[str]:
    """A time line of all members, a column each: what was done, and what each held of whom."""
    names = script.names()
    lines = [f"{'periods':>8}  " + " ".join(f"{name:^14}" for name in names)]
    rows: list[tuple[float, int, str]] = [(at, -1, text) for at, text in verdict.deeds]
    for told in verdict.events:
        if told.by in names:
            rows.append((told.at, names.index(told.by), f"{told.name[:9]} {told.member}"))
    for at, column, text in sorted(rows):
        if column < 0:
            lines.append(f"{at:8.2f}  -- {text}")
        else:
            lines.append(f"{at:8.2f}  " + " " * (15 * column) + f"{text:^14}")
    return lines
