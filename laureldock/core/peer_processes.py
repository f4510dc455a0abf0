"""Other living processes of one dispatcher: what they record binds this one, too, while one hands over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.peer_view import PeerView, RouteRecord
from laureldock.interface import Route

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher


class PeerProcesses:
    """Reads what the others have recorded, and tells the decisions.

    Order and limits depend on what was recorded before, not on what a poll has seen: it is read in the step
    that accepts a message, and in the one that sends it. What cannot be read holds both up.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._heeded_waits: dict[str, float] = {}  # by route, until when
        self._heeded_rests: dict[str, float] = {}  # by key, until when
        self._heeded_routes: dict[str, RouteRecord] = {}
        self._failing = False
        self.view = PeerView()

    @property
    def possible(self) -> bool:
        """Whether there may be another process: the listening socket is passed on, or one is there."""
        core = self._dispatcher
        return core.shares_listening_socket or core.store.is_shared

    def read(self) -> bool:
        """Read what they have recorded up to now, and heed it; whether that could be done."""
        if not self.possible:
            return True
        core = self._dispatcher
        try:
            view = core.store.read_peers()
        except OSError as fault:
            self._failed(fault)
            return False
        self._failing = False
        if view is not self.view:
            self._heed(view)
        return True

    def _failed(self, fault: OSError) -> None:
        core = self._dispatcher
        core.counters["reads of other processes failed"] += 1
        if not self._failing:
            self._failing = True
            core.log.error("records of another process cannot be read", fault=str(fault))
        core.records.hold_sends()

    def _heed(self, view: PeerView) -> None:
        core = self._dispatcher
        if view.processes != self.view.processes:
            core.log.info("other processes", count=view.processes, owed=len(view.accepted_at))
            core.guard(core.on_process_count, 1 + view.processes)
        self.view = view
        core.call_policy(core.policy.update_peer_load, view.to_peer_load())
        self._heed_waits(view)
        self._heed_rests(view)
        self._heed_routes(view)

    def _heed_waits(self, view: PeerView) -> None:
        core, now = self._dispatcher, self._dispatcher.now()
        for name, until in view.requested_waits.items():
            if until <= now or self._heeded_waits.get(name) == until:
                continue
            if (route := core.registry.routes.get(name)) is not None:
                self._heeded_waits[name] = until
                core.call_policy(core.policy.route_requested_wait, route, until - now)

    def _heed_rests(self, view: PeerView) -> None:
        core, now = self._dispatcher, self._dispatcher.now()
        self._heeded_rests = {key: until for key, until in self._heeded_rests.items() if until > now}
        for key, until in view.cooldowns.items():
            if until > now and self._heeded_rests.get(key) != until:
                self._heeded_rests[key] = until
                core.call_policy(core.policy.cool_down_key, key, until)

    def _heed_routes(self, view: PeerView) -> None:
        core = self._dispatcher
        for name, record in view.routes.items():
            route = core.registry.routes.get(name)
            if route is None or self._heeded_routes.get(name) == record:
                continue
            self._heeded_routes[name] = record
            self.heed_route(route, record)

    def heed_route(self, route: Route, record: RouteRecord) -> None:
        """Tell the decisions what another process, or an earlier life, saw of a route."""
        core = self._dispatcher
        if record.recovered_at is None:
            core.call_policy(core.policy.route_failed_elsewhere, route, record.seen_at)
        else:
            core.call_policy(core.policy.route_recovered_elsewhere, route, record.recovered_at)
