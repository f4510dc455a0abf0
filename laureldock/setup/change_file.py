"""A file of changes as operators write it: tables of what is put, and a list of what is removed.

The tables are those of a configuration; [class.NAME] has settings alone. `remove` names entries by their
keys, as "endpoint.bank-1".
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
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
from laureldock.setup.faults import Fault, Path, Placed, RefusedError
from laureldock.setup.reading import parsed, placed, walk
from laureldock.setup.units import decode

KINDS = ", ".join(f"{kind}.NAME" for kind in EntryKind)
Key = Annotated[str, Meta(max_length=300, description="of an entry: its kind, a dot, its name")]


class ChangeFile(plan.Table, kw_only=True):
    """The form of the file."""

    remove: list[Key] = field(default_factory=list)
    classes: dict[plan.Name, ClassSettings] = field(default_factory=dict, name="class")
    destinations: dict[plan.Destined, plan.Destination] = field(default_factory=dict, name="destination")
    customers: dict[plan.Name, plan.Customer] = field(default_factory=dict, name="customer")
    endpoints: list[plan.Endpoint] = field(default_factory=list, name="endpoint")
    terms: list[plan.Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ReadChanges:
    """A change, and where each of its entries stands in the file."""

    change: Change
    file: str
    text: bytes
    where: Mapping[EntryKey, Path]

    def placed(self, faults: Sequence[Fault]) -> list[Placed]:
        """Faults by their entries (kind, name, field...), with the lines of these; 0 where it has none."""
        from laureldock.setup.places import line_of, places  # the parser is loaded for people alone

        lines = places(self.text)

        def line(path: Path | None) -> int:
            found = self._path(path or ())
            return line_of(found, lines) if found else 0

        told = [Placed(self.file, line(fault.path), fault, line(fault.also)) for fault in faults]
        return sorted(told, key=lambda each: each.line)

    def _path(self, path: Path) -> Path | None:
        """The path within the file, of a path that begins with an entry's key."""
        key = key_of(f"{path[0]}.{path[1]}") if len(path) >= 2 else None
        here = self.where.get(key) if key else None
        return None if here is None else (*here, *path[2:])


def read_changes(path: str) -> ReadChanges:
    """RefusedError with every fault of the file's form, and of keys that stand in it twice."""
    text, told = parsed(path)
    try:
        found = msgspec.convert(told, ChangeFile, dec_hook=decode)
    except ValidationError as fault:
        faults = list(walk(told, ChangeFile, ())) or [Fault((), str(fault))]
        raise RefusedError(placed(path, text, faults, [])) from None
    where: dict[EntryKey, Path] = {}
    puts: list[CatalogEntry] = []
    removals: list[EntryKey] = []
    faults = []
    for entry, here in entries(found):
        puts.append(entry)
        faults += twice(where, entry.key, here)
    for place, text_key in enumerate(found.remove):
        key = key_of(text_key)
        if key is None:
            faults.append(Fault(("remove", place), f"names no entry: {text_key!r}", KINDS))
        else:
            removals.append(key)
            faults += twice(where, key, ("remove", place))
    if faults:
        raise RefusedError(placed(path, text, faults, []))
    return ReadChanges(Change(tuple(puts), tuple(removals)), path, text, where)


def entries(found: ChangeFile) -> Iterator[tuple[CatalogEntry, Path]]:
    """Each entry that is put, and where it stands."""
    for name, settings in found.classes.items():
        yield ClassEntry(name, settings), ("class", name)
    for name, destination in found.destinations.items():
        yield DestinationEntry(name, destination), ("destination", name)
    for name, customer in found.customers.items():
        yield CustomerEntry(name, customer), ("customer", name)
    for place, endpoint in enumerate(found.endpoints):
        yield EndpointEntry(name_of(endpoint), endpoint), ("endpoint", place)
    for place, value in enumerate(found.terms):
        yield TermsEntry(terms_name(value), value), ("terms", place)


def twice(where: dict[EntryKey, Path], key: EntryKey, here: Path) -> Iterator[Fault]:
    """Enter where a key stands; a fault if it stands elsewhere too."""
    before = where.setdefault(key, here)
    if before != here:
        yield Fault(here, f"{key} stands twice in the file", "once, put or removed", before)


def key_of(text: str) -> EntryKey | None:
    kind, _, name = text.partition(".")
    if kind not in EntryKind.__members__.values() or not name:
        return None
    return EntryKey(EntryKind(kind), name)
