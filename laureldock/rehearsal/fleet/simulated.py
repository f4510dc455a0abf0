"""Plays a script in a simulation: the same views as in processes, on one simulated clock."""

from __future__ import annotations

from laureldock.fleet.simulation import Simulation
from laureldock.rehearsal.fleet.script import Pair, Script, Step, directed_pairs
from laureldock.rehearsal.fleet.verdict import ObservedEvent, Verdict, judge


class SimulatedRun:
    """One simulated run of a script."""

    def __init__(self, script: Script, seed: int, period: float = 1.0) -> None:
        self.script, self.seed, self.period = script, seed, period
        names = script.member_names()
        self.simulation = Simulation(
            {name: script.site_of(name) for name in names},
            seed,
            period,
            [f"{name}:1" for name in script.seeds],
        )
        self.actions: list[tuple[float, str]] = []

    def play(self) -> Verdict:
        """Play the script, and check the run against its requirements."""
        simulation, script = self.simulation, self.script
        for name in script.member_names():
            simulation.start(name)
        join_seconds = simulation.settle(60 * self.period)
        started_at, events_before, bytes_before = (
            simulation.now,
            len(simulation.events),
            simulation.bytes_sent,
        )
        for at, step, who, to in script.timeline(self.seed):
            simulation.schedule(started_at + at * self.period, self.perform, step, who, to, started_at)
        end = started_at + script.end_time() * self.period
        simulation.run(end)
        settle_seconds = (
            join_seconds if not script.step else simulation.settle(10 * script.within * self.period)
        )
        observed_events = [
            ObservedEvent(
                (at - started_at) / self.period, by, event.name, str(event.fields.get("member", ""))
            )
            for at, by, event in simulation.events[events_before:]
        ]
        periods = (simulation.now - started_at) / self.period
        verdict = Verdict(script.name, self.seed, settle_seconds / self.period, observed_events, self.actions)
        verdict.bytes_per_member_period = (
            (simulation.bytes_sent - bytes_before) / max(1.0, periods) / script.members
        )
        return judge(script, verdict, periods)

    def perform(self, step: Step, who: list[str], to: list[str], started_at: float) -> None:
        """Carry out one step of the script."""
        simulation = self.simulation
        self.actions.append(
            (
                (simulation.now - started_at) / self.period,
                f"{step.do} {' '.join(who)} {' '.join(to)}".rstrip(),
            )
        )
        match step.do:
            case "kill":
                for name in who:
                    simulation.kill(name, step.folder)
            case "term":
                for name in who:
                    simulation.leave(name)
            case "start":
                for name in who:
                    simulation.start(name, step.clock, [f"{seed}:1" for seed in step.seeds])
            case "stop":
                for name in who:
                    simulation.stall(name, step.lasts * self.period)
            case "twin":
                for name in who:
                    simulation.start_duplicate(name)
            case "cut" | "spoil":
                link_pairs = directed_pairs(step, who, to)
                self.set_link_faults(step, link_pairs, 1)
                simulation.schedule(
                    simulation.now + step.lasts * self.period, self.set_link_faults, step, link_pairs, -1
                )
            case "receivers":
                pass  # the simulation has no receivers

    def set_link_faults(self, step: Step, link_pairs: list[Pair], sign: int) -> None:
        """Begin (sign 1) or end (sign -1) the faults of a step on links."""
        for pair in link_pairs:
            link = self.simulation.network.link(*pair)
            if step.do == "cut":
                link.cuts += sign
            else:
                link.loss, link.duplicated = max(0, sign) * step.loss, max(0, sign) * step.doubled
                link.delay = max(0, sign) * step.delay
