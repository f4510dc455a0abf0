"""Receivers and settings as a controller tells them: one stream, followed for as long as the process runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from laureldock.core.protocols import EndpointListListener
from laureldock.interface import FetchList
from laureldock.replication import messages
from laureldock.replication.change_log import Record
from laureldock.replication.configuration_store import ConfigurationStore, KeptConfiguration
from laureldock.replication.messages import MAX_TEXT_LENGTH, NO_POSITION, FaultReport, Position, fault_report
from laureldock.replication.subscriber import (
    CONNECT_TIMEOUT,
    MAX_REPORTED_FAULTS,
    ApplyChange,
    ConfigurationSink,
    Connect,
    Disconnect,
    Effect,
    ReplaceEntries,
    Send,
    Subscriber,
    SubscriberEvent,
)
from laureldock.setup.catalog import RefusedChangeError

# Frames that were read and wait for their turn: above so many the stream is not read for a while.
MAX_WAITING_FRAMES = 64
# Seconds.
CONFIRM_INTERVAL = 10.0
LOCK_INTERVAL = 0.5


class _Frames(Int32StringReceiver):
    MAX_LENGTH = messages.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, stream: ControllerStream) -> None:
        self.stream = stream

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.stream.opened(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self.stream.frame_came(self, string)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.stream.too_long(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.stream.closed(self, reason.getErrorMessage() if reason else "closed")


class _Connecting(ClientFactory):
    noisy = False

    def __init__(self, stream: ControllerStream) -> None:
        self.stream = stream

    def buildProtocol(self, addr: IAddress | None) -> _Frames:  # noqa: N802
        return _Frames(self.stream)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.stream.connect_failed(connector, reason.getErrorMessage())


class ControllerStream:
    """Carries out what a `Subscriber` decides: the stream to a controller, `sink`, and `store` if any.

    `on_event` is called for the log and the counters, `on_applied` after each change or snapshot that was
    applied.
    """

    def __init__(
        self,
        reactor: PosixReactorBase,
        controllers: Sequence[str],
        name: str,
        seed: int,
        sink: ConfigurationSink,
        store: ConfigurationStore | None = None,
        on_event: Callable[[SubscriberEvent], None] = lambda event: None,
        on_applied: Callable[[], None] = lambda: None,
    ) -> None:
        self.reactor, self.sink, self.store = reactor, sink, store
        self.on_event, self.on_applied = on_event, on_applied
        self.subscriber = Subscriber(name, controllers, seed, sink.holds)
        self.bytes_received = 0
        self._connector: Any = None
        self._frames: _Frames | None = None  # the stream that is open
        self._waiting: deque[bytes] = deque()
        self._reading = False  # the next frame's turn is due
        self._paused = False  # nothing is read from the stream
        self._timer: Any = None
        self._confirmed_at = 0.0

    # Its life

    def restore(self, kept: KeptConfiguration) -> None:
        """What was kept is in force already."""
        self.subscriber.restore(self._now(), kept.position, kept.digest, kept.age)

    def start(self) -> None:
        self.subscriber.start(self._now())
        self._turn()

    def stop(self) -> None:
        self._confirm()
        self.subscriber.stop()
        self._turn()

    def try_again(self) -> None:
        """The rules of the sink may have changed."""
        self.subscriber.try_again(self._now())
        self._turn()

    def _now(self) -> float:
        return self.reactor.seconds()

    # The stream

    def opened(self, frames: _Frames) -> None:
        if self._connector is None:  # called off just as it came up
            frames.transport.abortConnection()
            return
        self._frames = frames
        self.subscriber.connected_to(self._now())
        self._turn()

    def frame_came(self, frames: _Frames, frame: bytes) -> None:
        if frames is not self._frames:
            return
        self.bytes_received += 4 + len(frame)
        self._waiting.append(frame)
        if len(self._waiting) > MAX_WAITING_FRAMES:
            self._paused = True
            frames.transport.pauseProducing()
        if not self._reading:
            self._read_next()

    def _read_next(self) -> None:
        """One frame, and the next one after whatever else this process has to do by then."""
        self._reading = False
        if not self._waiting:
            return
        self._reading = True
        self.reactor.callLater(0, self._read_next)
        try:
            message = messages.decode(self._waiting.popleft())
        except messages.MalformedMessageError as fault:
            self.subscriber.malformed(self._now(), str(fault))
        else:
            self.subscriber.received(self._now(), message)
        self._turn()
        self._confirm_soon()
        if self._paused and not self._waiting and self._frames is not None:
            self._paused = False
            self._frames.transport.resumeProducing()

    def too_long(self, frames: _Frames) -> None:
        if frames is self._frames:
            self.subscriber.malformed(self._now(), "frame too long")
            self._turn()

    def closed(self, frames: _Frames, reason: str) -> None:
        if frames is self._frames:
            self._forget_stream()
            self.subscriber.lost(self._now(), reason)
            self._turn()

    def connect_failed(self, connector: Any, reason: str) -> None:
        if connector is self._connector:
            self._forget_stream()
            self.subscriber.lost(self._now(), reason)
            self._turn()

    def _forget_stream(self) -> None:
        self._connector = self._frames = None
        self._paused = False
        self._waiting.clear()

    def _disconnect(self) -> None:
        connector, frames = self._connector, self._frames
        self._forget_stream()
        if frames is not None:
            frames.transport.abortConnection()
        elif connector is not None:
            connector.stopConnecting()

    # Turns

    def _turn(self) -> None:
        while effects := self.subscriber.turn(self._now()):
            for effect in effects:
                self._carry_out(effect)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.subscriber.due < float("inf"):
            self._timer = self.reactor.callLater(max(0.0, self.subscriber.due - self._now()), self._turn)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Connect(address=address):
                host, _, port = address.rpartition(":")
                self._connector = self.reactor.connectTCP(
                    host, int(port), _Connecting(self), timeout=CONNECT_TIMEOUT
                )
            case Disconnect():
                self._disconnect()
            case Send(message=message):
                if self._frames is not None:
                    self._frames.sendString(messages.encode(message))
            case ApplyChange(change=change):
                self._apply(effect, lambda: self.sink.apply_change(change))
            case ReplaceEntries(entries=entries):
                self._apply(effect, lambda: self.sink.replace_entries(entries))
            case SubscriberEvent():
                self.on_event(effect)

    def _apply(self, effect: ApplyChange | ReplaceEntries, apply: Callable[[], None]) -> None:
        try:
            apply()
        except RefusedChangeError as refused:
            self.subscriber.refused(self._now(), [fault_report(fault) for fault in refused.faults])
            return
        except Exception as defect:  # ends this change, not the process; what is in force now is not known
            self.on_event(SubscriberEvent("fault", {"fault": repr(defect)}, serious=True))
            self.subscriber.distrust()
            self.subscriber.refused(self._now(), [FaultReport((), f"fault: {defect!r}"[:MAX_TEXT_LENGTH])])
            return
        right = self.sink.digest == effect.digest
        on_disk = right and self._keep(effect)
        self.subscriber.applied(self._now(), self.sink.digest, on_disk)
        self.on_applied()

    def _keep(self, effect: ApplyChange | ReplaceEntries) -> bool:
        """Whether it is on disk, as far as there is one."""
        if self.store is None:
            return True
        try:
            if isinstance(effect, ReplaceEntries):
                self.store.replace(effect.position, effect.digest, effect.parts)
            else:
                record = Record(effect.position, effect.digest, effect.accepted_at, effect.body)
                self.store.keep(record, self.sink.entries)
        except OSError as fault:
            self.on_event(SubscriberEvent("not kept", {"fault": str(fault)}, serious=True))
            return False
        return True

    def _confirm_soon(self) -> None:
        if self._now() - self._confirmed_at >= CONFIRM_INTERVAL:
            self._confirm()

    def _confirm(self) -> None:
        """Keep when the configuration was last known to be the newest, and what could not be kept before."""
        subscriber, now = self.subscriber, self._now()
        age = subscriber.age(now)
        if self.store is None or age is None or subscriber.position == NO_POSITION:
            return
        self._confirmed_at = now
        self.store.confirm(age)
        if self.sink.digest == subscriber.digest and self.store.retry(
            subscriber.position, subscriber.digest, self.sink.entries
        ):
            subscriber.stored(now)
            self._turn()


def is_filled(position: Position) -> bool:
    """Whether a controller had accepted anything by then: before, nobody could be served."""
    return position.version > 0


class Controlled:
    """The source of a dispatcher that follows a controller.

    The process that holds the store's lock follows; one beside it, while it hands over, serves what is on
    disk and waits for the lock.
    """

    def __init__(
        self, core: EndpointListListener, stream: ControllerStream, store: ConfigurationStore
    ) -> None:
        self.core, self.stream, self.store = core, stream, store
        stream.on_applied = self._applied
        self.settled = False
        self._closed = False

    def start(self) -> None:
        """Serve what was kept on disk, before any controller is reached."""
        following = self._acquire()
        self._restore()
        if following:
            self.stream.start()
        else:
            self.core.call_later(LOCK_INTERVAL, self._wait_for_lock)

    def _acquire(self) -> bool:
        try:
            return self.store.acquire()
        except OSError as fault:
            self.stream.on_event(SubscriberEvent("not kept", {"fault": str(fault)}, serious=True))
            return True  # it follows all the same, and keeps nothing

    def _restore(self) -> None:
        kept = self._load()
        if kept.fault:
            self.stream.on_event(SubscriberEvent("spoilt on disk", {"fault": kept.fault}, serious=True))
        if kept.position == NO_POSITION:
            return
        before, self.settled = self.settled, self.settled or is_filled(kept.position)
        try:
            self.stream.sink.replace_entries(kept.entries)
        except RefusedChangeError as refused:  # the dispatcher's own file has changed since
            self.settled = before
            reasons = [str(fault.reason) for fault in refused.faults[:MAX_REPORTED_FAULTS]]
            self.stream.on_event(SubscriberEvent("refused from disk", {"faults": reasons}, serious=True))
            return
        except Exception as defect:  # keeps no dispatcher from starting
            self.settled = before
            self.stream.subscriber.distrust()
            self.stream.on_event(SubscriberEvent("fault", {"fault": repr(defect)}, serious=True))
            return
        self.stream.restore(kept)
        self.core.guard(self.core.list_updated, [], False)

    def _load(self) -> KeptConfiguration:
        try:
            return self.store.load()
        except OSError as fault:
            return KeptConfiguration(fault=str(fault))

    def _wait_for_lock(self) -> None:
        if self._closed:
            return
        if not self._acquire():
            self.core.call_later(LOCK_INTERVAL, self._wait_for_lock)
            return
        self._restore()  # the process before may have gone on
        self.stream.start()

    def _applied(self) -> None:
        if not self.settled and is_filled(self.stream.subscriber.position):
            self.settled = True
            self.core.guard(self.core.list_updated, [], False)  # clients may come now

    def fetch_list(self, asked: FetchList) -> None:
        """The controller tells what there is by itself."""

    def close(self) -> None:
        self._closed = True
        self.stream.stop()
        self.store.close()

    def figures(self) -> dict[str, float]:
        """Of INFO and /_vars. Without an age where nothing was ever known to be the newest."""
        subscriber = self.stream.subscriber
        found: dict[str, float] = {
            "configuration_version": subscriber.position.version,
            "configuration_epoch": subscriber.position.epoch,
            "configuration_refused": subscriber.pending.count,
        }
        age = subscriber.age(self.core.now())
        return found if age is None else {**found, "configuration_age_s": round(age, 3)}
