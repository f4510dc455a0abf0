"""What a soak of one dispatcher has shown."""

from __future__ import annotations

from dataclasses import dataclass, field

from laureldock.rehearsal.rule_checks import Verdict


@dataclass(slots=True)
class Findings:
    """What a soak of one dispatcher has shown."""

    name: str
    seed: int
    handed_in: int = 0
    accepted: int = 0
    delivered: int = 0
    restarts: int = 0
    hand_overs: int = 0
    troubles: list[str] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    violations: int = 0  # of invariants, as the process counted them
    defects: list[str] = field(default_factory=list)  # crashes, exceptions, ends that came late
    held_up: float = 0.0  # seconds for which the stand-ins stood still, at most
    held_up_at: float = 0.0  # when that began, in seconds from the start of the load
    stories: list[str] = field(default_factory=list)  # of each message for which a rule was broken

    @property
    def broken(self) -> list[str]:
        """All that should not have been seen."""
        found = [f"{each.rule}: {case}" for each in self.verdicts for case in each.broken]
        if self.violations:
            found.append(f"{self.violations} invariant violations; see the log")
        return found + self.defects
