"""Fault scripts as data: which fault affects which members, and when. No I/O except reading the file.

A script refers to members `d1` to `dN`, to sites `s1` to `sM` (member k is in site 1 + (k - 1) mod M), and
to random members: `any:3` are three members chosen by the seed, the same ones throughout the script; `rest:3`
are all others. Times are periods of the view, from the moment when all members are up.
"""

from __future__ import annotations

import tomllib
import zlib
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

Pair = tuple[str, str]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Action = Literal["kill", "start", "term", "stop", "cut", "spoil", "twin", "receivers"]


class Step(Struct, kw_only=True, forbid_unknown_fields=True):
    """One step of a script.

    kill: SIGKILL (with `folder`, its disk is lost too); start: a restart, with the script's seeds or an older
    configuration's `seeds` (`clock`: deviation of its wall clock in seconds); term: SIGTERM; stop: SIGSTOP
    for `lasts` periods; cut: nothing passes from `who` to `to` for `lasts` periods (in both directions unless
    `one_way`); spoil: traffic there is lost, delayed or duplicated; twin: a second process of the name of
    `who`, elsewhere; receivers: `who` reach no receiver.
    """

    at: Annotated[float, Meta(ge=0)]
    do: Action
    who: list[str]
    to: list[str] = []
    lasts: Annotated[float, Meta(ge=0)] = 0.0
    every: Annotated[float, Meta(ge=0)] = 0.0  # periods from one repetition to the next
    times: Annotated[int, Meta(ge=1)] = 1  # how often in all
    one_way: bool = False
    folder: bool = False
    clock: float = 0.0  # seconds of deviation
    seeds: list[str] = msgspec.field(default_factory=list)  # of an older configuration; default: the script's
    loss: Fraction = 0.0
    doubled: Fraction = 0.0
    delay: Annotated[float, Meta(ge=0)] = 0.0  # maximum seconds; uniform, so it reorders datagrams
    rate: Annotated[int, Meta(ge=0)] = 0  # bytes per second; 0 for no limit


class Script(Struct, kw_only=True, forbid_unknown_fields=True):
    """A fleet, the steps of faults, and the requirements on its views."""

    name: str = ""
    about: str = ""
    members: Annotated[int, Meta(ge=1, le=5000)] = 5
    sites: Annotated[int, Meta(ge=1)] = 3
    seeds: list[str] = msgspec.field(default_factory=lambda: ["d1"])
    step: list[Step] = []
    within: float = 10.0  # periods after the last fault within which all views must be equal
    spared: bool = False  # no member that was not affected by a fault may be declared failed
    most_events: float = 0.0  # mean per member and period; 0 for no limit

    def member_names(self) -> list[str]:
        """Return the names of all members."""
        return [f"d{number}" for number in range(1, self.members + 1)]

    def site_of(self, name: str) -> str:
        """Return the site of a member."""
        return f"s{1 + (int(name.removeprefix('d')) - 1) % self.sites}"

    def end_time(self) -> float:
        """Return when the last fault ends, in periods."""
        ends = [step.at + step.every * (step.times - 1) + step.lasts for step in self.step]
        return max(ends, default=0.0)

    def select_members(self, selectors: list[str], seed: int) -> list[str]:
        """Return the members that selectors refer to. Raises ValueError if one refers to none."""
        selected: dict[str, None] = {}
        names = self.member_names()
        for each in selectors:
            if each == "all":
                selected |= dict.fromkeys(names)
            elif each in names:
                selected[each] = None
            elif each.startswith("any:"):
                shuffled = sorted(names, key=lambda name: zlib.crc32(f"{seed}:{name}".encode()))
                selected |= dict.fromkeys(shuffled[: int(each.removeprefix("any:"))])
            elif each.startswith("rest:"):
                shuffled = sorted(names, key=lambda name: zlib.crc32(f"{seed}:{name}".encode()))
                selected |= dict.fromkeys(shuffled[int(each.removeprefix("rest:")) :])
            elif members := [name for name in names if self.site_of(name) == each]:
                selected |= dict.fromkeys(members)
            else:
                raise ValueError(f"{self.name}: {each!r} refers to no member")
        return list(selected)

    def timeline(self, seed: int) -> list[tuple[float, Step, list[str], list[str]]]:
        """Return all actions in order of time: time, step, members `who`, and members `to`."""
        actions = [
            (
                step.at + step.every * repetition,
                step,
                self.select_members(step.who, seed),
                self.select_members(step.to, seed),
            )
            for step in self.step
            for repetition in range(step.times)
        ]
        return sorted(actions, key=lambda action: action[0])

    def affected_members(self, seed: int) -> set[str]:
        """Return the members that any step affects."""
        return {name for _, _, who, to in self.timeline(seed) for name in [*who, *to]}


def directed_pairs(step: Step, who: list[str], others: list[str]) -> list[Pair]:
    """Return the directed pairs of names whose links a step cuts or impairs."""
    forward = [(one, other) for one in who for other in others if one != other]
    backward = [] if step.one_way else [(other, one) for one, other in forward]
    return list(dict.fromkeys(forward + backward))


def shipped_scripts() -> list[str]:
    """Return the names of the scripts in this package."""
    folder = files("laureldock.rehearsal.fleet") / "scenarios"
    return sorted(each.name.removesuffix(".toml") for each in folder.iterdir() if each.name.endswith(".toml"))


def load_script(name_or_path: str) -> Script:
    """Load a shipped script by its name, or a script file. Raises ValueError or OSError."""
    if name_or_path in shipped_scripts():
        text = (files("laureldock.rehearsal.fleet") / "scenarios" / f"{name_or_path}.toml").read_text()
    else:
        text = Path(name_or_path).read_text(encoding="utf-8")
    table: dict[str, Any] = tomllib.loads(text)
    script = msgspec.convert(table, Script)
    script.name = script.name or Path(name_or_path).stem
    script.timeline(1)
    return script
