"""Settings and result of a scale run. No I/O."""

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
    members_per_process: int = 64
    max_bytes: int = 11_000_000_000  # resident, sum over all processes; the run is stopped above it
    controller: bool = True  # start a controller whose configuration stream all members follow


@dataclass(slots=True)
class RunResult:
    settings: RunSettings
    processes: int
    phases: list[PhaseResult] = field(default_factory=list)
    seconds: float = 0.0
    peak_bytes: int = 0  # resident, sum over all processes of the run
    ended_early: str = ""  # reason; empty if the run was played to its end
