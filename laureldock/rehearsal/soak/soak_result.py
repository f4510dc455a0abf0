"""Result of the soak of one dispatcher."""

from __future__ import annotations

from dataclasses import dataclass, field

from laureldock.rehearsal.rule_checks import RuleResult


@dataclass(slots=True)
class SoakResult:
    """Result of the soak of one dispatcher."""

    name: str
    seed: int
    submitted: int = 0
    accepted: int = 0
    delivered: int = 0
    restarts: int = 0
    handovers: int = 0
    faults: list[str] = field(default_factory=list)
    rule_results: list[RuleResult] = field(default_factory=list)
    invariant_violations: int = 0  # as the dispatcher's processes logged them
    errors: list[str] = field(default_factory=list)  # crashes, exceptions, processes that ended too late
    # Seconds for which this process, and so its stub receivers, was not scheduled, at most.
    longest_stall: float = 0.0
    longest_stall_at: float = 0.0  # when it began, in seconds from the start of the load
    highest_memory: int = 0  # bytes that were resident in all processes together; 0 if nobody looked
    # Stalls of this process, waits that receivers requested, and restarts.
    periods: list[str] = field(default_factory=list)
    # Of each message that violated a rule: what stubs and clients observed, then what its processes logged.
    message_histories: list[str] = field(default_factory=list)

    @property
    def failures(self) -> list[str]:
        """Rule violations, invariant violations and errors."""
        found = [f"{each.rule}: {case}" for each in self.rule_results for case in each.violations]
        if self.invariant_violations:
            found.append(f"{self.invariant_violations} invariant violations; see the log")
        return found + self.errors

    def report(self) -> list[str]:
        """The failures, with the histories of their messages and the faults of the run, line by line."""
        if not self.failures:
            return []
        details = [*self.message_histories, *self.faults, *self.periods]
        return [f"  {each}" for each in self.failures] + [f"    {each}" for each in details]

    def summary(self) -> str:
        """The figures of the run in one line."""
        return (
            f"seed {self.seed}: {'BROKEN' if self.failures else 'held'}; {self.submitted} handed in,"
            f" {self.accepted} accepted, {self.delivered} delivered, {self.restarts} restarts,"
            f" {self.handovers} hand-overs, {len(self.faults)} faults; stub receivers stalled for"
            f" {self.longest_stall:.2f}s at most, at {self.longest_stall_at:.1f}s"
            + (f"; {self.highest_memory / 1e6:.1f} MB at most" if self.highest_memory else "")
        )
