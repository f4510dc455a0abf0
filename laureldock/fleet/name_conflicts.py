"""Name conflicts: another start of this member's name, earlier or later, that may be running elsewhere.

A record or a datagram alone could be forged, or stem from an earlier start of this member of which nothing
was kept. So the address that it names is challenged with a ping, which only a process that runs there can
acknowledge. Of two running processes of one name the later start stays, and the other steps down.
"""

from __future__ import annotations

from laureldock.fleet import messages
from laureldock.fleet.local_member import LocalMember
from laureldock.fleet.messages import ALIVE, MemberRecord, MessageHeader, StartKey
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.settings import ViewStatus
from laureldock.fleet.state import ViewState

CHALLENGE_TIMEOUT = 3.0  # periods in which another process of this name must acknowledge
CONFLICT_RETRY_INTERVAL = 1.0  # periods after which the same start is challenged or reported again


class NameConflicts:
    """Decides whether this process keeps its name, takes a later generation, or steps down."""

    def __init__(self, state: ViewState, sender: DatagramSender, local: LocalMember) -> None:
        self._state, self._sender, self._local = state, sender, local
        self._conflicting_start: StartKey | None = None  # another start of this name that may be running
        self._challenges: dict[int, StartKey] = {}  # by sequence number of the ping

    def observe_later_start(self, now: float, record: MemberRecord) -> None:
        """Handle a record of a later start of this name."""
        if record.address == self._local.record.address:
            # This process listens at that address, so the other start has ended.
            self._raise_generation(now, record.start_key)
        elif self._conflicting_start is None or self._conflicting_start < record.start_key:
            self._challenge(now, record.address, record.start_key)
            self._state.schedule(now, CHALLENGE_TIMEOUT, self._challenge_expired, record.start_key)

    def observe_duplicate(self, now: float, header: MessageHeader) -> None:
        """Handle a datagram or frame whose sender has this name."""
        own, theirs = self._local.record, header.start_key
        is_own_datagram = theirs == own.start_key or header.boot_id == own.boot_id
        if is_own_datagram or self._conflicting_start == theirs:
            return
        if theirs > own.start_key:
            self._challenge(now, header.address, theirs)
        else:
            # The other process receives this ping, challenges this one in turn, and steps down.
            self._conflicting_start = theirs
            self._report(header, stays=True)
            self._ping(now, header.address)
        self._state.schedule(now, CONFLICT_RETRY_INTERVAL, self._clear_conflict)

    def acknowledge(self, now: float, message: messages.Ack) -> bool:
        """Return whether an ack belongs to a challenge. If so, and the other start is later, step down."""
        challenged = self._challenges.pop(message.sequence, None)
        if challenged is None:
            return False
        header = message.header
        is_challenged_start = header.sender == self._state.settings.name and header.start_key == challenged
        if is_challenged_start and challenged > self._local.record.start_key:
            self._state.status = ViewStatus.STEPPED_DOWN
            self._state.record_change(now)
            self._report(header, stays=False)
        return True

    def _challenge(self, now: float, address: str, start_key: StartKey) -> None:
        self._conflicting_start = start_key
        self._challenges = {self._ping(now, address): start_key}

    def _ping(self, now: float, address: str) -> int:
        """Ping this name at another address; return the sequence number of the ping."""
        sequence, name = next(self._state.counter), self._state.settings.name
        self._sender.send(now, address, lambda header, max_bytes: messages.Ping(header, sequence, name, ()))
        return sequence

    def _challenge_expired(self, now: float, start_key: StartKey) -> None:
        if self._conflicting_start == start_key and self._state.is_active:
            self._raise_generation(now, start_key)

    def _raise_generation(self, now: float, known: StartKey) -> None:
        """Take a generation later than that of a start that has ended.

        This member did not know that generation: its disk was lost, or its clock was set back.
        """
        self._conflicting_start = None
        generation = known[0] + 1
        self._local.set_generation(now, generation)
        self._state.emit("generation raised", generation=generation)
        self._local.announce(now, ALIVE)

    def _report(self, header: MessageHeader, stays: bool) -> None:
        self._state.emit("name taken", address=header.address, generation=header.generation, stays=stays)

    def _clear_conflict(self, now: float) -> None:
        self._conflicting_start = None
