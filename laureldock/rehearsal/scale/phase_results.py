"""Computes the result of a phase from its samples and events. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from laureldock.rehearsal.scale import measures
from laureldock.rehearsal.scale.configuration import AcceptedChange
from laureldock.rehearsal.scale.hosts import HostProcess
from laureldock.rehearsal.scale.measures import ChangeTimes, PhaseResult, ProposedChange, Snapshot
from laureldock.rehearsal.scale.script import Phase
from laureldock.rehearsal.scale.topology import Topology


@dataclass(slots=True)
class PhaseRecord:
    """What happened during a phase."""

    stopped: dict[str, float] = field(default_factory=dict)  # Unix time of the stop, by member
    crashed: list[str] = field(default_factory=list)
    cut: set[tuple[str, str]] = field(default_factory=set)  # pairs of regions
    settled: list[float | None] = field(default_factory=list)
    real_asked: bool = False
    proposed: list[AcceptedChange] = field(default_factory=list)
    in_force: list[float | None] = field(default_factory=list)
    healed_at: float = 0.0  # Unix time
    not_run: str = ""


@dataclass(frozen=True, slots=True)
class PhaseEvaluator:
    """Evaluates a phase. `up`: the members that are up at its end."""

    topology: Topology
    hosts: list[HostProcess]
    up: set[str]
    record: PhaseRecord

    @property
    def hollow_up(self) -> list[str]:
        return [name for host in self.hosts for name in host.names if name in self.up]

    def result(self, phase: Phase, before: Snapshot, after: Snapshot) -> PhaseResult:
        record, spread = self.record, measures.spread
        costs = measures.member_costs(before, after)
        process = measures.process_cpu_shares(before, after)
        memory = measures.host_memory(after, [host.empty_bytes for host in self.hosts])
        real_costs = measures.real_costs(before, after)
        hollow = self._compared_cost(before, after)
        earlier = before.members()
        controller_share = None
        if before.controller and after.controller:
            spent = after.controller.cpu_seconds - before.controller.cpu_seconds
            controller_share = spent / (after.at - before.at)
        return PhaseResult(
            name=phase.name,
            about=phase.about,
            scaled=phase.scaled,
            seconds=after.at - before.at,
            members_up=len(self.up),
            cpu_share=spread(cost.cpu_share for cost in costs),
            process_cpu_share=spread(process),
            memory_bytes=spread(memory),
            bytes_per_second=spread(cost.bytes_both_ways for cost in costs),
            bytes_sent_per_second=spread(cost.bytes_sent for cost in costs),
            messages_per_second=spread(cost.messages for cost in costs),
            stream_bytes_per_second=spread(cost.bytes_of(cost.streams) for cost in costs),
            configuration_bytes_per_second=spread(cost.bytes_of(cost.configuration) for cost in costs)
            if after.controller
            else None,
            real_cpu_share=spread(real_costs.cpu_shares),
            real_memory_bytes=spread(real_costs.memory),
            comparison=measures.Comparison(hollow, real_costs.cost) if hollow and real_costs.cost else None,
            settled_seconds=record.settled,
            real_asked=record.real_asked,
            false_failures=self.false_failures(after),
            detections=self._detections(after),
            stalls=sum(member.stalls - earlier[name].stalls for name, member in after.members().items()),
            refutations=sum(
                member.refutations - earlier[name].refutations for name, member in after.members().items()
            ),
            change_times=self._change_times(after),
            in_force_seconds=record.in_force,
            controller_cpu_share=controller_share,
            controller_memory_bytes=float(after.controller.resident_bytes) if after.controller else None,
            not_run=record.not_run,
        )

    def _compared_cost(self, before: Snapshot, after: Snapshot) -> measures.ProcessCost | None:
        """Cost of the hollow members in the region of the real ones, which have the same network delays."""
        region = self.topology.regions[0]
        chosen = [number for number, host in enumerate(self.hosts) if host.region == region]
        if not chosen:
            return None
        early, late = (
            Snapshot(snapshot.at, [snapshot.hosts[number] for number in chosen], [])
            for snapshot in (before, after)
        )
        empty = [self.hosts[number].empty_bytes for number in chosen]
        return measures.hollow_cost(
            measures.member_costs(early, late),
            measures.process_cpu_shares(early, late),
            measures.host_memory(late, empty),
        )

    def false_failures(self, after: Snapshot) -> measures.FalseFailures:
        """Count false failures.

        The failure of a member is not a false one if the member was stopped in this phase, or if a partition
        separated it from the observer.
        """
        wrong: set[str] = set()
        observers = 0
        for host, sample in zip(self.hosts, after.hosts, strict=True):
            for count in sample.events:
                if count.event != "failed" or count.member in self.record.stopped:
                    continue
                location = self.topology.locations.get(count.member)
                if (
                    location
                    and (host.region, location.region) not in self.record.cut
                    and count.member in self.up
                ):
                    wrong.add(count.member)
                    observers += count.observers
        return measures.FalseFailures(len(wrong), observers)

    def _detections(self, after: Snapshot) -> list[measures.Detection]:
        events = measures.merge_events(after.hosts)
        expected = len(self.hollow_up)
        found = []
        for name in self.record.crashed:
            count = events.get(("failed", name))
            at = self.record.stopped[name]
            if count is None:
                found.append(measures.Detection(name, float("inf"), float("inf"), 0, expected))
            else:
                times = count.first - at, count.last - at
                found.append(measures.Detection(name, *times, count.observers, expected))
        return found

    def _change_times(self, after: Snapshot) -> list[ChangeTimes]:
        """Change times of the hollow members that could reach the controller, and of the partitioned ones."""
        record, controller_region = self.record, self.topology.controller_location.region
        applied = {each.member: each for host in after.hosts for each in host.applied}
        hollow_up = self.hollow_up
        isolated = {
            name
            for name in hollow_up
            if (controller_region, self.topology.locations[name].region) in record.cut
        }
        groups = (
            ("within reach", [name for name in hollow_up if name not in isolated], 0.0),
            ("cut off, from the heal", sorted(isolated), record.healed_at),
        )
        found = []
        for who, names, earliest in groups:
            if not names or not record.proposed:
                continue
            changes = [
                ProposedChange(change.version, max(earliest, change.proposed_at))
                for change in record.proposed
            ]
            reached = [applied[name] for name in names if name in applied]
            found.append(measures.change_times(who, changes, reached, len(names)))
        return found
