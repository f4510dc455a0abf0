"""Script of a scale run: the types of steps, and the predefined phases. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.scale.topology import RACK_MEMBERS, Topology

DAILY_CHANGES = 2700  # mean number of configuration changes per day
RATE_FACTOR = 10  # factor on the daily mean rate
BURST_CHANGES = 100
RESTARTS = 340  # one after the other
RESTART_SPACING = 10.0  # seconds between two restarts of a real rollout
MIN_QUIET_PERIODS = 6
LONG_CUT = 180.0  # seconds; the length of a partition that `regions` stands for


@dataclass(frozen=True, slots=True)
class Wait:
    seconds: float


@dataclass(frozen=True, slots=True)
class StartMembers:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartPrefilled:
    """Start hollow members one after the other, then fill their views with each other's records.

    Real members join afterwards.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopMembers:
    """`leave`: a planned stop, announced to the other members; otherwise a crash."""

    names: tuple[str, ...]
    leave: bool = False


@dataclass(frozen=True, slots=True)
class RestartEach:
    """Restart members one after the other, each with a planned stop. Real members are not restarted."""

    names: tuple[str, ...]
    interval: float  # seconds


@dataclass(frozen=True, slots=True)
class CutRegions:
    """Partition these regions from all others; they can still reach each other."""

    regions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ImpairRegions:
    """Impair all links between regions, but not those within them."""

    loss: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class HealLinks:
    """Reset all links to their state at the start."""


@dataclass(frozen=True, slots=True)
class Settle:
    """Wait until the views of all members that are up are equal, at most `within` seconds."""

    within: float


@dataclass(frozen=True, slots=True)
class ApplyChanges:
    count: int
    interval: float  # seconds between two proposals; 0: each as soon as the previous one is accepted


@dataclass(frozen=True, slots=True)
class SettleConfiguration:
    """Wait until the newest version is in force on all members that are up and reachable.

    Waits at most `within` seconds.
    """

    within: float = 60.0


Step = (
    Wait
    | StartMembers
    | StartPrefilled
    | StopMembers
    | RestartEach
    | CutRegions
    | ImpairRegions
    | HealLinks
    | Settle
    | ApplyChanges
    | SettleConfiguration
)


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of a run that is measured separately."""

    name: str
    about: str
    steps: tuple[Step, ...]
    scaled: str = ""  # what is faster or shorter than in the scenario that it represents


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in seconds; tests use shorter ones."""

    period: float
    after_start: float = 15.0
    quiet: float = 20.0
    cut: float = 45.0
    impaired: float = 20.0
    changes: float = 40.0
    restarts: int = RESTARTS
    restart_interval: float = 0.2
    settle_periods: float = 60.0
    filled: bool = False  # start hollow members with views that are already complete
    shortest: float = 15.0  # minimum length of a phase, over which rates are averaged

    @property
    def settle(self) -> Settle:
        return Settle(max(30.0, self.settle_periods * self.period))


PhaseFactory = Callable[[Topology, Timing, random.Random], Phase]


