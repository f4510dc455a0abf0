"""A dispatcher put together: the core, its decisions, and the peers that a plan names."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase

from laureldock.carriers.http import Receivers
from laureldock.core.dispatcher import Dispatcher
from laureldock.core.seams import Front, Outlet, Source
from laureldock.fronts.resp_server import Clients
from laureldock.outlets.lines import Lines
from laureldock.outlets.platform import Notices
from laureldock.setup.entries import term_book
from laureldock.setup.plan import Plan
from laureldock.setup.reload import changes, refused
from laureldock.setup.terms import TermBook
from laureldock.setup.units import Address
from laureldock.sockets.reactor import SteadyReactor
from laureldock.sockets.room import Room
from laureldock.sources.listed import Listed, Listing, listing
from laureldock.sources.platform import Directory
from laureldock.stores.spool import Spool
from laureldock.tariff import Book

if TYPE_CHECKING:
    from laureldock.fleet.transport import FleetTransport


@dataclass(frozen=True, slots=True)
class Prepared:
    """A plan with all that a reload would else work out while mails wait."""

    plan: Plan
    terms: TermBook
    listing: Listing

    @classmethod
    def of(cls, plan: Plan) -> Prepared:
        """Touches nothing else: it may be called in any thread."""
        return cls(plan, term_book(plan)[0], listing(plan))


class Assembly:
    """`state` is the folder of the store; `ended_for` is called with a fault that ends the process."""

    def __init__(
        self, plan: Plan, state: Path, reactor: PosixReactorBase, ended_for: Callable[[str], None]
    ) -> None:
        self.plan, self.reactor = plan, reactor
        store = Spool(state, plan.limits.disk)
        # Two processes of one dispatcher, while one hands over to the next, hold half of the sockets each.
        sockets = plan.limits.sockets // (2 if store.sharing else 1)
        self.room = Room.of(sockets)
        self.core = core = Dispatcher(plan.name, Book(plan, sockets=True), store, reactor, ended_for)
        # Half of the sockets for clients at most, shared by the fronts.
        most = sockets // 2 // len(plan.front)
        self.clients = [
            Clients(core, reactor, self.room, front.listen, most, front.pipeline) for front in plan.front
        ]
        self.clients[0].passed = plan.passed
        if isinstance(reactor, SteadyReactor):
            for each in self.clients:
                each.unread = reactor.unread
        core.handed_down = plan.passed >= 0
        fronts: list[Front] = [*self.clients]
        self.receivers = Receivers(core, reactor, self.room)
        self.source = self.source_of(plan)
        self.outlet = self.outlet_of(plan, state)
        core.attach(fronts, self.receivers, self.source, self.outlet)
        self.fleet = self.fleet_transport(plan, state) if plan.fleet else None
        self.door = None
        if plan.management:  # twisted.web costs some 4 MB, which a dispatcher without the address keeps
            from laureldock.operators.door import Door, Operated

            operated = Operated(
                core.takes_clients,
                core.operators_figures,
                self.lameduck,
                self.fleet.report if self.fleet else None,
                self.fleet.forget if self.fleet else None,
            )
            self.door = Door(reactor, plan.management, operated)
        reactor.addSystemEventTrigger("before", "shutdown", self.stop)

    def source_of(self, plan: Plan) -> Source:
        if plan.source.address:
            return Directory(self.core, self.reactor, plan.source.address, plan.source.known)
        return Listed(self.core, listing(plan))

    def outlet_of(self, plan: Plan, state: Path) -> Outlet:
        if plan.outlet.address:
            return Notices(self.core, self.reactor, plan.outlet.address)
        return Lines(self.core, state / plan.outlet.path if plan.outlet.path else None)

    def fleet_transport(self, plan: Plan, state: Path) -> FleetTransport:
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
            return len(core.held) / plan.limits.room

        return FleetTransport(self.reactor, settings, plan.name, plan.seed, state, told, load)

    def lameduck(self, on: bool) -> None:
        self.core.set_lameduck(on)
        if self.fleet:
            self.fleet.lameduck(on)

    def start(self) -> None:
        if self.fleet:
            try:
                self.fleet.start()
            except CannotListenError as barred:
                raise OSError(f"cannot listen for the fleet: {barred}") from None
        if self.door and (fault := self.door.open()):
            raise OSError(f"cannot listen for operators: {fault}")
        self.core.start()

    def stop(self) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        if self.core.handed_down:  # the next process serves beside this one until it ends
            self.room.most //= 2
            for clients in self.clients:
                clients.most //= 2
            self.room.spare()
        if self.fleet:
            self.fleet.lameduck(True)  # others hear at once, and that it left once it is through

        def over() -> None:
            if self.fleet:
                self.fleet.leave()
            done.callback(None)

        self.core.stop(over)
        return done

    # Reload

    def move_to(self, directory: Address | None, door: Address | None) -> None:
        source, outlet = self.source, self.outlet
        if not self.core.running:
            return
        if directory and isinstance(source, Directory) and directory != source.dial:
            source.move(directory)
        if door and isinstance(outlet, Notices) and door != outlet.dial:
            outlet.move(door)

    def retold(self, plan: Plan) -> None:
        """The platform's settings anew: classes come and go, limits change; mails taken on keep theirs."""
        core = self.core
        if not core.running:
            return
        plan.state, plan.management, plan.passed = self.plan.state, self.plan.management, self.plan.passed
        changed = changes(self.plan, plan)
        self.plan = plan
        core.book.reclass(plan)
        core.tell(core.control.retell, core.book.tariff)
        self.move_to(plan.source.address, plan.outlet.address)
        core.counters["configurations read"] += 1
        core.log.info("configuration read", changed=changed, classes=sorted(core.book.classes))

    def unread(self, faults: list[str]) -> None:
        """A file that is not taken: nothing of the old settings is lost."""
        self.core.counters["configurations refused"] += 1
        self.core.log.error(
            "configuration not read, the old one stays", faults=faults[:20], count=len(faults)
        )

    def reload(self, fresh: Prepared) -> list[str]:
        """Take over what may change, or nothing: the names of what may not."""
        plan = fresh.plan
        barred = refused(self.plan, plan)
        if barred:
            self.unread([f"{name} cannot change while it runs" for name in barred])
            return barred
        changed = changes(self.plan, plan)
        self.plan = plan
        self.core.book.retell(plan, fresh.terms)
        if self.fleet and plan.fleet:
            self.fleet.set_seeds(plan.fleet)
        if isinstance(self.source, Listed):
            self.source.reread(fresh.listing)
        self.move_to(plan.source.address, plan.outlet.address)
        self.core.counters["configurations read"] += 1
        self.core.log.info("configuration read", changed=changed, routes=len(self.core.book.routes))
        return []
