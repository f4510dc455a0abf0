"""Source of endpoints and settings from a controller, over one connection that is kept open."""

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
from laureldock.replication.configuration_store import ConfigurationStore, StoredConfiguration
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

# Above this number of received but unprocessed frames, reading from the connection is paused.
MAX_QUEUED_FRAMES = 64
# Seconds.
CONFIRM_INTERVAL = 10.0
LOCK_RETRY_INTERVAL = 0.5


class _FrameProtocol(Int32StringReceiver):
    MAX_LENGTH = messages.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, stream: ControllerStream) -> None:
        self.stream = stream

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.stream.connection_opened(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        self.stream.frame_received(self, string)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        self.stream.frame_too_long(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.stream.connection_lost(self, reason.getErrorMessage() if reason else "closed")


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, stream: ControllerStream) -> None:
        self.stream = stream

    def buildProtocol(self, addr: IAddress | None) -> _FrameProtocol:  # noqa: N802
        return _FrameProtocol(self.stream)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.stream.connection_failed(connector, reason.getErrorMessage())


class ControllerStream:
    """Carries out the effects of a `Subscriber` on the connection, on `sink`, and on `store` if there is one.

    `on_event` is called for the log and the counters, `on_applied` after each applied change or snapshot.
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
        self._protocol: _FrameProtocol | None = None  # of the open connection
        self._queued_frames: deque[bytes] = deque()
        self._read_scheduled = False  # processing of the next frame is scheduled
        self._paused = False  # reading from the connection is paused
        self._timer: Any = None
        self._confirmed_at = 0.0

    # Start and stop

    def restore(self, stored: StoredConfiguration) -> None:
        """Set the position of the stored configuration, which is already in force."""
        self.subscriber.restore(self._now(), stored.position, stored.digest, stored.age)

    def start(self) -> None:
        self.subscriber.start(self._now())
        self._poll()

    def stop(self) -> None:
        self._confirm()
        self.subscriber.stop()
        self._poll()

    def retry_refused(self) -> None:
        """Request a refused change again, since the sink's rules may have changed."""
        self.subscriber.retry_refused(self._now())
        self._poll()

    def _now(self) -> float:
        return self.reactor.seconds()

    # Connection

    def connection_opened(self, protocol: _FrameProtocol) -> None:
        if self._connector is None:  # cancelled just as it was established
            protocol.transport.abortConnection()
            return
        self._protocol = protocol
        self.subscriber.connection_opened(self._now())
        self._poll()

    def frame_received(self, protocol: _FrameProtocol, frame: bytes) -> None:
        if protocol is not self._protocol:
            return
        self.bytes_received += 4 + len(frame)
        self._queued_frames.append(frame)
        if len(self._queued_frames) > MAX_QUEUED_FRAMES:
            self._paused = True
            protocol.transport.pauseProducing()
        if not self._read_scheduled:
            self._read_next()

    def _read_next(self) -> None:
        """Process one frame, and schedule the next one after other pending events of the reactor."""
        self._read_scheduled = False
        if not self._queued_frames:
            return
        self._read_scheduled = True
        self.reactor.callLater(0, self._read_next)
        try:
            message = messages.decode(self._queued_frames.popleft())
        except messages.MalformedMessageError as error:
            self.subscriber.protocol_error(self._now(), str(error))
        else:
            self.subscriber.message_received(self._now(), message)
        self._poll()
        self._confirm_if_due()
        if self._paused and not self._queued_frames and self._protocol is not None:
            self._paused = False
            self._protocol.transport.resumeProducing()

    def frame_too_long(self, protocol: _FrameProtocol) -> None:
        if protocol is self._protocol:
            self.subscriber.protocol_error(self._now(), "frame too long")
            self._poll()

    def connection_lost(self, protocol: _FrameProtocol, reason: str) -> None:
        if protocol is self._protocol:
            self._reset_connection()
            self.subscriber.connection_lost(self._now(), reason)
            self._poll()

    def connection_failed(self, connector: Any, reason: str) -> None:
        if connector is self._connector:
            self._reset_connection()
            self.subscriber.connection_lost(self._now(), reason)
            self._poll()

    def _reset_connection(self) -> None:
        self._connector = self._protocol = None
        self._paused = False
        self._queued_frames.clear()

    def _disconnect(self) -> None:
        connector, protocol = self._connector, self._protocol
        self._reset_connection()
        if protocol is not None:
            protocol.transport.abortConnection()
        elif connector is not None:
            connector.stopConnecting()

    # Effects

    def _poll(self) -> None:
        while effects := self.subscriber.poll(self._now()):
            for effect in effects:
                self._execute(effect)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.subscriber.due_at < float("inf"):
            self._timer = self.reactor.callLater(max(0.0, self.subscriber.due_at - self._now()), self._poll)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Connect(address=address):
                host, _, port = address.rpartition(":")
                self._connector = self.reactor.connectTCP(
                    host, int(port), _ConnectionFactory(self), timeout=CONNECT_TIMEOUT
                )
            case Disconnect():
                self._disconnect()
            case Send(message=message):
                if self._protocol is not None:
                    self._protocol.sendString(messages.encode(message))
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
        except Exception as error:  # fails this change only; the entries in force are unknown
            self.on_event(SubscriberEvent("fault", {"fault": repr(error)}, serious=True))
            self.subscriber.mark_inconsistent()
            self.subscriber.refused(self._now(), [FaultReport((), f"fault: {error!r}"[:MAX_TEXT_LENGTH])])
            return
        digest_matches = self.sink.digest == effect.digest
        on_disk = digest_matches and self._store_change(effect)
        self.subscriber.applied(self._now(), self.sink.digest, on_disk)
        self.on_applied()

    def _store_change(self, effect: ApplyChange | ReplaceEntries) -> bool:
        """Store the change or snapshot; return whether it is on disk, or True without a store."""
        if self.store is None:
            return True
        try:
            if isinstance(effect, ReplaceEntries):
                self.store.replace_all(effect.position, effect.digest, effect.parts)
            else:
                record = Record(effect.position, effect.digest, effect.accepted_at, effect.body)
                self.store.append_change(record, self.sink.entries)
        except OSError as error:
            self.on_event(SubscriberEvent("not kept", {"fault": str(error)}, serious=True))
            return False
        return True

    def _confirm_if_due(self) -> None:
        if self._now() - self._confirmed_at >= CONFIRM_INTERVAL:
            self._confirm()

    def _confirm(self) -> None:
        """Store when the configuration was last known to be the newest, and retry failed writes."""
        subscriber, now = self.subscriber, self._now()
        age = subscriber.age(now)
        if self.store is None or age is None or subscriber.position == NO_POSITION:
            return
        self._confirmed_at = now
        self.store.confirm(age)
        if self.sink.digest == subscriber.digest and self.store.retry(
            subscriber.position, subscriber.digest, self.sink.entries
        ):
            subscriber.persisted(now)
            self._poll()


def has_changes(position: Position) -> bool:
    """Whether the controller had accepted any change by then; without one there are no destinations."""
    return position.version > 0


class ControllerSource:
    """The source of a dispatcher that subscribes to a controller.

    Only the process that holds the store's lock subscribes. During a handover the other process uses the
    configuration on disk and waits for the lock.
    """

    def __init__(
        self, core: EndpointListListener, stream: ControllerStream, store: ConfigurationStore
    ) -> None:
        self.core, self.stream, self.store = core, stream, store
        stream.on_applied = self._applied
        self.settled = False
        self._closed = False

    def start(self) -> None:
        """Apply the configuration on disk, before any controller is reached."""
        may_subscribe = self._acquire()
        self._restore()
        if may_subscribe:
            self.stream.start()
        else:
            self.core.call_later(LOCK_RETRY_INTERVAL, self._wait_for_lock)

    def _acquire(self) -> bool:
        try:
            return self.store.acquire()
        except OSError as error:
            self.stream.on_event(SubscriberEvent("not kept", {"fault": str(error)}, serious=True))
            return True  # subscribe nevertheless, and store nothing

    def _restore(self) -> None:
        stored = self._load_stored()
        if stored.fault:
            self.stream.on_event(SubscriberEvent("spoilt on disk", {"fault": stored.fault}, serious=True))
        if stored.position == NO_POSITION:
            return
        previously_settled, self.settled = self.settled, self.settled or has_changes(stored.position)
        try:
            self.stream.sink.replace_entries(stored.entries)
        except RefusedChangeError as refused:  # the dispatcher's configuration file has changed since
            self.settled = previously_settled
            reasons = [str(fault.reason) for fault in refused.faults[:MAX_REPORTED_FAULTS]]
            self.stream.on_event(SubscriberEvent("refused from disk", {"faults": reasons}, serious=True))
            return
        except Exception as error:  # must not prevent the dispatcher from starting
            self.settled = previously_settled
            self.stream.subscriber.mark_inconsistent()
            self.stream.on_event(SubscriberEvent("fault", {"fault": repr(error)}, serious=True))
            return
        self.stream.restore(stored)
        self.core.guard(self.core.list_updated, [], False)

    def _load_stored(self) -> StoredConfiguration:
        try:
            return self.store.load()
        except OSError as error:
            return StoredConfiguration(fault=str(error))

    def _wait_for_lock(self) -> None:
        if self._closed:
            return
        if not self._acquire():
            self.core.call_later(LOCK_RETRY_INTERVAL, self._wait_for_lock)
            return
        self._restore()  # the previous process may have stored changes meanwhile
        self.stream.start()

    def _applied(self) -> None:
        if not self.settled and has_changes(self.stream.subscriber.position):
            self.settled = True
            self.core.guard(self.core.list_updated, [], False)  # lets the dispatcher accept clients

    def fetch_list(self, asked: FetchList) -> None:
        """Does nothing: the controller sends changes by itself."""

    def close(self) -> None:
        self._closed = True
        self.stream.stop()
        self.store.close()

    def figures(self) -> dict[str, float]:
        """Metrics for INFO and /_vars; no age if no configuration was ever known to be the newest."""
        subscriber = self.stream.subscriber
        found: dict[str, float] = {
            "configuration_version": subscriber.position.version,
            "configuration_epoch": subscriber.position.epoch,
            "configuration_refused": subscriber.pending.count,
        }
        age = subscriber.age(self.core.now())
        return found if age is None else {**found, "configuration_age_s": round(age, 3)}
