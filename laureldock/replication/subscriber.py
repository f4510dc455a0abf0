"""A dispatcher's side of the stream of changes: what it asks for, applies, refuses and tells. No I/O.

Events come in by method calls, each with the time (monotonic seconds); `turn` gives the effects. The caller
carries out all effects of one event before it tells the next: an `ApplyChange` or `ReplaceEntries` is
answered by `applied` or `refused` at once. Equal events give equal effects; jitter comes from the seed.
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
SHORTEST_BACKOFF, LONGEST_BACKOFF = 0.25, 4.0
# A question to the controller is repeated after so long without an answer, twice as long each time.
SHORTEST_PATIENCE, LONGEST_PATIENCE = 3.5, 56.0
# A part of a snapshot may wait for the controller's pace.
SNAPSHOT_PATIENCE = 64.0
# From what could not be read until a snapshot is asked for (with the next change), twice as long each time.
SHORTEST_SNAPSHOT_RETRY, LONGEST_SNAPSHOT_RETRY = 60.0, 3840.0
MAX_REPORTED_FAULTS = 20


class ConfigurationSink(Protocol):
    """What applies changes: a dispatcher, or a catalog by itself."""

    @property
    def digest(self) -> int:
        """Of all entries in force."""

    def holds(self, key: EntryKey) -> bool: ...

    def entries(self) -> Iterable[CatalogEntry]:
        """All in force; asked for only where they are kept on disk."""

    def apply_change(self, change: Change) -> None:
        """As a whole or not at all: RefusedChangeError (`setup.catalog`)."""

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        """All entries anew, or nothing: RefusedChangeError."""


# Effects


@dataclass(frozen=True, slots=True)
class Connect:
    address: str


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Also calls off a connect that is under way."""


@dataclass(frozen=True, slots=True)
class Send:
    message: Message


