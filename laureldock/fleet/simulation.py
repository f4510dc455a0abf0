"""Simulation of a fleet: many views on one simulated clock; a seed determines the trace to the byte.

It is part of the package because operators rehearse with it fleets that are too large to run as processes
on one machine. The network loses datagrams independently and delays them uniformly; a stream needs both
directions of a link.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from laureldock.fleet.effects import OpenStream, SendDatagram, ViewEvent
from laureldock.fleet.members import PRESENT_STATES
from laureldock.fleet.messages import MalformedMessageError
from laureldock.fleet.settings import ViewSettings, ViewStatus
from laureldock.fleet.simulated_network import Link, SimulatedNetwork
from laureldock.fleet.view import MembershipView


@dataclass(eq=False, slots=True)
class SimulatedHost:
    """A member's process, which may be down or stalled. Times are seconds of the simulation."""

    key: str  # identifies the process and its address; a duplicate of a name has a key of its own
    name: str
    site: str
    view: MembershipView | None = None
    starts: int = 0
    generation: int = 0  # as saved on its disk
    stalled_until: float = 0.0
    inbox: list[bytes] = field(default_factory=list)  # datagrams received while it is stalled
    timer_due: float = -1.0  # time of the scheduled timer; -1 for none


class Simulation:
    """A fleet of views by name, each with its site; the address of a member is its name and `:1`.

    `period` is that of the views, in seconds; `seeds` are addresses; by default that of the first member.
    """

    def __init__(
        self, names: dict[str, str], seed: int = 1, period: float = 1.0, seeds: Iterable[str] = ()
    ) -> None:
        self.seed, self.period, self.network = seed, period, SimulatedNetwork()
        self.hosts = {name: SimulatedHost(name, name, site) for name, site in names.items()}
        self.seeds = tuple(seeds) or tuple(f"{name}:1" for name in names)[:1]
        self.now, self.serial = 0.0, count(1)
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.events: list[tuple[float, str, ViewEvent]] = []
        self.datagrams_sent = self.bytes_sent = 0

    def random_fraction(self) -> float:
        """Return a reproducible number from 0 up to, but not including, 1."""
        return zlib.crc32(f"{self.seed}:{next(self.serial)}".encode()) / 2**32

    def schedule(self, when: float, action: Callable[..., None], *arguments: Any) -> None:
        """Call `action` with `arguments` at the simulated time `when`."""
        heapq.heappush(self.heap, (when, next(self.serial), action, arguments))

    def run(self, until: float) -> None:
        """Run everything that is scheduled up to the simulated time `until`."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.now = until

    # Members

    def start(self, key: str, clock_offset: float = 0.0, seeds: Iterable[str] = ()) -> MembershipView:
        """Start a member's process; its wall clock deviates by `clock_offset` seconds.

        `seeds`, if given, replace those of the simulation.
        """
        host = self.hosts[key]
        host.starts += 1
        # The wall clock starts at one day, so that a clock that is behind still yields a positive generation.
        host.generation = max(host.generation + 1, round((86400 + self.now + clock_offset) * 1000))
        boot_id = zlib.crc32(f"{key}{host.starts}".encode())
        settings = ViewSettings(
            "fleet", host.name, host.site, f"{key}:1", host.generation, boot_id,
            tuple(seeds) or self.seeds, self.period, self.seed * 100003 + host.starts,
        )  # fmt: skip
        host.view, host.timer_due, host.stalled_until = MembershipView(settings, self.now), -1.0, 0.0
        host.inbox.clear()
        self.advance(host)
        return host.view

    def start_duplicate(self, name: str) -> MembershipView:
        """Start a second process of the same name, at another address."""
        self.hosts[f"{name}~"] = SimulatedHost(f"{name}~", name, self.hosts[name].site)
        return self.start(f"{name}~")

    def kill(self, key: str, lose_state: bool = False) -> None:
        """End a member's process at once; with `lose_state` its disk is lost too."""
        host = self.hosts[key]
        host.view = None
        host.generation = 0 if lose_state else host.generation

    def leave(self, key: str) -> None:
        """End a member's process after it has announced that it leaves."""
        host = self.hosts[key]
        if host.view:
            host.view.leave(self.now)
            self.advance(host)
            host.view = None

    def stall(self, key: str, seconds: float) -> None:
        """Suspend a process as SIGSTOP does; on resumption it receives what arrived meanwhile."""
        host = self.hosts[key]
        host.stalled_until = self.now + seconds
        self.schedule(host.stalled_until, self.resume, host, host.view)

    def resume(self, host: SimulatedHost, view: MembershipView | None) -> None:
        """Resume after a stall, if the process is still the same."""
        if host.view is view and view and host.stalled_until <= self.now:
            self.advance(host)
            inbox, host.inbox = host.inbox, []
            for data in inbox:
                view.receive_datagram(self.now, data)
            self.advance(host)

    def advance(self, host: SimulatedHost) -> None:
        """Run the timers that are due in a member's view, and carry out its effects."""
        if host.view is None or host.stalled_until > self.now:
            return
        for effect in host.view.advance(self.now):
            match effect:
                case SendDatagram(address=address, data=data):
                    self.send(host.key, address, data)
                case OpenStream(address=address):
                    self.schedule(self.now + self.random_delay(), self.run_stream, host, host.view, address)
                case ViewEvent():
                    self.events.append((self.now, host.key, effect))
        due = host.view.next_due
        if due != host.timer_due and due < float("inf"):
            host.timer_due = due
            self.schedule(due, self.on_timer, host, host.view)

    def on_timer(self, host: SimulatedHost, view: MembershipView) -> None:
        """Advance a view whose scheduled timer is due."""
        if host.view is view:
            host.timer_due = -1.0
            self.advance(host)

    # Network

    def random_delay(self) -> float:
        """Return a random transit time of a datagram, in seconds."""
        return (
            self.network.min_delay
            + (self.network.max_delay - self.network.min_delay) * self.random_fraction()
        )

    def send(self, sender: str, address: str, data: bytes) -> None:
        """Send a datagram, which may be lost, duplicated or delayed."""
        self.datagrams_sent += 1
        self.bytes_sent += len(data)
        link = self.network.links.get((sender, address.removesuffix(":1"))) or Link()
        for _ in range(2 if link.duplicated and self.random_fraction() < link.duplicated else 1):
            if link.loss and self.random_fraction() < link.loss:
                continue
            if not (self.network.loss and self.random_fraction() < self.network.loss):
                latency = self.random_delay() + (link.delay * self.random_fraction() if link.delay else 0.0)
                self.schedule(self.now + latency, self.deliver, sender, address, data)

    def deliver(self, sender: str, address: str, data: bytes) -> None:
        """Deliver a datagram, unless its receiver is down or the link is cut."""
        host = self.hosts.get(address.removesuffix(":1"))
        if host is None or host.view is None or self.network.is_cut(sender, host.key):
            return
        if host.stalled_until > self.now:
            host.inbox.append(data)
            return
        host.view.receive_datagram(self.now, data)
        self.advance(host)

    def run_stream(self, host: SimulatedHost, view: MembershipView, address: str) -> None:
        """Run both ends of a stream at once; simulating its round trips would only delay the records."""
        other = self.hosts.get(address.removesuffix(":1"))
        if other is None or other.view is None or host.view is not view:
            return
        if self.network.is_cut(host.key, other.key) or self.network.is_cut(other.key, host.key):
            return
        if other.stalled_until > self.now or host.stalled_until > self.now:
            return
        data: bytes | None = view.first_frame(self.now)
        endpoints = (other, host)
        try:
            for step in range(4):
                if data is None or (receiving_view := endpoints[step % 2].view) is None:
                    break
                self.bytes_sent += len(data)
                data = receiving_view.receive_frame(self.now, data)
        except MalformedMessageError:
            pass
        self.advance(host)
        self.advance(other)

    # Observation

    def active_views(self) -> list[MembershipView]:
        """Return the views of running processes that participate in the fleet."""
        views = (host.view for host in self.hosts.values())
        return [view for view in views if view is not None and view.status is ViewStatus.ACTIVE]

    def views_agree(self) -> bool:
        """Whether the views of all running members agree that exactly the running members are present."""
        views = self.active_views()
        if not views or len({view.digest for view in views}) > 1:
            return not views
        present_names = {
            each.record.name for each in views[0].member_table if each.record.state in PRESENT_STATES
        }
        return present_names == {view.settings.name for view in views}

    def settle(self, timeout: float) -> float:
        """Run until all views agree and still do one period later.

        Returns the seconds until they agreed; infinity if not within `timeout` seconds.
        """
        started_at = self.now
        while self.now < started_at + timeout:
            if self.views_agree():
                at = self.now
                self.run(self.now + self.period)
                if self.views_agree():
                    return at - started_at
            self.run(self.now + self.period / 10)
        return float("inf")
