"""The operators' settings of a plan, entered in one book, and what they may name."""

from __future__ import annotations

from collections.abc import Iterator

from laureldock.setup.faults import Fault, Path
from laureldock.setup.plan import SETTINGS, Endpoint, Entry, Plan, Terms
from laureldock.setup.terms import ANYWHERE, Level, Spot, TermBook


def name_of(endpoint: Endpoint) -> str:
    return endpoint.name or endpoint.address


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


def owners(plan: Plan) -> Iterator[tuple[Terms, Path, list[tuple[str, Spot]]]]:
    """Whatever holds settings, its path, and what it names."""
    for name, each in plan.classes.items():
        yield each, ("class", name), [(name, ANYWHERE)]
    for name, kind in plan.kinds.items():
        yield kind, ("kind", name), [("", (Level.KIND, name))]
    for name, destination in plan.destinations.items():
        yield destination, ("destination", name), [("", (Level.DESTINATION, name))]
    for place, endpoint in enumerate(plan.endpoints):
        yield endpoint, ("endpoint", place), [("", (Level.ROUTE, name_of(endpoint)))]
    for place, entry in enumerate(plan.terms):
        yield entry, ("terms", place), list(named(entry))


def term_book(plan: Plan) -> tuple[TermBook, list[Fault]]:
    book, faults = TermBook(), []
    for owner, path, pairs in owners(plan):
        for setting in SETTINGS:
            value = getattr(owner, setting)
            if value is not None:
                wrong = [book.add(setting, value, (*path, setting), *pair) for pair in pairs]
                faults += [fault for fault in wrong if fault][:1]
    return book, faults
