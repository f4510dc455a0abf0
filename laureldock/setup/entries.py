"""The operators' settings of a plan, entered in one book, and what they may name."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from laureldock.setup.faults import Fault, Path
from laureldock.setup.plan import SETTINGS, Endpoint, Entry, Plan, Terms
from laureldock.setup.terms import ANYWHERE, Level, Spot, TermBook


def name_of(endpoint: Endpoint) -> str:
    return endpoint.name or endpoint.address


def number_of(destination: str) -> int | str:
    """As fronts name it."""
    return int(destination) if destination.isdigit() else destination


def kind_of(plan: Plan, destination: str) -> str:
    found = plan.destinations.get(destination)
    return (found.kind if found else None) or ""


def spots(kind: str, destination: str, route: str = "") -> list[Spot]:
    """The places in which a route, or a destination, lies."""
    found = [(Level.KIND, kind), (Level.DESTINATION, destination), (Level.ROUTE, route)]
    return [(level, name) for level, name in found if name]


def several(told: str | list[str] | None) -> list[str]:
    return [""] if told is None else [told] if isinstance(told, str) else told


def named(entry: Entry) -> Iterator[tuple[str, Spot]]:
    """The queue class and the place of each pair that an entry names."""
    places: list[Spot] = [ANYWHERE]
    for level in (Level.KIND, Level.DESTINATION, Level.ROUTE):
        told = getattr(entry, level.name.lower())
        if told is not None:
            places = [(level, name) for name in several(told)]
    for queue_class in several(entry.queue_class):
        for spot in places:
            yield queue_class, spot


def class_pairs(name: str) -> list[tuple[str, Spot]]:
    return [(name, ANYWHERE)]


def destination_pairs(name: str) -> list[tuple[str, Spot]]:
    return [("", (Level.DESTINATION, name))]


def endpoint_pairs(name: str) -> list[tuple[str, Spot]]:
    return [("", (Level.ROUTE, name))]


def owners(plan: Plan) -> Iterator[tuple[Terms, Path, list[tuple[str, Spot]]]]:
    """Whatever holds settings, its path, and what it names."""
    for name, each in plan.classes.items():
        yield each, ("class", name), class_pairs(name)
    for name, kind in plan.kinds.items():
        yield kind, ("kind", name), [("", (Level.KIND, name))]
    for name, destination in plan.destinations.items():
        yield destination, ("destination", name), destination_pairs(name)
    for place, endpoint in enumerate(plan.endpoints):
        yield endpoint, ("endpoint", place), endpoint_pairs(name_of(endpoint))
    for place, entry in enumerate(plan.terms):
        yield entry, ("terms", place), list(named(entry))


def settings_of(owner: Terms) -> Iterator[tuple[str, Any]]:
    """What of the settings is set there, with its value."""
    for setting in SETTINGS:
        value = getattr(owner, setting)
        if value is not None:
            yield setting, value


def enter(book: TermBook, owner: Terms, path: Path, pairs: Sequence[tuple[str, Spot]]) -> list[Fault]:
    """Put the settings of an owner in the book; a fault for each that cannot stand there."""
    faults = []
    for setting, value in settings_of(owner):
        wrong = [book.add(setting, value, (*path, setting), *pair) for pair in pairs]
        faults += [fault for fault in wrong if fault][:1]
    return faults


def withdraw(book: TermBook, owner: Terms, path: Path, pairs: Sequence[tuple[str, Spot]]) -> None:
    """The other way; what could not be entered is passed over."""
    for setting, _ in settings_of(owner):
        for pair in pairs:
            book.remove(setting, (*path, setting), *pair)


def term_book(plan: Plan) -> tuple[TermBook, list[Fault]]:
    book, faults = TermBook(), []
    for owner, path, pairs in owners(plan):
        faults += enter(book, owner, path, pairs)
    return book, faults
