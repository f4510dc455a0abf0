"""A dispatcher put together on a clock set by hand, without sockets, for tests of its configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import structlog
from twisted.internet.testing import MemoryReactorClock

from laureldock.assembly import Assembly, PreparedReload
from laureldock.setup.plan import Plan


def unheard(logger: object, name: str, event: object) -> str:
    raise structlog.DropEvent


class Assembled(Assembly):
    """Its list is told; nobody connects to it."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.faults: list[str] = []
        self.clock = MemoryReactorClock()  # type: ignore[no-untyped-call]
        folder.mkdir(parents=True, exist_ok=True)
        super().__init__(plan, folder, self.clock, self.faults.append)  # type: ignore[arg-type]
        self.core.log = structlog.wrap_logger(None, processors=[unheard])
        assert self.listed_source is not None
        if self.controlled_source is not None:  # as if a controller's first snapshot had come, of no entry
            self.controlled_source.settled = True
        self.listed_source.start()

    def reloaded(self, plan: Plan) -> None:
        """By a file that says this; a destination's kind may change too, as by a controller."""
        barred = self.reload(PreparedReload.prepare(plan))
        if barred:
            assert all(name.startswith("destination.") and name.endswith(".kind") for name in barred), barred
            fresh = PreparedReload.prepare(plan)
            self.plan = plan
            self.core.registry.update_terms(plan, fresh.terms)
            assert self.listed_source is not None
            self.listed_source.replace_list(fresh.listing)

    def close(self) -> None:
        self.core.store.close()  # type: ignore[attr-defined]

    def state(self) -> dict[str, Any]:
        """What it dispatches by, in names alone."""
        book, control = self.core.registry, self.core.policy
        numbers = {owner: number for number, owner in book.destinations.items()}
        names = {kind: name for name, kind in book.classes.items()}
        routes = {
            name: (
                numbers[route.destination], route.zone, (route.kind.batch_size, route.kind.limits_per_route),
                route.listed_rate, route.listed_state, route.window,
                {names[kind]: value for kind, value in route.timeouts.items()},
            )
            for name, route in book.routes.items()
        }  # fmt: skip
        lines = {
            numbers[owner]: (
                line.batch_size,
                {route.name: lane.circuit for route, lane in line.routes.items()},
            )
            for owner, line in control.destination_states.items()
        }
        terms = {
            (name, number): book.new_message(kind, number, 1.0).terms
            for name, kind in book.classes.items()
            for number in book.destinations
        }
        figures = self.core.operator_metrics()
        told = ("endpoints_known", "endpoints_excluded", "in_flight", "ready")
        return {
            "routes": routes,
            "destinations": {number: owner.window for number, owner in book.destinations.items()},
            "customers": {name: each.quota for name, each in book.customers.items()},
            "terms": terms,
            "lines": lines,
            "dials": {route.name: pool.address for route, pool in self.carrier.pools.items()},
            "held": self.listed_source.endpoints if self.listed_source else None,
            "figures": {name: figures[name] for name in told},
        }
