"""Changes of a configuration: typed entries that are put or removed. No I/O.

An entry is what a reload of a file may change: an endpoint, a destination, settings of [[terms]], a customer,
or the settings of a queue class. Each has a kind and a name of its own, by which a later change replaces or
removes it. What an entry means is said by `laureldock.setup.plan`; whether a change may be taken is decided
by `laureldock.setup.catalog`.
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
    """What one entry is known by."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}.{self.name}"


class ClassSettings(plan.Terms, kw_only=True):
    """What a reload may change of a queue class: settings, which replace those of the dispatcher's file."""


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
    name: str  # `terms_name`: as given, else made of what it selects
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
    """As given, else made of what it selects: `class=a+b,destination=c`; `all` where it names nothing."""
    if value.name is not None:
        return value.name
    selected = (
        ("class", value.queue_class),
        ("kind", value.kind),
        ("destination", value.destination),
        ("route", value.route),
    )
    parts = [f"{field}={'+'.join(as_list(told))}" for field, told in selected if told is not None]
    return ",".join(parts) or "all"


CatalogEntry = EndpointEntry | DestinationEntry | TermsEntry | CustomerEntry | ClassEntry


class Change(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Applied as a whole or not at all; a key stands in it once. The order within it means nothing."""

    puts: tuple[CatalogEntry, ...] = ()
    removals: tuple[EntryKey, ...] = ()


class UnreadableChangeError(ValueError):
    """Encoded bytes that are no change of this program's format."""


_encoder = msgspec.msgpack.Encoder()
_changes = msgspec.msgpack.Decoder(Change, dec_hook=decode)
_entries = msgspec.msgpack.Decoder(tuple[CatalogEntry, ...], dec_hook=decode)


def _compact(entry: CatalogEntry) -> list[Any]:
    """An entry as plain values without what is not set: shorter, and the same for equal entries."""
    tag, name, value = msgspec.to_builtins(entry, enc_hook=encode)
    return [tag, name, {field: each for field, each in value.items() if each is not None}]


def encode_change(change: Change) -> bytes:
    puts = [_compact(entry) for entry in change.puts]
    return _encoder.encode([puts, change.removals])


def decode_change(body: bytes) -> Change:
    """UnreadableChangeError."""
    try:
        return _changes.decode(body)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise UnreadableChangeError(str(fault)) from None


def encode_entries(entries: Iterable[CatalogEntry]) -> bytes:
    return _encoder.encode([_compact(entry) for entry in entries])


def decode_entries(body: bytes) -> tuple[CatalogEntry, ...]:
    """UnreadableChangeError."""
    try:
        return _entries.decode(body)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise UnreadableChangeError(str(fault)) from None


def entry_digest(entry: CatalogEntry) -> int:
    """What one entry adds, by exclusive or, to the digest of all entries: equal where states are."""
    return xxh3_64_intdigest(_encoder.encode(_compact(entry))) >> 2
