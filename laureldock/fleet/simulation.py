"""Many views on one clock set by hand, over a modelled network: one seed gives one trace, to the byte.

Shipped, since operators rehearse with it what no machine holds as processes. The network is a model:
independent loss, delays drawn evenly, cuts by directed pair of members; a stream is there while both ways
are.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from laureldock.fleet.members import PRESENT_STATES
from laureldock.fleet.messages import MalformedMessageError
from laureldock.fleet.view import (
    MembershipView,
    OpenStream,
    SendDatagram,
    ViewEvent,
    ViewSettings,
    ViewStatus,
)

Pair = tuple[str, str]


@dataclass(slots=True)
class Link:
    """From one member to another. Times are seconds."""

    cuts: int = 0  # faults that cut it now
    loss: float = 0.0
    doubled: float = 0.0
    delay: float = 0.0  # at most, beside the network's own


@dataclass(slots=True)
class SimulatedNetwork:
    """What becomes of datagrams: of all, and of those on single links."""

    loss: float = 0.0
    min_delay: float = 0.001
    max_delay: float = 0.01
    links: dict[Pair, Link] = field(default_factory=dict)

    def link(self, sender: str, receiver: str) -> Link:
        return self.links.setdefault((sender, receiver), Link())

    def cut(self, sender: str, receiver: str) -> bool:
        link = self.links.get((sender, receiver))
        return link is not None and link.cuts > 0


@dataclass(eq=False, slots=True)
class SimulatedHost:
    """A member's process: it may be down, or stand still."""

    key: str  # of its address; a second process of one name has another
    name: str
    site: str
    view: MembershipView | None = None
    starts: int = 0
    generation: int = 0  # on its disk
    stalled: float = 0.0  # until when
    inbox: list[bytes] = field(default_factory=list)  # of one that stands still
    timer_due: float = -1.0  # the turn that is already in the heap


