"""Resource usage per member in a phase: differences of two samples, distributions, budgets. No I/O."""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct

from laureldock.rehearsal.scale.accounting import Traffic
from laureldock.rehearsal.scale.commands import Applied, EventCount, MemberSample, Sample
from laureldock.rehearsal.scale.real import RealSample

# Limits on what control (membership and configuration) may cost a dispatcher.
CPU_BUDGET = 0.031  # of a core
MEMORY_BUDGET = 32e6  # bytes
TRAFFIC_BUDGET = 6000.0  # bytes per second
IN_FORCE_BUDGET = 15.0  # seconds until a change is in force on all members that are up


class Spread(Struct):
    """Distribution of a value over members."""

    median: float
    p99: float
    worst: float
    count: int


def quantile(values: list[float], fraction: float) -> float:
    """Quantile of sorted values, by nearest rank."""
    return values[min(len(values) - 1, int(fraction * len(values)))]


def spread(values: Iterable[float]) -> Spread | None:
    ordered = sorted(values)
    if not ordered:
        return None
    return Spread(statistics.median(ordered), quantile(ordered, 0.99), ordered[-1], len(ordered))


@dataclass(slots=True)
class Snapshot:
    """Samples of all members at one time."""

    at: float  # monotonic seconds
    hosts: list[Sample]
    real: list[RealSample]
    baseline: list[RealSample] = field(
        default_factory=list
    )  # real dispatchers without membership and controller
    controller: RealSample | None = None

    def members(self) -> dict[str, MemberSample]:
        return {member.name: member for host in self.hosts for member in host.members}


class ProcessCost(Struct):
    """Mean cost per real dispatcher, or per hollow member of the same run. Rates are per second."""

    members: int
    cpu_share: float
    memory_bytes: float
    datagrams_sent: float
    datagram_bytes_sent: float
    datagrams_received: float


class Comparison(Struct):
    """Cost of control for hollow members and for real dispatchers over the same period."""

    hollow: ProcessCost
    real: ProcessCost

    def ratios(self) -> dict[str, float]:
        """Hollow divided by real."""
        names = [name for name in ProcessCost.__struct_fields__ if name != "members"]
        return {
            name: getattr(self.hollow, name) / getattr(self.real, name)
            for name in names
            if getattr(self.real, name)
        }


class FalseFailures(Struct):
    """Members marked as failed although they were up and reachable from the observers."""

    members: int = 0
    observers: int = 0


class Detection(Struct):
    """Detection of a crashed member; times are seconds since the crash."""

    member: str
    first: float
    last: float
    observers: int
    expected: int  # hollow members that were up


class ChangeTimes(Struct):
    """Seconds until a hollow member had a change in force, over all pairs of a member and a change.

    Counted from when the change was sent to the controller, which is before it was accepted; for members that
    were partitioned from the controller, from the end of the partition.
    """

    who: str
    changes: int
    members: int
    missing: int  # pairs that were not in force at the end of the phase
    p50: float
    p99: float
    last: float


class PhaseResult(Struct):
    name: str
    about: str
    scaled: str
    seconds: float
    members_up: int
    cpu_share: Spread | None  # fraction of a core, in a member's own callbacks
    process_cpu_share: Spread | None  # the whole process with its network model, divided by its members
    memory_bytes: Spread | None  # growth of each process, divided by its members
    bytes_per_second: Spread | None  # payload, sent and received
    bytes_sent_per_second: Spread | None
    messages_per_second: Spread | None  # sent and received
    stream_bytes_per_second: Spread | None  # bytes on the view's streams
    configuration_bytes_per_second: Spread | None
    real_cpu_share: Spread | None  # minus that of a dispatcher without control
    real_memory_bytes: Spread | None
    comparison: Comparison | None
    settled_seconds: list[float | None]  # of each `Settle`, in order; None: not in time
    real_asked: bool  # whether the views of real dispatchers were compared too
    false_failures: FalseFailures
    detections: list[Detection]
    stalls: int  # how often members noticed that they were late by half a period
    refutations: int
    change_times: list[ChangeTimes] = []
    in_force_seconds: list[float | None] = []  # of each `SettleConfiguration`, since the last disturbance
    controller_cpu_share: float | None = None
    controller_memory_bytes: float | None = None
    not_run: str = ""  # why the phase was not run


