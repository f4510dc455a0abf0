"""A catalog of entries: reasons and paths of refused changes, and the cost of a change."""

from __future__ import annotations

import sys
from collections.abc import Callable
from copy import deepcopy

import msgspec
import pytest

from laureldock.setup.catalog import AppliedChange, Catalog, RefusedChangeError
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
    decode_entries,
    encode_entries,
    terms_name,
)
from laureldock.setup.entries import name_of
from laureldock.setup.faults import Fault
from laureldock.setup.plan import Customer, Destination, Endpoint, Entry, Plan
from laureldock.setup.units import Address, Seconds, decode

BASE = msgspec.convert(
    {
        "limits": {"slots": 16},
        "source": {"kind": "controller", "controllers": ["127.0.0.1:7000"]},
        "class": {
            "news": {"effect": "redeliverable", "target_delay": "1s", "lifetime": "10s"},
            "charge": {"effect": "once-only", "target_delay": "1s", "lifetime": "10s", "importance": 5.0},
        },
        "kind": {"shop": {"window": 4}, "office": {}},
    },
    Plan,
    dec_hook=decode,
)


def endpoint(name: str, destination: str, port: int = 9001, **settings: object) -> EndpointEntry:
    value = Endpoint(destination=destination, address=Address(f"127.0.0.1:{port}"), name=name)
    return EndpointEntry(name, msgspec.structs.replace(value, **settings))


def destination(name: str, kind: str | None = None, **settings: object) -> DestinationEntry:
    return DestinationEntry(name, msgspec.structs.replace(Destination(kind=kind), **settings))


def terms(**fields: object) -> TermsEntry:
    value = msgspec.structs.replace(Entry(), **fields)
    return TermsEntry(terms_name(value), value)


def put(*entries: CatalogEntry) -> Change:
    return Change(entries)


def removal(*keys: str) -> Change:
    parts = [key.partition(".") for key in keys]
    return Change(removals=tuple(EntryKey(EntryKind(kind), name) for kind, _, name in parts))


def refusal(catalog: Catalog, change: Change) -> list[Fault]:
    """The faults of a refused change, which must leave the catalog unchanged."""
    before = snapshot(catalog)
    with pytest.raises(RefusedChangeError) as refused:
        catalog.apply(change)
    assert snapshot(catalog) == before
    return refused.value.faults


def snapshot(catalog: Catalog) -> object:
    """All state of a catalog with its indexes, without the order of equal settings."""
    book = catalog.terms_index
    entries = {
        key: sorted((str(each.path), each.value) for each in found) for key, found in book.entries.items()
    }
    indexes = (catalog.places, catalog.addresses)
    groups = (catalog.endpoint_names, catalog.terms_by_scope)
    return deepcopy(
        (catalog.plan(), catalog.digest, entries, book.settings, book.scopes, groups, *map(vars, indexes))
    )


def paths(faults: list[Fault]) -> set[str]:
    return {".".join(map(str, fault.path)) for fault in faults}


@pytest.fixture
def catalog() -> Catalog:
    found = Catalog(BASE)
    found.apply(
        put(
            endpoint("n1", "north", 9001),
            endpoint("s1", "south", 9002, time_out=Seconds(3.0)),
            destination("north", "shop"),
            terms(queue_class="news", destination="south", connects=3),
            CustomerEntry("acme", Customer(quota=5.0)),
            ClassEntry("charge", ClassSettings(time_out=Seconds(5.0))),
            terms(queue_class="charge", route="s1", time_out=Seconds(4.0)),
        )
    )
    return found


def test_entries_put_are_held_and_a_repeat_changes_nothing(catalog: Catalog) -> None:
    assert len(catalog) == 7
    assert [str(entry.key) for entry in catalog.entries()] == [
        "class.charge", "customer.acme", "destination.north", "endpoint.n1", "endpoint.s1",
        "terms.class=charge,route=s1", "terms.class=news,destination=south",
    ]  # fmt: skip
    held = list(catalog.entries())
    assert decode_entries(encode_entries(held)) == tuple(held)
    assert catalog.get(held[0].key) == held[0] and catalog.in_force.classes["charge"].importance == 5.0
    assert catalog.apply(Change(tuple(held))) == AppliedChange()


