"""Checks a change by the rules of `laureldock.setup.rules`, at the places that it affects. No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import TYPE_CHECKING

from laureldock.setup.catalog_index import Signature
from laureldock.setup.changes import (
    CatalogEntry,
    ClassEntry,
    CustomerEntry,
    DestinationEntry,
    EndpointEntry,
    EntryKey,
    TermsEntry,
    terms_name,
)
from laureldock.setup.entries import name_of, scopes_of
from laureldock.setup.faults import Fault, Path
from laureldock.setup.rules import (
    KnownNames,
    SettingsChecker,
    class_faults,
    destination_faults,
    duplicate_endpoint,
    terms_faults,
    unknown,
)
from laureldock.setup.terms import Level, Scope

if TYPE_CHECKING:
    from laureldock.setup.catalog import Catalog

# With more known names, no closest match is searched for, since a change may have a thousand faults.
MAX_SEARCHED_NAMES = 500
# Limit of faults of settings in force, since those of one queue class may conflict at every destination.
MAX_SETTING_FAULTS = 10_000
CUSTOMER_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")  # `plan.Name`

# Queue classes whose settings are checked; None: all, and the window that they share.
Classes = set[str] | None


@dataclass(slots=True)
class AffectedPlaces:
    """Places that a change names or selects, at which other settings may come into force."""

    # With the entry whose change may remove them from the list.
    destinations: dict[str, Path | None] = field(default_factory=dict)
    routes: dict[str, Path | None] = field(default_factory=dict)
    # Destinations whose settings or kind change, which affects their routes too.
    selected_destinations: dict[str, None] = field(default_factory=dict)
    selected_kinds: dict[str, Classes] = field(default_factory=dict)
    everywhere: Classes = field(default_factory=set)

    def select(self, queue_class: str, scope: Scope) -> None:
        level, name = scope
        if level is Level.ANY:
            self.everywhere = with_class(self.everywhere, queue_class)
        elif level is Level.KIND:
            self.selected_kinds[name] = with_class(self.selected_kinds.get(name, set()), queue_class)
        elif level is Level.DESTINATION:
            self.destinations.setdefault(name)
            self.selected_destinations[name] = None
        else:
            self.routes.setdefault(name)


def with_class(known: Classes, queue_class: str) -> Classes:
    return None if known is None or not queue_class else known | {queue_class}


def duplicates(keys: Iterable[EntryKey]) -> Iterator[Fault]:
    seen: set[EntryKey] = set()
    for key in keys:
        if key in seen:
            yield Fault((str(key.kind), key.name), "occurs twice in one change", "each entry once")
        seen.add(key)


def misnamed_entries(entries: Iterable[CatalogEntry]) -> Iterator[Fault]:
    """Faults of entries whose key differs from the name in their value, or is not valid in a file."""
    for entry in entries:
        at: Path = (str(entry.key.kind), entry.name)
        match entry:
            case EndpointEntry(name, value) if name != name_of(value):
                yield Fault((*at, "name"), f"its name is {name_of(value)!r}", "the same")
            case TermsEntry(name, value) if name != terms_name(value):
                yield Fault((*at, "name"), f"its name is {terms_name(value)!r}", "the same")
            case CustomerEntry(name) if not CUSTOMER_NAME.fullmatch(name):
                yield Fault(at, f"invalid customer name: {name!r}", CUSTOMER_NAME.pattern)


def faults_of(
    catalog: Catalog,
    values: Mapping[EntryKey, CatalogEntry | None],
    affected: AffectedPlaces,
    found: Iterable[Fault],
) -> list[Fault]:
    """All faults after a change is made, each once, including those already found."""
    faults = {(fault.path, fault.reason): fault for fault in found}
    known = known_names(catalog)
    for entry in values.values():
        if entry is not None:
            faults |= {(fault.path, fault.reason): fault for fault in entry_faults(catalog, entry, known)}
    for fault in (
        *dangling_references(catalog, affected, known),
        *islice(setting_faults(catalog, affected), MAX_SETTING_FAULTS),
    ):
        faults.setdefault((fault.path, fault.reason), fault)
    return list(faults.values())


def known_names(catalog: Catalog) -> KnownNames:
    in_force = catalog.in_force
    return KnownNames(
        in_force.classes,
        in_force.kinds,
        catalog.endpoint_names,
        catalog.endpoints,
        search_limit=MAX_SEARCHED_NAMES,
    )


def entry_faults(catalog: Catalog, entry: CatalogEntry, known: KnownNames) -> Iterator[Fault]:
    """Faults of an entry that is put."""
    at: Path = (str(entry.key.kind), entry.name)
    match entry:
        case EndpointEntry(name, value):
            for other in catalog.addresses.others(value.destination, value.address, name):
                yield duplicate_endpoint(value, at, ("endpoint", other))
        case DestinationEntry(_, value):
            yield from destination_faults(value, at, known)
        case TermsEntry(_, value):
            yield from terms_faults(value, at, known)
        case ClassEntry(name):
            if name not in known.classes:
                yield unknown(at, "queue class", name, known.classes)
            else:
                yield from class_faults(catalog.in_force.classes[name], at)


def dangling_references(catalog: Catalog, affected: AffectedPlaces, known: KnownNames) -> Iterator[Fault]:
    """Faults of entries that name a destination or a route that is not listed, or no longer."""
    for name, cause in affected.destinations.items():
        if name not in catalog.endpoint_names:
            paths: list[Path] = [("destination", name)] if name in catalog.in_force.destinations else []
            naming = catalog.terms_by_scope.get((Level.DESTINATION, name), ())
            paths += [("terms", terms, "destination") for terms in naming]
            for path in paths:
                for fault in known.unknown(path, "destination", name):
                    yield replace(fault, also=cause)
    for name, cause in affected.routes.items():
        if name not in catalog.endpoints:
            for terms in catalog.terms_by_scope.get((Level.ROUTE, name), ()):
                for fault in known.unknown(("terms", terms, "route"), "route", name):
                    yield replace(fault, also=cause)


def setting_faults(catalog: Catalog, affected: AffectedPlaces) -> Iterator[Fault]:
    """Faults of the settings in force at the affected places; places like one without faults are skipped."""
    if not catalog.terms_index.settings:
        return
    checker = SettingsChecker(catalog.in_force, catalog.bounds, catalog.terms_index)
    if not catalog.places:
        yield from checker.check_scopes([])
    states = (
        *map(catalog.destination_state, affected.destinations),
        *map(catalog.route_state, affected.routes),
    )
    clean_signatures: set[Signature] = set()
    for state in states:
        if state is None or state.signature in clean_signatures:
            continue
        faults = checker.check_scopes(scopes_of(state.kind, *state.place))
        if not faults:
            clean_signatures.add(state.signature)
        yield from faults
    for kind in catalog.places.kinds() if affected.everywhere != set() else ():
        yield from kind_setting_faults(catalog, checker, kind, affected.everywhere)
    for kind, classes in affected.selected_kinds.items():
        yield from kind_setting_faults(catalog, checker, kind, classes)


def kind_setting_faults(
    catalog: Catalog, checker: SettingsChecker, kind: str, classes: Classes
) -> Iterator[Fault]:
    """Faults of the settings in force at the places of a kind.

    A group of equal signature is checked until one of its places has no fault.
    """
    for group in catalog.places.groups(kind):
        for place in group:
            faults = checker.check_scopes(scopes_of(kind, *place), classes)
            if not faults:
                break
            yield from faults
