"""Records that bind all processes of a dispatcher, and their way to the delivery policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.peer_view import RouteRecord, SharedRecords
from laureldock.interface import Route

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher


class BindingRecords:
    """Requested waits, cooldowns of ordering keys, and failures and recoveries of routes.

    Whichever process made a record, and whether its file is read while it runs or taken over at its end: all
    records go through `apply`, which passes those on that the policy does not have yet.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._requested_waits: dict[str, float] = {}  # until when, by route name
        self._cooldowns: dict[str, float] = {}  # until when, by ordering key
        self._routes: dict[str, RouteRecord] = {}  # the newest, by route name

    def apply(self, records: SharedRecords) -> None:
        """Apply records of other processes, running or ended."""
        self._apply_waits(records)
        self._apply_cooldowns(records)
        self._apply_routes(records)

    def _apply_waits(self, records: SharedRecords) -> None:
        now = self._dispatcher.now()
        self._requested_waits = {name: until for name, until in self._requested_waits.items() if until > now}
        for name, until in records.requested_waits.items():
            if until <= max(now, self._requested_waits.get(name, now)):
                continue
            if (route := self._dispatcher.registry.routes.get(name)) is not None:
                self._requested_waits[name] = until
                self._apply_wait(route, until)

    def _apply_wait(self, route: Route, until: float) -> None:
        core = self._dispatcher
        core.call_policy(core.policy.route_requested_wait, route, until - core.now())

    def _apply_cooldowns(self, records: SharedRecords) -> None:
        core, now = self._dispatcher, self._dispatcher.now()
        self._cooldowns = {key: until for key, until in self._cooldowns.items() if until > now}
        for key, until in records.cooldowns.items():
            if until > max(now, self._cooldowns.get(key, now)):
                self._cooldowns[key] = until
                core.call_policy(core.policy.cool_down_key, key, until)

    def _apply_routes(self, records: SharedRecords) -> None:
        for name, record in records.routes.items():
            known, route = self._routes.get(name), self._dispatcher.registry.routes.get(name)
            if route is not None and (known is None or record.seen_at > known.seen_at):
                self._routes[name] = record
                self._apply_route(route, record)

    def _apply_route(self, route: Route, record: RouteRecord) -> None:
        core = self._dispatcher
        if record.recovered_at is None:
            core.call_policy(core.policy.route_failed_elsewhere, route, record.seen_at, record.shut)
        else:
            core.call_policy(core.policy.route_recovered_elsewhere, route, record.recovered_at)