def test_a_moved_endpoint_reports_its_previous_value(catalog: Catalog) -> None:
    before = catalog.endpoints["n1"]
    change = Change((endpoint("n1", "south", 9009),), (EntryKey(EntryKind.DESTINATION, "north"),))
    found = catalog.apply(change)
    assert [(each.name, each.before) for each in found.endpoints_put] == [("n1", before)]
    assert found.destinations == ["north"] == found.kind_changed
    assert set(catalog.endpoint_names) == {"south"}


def test_removing_a_class_override_restores_the_base(catalog: Catalog) -> None:
    assert catalog.in_force.classes["charge"].time_out == 5.0
    catalog.apply(Change(removals=(EntryKey(EntryKind.CLASS, "charge"),)))
    assert catalog.in_force.classes["charge"] == BASE.classes["charge"]


def test_equal_entries_have_equal_digests_in_any_order(catalog: Catalog) -> None:
    other = Catalog(BASE)
    other.apply(put(endpoint("x", "elsewhere")))
    found = other.replace(decode_entries(encode_entries(catalog.entries())))
    assert other.digest == catalog.digest != 0
    assert [each.name for each in found.endpoints_removed] == ["x"] and len(found.endpoints_put) == 2
    other.replace([])
    assert other.digest == 0 == len(other) and not other.places


@pytest.mark.parametrize(
    ("change", "place"),
    [
        (put(destination("nroth")), "destination.nroth"),
        (put(destination("north", "shpo")), "destination.north.kind"),
        (put(destination("south", window=12)), "destination.south.window"),
        (put(destination("north", "shop", time_out=Seconds(11))), "destination.north.time_out"),
        (put(endpoint("n2", "north", 9001)), "endpoint.n2.address"),
        (put(endpoint("n2", "north", 9003, connects=2)), "endpoint.n2.connects"),
        (put(endpoint("n2", "north", 9003, window=30)), "endpoint.n2.window"),
        (put(endpoint("n2", "north", 9003, time_out=Seconds(0))), "endpoint.n2.time_out"),
        (put(endpoint("n2", "north", 9003), endpoint("n2", "south", 9004)), "endpoint.n2"),
        (put(EndpointEntry("n9", endpoint("n8", "north", 9003).value)), "endpoint.n9.name"),
        (put(terms(queue_class="nwes", connects=2)), "terms.class=nwes.class"),
        (put(terms(kind="shpo", connects=2)), "terms.kind=shpo.kind"),
        (put(terms(destination="nroth", connects=2)), "terms.destination=nroth.destination"),
        (put(terms(route="n7", time_out=Seconds(1))), "terms.route=n7.route"),
        (put(terms(destination="north")), "terms.destination=north"),
        (put(terms(queue_class="charge", kind="shop", copies=2)), "terms.class=charge,kind=shop.copies"),
        (put(terms(kind="shop", retry_after=Seconds(60))), "terms.kind=shop.retry_after"),
        (put(terms(queue_class="news", kind="shop", window=2)), "terms.class=news,kind=shop.window"),
        (put(TermsEntry("any", terms(queue_class="news", connects=2).value)), "terms.any.name"),
        (put(terms(destination="south", connects=2), terms(destination="south", connects=3)),
         "terms.destination=south"),
        (put(ClassEntry("nwes", ClassSettings(connects=2))), "class.nwes"),
        (put(ClassEntry("news", ClassSettings(connects=9))), "class.news.connects"),
        (put(ClassEntry("news", ClassSettings(window=3))), "class.news.window"),
        (put(CustomerEntry("no name", Customer())), "customer.no name"),
        (removal("endpoint.n1"), "destination.north"),
        (removal("endpoint.s1"), "terms.class=charge,route=s1.route"),
        (removal("endpoint.s1"), "terms.class=news,destination=south.destination"),
        (removal("endpoint.n7"), "endpoint.n7"),
        (removal("terms.class=charge,route=s1"), "class.charge.time_out"),  # conflicts with the endpoint
        (Change((endpoint("n1", "north"),), (EntryKey(EntryKind.ENDPOINT, "n1"),)), "endpoint.n1"),
    ],
)  # fmt: skip
def test_a_change_that_breaks_a_rule_is_refused_with_its_path(
    catalog: Catalog, change: Change, place: str
) -> None:
    assert place in paths(refusal(catalog, change))


