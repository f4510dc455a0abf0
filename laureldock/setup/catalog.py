"""All entries of a configuration that is changed entry by entry. No I/O, no clock.

A change is checked by the same rules as a file and applied as a whole or not at all. Its cost depends on the
entries that it names and the places that they select, not on the size of the catalog. See
docs/design/configuration-changes.md.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from msgspec import structs

from laureldock.setup import plan as model
from laureldock.setup.catalog_index import (
    AddressIndex,
    Groups,
    PlaceIndex,
    PlaceState,
    add_to_group,
    remove_from_group,
)
from laureldock.setup.catalog_rules import AffectedPlaces, duplicates, faults_of, misnamed_entries
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    ClassEntry,
    ClassSettings,
    CustomerEntry,
    DestinationEntry,
    EndpointEntry,
    EntryKey,
    EntryKind,
    TermsEntry,
    entry_digest,
)
from laureldock.setup.entries import (
    add_settings,
    class_pairs,
    destination_pairs,
    endpoint_pairs,
    index_terms,
    kind_of,
    remove_settings,
    selected_scopes,
    settings_of,
)
from laureldock.setup.faults import Fault, Path
from laureldock.setup.rules import Bounds
from laureldock.setup.terms import Level, Scope, TermsIndex

ENTRY_TYPES: dict[EntryKind, Any] = {
    EntryKind.ENDPOINT: EndpointEntry,
    EntryKind.DESTINATION: DestinationEntry,
    EntryKind.TERMS: TermsEntry,
    EntryKind.CUSTOMER: CustomerEntry,
    EntryKind.CLASS: ClassEntry,
}
# The new entry for each key, or None to remove it.
EntryValues = Mapping[EntryKey, CatalogEntry | None]


class RefusedChangeError(ValueError):
    """A change that was refused, with all its faults; the catalog is unchanged.

    The path of a fault is (kind, name, field...) of an entry, or (table, name, field...) of the base.
    """

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(f"{'.'.join(map(str, each.path))}: {each.reason}" for each in faults[:3]))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class EndpointPut:
    name: str
    value: model.Endpoint
    before: model.Endpoint | None


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    name: str
    before: model.Endpoint


@dataclass(frozen=True, slots=True)
class Selection:
    """Settings added, changed or removed for a queue class ("": all) in a scope."""

    queue_class: str
    scope: Scope
    settings: frozenset[str]


@dataclass(slots=True)
class AppliedChange:
    """The parts of the catalog that a change affected; entries put with an equal value are left out."""

    endpoints_put: list[EndpointPut] = field(default_factory=list)
    endpoints_removed: list[EndpointRemoved] = field(default_factory=list)
    destinations: list[str] = field(default_factory=list)  # with another kind or other settings
    kind_changed: list[str] = field(default_factory=list)  # those of them with another kind
    selections: list[Selection] = field(default_factory=list)  # of [[terms]] and queue classes
    classes: list[str] = field(default_factory=list)
    customers: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return any(getattr(self, name) for name in self.__slots__)


class Catalog:
    """Entries on top of a base, which is the dispatcher's or controller's file and has no entries itself.

    `in_force` is the base with the current destinations, customers and queue classes, but without endpoints
    and terms, which only `plan()` has. Dispatchers look settings up in it and in `terms_index`; both are
    updated in place.
    """

    def __init__(self, base: model.Plan, bounds: Bounds | None = None) -> None:
        self.base, self.bounds = base, bounds or Bounds()
        self.in_force = structs.replace(
            base, destinations={}, customers={}, classes=dict(base.classes), endpoints=[], terms=[]
        )
        self.terms_index: TermsIndex = index_terms(self.in_force)[0]
        self.digest = 0
        self.endpoints: dict[str, model.Endpoint] = {}
        self.terms: dict[str, model.Entry] = {}
        self._classes: dict[str, ClassSettings] = {}
        self._held: dict[EntryKind, dict[str, Any]] = {
            EntryKind.ENDPOINT: self.endpoints,
            EntryKind.DESTINATION: self.in_force.destinations,
            EntryKind.TERMS: self.terms,
            EntryKind.CUSTOMER: self.in_force.customers,
            EntryKind.CLASS: self._classes,
        }
        self.endpoint_names: Groups[str, str] = {}  # by destination
        self.addresses = AddressIndex()
        self.places = PlaceIndex()
        self.terms_by_scope: Groups[Scope, str] = {}  # names of terms by destination and route

    def __len__(self) -> int:
        return sum(map(len, self._held.values()))

    def get(self, key: EntryKey) -> CatalogEntry | None:
        value = self._held[key.kind].get(key.name)
        return None if value is None else self._entry(key, value)

    def entries(self) -> Iterator[CatalogEntry]:
        """All entries, ordered by kind and name."""
        for kind in sorted(self._held):
            held = self._held[kind]
            for name in sorted(held):
                yield ENTRY_TYPES[kind](name, held[name])

    def plan(self) -> model.Plan:
        """The plan of an equivalent file."""
        return structs.replace(
            self.in_force,
            source=model.Source(),
            controller=None,
            destinations=dict(self.in_force.destinations),
            customers=dict(self.in_force.customers),
            classes=dict(self.in_force.classes),
            endpoints=[self.endpoints[name] for name in sorted(self.endpoints)],
            terms=[self.terms[name] for name in sorted(self.terms)],
        )

    def apply(self, change: Change, *, missing_ok: bool = False) -> AppliedChange:
        """Apply a change as a whole, or raise RefusedChangeError and change nothing.

        `missing_ok`: removals of missing entries are ignored. A controller refuses them, since a name may be
        mistyped; a dispatcher that follows it may have refused the change that put the entry.
        """
        keys = [*(entry.key for entry in change.puts), *change.removals]
        faults = [*duplicates(keys), *misnamed_entries(change.puts)]
        values: dict[EntryKey, CatalogEntry | None] = {entry.key: entry for entry in change.puts}
        for key in change.removals:
            if self.get(key) is not None:
                values[key] = None
            elif not missing_ok:
                faults.append(Fault((str(key.kind), key.name), "cannot be removed: there is no such entry"))
        return self._commit(values, faults)

    def replace(self, entries: Iterable[CatalogEntry]) -> AppliedChange:
        """Replace all entries; the differences are applied as one change. Raises RefusedChangeError."""
        given = list(entries)
        values: dict[EntryKey, CatalogEntry | None] = {entry.key: entry for entry in given}
        faults = [*duplicates([entry.key for entry in given]), *misnamed_entries(given)]
        for kind, held in self._held.items():
            for name in held:
                values.setdefault(EntryKey(kind, name), None)
        return self._commit(values, faults)

    # Steps of a change

    def _commit(self, given: EntryValues, faults: list[Fault]) -> AppliedChange:
        values = {key: entry for key, entry in given.items() if not self._holds(key, entry)}
        before = {key: self.get(key) for key in values}
        affected = self._swap(values, faults)
        faults = faults_of(self, values, affected, faults)
        if faults:
            self._swap(before, [])
            raise RefusedChangeError(faults)
        return applied(values, before)

    def _holds(self, key: EntryKey, entry: CatalogEntry | None) -> bool:
        value = self._held[key.kind].get(key.name)
        return bool(value is None if entry is None else value == entry.value)

    def _swap(self, values: EntryValues, faults: list[Fault]) -> AffectedPlaces:
        """Put and remove entries without checks. A second call with the previous entries undoes the first.

        Faults of settings that are not allowed where they stand are appended to `faults`.
        """
        affected = self._affected(values)
        before = self._states(affected)
        for key, entry in values.items():
            self._set(key, entry, faults)
        for old, new in zip(before, self._states(affected), strict=True):
            if old != new:
                self.places.move(old, new)
        return affected

    def _states(self, affected: AffectedPlaces) -> list[PlaceState | None]:
        return [
            *map(self.destination_state, affected.destinations),
            *map(self.route_state, affected.routes),
        ]

    def _affected(self, values: EntryValues) -> AffectedPlaces:
        """The places that a change affects, by its new and its previous entries. Called before it is made."""
        affected = AffectedPlaces()
        for key, entry in values.items():
            value = None if entry is None else entry.value
            for each in (self._held[key.kind].get(key.name), value):
                if isinstance(each, model.Endpoint):
                    affected.destinations[each.destination] = (str(key.kind), key.name)
                    affected.routes[key.name] = (str(key.kind), key.name)
                elif isinstance(each, model.Entry):
                    for queue_class, scope in selected_scopes(each):
                        affected.select(queue_class, scope)
            if key.kind is EntryKind.DESTINATION:
                affected.select("", (Level.DESTINATION, key.name))
            elif key.kind is EntryKind.CLASS and key.name in self.base.classes:
                affected.select(key.name, class_pairs(key.name)[0][1])
        for destination in affected.selected_destinations:
            for route in self.places.own_routes(destination):
                affected.routes.setdefault(route)
        return affected

    def destination_state(self, destination: str) -> PlaceState | None:
        """None if the destination has no endpoint and no entry."""
        if destination not in self.endpoint_names and destination not in self.in_force.destinations:
            return None
        own = self.terms_index.own_settings((Level.DESTINATION, destination))
        return PlaceState((destination, ""), kind_of(self.in_force, destination), own)

    def route_state(self, route: str) -> PlaceState | None:
        """None if the route is not listed or has no settings of its own."""
        endpoint = self.endpoints.get(route)
        own = self.terms_index.own_settings((Level.ROUTE, route))
        if endpoint is None or not own:
            return None
        destination = endpoint.destination
        destination_settings = self.terms_index.own_settings((Level.DESTINATION, destination))
        return PlaceState(
            (destination, route), kind_of(self.in_force, destination), destination_settings, own
        )

    def _set(self, key: EntryKey, entry: CatalogEntry | None, faults: list[Fault]) -> None:
        held = self._held[key.kind]
        before = held.get(key.name)
        path: Path = (str(key.kind), key.name)
        settings_before = self._settings(key, before)
        if before is not None:
            self.digest ^= entry_digest(self._entry(key, before))
        if entry is None:
            held.pop(key.name, None)
        else:
            self.digest ^= entry_digest(entry)
            held[key.name] = entry.value
        if key.kind is EntryKind.ENDPOINT:
            self._move_endpoint(key.name, before, held.get(key.name))
        elif key.kind is EntryKind.TERMS:
            self._move_terms(key.name, before, held.get(key.name))
        settings_after = self._settings(key, held.get(key.name))
        if key.kind is EntryKind.CLASS and settings_after is not None:
            self.in_force.classes[key.name] = settings_after  # type: ignore[assignment]
        if settings_before is not None:
            remove_settings(self.terms_index, settings_before, path, self._pairs(key, settings_before))
        if settings_after is not None:
            faults += add_settings(self.terms_index, settings_after, path, self._pairs(key, settings_after))

    def _settings(self, key: EntryKey, value: Any) -> model.Terms | None:
        """The table with the settings of that key; for a queue class the base's, overridden by the entry."""
        if key.kind is EntryKind.CLASS:
            base = self.base.classes.get(key.name)
            if base is None or value is None:
                return base
            return structs.replace(base, **dict(settings_of(value)))
        return value if isinstance(value, model.Terms) else None

    @staticmethod
    def _pairs(key: EntryKey, table: model.Terms) -> list[tuple[str, Scope]]:
        if isinstance(table, model.Entry):
            return list(selected_scopes(table))
        pairs = {
            EntryKind.CLASS: class_pairs,
            EntryKind.DESTINATION: destination_pairs,
            EntryKind.ENDPOINT: endpoint_pairs,
        }
        return pairs[key.kind](key.name)

    def _move_endpoint(self, name: str, before: model.Endpoint | None, after: model.Endpoint | None) -> None:
        """Update the indexes by destination and by address."""
        stays = before is not None and after is not None and before.destination == after.destination
        if before is not None and not stays:
            remove_from_group(self.endpoint_names, before.destination, name)
        if after is not None and not stays:
            add_to_group(self.endpoint_names, after.destination, name)
        if before is not None:
            self.addresses.discard(before.destination, before.address, name)
        if after is not None:
            self.addresses.add(after.destination, after.address, name)

    def _move_terms(self, name: str, before: model.Entry | None, after: model.Entry | None) -> None:
        """Update the index of terms by the scopes that they name."""
        for entry, change in ((before, remove_from_group), (after, add_to_group)):
            for _, scope in selected_scopes(entry) if entry is not None else ():
                if scope[0] >= Level.DESTINATION:
                    change(self.terms_by_scope, scope, name)

    @staticmethod
    def _entry(key: EntryKey, value: Any) -> CatalogEntry:
        entry: CatalogEntry = ENTRY_TYPES[key.kind](key.name, value)
        return entry


