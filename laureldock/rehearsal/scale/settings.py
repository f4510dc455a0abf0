"""What a scale run is told, and what it gives. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from laureldock.rehearsal.scale import script
from laureldock.rehearsal.scale.measures import PhaseResult
from laureldock.rehearsal.scale.topology import World


@dataclass(frozen=True, slots=True)
class RunSettings:
    world: World
    timing: script.Timing
    phases: list[str]
    folder: Path
    members_of_process: int = 64
    max_bytes: int = 11_000_000_000  # resident, all processes together; over it the run is ended
    controller: bool = True  # whether there is a controller, and all follow it


@dataclass(slots=True)
class RunResult:
    settings: RunSettings
    processes: int
    phases: list[PhaseResult] = field(default_factory=list)
    seconds: float = 0.0
    peak_bytes: int = 0  # resident, all processes of the run together
    ended_early: str = ""  # why
