"""The transport of a membership view: UDP and TCP on one port, the clock, and the saved state.

Everything is sent from the listening address, so that a relay or a packet filter can identify the sender.
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

# A stream takes only a few frames, so few are open at once; connections that send no frame time out.
MAX_INBOUND_STREAMS = 16
STREAM_TIMEOUT = 3.0  # seconds without a frame; a stream takes a few round trips
SAVE_INTERVAL = 10.0  # periods; a crash loses at most this much of the changes of the saved addresses
MAX_SAVED_ADDRESSES = 64  # enough that one of them is probably reachable at the next start
WARNING_EVENTS = ("name taken", "failed", "refused")  # logged as warnings


class PersistentState:
    """State saved for the next start: the generation, and member addresses to contact beside the seeds."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.generation = 0
        self.addresses: list[str] = []
        try:
            saved = json.loads(path.read_bytes())
            self.generation = int(saved["generation"])
            self.addresses = [str(each) for each in saved["addresses"]][:MAX_SAVED_ADDRESSES]
        except (OSError, ValueError, KeyError, TypeError):
            pass  # a new directory or a corrupted file; the clock or the fleet yields a later generation

    def next_generation(self, wall_clock: float) -> int:
        """Return the generation of this start: above the saved one, and at least the clock's milliseconds."""
        self.generation = max(self.generation + 1, int(wall_clock * 1000))
        return self.generation

    def save(self, generation: int, addresses: list[str]) -> None:
        """Replace the file atomically. Raises OSError."""
        self.generation, self.addresses = generation, addresses[:MAX_SAVED_ADDRESSES]
        temporary_path = self.path.with_suffix(".new")
        with temporary_path.open("w", encoding="utf-8") as file:
            json.dump({"generation": generation, "addresses": self.addresses}, file)
            file.flush()
            os.fsync(file.fileno())
        temporary_path.rename(self.path)


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
    """Either end of a stream; the initiator, the member that opened it, sends the first frame."""

    MAX_LENGTH = messages.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, fleet_transport: FleetTransport, is_initiator: bool) -> None:
        self.fleet_transport, self.is_initiator = fleet_transport, is_initiator

    def connectionMade(self) -> None:  # noqa: N802
        self.setTimeout(STREAM_TIMEOUT)
        if self.is_initiator:
            self.sendString(self.fleet_transport.view.first_frame(self.fleet_transport.now()))
        else:
            self.fleet_transport.inbound_streams += 1
            if self.fleet_transport.inbound_streams > MAX_INBOUND_STREAMS:
                self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self.resetTimeout()
        try:
            response = self.fleet_transport.view.receive_frame(self.fleet_transport.now(), string)
        except messages.MalformedMessageError:
            self.transport.abortConnection()
            return
        if response is None:
            self.transport.loseConnection()
        else:
            self.sendString(response)
        self.fleet_transport.schedule_advance()

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.fleet_transport.view.count_refused("frame too long")
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.setTimeout(None)
        if not self.is_initiator:
            self.fleet_transport.inbound_streams -= 1


class StreamFactory(ClientFactory):
    """Builds the protocol of inbound streams, or of a stream that this member opens."""

    noisy = False

    def __init__(self, fleet_transport: FleetTransport, is_initiator: bool) -> None:
        self.fleet_transport, self.is_initiator = fleet_transport, is_initiator

    def buildProtocol(self, addr: IAddress | None) -> StreamProtocol:  # noqa: N802
        return StreamProtocol(self.fleet_transport, self.is_initiator)


