"""Which of the operators' settings is in force for a message at a destination, or for a route. No I/O.

An entry may name a queue class, and a scope: a kind, a destination or a route, each narrower than the one
before. One entry overrides another if it is at least as narrow in both and narrower in one. The matching
entries that no other overrides must have the same value; otherwise it is a fault, which an entry that names
both resolves.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, TypeVar

from laureldock.setup.faults import Fault, Path


class Level(IntEnum):
    """How narrow a scope is."""

    ANY = 0
    KIND = 1
    DESTINATION = 2
    ROUTE = 3


# Where a setting applies: the level, and the name of the kind, destination or route.
Scope = tuple[Level, str]
EVERYWHERE: Scope = (Level.ANY, "")

# Scopes allowed for each setting: whether it may name a queue class, the widest level, the narrowest level.
# A window is shared by all queue classes. A setting that is needed before the route of a message is chosen
# cannot depend on the route.
ALLOWED_SCOPES: dict[str, tuple[bool, Level, Level]] = {
    "time_out": (True, Level.ANY, Level.ROUTE),
    "connects": (True, Level.ANY, Level.DESTINATION),
    "copies": (True, Level.ANY, Level.DESTINATION),
    "copy_after": (True, Level.ANY, Level.DESTINATION),
    "window": (False, Level.KIND, Level.ROUTE),
    "importance": (True, Level.ANY, Level.DESTINATION),
    "retry_after": (True, Level.ANY, Level.DESTINATION),
}


# All that is set for one scope: settings, their queue classes, and their values.
OwnSettings = tuple[tuple[str, str, tuple[Any, ...]], ...]

Counted = TypeVar("Counted")


def decrement(counts: Counter[Counted], item: Counted, times: int) -> None:
    """Subtract from a count, and remove it when it is zero."""
    counts[item] -= times
    if not counts[item]:
        del counts[item]


@dataclass(frozen=True, slots=True)
class SetValue:
    """The value of one setting of one entry."""

    value: Any
    path: Path = field(compare=False)
    names_class: bool
    level: Level

    def overrides(self, other: SetValue) -> bool:
        as_narrow = other.names_class <= self.names_class and other.level <= self.level
        return as_narrow and (self.names_class, self.level) != (other.names_class, other.level)


@dataclass(slots=True)
class TermsIndex:
    """The settings of all entries, by setting, queue class and scope."""

    entries: dict[tuple[str, str, Scope], list[SetValue]] = field(default_factory=dict)
    settings: Counter[str] = field(
        default_factory=Counter
    )  # how often each setting is set; without those never set
    # How often each setting is set for each queue class, by scope.
    scopes: dict[Scope, Counter[tuple[str, str]]] = field(default_factory=dict)

    def add(self, setting: str, value: Any, path: Path, queue_class: str, scope: Scope) -> Fault | None:
        """Add a setting; returns a fault if it is not allowed in that scope."""
        by_class, widest, narrowest = ALLOWED_SCOPES[setting]
        if (queue_class and not by_class) or not widest <= scope[0] <= narrowest:
            names = [level.name.lower() for level in Level if widest <= level <= narrowest and level]
            reason = f"{setting} cannot be set for " + (
                "a queue class" if queue_class and not by_class else f"a {scope[0].name.lower()}" if scope[0]
                else "all destinations at once"
            )  # fmt: skip
            return Fault(path, reason, "at a " + ", a ".join((["queue class"] if by_class else []) + names))
        found = self.entries.setdefault((setting, queue_class, scope), [])
        found.append(SetValue(value, path, bool(queue_class), scope[0]))
        self.settings[setting] += 1
        self.scopes.setdefault(scope, Counter())[setting, queue_class] += 1
        return None

    def remove(self, setting: str, path: Path, queue_class: str, scope: Scope) -> None:
        """Remove the settings that were added with that path, if any."""
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

    def most_specific(self, setting: str, queue_class: str, scopes: Sequence[Scope]) -> list[SetValue]:
        """The matching values that no other overrides."""
        fit = [
            each
            for name in {"": None, queue_class: None}
            for scope in (EVERYWHERE, *scopes)
            for each in self.entries.get((setting, name, scope), ())
        ]
        return [each for each in fit if not any(other.overrides(each) for other in fit)]

    def value(self, setting: str, queue_class: str, scopes: Sequence[Scope], default: Any = None) -> Any:
        """The value in force there; `default` if none is set."""
        if setting not in self.settings:
            return default
        found = self.most_specific(setting, queue_class, scopes)
        return found[0].value if found else default

    def conflicts(self, queue_class: str, scopes: Sequence[Scope]) -> Iterator[Fault]:
        """Faults of settings with two different values there, of which neither overrides the other."""
        for setting in ALLOWED_SCOPES:
            if setting in self.settings:
                found = self.most_specific(setting, queue_class, scopes)
                for other in found[1:]:
                    if other.value != found[0].value:
                        reason = f"{other.value!r} and {found[0].value!r} are equally specific"
                        allowed = "one value, or an entry in [[terms]] that names both"
                        yield Fault(other.path, reason, allowed, found[0].path)

    def own_settings(self, scope: Scope) -> OwnSettings:
        """The settings of this scope. Scopes of one level with equal results differ only in their names."""
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

    def route_names(self) -> set[str]:
        """Names of the routes that an entry names."""
        return {name for level, name in self.scopes if level is Level.ROUTE}
