"""What is read from the configuration: a plan, turned into settings, queue classes and terms of messages.

Both the simulator's adapter and the dispatcher on sockets use it. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, fields, replace
from math import inf
from operator import attrgetter
from typing import TYPE_CHECKING, Any

from laureldock import interface
from laureldock.setup.entries import destination_id, index_terms, kind_of, scopes_of
from laureldock.setup.plan import Plan
from laureldock.setup.plan import QueueClass as ClassSettings
from laureldock.setup.terms import Level, TermsIndex

if TYPE_CHECKING:  # only needed with a source of kind "controller"
    from laureldock.setup.catalog import AppliedChange, Catalog, Selection

# Settings that destinations and routes hold in fields of their own. Others are looked up for each message.
SETTINGS_KEPT_ON_ROUTES = {"window", "time_out"}

# All fields of a queue class, its name included: classes are the same for messages if these are equal.
class_values = attrgetter(*(each.name for each in fields(interface.QueueClass)))


def queue_class(
    name: str, settings: ClassSettings, importance: float, halves_importance_when_late: bool
) -> interface.QueueClass:
    """What the decisions know of a queue class."""
    return interface.QueueClass(
        repeat_safety=interface.RepeatSafety(settings.effect),
        importance=importance,
        target_delay=float(settings.target_delay),
        lifetime=float(settings.lifetime),
        late_share=settings.late_share,
        halves_importance_when_late=halves_importance_when_late,
        in_order=settings.in_order,
        tag_memory_time=inf if settings.memory is None else float(settings.memory),
        one_zone=settings.one_zone,
        stop_if_may_have_run=settings.resend in ("proven", "never"),
        sent_once=settings.resend == "never",
        name=name,
    )


def delivery_settings(plan: Plan, sockets: bool) -> interface.DeliverySettings:
    """What an instance is given at its start; `sockets`: on sockets, rather than in the simulator."""
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
    """An endpoint, in the names of the list."""

    name: str
    destination: Any  # its number or name
    zone: str
    kind: str  # name of its destination's kind; empty if the list names none
    listed_rate: float  # calls a second that it takes; 0 if not known
    listed_state: interface.ListedState


class DeliveryRegistry:
    """Queue classes, customers, destinations and listed routes by their names, with their terms."""

    def __init__(self, plan: Plan, sockets: bool = False, terms: TermsIndex | None = None) -> None:
        self.plan = plan
        self.settings = delivery_settings(plan, sockets)
        self.term_book = terms or index_terms(plan)[0]
        self.classes: dict[str, interface.QueueClass] = {}  # by name: those that new messages get
        self.set_classes()
        self.customers = {name: interface.Customer(each.quota) for name, each in plan.customers.items()}
        self.kinds = {
            name: interface.DestinationKind(each.batch, each.apart) for name, each in plan.kinds.items()
        }
        self.report_fields: list[str] = plan.reports
        self.destinations: dict[Any, interface.Destination] = {}  # by number or name
        self.kind_names: dict[Any, str] = {}  # of destinations, as listed or as the plan has them
        self.routes: dict[str, interface.Route] = {}
        # By destination: the terms of its messages as far as they have been looked up.
        self.terms: dict[Any, dict[interface.QueueClass, interface.Terms | None]] = {}

    def update_terms(self, plan: Plan, terms: TermsIndex) -> None:
        """Apply other terms from now on; messages in flight and in queues keep theirs.

        Of the classes only the importance may differ.
        """
        same = terms.entries == self.term_book.entries and plan.destinations == self.plan.destinations
        self.plan, self.term_book = plan, terms
        self.customers = {name: self.customer_of(name) for name in plan.customers}
        if same:  # as in most reloads: thousands of routes need no look
            return
        self.set_classes()
        self.terms.clear()
        self.kind_names.clear()  # the plan has them
        for number, destination in self.destinations.items():
            self.set_destination_window(number, destination)
        numbers = {destination: number for number, destination in self.destinations.items()}
        for name, route in self.routes.items():
            self.set_route_terms(name, numbers[route.destination], route)

    def apply_change(self, applied: AppliedChange, catalog: Catalog) -> None:
        """Apply a change of a catalog that was changed in place, and to which plan and terms here belong."""
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
        """Drop what can be looked up again of a destination that has no endpoint any more."""
        if destination not in catalog.endpoint_names:
            self.terms.pop(destination_id(destination), None)
            self.kind_names.pop(destination_id(destination), None)

    def refresh_destination(self, name: str, catalog: Catalog) -> None:
        """Look up the terms of a destination and of its routes again."""
        number = destination_id(name)
        self.terms.pop(number, None)
        if (destination := self.destinations.get(number)) is not None:
            self.set_destination_window(number, destination)
            self.refresh_routes(name, catalog.endpoint_names.get(name, ()))

    def refresh_routes(self, destination_name: str, names: Iterable[str]) -> None:
        """Look up the terms of those of the routes that belong to the destination by now.

        The others get theirs once they belong to it.
        """
        number = destination_id(destination_name)
        destination = self.destinations.get(number)
        for name in names:
            route = self.routes.get(name)
            if route is not None and route.destination is destination:
                self.set_route_terms(name, number, route)

    def apply_selection(self, selection: Selection, catalog: Catalog) -> None:
        """Look up again what settings of [[terms]] or of a queue class select, as they came or went."""
        level, name = selection.scope
        if level is Level.ROUTE:
            if (endpoint := catalog.endpoints.get(name)) is not None:
                self.refresh_routes(endpoint.destination, [name])
        elif level is Level.DESTINATION:
            self.refresh_destination(name, catalog)
        else:
            self.apply_wide_selection(selection, catalog)

    def apply_wide_selection(self, selection: Selection, catalog: Catalog) -> None:
        """The same for what is set for all destinations, or for a kind of them."""
        level, name = selection.scope
        if "importance" in selection.settings:
            self.set_classes()
        if not selection.settings & SETTINGS_KEPT_ON_ROUTES:
            self.terms.clear()  # looked up again as messages come
        else:
            self.terms.clear()
            kind = name if level is Level.KIND else None
            self.refresh_alike(
                (each for each in catalog.endpoint_names if kind in (None, kind_of(self.plan, each))), catalog
            )

    def refresh_alike(self, names: Iterable[str], catalog: Catalog) -> None:
        """Look up the terms of many destinations and their routes, once for all that are alike."""
        windows: dict[object, float] = {}
        looked_up: dict[object, interface.Route] = {}
        for name in names:
            number = destination_id(name)
            destination, state = self.destinations.get(number), catalog.destination_state(name)
            if destination is None or state is None:
                continue
            if state.signature not in windows:
                self.set_destination_window(number, destination)
                windows[state.signature] = destination.window
            destination.window = windows[state.signature]
            for route_name in catalog.endpoint_names[name]:
                route = self.routes.get(route_name)
                if route is None or route.destination is not destination:
                    continue
                alike = *state.signature, catalog.terms_index.own_settings((Level.ROUTE, route_name))
                if (other := looked_up.get(alike)) is None:
                    self.set_route_terms(route_name, number, route)
                    looked_up[alike] = route
                else:
                    route.window, route.timeouts = other.window, other.timeouts

    def update_classes(self, plan: Plan) -> None:
        """Apply other queue classes and limits from now on; accepted messages keep their class."""
        before, self.settings = self.settings, delivery_settings(plan, self.settings.has_notices)
        self.plan = plan
        if not self.settings.key_cooldown_time:  # messages of a dropped class that go in order still wait
            self.settings = replace(self.settings, key_cooldown_time=before.key_cooldown_time)
        self.term_book = index_terms(plan)[0]
        self.set_classes()
        self.customers = {name: interface.Customer(each.quota) for name, each in plan.customers.items()}
        self.terms.clear()

    def set_classes(self) -> None:
        """Take the queue classes from the plan; one whose settings are the same stays the same object."""
        self.classes = {
            name: self.class_as_accepted(self.class_of(name, settings))
            for name, settings in self.plan.classes.items()
        }

    def class_of(self, name: str, settings: ClassSettings) -> interface.QueueClass:
        """A queue class by its settings, and by the importance that is set for it at all destinations."""
        own = 1.0 if settings.importance is None else settings.importance
        importance = float(self.term_book.value("importance", name, (), own))
        return queue_class(name, settings, importance, self.plan.limits.fades == "halving")

    def class_as_accepted(self, accepted: interface.QueueClass) -> interface.QueueClass:
        """The queue class of new messages, if it is the same as that of an accepted one; else the latter."""
        current = self.classes.get(accepted.name)
        return current if current and class_values(current) == class_values(accepted) else accepted

    def customer_of(self, name: str) -> interface.Customer:
        """The customer by the plan: the same object as before if its quota is the same."""
        quota = self.plan.customers[name].quota
        known = self.customers.get(name)
        return known if known is not None and known.quota == quota else interface.Customer(quota)

    def destination(self, number: Any) -> interface.Destination:
        """The destination of a number or name, created if it is new."""
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = interface.Destination()
            self.set_destination_window(number, found)
        return found

    def term_scopes(self, number: Any, route: str = "") -> list[Any]:
        """All places where terms for a destination, or for a route of it, may be set."""
        kind = self.kind_names.get(number) or kind_of(self.plan, str(number))
        return scopes_of(kind, str(number), route)

    def set_destination_window(self, number: Any, destination: interface.Destination) -> None:
        """Look up the window of a destination; infinite where none is set."""
        destination.window = self.term_book.value("window", "", self.term_scopes(number), inf)

    def set_route_terms(self, name: str, number: Any, route: interface.Route) -> None:
        """Look up the window of a route, and its timeouts by name of a queue class where some are set."""
        book, scopes = self.term_book, self.term_scopes(number, name)
        route.window = book.value("window", "", scopes, inf)
        if "time_out" in book.settings:
            found = ((each, book.value("time_out", each, scopes)) for each in ("", *self.classes))
            route.timeouts = {each: float(value) for each, value in found if value is not None}
        else:
            route.timeouts = {}

    def new_message(
        self,
        queue_class: interface.QueueClass,
        number: Any,
        time_left: float,
        customer: str = "",
        key: str | None = None,
    ) -> interface.Message:
        """A message for a destination, with the terms that hold now; `time_left`: seconds of its lifetime."""
        terms = self.terms_of(queue_class, number)
        destination = self.destination(number)
        return interface.Message(
            queue_class, destination, time_left, self.customers.get(customer), key, terms=terms
        )

    def terms_of(self, queue_class: interface.QueueClass, number: Any) -> interface.Terms | None:
        """`terms_for`, kept for the next message unless the class is one that no new message gets."""
        if self.classes.get(queue_class.name) is not queue_class:
            return self.terms_for(queue_class, number)
        known = self.terms.setdefault(number, {})
        if queue_class not in known:
            known[queue_class] = self.terms_for(queue_class, number)
        return known[queue_class]

    def importance_of(self, queue_class: interface.QueueClass, number: Any) -> float:
        """The importance that is set for a destination or its kind; else that of the class."""
        found = self.term_book.most_specific("importance", queue_class.name, self.term_scopes(number))
        narrow = [each.value for each in found if each.level is not Level.ANY]
        return float(narrow[0]) if narrow else queue_class.importance

    def terms_for(self, queue_class: interface.QueueClass, number: Any) -> interface.Terms | None:
        """What operators set for a queue class at a destination; None if that is just what holds anyway."""
        book, scopes, name = self.term_book, self.term_scopes(number), queue_class.name
        limits = self.settings
        terms = interface.Terms(
            self.importance_of(queue_class, number),
            1 if queue_class.sent_once else book.value("connects", name, scopes, limits.max_attempts),
            float(book.value("retry_after", name, scopes, limits.max_retry_after)),
            book.value("copies", name, scopes, 1),
            float(book.value("copy_after", name, scopes, queue_class.target_delay / 2)),
        )
        defaults = interface.Terms(
            queue_class.importance, limits.max_attempts, limits.max_retry_after, 1, terms.copy_after
        )
        return None if terms == defaults else terms

    def remove_replaced(self, entries: list[ListedEndpoint]) -> list[interface.Route]:
        """Remove the routes whose names these entries give to other endpoints, and return them.

        An endpoint with another destination, kind or zone is not the one that had its name before.
        """
        replaced = []
        for entry in entries:
            route = self.routes.get(entry.name)
            if route is not None and not self.is_same_endpoint(route, entry):
                route.listed_state = interface.ListedState.REMOVED
                replaced.append(self.routes.pop(entry.name))
        return replaced

    def is_same_endpoint(self, route: interface.Route, entry: ListedEndpoint) -> bool:
        """Whether an entry is of the endpoint that a route leads to."""
        kind = self.kind_of_entry(entry)
        return (
            route.destination is self.destinations.get(entry.destination)
            and route.zone == entry.zone
            and (route.kind.batch_size, route.kind.limits_per_route)
            == (kind.batch_size, kind.limits_per_route)
        )

    def kind_of_entry(self, entry: ListedEndpoint) -> interface.DestinationKind:
        """The kind of an entry's destination, with the defaults if the settings do not know it."""
        return self.kinds.get(entry.kind) or interface.DestinationKind()

    def update_list(self, entries: list[ListedEndpoint], full: bool) -> list[interface.Route]:
        """Bring routes up to date by the list; a full one removes all others. Those that it names."""
        named = [self.update_route(entry) for entry in entries]
        if full:
            known = set(named)
            for route in self.routes.values():
                if route not in known:
                    route.listed_state = interface.ListedState.REMOVED
        for route in list(self.routes.values()) if full else named:
            if route.listed_state is interface.ListedState.REMOVED:
                self.routes.pop(route.name, None)
        return named

    def update_route(self, entry: ListedEndpoint) -> interface.Route:
        """The route of a listed endpoint, created if it is new, with the state and rate that the list has."""
        route = self.routes.get(entry.name)
        if route is None:
            if entry.kind:
                self.kind_names.setdefault(entry.destination, entry.kind)
            kind, destination = self.kind_of_entry(entry), self.destination(entry.destination)
            route = interface.Route(
                destination, entry.zone, kind, entry.listed_rate, entry.listed_state, entry.name
            )
            self.routes[entry.name] = route
            self.set_route_terms(entry.name, entry.destination, route)
        route.listed_state, route.listed_rate = entry.listed_state, entry.listed_rate
        return route
