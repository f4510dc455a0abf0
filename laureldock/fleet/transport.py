"""The transport of a membership view: UDP and TCP at one port number, the clock, a file for the next start.

Everything is sent from the listening address, so that a relay or a packet filter knows the sender by it.
"""

from __future__ import annotations

import contextlib
import json
import os
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import ClientFactory, DatagramProtocol
from twisted.protocols.basic import Int32StringReceiver
from twisted.protocols.policies import TimeoutMixin

from laureldock.fleet import messages
from laureldock.fleet.effects import Effect, OpenStream, SendDatagram, ViewEvent
from laureldock.fleet.settings import ViewSettings, ViewStatus
from laureldock.fleet.view import MembershipView
from laureldock.setup.plan import Fleet

# Streams that others have open here: each is a few frames, and what speaks no frames must end.
MAX_INBOUND_STREAMS = 16
STREAM_TIMEOUT = 3.0  # seconds; a stream is a few round trips
SAVE_INTERVAL = 10.0  # periods; what the next start would miss at most of who was there
MAX_SAVED_ADDRESSES = 64  # enough that one of them lives
WARNING_EVENTS = ("name taken", "failed", "refused")  # logged as warnings


class PersistentState:
    """What outlives the process: its generation, and addresses to ask when all seeds are gone."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.generation = 0
        self.addresses: list[str] = []
        try:
            on_event = json.loads(path.read_bytes())
            self.generation = int(on_event["generation"])
            self.addresses = [str(each) for each in on_event["addresses"]][:MAX_SAVED_ADDRESSES]
        except (OSError, ValueError, KeyError, TypeError):
            pass  # a new folder, or a spoilt file: the clock and the fleet tell of an earlier start

    def next_generation(self, wall_clock: float) -> int:
        """The generation of this start: above the last one known here, at least the clock's milliseconds."""
        self.generation = max(self.generation + 1, int(wall_clock * 1000))
        return self.generation

    def save(self, generation: int, addresses: list[str]) -> None:
        """Write the file anew, atomically. OSError if that fails."""
        self.generation, self.addresses = generation, addresses[:MAX_SAVED_ADDRESSES]
        fresh = self.path.with_suffix(".new")
        with fresh.open("w", encoding="utf-8") as file:
            json.dump({"generation": generation, "addresses": self.addresses}, file)
            file.flush()
            os.fsync(file.fileno())
        fresh.rename(self.path)


class DatagramEndpoint(DatagramProtocol):
    """Passes datagrams to the view."""

    noisy = False
    transport: Any

    def __init__(self, fleet_transport: FleetTransport) -> None:
        self.fleet_transport = fleet_transport

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self.fleet_transport.view.receive_datagram(self.fleet_transport.now(), datagram)
        self.fleet_transport.schedule_advance()


class StreamProtocol(Int32StringReceiver, TimeoutMixin):
    """Either end of a stream; `opened`: this member opened it, and sends the first frame."""

    MAX_LENGTH = messages.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, fleet_transport: FleetTransport, opened: bool) -> None:
        self.fleet_transport, self.opened = fleet_transport, opened

    def connectionMade(self) -> None:  # noqa: N802
        self.setTimeout(STREAM_TIMEOUT)
        if self.opened:
            self.sendString(self.fleet_transport.view.first_frame(self.fleet_transport.now()))
        else:
            self.fleet_transport.inbound_streams += 1
            if self.fleet_transport.inbound_streams > MAX_INBOUND_STREAMS:
                self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self.resetTimeout()
        try:
            answer = self.fleet_transport.view.receive_frame(self.fleet_transport.now(), string)
        except messages.MalformedMessageError:
            self.transport.abortConnection()
            return
        if answer is None:
            self.transport.loseConnection()
        else:
            self.sendString(answer)
        self.fleet_transport.schedule_advance()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.fleet_transport.view.count_refused("a frame too long")
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.setTimeout(None)
        if not self.opened:
            self.fleet_transport.inbound_streams -= 1


class StreamFactory(ClientFactory):
    """Builds the protocol of streams that others open here, or of one that this member opens."""

    noisy = False

    def __init__(self, fleet_transport: FleetTransport, opened: bool) -> None:
        self.fleet_transport, self.opened = fleet_transport, opened

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:  # noqa: N802
        return StreamProtocol(self.fleet_transport, self.opened)


