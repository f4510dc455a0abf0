"""Random sequences of changes, against the whole file that means the same."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from laureldock.setup.catalog import Catalog, RefusedChangeError
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
    decode_change,
    encode_change,
    terms_name,
)
from laureldock.setup.entries import settings_of, term_book
from laureldock.setup.faults import Fault
from laureldock.setup.plan import Customer, Destination, Endpoint, Entry, Plan, Source
from laureldock.setup.rules import Bounds, check
from laureldock.setup.units import Address, Seconds, decode

BASE = msgspec.convert(
    {
        "limits": {"slots": 16, "copies": True},
        "source": {"kind": "controller", "controllers": ["127.0.0.1:7000"]},
        "class": {
            "news": {"effect": "redeliverable", "target_delay": "1s", "lifetime": "10s", "importance": 2.0},
            "charge": {"effect": "once-only", "target_delay": "1s", "lifetime": "5s", "resend": "never"},
        },
        "kind": {"shop": {"window": 4}, "office": {"batch": 2, "apart": False}},
    },
    Plan,
    dec_hook=decode,
)
NO_ENDPOINT = Fault(("endpoint",), "no endpoint is listed", "one [[endpoint]] or more, or another source")
Held = dict[EntryKey, CatalogEntry]

DESTINATIONS = ("d1", "d2", "33", "d4")
ROUTES = ("r1", "r2", "r3", "r4", "127.0.0.1:1")
CLASSES = ("news", "charge")


def whole(held: Mapping[EntryKey, CatalogEntry]) -> Plan:
    """The file with these entries, made without a catalog."""
    classes = dict(BASE.classes)
    plan = structs.replace(
        BASE, source=Source(), classes=classes, destinations={}, customers={}, endpoints=[], terms=[]
    )
    for entry in held.values():
        match entry:
            case EndpointEntry(_, value):
                plan.endpoints.append(value)
            case DestinationEntry(name, value):
                plan.destinations[name] = value
            case TermsEntry(_, value):
                plan.terms.append(value)
            case CustomerEntry(name, value):
                plan.customers[name] = value
            case ClassEntry(name, value):
                classes[name] = structs.replace(classes[name], **dict(settings_of(value)))
    return plan


def changed(held: Held, change: Change) -> Held | None:
    """What is held after it, unless it is refused."""
    keys = [*(entry.key for entry in change.puts), *change.removals]
    if len(set(keys)) < len(keys) or not set(change.removals) <= set(held):
        return None
    if any(isinstance(each, ClassEntry) and each.name not in CLASSES for each in change.puts):
        return None
    after = {key: entry for key, entry in held.items() if key not in change.removals}
    after |= {entry.key: entry for entry in change.puts}
    plan = whole(after)
    faults = [fault for fault in check(plan, Bounds()) if fault != NO_ENDPOINT]
    # Of a file without endpoints that one fault is told for all; no catalog is refused for having none yet.
    return None if faults or (plan.destinations and not plan.endpoints) else after


some_settings: dict[str, st.SearchStrategy[Any]] = {
    "time_out": st.sampled_from([0.0, 1.0, 2.0, 6.0]).map(Seconds),
    "connects": st.sampled_from([1, 1, 2, 9]),
    "copies": st.sampled_from([1, 2, 3]),
    "copy_after": st.sampled_from([0.5, 7.0]).map(Seconds),
    "window": st.sampled_from([1, 2, 3, 11, 12]),
    "importance": st.sampled_from([0.0, 3.0]),
    "retry_after": st.sampled_from([1.0, 2.0, 4.0]).map(Seconds),
}
# Few at once: most files of many random settings break a rule.
told_settings = st.one_of(
    st.just(dict[str, Any]()),
    st.sampled_from(sorted(some_settings)).flatmap(
        lambda name: st.fixed_dictionaries({name: some_settings[name]})
    ),
    st.fixed_dictionaries({name: some_settings[name] for name in ("window", "time_out")}),
)


@st.composite
def endpoint_entries(draw: st.DrawFn) -> EndpointEntry:
    name = draw(st.sampled_from(ROUTES))
    port = 1 if name.startswith("127") else draw(st.integers(1, 4))
    value = Endpoint(
        destination=draw(st.sampled_from(DESTINATIONS)),
        address=Address(f"127.0.0.1:{port}"),
        name=None if name.startswith("127") else name,
        zone=draw(st.sampled_from(["", "z"])),
        rate=draw(st.sampled_from([0.0, 20.0])),
    )
    told: dict[str, Any] = draw(st.one_of(st.just({}), st.just({}), told_settings))
    return EndpointEntry(name, structs.replace(value, **told))


@st.composite
def terms_entries(draw: st.DrawFn) -> TermsEntry:
    names = {
        "kind": ("shop", "office", "shpo"),
        "destination": (*DESTINATIONS, "nowhere"),
        "route": (*ROUTES, "none"),
    }
    told = dict(draw(told_settings))
    for field in draw(st.lists(st.sampled_from(sorted(names)), max_size=2 if draw(st.booleans()) else 1)):
        known = st.sampled_from(names[field])
        told[field] = draw(st.one_of(known, known, st.lists(known, max_size=2)))
    if draw(st.booleans()):
        told["queue_class"] = draw(st.sampled_from(CLASSES))
    value = structs.replace(Entry(name=draw(st.sampled_from([None, None, "t1", "t2"]))), **told)
    return TermsEntry(terms_name(value), value)


destination_entries = st.builds(
    lambda name, kind, told: DestinationEntry(name, structs.replace(Destination(kind=kind), **told)),
    st.sampled_from(DESTINATIONS),
    st.sampled_from([None, "shop", "office", "shop", "office", "shpo"]),
    told_settings,
)
class_entries = st.builds(
    lambda name, told: ClassEntry(name, structs.replace(ClassSettings(), **told)),
    st.sampled_from([*CLASSES, *CLASSES, "nwes"]),
    told_settings,
)
customer_entries = st.builds(
    lambda name, quota: CustomerEntry(name, Customer(quota=quota)),
    st.sampled_from(["acme", "other"]),
    st.sampled_from([0.0, 1.0, 2.0]),
)
entries: st.SearchStrategy[CatalogEntry] = st.one_of(
    endpoint_entries(), endpoint_entries(), destination_entries, terms_entries(), class_entries,
    customer_entries,
)  # fmt: skip
SELECTABLE = {"destination": DESTINATIONS, "route": ROUTES, "class": CLASSES}
made_names = [f"{field}={name}" for field, names in SELECTABLE.items() for name in names]
removals = st.one_of(
    st.builds(EntryKey, st.just(EntryKind.ENDPOINT), st.sampled_from(ROUTES)),
    st.builds(EntryKey, st.just(EntryKind.DESTINATION), st.sampled_from(DESTINATIONS)),
    st.builds(EntryKey, st.just(EntryKind.TERMS), st.sampled_from(["t1", "t2", *made_names])),
    st.builds(EntryKey, st.just(EntryKind.CLASS), st.sampled_from(CLASSES)),
    st.builds(EntryKey, st.just(EntryKind.CUSTOMER), st.sampled_from(["acme", "other"])),
)


@st.composite
def sequences(draw: st.DrawFn) -> list[Change]:
    """First endpoints in most, so that much of what follows can be taken."""
    first = draw(st.lists(endpoint_entries(), min_size=2, max_size=5, unique_by=lambda entry: entry.key))
    found = [Change((entry,)) for entry in first]
    for _ in range(draw(st.integers(1, 14))):
        puts = draw(st.lists(entries, max_size=3, unique_by=lambda entry: entry.key))
        gone = draw(st.lists(removals, max_size=0 if draw(st.booleans()) else 2))
        found.append(Change(tuple(puts), tuple(gone)))
    return found


def filled(held: Iterable[CatalogEntry]) -> Catalog:
    catalog = Catalog(BASE)
    catalog.replace(held)
    return catalog


@settings(max_examples=400, deadline=None, derandomize=True)
@given(sequences())
def test_a_catalog_takes_what_the_whole_file_would_take_and_holds_the_same(changes: list[Change]) -> None:
    catalog, held = Catalog(BASE), Held()
    for change in changes:
        change = decode_change(encode_change(change))
        after = changed(held, change)
        try:
            catalog.apply(change)
        except RefusedChangeError as refused:
            assert after is None, refused.faults
        else:
            assert after is not None, change
            held = after
        expected = filled(held.values())
        assert {entry.key: entry for entry in catalog.entries()} == held
        assert catalog.digest == expected.digest
        assert same_settings(catalog, held)
        assert vars(catalog.places) == vars(expected.places)
        assert vars(catalog.addresses) == vars(expected.addresses)
        assert catalog.endpoint_names == expected.endpoint_names
        assert catalog.terms_naming == expected.terms_naming


def same_settings(catalog: Catalog, held: Held) -> bool:
    """Whether the book has what that of the whole file has, in whichever order."""
    book, expected = catalog.term_book, term_book(whole(held))[0]
    counted = book.settings == expected.settings and book.spots == expected.spots
    return counted and {key: sorted(each.value for each in found) for key, found in book.entries.items()} == {
        key: sorted(each.value for each in found) for key, found in expected.entries.items()
    }
