"""Name conflicts: an earlier or later start of this member's name that is known, and may be alive elsewhere.

A record or a datagram alone could be made up, or be this member's own forgotten past. So the address that it
names is challenged: only a process that lives there can answer a ping of this moment. Of two living processes
of one name the later start stays.
"""

from __future__ import annotations

from laureldock.fleet import messages
from laureldock.fleet.local_member import LocalMember
from laureldock.fleet.messages import ALIVE, MemberRecord, MessageHeader, StartKey
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.settings import ViewStatus
from laureldock.fleet.state import ViewState

CHALLENGE_TIMEOUT = 3.0  # periods for an answer of another process of this name
FORGET_RIVAL_AFTER = 1.0  # periods after which a rival is challenged, or told of, again


class NameConflicts:
    """Decides whether this process keeps its name, takes a later generation, or steps down."""

    def __init__(self, state: ViewState, sender: DatagramSender, local: LocalMember) -> None:
        self._state, self._sender, self._local = state, sender, local
        self._rival: StartKey | None = None  # another start of this name, which may be alive
        self._challenges: dict[int, StartKey] = {}  # by sequence number, which an answer has to bear

    def observe_later_start(self, now: float, record: MemberRecord) -> None:
        """A record tells of a later start of this name."""
        if record.address == self._local.record.address:
            # One address has one process, and that is this one.
            self._raise_generation(now, record.start_key)
        elif self._rival is None or self._rival < record.start_key:
            self._challenge(now, record.address, record.start_key)
            self._state.schedule(now, CHALLENGE_TIMEOUT, self._challenge_expired, record.start_key)

    def observe_rival(self, now: float, header: MessageHeader) -> None:
        """A datagram or frame came from a process that bears this name."""
        own, theirs = self._local.record, header.start_key
        is_own_datagram = theirs == own.start_key or header.boot_id == own.boot_id
        if is_own_datagram or self._rival == theirs:
            return
        if theirs > own.start_key:
            self._challenge(now, header.address, theirs)
        else:
            # It hears this ping, challenges this process in turn, and steps down.
            self._rival = theirs
            self._report(header, stays=True)
            self._ping(now, header.address)
        self._state.schedule(now, FORGET_RIVAL_AFTER, self._clear_rival)

    def acknowledge(self, now: float, message: messages.Ack) -> bool:
        """Whether an ack answers a challenge. If so, and the other start is the later one, step down."""
        challenged = self._challenges.pop(message.sequence, None)
        if challenged is None:
            return False
        header = message.header
        is_rival = header.sender == self._state.settings.name and header.start_key == challenged
        if is_rival and challenged > self._local.record.start_key:
            self._state.status = ViewStatus.STEPPED_DOWN
            self._state.note_change(now)
            self._report(header, stays=False)
        return True

    def _challenge(self, now: float, address: str, start_key: StartKey) -> None:
        self._rival = start_key
        self._challenges = {self._ping(now, address): start_key}

    def _ping(self, now: float, address: str) -> int:
        """Ping this name at another address; the sequence number that an answer has to bear."""
        sequence, name = next(self._state.counter), self._state.settings.name
        self._sender.send(now, address, lambda header, room: messages.Ping(header, sequence, name, ()))
        return sequence

    def _challenge_expired(self, now: float, start_key: StartKey) -> None:
        if self._rival == start_key and self._state.is_active:
            self._raise_generation(now, start_key)

    def _raise_generation(self, now: float, known: StartKey) -> None:
        """The known start is over, and its generation was lost with a disk or a clock: take a later one."""
        self._rival = None
        generation = known[0] + 1
        self._local.set_generation(now, generation)
        self._state.emit("generation raised", generation=generation)
        self._local.announce(now, ALIVE)

    def _report(self, header: MessageHeader, stays: bool) -> None:
        self._state.emit("name taken", address=header.address, generation=header.generation, stays=stays)

    def _clear_rival(self, now: float) -> None:
        self._rival = None
