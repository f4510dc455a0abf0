"""Scripts of faults as data: what happens to whom, when, in periods of the view. No I/O but reading the file.

A script names members `d1` to `dN`, sites `s1` to `sM` (member k stands in site 1 + (k - 1) mod M), and drawn
ones: `any:3` are three by the seed, the same ones through the whole script. Times count from when all are up.
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
Share = Annotated[float, Meta(ge=0, le=1)]
Do = Literal["kill", "start", "term", "stop", "cut", "spoil", "twin", "receivers"]


class Step(Struct, kw_only=True, forbid_unknown_fields=True):
    """One thing done.

    kill: SIGKILL (with `folder`, its disk goes with it); start: again, by its own configuration or an older
    one's `seeds` (`clock`: its wall clock is so many seconds off); term: SIGTERM; stop: SIGSTOP for `lasts`
    periods; cut: nothing goes from `who` to `to` for `lasts` (both ways unless `one_way`); spoil: what passes
    there is lost, delayed or doubled; twin: another process of the name of `who` elsewhere; receivers: `who`
    reach no receiver.
    """

    at: Annotated[float, Meta(ge=0)]
    do: Do
    who: list[str]
    to: list[str] = []
    lasts: Annotated[float, Meta(ge=0)] = 0.0
    every: Annotated[float, Meta(ge=0)] = 0.0  # done again so often ...
    times: Annotated[int, Meta(ge=1)] = 1  # ... in all
    one_way: bool = False
    folder: bool = False
    clock: float = 0.0  # seconds
    seeds: list[str] = msgspec.field(default_factory=list)  # of an older configuration; else the script's
    loss: Share = 0.0
    doubled: Share = 0.0
    delay: Annotated[float, Meta(ge=0)] = 0.0  # seconds, at most; drawn evenly, so that they pass one another
    rate: Annotated[int, Meta(ge=0)] = 0  # bytes a second; nought: any


class Script(Struct, kw_only=True, forbid_unknown_fields=True):
    name: str = ""
    about: str = ""
    members: Annotated[int, Meta(ge=1, le=5000)] = 5
    sites: Annotated[int, Meta(ge=1)] = 3
    seeds: list[str] = msgspec.field(default_factory=lambda: ["d1"])
    step: list[Step] = []
    within: float = 10.0  # periods after the last fault in which all views must be equal
    spared: bool = False  # no member that was left alone may ever be held to have failed
    most_events: float = 0.0  # a member and period, in the mean; nought: not asked

    def names(self) -> list[str]:
        return [f"d{number}" for number in range(1, self.members + 1)]

    def site(self, name: str) -> str:
        return f"s{1 + (int(name.removeprefix('d')) - 1) % self.sites}"

    def end(self) -> float:
        """When the last fault ends, in periods."""
        ends = [step.at + step.every * (step.times - 1) + step.lasts for step in self.step]
        return max(ends, default=0.0)

    def chosen(self, told: list[str], seed: int) -> list[str]:
        """ValueError for what names nobody."""
        found: dict[str, None] = {}
        names = self.names()
        for each in told:
            if each == "all":
                found |= dict.fromkeys(names)
            elif each in names:
                found[each] = None
            elif each.startswith("any:"):
                drawn = sorted(names, key=lambda name: zlib.crc32(f"{seed}:{name}".encode()))
                found |= dict.fromkeys(drawn[: int(each.removeprefix("any:"))])
            elif each.startswith("rest:"):
                drawn = sorted(names, key=lambda name: zlib.crc32(f"{seed}:{name}".encode()))
                found |= dict.fromkeys(drawn[int(each.removeprefix("rest:")) :])
            elif members := [name for name in names if self.site(name) == each]:
                found |= dict.fromkeys(members)
            else:
                raise ValueError(f"{self.name}: {each!r} names no member")
        return list(found)

    def timeline(self, seed: int) -> list[tuple[float, Step, list[str], list[str]]]:
        """Each deed in its order: when, what, to whom, and on the other side."""
        deeds = [
            (step.at + step.every * turn, step, self.chosen(step.who, seed), self.chosen(step.to, seed))
            for step in self.step
            for turn in range(step.times)
        ]
        return sorted(deeds, key=lambda deed: deed[0])

    def touched(self, seed: int) -> set[str]:
        """Members that a fault was done to; the others were left alone."""
        return {name for _, _, who, to in self.timeline(seed) for name in [*who, *to]}


def pairs(step: Step, who: list[str], others: list[str]) -> list[Pair]:
    """The directed pairs that a cut or spoilt link lies between."""
    there = [(one, other) for one in who for other in others if one != other]
    back = [] if step.one_way else [(other, one) for one, other in there]
    return list(dict.fromkeys(there + back))


def shipped() -> list[str]:
    folder = files("laureldock.rehearsal.fleet") / "scenarios"
    return sorted(each.name.removesuffix(".toml") for each in folder.iterdir() if each.name.endswith(".toml"))


def load(told: str) -> Script:
    """A shipped script by its name, or a file. ValueError, OSError."""
    if told in shipped():
        text = (files("laureldock.rehearsal.fleet") / "scenarios" / f"{told}.toml").read_text()
    else:
        text = Path(told).read_text(encoding="utf-8")
    found: dict[str, Any] = tomllib.loads(text)
    script = msgspec.convert(found, Script)
    script.name = script.name or Path(told).stem
    script.timeline(1)
    return script