class FleetTransport:
    """Runs a membership view on a reactor.

    `on_event` is called with the name and fields of each event. `load` gives how full this dispatcher is,
    0 to 1.
    """

    def __init__(
        self,
        reactor: PosixReactorBase,
        settings: Fleet,
        name: str,
        seed: int,
        state: Path,
        on_event: Callable[[str, dict[str, Any]], None],
        load: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.reactor, self.settings, self.on_event, self.load = reactor, settings, on_event, load
        self.persistent_state = PersistentState(state / "fleet.json")
        host, _, port = settings.listen.rpartition(":")
        self.host, self.port = host, int(port)
        self.inbound_streams, self.next_due = 0, float("inf")
        self.timer: Any = None
        self.advance_scheduled = self.dirty = False
        self.view = MembershipView(
            ViewSettings(
                fleet=settings.name,
                name=name,
                site=settings.site,
                address=str(settings.advertise or settings.listen),
                generation=self.persistent_state.next_generation(wall_clock()),
                boot_id=int.from_bytes(os.urandom(4), "big"),
                seeds=self.seed_addresses(settings.seeds),
                period=float(settings.period),
                random_seed=seed,
                max_members=settings.members,
                forget_after=float(settings.forget),
            ),
            self.now(),
        )
        self.datagrams = DatagramEndpoint(self)

    def seed_addresses(self, seeds: list[Any]) -> tuple[str, ...]:
        """Configured seeds, and addresses that the last start knew."""
        mine = self.settings.advertise or self.settings.listen
        known = dict.fromkeys([*map(str, seeds), *self.persistent_state.addresses])
        return tuple(each for each in known if each != mine)

    def now(self) -> float:
        """Seconds of the reactor's clock."""
        return self.reactor.seconds()

    # Lifecycle

    def start(self) -> None:
        """Listen, and begin to join. CannotListenError where nothing can listen there."""
        datagrams = self.reactor.listenUDP(self.port, self.datagrams, interface=self.host)
        try:
            self.reactor.listenTCP(self.port, StreamFactory(self, opened=False), interface=self.host)
        except CannotListenError:
            datagrams.stopListening()
            raise
        self.save()
        self.reactor.callLater(SAVE_INTERVAL * self.settings.period, self.save_periodically)
        self.advance()

    def save_periodically(self) -> None:
        """Save what changed, again and again while this member takes part."""
        if self.view.status is ViewStatus.ACTIVE:
            if self.dirty:
                self.save()
            self.reactor.callLater(SAVE_INTERVAL * self.settings.period, self.save_periodically)

    def save(self) -> None:
        """Save for the next start; a fault is reported as an event."""
        self.dirty = False
        others = [each.record.address for each in self.view.members() if each is not self.view.local]
        try:
            # Present members, else those saved before: a start that reaches nobody must not lose them.
            addresses = others or self.persistent_state.addresses
            self.persistent_state.save(self.view.local.record.generation, addresses)
        except OSError as error:
            self.on_event("not kept", {"fault": str(error)})

    def leave(self) -> None:
        """Tell the fleet that this member leaves."""
        if self.view.status is ViewStatus.ACTIVE:
            self.save()
            self.view.leave(self.now())
            self.advance()

    def lameduck(self, on: bool) -> None:
        """Tell the fleet that this member is being emptied, or takes clients again."""
        self.view.set_lameduck(self.now(), on)
        self.schedule_advance()

    def set_seeds(self, settings: Fleet) -> None:
        """Take over the seeds of a new configuration."""
        self.view.set_seeds(list(self.seed_addresses(settings.seeds)))

    def forget(self, name: str) -> bool:
        """Hold a failed member to have left; False where no such member failed."""
        forgotten = self.view.forget_failed(self.now(), name)
        self.schedule_advance()
        return forgotten

    # Time and effects

    def schedule_advance(self) -> None:
        """Advance the view once all that has come in is read."""
        if not self.advance_scheduled:
            self.advance_scheduled = True
            self.reactor.callLater(0, self.advance)

    def advance(self) -> None:
        """Run what is due, carry out the effects, and set the timer for what is due next."""
        self.advance_scheduled = False
        self.view.set_load(round(255 * min(1.0, self.load())))
        version = self.view.version
        for effect in self.view.advance(self.now()):
            self.execute(effect)
        self.dirty = self.dirty or version != self.view.version
        if self.view.next_due != self.next_due or self.timer is None or not self.timer.active():
            self.next_due = self.view.next_due
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            if self.next_due < float("inf"):
                self.timer = self.reactor.callLater(max(0.0, self.next_due - self.now()), self.advance)

    def execute(self, effect: Effect) -> None:
        """Carry out one effect; failures to send or connect are as lost datagrams."""
        match effect:
            case SendDatagram(address=address, data=data):
                host, _, port = address.rpartition(":")
                # What cannot be sent counts as lost: its receiver is probed again.
                with contextlib.suppress(OSError, ValueError, OverflowError):
                    self.datagrams.transport.write(data, (host, int(port)))
            case OpenStream(address=address):
                host, _, port = address.rpartition(":")
                if port.isdigit() and 0 < int(port) < 65536:
                    opened = StreamFactory(self, opened=True)
                    self.reactor.connectTCP(
                        host, int(port), opened, timeout=STREAM_TIMEOUT, bindAddress=(self.host, 0)
                    )
            case ViewEvent(name=name, fields=fields):
                self.dirty = True
                self.on_event(name, fields)

    # Reporting

    def report(self) -> dict[str, Any]:
        """The view as `GET /_fleet` shows it."""
        view, now = self.view, self.now()
        return {
            "fleet": view.settings.fleet,
            "name": view.settings.name,
            "standing": view.status.value,
            "digest": f"{view.digest:016x}",
            "version": view.version,
            "still_s": round(view.stable_for(now), 3),
            "local_health": view.local_health,
            "members": [
                {
                    "name": each.record.name,
                    "site": each.record.site,
                    "address": each.record.address,
                    "state": messages.STATE_NAMES[each.record.state],
                    "generation": each.record.generation,
                    "incarnation": each.record.incarnation,
                    "lameduck": each.record.lameduck,
                    "load": round(each.load / 255, 3),
                    "since_s": round(now - each.state_since, 3),
                }
                for each in view.members()
            ],
            "reach": view.reachability_shares(now),
            "counts": asdict(view.counters),
        }