def test_a_new_kind_of_a_destination_is_checked_at_its_routes_too(catalog: Catalog) -> None:
    settled = terms(queue_class="charge", route="e1", time_out=Seconds(2))
    catalog.apply(put(endpoint("e1", "east", 9005, time_out=Seconds(2)), settled, destination("east")))
    catalog.apply(put(terms(queue_class="news", kind="office", time_out=Seconds(3))))
    faults = refusal(catalog, put(destination("east", "office")))
    assert paths(faults) & {"endpoint.e1.time_out", "terms.class=news,kind=office.time_out"}
    catalog.apply(put(destination("east", "shop")))
    assert vars(catalog.places) == vars(of_entries(catalog).places)


def test_two_endpoints_may_swap_their_addresses_in_one_change(catalog: Catalog) -> None:
    catalog.apply(put(endpoint("n2", "north", 9003)))
    catalog.apply(put(endpoint("n1", "north", 9003), endpoint("n2", "north", 9001)))
    assert catalog.endpoints["n1"].address == "127.0.0.1:9003"


def test_all_of_a_thousand_faults_are_reported(catalog: Catalog) -> None:
    wrong = [destination(f"d{number}", "shpo") for number in range(500)]
    faults = refusal(catalog, put(*wrong, endpoint("n3", "east", 9005)))
    assert len(faults) == 1000 == len(paths(faults))


def test_a_removal_of_a_missing_entry_may_be_ignored(catalog: Catalog) -> None:
    change = removal("endpoint.n7", "customer.acme")
    assert catalog.apply(change, missing_ok=True).customers == ["acme"]


def test_names_of_terms_are_derived_from_their_selectors() -> None:
    assert terms(queue_class=["a", "b"], destination="c", connects=1).name == "class=a+b,destination=c"
    assert terms(name="mine", connects=1, queue_class="a").name == "mine"
    assert name_of(endpoint("x", "y").value) == "x"


def calls_of(work: Callable[[], object]) -> int:
    """The number of function calls that it makes, with those of built-in functions."""
    count = 0

    def counted(frame: object, event: str, argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(counted)
    try:
        work()
    finally:
        sys.setprofile(None)
    return count


def of_entries(catalog: Catalog) -> Catalog:
    """A new catalog with the same entries, added in one step."""
    found = Catalog(BASE)
    found.replace(list(catalog.entries()))
    return found


def of_size(count: int) -> Catalog:
    found = Catalog(BASE)
    found.replace([endpoint(f"e{number}", f"d{number}", 9001) for number in range(count)])
    return found


CHANGES = {
    "address": put(endpoint("e7", "d7", 9002)),
    "window": put(destination("d7", "shop", window=3)),
    "terms": put(terms(destination="d7", queue_class="news", connects=2)),
    "new": put(endpoint("fresh", "fresh")),
    "class": put(ClassEntry("news", ClassSettings(connects=2))),
    "kind": put(terms(kind="shop", queue_class="news", connects=2)),
    "removed": removal("endpoint.e7"),
}


@pytest.mark.parametrize("name", CHANGES)
def test_the_cost_of_a_change_does_not_depend_on_the_catalog_size(name: str) -> None:
    catalogs = [of_size(size) for size in (10, 3000)]
    few, many = (calls_of(lambda: catalog.apply(CHANGES[name])) for catalog in catalogs)  # noqa: B023
    assert few == many < 2000


def test_the_cost_of_a_refused_change_does_not_depend_on_the_catalog_size() -> None:
    change = put(terms(destination="d7", window=100), endpoint("e8", "d7"), destination("nowhere", window=90))
    catalogs = [of_size(size) for size in (600, 3000)]

    def refused(catalog: Catalog) -> None:
        with pytest.raises(RefusedChangeError):
            catalog.apply(change)

    few, many = (calls_of(lambda: refused(catalog)) for catalog in catalogs)  # noqa: B023
    assert few == many < 3000