@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Apply `change`, keep `body` on disk as the record of `position`, then tell `applied`; or `refused`."""

    position: Position
    digest: int  # of all entries after it
    accepted_at: float
    change: Change
    body: bytes


@dataclass(frozen=True, slots=True)
class ReplaceEntries:
    """As `ApplyChange`, of a whole snapshot; `parts` are its entries as encoded."""

    position: Position
    digest: int
    entries: tuple[CatalogEntry, ...]
    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class SubscriberEvent:
    """For the log and the counters. `serious`: a person may have to look."""

    event: str
    fields: dict[str, object] = field(default_factory=dict)
    serious: bool = False


Effect = Connect | Disconnect | Send | ApplyChange | ReplaceEntries | SubscriberEvent


class LinkState(Enum):
    IDLE = auto()
    CONNECTING = auto()
    OPEN = auto()


class Subscriber:
    """Follows one of `controllers` (host:port, tried in turn) under `name`.

    `holds` tells whether an entry is in force. `position` and `digest` are of what is in force; `refusal` is
    the newest change or snapshot that was not taken, as long as it is not made up for.
    """

    def __init__(
        self, name: str, controllers: Sequence[str], seed: int, holds: Callable[[EntryKey], bool]
    ) -> None:
        self.name, self.controllers, self.seed, self.holds = name, tuple(controllers), seed, holds
        self.position, self.digest = NO_POSITION, 0
        self.refusal: Refusal | None = None
        self.pending = PendingChanges()
        self.current_at: float | None = None  # when the controller last had nothing newer
        self._newest, self._newest_at = NO_POSITION, -inf  # what it last named, and when
        self._received = NO_POSITION  # the newest change received in order, applied or pending
        self._snapshot: IncomingSnapshot | None = None
        self._snapshot_wanted = False
        self._distrusted = False  # what is in force is not what its position says
        self._snapshot_retry = SHORTEST_SNAPSHOT_RETRY
        self._retry_snapshot_at = inf
        self._outstanding: ApplyChange | ReplaceEntries | None = None
        self._on_disk = True
        self._link = LinkState.IDLE
        self._connect_at = inf
        self._deadline = inf  # of a connect under way
        self._failures = 0  # connects since a controller was last heard
        self._turns_taken = 0  # connects, by which controllers take turns
        self._draws = 0
        self._heard_at = self._sent_at = -inf
        self._asked = False  # and nothing has come since that leads on
        self._progress_at = -inf
        self._behind_since = inf  # when a heartbeat first named what did not come
        self._patience = SHORTEST_PATIENCE
        self._effects: list[Effect] = []

    # What is known

    @property
    def settled(self) -> bool:
        """Whether any configuration is in force."""
        return self.position != NO_POSITION

    @property
    def connected(self) -> bool:
        return self._link is LinkState.OPEN

    def age(self, now: float) -> float | None:
        """Seconds since the configuration in force was known to be the newest one; None: it never was."""
        return None if self.current_at is None else max(0.0, now - self.current_at)

    @property
    def due(self) -> float:
        """When `turn` is to be called at the latest."""
        match self._link:
            case LinkState.IDLE:
                return self._connect_at
            case LinkState.CONNECTING:
                return self._deadline
            case LinkState.OPEN:
                return min(self._heard_at + SILENCE_LIMIT, self._sent_at + HEARTBEAT_INTERVAL)

    # The life of the stream

    def restore(self, now: float, position: Position, digest: int, age: float | None = None) -> None:
        """What was kept on disk is in force. `age`: seconds since that was last known to be the newest."""
        self.position, self.digest, self._received = position, digest, position
        self.current_at = None if age is None else now - age

    def start(self, now: float) -> None:
        """Follow a controller from here on."""
        self._connect_at = now + SHORTEST_BACKOFF * self._chance()

    def distrust(self) -> None:
        """What is in force is not what its position says: a snapshot is asked for."""
        self._snapshot_wanted = self._distrusted = True

    def try_again(self, now: float) -> None:
        """The rules may have changed here: what was refused is asked for once more."""
        if self.refusal and self._link is LinkState.OPEN:
            self._ask(now)

    def stop(self) -> None:
        self._link, self._connect_at = LinkState.IDLE, inf
        self._effects.append(Disconnect())

    def connected_to(self, now: float) -> None:
        """The connect that was asked for is up."""
        self._link = LinkState.OPEN
        self._heard_at = now
        self._report("controller reached", {"version": self.position.version})
        self._ask(now)

    def lost(self, now: float, reason: str) -> None:
        """The stream, or the connect, ended."""
        if self._link is LinkState.IDLE:
            return
        was_open = self._link is LinkState.OPEN
        self._link = LinkState.IDLE
        self._snapshot = None
        wait = min(LONGEST_BACKOFF, SHORTEST_BACKOFF * 2 ** min(self._failures, 10))
        self._failures += 1
        self._connect_at = now + wait * (0.5 + 0.5 * self._chance())
        if was_open:
            self._report("controller lost", {"reason": reason})

    def malformed(self, now: float, reason: str) -> None:
        """A frame that is no message: the stream cannot be followed."""
        self._report("malformed message", {"reason": reason}, serious=True)
        self._give_up(now, reason)

    def received(self, now: float, message: Message) -> None:
        if self._link is not LinkState.OPEN:
            return
        self._heard_at = now
        self._failures = 0
        match message:
            case ChangeMessage():
                self._change(now, message)
            case SnapshotBegin():
                self._begin_snapshot(now, message)
            case SnapshotPart():
                self._snapshot_part(now, message)
            case Heartbeat(position=position):
                self._heartbeat(now, position)
            case _:
                self.malformed(now, f"{type(message).__name__} is not a controller's message")

    def turn(self, now: float) -> list[Effect]:
        if now >= self.due:
            self._on_time(now)
        effects, self._effects = self._effects, []
        return effects

    def _on_time(self, now: float) -> None:
        match self._link:
            case LinkState.IDLE:
                self._connect(now)
            case LinkState.CONNECTING:
                self._give_up(now, "no connection in time")
            case LinkState.OPEN if now >= self._heard_at + SILENCE_LIMIT:
                self._give_up(now, "silent")
            case LinkState.OPEN:
                self._send(now, Heartbeat(self.position))

    def _connect(self, now: float) -> None:
        if not self.controllers:
            self._connect_at = inf
            return
        address = self.controllers[self._turns_taken % len(self.controllers)]
        self._turns_taken += 1
        self._link, self._deadline = LinkState.CONNECTING, now + CONNECT_TIMEOUT
        self._effects.append(Connect(address))

    def _give_up(self, now: float, reason: str) -> None:
        self._effects.append(Disconnect())
        self.lost(now, reason)

    # Asking

    def _ask(self, now: float) -> None:
        """Ask for all that follows what is in force; what was received beyond it comes again."""
        self.pending.clear()
        self._received, self._snapshot = self.position, None
        self._asked, self._progress_at = True, now
        if self._snapshot_wanted:
            self._send(now, Subscribe(self.name, NO_POSITION, 0))
        else:
            self._send(now, Subscribe(self.name, self.position, self.digest))

    def _ask_again(self, now: float, reason: str) -> None:
        """Where something is missing; not as long as an answer to the last question may still come."""
        if self._asked:
            if now - self._progress_at < self._patience:
                return
            self._patience = min(LONGEST_PATIENCE, 2 * self._patience)
        self._report("asked again", {"reason": reason, "version": self.position.version})
        self._ask(now)

    def _ask_for_snapshot(self, now: float, reason: str) -> None:
        self._snapshot_wanted = True
        self._ask_again(now, reason)

    def _progress(self, now: float) -> None:
        self._asked, self._progress_at, self._behind_since = False, now, inf

    # What the controller tells

    def _heartbeat(self, now: float, position: Position) -> None:
        self._newest, self._newest_at = position, now
        if position == self._received and not self._snapshot_wanted and self._snapshot is None:
            self._asked, self._patience, self._behind_since = False, SHORTEST_PATIENCE, inf
            self._note_current()
            return
        # It may be on its way, or wait for the controller's pace.
        self._behind_since = min(now, self._behind_since)
        patience = SNAPSHOT_PATIENCE if self._snapshot else self._patience
        if now - max(self._progress_at, self._behind_since) >= patience:
            self._ask_again(now, "the controller has what did not come")

    def _note_current(self) -> None:
        """All that the controller named last is in force: it was the newest one when it was named."""
        named, here = self._newest, self.position
        if here.epoch == named.epoch and here.version >= named.version and self._newest_at > -inf:
            self.current_at = self._newest_at

    def _change(self, now: float, message: ChangeMessage) -> None:
        position, received = message.position, self._received
        if self._snapshot is not None:
            received = self._snapshot.begin.position
        same_epoch = position.epoch == received.epoch
        if same_epoch and position.version <= received.version:
            self._report("change repeated", {"version": position.version})
        elif self._snapshot_wanted and self._snapshot is None:
            pass  # the snapshot has it
        elif self._snapshot is not None or not same_epoch or position.version != received.version + 1:
            self._ask_again(now, "gap")
        elif checksum(message.body) != message.checksum:
            self._report("change spoilt", {"version": position.version}, serious=True)
            self._ask_again(now, "spoilt")
        else:
            self._progress(now)
            self._received = position
            self._take_on(now, message)

    def _take_on(self, now: float, message: ChangeMessage) -> None:
        """A change that follows what was received: apply it, with those that are pending."""
        if self.pending.unreadable:
            self.pending.add_unreadable()
            self._refuse(now, message.position, [FaultReport((), "one before it could not be read")])
            if now >= self._retry_snapshot_at:
                self._ask_for_snapshot(now, "a change could not be read")
            return
        try:
            change = decode_change(message.body)
        except UnreadableChangeError as fault:
            self._add_unreadable(now)
            self._refuse(
                now, message.position, [FaultReport((), f"cannot be read: {fault}"[:MAX_TEXT_LENGTH])]
            )
            return
        body = message.body
        if self.pending.count:
            self.pending.add(change, len(body))
            change = self.pending.merged(self.holds)
            body = encode_change(change)
        else:
            self.pending.add(change, len(body))
        self._carry_out(ApplyChange(message.position, message.digest, message.accepted_at, change, body))

    def _add_unreadable(self, now: float) -> None:
        self.pending.add_unreadable()
        self._retry_snapshot_at = now + self._snapshot_retry
        self._snapshot_retry = min(LONGEST_SNAPSHOT_RETRY, 2 * self._snapshot_retry)

    def _begin_snapshot(self, now: float, begin: SnapshotBegin) -> None:
        if self._snapshot is not None and self._snapshot.begin == begin:
            return  # told twice
        newer = begin.position.epoch != self._received.epoch or begin.position > self._received
        if not (newer or self._asked or self._snapshot_wanted):
            self._report("snapshot repeated", {"version": begin.position.version})
            return
        self._progress(now)
        if not newer and not self._distrusted and self._snapshot_wanted:
            self._snapshot_wanted = False  # an old one: changes follow it that may help
            return
        self._snapshot = IncomingSnapshot(begin)
        self._end_snapshot(now)

    def _snapshot_part(self, now: float, part: SnapshotPart) -> None:
        snapshot = self._snapshot
        if snapshot is None:  # of one that was not taken on; where its beginning was lost, a heartbeat tells
            return
        try:
            outcome = snapshot.add(part)
        except UnreadableChangeError as fault:
            self._snapshot = None
            self._refuse_snapshot(
                now, snapshot.begin.position, [FaultReport((), f"cannot be read: {fault}"[:MAX_TEXT_LENGTH])]
            )
            return
        match outcome:
            case PartOutcome.TAKEN:
                self._progress(now)
                self._end_snapshot(now)
            case PartOutcome.MISSING:
                self._ask_for_snapshot(now, "a part of a snapshot is missing")
            case PartOutcome.SPOILT:
                self._report("snapshot spoilt", {"part": part.number}, serious=True)
                self._ask_for_snapshot(now, "spoilt")

    def _end_snapshot(self, now: float) -> None:
        snapshot = self._snapshot
        if snapshot is None or not snapshot.complete:
            return
        self._snapshot = None
        begin = snapshot.begin
        if not snapshot.matches:
            self._report("snapshot spoilt", {"version": begin.position.version}, serious=True)
            self._snapshot_wanted = self._asked = True  # after a while: one spoilt for good costs little
            return
        entries, parts = tuple(snapshot.entries), tuple(snapshot.parts)
        self._carry_out(ReplaceEntries(begin.position, begin.digest, entries, parts))

    # Outcomes

    def _carry_out(self, effect: ApplyChange | ReplaceEntries) -> None:
        self._outstanding = effect
        self._effects.append(effect)

    def applied(self, now: float, digest: int, on_disk: bool = True) -> None:
        """What was to be applied is in force; `digest` is of all entries now.

        Not `on_disk`: it could not be written; the controller hears of it by `stored`.
        """
        effect, self._outstanding = self._outstanding, None
        assert effect is not None
        self.position, self.digest, self._received = effect.position, digest, effect.position
        self.pending.clear()
        self.refusal = None
        self._on_disk = on_disk
        if digest != effect.digest:
            self._report("digest differs", {"version": effect.position.version}, serious=True)
            self.distrust()
            self._asked = isinstance(effect, ReplaceEntries)  # then after a while
            self._ask_for_snapshot(now, "digest differs")
            return
        self._patience, self._snapshot_retry = SHORTEST_PATIENCE, SHORTEST_SNAPSHOT_RETRY
        self._note_current()
        if isinstance(effect, ReplaceEntries):
            self._snapshot_wanted = self._distrusted = False
        if on_disk:
            self._send(now, InForce(self.position, self.digest))

    def stored(self, now: float) -> None:
        """What is in force is on disk, after all."""
        if not self._on_disk:
            self._on_disk = True
            if self._link is LinkState.OPEN and not self._snapshot_wanted:
                self._send(now, InForce(self.position, self.digest))

    def refused(self, now: float, faults: Sequence[FaultReport]) -> None:
        """What was to be applied breaks the rules here; nothing of it is in force."""
        effect, self._outstanding = self._outstanding, None
        assert effect is not None
        if isinstance(effect, ReplaceEntries):
            self._refuse_snapshot(now, effect.position, faults)
            return
        self._refuse(now, effect.position, faults)
        if self.pending.full:
            first = self._snapshot_retry == SHORTEST_SNAPSHOT_RETRY
            self._add_unreadable(now)
            if first:
                self._ask_for_snapshot(now, "too many pending changes")

    def _refuse(self, now: float, position: Position, faults: Sequence[FaultReport]) -> None:
        reason = faults[0].reason if faults else ""
        self.refusal = Refusal(position, reason)
        self._report("change refused", {"version": position.version, "reason": reason}, serious=True)
        self._send(now, Refused(position, tuple(faults[:MAX_REPORTED_FAULTS])))

    def _refuse_snapshot(self, now: float, position: Position, faults: Sequence[FaultReport]) -> None:
        """Later changes follow on a state that is not known here: they wait for another snapshot."""
        self.pending.clear()
        self._add_unreadable(now)
        self._received, self._snapshot_wanted = position, False
        self._refuse(now, position, faults)

    # Details

    def _send(self, now: float, message: Message) -> None:
        self._sent_at = now
        self._effects.append(Send(message))

    def _report(self, event: str, fields: dict[str, object], serious: bool = False) -> None:
        self._effects.append(SubscriberEvent(event, fields, serious))

    def _chance(self) -> float:
        """Evenly spread over 0 to 1."""
        self._draws += 1
        return xxh3_64_intdigest(f"{self.seed}:{self.name}:{self._draws}".encode()) / 2**64
