"""Changes of a configuration: typed entries that are put or removed. No I/O.

An entry is one part of a file that a reload may change: an endpoint, a destination, an item of [[terms]], a
customer, or the settings of a queue class. A kind and a name identify it, and a later change replaces or
removes it by them. `laureldock.setup.plan` defines the values; `laureldock.setup.catalog` checks changes.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct
from xxhash import xxh3_64_intdigest

from laureldock.setup import plan
from laureldock.setup.entries import as_list
from laureldock.setup.units import decode, encode


class EntryKind(StrEnum):
    """The first part of an entry's key, as operators write it: `endpoint.bank-1`."""

    ENDPOINT = "endpoint"
    DESTINATION = "destination"
    TERMS = "terms"
    CUSTOMER = "customer"
    CLASS = "class"


class EntryKey(Struct, frozen=True, array_like=True, order=True, forbid_unknown_fields=True):
    """Identifies one entry."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}.{self.name}"


class ClassSettings(plan.Terms, kw_only=True):
    """Settings of a queue class that a reload may change; they replace those of the file."""


class EndpointEntry(Struct, tag="endpoint", array_like=True, frozen=True, forbid_unknown_fields=True):
    name: str
    value: plan.Endpoint

    @property
    def key(self) -> EntryKey:
        return EntryKey(EntryKind.ENDPOINT, self.name)


class DestinationEntry(Struct, tag="destination", array_like=True, frozen=True, forbid_unknown_fields=True):
    name: str
    value: plan.Destination

    @property
    def key(self) -> EntryKey:
        return EntryKey(EntryKind.DESTINATION, self.name)


class TermsEntry(Struct, tag="terms", array_like=True, frozen=True, forbid_unknown_fields=True):
    name: str  # from `terms_name`
    value: plan.Entry

    @property
    def key(self) -> EntryKey:
        return EntryKey(EntryKind.TERMS, self.name)


class CustomerEntry(Struct, tag="customer", array_like=True, frozen=True, forbid_unknown_fields=True):
    name: str
    value: plan.Customer

    @property
    def key(self) -> EntryKey:
        return EntryKey(EntryKind.CUSTOMER, self.name)


class ClassEntry(Struct, tag="class", array_like=True, frozen=True, forbid_unknown_fields=True):
    name: str
    value: ClassSettings

    @property
    def key(self) -> EntryKey:
        return EntryKey(EntryKind.CLASS, self.name)


def terms_name(value: plan.Entry) -> str:
    """The given name, else derived from the selectors, as `class=a+b,destination=c`; `all` without any."""
    if value.name is not None:
        return value.name
    selected = (
        ("class", value.queue_class),
        ("kind", value.kind),
        ("destination", value.destination),
        ("route", value.route),
    )
    parts = [f"{field}={'+'.join(as_list(given))}" for field, given in selected if given is not None]
    return ",".join(parts) or "all"


CatalogEntry = EndpointEntry | DestinationEntry | TermsEntry | CustomerEntry | ClassEntry


class Change(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Entries to put and to remove, applied as a whole or not at all, in any order. A key occurs once."""

    puts: tuple[CatalogEntry, ...] = ()
    removals: tuple[EntryKey, ...] = ()


class UnreadableChangeError(ValueError):
    """Encoded bytes that are not a change, or not entries, in this program's format."""


_encoder = msgspec.msgpack.Encoder()
_change_decoder = msgspec.msgpack.Decoder(Change, dec_hook=decode)
_entries_decoder = msgspec.msgpack.Decoder(tuple[CatalogEntry, ...], dec_hook=decode)


def _compact(entry: CatalogEntry) -> list[Any]:
    """An entry as plain values without unset fields: shorter, and identical for equal entries."""
    tag, name, value = msgspec.to_builtins(entry, enc_hook=encode)
    return [tag, name, {field: each for field, each in value.items() if each is not None}]


def encode_change(change: Change) -> bytes:
    puts = [_compact(entry) for entry in change.puts]
    return _encoder.encode([puts, change.removals])


def decode_change(body: bytes) -> Change:
    """Raises UnreadableChangeError."""
    try:
        return _change_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnreadableChangeError(str(error)) from None


def encode_entries(entries: Iterable[CatalogEntry]) -> bytes:
    return _encoder.encode([_compact(entry) for entry in entries])


def decode_entries(body: bytes) -> tuple[CatalogEntry, ...]:
    """Raises UnreadableChangeError."""
    try:
        return _entries_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnreadableChangeError(str(error)) from None


def entry_digest(entry: CatalogEntry) -> int:
    """Hash of one entry. The XOR of all hashes is the digest of a catalog, equal for equal catalogs."""
    return xxh3_64_intdigest(_encoder.encode(_compact(entry))) >> 2
