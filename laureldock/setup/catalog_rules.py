"""A change held against the rules of `laureldock.setup.rules`, at the places that it touches. No I/O."""

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
    Known,
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

# Among more known names the nearest is not looked for: a change may have a thousand faults.
MAX_SEARCHED_NAMES = 500
# Of settings that do not fit together: a queue class may disagree with every destination.
MAX_SETTING_FAULTS = 10_000
CUSTOMER_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")  # `plan.Name`

# Queue classes whose cells are to be checked; None: all, and what they share.
Classes = set[str] | None


@dataclass(slots=True)
class AffectedPlaces:
    """What a change names, and by it selects: places whose cells may have become other ones."""

    # With the entry by which they may be listed no more.
    destinations: dict[str, Path | None] = field(default_factory=dict)
    routes: dict[str, Path | None] = field(default_factory=dict)
    # Destinations whose settings or kind change, which binds their routes too.
    selected_destinations: dict[str, None] = field(default_factory=dict)
    selected_kinds: dict[str, Classes] = field(default_factory=dict)
    everywhere: Classes = field(default_factory=set)

    def select(self, queue_class: str, scope: Scope) -> None:
        level, name = scope
        if level is Level.ANY:
            self.everywhere = joined(self.everywhere, queue_class)
        elif level is Level.KIND:
            self.selected_kinds[name] = joined(self.selected_kinds.get(name, set()), queue_class)
        elif level is Level.DESTINATION:
            self.destinations.setdefault(name)
            self.selected_destinations[name] = None
        else:
            self.routes.setdefault(name)


def joined(known: Classes, queue_class: str) -> Classes:
    return None if known is None or not queue_class else known | {queue_class}


def duplicates(keys: Iterable[EntryKey]) -> Iterator[Fault]:
    seen: set[EntryKey] = set()
    for key in keys:
        if key in seen:
            yield Fault((str(key.kind), key.name), "stands twice in one change", "each entry once")
        seen.add(key)


def misnamed_entries(entries: Iterable[CatalogEntry]) -> Iterator[Fault]:
    """Entries with a key that is not their own, or that no file could have."""
    for entry in entries:
        at: Path = (str(entry.key.kind), entry.name)
        match entry:
            case EndpointEntry(name, value) if name != name_of(value):
                yield Fault((*at, "name"), f"its name is {name_of(value)!r}", "the same")
            case TermsEntry(name, value) if name != terms_name(value):
                yield Fault((*at, "name"), f"its name is {terms_name(value)!r}", "the same")
            case CustomerEntry(name) if not CUSTOMER_NAME.fullmatch(name):
                yield Fault(at, f"this name cannot be of a customer: {name!r}", CUSTOMER_NAME.pattern)


def faults_of(
    catalog: Catalog,
    values: Mapping[EntryKey, CatalogEntry | None],
    touched: AffectedPlaces,
    found: Iterable[Fault],
) -> list[Fault]:
    """All that is wrong once a change is made, each once; `found`: what was seen before."""
    faults = {(fault.path, fault.reason): fault for fault in found}
    known = known_to(catalog)
    for entry in values.values():
        if entry is not None:
            faults |= {(fault.path, fault.reason): fault for fault in entry_faults(catalog, entry, known)}
    for fault in (
        *dangling_references(catalog, touched, known),
        *islice(cells(catalog, touched), MAX_SETTING_FAULTS),
    ):
        faults.setdefault((fault.path, fault.reason), fault)
    return list(faults.values())


def known_to(catalog: Catalog) -> Known:
    in_force = catalog.in_force
    return Known(
        in_force.classes, in_force.kinds, catalog.endpoint_names, catalog.endpoints, search=MAX_SEARCHED_NAMES
    )


def entry_faults(catalog: Catalog, entry: CatalogEntry, known: Known) -> Iterator[Fault]:
    """Of an entry that is put."""
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


def dangling_references(catalog: Catalog, touched: AffectedPlaces, known: Known) -> Iterator[Fault]:
    """What names a destination or a route that is not listed, or no more."""
    for name, cause in touched.destinations.items():
        if name not in catalog.endpoint_names:
            paths: list[Path] = [("destination", name)] if name in catalog.in_force.destinations else []
            naming = catalog.terms_by_scope.get((Level.DESTINATION, name), ())
            paths += [("terms", terms, "destination") for terms in naming]
            for path in paths:
                for fault in known.unknown(path, "destination", name):
                    yield replace(fault, also=cause)
    for name, cause in touched.routes.items():
        if name not in catalog.endpoints:
            for terms in catalog.terms_by_scope.get((Level.ROUTE, name), ()):
                for fault in known.unknown(("terms", terms, "route"), "route", name):
                    yield replace(fault, also=cause)


def cells(catalog: Catalog, touched: AffectedPlaces) -> Iterator[Fault]:
    """What does not fit together at the places touched. Of places that are alike one is checked."""
    if not catalog.terms_index.settings:
        return
    checked = SettingsChecker(catalog.in_force, catalog.bounds, catalog.terms_index)
    if not catalog.places:
        yield from checked.at([])
    states = (
        *map(catalog.destination_state, touched.destinations),
        *map(catalog.route_state, touched.routes),
    )
    clean: set[Signature] = set()
    for state in states:
        if state is None or state.signature in clean:
            continue
        faults = checked.at(scopes_of(state.kind, *state.place))
        if not faults:
            clean.add(state.signature)
        yield from faults
    for kind in catalog.places.kinds() if touched.everywhere != set() else ():
        yield from of_kind(catalog, checked, kind, touched.everywhere)
    for kind, classes in touched.selected_kinds.items():
        yield from of_kind(catalog, checked, kind, classes)


def of_kind(catalog: Catalog, checked: SettingsChecker, kind: str, classes: Classes) -> Iterator[Fault]:
    """Of all places of a kind; of those alike, each only where one has a fault that names it."""
    for signature in catalog.places.groups(kind):
        for place in signature:
            faults = checked.at(scopes_of(kind, *place), classes)
            if not faults:
                break
            yield from faults
