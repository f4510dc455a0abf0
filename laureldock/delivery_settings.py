"""What is read at start: a plan, turned into the `Tariff`, the sorts of mail and the terms of each.

Both doors come here: the bench's adapter and the dispatcher on sockets. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any

from laureldock import interface
from laureldock.setup.entries import destination_id, index_terms, kind_of, scopes_of
from laureldock.setup.plan import Plan
from laureldock.setup.plan import QueueClass as Sort
from laureldock.setup.terms import Level, TermsIndex

if TYPE_CHECKING:  # of a source of kind "controller" alone
    from laureldock.setup.catalog import AppliedChange, Catalog, Selection

# Settings that destinations and routes are told; the others are looked up for each mail.
SETTINGS_KEPT_ON_ROUTES = {"window", "time_out"}


def queue_class(sort: Sort, halving: bool) -> interface.QueueClass:
    return interface.QueueClass(
        repeat_safety=interface.RepeatSafety(sort.effect),
        importance=1.0 if sort.importance is None else sort.importance,
        target_delay=float(sort.target_delay),
        lifetime=float(sort.lifetime),
        late_share=sort.late_share,
        halves_importance_when_late=halving,
        in_order=sort.in_order,
        tag_memory_time=inf if sort.memory is None else float(sort.memory),
        one_zone=sort.one_zone,
        never_if_may_have_run=sort.resend in ("proven", "never"),
    )


def delivery_settings(plan: Plan, sockets: bool) -> interface.DeliverySettings:
    limits, returning = plan.limits, plan.returning
    return interface.DeliverySettings(
        seed=plan.seed,
        instances=plan.instances,
        slots=limits.slots,
        room=limits.room,
        max_attempts=limits.connects,
        may_cancel=limits.cancel,
        may_probe=limits.probes,
        may_hedge=limits.copies,
        must_fetch_list=plan.source.kind == "platform",
        list_is_local=sockets,
        has_notices=sockets,
        over_quota=limits.over_quota,
        max_retry_after=float(limits.retry_after),
        key_cooldown_time=float(limits.key_rest),
        start_capacity=returning.start_capacity,
        tip_multiple=returning.tip_multiple,
        fall_time=float(returning.fall_time),
        warm_time=float(returning.warm_time),
        listed_rates=limits.rates,
        connect_timeout=float(limits.connect_time),
        idle_time=float(limits.idle_time),
        drain_grace=float(limits.drain_grace),
        handshake_cost=limits.handshake,
        zone_fees=limits.fees,
    )


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as the list names it."""

    name: str
    destination: Any
    zone: str
    kind: str
    listed_rate: float
    listed_state: interface.ListedState


