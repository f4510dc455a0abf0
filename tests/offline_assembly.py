"""A whole dispatcher without sockets, on a clock that the test sets, for tests of its configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog
from twisted.internet.testing import MemoryReactorClock

from laureldock.assembly import Assembly, PreparedReload
from laureldock.setup.plan import Plan


def drop_event(logger: object, name: str, event: object) -> str:
    raise structlog.DropEvent


class OfflineAssembly(Assembly):
    """An `Assembly` whose endpoint list comes from its configuration; no client connects to it."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.faults: list[str] = []
        self.clock = MemoryReactorClock()  # type: ignore[no-untyped-call]
        folder.mkdir(parents=True, exist_ok=True)
        super().__init__(plan, folder, self.clock, self.faults.append)  # type: ignore[arg-type]
        self.core.log = structlog.wrap_logger(None, processors=[drop_event])
        assert self.listed_source is not None
        if self.controlled_source is not None:  # as if an empty first snapshot had come from a controller
            self.controlled_source.settled = True
        self.listed_source.start()

    def apply_reload(self, plan: Plan) -> None:
        """Reloads as by a file with this plan; destinations may change their kind, as by a controller."""
        refused = self.reload(PreparedReload.prepare(plan))
        if refused:
            assert all(name.startswith("destination.") and name.endswith(".kind") for name in refused), (
                refused
            )
            prepared = PreparedReload.prepare(plan)
            self.plan = plan
            self.core.registry.update_terms(plan, prepared.terms)
            assert self.listed_source is not None
            self.listed_source.replace_list(prepared.listing)

    def close(self) -> None:
        self.core.store.close()  # type: ignore[attr-defined]

    def dispatch_state(self) -> dict[str, Any]:
        """What deliveries depend on, with objects replaced by their names, so that two can be compared."""
        registry, policy = self.core.registry, self.core.policy
        numbers = {destination: number for number, destination in registry.destinations.items()}
        routes = {
            name: (
                numbers[route.destination], route.zone, (route.kind.batch_size, route.kind.limits_per_route),
                route.listed_rate, route.listed_state, route.window,
                dict(route.timeouts),
            )
            for name, route in registry.routes.items()
        }  # fmt: skip
        destination_states = {
            numbers[destination]: (
                state.batch_size,
                {route.name: route_state.circuit for route, route_state in state.routes.items()},
            )
            for destination, state in policy.destination_states.items()
        }
        terms = {
            (name, number): registry.new_message(queue_class, number, 1.0).terms
            for name, queue_class in registry.classes.items()
            for number in registry.destinations
        }
        figures = self.core.operator_metrics()
        figure_names = ("endpoints_known", "endpoints_excluded", "in_flight", "ready")
        return {
            "routes": routes,
            "destinations": {
                number: destination.window for number, destination in registry.destinations.items()
            },
            "customers": {name: customer.quota for name, customer in registry.customers.items()},
            "terms": terms,
            "destination_states": destination_states,
            "dials": {route.name: pool.address for route, pool in self.carrier.pools.items()},
            "held": self.listed_source.endpoints if self.listed_source else None,
            "figures": {name: figures[name] for name in figure_names},
        }
