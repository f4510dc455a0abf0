"""What a phase cost each member: differences of two samples, spreads over members, budgets. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from laureldock.rehearsal.scale.accounting import Traffic
from laureldock.rehearsal.scale.commands import Applied, EventCount, MemberSample, Sample
from laureldock.rehearsal.scale.real import RealSample

# What a dispatcher may spend on control at most.
CPU_BUDGET = 0.031  # of a core
MEMORY_BUDGET = 32e6  # bytes
TRAFFIC_BUDGET = 6000.0  # bytes a second
FORCE_BUDGET = 15.0  # seconds until a change is in force on all that are up


class Spread(Struct):
    """Over members."""

    median: float
    p99: float
    worst: float
    count: int


def quantile(values: list[float], share: float) -> float:
    """Of sorted values, by the nearest rank."""
    return values[min(len(values) - 1, int(share * len(values)))]


def spread(values: Iterable[float]) -> Spread | None:
    ordered = sorted(values)
    if not ordered:
        return None
    return Spread(statistics.median(ordered), quantile(ordered, 0.99), ordered[-1], len(ordered))


@dataclass(slots=True)
class Snapshot:
    """All members at one moment."""

    at: float  # monotonic seconds
    hosts: list[Sample]
    real: list[RealSample]
    bare: list[RealSample] = field(default_factory=list)  # real dispatchers without any control part
    controller: RealSample | None = None

    def members(self) -> dict[str, MemberSample]:
        return {member.name: member for host in self.hosts for member in host.members}


class ProcessCost(Struct):
    """Of real dispatchers, or of the hollow members of the same run, a member. Rates are a second."""

    members: int
    cpu_share: float
    memory_bytes: float
    datagrams_sent: float
    datagram_bytes_sent: float
    datagrams_received: float


class Comparison(Struct):
    """What hollow members cost the control part beside what real ones do, in the same seconds."""

    hollow: ProcessCost
    real: ProcessCost

    def ratios(self) -> dict[str, float]:
        """Hollow over real."""
        names = [name for name in ProcessCost.__struct_fields__ if name != "members"]
        return {
            name: getattr(self.hollow, name) / getattr(self.real, name)
            for name in names
            if getattr(self.real, name)
        }


class FalseFailures(Struct):
    """Members held to have failed that were up and could be reached by those who held it."""

    members: int = 0
    observers: int = 0


class Detection(Struct):
    """How a member that crashed was found; seconds from the crash."""

    member: str
    first: float
    last: float
    observers: int
    expected: int  # hollow members that were up


class ChangeTimes(Struct):
    """Seconds until a hollow member had a change in force, over all pairs of a member and a change.

    From when the change was sent to the controller, which is before it was accepted; of members that were cut
    off meanwhile, from the heal.
    """

    who: str
    changes: int
    members: int
    missing: int  # pairs that were not in force when the phase ended
    p50: float
    p99: float
    last: float


class PhaseResult(Struct):
    name: str
    about: str
    scaled: str
    seconds: float
    members_up: int
    cpu_share: Spread | None  # of a core, in a member's own callbacks
    process_cpu_share: Spread | None  # the whole process, the model of the network in it, by its members
    memory_bytes: Spread | None  # by process: what it grew by, by its members
    bytes_per_second: Spread | None  # both ways, payload
    bytes_sent_per_second: Spread | None
    messages_per_second: Spread | None  # both ways
    stream_bytes_per_second: Spread | None  # the part of them on the view's streams
    configuration_bytes_per_second: Spread | None
    real_cpu_share: Spread | None  # less what one without control parts takes
    real_memory_bytes: Spread | None
    comparison: Comparison | None
    settled_seconds: list[float | None]  # of each `Settle`, in order; none: not within its bound
    real_asked: bool  # whether real dispatchers' views were among those compared
    false_failures: FalseFailures
    detections: list[Detection]
    stalls: int  # members that found themselves late by half a period
    refutations: int
    change_times: list[ChangeTimes] = []
    in_force_seconds: list[float | None] = []  # of each `SettleConfiguration`, from the last disturbance
    controller_cpu_share: float | None = None
    controller_memory_bytes: float | None = None
    not_run: str = ""  # why the phase could not be played


def traffic_difference(after: Traffic, before: Traffic) -> Traffic:
    return Traffic(
        after.sent - before.sent,
        after.bytes_sent - before.bytes_sent,
        after.received - before.received,
        after.bytes_received - before.bytes_received,
    )


@dataclass(frozen=True, slots=True)
class MemberCost:
    """What one hollow member spent between two samples; rates are a second."""

    cpu_share: float
    datagrams: Traffic
    streams: Traffic
    configuration: Traffic
    seconds: float

    def rate(self, *amounts: int) -> float:
        return sum(amounts) / self.seconds

    @property
    def parts(self) -> tuple[Traffic, Traffic, Traffic]:
        return self.datagrams, self.streams, self.configuration

    @property
    def bytes_sent(self) -> float:
        return self.rate(*(part.bytes_sent for part in self.parts))

    @property
    def bytes_both_ways(self) -> float:
        return self.rate(*(part.bytes_sent + part.bytes_received for part in self.parts))

    @property
    def messages(self) -> float:
        return self.rate(*(part.sent + part.received for part in self.parts))

    def bytes_of(self, part: Traffic) -> float:
        return self.rate(part.bytes_sent + part.bytes_received)


def member_costs(before: Snapshot, after: Snapshot) -> list[MemberCost]:
    earlier, seconds = before.members(), after.at - before.at
    costs = []
    for name, member in after.members().items():
        first = earlier[name]
        costs.append(
            MemberCost(
                (member.cpu_seconds - first.cpu_seconds) / seconds,
                traffic_difference(member.view_datagrams, first.view_datagrams),
                traffic_difference(member.view_streams, first.view_streams),
                traffic_difference(member.configuration, first.configuration),
                seconds,
            )
        )
    return costs


def process_shares(before: Snapshot, after: Snapshot) -> list[float]:
    """Of each process of hollow members: its processor time over its members."""
    seconds = after.at - before.at
    return [
        (late.process_cpu_seconds - early.process_cpu_seconds) / seconds / len(late.members)
        for early, late in zip(before.hosts, after.hosts, strict=True)
    ]


def host_memory(after: Snapshot, empty: list[int]) -> list[float]:
    """Of each process of hollow members: what it has grown by since it was empty, over those up."""
    grown = []
    for host, bare in zip(after.hosts, empty, strict=True):
        up = sum(member.up for member in host.members)
        if up:
            grown.append((host.resident_bytes - bare) / up)
    return grown


@dataclass(frozen=True, slots=True)
class RealCosts:
    cpu_shares: list[float]
    memory: list[float]
    cost: ProcessCost | None


def real_costs(before: Snapshot, after: Snapshot) -> RealCosts:
    """Of the real dispatchers that lived through the phase, less the mean of those without control parts."""
    seconds = after.at - before.at
    earlier = {sample.name: sample for sample in before.real}
    pairs = [(earlier[late.name], late) for late in after.real if late.name in earlier]
    pairs = [(early, late) for early, late in pairs if late.cpu_seconds >= early.cpu_seconds]
    if not pairs:
        return RealCosts([], [], None)
    bare_cpu = bare_memory = 0.0
    if after.bare:
        bare_cpu = statistics.mean(
            (late.cpu_seconds - early.cpu_seconds) / seconds
            for early, late in zip(before.bare, after.bare, strict=True)
        )
        bare_memory = statistics.mean(sample.resident_bytes for sample in after.bare)
    shares = [(late.cpu_seconds - early.cpu_seconds) / seconds - bare_cpu for early, late in pairs]
    memory = [late.resident_bytes - bare_memory for _, late in pairs]
    cost = ProcessCost(
        members=len(pairs),
        cpu_share=statistics.mean(shares),
        memory_bytes=statistics.mean(memory),
        datagrams_sent=statistics.mean(late.datagrams_sent - early.datagrams_sent for early, late in pairs)
        / seconds,
        datagram_bytes_sent=statistics.mean(
            late.datagram_bytes_sent - early.datagram_bytes_sent for early, late in pairs
        )
        / seconds,
        datagrams_received=statistics.mean(
            late.datagrams_received - early.datagrams_received for early, late in pairs
        )
        / seconds,
    )
    return RealCosts(shares, memory, cost)


def hollow_cost(costs: list[MemberCost], process: list[float], memory: list[float]) -> ProcessCost:
    """As `real_costs` has it of real ones: the whole process, by its members."""
    return ProcessCost(
        members=len(costs),
        cpu_share=statistics.mean(process),
        memory_bytes=statistics.mean(memory) if memory else 0.0,
        datagrams_sent=statistics.mean(cost.datagrams.sent / cost.seconds for cost in costs),
        datagram_bytes_sent=statistics.mean(cost.datagrams.bytes_sent / cost.seconds for cost in costs),
        datagrams_received=statistics.mean(cost.datagrams.received / cost.seconds for cost in costs),
    )


def merge_events(samples: Iterable[Sample]) -> dict[tuple[str, str], EventCount]:
    """Over all processes, by event and member."""
    merged: dict[tuple[str, str], EventCount] = {}
    for sample in samples:
        for count in sample.events:
            known = merged.get((count.event, count.member))
            if known is None:
                merged[count.event, count.member] = EventCount(
                    count.event, count.member, count.observers, count.first, count.last
                )
            else:
                known.observers += count.observers
                known.first, known.last = min(known.first, count.first), max(known.last, count.last)
    return merged


@dataclass(frozen=True, slots=True)
class ProposedChange:
    version: int
    since: float  # wall clock, seconds since 1970


def change_times(
    who: str, changes: list[ProposedChange], applied: list[Applied], members: int
) -> ChangeTimes:
    """`applied`: of those of the `members` that came to any version."""
    waits: list[float] = []
    for member in applied:
        steps = list(zip(member.versions, member.at, strict=True))
        for change in changes:
            reached = [at for version, at in steps if version >= change.version]
            if reached:
                waits.append(max(0.0, min(reached) - change.since))
    waits.sort()
    waits = waits or [float("inf")]
    missing = len(changes) * members - sum(wait < float("inf") for wait in waits)
    return ChangeTimes(
        who, len(changes), members, missing, quantile(waits, 0.5), quantile(waits, 0.99), waits[-1]
    )
