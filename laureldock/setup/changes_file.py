"""CHANGES.toml, the entries that `laureldock config apply` puts and removes, and the lines of its faults.

Entries to put stand in the tables of a configuration; `remove` lists the entries to remove:

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
from laureldock.setup.places import line_numbers, nearest_line
from laureldock.setup.reading import form_faults, locate_faults, parse_file
from laureldock.setup.units import decode

Removal = Annotated[
    str,
    Meta(
        pattern=rf"^({'|'.join(EntryKind)})\..+$",
        description="kind and name of an entry, for example endpoint.bank-1",
    ),
]


class ChangesFile(plan.Table, kw_only=True):
    """Format of the file."""

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
    """The path in the file of each entry of a change."""

    file: str
    text: bytes
    paths: dict[EntryKey, Path]

    def in_file(self, path: Path) -> Path | None:
        """The path in the file for a fault's path (kind, name, field...); None if it is not in the file."""
        if len(path) < 2 or path[0] not in list(EntryKind):
            return None
        found = self.paths.get(EntryKey(EntryKind(path[0]), str(path[1])))
        if found is None or found[0] == "remove":
            return found
        return (*found, *path[2:])


def read_changes(path: str) -> tuple[Change, EntryLocations]:
    """Read a file into a change. Raises RefusedError with all faults of its form."""
    text, document = parse_file(path)
    try:
        file = msgspec.convert(document, ChangesFile, dec_hook=decode)
    except ValidationError as error:
        faults = list(form_faults(document, ChangesFile, ())) or [Fault((), str(error))]
        raise RefusedError(locate_faults(path, text, faults, [])) from None
    entries = list(entries_of(file))
    paths: dict[EntryKey, Path] = {}
    for key, at in (*((entry.key, at) for entry, at in entries), *removals_of(file)):
        paths.setdefault(key, at)
    if faults := list(repeated_entries(file, entries, paths)) or empty_change(paths):
        raise RefusedError(locate_faults(path, text, faults, []))
    puts = tuple(entry for entry, _ in entries)
    removals = tuple(key for key, _ in removals_of(file))
    return Change(puts, removals), EntryLocations(path, text, paths)


def entries_of(file: ChangesFile) -> Iterator[tuple[CatalogEntry, Path]]:
    """The entries to put, with their paths in the file."""
    for index, endpoint in enumerate(file.endpoints):
        yield EndpointEntry(name_of(endpoint), endpoint), ("endpoint", index)
    for name, destination in file.destinations.items():
        yield DestinationEntry(name, destination), ("destination", name)
    for index, terms in enumerate(file.terms):
        yield TermsEntry(terms_name(terms), terms), ("terms", index)
    for name, customer in file.customers.items():
        yield CustomerEntry(name, customer), ("customer", name)
    for name, settings in file.classes.items():
        yield ClassEntry(name, settings), ("class", name)


def removals_of(file: ChangesFile) -> Iterator[tuple[EntryKey, Path]]:
    for index, removal in enumerate(file.remove):
        kind, _, name = removal.partition(".")
        yield EntryKey(EntryKind(kind), name), ("remove", index)


def repeated_entries(
    file: ChangesFile, entries: list[tuple[CatalogEntry, Path]], paths: dict[EntryKey, Path]
) -> Iterator[Fault]:
    """Faults of entries that occur in the file more than once."""
    for key, at in (*((entry.key, at) for entry, at in entries), *removals_of(file)):
        first = paths[key]
        if at == first:
            continue
        both = "removed twice" if first[0] == "remove" else "put and removed"
        reason = f"{key} is {'put twice' if at[0] != 'remove' else both}"
        yield Fault(at, reason, "each entry once per change", first)


def empty_change(paths: dict[EntryKey, Path]) -> list[Fault]:
    return [] if paths else [Fault((), "changes nothing", "entries to put, or `remove`")]


def locate_change_faults(faults: Iterable[Fault], locations: EntryLocations) -> list[LocatedFault]:
    """Faults of a refused change with their lines in its file, sorted by line.

    The entry at fault may not be in the file, such as terms that name an endpoint that the file removes. Then
    the line is that of the entry that contradicts it, or 0.
    """
    lines = line_numbers(locations.text)

    def line_in_file(path: Path | None) -> int:
        found = locations.in_file(path) if path else None
        return nearest_line(found, lines) if found else 0

    located: list[LocatedFault] = []
    for fault in faults:
        also = line_in_file(fault.also)
        located.append(LocatedFault(locations.file, line_in_file(fault.path) or also, fault, also))
    return sorted(located, key=lambda each: each.line)
