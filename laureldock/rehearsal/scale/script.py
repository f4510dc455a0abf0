"""What a scale run does to its members: typed steps, and the phases that are shipped. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from laureldock.rehearsal.scale.topology import RACK_MEMBERS, Topology

DAILY_CHANGES = 2700  # of the configuration, in the mean
RATE_FACTOR = 10  # times the daily mean
BURST_CHANGES = 100
RESTARTS = 340  # in a row
RESTART_SPACING = 10.0  # seconds between two of them as they are rolled out
QUIET_PERIODS = 6  # at least
LONG_CUT = 180.0  # seconds that regions are apart


@dataclass(frozen=True, slots=True)
class Wait:
    seconds: float


@dataclass(frozen=True, slots=True)
class StartMembers:
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StartFilled:
    """Hollow ones start one after the other and then know each other at once, as if they had met before.

    Real ones join then.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StopMembers:
    """`leave`: planned, told to the others; else a crash."""

    names: tuple[str, ...]
    leave: bool = False


@dataclass(frozen=True, slots=True)
class RestartEach:
    """One after the other, each leaving and coming back; real ones are spared."""

    names: tuple[str, ...]
    interval: float  # seconds


@dataclass(frozen=True, slots=True)
class CutRegions:
    """These regions apart from all others; among themselves they still meet."""

    regions: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ImpairRegions:
    """The links between all regions, but not within them."""

    loss: float
    slowdown: float


@dataclass(frozen=True, slots=True)
class HealLinks:
    """All links as at the start."""


@dataclass(frozen=True, slots=True)
class Settle:
    """Wait until the views of all members that are up are equal, for `within` seconds at most."""

    within: float


@dataclass(frozen=True, slots=True)
class ApplyChanges:
    count: int
    interval: float  # seconds between two proposals; 0: each as soon as the one before is accepted


@dataclass(frozen=True, slots=True)
class SettleConfiguration:
    """Wait until the newest version is in force on all that are up and can be reached, so long at most."""

    within: float = 60.0


Step = (
    Wait
    | StartMembers
    | StartFilled
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
    """A part of a run that is measured by itself."""

    name: str
    about: str
    steps: tuple[Step, ...]
    scaled: str = ""  # what is faster or shorter than what it stands for


@dataclass(frozen=True, slots=True)
class Timing:
    """Lengths in seconds; a short run for tests has shorter ones."""

    period: float
    after_start: float = 15.0
    quiet: float = 20.0
    cut: float = 45.0
    impaired: float = 20.0
    changes: float = 40.0
    restarts: int = RESTARTS
    restart_interval: float = 0.2
    settle_periods: float = 60.0
    filled: bool = False  # hollow members start with views of all others
    shortest: float = 15.0  # of a phase: rates are means over it

    @property
    def settle(self) -> Settle:
        return Settle(max(30.0, self.settle_periods * self.period))


PhaseFactory = Callable[[Topology, Timing, random.Random], Phase]


def start(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    names = tuple(topology.places)
    first: Step = StartFilled(names) if timing.filled else StartMembers(names)
    about = (
        "hollow members, known to each other, and real ones that join"
        if timing.filled
        else "all start at once"
    )
    scaled = "hollow members start in a row and are given each other's records" if timing.filled else ""
    return Phase("start", about, (first, timing.settle, SettleConfiguration()), scaled)


def after_start(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    return Phase("after-start", "the news of the start still goes round", (Wait(timing.after_start),))


def quiet(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    return Phase("quiet", "nothing happens", (Wait(max(timing.quiet, QUIET_PERIODS * timing.period)),))


def lost(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    """One of the two is a real dispatcher where there are any to spare."""
    hollow, real = topology.members_of(real=False), topology.members_of(real=True)
    spare = [name for name in hollow if name not in topology.seeds()]
    victims = [chance.choice(spare), chance.choice(real)] if len(real) > 1 else chance.sample(spare, 2)
    return Phase("lost", "2 members crash", (StopMembers(tuple(victims)), timing.settle))


def return_lost(phase: Phase) -> Phase:
    """The members that a phase stopped come back."""
    names = tuple(name for step in phase.steps if isinstance(step, StopMembers) for name in step.names)
    settle = next(step for step in phase.steps if isinstance(step, Settle))
    return Phase(
        f"{phase.name}-return", "and come back", (StartMembers(names), settle, SettleConfiguration())
    )


def restarts(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    hollow = topology.members_of(real=False)
    names = tuple(hollow[number % len(hollow)] for number in range(timing.restarts))
    steps = (RestartEach(names, timing.restart_interval), timing.settle, SettleConfiguration())
    faster = RESTART_SPACING / timing.restart_interval
    scaled = (
        f"one each {timing.restart_interval:g} s for one each {RESTART_SPACING:g} s: {faster:g} times faster"
    )
    return Phase("restarts", f"{timing.restarts} restarts in a row", steps, scaled)


def rack(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    zone = topology.zones[-1]
    inside = topology.members_of(zone=zone, real=False)
    victims = tuple(inside[: min(RACK_MEMBERS, max(1, len(inside) // 2))])
    return Phase("rack", f"a rack of {len(victims)} crashes", (StopMembers(victims), timing.settle))


def zone(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    victims = tuple(topology.members_of(zone=topology.zones[-1], real=False))
    return Phase("zone", f"a zone of {len(victims)} crashes", (StopMembers(victims), timing.settle))


def regions(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    half = tuple(topology.regions[len(topology.regions) // 2 :])
    steps = (CutRegions(half), Wait(timing.cut), HealLinks(), timing.settle, SettleConfiguration())
    scaled = f"apart for {timing.cut:g} s for {LONG_CUT:g} s"
    return Phase("regions", f"{' '.join(half)} apart from the others, then healed", steps, scaled)


def impaired(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    steps = (ImpairRegions(loss=0.05, slowdown=2.0), Wait(timing.impaired), HealLinks(), timing.settle)
    return Phase("impaired", "between regions: delays doubled and 5% lost", steps)


def changes(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    interval = 86400.0 / (DAILY_CHANGES * RATE_FACTOR)
    count = max(1, round(timing.changes / interval))
    about = f"changes of the configuration at {RATE_FACTOR} times the daily mean"
    return Phase("changes", about, (ApplyChanges(count, interval), SettleConfiguration()))


def burst(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    about = f"{BURST_CHANGES} changes of the configuration at once"
    return Phase("burst", about, (ApplyChanges(BURST_CHANGES, 0.0), SettleConfiguration()))


def changes_apart(topology: Topology, timing: Timing, chance: random.Random) -> Phase:
    """The controller stands with the real dispatchers; those cut off hear of no change until the heal."""
    away = (topology.regions[-1],)
    steps = (
        CutRegions(away),
        ApplyChanges(10, 1.0),
        SettleConfiguration(),
        HealLinks(),
        SettleConfiguration(),
        timing.settle,
    )
    return Phase("changes-apart", f"10 changes while {away[0]} is cut off, then healed", steps)


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
    """The phases of a run in their order; what a phase stopped comes back in one of its own. ValueError."""
    unknown = [name for name in names if name not in PHASES]
    if unknown:
        raise ValueError(f"no script {unknown[0]!r}; one of {', '.join(PHASES)}")
    chance = random.Random(seed)
    phases = [start(topology, timing, chance), after_start(topology, timing, chance)]
    for name in names:
        if name in ("start", "after-start"):
            continue
        phase = PHASES[name](topology, timing, chance)
        phases.append(phase)
        if any(isinstance(step, StopMembers) for step in phase.steps):
            phases.append(return_lost(phase))
    return phases