class Simulation:
    """`names` of members, each with its site; the address of each is its name and `:1`."""

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
        return zlib.crc32(f"{self.seed}:{next(self.serial)}".encode()) / 2**32

    def schedule(self, when: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.serial), action, arguments))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.now = until

    # Members

    def start(self, key: str, clock: float = 0.0, seeds: Iterable[str] = ()) -> MembershipView:
        """`clock`: seconds that its wall clock is off; `seeds`: others than the world's."""
        host = self.hosts[key]
        host.starts += 1
        # A day into the clock, so that one behind has a generation, too.
        host.generation = max(host.generation + 1, round((86400 + self.now + clock) * 1000))
        boot_id = zlib.crc32(f"{key}{host.starts}".encode())
        arguments = ViewSettings(
            "fleet", host.name, host.site, f"{key}:1", host.generation, boot_id,
            tuple(seeds) or self.seeds, self.period, self.seed * 100003 + host.starts,
        )  # fmt: skip
        host.view, host.timer_due, host.stalled = MembershipView(arguments, self.now), -1.0, 0.0
        host.inbox.clear()
        self.advance(host)
        return host.view

    def start_duplicate(self, name: str) -> MembershipView:
        """Another process of that name, at another address."""
        self.hosts[f"{name}~"] = SimulatedHost(f"{name}~", name, self.hosts[name].site)
        return self.start(f"{name}~")

    def kill(self, key: str, folder: bool = False) -> None:
        """`folder`: its disk is gone, too."""
        host = self.hosts[key]
        host.view = None
        host.generation = 0 if folder else host.generation

    def leave(self, key: str) -> None:
        host = self.hosts[key]
        if host.view:
            host.view.leave(self.now)
            self.advance(host)
            host.view = None

    def stall(self, key: str, seconds: float) -> None:
        """As SIGSTOP does: it does nothing, and finds all that came meanwhile."""
        host = self.hosts[key]
        host.stalled = self.now + seconds
        self.schedule(host.stalled, self.resume, host, host.view)

    def resume(self, host: SimulatedHost, view: MembershipView | None) -> None:
        if host.view is view and view and host.stalled <= self.now:
            self.advance(host)
            inbox, host.inbox = host.inbox, []
            for data in inbox:
                view.receive_datagram(self.now, data)
            self.advance(host)

    def advance(self, host: SimulatedHost) -> None:
        if host.view is None or host.stalled > self.now:
            return
        for effect in host.view.advance(self.now):
            match effect:
                case SendDatagram(address=address, data=data):
                    self.send(host.key, address, data)
                case OpenStream(address=address):
                    self.schedule(self.now + self.random_delay(), self.stream, host, host.view, address)
                case ViewEvent():
                    self.events.append((self.now, host.key, effect))
        due = host.view.next_due
        if due != host.timer_due and due < float("inf"):
            host.timer_due = due
            self.schedule(due, self.on_timer, host, host.view)

    def on_timer(self, host: SimulatedHost, view: MembershipView) -> None:
        if host.view is view:
            host.timer_due = -1.0
            self.advance(host)

    # The network

    def random_delay(self) -> float:
        return (
            self.network.min_delay
            + (self.network.max_delay - self.network.min_delay) * self.random_fraction()
        )

    def send(self, sender: str, address: str, data: bytes) -> None:
        self.datagrams_sent += 1
        self.bytes_sent += len(data)
        link = self.network.links.get((sender, address.removesuffix(":1"))) or Link()
        for _ in range(2 if link.doubled and self.random_fraction() < link.doubled else 1):
            if link.loss and self.random_fraction() < link.loss:
                continue
            if not (self.network.loss and self.random_fraction() < self.network.loss):
                late = self.random_delay() + (link.delay * self.random_fraction() if link.delay else 0.0)
                self.schedule(self.now + late, self.arrive, sender, address, data)

    def arrive(self, sender: str, address: str, data: bytes) -> None:
        host = self.hosts.get(address.removesuffix(":1"))
        if host is None or host.view is None or self.network.cut(sender, host.key):
            return
        if host.stalled > self.now:
            host.inbox.append(data)
            return
        host.view.receive_datagram(self.now, data)
        self.advance(host)

    def stream(self, host: SimulatedHost, view: MembershipView, address: str) -> None:
        """Both ends in one go: a stream takes a few round trips, which only delays what it carries."""
        other = self.hosts.get(address.removesuffix(":1"))
        if other is None or other.view is None or host.view is not view:
            return
        if self.network.cut(host.key, other.key) or self.network.cut(other.key, host.key):
            return
        if other.stalled > self.now or host.stalled > self.now:
            return
        data: bytes | None = view.first_frame(self.now)
        sides = (other, host)
        try:
            for turn in range(4):
                if data is None or (view_there := sides[turn % 2].view) is None:
                    break
                self.bytes_sent += len(data)
                data = view_there.receive_frame(self.now, data)
        except MalformedMessageError:
            pass
        self.advance(host)
        self.advance(other)

    # What is asked of a run

    def living(self) -> list[MembershipView]:
        views = (host.view for host in self.hosts.values())
        return [view for view in views if view is not None and view.status is ViewStatus.ACTIVE]

    def views_agree(self) -> bool:
        """All that live hold the same members to be here, and these are those that live."""
        views = self.living()
        if not views or len({view.digest for view in views}) > 1:
            return not views
        here = {each.record.name for each in views[0].member_table if each.record.state in PRESENT_STATES}
        return here == {view.settings.name for view in views}

    def settle(self, timeout: float) -> float:
        """Seconds until they agree and go on agreeing for a period; infinity if not within `timeout`."""
        began = self.now
        while self.now < began + timeout:
            if self.views_agree():
                at = self.now
                self.run(self.now + self.period)
                if self.views_agree():
                    return at - began
            self.run(self.now + self.period / 10)
        return float("inf")
