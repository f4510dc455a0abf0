"""Records that bind all processes of a dispatcher, and their way to the delivery policy."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from laureldock.core.peer_view import RouteRecord, SharedRecords
from laureldock.interface import Route
from laureldock.setup.entries import destination_id

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher

MAX_ENTRIES = 4096  # routes; more than a list is expected to have endpoints
# Seconds from its last change and the end of its wait. A listed route whose circuit stays open changes at
# each trial, and one that recovered is warm by then under any settings.
ENTRY_KEPT_TIME = 600.0


@dataclass(slots=True)
class RouteEntry:
    """What binds an endpoint, by its name. Times are seconds of the monotonic clock."""

    route: Route | None = None  # the one listed last under the name, if any was since the first record
    wait_until: float = -inf
    record: RouteRecord | None = None  # the newest
    changed_at: float = 0.0


class BindingRecords:
    """Requested waits, cooldowns of ordering keys, and failures and recoveries of routes.

    Whichever process made a record, and whether its file is read while it runs or taken over at its end: all
    records of other processes go through `apply`, which passes those on that the policy does not have yet.
    What binds an endpoint is kept by its name, and applied again to the route that it has when it is listed
    after having left the list.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._entries: dict[str, RouteEntry] = {}  # by name of the route, the one changed last at the end
        self._cooldowns: dict[str, float] = {}  # until when, by ordering key
        self._destination_waits: dict[str, float] = {}  # until when, by destination

    def apply(self, records: SharedRecords) -> None:
        """Apply records of other processes, running or ended."""
        self._apply_waits(records)
        self._apply_destination_waits(records)
        self._apply_cooldowns(records)
        self._apply_routes(records)

    def wait_requested(self, route: Route, until: float) -> None:
        """A receiver requested a wait from this process, whose policy knows."""
        entry = self._changed_entry(route.name, route)
        entry.wait_until = max(until, entry.wait_until)
        if (current := self._current_route(entry)) is not route:
            self._pass_wait(current, until)

    def route_changed(self, route: Route, record: RouteRecord) -> None:
        """A route failed or recovered, as the policy of this process found."""
        entry = self._changed_entry(route.name, route)
        entry.record = record
        if (current := self._current_route(entry)) is not route:
            self._pass_route_record(current, record)

    def routes_listed_anew(self, routes: list[Route]) -> None:
        """Apply what binds the endpoints of routes that were not listed as up before."""
        for destination, until in self._destination_waits.items():
            self._pass_destination_wait(destination, until)
        for route in routes:
            entry = self._entries.get(route.name)
            if entry is None:
                continue
            if entry.route is not None and not is_same_endpoint(entry.route, route):
                del self._entries[route.name]
                continue
            entry.route = route
            self._pass_wait(route, entry.wait_until)
            if entry.record is not None:
                self._pass_route_record(route, entry.record)

    def wait_until(self, name: str) -> float:
        """Until when nothing may be sent to a route, by all waits known; minus infinity if there is none."""
        entry = self._entries.get(name)
        return entry.wait_until if entry else -inf

    def _apply_waits(self, records: SharedRecords) -> None:
        now, known = self._dispatcher.now(), self._entries
        for name, until in records.requested_waits.items():
            if until > now and (name not in known or until > known[name].wait_until):
                entry = self._changed_entry(name)
                entry.wait_until = until
                self._pass_wait(self._current_route(entry), until)

    def _apply_destination_waits(self, records: SharedRecords) -> None:
        now, known = self._dispatcher.now(), self._destination_waits
        self._destination_waits = {each: until for each, until in known.items() if until > now}
        for destination, until in records.destination_waits.items():
            if until > max(now, self._destination_waits.get(destination, now)):
                self._destination_waits[destination] = until
                self._pass_destination_wait(destination, until)

    def _apply_cooldowns(self, records: SharedRecords) -> None:
        core, now = self._dispatcher, self._dispatcher.now()
        self._cooldowns = {key: until for key, until in self._cooldowns.items() if until > now}
        for key, until in records.cooldowns.items():
            if until > max(now, self._cooldowns.get(key, now)):
                self._cooldowns[key] = until
                core.call_policy(core.policy.cool_down_key, key, until)

    def _apply_routes(self, records: SharedRecords) -> None:
        for name, record in records.routes.items():
            known = self._entries[name].record if name in self._entries else None
            if known is None or record.seen_at > known.seen_at:
                entry = self._changed_entry(name)
                entry.record = record
                self._pass_route_record(self._current_route(entry), record)

    def _changed_entry(self, name: str, route: Route | None = None) -> RouteEntry:
        """The entry of a route, which is about to change; the one that changed longest ago gives way.

        `route`: the one that the change is about, else the one that is listed now.
        """
        route = route or self._dispatcher.registry.routes.get(name)
        entry = self._entries.pop(name, None)
        if entry is None or (entry.route and route and not is_same_endpoint(entry.route, route)):
            entry = RouteEntry()
        entry.route, entry.changed_at = route or entry.route, self._dispatcher.now()
        self._entries[name] = entry
        self._drop_obsolete_entries()
        return entry

    def _drop_obsolete_entries(self) -> None:
        now = self._dispatcher.now()
        while self._entries:
            name, oldest = next(iter(self._entries.items()))
            kept_until = max(oldest.changed_at, oldest.wait_until) + ENTRY_KEPT_TIME
            if len(self._entries) <= MAX_ENTRIES and kept_until > now:
                return
            del self._entries[name]

    def _current_route(self, entry: RouteEntry) -> Route | None:
        """The route of an entry's endpoint: as listed now, else the one that it had when it was listed."""
        if entry.route is None:
            return None
        listed = self._dispatcher.registry.routes.get(entry.route.name)
        return listed if listed is not None and is_same_endpoint(listed, entry.route) else entry.route

    def _pass_wait(self, route: Route | None, until: float) -> None:
        core = self._dispatcher
        if route is not None and until > core.now():
            core.call_policy(core.policy.route_requested_wait, route, until - core.now())

    def _pass_destination_wait(self, name: str, until: float) -> None:
        core = self._dispatcher
        destination = core.registry.destinations.get(destination_id(name))
        if destination is not None and until > core.now():
            core.call_policy(core.policy.destination_requested_wait, destination, until - core.now())

    def _pass_route_record(self, route: Route | None, record: RouteRecord) -> None:
        core = self._dispatcher
        if route is None:
            return
        if record.recovered_at is None:
            core.call_policy(core.policy.route_failed_elsewhere, route, record.seen_at, record.shut)
        else:
            core.call_policy(core.policy.route_recovered_elsewhere, route, record.recovered_at)


def is_same_endpoint(one: Route, other: Route) -> bool:
    """Whether two routes of one name lead to the same endpoint."""
    return one.destination is other.destination and one.zone == other.zone