class FleetTransport:
    """Runs a membership view on a reactor.

    `on_event` is called with the name and fields of each event. `load` returns the load of this dispatcher,
    from 0 to 1.
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
        self.advance_scheduled = self.needs_save = False
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
        """Return the configured seeds and the saved addresses, without this member's own."""
        own_address = self.settings.advertise or self.settings.listen
        known = dict.fromkeys([*map(str, seeds), *self.persistent_state.addresses])
        return tuple(each for each in known if each != own_address)

    def now(self) -> float:
        """Return the time of the reactor's clock in seconds."""
        return self.reactor.seconds()

    # Lifecycle

    def start(self) -> None:
        """Listen, and start to join the fleet. Raises CannotListenError."""
        datagrams = self.reactor.listenUDP(self.port, self.datagrams, interface=self.host)
        try:
            self.reactor.listenTCP(self.port, StreamFactory(self, is_initiator=False), interface=self.host)
        except CannotListenError:
            datagrams.stopListening()
            raise
        self.save()
        self.reactor.callLater(SAVE_INTERVAL * self.settings.period, self.save_periodically)
        self.advance()

    def save_periodically(self) -> None:
        """Save changes at intervals while this member is active."""
        if self.view.status is ViewStatus.ACTIVE:
            if self.needs_save:
                self.save()
            self.reactor.callLater(SAVE_INTERVAL * self.settings.period, self.save_periodically)

    def save(self) -> None:
        """Save the state for the next start; an error is reported as an event."""
        self.needs_save = False
        others = [each.record.address for each in self.view.members() if each is not self.view.local]
        try:
            # Keep the saved addresses if no other member is known: a start that reaches none must keep them.
            addresses = others or self.persistent_state.addresses
            self.persistent_state.save(self.view.local.record.generation, addresses)
        except OSError as error:
            self.on_event("not kept", {"fault": str(error)})

    def leave(self) -> None:
        """Save the state, and announce that this member leaves."""
        if self.view.status is ViewStatus.ACTIVE:
            self.save()
            self.view.leave(self.now())
            self.advance()

    def announce_lameduck(self, enabled: bool) -> None:
        """Announce that this member drains, or accepts clients again."""
        self.view.set_lameduck(self.now(), enabled)
        self.schedule_advance()

    def set_seeds(self, settings: Fleet) -> None:
        """Use the seeds of a new configuration."""
        self.view.set_seeds(list(self.seed_addresses(settings.seeds)))

    def forget(self, name: str) -> bool:
        """Declare that a failed member has left; returns False if no member of that name has failed."""
        forgotten = self.view.forget_failed(self.now(), name)
        self.schedule_advance()
        return forgotten

    # Time and effects

    def schedule_advance(self) -> None:
        """Advance the view in the next reactor iteration, after all pending input has been read."""
        if not self.advance_scheduled:
            self.advance_scheduled = True
            self.reactor.callLater(0, self.advance)

    def advance(self) -> None:
        """Run the timers that are due, carry out the effects, and schedule the next call."""
        self.advance_scheduled = False
        self.view.set_load(round(255 * min(1.0, self.load())))
        version = self.view.version
        for effect in self.view.advance(self.now()):
            self.execute(effect)
        self.needs_save = self.needs_save or version != self.view.version
        if self.view.next_due != self.next_due or self.timer is None or not self.timer.active():
            self.next_due = self.view.next_due
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            if self.next_due < float("inf"):
                self.timer = self.reactor.callLater(max(0.0, self.next_due - self.now()), self.advance)

    def execute(self, effect: Effect) -> None:
        """Carry out one effect; a failure to send or connect is treated as a lost datagram."""
        match effect:
            case SendDatagram(address=address, data=data):
                host, _, port = address.rpartition(":")
                # A datagram that cannot be sent counts as lost; the protocol tolerates loss.
                with contextlib.suppress(OSError, ValueError, OverflowError):
                    self.datagrams.transport.write(data, (host, int(port)))
            case OpenStream(address=address):
                host, _, port = address.rpartition(":")
                if port.isdigit() and 0 < int(port) < 65536:
                    factory = StreamFactory(self, is_initiator=True)
                    self.reactor.connectTCP(
                        host, int(port), factory, timeout=STREAM_TIMEOUT, bindAddress=(self.host, 0)
                    )
            case ViewEvent(name=name, fields=fields):
                self.needs_save = True
                self.on_event(name, fields)

    # Reporting

    def report(self) -> dict[str, Any]:
        """Return the view as `GET /_fleet` shows it."""
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
                    "since_s": round(now - each.state_changed_at, 3),
                }
                for each in view.members()
            ],
            "reach": view.reachability_fractions(now),
            "counts": asdict(view.counters),
        }
