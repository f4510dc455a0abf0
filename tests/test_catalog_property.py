"""Random sequences of changes, compared with an equivalent file."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import ExitStack, closing
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs
from offline_assembly import OfflineAssembly

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
from laureldock.setup.entries import index_terms, settings_of
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


def equivalent_plan(held: Mapping[EntryKey, CatalogEntry]) -> Plan:
    """The plan of a file with these entries, made without a catalog."""
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
    """The entries after the change, or None if it is refused."""
    keys = [*(entry.key for entry in change.puts), *change.removals]
    if len(set(keys)) < len(keys) or not set(change.removals) <= set(held):
        return None
    if any(isinstance(each, ClassEntry) and each.name not in CLASSES for each in change.puts):
        return None
    after = {key: entry for key, entry in held.items() if key not in change.removals}
    after |= {entry.key: entry for entry in change.puts}
    plan = equivalent_plan(after)
    faults = [fault for fault in check(plan, Bounds()) if fault != NO_ENDPOINT]
    # A file without endpoints has this one fault in place of all others; a catalog may have no endpoints yet.
    return None if faults or (plan.destinations and not plan.endpoints) else after


some_settings: dict[str, st.SearchStrategy[Any]] = {
    "time_out": st.sampled_from([1.0, 1.0, 2.0, 3.0, 0.0, 6.0]).map(Seconds),
    "connects": st.sampled_from([1, 1, 2, 9]),
    "copies": st.sampled_from([1, 1, 2, 3]),
    "copy_after": st.sampled_from([0.5, 0.7, 7.0]).map(Seconds),
    "window": st.sampled_from([1, 2, 3, 11, 3, 2, 12]),
    "importance": st.sampled_from([0.0, 3.0]),
    "retry_after": st.sampled_from([1.0, 2.0, 3.0, 4.0]).map(Seconds),
}
# Few settings at once, since most files with many random settings break a rule.
one_setting = st.sampled_from(sorted(some_settings)).flatmap(
    lambda name: st.fixed_dictionaries({name: some_settings[name]})
)
some_or_no_settings = st.one_of(
    st.just(dict[str, Any]()),
    one_setting,
    st.fixed_dictionaries({name: some_settings[name] for name in ("window", "time_out")}),
)
route_settings = st.sampled_from(["window", "time_out", "time_out", "time_out", "connects"]).flatmap(
    lambda name: st.fixed_dictionaries({name: some_settings[name]})
)


def mostly_listed(listed: Iterable[str], known: tuple[str, ...]) -> st.SearchStrategy[str]:
    """Mostly listed names, since most others are refused."""
    some = sorted(listed)
    return st.sampled_from([*some * 4, *known]) if some else st.sampled_from(known)


@st.composite
def endpoint_entries(draw: st.DrawFn) -> EndpointEntry:
    name = draw(st.sampled_from(ROUTES))
    port = 1 if name.startswith("127") else draw(st.integers(1, 6))
    value = Endpoint(
        destination=draw(st.sampled_from(DESTINATIONS)),
        address=Address(f"127.0.0.1:{port}"),
        name=None if name.startswith("127") else name,
        zone=draw(st.sampled_from(["", "z"])),
        rate=draw(st.sampled_from([0.0, 20.0])),
    )
    chosen: dict[str, Any] = draw(st.one_of(st.just({}), st.just({}), route_settings))
    return EndpointEntry(name, structs.replace(value, **chosen))


@st.composite
def terms_entries(draw: st.DrawFn, listed: dict[str, str]) -> TermsEntry:
    known = {
        "kind": st.sampled_from(["shop", "office", "shop", "office", "shpo"]),
        "destination": mostly_listed(listed.values(), (*DESTINATIONS, "nowhere")),
        "route": mostly_listed(listed, (*ROUTES, "none")),
    }
    places = draw(st.sampled_from([(), *[(field,) for field in known] * 5, ("kind", "route")]))
    chosen = dict(draw(route_settings if "route" in places else one_setting))
    for field in places:
        some_names = st.lists(known[field], max_size=2, unique=draw(st.booleans()))
        chosen[field] = draw(st.one_of(known[field], known[field], some_names))
    if "window" not in chosen and draw(st.booleans()):
        chosen["queue_class"] = draw(st.sampled_from([*CLASSES, list(CLASSES)]))
    value = structs.replace(Entry(name=draw(st.sampled_from([None, None, "t1", "t2"]))), **chosen)
    return TermsEntry(terms_name(value), value)


def destination_entries(listed: dict[str, str]) -> st.SearchStrategy[DestinationEntry]:
    return st.builds(
        lambda name, kind, chosen: DestinationEntry(name, structs.replace(Destination(kind=kind), **chosen)),
        mostly_listed(listed.values(), DESTINATIONS),
        st.sampled_from([None, *["shop", "office"] * 4, "shpo"]),
        some_or_no_settings,
    )


class_entries = st.builds(
    lambda name, chosen: ClassEntry(name, structs.replace(ClassSettings(), **chosen)),
    st.sampled_from([*CLASSES * 3, "nwes"]),
    some_or_no_settings,
)
customer_entries = st.builds(
    lambda name, quota: CustomerEntry(name, Customer(quota=quota)),
    st.sampled_from(["acme", "other"]),
    st.sampled_from([0.0, 1.0, 2.0]),
)


def entries(listed: dict[str, str]) -> st.SearchStrategy[CatalogEntry]:
    return st.one_of(
        endpoint_entries(),
        endpoint_entries(),
        destination_entries(listed),
        destination_entries(listed),
        terms_entries(listed),
        terms_entries(listed),
        class_entries,
        customer_entries,
    )


@st.composite
def changes_to(draw: st.DrawFn, held: Held) -> Change:
    """Puts some entries, and removes some that are held or unknown."""
    listed = {name: each.value.destination for (_, name), each in endpoints_of(held).items()}
    puts = draw(st.lists(entries(listed), min_size=1, max_size=3, unique_by=lambda entry: entry.key))
    unknown = EntryKey(EntryKind.ENDPOINT, "unknown")
    others = [key for key in held if key.kind is not EntryKind.ENDPOINT]
    removal = st.sampled_from([*held, *others * 4, unknown])
    gone = draw(st.lists(removal, max_size=draw(st.sampled_from([0, 0, 1, 2]))))
    if draw(st.integers(0, 9)) == 0:
        puts = []
    return Change(tuple(puts), tuple(gone))


def endpoints_of(held: Held) -> dict[tuple[EntryKind, str], EndpointEntry]:
    return {(key.kind, key.name): each for key, each in held.items() if isinstance(each, EndpointEntry)}


first_entries = st.lists(endpoint_entries(), min_size=2, max_size=5, unique_by=lambda entry: entry.key)


def filled(held: Iterable[CatalogEntry]) -> Catalog:
    catalog = Catalog(BASE)
    catalog.replace(held)
    return catalog


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_a_catalog_accepts_and_holds_the_same_as_an_equivalent_file(data: st.DataObject) -> None:
    catalog, held = Catalog(BASE), Held()
    for change in drawn(data, held):
        after = changed(held, change)
        try:
            catalog.apply(change)
        except RefusedChangeError as refused:
            assert after is None, refused.faults
        else:
            assert after is not None, change
            update(held, after)
        expected = filled(held.values())
        assert {entry.key: entry for entry in catalog.entries()} == held
        assert catalog.digest == expected.digest
        assert same_settings(catalog, held)
        assert vars(catalog.places) == vars(expected.places)
        assert vars(catalog.addresses) == vars(expected.addresses)
        assert catalog.endpoint_names == expected.endpoint_names
        assert catalog.terms_by_scope == expected.terms_by_scope


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.data())
def test_changes_lead_a_dispatcher_to_the_same_state_as_a_reload_of_the_file(
    data: st.DataObject,
) -> None:
    held = Held()
    with TemporaryDirectory() as folder, ExitStack() as ends:
        following, reloading, restarted = (
            ends.enter_context(closing(OfflineAssembly(plan, Path(folder, name))))
            for name, plan in (("following", BASE), ("reloading", equivalent_plan({})), ("restarted", BASE))
        )
        for change in drawn(data, held):
            after, before = changed(held, change), following.dispatch_state()
            if after is None:
                with pytest.raises(RefusedChangeError):
                    following.apply_change(refusable(held, change))
                assert following.dispatch_state() == before
                continue
            update(held, after)
            following.apply_change(change)
            reloading.apply_reload(equivalent_plan(held))
            expect_same(following.dispatch_state(), reloading.dispatch_state())
        restarted.replace_entries(held.values())
        expect_same(restarted.dispatch_state(), listed_alone(following.dispatch_state()))
        assert not any(each.core.counters["faults"] for each in (following, reloading, restarted))


def expect_same(found: dict[str, Any], expected: dict[str, Any]) -> None:
    for name, value in found.items():
        assert value == expected[name], name


def listed_alone(state: dict[str, Any]) -> dict[str, Any]:
    """The state without destinations that no longer have an endpoint."""
    listed = {route[0] for route in state["routes"].values()}
    return state | {
        "destinations": {name: each for name, each in state["destinations"].items() if name in listed},
        "terms": {name: each for name, each in state["terms"].items() if name[1] in listed},
        "destination_states": {
            name: each for name, each in state["destination_states"].items() if name in listed
        },
    }


def drawn(data: st.DataObject, held: Held) -> Iterator[Change]:
    """First endpoints, then changes to the current `held`, encoded and decoded as on the wire."""
    for entry in data.draw(first_entries):
        yield Change((entry,))
    for _ in range(data.draw(st.integers(1, 12))):
        yield decode_change(encode_change(data.draw(changes_to(held))))


def update(held: Held, after: Held) -> None:
    held.clear()
    held.update(after)


def refusable(held: Held, change: Change) -> Change:
    """A change that a dispatcher refuses too: it ignores removals of missing entries, not repeats."""
    if set(change.removals) <= set(held):
        return change
    return Change(change.puts, (*change.removals, *change.removals))


def same_settings(catalog: Catalog, held: Held) -> bool:
    """Whether the index has the same settings as that of an equivalent file, in any order."""
    index, expected = catalog.terms_index, index_terms(equivalent_plan(held))[0]
    counted = index.settings == expected.settings and index.scopes == expected.scopes
    return counted and {
        key: sorted(each.value for each in found) for key, found in index.entries.items()
    } == {key: sorted(each.value for each in found) for key, found in expected.entries.items()}