def start(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    names = tuple(topology.locations)
    first: Step = StartPrefilled(names) if timing.filled else StartMembers(names)
    about = (
        "hollow members that already know each other, and real ones that join"
        if timing.filled
        else "all start at once"
    )
    scaled = (
        "hollow members start one after the other and receive each other's records" if timing.filled else ""
    )
    return Phase("start", about, (first, timing.settle, SettleConfiguration()), scaled)


def after_start(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    return Phase(
        "after-start", "updates from the start are still being gossiped", (Wait(timing.after_start),)
    )


def quiet(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    return Phase("quiet", "nothing happens", (Wait(max(timing.quiet, MIN_QUIET_PERIODS * timing.period)),))


def lost(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    """Crash two members; one of them is a real dispatcher if there are several."""
    hollow, real = topology.members_of(real=False), topology.members_of(real=True)
    spare = [name for name in hollow if name not in topology.seeds()]
    victims = [rng.choice(spare), rng.choice(real)] if len(real) > 1 else rng.sample(spare, 2)
    return Phase("lost", "2 members crash", (StopMembers(tuple(victims)), timing.settle))


def restart_stopped(phase: Phase) -> Phase:
    """The phase that restarts the members that another phase stopped."""
    names = tuple(name for step in phase.steps if isinstance(step, StopMembers) for name in step.names)
    settle = next(step for step in phase.steps if isinstance(step, Settle))
    return Phase(
        f"{phase.name}-return", "stopped members return", (StartMembers(names), settle, SettleConfiguration())
    )


def restarts(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    hollow = topology.members_of(real=False)
    names = tuple(hollow[number % len(hollow)] for number in range(timing.restarts))
    steps = (RestartEach(names, timing.restart_interval), timing.settle, SettleConfiguration())
    faster = RESTART_SPACING / timing.restart_interval
    scaled = (
        f"one every {timing.restart_interval:g} s, not every {RESTART_SPACING:g} s: {faster:g} times faster"
    )
    return Phase("restarts", f"{timing.restarts} restarts, one after the other", steps, scaled)


def rack(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    zone = topology.zones[-1]
    inside = topology.members_of(zone=zone, real=False)
    victims = tuple(inside[: min(RACK_MEMBERS, max(1, len(inside) // 2))])
    return Phase("rack", f"a rack of {len(victims)} crashes", (StopMembers(victims), timing.settle))


def zone(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    victims = tuple(topology.members_of(zone=topology.zones[-1], real=False))
    return Phase("zone", f"a zone of {len(victims)} crashes", (StopMembers(victims), timing.settle))


def regions(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    half = tuple(topology.regions[len(topology.regions) // 2 :])
    steps = (CutRegions(half), Wait(timing.cut), HealLinks(), timing.settle, SettleConfiguration())
    scaled = f"partitioned for {timing.cut:g} s instead of {LONG_CUT:g} s"
    return Phase("regions", f"{' '.join(half)} partitioned from the others, then healed", steps, scaled)


def impaired(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    steps = (ImpairRegions(loss=0.05, slowdown=2.0), Wait(timing.impaired), HealLinks(), timing.settle)
    return Phase("impaired", "between regions: delays doubled and 5% lost", steps)


def changes(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    interval = 86400.0 / (DAILY_CHANGES * RATE_FACTOR)
    count = max(1, round(timing.changes / interval))
    about = f"changes of the configuration at {RATE_FACTOR} times the daily mean"
    return Phase("changes", about, (ApplyChanges(count, interval), SettleConfiguration()))


def burst(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    about = f"{BURST_CHANGES} changes of the configuration at once"
    return Phase("burst", about, (ApplyChanges(BURST_CHANGES, 0.0), SettleConfiguration()))


def changes_apart(topology: Topology, timing: Timing, rng: random.Random) -> Phase:
    """Propose changes while a region is partitioned from the one with the controller and real dispatchers."""
    isolated = (topology.regions[-1],)
    steps = (
        CutRegions(isolated),
        ApplyChanges(10, 1.0),
        SettleConfiguration(),
        HealLinks(),
        SettleConfiguration(),
        timing.settle,
    )
    return Phase("changes-apart", f"10 changes while {isolated[0]} is partitioned, then healed", steps)


PHASES: dict[str, PhaseFactory] = {
    "start": start,
    "after-start": after_start,
    "quiet": quiet,
    "changes": changes,
    "burst": burst,
    "lost": lost,
    "restarts": restarts,
    "rack": rack,
    "zone": zone,
    "impaired": impaired,
    "regions": regions,
    "changes-apart": changes_apart,
}


def plan(names: list[str], topology: Topology, timing: Timing, seed: int) -> list[Phase]:
    """The phases of a run in order; a phase that stops members is followed by one that restarts them.

    Raises ValueError for an unknown name.
    """
    unknown = [name for name in names if name not in PHASES]
    if unknown:
        raise ValueError(f"unknown phase {unknown[0]!r}; expected one of {', '.join(PHASES)}")
    rng = random.Random(seed)
    phases = [start(topology, timing, rng), after_start(topology, timing, rng)]
    for name in names:
        if name in ("start", "after-start"):
            continue
        phase = PHASES[name](topology, timing, rng)
        phases.append(phase)
        if any(isinstance(step, StopMembers) for step in phase.steps):
            phases.append(restart_stopped(phase))
    return phases
