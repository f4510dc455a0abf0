"""CHANGES.toml: what `laureldock config apply` puts and removes, with the lines of the file for its faults.

The tables are those of a configuration, for what is put; `remove` names what is removed:

    remove = ["endpoint.bank-1", "terms.class=payment,route=office-1"]
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, ValidationError, field

from laureldock.setup import plan
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
    terms_name,
)
from laureldock.setup.entries import name_of
from laureldock.setup.faults import Fault, LocatedFault, Path, RefusedError
from laureldock.setup.places import nearest_line, places
from laureldock.setup.reading import locate_faults, parse_file, walk
from laureldock.setup.units import decode

Removal = Annotated[
    str,
    Meta(
        pattern=rf"^({'|'.join(EntryKind)})\..+$",
        description="kind and name of an entry, as endpoint.bank-1",
    ),
]


class ChangesFile(plan.Table, kw_only=True):
    """The format of the file."""

    classes: dict[plan.Name, ClassSettings] = field(default_factory=dict, name="class")
    destinations: dict[plan.DestinationName, plan.Destination] = field(
        default_factory=dict, name="destination"
    )
    customers: dict[plan.Name, plan.Customer] = field(default_factory=dict, name="customer")
    endpoints: list[plan.Endpoint] = field(default_factory=list, name="endpoint")
    terms: list[plan.Entry] = field(default_factory=list)
    remove: list[Removal] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EntryLocations:
    """Where in the file each entry of a change stands."""

    file: str
    text: bytes
    paths: dict[EntryKey, Path]

    def in_file(self, path: Path) -> Path | None:
        """Of the path (kind, name, field...) of a fault; None for what is not in the file."""
        if len(path) < 2 or path[0] not in list(EntryKind):
            return None
        found = self.paths.get(EntryKey(EntryKind(path[0]), str(path[1])))
        if found is None or found[0] == "remove":
            return found
        return (*found, *path[2:])


def read_changes(path: str) -> tuple[Change, EntryLocations]:
    """RefusedError tells all faults of form."""
    text, told = parse_file(path)
    try:
        file = msgspec.convert(told, ChangesFile, dec_hook=decode)
    except ValidationError as fault:
        faults = list(walk(told, ChangesFile, ())) or [Fault((), str(fault))]
        raise RefusedError(locate_faults(path, text, faults, [])) from None
    entries = list(entries_of(file))
    paths: dict[EntryKey, Path] = {}
    for key, at in (*((entry.key, at) for entry, at in entries), *removals_of(file)):
        paths.setdefault(key, at)
    if faults := list(twice(file, entries, paths)) or nothing(paths):
        raise RefusedError(locate_faults(path, text, faults, []))
    puts = tuple(entry for entry, _ in entries)
    removals = tuple(key for key, _ in removals_of(file))
    return Change(puts, removals), EntryLocations(path, text, paths)


def entries_of(file: ChangesFile) -> Iterator[tuple[CatalogEntry, Path]]:
    """Each that is put, with its path in the file."""
    for place, endpoint in enumerate(file.endpoints):
        yield EndpointEntry(name_of(endpoint), endpoint), ("endpoint", place)
    for name, destination in file.destinations.items():
        yield DestinationEntry(name, destination), ("destination", name)
    for place, terms in enumerate(file.terms):
        yield TermsEntry(terms_name(terms), terms), ("terms", place)
    for name, customer in file.customers.items():
        yield CustomerEntry(name, customer), ("customer", name)
    for name, settings in file.classes.items():
        yield ClassEntry(name, settings), ("class", name)


def removals_of(file: ChangesFile) -> Iterator[tuple[EntryKey, Path]]:
    for place, removal in enumerate(file.remove):
        kind, _, name = removal.partition(".")
        yield EntryKey(EntryKind(kind), name), ("remove", place)


def twice(
    file: ChangesFile, entries: list[tuple[CatalogEntry, Path]], paths: dict[EntryKey, Path]
) -> Iterator[Fault]:
    """Entries that stand in the file a second time."""
    for key, at in (*((entry.key, at) for entry, at in entries), *removals_of(file)):
        first = paths[key]
        if at == first:
            continue
        both = "removed twice" if first[0] == "remove" else "put and removed"
        reason = f"{key} is {'put twice' if at[0] != 'remove' else both}"
        yield Fault(at, reason, "once in one change", first)


def nothing(paths: dict[EntryKey, Path]) -> list[Fault]:
    return [] if paths else [Fault((), "changes nothing", "entries to put, or `remove`")]


def locate_change_faults(faults: Iterable[Fault], where: EntryLocations) -> list[LocatedFault]:
    """Faults of a change that was refused, with the lines of its file, in their order.

    What is at fault may not be in the file, as terms that name an endpoint which is removed: then it stands
    at the entry that disagrees with it, or at the file alone.
    """
    lines = places(where.text)

    def line(path: Path | None) -> int:
        found = where.in_file(path) if path else None
        return nearest_line(found, lines) if found else 0

    told: list[LocatedFault] = []
    for fault in faults:
        also = line(fault.also)
        told.append(LocatedFault(where.file, line(fault.path) or also, fault, also))
    return sorted(told, key=lambda each: each.line)
