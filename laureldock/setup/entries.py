"""Adds the operators' settings of a plan to one index, under the queue classes and scopes that they name."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Any

from laureldock.setup.faults import Fault, Path
from laureldock.setup.plan import SETTINGS, Endpoint, Entry, Plan, Terms
from laureldock.setup.terms import EVERYWHERE, Level, Scope, TermsIndex


def name_of(endpoint: Endpoint) -> str:
    return endpoint.name or endpoint.address


def destination_id(destination: str) -> int | str:
    """The destination as fronts name it: a number if it has only digits."""
    return int(destination) if destination.isdigit() else destination


def kind_of(plan: Plan, destination: str) -> str:
    found = plan.destinations.get(destination)
    return (found.kind if found else None) or ""


def scopes_of(kind: str, destination: str, route: str = "") -> list[Scope]:
    """The scopes that contain a route, or a destination."""
    found = [(Level.KIND, kind), (Level.DESTINATION, destination), (Level.ROUTE, route)]
    return [(level, name) for level, name in found if name]


def as_list(given: str | list[str] | None) -> list[str]:
    """The names of a selector; without one, the empty name, which stands for all."""
    return [""] if given is None else [given] if isinstance(given, str) else given


def selected_scopes(entry: Entry) -> Iterator[tuple[str, Scope]]:
    """Each pair of a queue class ("": all) and a scope that an entry names."""
    places: list[Scope] = [EVERYWHERE]
    for level in (Level.KIND, Level.DESTINATION, Level.ROUTE):
        given = getattr(entry, level.name.lower())
        if given is not None:
            places = [(level, name) for name in as_list(given)]
    for queue_class in as_list(entry.queue_class):
        for scope in places:
            yield queue_class, scope


def class_pairs(name: str) -> list[tuple[str, Scope]]:
    return [(name, EVERYWHERE)]


def destination_pairs(name: str) -> list[tuple[str, Scope]]:
    return [("", (Level.DESTINATION, name))]


def endpoint_pairs(name: str) -> list[tuple[str, Scope]]:
    return [("", (Level.ROUTE, name))]


def settings_tables(plan: Plan) -> Iterator[tuple[Terms, Path, list[tuple[str, Scope]]]]:
    """Each table with settings, its path, and the queue classes and scopes that it names."""
    for name, each in plan.classes.items():
        yield each, ("class", name), class_pairs(name)
    for name, kind in plan.kinds.items():
        yield kind, ("kind", name), [("", (Level.KIND, name))]
    for name, destination in plan.destinations.items():
        yield destination, ("destination", name), destination_pairs(name)
    for index, endpoint in enumerate(plan.endpoints):
        yield endpoint, ("endpoint", index), endpoint_pairs(name_of(endpoint))
    for index, entry in enumerate(plan.terms):
        yield entry, ("terms", index), list(selected_scopes(entry))


def settings_of(table: Terms) -> Iterator[tuple[str, Any]]:
    """The settings that a table sets, with their values."""
    for setting in SETTINGS:
        value = getattr(table, setting)
        if value is not None:
            yield setting, value


def add_settings(
    index: TermsIndex, table: Terms, path: Path, pairs: Sequence[tuple[str, Scope]]
) -> list[Fault]:
    """Add the settings of a table to the index; returns a fault for each that is not allowed there."""
    faults = []
    for setting, value in settings_of(table):
        wrong = [index.add(setting, value, (*path, setting), *pair) for pair in pairs]
        faults += [fault for fault in wrong if fault][:1]
    return faults


def remove_settings(index: TermsIndex, table: Terms, path: Path, pairs: Sequence[tuple[str, Scope]]) -> None:
    """Undo `add_settings`; settings that were not added are ignored."""
    for setting, _ in settings_of(table):
        for pair in pairs:
            index.remove(setting, (*path, setting), *pair)


def index_terms(plan: Plan) -> tuple[TermsIndex, list[Fault]]:
    index, faults = TermsIndex(), []
    for table, path, pairs in settings_tables(plan):
        faults += add_settings(index, table, path, pairs)
    return index, faults
