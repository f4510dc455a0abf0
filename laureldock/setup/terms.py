"""Which of the operators' settings holds for a mail at a destination, and for a route: no I/O, no chance.

An entry names a queue class or none, and a place or none: a kind, a destination or a route, each narrower
than the one before. One entry beats another if it is at least as narrow in both and narrower in one. Of those
that fit and that no other beats, all must agree; two that do not are a fault, which an entry naming both
settles.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, TypeVar

from laureldock.setup.faults import Fault, Path


class Level(IntEnum):
    """How narrow a place is."""

    ANY = 0
    KIND = 1
    DESTINATION = 2
    ROUTE = 3


# A place as it is looked up: how narrow, and its name.
Scope = tuple[Level, str]
EVERYWHERE: Scope = (Level.ANY, "")

# Where each setting may stand: with a queue class named or not, and up to which place. A window is shared by
# all classes; what counts for a mail before its route is drawn cannot depend on the route.
ALLOWED_SCOPES: dict[str, tuple[bool, Level, Level]] = {
    "time_out": (True, Level.ANY, Level.ROUTE),
    "connects": (True, Level.ANY, Level.DESTINATION),
    "copies": (True, Level.ANY, Level.DESTINATION),
    "copy_after": (True, Level.ANY, Level.DESTINATION),
    "window": (False, Level.KIND, Level.ROUTE),
    "importance": (True, Level.ANY, Level.DESTINATION),
    "retry_after": (True, Level.ANY, Level.DESTINATION),
}


# What is set at one place: of each setting and queue class, the values.
OwnSettings = tuple[tuple[str, str, tuple[Any, ...]], ...]

Counted = TypeVar("Counted")


def decrement(counts: Counter[Counted], item: Counted, times: int) -> None:
    """Count it down, and leave no nought behind."""
    counts[item] -= times
    if not counts[item]:
        del counts[item]


@dataclass(frozen=True, slots=True)
class Set:
    """One setting of one entry."""

    value: Any
    path: Path = field(compare=False)
    names_class: bool
    level: Level

    def overrides(self, other: Set) -> bool:
        wider = other.names_class <= self.names_class and other.level <= self.level
        return wider and (self.names_class, self.level) != (other.names_class, other.level)


@dataclass(slots=True)
class TermsIndex:
    """All entries, by setting and by what they name."""

    entries: dict[tuple[str, str, Scope], list[Set]] = field(default_factory=dict)
    settings: Counter[str] = field(
        default_factory=Counter
    )  # how often each is set; those never set are not in it
    # Likewise, by place: each setting with the queue class that it is set for.
    scopes: dict[Scope, Counter[tuple[str, str]]] = field(default_factory=dict)

    def add(self, setting: str, value: Any, path: Path, queue_class: str, scope: Scope) -> Fault | None:
        """Enter it, or say why it cannot stand there."""
        classes, least, most = ALLOWED_SCOPES[setting]
        if (queue_class and not classes) or not least <= scope[0] <= most:
            names = [level.name.lower() for level in Level if least <= level <= most and level]
            reason = f"{setting} cannot be set for " + (
                "a queue class" if queue_class and not classes else f"a {scope[0].name.lower()}" if scope[0]
                else "all alike"
            )  # fmt: skip
            return Fault(path, reason, "at a " + ", a ".join((["queue class"] if classes else []) + names))
        found = self.entries.setdefault((setting, queue_class, scope), [])
        found.append(Set(value, path, bool(queue_class), scope[0]))
        self.settings[setting] += 1
        self.scopes.setdefault(scope, Counter())[setting, queue_class] += 1
        return None

    def remove(self, setting: str, path: Path, queue_class: str, scope: Scope) -> None:
        """Take out what was added by that path, if it was."""
        found = self.entries.get((setting, queue_class, scope), [])
        kept = [each for each in found if each.path != path]
        removed = len(found) - len(kept)
        if not removed:
            return
        if kept:
            self.entries[setting, queue_class, scope] = kept
        else:
            del self.entries[setting, queue_class, scope]
        decrement(self.settings, setting, removed)
        decrement(self.scopes[scope], (setting, queue_class), removed)
        if not self.scopes[scope]:
            del self.scopes[scope]

    def most_specific(self, setting: str, queue_class: str, scopes: Sequence[Scope]) -> list[Set]:
        """Those that fit and that no other beats."""
        fit = [
            each
            for name in {"": None, queue_class: None}
            for scope in (EVERYWHERE, *scopes)
            for each in self.entries.get((setting, name, scope), ())
        ]
        return [each for each in fit if not any(other.overrides(each) for other in fit)]

    def value(self, setting: str, queue_class: str, scopes: Sequence[Scope], otherwise: Any = None) -> Any:
        """What holds there; `otherwise` if nothing was set."""
        if setting not in self.settings:
            return otherwise
        found = self.most_specific(setting, queue_class, scopes)
        return found[0].value if found else otherwise

    def conflicts(self, queue_class: str, scopes: Sequence[Scope]) -> Iterator[Fault]:
        """Settings on which two entries disagree there, though neither beats the other."""
        for setting in ALLOWED_SCOPES:
            if setting in self.settings:
                found = self.most_specific(setting, queue_class, scopes)
                for other in found[1:]:
                    if other.value != found[0].value:
                        reason = f"{other.value!r} and {found[0].value!r} are equally specific"
                        allowed = "one value, or an entry in [[terms]] that names both"
                        yield Fault(other.path, reason, allowed, found[0].path)

    def own_settings(self, scope: Scope) -> OwnSettings:
        """Places of one level that have the same here differ in nothing but their names."""
        found = self.scopes.get(scope)
        if not found:
            return ()
        return tuple(
            (
                setting,
                queue_class,
                tuple(sorted(each.value for each in self.entries[setting, queue_class, scope])),
            )
            for setting, queue_class in sorted(found)
        )

    def routes(self) -> set[str]:
        """Names of routes that any entry names."""
        return {name for level, name in self.scopes if level is Level.ROUTE}
