"""Assembles a dispatcher from a plan: the core, the delivery policy, and the adapters that the plan names."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase

from laureldock.carriers.http import HttpCarrier
from laureldock.core.dispatcher import Dispatcher
from laureldock.core.memory_limit import expected_processes, memory_limit
from laureldock.core.protocols import Front, Outlet, Source
from laureldock.delivery_memory import MemoryBudget
from laureldock.delivery_settings import DeliveryRegistry
from laureldock.fronts.resp_server import RespServer
from laureldock.operators.http_server import OperatorActions, OperatorServer
from laureldock.outlets.lines import LineOutlet
from laureldock.outlets.platform import PlatformOutlet
from laureldock.setup.entries import index_terms
from laureldock.setup.faults import dotted
from laureldock.setup.plan import Plan
from laureldock.setup.reload import changed_tables, forbidden_changes
from laureldock.setup.terms import TermsIndex
from laureldock.setup.units import Address
from laureldock.sockets.reactor import MonotonicReactor, listen_error
from laureldock.sockets.socket_budget import SocketBudget
from laureldock.sources.listed import EndpointList, ListedSource, endpoint_list, endpoint_list_of
from laureldock.sources.platform import PlatformSource
from laureldock.stores.spool import Spool
from laureldock.transient_errors import wait_for

if TYPE_CHECKING:
    from laureldock.fleet.transport import FleetTransport
    from laureldock.replication.subscriber import SubscriberEvent
    from laureldock.setup.catalog import AppliedChange, Catalog
    from laureldock.setup.changes import CatalogEntry, Change, EntryKey
    from laureldock.sources.controlled import ControllerSource


CONFIGURATION_FOLDER = "configuration"  # in the state folder; entries received from a controller


@dataclass(frozen=True, slots=True)
class PreparedReload:
    """A plan with everything derived from it, so that a reload does not delay messages by computing that."""

    plan: Plan
    terms: TermsIndex
    listing: EndpointList

    @classmethod
    def prepare(cls, plan: Plan) -> PreparedReload:
        """Derive it from a plan. Safe to call in any thread, since it changes nothing else."""
        return cls(plan, index_terms(plan)[0], endpoint_list(plan))


class Assembly:
    """A dispatcher with its adapters, and the reloads of its configuration.

    `state` is the state folder; the store is opened there unless one is given. `on_fatal_error` is called
    with the text of an error after which the process cannot go on. Without `memory` there is no limit on it.
    """

    def __init__(
        self,
        plan: Plan,
        state: Path,
        reactor: PosixReactorBase,
        on_fatal_error: Callable[[str], None],
        store: Spool | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.plan, self.reactor = plan, reactor
        self.memory = memory or MemoryBudget()
        store = store or Spool(state, plan.limits.disk)
        self.room = SocketBudget.of_limit(plan.limits.sockets)
        self.catalog = make_catalog(plan)
        live_plan, terms = (
            (plan, None) if self.catalog is None else (self.catalog.in_force, self.catalog.terms_index)
        )
        registry = DeliveryRegistry(live_plan, sockets=True, terms=terms)
        self.core = core = Dispatcher(plan.name, registry, store, reactor, on_fatal_error, self.memory)
        self.clients = [
            RespServer(
                core, reactor, self.room, front.listen, self.max_clients(), front.pipeline, self.memory
            )
            for front in plan.front
        ]
        core.on_process_count = self.share_limits
        self.clients[0].passed_descriptor = plan.passed
        if isinstance(reactor, MonotonicReactor):
            for each in self.clients:
                each.max_unread_time = reactor.max_unread_time
        core.shares_listening_socket = plan.passed >= 0
        fronts: list[Front] = [*self.clients]
        self.carrier = HttpCarrier(core, reactor, self.room)
        self.listed_source = (
            None if plan.source.kind == "platform" else ListedSource(core, endpoint_list(plan))
        )
        self.controlled_source: ControllerSource | None = None
        self.source = self.make_source(plan, state)
        self.outlet = self.make_outlet(plan, state)
        core.attach(fronts, self.carrier, self.source, self.outlet)
        self.fleet = self.make_fleet_transport(plan, state) if plan.fleet else None
        self.operator_server = None
        if plan.management:
            actions = OperatorActions(
                core.accepts_clients,
                core.operator_metrics,
                self.set_lameduck,
                self.fleet.report if self.fleet else None,
                self.fleet.forget if self.fleet else None,
            )
            self.operator_server = OperatorServer(reactor, plan.management, actions)
        reactor.addSystemEventTrigger("before", "shutdown", self.stop)

    def max_clients(self, processes: int = 1) -> int:
        """Limit on the connections of one front: all fronts share half of the sockets for clients."""
        return self.plan.limits.sockets // processes // 2 // len(self.plan.front)

    def share_limits(self, processes: int) -> None:
        """Divide the limits on sockets and disk space by the number of processes of this dispatcher."""
        self.core.store.share_disk(processes)
        self.memory.set_processes(expected_processes(self.plan, processes))
        self.room.max_sockets = SocketBudget.of_limit(self.plan.limits.sockets // processes).max_sockets
        for clients in self.clients:
            clients.set_max_connections(self.max_clients(processes))
        self.room.free_socket()

    def make_source(self, plan: Plan, state: Path) -> Source:
        """The source that the plan names."""
        if plan.source.address:
            return PlatformSource(self.core, self.reactor, plan.source.address, plan.source.known)
        if plan.source.kind == "controller":
            self.controlled_source = self.make_controlled_source(plan, state)
            self.core.configuration_metrics = self.controlled_source.figures
            return self.controlled_source
        assert self.listed_source is not None
        return self.listed_source

    def make_controlled_source(self, plan: Plan, state: Path) -> ControllerSource:
        """The source of a dispatcher that follows a controller."""
        # Imported only in a dispatcher with a controller.
        from laureldock.replication.configuration_store import ConfigurationStore
        from laureldock.sources.controlled import ControllerSource, ControllerStream

        core = self.core

        def on_event(event: SubscriberEvent) -> None:
            core.counters[f"configuration: {event.event}"] += 1
            log = core.log.warning if event.serious else core.log.info
            log(f"configuration: {event.event}", **event.fields)

        store = ConfigurationStore(state / CONFIGURATION_FOLDER)
        stream = ControllerStream(
            self.reactor, plan.source.controllers, plan.name, plan.seed, self, store, on_event
        )
        return ControllerSource(core, stream, store)

    def make_outlet(self, plan: Plan, state: Path) -> Outlet:
        """The outlet that the plan names."""
        if plan.outlet.address:
            return PlatformOutlet(self.core, self.reactor, plan.outlet.address)
        return LineOutlet(self.core, state / plan.outlet.path if plan.outlet.path else None)

    def make_fleet_transport(self, plan: Plan, state: Path) -> FleetTransport:
        """The membership view of a dispatcher in a fleet."""
        from laureldock.fleet.transport import (  # imported only in a dispatcher with a fleet
            WARNING_EVENTS,
            FleetTransport,
        )

        core, settings = self.core, plan.fleet
        assert settings is not None

        def on_event(name: str, fields: dict[str, Any]) -> None:
            core.counters[f"fleet {name}"] += 1
            (core.log.warning if name in WARNING_EVENTS else core.log.info)(f"fleet: {name}", **fields)

        def load() -> float:
            return len(core.held_messages) / plan.limits.room

        return FleetTransport(self.reactor, settings, plan.name, plan.seed, state, on_event, load)

    def set_lameduck(self, on: bool) -> None:
        """Ask clients to leave, or accept them again, and tell the fleet."""
        self.core.set_lameduck(on)
        if self.fleet:
            self.fleet.announce_lameduck(on)

    def start(self) -> None:
        """Listen for the fleet and for operators, and start. OSError if one of them can never listen."""
        if self.fleet:
            wait_for(self.listen_for_fleet, self.log_listen_wait)
        if self.operator_server:
            wait_for(self.operator_server.open, self.log_listen_wait)
        self.core.start()

    def listen_for_fleet(self) -> None:
        """Start the membership view. Raises OSError if it cannot listen."""
        assert self.fleet
        try:
            self.fleet.start()
        except CannotListenError as error:
            raise listen_error(error) from None

    def log_listen_wait(self, error: OSError) -> None:
        """Log that the start waits for a transient error to pass."""
        self.core.log.warning("start waits", waits_for="listening socket", fault=str(error))

    def stop(self) -> Deferred[None]:
        """Begin a planned stop; the result fires at its end."""
        done: Deferred[None] = Deferred()
        if self.fleet:
            self.fleet.announce_lameduck(True)  # others learn this at once, and at the end that it has left

        def on_stopped() -> None:
            if self.fleet:
                self.fleet.leave()
            done.callback(None)

        self.core.stop(on_stopped)
        return done

    # Reload

    def update_addresses(self, list_address: Address | None, notice_address: Address | None) -> None:
        """Use other addresses of the list server and the notice server, where a plan has these."""
        source, outlet = self.source, self.outlet
        if not self.core.running:
            return
        if list_address and isinstance(source, PlatformSource) and list_address != source.address:
            source.change_address(list_address)
        if notice_address and isinstance(outlet, PlatformOutlet) and notice_address != outlet.address:
            outlet.change_address(notice_address)

    def apply_platform_settings(self, plan: Plan) -> None:
        """Apply new settings of the platform, classes and limits. Accepted messages keep their class."""
        core = self.core
        if not core.running:
            return
        plan.state, plan.management, plan.passed = self.plan.state, self.plan.management, self.plan.passed
        if plan.limits.memory is None:
            plan.limits.memory = self.plan.limits.memory
        changed = changed_tables(self.plan, plan)
        self.plan = plan
        self.memory.set_limit(memory_limit(plan), expected_processes(plan, 1 + core.peers.view.processes))
        core.registry.update_classes(plan)
        core.call_policy(core.policy.update_settings, core.registry.settings)
        self.update_addresses(plan.source.address, plan.outlet.address)
        core.counters["configurations read"] += 1
        core.log.info("configuration read", changed=changed, classes=sorted(core.registry.classes))

    def report_refused_configuration(self, faults: list[str]) -> None:
        """Log and count a configuration that was refused; the old one stays in force."""
        self.core.counters["configurations refused"] += 1
        self.core.log.error(
            "configuration not read, the old one stays", faults=faults[:20], count=len(faults)
        )

    def reload(self, prepared: PreparedReload) -> list[str]:
        """Apply a new plan, or nothing of it; returns the reasons if it is refused."""
        plan = prepared.plan
        fixed = forbidden_changes(self.plan, plan)
        if fixed:
            self.report_refused_configuration([f"{name} cannot change while it runs" for name in fixed])
            return fixed
        changed = changed_tables(self.plan, plan)
        if self.catalog is not None:
            if faults := self.rebase_catalog(plan):
                self.report_refused_configuration(faults)
                return faults
        else:
            self.core.registry.update_terms(plan, prepared.terms)
        self.plan = plan
        if self.fleet and plan.fleet:
            self.fleet.set_seeds(plan.fleet)
        if self.listed_source and self.catalog is None:
            self.listed_source.replace_list(prepared.listing)
        self.update_addresses(plan.source.address, plan.outlet.address)
        self.core.counters["configurations read"] += 1
        self.core.log.info("configuration read", changed=changed, routes=len(self.core.registry.routes))
        if self.controlled_source:
            self.controlled_source.stream.retry_refused()
        return []

    def rebase_catalog(self, plan: Plan) -> list[str]:
        """Apply the entries of the controller on top of another file, or nothing; returns the faults."""
        from laureldock.setup.catalog import RefusedChangeError

        assert self.catalog is not None
        catalog = make_catalog(plan)
        assert catalog is not None  # a reload cannot change the kind of source
        try:
            catalog.replace(self.catalog.entries())
        except RefusedChangeError as refusal:
            return [f"{dotted(fault.path)}: {fault.reason}" for fault in refusal.faults]
        self.catalog = catalog
        self.core.registry.update_terms(catalog.in_force, catalog.terms_index)
        return []

    # A controller's changes

    @property
    def digest(self) -> int:
        """Digest of all entries in force."""
        return self.catalog.digest if self.catalog is not None else 0

    def holds(self, key: EntryKey) -> bool:
        """Whether there is an entry with this key."""
        return self.catalog is not None and self.catalog.get(key) is not None

    def entries(self) -> Iterable[CatalogEntry]:
        """All entries in force."""
        return self.catalog.entries() if self.catalog is not None else ()

    def apply_change(self, change: Change) -> None:
        """Apply a change, at a cost in proportion to its size. RefusedChangeError: nothing has changed."""
        assert self.catalog is not None
        self.apply_to_registry(self.catalog.apply(change, missing_ok=True))

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        """Replace all entries, applying what differs. Raises RefusedChangeError, then nothing changed."""
        assert self.catalog is not None
        self.apply_to_registry(self.catalog.replace(entries))

    def apply_to_registry(self, applied: AppliedChange) -> None:
        """Pass changes of the catalog on to the registry and the endpoint list, as a reload does."""
        assert self.catalog is not None and self.listed_source is not None
        if not applied:
            return
        catalog, core = self.catalog, self.core
        core.registry.apply_change(applied, catalog)
        names = {put.name: None for put in applied.endpoints_put}
        for destination in applied.kind_changed:
            names |= dict.fromkeys(catalog.endpoint_names.get(destination, ()))
        updated = endpoint_list_of(catalog.in_force, [catalog.endpoints[name] for name in names])
        self.listed_source.update(updated, [removed.name for removed in applied.endpoints_removed])
        core.counters["configuration changes"] += 1
        core.log.info(
            "configuration changed",
            endpoints=len(applied.endpoints_put) + len(applied.endpoints_removed),
            destinations=len(applied.destinations),
            settings=len(applied.selections),
            customers=len(applied.customers),
        )


def make_catalog(plan: Plan) -> Catalog | None:
    """A catalog for the entries of a controller, if the plan has one; imported only then."""
    if plan.source.kind != "controller":
        return None
    from laureldock.setup.catalog import Catalog

    return Catalog(plan)
