"""The dispatcher's side of the change stream: what it requests, applies, refuses and reports. No I/O.

Events are method calls, each with the time (monotonic seconds); `poll` returns the resulting effects. The
caller carries out all effects of an event before it passes in the next one, and reports the result of an
`ApplyChange` or `ReplaceEntries` with `applied` or `refused` at once. The same events always give the same
effects; jitter is derived from the seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import Protocol

from xxhash import xxh3_64_intdigest

from laureldock.replication.incoming_snapshot import IncomingSnapshot, PartOutcome
from laureldock.replication.messages import (
    HEARTBEAT_INTERVAL,
    MAX_TEXT_LENGTH,
    NO_POSITION,
    SILENCE_LIMIT,
    ChangeMessage,
    FaultReport,
    Heartbeat,
    InForce,
    Message,
    Position,
    Refusal,
    Refused,
    SnapshotBegin,
    SnapshotPart,
    Subscribe,
    checksum,
)
from laureldock.replication.pending import PendingChanges
from laureldock.setup.changes import (
    CatalogEntry,
    Change,
    EntryKey,
    UnreadableChangeError,
    decode_change,
    encode_change,
)

# Seconds.
CONNECT_TIMEOUT = 3.0
MIN_BACKOFF, MAX_BACKOFF = 0.25, 4.0
# Time without a response after which a subscription is sent again; it doubles with each repetition.
MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT = 3.5, 56.0
# Longer than the other timeouts: the controller's rate limit may delay a part of a snapshot.
SNAPSHOT_TIMEOUT = 64.0
# Delay from an unreadable change, a refused snapshot or too many pending changes to the request of a snapshot
# (with the next change); it doubles each time.
MIN_SNAPSHOT_RETRY, MAX_SNAPSHOT_RETRY = 60.0, 3840.0
MAX_REPORTED_FAULTS = 20


class ConfigurationSink(Protocol):
    """Applies changes: a dispatcher, or a catalog on its own."""

    @property
    def digest(self) -> int:
        """Digest of all entries in force."""

    def holds(self, key: EntryKey) -> bool: ...

    def entries(self) -> Iterable[CatalogEntry]:
        """All entries in force; called only where the configuration is stored on disk."""

    def apply_change(self, change: Change) -> None:
        """Apply the change atomically. Raises RefusedChangeError (`setup.catalog`)."""

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        """Replace all entries atomically. Raises RefusedChangeError."""


# Effects


@dataclass(frozen=True, slots=True)
class Connect:
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection, or cancel a connection attempt in progress."""


@dataclass(frozen=True, slots=True)
class Send:
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Apply `change`, store `body` on disk as the record of `position`, then call `applied` or `refused`."""

    position: Position
    digest: int  # of all entries once the change is applied
    accepted_at: float  # seconds since 1970, by the controller's clock
    change: Change
    body: bytes


@dataclass(frozen=True, slots=True)
class ReplaceEntries:
    """Like `ApplyChange`, for a complete snapshot; `parts` are its entries in encoded form."""

    position: Position
    digest: int
    entries: tuple[CatalogEntry, ...]
    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SubscriberEvent:
    """An event for the log and the counters. `serious`: an operator may have to act."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)
    serious: bool = False


Effect = Connect | Disconnect | Send | ApplyChange | ReplaceEntries | SubscriberEvent


class ConnectionState(Enum):
    DISCONNECTED = auto()
    CONNECTING = auto()
    CONNECTED = auto()


