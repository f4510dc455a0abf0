"""Plays a script in the model: the same views on one clock set by hand."""

from __future__ import annotations

from laureldock.fleet.simulation import Simulation
from laureldock.rehearsal.fleet.script import Pair, Script, Step, pairs
from laureldock.rehearsal.fleet.verdict import ObservedEvent, Verdict, judge


class SimulatedRun:
    def __init__(self, script: Script, seed: int, period: float = 1.0) -> None:
        self.script, self.seed, self.period = script, seed, period
        names = script.names()
        self.simulation = Simulation(
            {name: script.site(name) for name in names}, seed, period, [f"{name}:1" for name in script.seeds]
        )
        self.deeds: list[tuple[float, str]] = []

    def play(self) -> Verdict:
        simulation, script = self.simulation, self.script
        for name in script.names():
            simulation.start(name)
        joined = simulation.settle(60 * self.period)
        began, events, sent = simulation.now, len(simulation.events), simulation.bytes_sent
        for at, step, who, to in script.timeline(self.seed):
            simulation.schedule(began + at * self.period, self.do, step, who, to, began)
        end = began + script.end() * self.period
        simulation.run(end)
        settled = joined if not script.step else simulation.settle(10 * script.within * self.period)
        told = [
            ObservedEvent((at - began) / self.period, by, event.name, str(event.fields.get("member", "")))
            for at, by, event in simulation.events[events:]
        ]
        length = (simulation.now - began) / self.period
        verdict = Verdict(script.name, self.seed, settled / self.period, told, self.deeds)
        verdict.bytes_each = (simulation.bytes_sent - sent) / max(1.0, length) / script.members
        return judge(script, verdict, length)

    def do(self, step: Step, who: list[str], to: list[str], began: float) -> None:
        simulation = self.simulation
        self.deeds.append(
            ((simulation.now - began) / self.period, f"{step.do} {' '.join(who)} {' '.join(to)}".rstrip())
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
                between = pairs(step, who, to)
                self.spoil(step, between, 1)
                simulation.schedule(simulation.now + step.lasts * self.period, self.spoil, step, between, -1)
            case "receivers":
                pass  # the model has none

    def spoil(self, step: Step, between: list[Pair], sign: int) -> None:
        for pair in between:
            link = self.simulation.network.link(*pair)
            if step.do == "cut":
                link.cuts += sign
            else:
                link.loss, link.duplicated = max(0, sign) * step.loss, max(0, sign) * step.doubled
                link.delay = max(0, sign) * step.delay