class DeliveryRegistry:
    """The names at the door: queue classes, customers, destinations, the routes listed, and their terms."""

    def __init__(self, plan: Plan, sockets: bool = False, terms: TermsIndex | None = None) -> None:
        self.plan = plan
        self.settings = delivery_settings(plan, sockets)
        self.class_names: dict[interface.QueueClass, str] = {}  # of earlier settings too
        self.set_classes(plan)
        self.kinds = {
            name: interface.DestinationKind(each.batch, each.apart) for name, each in plan.kinds.items()
        }
        self.report_fields: list[str] = plan.reports
        self.destinations: dict[Any, interface.Destination] = {}
        self.kind_names: dict[Any, str] = {}  # of destinations, as listed or as the plan has them
        self.routes: dict[str, interface.Route] = {}
        self.term_book = terms or index_terms(plan)[0]
        self.terms: dict[
            Any, dict[interface.QueueClass, interface.Terms | None]
        ] = {}  # by destination, as looked up

    def update_terms(self, plan: Plan, terms: TermsIndex) -> None:
        """Other terms from now on; what is out and what waits keeps its own."""
        same = terms.entries == self.term_book.entries and plan.destinations == self.plan.destinations
        self.plan, self.term_book = plan, terms
        self.customers = {name: self.customer_of(name) for name in plan.customers}
        if same:  # as in most reloads: thousands of routes need no look
            return
        self.terms.clear()
        self.kind_names.clear()  # the plan has them
        for number, destination in self.destinations.items():
            self.set_destination_window(number, destination)
        numbers = {owner: number for number, owner in self.destinations.items()}
        for name, route in self.routes.items():
            self.set_route_terms(name, numbers[route.destination], route)

    def apply_change(self, applied: AppliedChange, catalog: Catalog) -> None:
        """Likewise, where the plan and the terms held here are a catalog's, changed in place."""
        for name in applied.customers:
            if name in self.plan.customers:
                self.customers[name] = self.customer_of(name)
            else:
                self.customers.pop(name, None)
        for removed in applied.endpoints_removed:
            self.forget_if_unlisted(removed.before.destination, catalog)
        for put in applied.endpoints_put:
            if put.before is not None:
                self.forget_if_unlisted(put.before.destination, catalog)
                self.refresh_routes(put.value.destination, [put.name])
        for destination in applied.destinations:
            self.kind_names.pop(destination_id(destination), None)  # the plan has it
            self.refresh_destination(destination, catalog)
        for selection in applied.selections:
            self.apply_selection(selection, catalog)

    def forget_if_unlisted(self, destination: str, catalog: Catalog) -> None:
        """By an endpoint: nothing is kept that can be worked out again where there is none any more."""
        if destination not in catalog.endpoint_names:
            self.terms.pop(destination_id(destination), None)
            self.kind_names.pop(destination_id(destination), None)

    def refresh_destination(self, destination: str, catalog: Catalog) -> None:
        number = destination_id(destination)
        self.terms.pop(number, None)
        if (owner := self.destinations.get(number)) is not None:
            self.set_destination_window(number, owner)
            self.refresh_routes(destination, catalog.endpoint_names.get(destination, ()))

    def refresh_routes(self, destination: str, names: Iterable[str]) -> None:
        """Those of them that are its routes by now; the others are told once they are."""
        number = destination_id(destination)
        owner = self.destinations.get(number)
        for name in names:
            route = self.routes.get(name)
            if route is not None and route.destination is owner:
                self.set_route_terms(name, number, route)

    def apply_selection(self, selection: Selection, catalog: Catalog) -> None:
        """Settings of [[terms]] or of a queue class that hold anew, or no more, where they select."""
        level, name = selection.scope
        if level is Level.ROUTE:
            if (endpoint := catalog.endpoints.get(name)) is not None:
                self.refresh_routes(endpoint.destination, [name])
        elif level is Level.DESTINATION:
            self.refresh_destination(name, catalog)
        elif not selection.settings & SETTINGS_KEPT_ON_ROUTES:
            self.terms.clear()  # worked out again as mails come
        else:
            self.terms.clear()
            kind = name if level is Level.KIND else None
            self.refresh_alike(
                (each for each in catalog.endpoint_names if kind in (None, kind_of(self.plan, each))), catalog
            )

    def refresh_alike(self, destinations: Iterable[str], catalog: Catalog) -> None:
        """Of destinations, and of routes, that are alike one is worked out; the others get the same."""
        windows: dict[object, float] = {}
        known: dict[object, interface.Route] = {}
        for destination in destinations:
            number = destination_id(destination)
            owner, state = self.destinations.get(number), catalog.destination_state(destination)
            if owner is None or state is None:
                continue
            if state.signature not in windows:
                self.set_destination_window(number, owner)
                windows[state.signature] = owner.window
            owner.window = windows[state.signature]
            for name in catalog.endpoint_names[destination]:
                route = self.routes.get(name)
                if route is None or route.destination is not owner:
                    continue
                alike = *state.signature, catalog.terms_index.own_settings((Level.ROUTE, name))
                if (other := known.get(alike)) is None:
                    self.set_route_terms(name, number, route)
                    known[alike] = route
                else:
                    route.window, route.timeouts = other.window, other.timeouts

    def update_classes(self, plan: Plan) -> None:
        """Other queue classes and limits from now on; mails taken on keep the class that they had."""
        self.plan, self.settings = plan, delivery_settings(plan, self.settings.has_notices)
        self.set_classes(plan)
        self.terms.clear()

    def set_classes(self, plan: Plan) -> None:
        """Queue classes and customers by the plan; the names of classes before stay known."""
        halving = plan.limits.fades == "halving"
        self.classes = {name: queue_class(sort, halving) for name, sort in plan.classes.items()}
        self.class_names.update({kind: name for name, kind in self.classes.items()})
        self.customers = {name: interface.Customer(each.quota) for name, each in plan.customers.items()}

    def customer_of(self, name: str) -> interface.Customer:
        """By the plan; the same as before if it has the same quota."""
        quota = self.plan.customers[name].quota
        known = self.customers.get(name)
        return known if known is not None and known.quota == quota else interface.Customer(quota)

    def class_name(self, kind: interface.QueueClass) -> str:
        return self.class_names.get(kind, "")

    def destination(self, number: Any) -> interface.Destination:
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = interface.Destination()
            self.set_destination_window(number, found)
        return found

    def term_scopes(self, number: Any, route: str = "") -> list[Any]:
        kind = self.kind_names.get(number) or kind_of(self.plan, str(number))
        return scopes_of(kind, str(number), route)

    def set_destination_window(self, number: Any, destination: interface.Destination) -> None:
        destination.window = self.term_book.value("window", "", self.term_scopes(number), inf)

    def set_route_terms(self, name: str, number: Any, route: interface.Route) -> None:
        book, where = self.term_book, self.term_scopes(number, name)
        route.window = book.value("window", "", where, inf)
        if "time_out" in book.settings:
            found = ((kind, book.value("time_out", each, where)) for each, kind in self.classes.items())
            route.timeouts = {kind: float(value) for kind, value in found if value is not None}
        else:
            route.timeouts = {}

    def new_message(
        self, kind: interface.QueueClass, number: Any, left: float, customer: str = "", key: str | None = None
    ) -> interface.Message:
        known = self.terms.setdefault(number, {})
        if kind not in known:
            known[kind] = self.terms_for(kind, number)
        owner = self.destination(number)
        return interface.Message(kind, owner, left, self.customers.get(customer), key, terms=known[kind])

    def terms_for(self, kind: interface.QueueClass, number: Any) -> interface.Terms | None:
        """What was set for a queue class at a destination beyond its own importance."""
        book, where = self.term_book, self.term_scopes(number)
        name = next(each for each, other in self.classes.items() if other is kind)
        never = self.plan.classes[name].resend == "never"
        most = self.settings
        terms = interface.Terms(
            float(book.value("importance", name, where, kind.importance)),
            1 if never else book.value("connects", name, where, most.max_attempts),
            float(book.value("retry_after", name, where, most.max_retry_after)),
            book.value("copies", name, where, 1),
            float(book.value("copy_after", name, where, kind.target_delay / 2)),
        )
        plain = interface.Terms(kind.importance, most.max_attempts, most.max_retry_after, 1, terms.copy_after)
        return None if terms == plain else terms

    def update_list(self, entries: list[ListedEndpoint], whole: bool) -> list[interface.Route]:
        """The routes named, brought up to date; what is gone is forgotten."""
        named = [self.update_route(entry) for entry in entries]
        if whole:
            known = set(named)
            for route in self.routes.values():
                if route not in known:
                    route.listed_state = interface.ListedState.REMOVED
        for route in list(self.routes.values()) if whole else named:
            if route.listed_state is interface.ListedState.REMOVED:
                self.routes.pop(route.name, None)
        return named

    def update_route(self, entry: ListedEndpoint) -> interface.Route:
        route = self.routes.get(entry.name)
        if route is None:
            if entry.kind:
                self.kind_names.setdefault(entry.destination, entry.kind)
            kind, owner = (
                self.kinds.get(entry.kind) or interface.DestinationKind(),
                self.destination(entry.destination),
            )
            route = interface.Route(
                owner, entry.zone, kind, entry.listed_rate, entry.listed_state, entry.name
            )
            self.routes[entry.name] = route
            self.set_route_terms(entry.name, entry.destination, route)
        route.listed_state, route.listed_rate = entry.listed_state, entry.listed_rate
        return route