class Subscriber:
    """Subscribes as `name` to one of `controllers` (host:port, tried round-robin).

    `holds` returns whether an entry is in force. `position` and `digest` describe the configuration in force.
    `refusal` is the newest change or snapshot that was refused, until a later one is applied.
    """

    def __init__(
        self, name: str, controllers: Sequence[str], seed: int, holds: Callable[[EntryKey], bool]
    ) -> None:
        self.name, self.controllers, self.seed, self.holds = name, tuple(controllers), seed, holds
        self.position, self.digest = NO_POSITION, 0
        self.refusal: Refusal | None = None
        self.pending = PendingChanges()
        self.current_at: float | None = None  # when the controller last had nothing newer
        # Position of the controller's last heartbeat, and when that arrived.
        self._announced_position, self._announced_at = NO_POSITION, -inf
        self._received = NO_POSITION  # the newest change received in order, applied or pending
        self._snapshot: IncomingSnapshot | None = None
        self._snapshot_needed = False
        self._inconsistent = False  # the entries in force may differ from those of `position`
        self._snapshot_retry = MIN_SNAPSHOT_RETRY
        self._retry_snapshot_at = inf
        self._outstanding: ApplyChange | ReplaceEntries | None = None
        self._on_disk = True
        self._connection_state = ConnectionState.DISCONNECTED
        self._connect_at = inf
        self._deadline = inf  # of the connection attempt in progress
        self._failed_connect_count = 0  # failed or lost connections since a controller's last message
        self._connect_count = 0  # connection attempts in total; selects the next controller
        self._random_draws = 0
        self._last_received_at = self._last_sent_at = -inf
        self._awaiting_response = False  # a subscription was sent, and no usable message has arrived since
        self._last_progress_at = -inf  # when a subscription was sent, or a usable change or part arrived
        self._behind_since = inf  # when a heartbeat first announced a change that has not arrived
        self._response_timeout = MIN_RESPONSE_TIMEOUT
        self._effects: list[Effect] = []

    # State

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration is in force."""
        return self.position != NO_POSITION

    @property
    def connected(self) -> bool:
        return self._connection_state is ConnectionState.CONNECTED

    def age(self, now: float) -> float | None:
        """Seconds since the configuration in force was last known to be the newest; None if it never was."""
        return None if self.current_at is None else max(0.0, now - self.current_at)

    @property
    def due_at(self) -> float:
        """The latest time at which `poll` must be called."""
        match self._connection_state:
            case ConnectionState.DISCONNECTED:
                return self._connect_at
            case ConnectionState.CONNECTING:
                return self._deadline
            case ConnectionState.CONNECTED:
                return min(self._last_received_at + SILENCE_LIMIT, self._last_sent_at + HEARTBEAT_INTERVAL)

    # Connection

    def restore(self, now: float, position: Position, digest: int, age: float | None = None) -> None:
        """Set the state loaded from disk. `age`: seconds since it was last known to be the newest."""
        self.position, self.digest, self._received = position, digest, position
        self.current_at = None if age is None else now - age

    def start(self, now: float) -> None:
        """Schedule the first connection attempt, with jitter."""
        self._connect_at = now + MIN_BACKOFF * self._random_fraction()

    def mark_inconsistent(self) -> None:
        """Note that the entries in force may not match the position: a snapshot replaces them."""
        self._snapshot_needed = self._inconsistent = True

    def retry_refused(self, now: float) -> None:
        """Request a refused change again, since the local rules may have changed."""
        if self.refusal and self._connection_state is ConnectionState.CONNECTED:
            self._subscribe(now)

    def stop(self) -> None:
        """Disconnect, and do not connect again."""
        self._connection_state, self._connect_at = ConnectionState.DISCONNECTED, inf
        self._effects.append(Disconnect())

    def connection_opened(self, now: float) -> None:
        """The requested connection is established."""
        self._connection_state = ConnectionState.CONNECTED
        self._last_received_at = now
        self._report("controller reached", {"version": self.position.version})
        self._subscribe(now)

    def connection_lost(self, now: float, reason: str) -> None:
        """The connection was closed, or the connection attempt failed."""
        if self._connection_state is ConnectionState.DISCONNECTED:
            return
        was_connected = self._connection_state is ConnectionState.CONNECTED
        self._connection_state = ConnectionState.DISCONNECTED
        self._snapshot = None
        wait = min(MAX_BACKOFF, MIN_BACKOFF * 2 ** min(self._failed_connect_count, 10))
        self._failed_connect_count += 1
        self._connect_at = now + wait * (0.5 + 0.5 * self._random_fraction())
        if was_connected:
            self._report("controller lost", {"reason": reason})

    def protocol_error(self, now: float, reason: str) -> None:
        """A frame could not be decoded: the connection is closed, since later frames cannot be trusted."""
        self._report("malformed message", {"reason": reason}, serious=True)
        self._drop_connection(now, reason)

    def message_received(self, now: float, message: Message) -> None:
        """Handle a message of the controller; ignored without a connection."""
        if self._connection_state is not ConnectionState.CONNECTED:
            return
        self._last_received_at = now
        self._failed_connect_count = 0
        match message:
            case ChangeMessage():
                self._handle_change(now, message)
            case SnapshotBegin():
                self._handle_snapshot_begin(now, message)
            case SnapshotPart():
                self._handle_snapshot_part(now, message)
            case Heartbeat(position=position):
                self._handle_heartbeat(now, position)
            case _:
                self.protocol_error(now, f"{type(message).__name__} is not a controller's message")

    def poll(self, now: float) -> list[Effect]:
        """Run the timers that are due, and return all effects since the last call."""
        if now >= self.due_at:
            self._handle_timeout(now)
        effects, self._effects = self._effects, []
        return effects

    def _handle_timeout(self, now: float) -> None:
        match self._connection_state:
            case ConnectionState.DISCONNECTED:
                self._connect(now)
            case ConnectionState.CONNECTING:
                self._drop_connection(now, "no connection in time")
            case ConnectionState.CONNECTED if now >= self._last_received_at + SILENCE_LIMIT:
                self._drop_connection(now, "silent")
            case ConnectionState.CONNECTED:
                self._send(now, Heartbeat(self.position))

    def _connect(self, now: float) -> None:
        if not self.controllers:
            self._connect_at = inf
            return
        address = self.controllers[self._connect_count % len(self.controllers)]
        self._connect_count += 1
        self._connection_state, self._deadline = ConnectionState.CONNECTING, now + CONNECT_TIMEOUT
        self._effects.append(Connect(address))

    def _drop_connection(self, now: float, reason: str) -> None:
        self._effects.append(Disconnect())
        self.connection_lost(now, reason)

    # Subscribing

    def _subscribe(self, now: float) -> None:
        """Request everything after the position in force; pending changes are dropped and sent again."""
        self.pending.clear()
        self._received, self._snapshot = self.position, None
        self._awaiting_response, self._last_progress_at = True, now
        if self._snapshot_needed:
            self._send(now, Subscribe(self.name, NO_POSITION, 0))
        else:
            self._send(now, Subscribe(self.name, self.position, self.digest))

    def _resubscribe(self, now: float, reason: str) -> None:
        """Subscribe again, unless a response to the last subscription may still arrive."""
        if self._awaiting_response:
            if now - self._last_progress_at < self._response_timeout:
                return
            self._response_timeout = min(MAX_RESPONSE_TIMEOUT, 2 * self._response_timeout)
        self._report("asked again", {"reason": reason, "version": self.position.version})
        self._subscribe(now)

    def _request_snapshot(self, now: float, reason: str) -> None:
        self._snapshot_needed = True
        self._resubscribe(now, reason)

    def _note_progress(self, now: float) -> None:
        self._awaiting_response, self._last_progress_at, self._behind_since = False, now, inf

    # Messages of the controller

    def _handle_heartbeat(self, now: float, position: Position) -> None:
        self._announced_position, self._announced_at = position, now
        if position == self._received and not self._snapshot_needed and self._snapshot is None:
            self._awaiting_response, self._response_timeout, self._behind_since = (
                False,
                MIN_RESPONSE_TIMEOUT,
                inf,
            )
            self._note_current()
            return
        # The change may still be in transit, or be delayed by the controller's rate limit.
        self._behind_since = min(now, self._behind_since)
        timeout = SNAPSHOT_TIMEOUT if self._snapshot else self._response_timeout
        if now - max(self._last_progress_at, self._behind_since) >= timeout:
            self._resubscribe(now, "the controller has what did not come")

    def _note_current(self) -> None:
        """Set `current_at` if the last announced position is in force: it was the newest at that time."""
        announced, in_force = self._announced_position, self.position
        if (
            in_force.epoch == announced.epoch
            and in_force.version >= announced.version
            and self._announced_at > -inf
        ):
            self.current_at = self._announced_at

    def _handle_change(self, now: float, message: ChangeMessage) -> None:
        position, received = message.position, self._received
        if self._snapshot is not None:
            received = self._snapshot.begin.position
        same_epoch = position.epoch == received.epoch
        if same_epoch and position.version <= received.version:
            self._report("change repeated", {"version": position.version})
        elif self._snapshot_needed and self._snapshot is None:
            pass  # the snapshot will contain it
        elif self._snapshot is not None or not same_epoch or position.version != received.version + 1:
            self._resubscribe(now, "gap")
        elif checksum(message.body) != message.checksum:
            self._report("change spoilt", {"version": position.version}, serious=True)
            self._resubscribe(now, "spoilt")
        else:
            self._note_progress(now)
            self._received = position
            self._process_change(now, message)

    def _process_change(self, now: float, message: ChangeMessage) -> None:
        """Apply the next change in order, merged with the pending ones."""
        if self.pending.unreadable:
            self.pending.add_unreadable()
            self._refuse(now, message.position, [FaultReport((), "one before it could not be read")])
            if now >= self._retry_snapshot_at:
                self._request_snapshot(now, "a change could not be read")
            return
        try:
            change = decode_change(message.body)
        except UnreadableChangeError as error:
            self._add_unreadable(now)
            self._refuse(
                now, message.position, [FaultReport((), f"cannot be read: {error}"[:MAX_TEXT_LENGTH])]
            )
            return
        body = message.body
        if self.pending.count:
            self.pending.add(change, len(body))
            change = self.pending.merged(self.holds)
            body = encode_change(change)
        else:
            self.pending.add(change, len(body))
        self._request_apply(ApplyChange(message.position, message.digest, message.accepted_at, change, body))

    def _add_unreadable(self, now: float) -> None:
        """Refuse later changes; the first of them after the retry delay requests a snapshot."""
        self.pending.add_unreadable()
        self._retry_snapshot_at = now + self._snapshot_retry
        self._snapshot_retry = min(MAX_SNAPSHOT_RETRY, 2 * self._snapshot_retry)

    def _handle_snapshot_begin(self, now: float, begin: SnapshotBegin) -> None:
        if self._snapshot is not None and self._snapshot.begin == begin:
            return  # duplicate message
        newer = begin.position.epoch != self._received.epoch or begin.position > self._received
        if not (newer or self._awaiting_response or self._snapshot_needed):
            self._report("snapshot repeated", {"version": begin.position.version})
            return
        self._note_progress(now)
        if not newer and not self._inconsistent and self._snapshot_needed:
            # An old snapshot: the changes after it may make the refused change applicable.
            self._snapshot_needed = False
            return
        self._snapshot = IncomingSnapshot(begin)
        self._finish_snapshot(now)

    def _handle_snapshot_part(self, now: float, part: SnapshotPart) -> None:
        snapshot = self._snapshot
        if snapshot is None:
            # The snapshot was ignored, or its begin message was lost, which the next heartbeats reveal.
            return
        try:
            outcome = snapshot.add(part)
        except UnreadableChangeError as error:
            self._snapshot = None
            self._refuse_snapshot(
                now, snapshot.begin.position, [FaultReport((), f"cannot be read: {error}"[:MAX_TEXT_LENGTH])]
            )
            return
        match outcome:
            case PartOutcome.ACCEPTED:
                self._note_progress(now)
                self._finish_snapshot(now)
            case PartOutcome.MISSING:
                self._request_snapshot(now, "a part of a snapshot is missing")
            case PartOutcome.CORRUPTED:
                self._report("snapshot spoilt", {"part": part.number}, serious=True)
                self._request_snapshot(now, "spoilt")

    def _finish_snapshot(self, now: float) -> None:
        snapshot = self._snapshot
        if snapshot is None or not snapshot.complete:
            return
        self._snapshot = None
        begin = snapshot.begin
        if not snapshot.matches:
            self._report("snapshot spoilt", {"version": begin.position.version}, serious=True)
            # Requested only after a timeout, so that a permanently corrupted snapshot costs little.
            self._snapshot_needed = self._awaiting_response = True
            return
        entries, parts = tuple(snapshot.entries), tuple(snapshot.parts)
        self._request_apply(ReplaceEntries(begin.position, begin.digest, entries, parts))

    # Results of effects

    def _request_apply(self, effect: ApplyChange | ReplaceEntries) -> None:
        self._outstanding = effect
        self._effects.append(effect)

    def applied(self, now: float, digest: int, on_disk: bool = True) -> None:
        """The outstanding change or snapshot is in force; `digest` is the digest of all entries now.

        Without `on_disk` it could not be written; the controller is informed once `persisted` is called.
        """
        effect, self._outstanding = self._outstanding, None
        assert effect is not None
        self.position, self.digest, self._received = effect.position, digest, effect.position
        self.pending.clear()
        self.refusal = None
        self._on_disk = on_disk
        if digest != effect.digest:
            self._report("digest differs", {"version": effect.position.version}, serious=True)
            self.mark_inconsistent()
            # After a snapshot, the next one is requested only after a timeout.
            self._awaiting_response = isinstance(effect, ReplaceEntries)
            self._request_snapshot(now, "digest differs")
            return
        self._response_timeout, self._snapshot_retry = MIN_RESPONSE_TIMEOUT, MIN_SNAPSHOT_RETRY
        self._note_current()
        if isinstance(effect, ReplaceEntries):
            self._snapshot_needed = self._inconsistent = False
        if on_disk:
            self._send(now, InForce(self.position, self.digest))

    def persisted(self, now: float) -> None:
        """The configuration in force has been written to disk after an earlier failure."""
        if not self._on_disk:
            self._on_disk = True
            if self._connection_state is ConnectionState.CONNECTED and not self._snapshot_needed:
                self._send(now, InForce(self.position, self.digest))

    def refused(self, now: float, faults: Sequence[FaultReport]) -> None:
        """The outstanding change or snapshot violates the local rules and was not applied at all."""
        effect, self._outstanding = self._outstanding, None
        assert effect is not None
        if isinstance(effect, ReplaceEntries):
            self._refuse_snapshot(now, effect.position, faults)
            return
        self._refuse(now, effect.position, faults)
        if self.pending.full:
            first = self._snapshot_retry == MIN_SNAPSHOT_RETRY
            self._add_unreadable(now)
            if first:
                self._request_snapshot(now, "too many pending changes")

    def _refuse(self, now: float, position: Position, faults: Sequence[FaultReport]) -> None:
        reason = faults[0].reason if faults else ""
        self.refusal = Refusal(position, reason)
        self._report("change refused", {"version": position.version, "reason": reason}, serious=True)
        self._send(now, Refused(position, tuple(faults[:MAX_REPORTED_FAULTS])))

    def _refuse_snapshot(self, now: float, position: Position, faults: Sequence[FaultReport]) -> None:
        """Refuse a snapshot. Later changes build on its unknown state, so they wait for another snapshot."""
        self.pending.clear()
        self._add_unreadable(now)
        self._received, self._snapshot_needed = position, False
        self._refuse(now, position, faults)

    # Helpers

    def _send(self, now: float, message: Message) -> None:
        self._last_sent_at = now
        self._effects.append(Send(message))

    def _report(self, event: str, fields: dict[str, object], serious: bool = False) -> None:
        self._effects.append(SubscriberEvent(event, fields, serious))

    def _random_fraction(self) -> float:
        """Deterministic pseudo-random number, uniform in [0, 1)."""
        self._random_draws += 1
        return xxh3_64_intdigest(f"{self.seed}:{self.name}:{self._random_draws}".encode()) / 2**64
