"""Drives a `Control` by hand and prints what it decides, one line a decision."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from laureldock import interface as face
from laureldock.control import Control
from laureldock.interface import Ending, Rerun

TARIFF = face.Tariff(
    seed=7, instances=2, slots=8, room=40, most_connects=4, may_cancel=True, may_probe=False, may_copy=False,
    must_ask=False, over_quota=0.2, most_retry_after=3.0, key_rest=0.3, start_capacity=0.2, tip_multiple=2.0,
    fall_time=3.0, warm_time=10.0, rates="nominal", near_list=False, notices=False,
)  # fmt: skip
SORTS = {
    "redeliverable": face.QueueClass(Rerun.REDELIVERABLE, 1, 2, 10, 0.5, False),
    "tagged": face.QueueClass(Rerun.TAGGED, 1, 2, 10, 0.5, False, memory=6),
    "once-only": face.QueueClass(Rerun.ONCE_ONLY, 5, 2, 10, 0.5, False),
    "in-order": face.QueueClass(Rerun.TAGGED, 1, 2, 10, 0.5, False, in_order=True, memory=10),
    "fading": face.QueueClass(Rerun.REDELIVERABLE, 1, 1, 5, 0.0, True),
}


class Dock:
    def __init__(self, **changes: Any) -> None:
        self.now = 100.0
        self.control = Control(dataclasses.replace(TARIFF, **changes), self.now)
        self.mails: dict[str, face.Mail] = {}
        self.names: dict[face.Mail, str] = {}
        self.out: dict[str, face.Connect] = {}
        self.destinations: dict[str, face.Destination] = {}
        self.routes: dict[str, face.Route] = {}
        self.lines: list[str] = []

    def listed(
        self, *names: str, rate: float = 100.0, batch: int = 1, apart: bool = True, state: str = "up"
    ) -> None:
        """Routes are named by destination and number, as in `north/1`."""
        for name in names:
            owner = self.destinations.setdefault(name.split("/")[0], face.Destination())
            fresh = face.Route(owner, "zone", face.Kind(batch, apart), rate, face.Listed.UP, name)
            self.routes.setdefault(name, fresh).listed = face.Listed(state)
        self.control.news(self.now, [self.routes[name] for name in names], False)

    def mail(
        self, name: str, sort: str, to: str = "north", left: float | None = None, key: str | None = None
    ) -> None:
        owner = self.destinations.setdefault(to, face.Destination())
        kind = SORTS[sort]
        mail = face.Mail(kind, owner, kind.lifetime if left is None else left, None, key)
        self.mails[name], self.names[mail] = mail, name
        self.control.taken(self.now, mail)

    def end(
        self, name: str, ending: str, wait: float = 0.0, report: tuple[float, float] | None = None
    ) -> None:
        """The connect of a mail that is out ends; `report` is what is left of the limit, and the limit."""
        kind, connect = Ending(ending), self.out.pop(name)
        left, limit = report or (1.0, None)
        outcome = face.Outcome(kind, 0.1, kind is Ending.SERVED, wait, limit, left)
        self.say(f"{name}: {ending}" + (f", wait {wait:g}" if wait else ""))
        self.control.ended(self.now, connect, outcome)

    def withdraw(self, name: str) -> None:
        self.say(f"{name}: withdrawn")
        self.control.withdrawn(self.now, self.mails[name])

    def turn(self) -> None:
        for effect in self.control.turn(self.now):
            match effect:
                case face.Connect(mail=mail, route=route, time_out=time_out):
                    self.out[self.names[mail]] = effect
                    self.say(f"-> {self.names[mail]} to {route.name}, {time_out:.2f} s")
                case face.Defer(mail=mail, retry_after=retry_after):
                    self.say(f"-> {self.names[mail]} deferred, back in {retry_after:.2f} s")
                case face.Bounce(mail=mail):
                    self.say(f"-> {self.names[mail]} bounced")
                case face.Cancel(connect=connect):
                    self.say(f"-> {self.names[connect.mail]} called off")
                case face.Probe(route=route):
                    self.say(f"-> probe of {route.name}")
                case face.AskList(watch=watch):
                    self.say("-> watch the list" if watch else "-> ask for the list")
                case face.Timer(name="sweep"):
                    self.control.timer(self.now, "sweep")
                case face.Timer(name="idle"):
                    pass  # turns come anyway
                case face.HangUp(route=route):
                    self.say(f"-> idle connections to {route.name} closed")
                case _:
                    self.say(f"-> {effect}")

    def after(self, wait: float) -> None:
        """Let time pass in steps of a twentieth of a second, with a turn at each."""
        for _ in range(round(wait / 0.05)):
            self.now += 0.05
            self.turn()

    def say(self, text: str) -> None:
        self.lines.append(f"{self.now - 100:6.2f} {text}")

    def same_as(self, name: str) -> bool:
        """Whether the trace is the one that is kept; shows where it is not."""
        kept = (Path(__file__).parent / "traces" / f"{name}.txt").read_text().splitlines()
        if kept != self.lines:
            print("\n".join(["decided now:", *self.lines, "kept:", *kept]))
        return kept == self.lines
