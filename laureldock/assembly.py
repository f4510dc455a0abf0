"""A dispatcher put together: the core, its decisions, and the peers that a plan names."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase

from laureldock.carriers.http import Receivers
from laureldock.core.dispatcher import Dispatcher
from laureldock.core.protocols import Front, Outlet, Source
from laureldock.delivery_settings import DeliveryRegistry
from laureldock.fronts.resp_server import RespServer
from laureldock.outlets.lines import Lines
from laureldock.outlets.platform import Notices
from laureldock.setup.entries import index_terms
from laureldock.setup.faults import dotted
from laureldock.setup.plan import Plan
from laureldock.setup.reload import changed_tables, forbidden_changes
from laureldock.setup.terms import TermsIndex
from laureldock.setup.units import Address
from laureldock.sockets.reactor import MonotonicReactor, listen_error
from laureldock.sockets.socket_budget import SocketBudget
from laureldock.sources.listed import Listed, Listing, listing, listing_of
from laureldock.sources.platform import Directory
from laureldock.stores.spool import Spool
from laureldock.transient_errors import wait_for

if TYPE_CHECKING:
    from laureldock.fleet.transport import FleetTransport
    from laureldock.replication.subscriber import SubscriberEvent
    from laureldock.setup.catalog import AppliedChange, Catalog
    from laureldock.setup.changes import CatalogEntry, Change, EntryKey
    from laureldock.sources.controlled import ControllerSource


CONFIGURATION_FOLDER = "configuration"  # of the state folder; what a controller told


@dataclass(frozen=True, slots=True)
class PreparedReload:
    """A plan with all that a reload would else work out while mails wait."""

    plan: Plan
    terms: TermsIndex
    listing: Listing

    @classmethod
    def prepare(cls, plan: Plan) -> PreparedReload:
        """Touches nothing else: it may be called in any thread."""
        return cls(plan, index_terms(plan)[0], listing(plan))


class Assembly:
    """`state` is the folder of the store, which is opened there unless it is given.

    `ended_for` is called with a fault that ends the process.
    """

    def __init__(
        self,
        plan: Plan,
        state: Path,
        reactor: PosixReactorBase,
        ended_for: Callable[[str], None],
        store: Spool | None = None,
    ) -> None:
        self.plan, self.reactor = plan, reactor
        store = store or Spool(state, plan.limits.disk)
        self.room = SocketBudget.of_limit(plan.limits.sockets)
        self.catalog = make_catalog(plan)
        known, terms = (
            (plan, None) if self.catalog is None else (self.catalog.in_force, self.catalog.terms_index)
        )
        book = DeliveryRegistry(known, sockets=True, terms=terms)
        self.core = core = Dispatcher(plan.name, book, store, reactor, ended_for)
        self.clients = [
            RespServer(core, reactor, self.room, front.listen, self.max_clients(), front.pipeline)
            for front in plan.front
        ]
        core.on_process_count = self.share_limits
        self.clients[0].passed_descriptor = plan.passed
        if isinstance(reactor, MonotonicReactor):
            for each in self.clients:
                each.max_unread_time = reactor.max_unread_time
        core.shares_listening_socket = plan.passed >= 0
        fronts: list[Front] = [*self.clients]
        self.carrier = Receivers(core, reactor, self.room)
        self.listed_source = None if plan.source.kind == "platform" else Listed(core, listing(plan))
        self.controlled_source: ControllerSource | None = None
        self.source = self.make_source(plan, state)
        self.outlet = self.make_outlet(plan, state)
        core.attach(fronts, self.carrier, self.source, self.outlet)
        self.fleet = self.make_fleet_transport(plan, state) if plan.fleet else None
        self.operator_server = None
        if plan.management:  # twisted.web costs some 4 MB, which a dispatcher without the address keeps
            from laureldock.operators.door import Door, Operated

            operated = Operated(
                core.accepts_clients,
                core.operator_metrics,
                self.set_lameduck,
                self.fleet.report if self.fleet else None,
                self.fleet.forget if self.fleet else None,
            )
            self.operator_server = Door(reactor, plan.management, operated)
        reactor.addSystemEventTrigger("before", "shutdown", self.stop)

    def max_clients(self, processes: int = 1) -> int:
        """Connections of one front: half of the sockets for clients at most, shared by the fronts."""
        return self.plan.limits.sockets // processes // 2 // len(self.plan.front)

    def share_limits(self, processes: int) -> None:
        """So many processes of this dispatcher live: each holds its part of the sockets and of the disk."""
        self.core.store.share_disk(processes)
        self.room.max_sockets = SocketBudget.of_limit(self.plan.limits.sockets // processes).max_sockets
        for clients in self.clients:
            clients.set_max_connections(self.max_clients(processes))
        self.room.free_socket()

    def make_source(self, plan: Plan, state: Path) -> Source:
        if plan.source.address:
            return Directory(self.core, self.reactor, plan.source.address, plan.source.known)
        if plan.source.kind == "controller":
            self.controlled_source = self.make_controlled_source(plan, state)
            self.core.configuration_metrics = self.controlled_source.figures
            return self.controlled_source
        assert self.listed_source is not None
        return self.listed_source

    def make_controlled_source(self, plan: Plan, state: Path) -> ControllerSource:
        # A dispatcher without a controller imports none of it.
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
        if plan.outlet.address:
            return Notices(self.core, self.reactor, plan.outlet.address)
        return Lines(self.core, state / plan.outlet.path if plan.outlet.path else None)

    def make_fleet_transport(self, plan: Plan, state: Path) -> FleetTransport:
        from laureldock.fleet.transport import (  # a dispatcher without a fleet imports none of it
            WARNING_EVENTS,
            FleetTransport,
        )

        core, settings = self.core, plan.fleet
        assert settings is not None

        def told(name: str, fields: dict[str, Any]) -> None:
            core.counters[f"fleet {name}"] += 1
            (core.log.warning if name in WARNING_EVENTS else core.log.info)(f"fleet: {name}", **fields)

        def load() -> float:
            return len(core.held_messages) / plan.limits.room

        return FleetTransport(self.reactor, settings, plan.name, plan.seed, state, told, load)

    def set_lameduck(self, on: bool) -> None:
        self.core.set_lameduck(on)
        if self.fleet:
            self.fleet.announce_lameduck(on)

    def start(self) -> None:
        """Listen for the fleet and for operators, and begin. OSError: one of them lastingly cannot listen."""
        if self.fleet:
            wait_for(self.listen_for_fleet, self.log_listen_wait)
        if self.operator_server:
            wait_for(self.operator_server.open, self.log_listen_wait)
        self.core.start()

    def listen_for_fleet(self) -> None:
        """OSError."""
        assert self.fleet
        try:
            self.fleet.start()
        except CannotListenError as barred:
            raise listen_error(barred) from None

    def log_listen_wait(self, fault: OSError) -> None:
        """What fails for a moment is no end of the process."""
        self.core.log.warning("start waits", waits_for="listening socket", fault=str(fault))

    def stop(self) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        if self.fleet:
            self.fleet.announce_lameduck(True)  # others hear at once, and that it left once it is through

        def over() -> None:
            if self.fleet:
                self.fleet.leave()
            done.callback(None)

        self.core.stop(over)
        return done

    # Reload

    def update_addresses(self, directory: Address | None, door: Address | None) -> None:
        source, outlet = self.source, self.outlet
        if not self.core.running:
            return
        if directory and isinstance(source, Directory) and directory != source.address:
            source.change_address(directory)
        if door and isinstance(outlet, Notices) and door != outlet.address:
            outlet.change_address(door)

    def apply_platform_settings(self, plan: Plan) -> None:
        """The platform's settings anew: classes come and go, limits change; mails taken on keep theirs."""
        core = self.core
        if not core.running:
            return
        plan.state, plan.management, plan.passed = self.plan.state, self.plan.management, self.plan.passed
        changed = changed_tables(self.plan, plan)
        self.plan = plan
        core.registry.update_classes(plan)
        core.call_policy(core.policy.update_settings, core.registry.settings)
        self.update_addresses(plan.source.address, plan.outlet.address)
        core.counters["configurations read"] += 1
        core.log.info("configuration read", changed=changed, classes=sorted(core.registry.classes))

    def report_refused_configuration(self, faults: list[str]) -> None:
        """A file that is not taken: nothing of the old settings is lost."""
        self.core.counters["configurations refused"] += 1
        self.core.log.error(
            "configuration not read, the old one stays", faults=faults[:20], count=len(faults)
        )

    def reload(self, fresh: PreparedReload) -> list[str]:
        """Take over what may change, or nothing: the names of what may not."""
        plan = fresh.plan
        barred = forbidden_changes(self.plan, plan)
        if barred:
            self.report_refused_configuration([f"{name} cannot change while it runs" for name in barred])
            return barred
        changed = changed_tables(self.plan, plan)
        if self.catalog is not None:
            if faults := self.rebase(plan):
                self.report_refused_configuration(faults)
                return faults
        else:
            self.core.registry.update_terms(plan, fresh.terms)
        self.plan = plan
        if self.fleet and plan.fleet:
            self.fleet.set_seeds(plan.fleet)
        if self.listed_source and self.catalog is None:
            self.listed_source.reread(fresh.listing)
        self.update_addresses(plan.source.address, plan.outlet.address)
        self.core.counters["configurations read"] += 1
        self.core.log.info("configuration read", changed=changed, routes=len(self.core.registry.routes))
        if self.controlled_source:
            self.controlled_source.stream.retry_refused()
        return []

    def rebase(self, plan: Plan) -> list[str]:
        """The entries that a controller told, above another file; or nothing, and why not."""
        from laureldock.setup.catalog import RefusedChangeError

        assert self.catalog is not None
        fresh = make_catalog(plan)
        assert fresh is not None  # a reload changes no kind of source
        try:
            fresh.replace(self.catalog.entries())
        except RefusedChangeError as refusal:
            return [f"{dotted(fault.path)}: {fault.reason}" for fault in refusal.faults]
        self.catalog = fresh
        self.core.registry.update_terms(fresh.in_force, fresh.terms_index)
        return []

    # A controller's changes

    @property
    def digest(self) -> int:
        """Of all entries that are in force."""
        return self.catalog.digest if self.catalog is not None else 0

    def holds(self, key: EntryKey) -> bool:
        return self.catalog is not None and self.catalog.get(key) is not None

    def entries(self) -> Iterable[CatalogEntry]:
        return self.catalog.entries() if self.catalog is not None else ()

    def apply_change(self, change: Change) -> None:
        """Take it over whole, in the size of the change. RefusedChangeError, then nothing has changed."""
        assert self.catalog is not None
        self.apply_to_registry(self.catalog.apply(change, missing_ok=True))

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        """All entries anew; what differs is taken over. RefusedChangeError, then nothing has changed."""
        assert self.catalog is not None
        self.apply_to_registry(self.catalog.replace(entries))

    def apply_to_registry(self, applied: AppliedChange) -> None:
        """What changed in the catalog, told to the book and to the list; as a reload does it."""
        assert self.catalog is not None and self.listed_source is not None
        if not applied:
            return
        catalog, core = self.catalog, self.core
        core.registry.apply_change(applied, catalog)
        names = {put.name: None for put in applied.endpoints_put}
        for destination in applied.kind_changed:
            names |= dict.fromkeys(catalog.endpoint_names.get(destination, ()))
        put = listing_of(catalog.in_force, [catalog.endpoints[name] for name in names])
        self.listed_source.change(put, [removed.name for removed in applied.endpoints_removed])
        core.counters["configuration changes"] += 1
        core.log.info(
            "configuration changed",
            endpoints=len(applied.endpoints_put) + len(applied.endpoints_removed),
            destinations=len(applied.destinations),
            settings=len(applied.selections),
            customers=len(applied.customers),
        )


def make_catalog(plan: Plan) -> Catalog | None:
    """For what a controller tells; no other dispatcher imports it."""
    if plan.source.kind != "controller":
        return None
    from laureldock.setup.catalog import Catalog

    return Catalog(plan)
