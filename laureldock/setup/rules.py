"""Checks a plan: settings that would break one of the six delivery rules are refused before it runs. No I/O.

The default bounds are those by which the rehearsal judges the rules. A platform that states its limits gives
the bounds itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from difflib import get_close_matches
from ipaddress import ip_address
from math import inf

from laureldock.setup.entries import as_list, index_terms, kind_of, name_of, scopes_of
from laureldock.setup.faults import Fault, Path
from laureldock.setup.plan import SETTINGS, Destination, Endpoint, Entry, Plan, QueueClass
from laureldock.setup.terms import Scope, SetValue, TermsIndex
from laureldock.setup.units import encode

# A hedged attempt helps against one slow call; more copies would only add load to a slow receiver.
MAX_COPIES = 2


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the rules set: upper ones, and for `key_rest` a lower one."""

    connects: int = 8
    copies: bool = True
    key_rest: float = 0.3
    drain_grace: float = 0.5


def window_cap(slots: int) -> int:
    """Largest window of a destination: fewer than three quarters of the slots, as the design demands."""
    return max(1, -(-slots * 3 // 4) - 1)


def check(plan: Plan, bounds: Bounds) -> list[Fault]:
    """All faults of a plan whose form is valid."""
    terms_index, faults = index_terms(plan)
    for part in (
        machine_faults,
        adapter_faults,
        limit_faults,
        classes_faults,
        name_faults,
        endpoint_faults,
        fleet_faults,
    ):
        faults += part(plan, bounds)
    checker = SettingsChecker(plan, bounds, terms_index)
    faults += checker.check()
    return faults


def require_positive(path: Path, value: float | None) -> Iterator[Fault]:
    if value is not None and not value > 0:
        yield Fault(path, "must be more than 0")


def machine_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    limits = plan.limits
    if limits.disk < 64 << 10:
        yield Fault(("limits", "disk"), f"{encode(limits.disk)} is too small for a message", "64KiB or more")
    if limits.slots > limits.sockets // 2:
        allowed = f"{limits.sockets // 2}, half of limits.sockets, or fewer"
        yield Fault(("limits", "slots"), f"{limits.slots} calls in flight need more sockets", allowed)


def limit_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    limits = plan.limits
    yield from require_positive(("limits", "connect_time"), limits.connect_time)
    if limits.connects > bounds.connects:
        path, allowed = ("limits", "connects"), f"{bounds.connects} or fewer"
        yield Fault(path, f"{limits.connects} attempts per message exceed the limit of the rules", allowed)
    if limits.copies and not bounds.copies:
        yield Fault(("limits", "copies"), "two attempts of a message at once are not allowed here", "false")
    if limits.key_rest < bounds.key_rest:
        reason = (
            f"a cooldown of {encode(limits.key_rest)} could let a later message overtake "
            "an attempt that may still run"
        )
        yield Fault(("limits", "key_rest"), reason, f"{bounds.key_rest:g}s or more")
    if limits.drain_grace > bounds.drain_grace:
        path, allowed = ("limits", "drain_grace"), f"{bounds.drain_grace:g}s or less"
        yield Fault(path, "new messages would go to an endpoint long after it starts to drain", allowed)
    if limits.idle_time <= limits.connect_time:
        path, allowed = (
            ("limits", "idle_time"),
            f"more than limits.connect_time, {encode(limits.connect_time)}",
        )
        yield Fault(path, "no kept connection could be used", allowed)
    for name in ("fall_time", "warm_time"):
        yield from require_positive(("returning", name), getattr(plan.returning, name))


def adapter_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    if not plan.front and not plan.controller:
        yield Fault(("front",), "no front: clients have no address to connect to", "one [[front]] or more")
    seen: dict[str, int] = {}
    for index, front in enumerate(plan.front):
        if front.listen in seen:
            also = ("front", seen[front.listen], "listen")
            yield Fault(("front", index, "listen"), f"two fronts listen at {front.listen}", "", also)
        seen.setdefault(front.listen, index)
    for name, adapter in (("source", plan.source), ("outlet", plan.outlet)):
        if adapter.kind == "platform" and adapter.address is None:
            yield Fault((name, "address"), "the platform's address is missing", "a host and a port")
        if adapter.kind != "platform" and adapter.address is not None:
            yield Fault((name, "address"), f"only a {name} of kind 'platform' has an address")
    if plan.outlet.kind == "lines" and not plan.outlet.path:
        yield Fault(("outlet", "path"), "no file for notices is set", "a path")
    if plan.outlet.kind != "lines" and plan.outlet.path:
        yield Fault(("outlet", "path"), "only an outlet of kind 'lines' has a path")
    yield from source_faults(plan)


def source_faults(plan: Plan) -> Iterator[Fault]:
    """Faults of the source of the endpoint list, and of the entry tables that depend on it."""
    source = plan.source
    if source.kind == "controller" and not source.controllers:
        yield Fault(("source", "controllers"), "no controller is named", "one host and port, or several")
    if source.kind != "controller" and source.controllers:
        yield Fault(("source", "controllers"), "only a source of kind 'controller' has controllers")
    if plan.controller and source.kind != "file":
        reason = "a controller has no source: its entries come from changes"
        yield Fault(("source", "kind"), reason, "no [source] beside [controller]")
    if plan.controller or source.kind == "controller":
        for name, entries in entry_tables(plan).items():
            if entries:
                allowed = "none in this file: `laureldock config apply` puts them"
                yield Fault((name,), "entries come from a controller's changes", allowed)
    elif source.kind == "file" and not plan.endpoints:
        yield Fault(("endpoint",), "no endpoint is listed", "one [[endpoint]] or more, or another source")
    elif source.kind == "platform" and plan.endpoints:
        yield Fault(
            ("endpoint",),
            "the endpoint list comes from the platform",
            "no [[endpoint]], or source.kind 'file'",
        )


def entry_tables(plan: Plan) -> dict[str, Collection[object]]:
    """The tables whose entries a controller's changes contain, apart from queue classes."""
    return {
        "endpoint": plan.endpoints,
        "destination": plan.destinations,
        "terms": plan.terms,
        "customer": plan.customers,
    }


def is_ip(host: str) -> bool:
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def fleet_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    fleet = plan.fleet
    if fleet is None:
        return
    for name, given in (("listen", fleet.listen), ("advertise", fleet.advertise)):
        if given is not None and not is_ip(given.rpartition(":")[0]):
            reason = f"{given} is not an IP address and port: host names are resolved only for seeds"
            yield Fault(("fleet", name), reason, "as '10.0.0.1:7946'")
    host = fleet.listen.rpartition(":")[0]
    if host in ("0.0.0.0", "[::]", "::") and fleet.advertise is None:
        yield Fault(
            ("fleet", "advertise"),
            f"other members cannot connect to {fleet.listen}",
            "an IP address and port that other members can connect to",
        )
    if not 0.05 <= fleet.period <= 60:
        allowed = "50ms to 1min: a busy process cannot keep a shorter period, and a longer one is of no use"
        yield Fault(("fleet", "period"), f"{encode(fleet.period)} between probes", allowed)
    if fleet.forget < 100 * fleet.period:
        reason = "a failed member would be forgotten before a network partition ends"
        yield Fault(("fleet", "forget"), reason, "100 periods or more")
    for index, front in enumerate(plan.front):
        if front.listen == fleet.listen:
            yield Fault(
                ("fleet", "listen"), "a front listens there", "another port", ("front", index, "listen")
            )


def classes_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    if not plan.classes:
        yield Fault(("class",), "no queue class: no message could be accepted", "one [class.NAME] or more")
    for name, each in plan.classes.items():
        yield from class_faults(each, ("class", name))


def class_faults(each: QueueClass, at: Path) -> Iterator[Fault]:
    yield from require_positive((*at, "target_delay"), each.target_delay)
    yield from require_positive((*at, "lifetime"), each.lifetime)
    if each.target_delay > each.lifetime:
        allowed = f"{encode(each.lifetime)}, its lifetime, or less"
        yield Fault((*at, "target_delay"), "a message would expire before it is late", allowed)
    yield from repeat_safety_faults(each, at)


def repeat_safety_faults(each: QueueClass, at: Path) -> Iterator[Fault]:
    """Faults by which a message that is not redeliverable could take effect twice."""
    if each.effect == "once-only" and each.resend == "any":
        reason = "a once-only message that may have run would be sent again"
        yield Fault((*at, "resend"), reason, "'proven' or 'never'")
    if each.effect == "tagged":
        yield from require_positive((*at, "memory"), each.memory)
        if each.memory is None and each.resend not in ("proven", "never"):
            allowed = "the time for which receivers recognize a repeat, or resend = 'proven'"
            yield Fault(
                (*at, "memory"),
                "a tagged message could be sent again after receivers have forgotten its tag",
                allowed,
            )
    else:
        for name in ("memory", "one_zone"):
            if getattr(each, name):
                yield Fault((*at, name), f"only a tagged class has it, not one that is {each.effect}")
    if each.resend == "never" and each.connects is not None and each.connects > 1:
        yield Fault((*at, "connects"), "resend is 'never'", "1", (*at, "resend"))


def unknown(path: Path, what: str, name: str, known: Collection[str], search_limit: float = inf) -> Fault:
    """Fault of an unknown name.

    With more than `search_limit` known names the closest match is not searched for, since that takes time.
    """
    if len(known) > search_limit:
        return Fault(path, f"unknown {what} {name!r}", f"one of the {len(known)} that are listed")
    near = get_close_matches(name, known, 1)
    some = ", ".join(sorted(known)[:8]) + (", ..." if len(known) > 8 else "")
    reason = f"unknown {what} {name!r}" + (f"; {near[0]!r} is meant?" if near else "")
    return Fault(path, reason, some or f"no {what} is listed")


@dataclass(frozen=True, slots=True)
class KnownNames:
    """Names that entries may refer to."""

    classes: Collection[str]
    kinds: Collection[str]
    destinations: Collection[str]
    routes: Collection[str]
    list_complete: bool = True  # if not, more destinations and routes may be listed later
    search_limit: float = inf  # see `unknown`

    def unknown(self, path: Path, field: str, name: str) -> Iterator[Fault]:
        """Fault of a selector of [[terms]] or of a destination's kind, if its name is unknown."""
        what, known = {
            "class": ("queue class", self.classes),
            "kind": ("kind", self.kinds),
            "destination": ("destination", self.destinations),
            "route": ("route", self.routes),
        }[field]
        of_list = field in ("destination", "route")
        if name not in known and (self.list_complete or not of_list):
            yield unknown(path, what, name, known, self.search_limit)


def name_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    known = KnownNames(
        plan.classes,
        plan.kinds,
        {each.destination: None for each in plan.endpoints},
        {name_of(each): None for each in plan.endpoints},
        plan.source.kind == "file",
    )
    for name, destination in plan.destinations.items():
        at: Path = ("destination", name)
        yield from destination_faults(destination, at, known)
        if plan.endpoints:  # without endpoints, `source_faults` reports one fault instead
            yield from known.unknown(at, "destination", name)
    for index, entry in enumerate(plan.terms):
        yield from terms_faults(entry, ("terms", index), known)


def destination_faults(destination: Destination, at: Path, known: KnownNames) -> Iterator[Fault]:
    if destination.kind is not None:
        yield from known.unknown((*at, "kind"), "kind", destination.kind)


def terms_faults(entry: Entry, at: Path, known: KnownNames) -> Iterator[Fault]:
    selected = {
        "class": entry.queue_class,
        "kind": entry.kind,
        "destination": entry.destination,
        "route": entry.route,
    }
    for field, given in selected.items():
        for name in as_list(given) if given is not None else ():
            yield from known.unknown((*at, field), field, name)
        if isinstance(given, list) and not given:
            yield Fault((*at, field), "names nothing", "a name, or several")
    if sum(selected[field] is not None for field in ("kind", "destination", "route")) > 1:
        yield Fault(at, "names more than one scope", "one of kind, destination, route")
    if all(getattr(entry, setting) is None for setting in SETTINGS):
        yield Fault(at, "sets nothing", "one of " + ", ".join(SETTINGS))


def duplicate_endpoint(endpoint: Endpoint, at: Path, also: Path) -> Fault:
    reason = f"{endpoint.address} is listed twice for {endpoint.destination}"
    return Fault((*at, "address"), reason, "", also)


def endpoint_faults(plan: Plan, bounds: Bounds) -> Iterator[Fault]:
    by_name: dict[str, int] = {}
    by_address: dict[tuple[str, str], int] = {}
    for index, each in enumerate(plan.endpoints):
        at: Path = ("endpoint", index)
        name, key = name_of(each), (each.destination, str(each.address))
        if key in by_address:
            also = ("endpoint", by_address[key])
            yield duplicate_endpoint(each, at, also)
        elif name in by_name:
            also = ("endpoint", by_name[name])
            yield Fault((*at, "name"), f"two endpoints are named {name!r}", "a unique name", also)
        by_name.setdefault(name, index)
        by_address.setdefault(key, index)


class SettingsChecker:
    """Checks the settings in force for each queue class at each destination and route with settings."""

    def __init__(self, plan: Plan, bounds: Bounds, terms_index: TermsIndex) -> None:
        self.plan, self.bounds, self.terms_index = plan, bounds, terms_index
        self.reported: set[tuple[Path, str]] = set()

    def check(self) -> list[Fault]:
        """Faults at all destinations and routes of the plan."""
        if not self.terms_index.settings:
            return []
        plan, faults = self.plan, []
        named_routes = self.terms_index.route_names()
        places = {(each.destination, ""): None for each in plan.endpoints}
        places |= {(name, ""): None for name in plan.destinations}
        places |= {
            (each.destination, name_of(each)): None
            for each in plan.endpoints
            if name_of(each) in named_routes
        }
        for destination, route in places or {("", ""): None}:
            faults += self.check_scopes(scopes_of(kind_of(plan, destination), destination, route))
        return faults

    def check_scopes(self, scopes: Sequence[Scope], classes: Iterable[str] | None = None) -> list[Fault]:
        """Faults of one place that were not reported before.

        They are checked for these queue classes, or for all of them and the window that they share.
        """
        faults: list[Fault] = []
        known = self.plan.classes
        if classes is None:
            faults += [fault for fault in self.window_faults(scopes) if self.is_new(fault)]
        for name in known if classes is None else (each for each in classes if each in known):
            found = [*self.terms_index.conflicts(name, scopes), *self.settings_faults(name, scopes)]
            faults += [fault for fault in found if self.is_new(fault)]
        return faults

    def is_new(self, fault: Fault) -> bool:
        """Whether the same path and reason were not reported before."""
        key = (fault.path, fault.reason)
        new = key not in self.reported
        self.reported.add(key)
        return new

    def get(self, setting: str, name: str, scopes: Sequence[Scope]) -> SetValue | None:
        found = (
            self.terms_index.most_specific(setting, name, scopes)
            if setting in self.terms_index.settings
            else []
        )
        return found[0] if found else None

    def window_faults(self, scopes: Sequence[Scope]) -> Iterator[Fault]:
        found, cap = self.get("window", "", scopes), window_cap(self.plan.limits.slots)
        if found and found.value > cap:
            allowed = f"{cap}, under three quarters of limits.slots, or fewer"
            yield Fault(
                found.path,
                f"{found.value} calls in flight would leave too few slots for other destinations",
                allowed,
            )

    def settings_faults(self, name: str, scopes: Sequence[Scope]) -> Iterator[Fault]:
        kind, limits = self.plan.classes[name], self.plan.limits
        life = f"{encode(kind.lifetime)}, the lifetime of {name!r}, or less"
        if found := self.get("time_out", name, scopes):
            yield from require_positive(found.path, found.value)
            if found.value > kind.lifetime:
                yield Fault(found.path, f"an attempt would outlast a message of class {name!r}", life)
        connects = self.get("connects", name, scopes)
        if connects and connects.value > limits.connects:
            allowed = f"{limits.connects}, limits.connects, or fewer"
            yield Fault(connects.path, f"{connects.value} attempts per message of class {name!r}", allowed)
        if (found := self.get("retry_after", name, scopes)) and found.value > limits.retry_after:
            allowed = f"{encode(limits.retry_after)}, limits.retry_after, or less"
            yield Fault(found.path, "clients do not respect a wait this long", allowed)
        yield from self.copies_faults(name, kind, scopes, connects)

    def copies_faults(
        self, name: str, kind: QueueClass, scopes: Sequence[Scope], connects: SetValue | None
    ) -> Iterator[Fault]:
        after = self.get("copy_after", name, scopes)
        if after:
            yield from require_positive(after.path, after.value)
            if after.value >= kind.lifetime:
                reason = f"a message of class {name!r} has expired by then"
                yield Fault(after.path, reason, f"less than {encode(kind.lifetime)}")
            if kind.memory is not None and after.value >= kind.memory:
                reason, allowed = (
                    "receivers have forgotten the tag of the message by then",
                    f"less than {encode(kind.memory)}",
                )
                yield Fault(after.path, reason, allowed)
        found = self.get("copies", name, scopes)
        if not found or found.value == 1:
            return
        if found.value > MAX_COPIES:
            yield Fault(found.path, f"{found.value} copies of a message at once", f"{MAX_COPIES} or fewer")
        if not self.plan.limits.copies:
            reason = "two attempts of a message at once are not allowed"
            yield Fault(found.path, reason, "1, or limits.copies = true where receivers allow it")
        if kind.effect == "once-only" or kind.resend in ("proven", "never") or kind.one_zone:
            reason = f"a message of class {name!r} could take effect twice"
            yield Fault(found.path, reason, "1, as for every class whose messages may not be repeated freely")
        if kind.in_order:
            yield Fault(found.path, f"class {name!r} keeps an order, which copies would break", "1")
        if connects and connects.value < found.value:
            reason = f"{found.value} copies, but connects is {connects.value}"
            yield Fault(found.path, reason, "connects at least as large as copies", connects.path)
