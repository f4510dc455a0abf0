"""The operators' settings of a plan, entered in one book, and what they may name."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from laureldock.setup.faults import Fault, Path
from laureldock.setup.plan import SETTINGS, Endpoint, Entry, Plan, Terms
from laureldock.setup.terms import EVERYWHERE, Level, Scope, TermsIndex


def name_of(endpoint: Endpoint) -> str:
    return endpoint.name or endpoint.address


def destination_id(destination: str) -> int | str:
    """As fronts name it."""
    return int(destination) if destination.isdigit() else destination


def kind_of(plan: Plan, destination: str) -> str:
    found = plan.destinations.get(destination)
    return (found.kind if found else None) or ""


def scopes_of(kind: str, destination: str, route: str = "") -> list[Scope]:
    """The places in which a route, or a destination, lies."""
    found = [(Level.KIND, kind), (Level.DESTINATION, destination), (Level.ROUTE, route)]
    return [(level, name) for level, name in found if name]


def as_list(told: str | list[str] | None) -> list[str]:
    return [""] if told is None else [told] if isinstance(told, str) else told


def selected_scopes(entry: Entry) -> Iterator[tuple[str, Scope]]:
    """The queue class and the place of each pair that an entry names."""
    places: list[Scope] = [EVERYWHERE]
    for level in (Level.KIND, Level.DESTINATION, Level.ROUTE):
        told = getattr(entry, level.name.lower())
        if told is not None:
            places = [(level, name) for name in as_list(told)]
    for queue_class in as_list(entry.queue_class):
        for scope in places:
            yield queue_class, scope


def class_pairs(name: str) -> list[tuple[str, Scope]]:
    return [(name, EVERYWHERE)]


def destination_pairs(name: str) -> list[tuple[str, Scope]]:
    return [("", (Level.DESTINATION, name))]


def endpoint_pairs(name: str) -> list[tuple[str, Scope]]:
    return [("", (Level.ROUTE, name))]


def settings_owners(plan: Plan) -> Iterator[tuple[Terms, Path, list[tuple[str, Scope]]]]:
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
        yield entry, ("terms", place), list(selected_scopes(entry))


def settings_of(owner: Terms) -> Iterator[tuple[str, Any]]:
    """What of the settings is set there, with its value."""
    for setting in SETTINGS:
        value = getattr(owner, setting)
        if value is not None:
            yield setting, value


def add_settings(
    book: TermsIndex, owner: Terms, path: Path, pairs: Sequence[tuple[str, Scope]]
) -> list[Fault]:
    """Put the settings of an owner in the book; a fault for each that cannot stand there."""
    faults = []
    for setting, value in settings_of(owner):
        wrong = [book.add(setting, value, (*path, setting), *pair) for pair in pairs]
        faults += [fault for fault in wrong if fault][:1]
    return faults


def remove_settings(book: TermsIndex, owner: Terms, path: Path, pairs: Sequence[tuple[str, Scope]]) -> None:
    """The other way; what could not be entered is passed over."""
    for setting, _ in settings_of(owner):
        for pair in pairs:
            book.remove(setting, (*path, setting), *pair)


def index_terms(plan: Plan) -> tuple[TermsIndex, list[Fault]]:
    book, faults = TermsIndex(), []
    for owner, path, pairs in settings_owners(plan):
        faults += add_settings(book, owner, path, pairs)
    return book, faults