def applied(values: EntryValues, before: EntryValues) -> AppliedChange:
    """The parts affected when the entries `before` are replaced by `values`."""
    found = AppliedChange()
    for key, entry in values.items():
        old = before[key]
        known = entry or old
        match known:
            case EndpointEntry(name):
                endpoint = old.value if isinstance(old, EndpointEntry) else None
                if isinstance(entry, EndpointEntry):
                    found.endpoints_put.append(EndpointPut(name, entry.value, endpoint))
                elif endpoint is not None:
                    found.endpoints_removed.append(EndpointRemoved(name, endpoint))
            case DestinationEntry(name):
                found.destinations.append(name)
                kinds = {
                    each.value.kind if isinstance(each, DestinationEntry) else None for each in (old, entry)
                }
                if len(kinds) > 1:
                    found.kind_changed.append(name)
            case TermsEntry():
                found.selections += selections(old, entry)
            case CustomerEntry(name):
                found.customers.append(name)
            case ClassEntry(name):
                found.classes.append(name)
                found.selections += selections(old, entry)
    return found


def selections(before: CatalogEntry | None, after: CatalogEntry | None) -> Iterator[Selection]:
    """Selections of one entry, old and new together; each queue class and scope once."""
    found: dict[tuple[str, Scope], frozenset[str]] = {}
    for entry in (before, after):
        if isinstance(entry, TermsEntry | ClassEntry):
            settings = frozenset(setting for setting, _ in settings_of(entry.value))
            for pair in (
                class_pairs(entry.name) if isinstance(entry, ClassEntry) else selected_scopes(entry.value)
            ):
                found[pair] = found.get(pair, frozenset()) | settings
    for (queue_class, scope), settings in found.items():
        yield Selection(queue_class, scope, settings)
