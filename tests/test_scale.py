"""The scale run: network model, measures and report; and a small run with real processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet.task import Clock

from laureldock.rehearsal.scale import measures, report, script
from laureldock.rehearsal.scale.accounting import ResourceUsage, Traffic
from laureldock.rehearsal.scale.commands import Applied, EventCount, MemberSample, Sample
from laureldock.rehearsal.scale.measures import ProposedChange, Spread
from laureldock.rehearsal.scale.network import RETRANSMISSION_TIMEOUT, Network
from laureldock.rehearsal.scale.phase_results import PhaseEvaluator, PhaseRecord
from laureldock.rehearsal.scale.plot import plot
from laureldock.rehearsal.scale.runner import ScaleRun
from laureldock.rehearsal.scale.script import PHASES, Timing
from laureldock.rehearsal.scale.settings import RunResult, RunSettings
from laureldock.rehearsal.scale.shaping import MemberReactor, StreamDelayQueue
from laureldock.rehearsal.scale.topology import (
    BETWEEN_ZONES_DELAY,
    WITHIN_ZONE_DELAY,
    MemberLocation,
    Topology,
    World,
)

# Topology and network


def topology(hollow: int = 45, real: int = 3) -> Topology:
    return Topology(World(hollow, real, net=77))


def test_six_regions_with_fifteen_zones_and_the_delays_between_them() -> None:
    found = topology()
    assert len(found.regions) == 6 and len(found.zones) == 15
    assert {len(found.members_of(zone=zone, real=False)) for zone in found.zones} == {3}
    assert {found.locations[name].zone for name in found.members_of(real=True)} == {"r1-z1"}
    delays = {
        found.delay(one, other)
        for one in found.locations.values()
        for other in found.locations.values()
        if one.region != other.region
    }
    assert min(delays) == 0.030 and max(delays) == pytest.approx(0.150) and len(delays) == 15
    here = found.locations["real000"]
    in_zone, in_region = found.members_of(zone="r1-z1")[-1], found.members_of(zone="r1-z2")[0]
    assert found.delay(here, found.locations[in_zone]) == WITHIN_ZONE_DELAY
    assert found.delay(here, found.locations[in_region]) == BETWEEN_ZONES_DELAY


def test_each_member_is_identified_by_its_own_address() -> None:
    found = topology(1500, 24)
    assert len(found.by_host) == len(found.locations) + 1 == 1525
    assert all(found.location_of_host(location.host) is location for location in found.locations.values())
    assert found.location_of_host(found.controller_location.host) == found.controller_location
    assert found.location_of_host("127.0.0.1") is None
    with pytest.raises(ValueError, match="members"):
        topology(0, 0)


def far_pair(found: Topology) -> tuple[MemberLocation, MemberLocation]:
    return found.locations[found.members_of(region="r1")[0]], found.locations[
        found.members_of(region="r6")[0]
    ]


def test_networks_with_the_same_seed_lose_the_same_datagrams() -> None:
    def fates(seed: str) -> list[float | None]:
        found = topology()
        network = Network(found, seed)
        network.link("r6", "r1").loss = 0.3
        return [network.datagram_delay(*far_pair(found)) for _ in range(1000)]

    first = fates("1")
    assert first == fates("1") != fates("2")
    assert 250 < first.count(None) < 350
    found = topology()
    delay = found.delay(*far_pair(found))
    assert all(delay <= each <= 1.1 * delay for each in first if each is not None)


def test_a_cut_link_drops_everything_and_a_slow_link_delays() -> None:
    found = topology()
    network, pair = Network(found, "1"), far_pair(found)
    state = network.link("r1", "r6")
    state.cut = True
    assert network.datagram_delay(*pair) is None and network.is_cut(*pair) and network.is_cut(*pair[::-1])
    state.cut, state.slowdown, state.loss = False, 3.0, 1.0
    assert network.datagram_delay(*pair) is None
    assert network.stream_delay(*pair) >= 3.0 * found.delay(*pair) + RETRANSMISSION_TIMEOUT


def member_reactor(found: Topology, clock: Clock, name: str) -> MemberReactor:
    return MemberReactor(clock, Network(found, "1"), found.locations[name], ResourceUsage())


def test_a_stream_keeps_its_order_and_stalls_while_its_link_is_cut() -> None:
    found, clock = topology(), Clock()
    sender, receiver = far_pair(found)
    reactor = member_reactor(found, clock, sender.name)
    came: list[bytes] = []
    delayed = StreamDelayQueue(reactor, sender, receiver, came.append)
    sent = [bytes([number]) for number in range(50)]
    for chunk in sent[:25]:
        delayed.put(chunk)
        clock.advance(0.001)
    assert came == []
    clock.advance(0.3)
    assert came == sent[:25]
    reactor.network.link(sender.region, receiver.region).cut = True
    for chunk in sent[25:]:
        delayed.put(chunk)
    clock.pump([0.05] * 200)
    assert came == sent[:25]
    reactor.network.link(sender.region, receiver.region).cut = False
    clock.pump([0.05] * 10)
    assert came == sent


def test_a_crashed_member_runs_no_more_timers() -> None:
    found, clock = topology(), Clock()
    reactor = member_reactor(found, clock, "hollow0001")
    ran: list[str] = []
    reactor.callLater(1.0, ran.append, "before")
    reactor.callLater(2.0, ran.append, "after")
    clock.advance(1.5)
    reactor.close()
    clock.advance(5.0)
    assert ran == ["before"]


def test_cpu_time_of_nested_callbacks_is_counted_once() -> None:
    usage = ResourceUsage()

    def busy() -> int:
        return sum(range(20000))

    usage.measure_call(busy)
    once = usage.cpu_nanoseconds
    usage.measure_call(lambda: usage.measure_call(busy))
    assert once > 0 and usage.cpu_nanoseconds < 20 * once


# Scripts


def test_phases_state_what_they_scale_and_restart_members_they_stop() -> None:
    found = topology()
    phases = {phase.name: phase for phase in script.plan(list(PHASES), found, Timing(1.0), 3)}
    assert {"lost-return", "rack-return", "zone-return"} <= phases.keys() >= PHASES.keys()
    assert (
        "50 times faster" in phases["restarts"].scaled and "45 s instead of 180 s" in phases["regions"].scaled
    )
    (restarts,) = (step for step in phases["restarts"].steps if isinstance(step, script.RestartEach))
    assert len(restarts.names) == 340
    (changes,) = (step for step in phases["changes"].steps if isinstance(step, script.ApplyChanges))
    assert changes.interval == pytest.approx(3.2)
    (lost,) = (step for step in phases["lost"].steps if isinstance(step, script.StopMembers))
    assert len(lost.names) == 2 and not set(lost.names) & set(found.seeds())
    assert sum(found.locations[name].real for name in lost.names) == 1
    assert script.plan(["lost"], found, Timing(1.0), 3) == script.plan(["lost"], found, Timing(1.0), 3)
    with pytest.raises(ValueError, match="unknown phase 'louder'"):
        script.plan(["louder"], found, Timing(1.0), 1)


# Measures and report


def sample(name: str, cpu: float, sent: int, events: list[EventCount] | None = None) -> Sample:
    traffic = Traffic(sent, 100 * sent, sent, 100 * sent)
    member = MemberSample(name, True, cpu, traffic, Traffic(), Traffic(), 0, 0)
    return Sample([member], events or [], [], cpu, 10_000_000)


def test_costs_of_a_member_are_differences_of_two_samples() -> None:
    before = measures.Snapshot(10.0, [sample("a", 1.0, 5)], [])
    after = measures.Snapshot(20.0, [sample("a", 1.5, 25)], [])
    (cost,) = measures.member_costs(before, after)
    assert cost.cpu_share == pytest.approx(0.05)
    assert (cost.bytes_both_ways, cost.bytes_sent, cost.messages) == (400.0, 200.0, 4.0)
    assert measures.host_memory(after, [4_000_000]) == [6_000_000]


def test_a_change_is_in_force_with_the_first_version_that_has_it() -> None:
    changes = [ProposedChange(1, 100.0), ProposedChange(2, 101.0)]
    applied = [Applied("a", [1, 2], [100.5, 103.0]), Applied("b", [2], [104.0]), Applied("c", [1], [100.1])]
    found = measures.change_times("all", changes, applied, members=4)
    assert (found.p50, found.last, found.missing) == (2.0, 4.0, 3)
    nobody = measures.change_times("all", changes, [], members=4)
    assert nobody.missing == 8 and nobody.last == float("inf")


def phase_result(name: str, **changes: Any) -> measures.PhaseResult:
    small = Spread(0.001, 0.002, 0.003, 9)
    values: dict[str, Any] = dict.fromkeys(measures.PhaseResult.__struct_fields__)
    values |= {
        "name": name, "about": "what it is about", "scaled": "", "seconds": 10.0, "members_up": 9,
        "cpu_share": small, "bytes_per_second": Spread(100.0, 200.0, 300.0, 9), "messages_per_second": small,
        "memory_bytes": Spread(1e6, 2e6, 3e6, 9), "settled_seconds": [2.5, None], "real_asked": True,
        "false_failures": measures.FalseFailures(), "detections": [], "stalls": 0, "refutations": 0,
        "change_times": [], "in_force_seconds": [], "not_run": "",
    }  # fmt: skip
    return measures.PhaseResult(**(values | changes))


def run_result(period: float, *phases: measures.PhaseResult) -> RunResult:
    settings = RunSettings(World(6, 3, net=77), Timing(period), ["quiet"], Path("/nonexistent"))
    return RunResult(settings, processes=3, phases=list(phases))


def test_an_exceeded_budget_is_printed_as_over_and_written_to_json() -> None:
    loud = phase_result("loud", bytes_per_second=Spread(5000.0, 7000.0, 9000.0, 9))
    late = phase_result(
        "late",
        change_times=[measures.ChangeTimes("within reach", 10, 9, 0, 1.0, 16.0, 20.0)],
        in_force_seconds=[None],
    )
    result = run_result(1.0, phase_result("fine"), loud, late)
    lines = report.table(result)
    assert any("bytes a second" in line and "over in loud (p99, worst)" in line for line in lines)
    assert any("seconds until in force" in line and "over in late (p99, worst)" in line for line in lines)
    assert any("newest is in force" in line and "over in late" in line for line in lines)
    assert any("processor share" in line and line.endswith("within") for line in lines)
    kept = json.loads(report.as_json(result))
    verdicts = {each["measure"]: each["verdict"] for each in kept["phases"][1]["budgets"]}
    assert verdicts["bytes a second"] == "over: p99, worst" and verdicts["memory bytes"] == "within"


def test_rates_at_another_period_are_compared_with_budgets_at_one_second() -> None:
    loud = phase_result("loud", bytes_per_second=Spread(2000.0, 2000.0, 4000.0, 9))
    (check,) = (each for each in report.budget_checks(loud, 2.0) if each.measure == "bytes a second")
    assert check.verdict == "over: worst" and check.worst == 8000.0
    assert any("for a period of 1 s" in line for line in report.table(run_result(2.0, loud)))


def test_a_phase_that_was_not_run_is_reported() -> None:
    lines = report.table(run_result(1.0, phase_result("burst", not_run="no controller in this run")))
    assert any("burst" in line and "not run: no controller" in line for line in lines)


def scale_run() -> ScaleRun:
    return ScaleRun(RunSettings(World(45, 3, net=77), Timing(1.0), [], Path("/nonexistent")))


def test_false_failures_are_those_of_members_that_were_up_and_reachable() -> None:
    run = scale_run()
    up = set(run.topology.locations)
    near, far, down = (run.topology.members_of(region=region, real=False)[0] for region in ("r1", "r6", "r2"))
    record = PhaseRecord(stopped={down: 1.0}, cut={("r1", "r6"), ("r6", "r1")})

    def count_false_failures(observer: str, member: str) -> int:
        samples = [
            Sample(
                [], [EventCount("failed", member, 4, 0.0, 0.0)] if host.region == observer else [], [], 0, 0
            )
            for host in run.processes.hosts
        ]
        evaluator = PhaseEvaluator(run.topology, run.processes.hosts, up, record)
        return evaluator.false_failures(measures.Snapshot(0.0, samples, [])).members

    assert count_false_failures("r2", near) == 1 and count_false_failures("r2", far) == 1
    assert count_false_failures("r1", far) == 0 and count_false_failures("r6", near) == 0
    assert count_false_failures("r3", down) == 0


def test_a_plot_is_drawn_from_a_json_report(tmp_path: Path) -> None:
    pytest.importorskip("matplotlib")
    result = run_result(1.0, phase_result("quiet"), phase_result("burst", not_run="no controller"))
    plot([json.loads(report.as_json(result))], tmp_path / "scale.png")
    assert (tmp_path / "scale.png").stat().st_size > 1000


# A small run


@pytest.fixture(scope="module")
def small_run(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunResult]:
    """40 hollow and 3 real members in three regions; two crash, and a few changes are applied."""
    folder = tmp_path_factory.mktemp("scale")
    world = World(40, 3, net=16 + os.getpid() % 200, seed=random.Random(5).randrange(100), zones=(2, 1, 1))
    timing = Timing(period=1.5, after_start=1.0, changes=4.0, settle_periods=60.0, shortest=1.0)
    settings = RunSettings(world, timing, ["changes", "lost"], folder)
    yield asyncio.run(ScaleRun(settings, print).play())


def phase_of(result: RunResult, name: str) -> measures.PhaseResult:
    return next(phase for phase in result.phases if phase.name == name)


def test_all_views_are_equal_after_the_start_of_all(small_run: RunResult) -> None:
    started = phase_of(small_run, "start")
    assert started.settled_seconds[0] is not None and started.real_asked
    assert started.members_up == 43


def test_two_crashed_members_are_detected_by_all_without_false_failures(small_run: RunResult) -> None:
    lost = phase_of(small_run, "lost")
    assert lost.settled_seconds[0] is not None and lost.real_asked
    assert len(lost.detections) == 2
    assert all(found.observers >= found.expected >= 38 for found in lost.detections)
    assert all(phase.false_failures.members == 0 for phase in small_run.phases)


def test_changes_are_in_force_on_all_within_fifteen_seconds(small_run: RunResult) -> None:
    changes = phase_of(small_run, "changes")
    (times,) = changes.change_times
    assert times.members == 40 and times.changes >= 1 and times.missing == 0
    assert times.last < measures.IN_FORCE_BUDGET
    (waited,) = changes.in_force_seconds  # includes real members
    assert waited is not None and waited < measures.IN_FORCE_BUDGET


def test_the_report_has_all_rows_and_compares_hollow_with_real_members(small_run: RunResult) -> None:
    lines = report.table(small_run)
    for phase in small_run.phases:
        assert any(line.startswith(phase.name) for line in lines), phase.name
    assert [phase.name for phase in small_run.phases] == [
        "start",
        "after-start",
        "changes",
        "lost",
        "lost-return",
    ]
    text = "\n".join(lines)
    for words in (
        "budgets",
        "processor share",
        "bytes a second",
        "memory bytes",
        "ratio of hollow to real members",
    ):
        assert words in text
    changes = phase_of(small_run, "changes")
    assert changes.comparison and changes.comparison.real.members == 3
    assert changes.comparison.ratios()["datagrams_sent"] > 0
    assert small_run.peak_bytes < 2_000_000_000 and not small_run.ended_early
    assert msgspec.json.decode(report.as_json(small_run))["phases"]