def traffic_difference(after: Traffic, before: Traffic) -> Traffic:
    return Traffic(
        after.sent - before.sent,
        after.bytes_sent - before.bytes_sent,
        after.received - before.received,
        after.bytes_received - before.bytes_received,
    )


@dataclass(frozen=True, slots=True)
class MemberCost:
    """Resource usage of one hollow member between two samples; rates are per second."""

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


def process_cpu_shares(before: Snapshot, after: Snapshot) -> list[float]:
    """CPU share of each process of hollow members, divided by its members."""
    seconds = after.at - before.at
    return [
        (late.process_cpu_seconds - early.process_cpu_seconds) / seconds / len(late.members)
        for early, late in zip(before.hosts, after.hosts, strict=True)
    ]


def host_memory(after: Snapshot, empty: list[int]) -> list[float]:
    """Memory growth of each process of hollow members since it was empty, divided by its live members."""
    grown = []
    for host, empty_bytes in zip(after.hosts, empty, strict=True):
        up = sum(member.up for member in host.members)
        if up:
            grown.append((host.resident_bytes - empty_bytes) / up)
    return grown


@dataclass(frozen=True, slots=True)
class RealCosts:
    cpu_shares: list[float]
    memory: list[float]
    cost: ProcessCost | None


def real_costs(before: Snapshot, after: Snapshot) -> RealCosts:
    """Costs of the real dispatchers that ran throughout the phase, minus the mean of the baseline ones."""
    seconds = after.at - before.at
    earlier = {sample.name: sample for sample in before.real}
    pairs = [(earlier[late.name], late) for late in after.real if late.name in earlier]
    pairs = [(early, late) for early, late in pairs if late.cpu_seconds >= early.cpu_seconds]
    if not pairs:
        return RealCosts([], [], None)
    baseline_cpu = baseline_memory = 0.0
    if after.baseline:
        baseline_cpu = statistics.mean(
            (late.cpu_seconds - early.cpu_seconds) / seconds
            for early, late in zip(before.baseline, after.baseline, strict=True)
        )
        baseline_memory = statistics.mean(sample.resident_bytes for sample in after.baseline)
    shares = [(late.cpu_seconds - early.cpu_seconds) / seconds - baseline_cpu for early, late in pairs]
    memory = [late.resident_bytes - baseline_memory for _, late in pairs]
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
    """The counterpart of `real_costs`: the whole process, divided by its members."""
    return ProcessCost(
        members=len(costs),
        cpu_share=statistics.mean(process),
        memory_bytes=statistics.mean(memory) if memory else 0.0,
        datagrams_sent=statistics.mean(cost.datagrams.sent / cost.seconds for cost in costs),
        datagram_bytes_sent=statistics.mean(cost.datagrams.bytes_sent / cost.seconds for cost in costs),
        datagrams_received=statistics.mean(cost.datagrams.received / cost.seconds for cost in costs),
    )


def merge_events(samples: Iterable[Sample]) -> dict[tuple[str, str], EventCount]:
    """Event counts over all processes, by event and member."""
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
    counted_from: float  # Unix time


def change_times(
    who: str, changes: list[ProposedChange], applied: list[Applied], members: int
) -> ChangeTimes:
    """`applied`: of those among the `members` that applied any version."""
    waits: list[float] = []
    for member in applied:
        steps = list(zip(member.versions, member.at, strict=True))
        for change in changes:
            reached = [at for version, at in steps if version >= change.version]
            if reached:
                waits.append(max(0.0, min(reached) - change.counted_from))
    waits.sort()
    waits = waits or [float("inf")]
    missing = len(changes) * members - sum(wait < float("inf") for wait in waits)
    return ChangeTimes(
        who, len(changes), members, missing, quantile(waits, 0.5), quantile(waits, 0.99), waits[-1]
    )
