"""A member's view of its fleet: SWIM with suspicion, Lifeguard's local health, and anti-entropy.

The view takes received bytes and the time, and returns effects. It does no I/O, has no clock, and takes all
randomness from a seed and a counter, so that thousands of views can run on one simulated clock.
`docs/design/fleet-view.md` explains the choice of this protocol. Sources: Das, Gupta, Motivala, "SWIM" (DSN
2002); Dadgar, Phillips, Currey, "Lifeguard" (arXiv:1707.00788).

This is not consensus: the operators' documentation states on what two members may disagree, and for how long.
"""

from __future__ import annotations

from math import inf

from msgspec import structs

from laureldock.fleet import messages
from laureldock.fleet.anti_entropy import AntiEntropy
from laureldock.fleet.dissemination import Dissemination
from laureldock.fleet.effects import Effect
from laureldock.fleet.local_member import LocalMember
from laureldock.fleet.members import Member, MemberTable
from laureldock.fleet.merging import RecordMerger
from laureldock.fleet.messages import ALIVE, FAILED, LEFT, Datagram, MalformedMessageError, MessageHeader
from laureldock.fleet.name_conflicts import NameConflicts
from laureldock.fleet.probing import Probing
from laureldock.fleet.reconnection import Reconnection
from laureldock.fleet.relayed_pings import RelayedPings
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.settings import ViewSettings, ViewStatus
from laureldock.fleet.state import ViewCounters, ViewState

# In periods.
STALL_THRESHOLD = (
    0.5  # if a timer runs this late, the process was stalled, and its timeouts say nothing about others
)
SYNC_AFTER_STABLE = 2.0  # views that still differ are synced; gossip has reached all members by then
FORGET_INTERVAL = 10.0  # between checks for members that have been absent for `forget_after`
LEAVE_FANOUT = 8  # members to which a leave is sent at once


class MembershipView:
    """One member's view; its transport passes in bytes and the time, and carries out the effects.

    All times are seconds of one clock, chosen by the transport.
    """

    def __init__(self, settings: ViewSettings, now: float) -> None:
        self._state = state = ViewState(settings, now)
        self._sender = DatagramSender(state)
        self._dissemination = Dissemination(state, self._sender)
        self._local = LocalMember(state, self._dissemination)
        self._conflicts = NameConflicts(state, self._sender, self._local)
        self._merger = RecordMerger(state, self._dissemination, self._local, self._conflicts)
        self.probing = Probing(state, self._sender, self._merger.suspicion)
        self.relayed_pings = RelayedPings(state, self._sender)
        self._anti_entropy = AntiEntropy(state, self._sender, self._merger)
        self._reconnection = Reconnection(state, self._sender, self._anti_entropy)
        self._dissemination.enqueue(now, state.local.record)
        probing_delay, reconnection_delay = state.random.fraction(), 1.0 + state.random.fraction()
        self.probing.start(now, probing_delay)
        self._reconnection.start(now, reconnection_delay)
        self._anti_entropy.start(now)
        state.schedule(now, FORGET_INTERVAL, self._forget_expired)

    # State

    @property
    def settings(self) -> ViewSettings:
        return self._state.settings

    @property
    def status(self) -> ViewStatus:
        return self._state.status

    @property
    def counters(self) -> ViewCounters:
        return self._state.counters

    @property
    def local(self) -> Member:
        """This member itself."""
        return self._state.local

    @property
    def member_table(self) -> MemberTable:
        return self._state.members

    @property
    def digest(self) -> int:
        """Digest of the present members; equal digests mean equal views."""
        return self._state.members.digest

    @property
    def version(self) -> int:
        """Number of changes of the view."""
        return self._state.version

    @property
    def local_health(self) -> int:
        """0 if healthy; above 0, the local member is slow and waits longer before it suspects others."""
        return self._state.local_health.score

    @property
    def queued_records(self) -> int:
        """Number of records that are still to be disseminated."""
        return len(self._state.gossip_queue)

    @property
    def pending_timers(self) -> int:
        return len(self._state.timers)

    @property
    def next_due(self) -> float:
        """When `advance` must be called next; infinity once this member is no longer active."""
        return self._state.timers.next_due if self._state.is_active else inf

    def members(self) -> list[Member]:
        """Return all known members, sorted by name."""
        return sorted(self._state.members, key=lambda member: member.record.name)

    def stable_for(self, now: float) -> float:
        """Return the seconds since the view last changed."""
        return self._state.stable_for(now)

    def reachability_fractions(self, now: float) -> dict[str, dict[str, float]]:
        """Return, by site and member, the fraction of its recent probes of that site acknowledged."""
        return self._state.reachability.answered_fractions(now, self.settings.name)

    # Time and messages

    def advance(self, now: float) -> list[Effect]:
        """Run the timers that are due; return all effects since the last call, in order."""
        delay = now - self.next_due
        if delay > STALL_THRESHOLD * self._state.period:
            self._resume_after_stall(delay)
        while self.next_due <= now:
            self._state.timers.run_next(now)
        effects, self._state.effects = self._state.effects, []
        return effects

    def receive_datagram(self, now: float, data: bytes) -> None:
        """Handle a received datagram; one that is malformed or of another fleet is counted and dropped."""
        self._state.counters.datagrams += 1
        if not self._state.is_active:
            return
        try:
            message = messages.decode_datagram(data)
            self._observe_sender(now, message.header)
            if self._state.is_active:
                self._merger.apply_all(now, message.records, message.header.sender)
                self._handle(now, message)
        except MalformedMessageError as error:
            self.count_refused(str(error))

    def first_frame(self, now: float) -> bytes:
        """Return the first frame of a stream that this member opened."""
        return self._anti_entropy.first_frame(now)

    def receive_frame(self, now: float, data: bytes) -> bytes | None:
        """Handle a received frame of a stream; return the next frame to send, or None once the stream ends.

        Raises MalformedMessageError if the stream is to be closed.
        """
        if not self._state.is_active:
            return None
        try:
            frame = messages.decode_frame(data)
            self._observe_sender(now, frame.header)
        except MalformedMessageError as error:
            self.count_refused(str(error))
            raise
        return self._anti_entropy.handle_frame(now, frame)

    def count_refused(self, reason: str) -> None:
        """Count a refused message; the first emits an event, later ones with decreasing frequency."""
        self._state.count_refused(reason)

    # Requests of operators and of the dispatcher

    def leave(self, now: float) -> None:
        """Announce that this member leaves; the transport calls `advance` once more, then closes."""
        self._local.announce(now, LEFT)
        self._dissemination.send_to_random(now, LEAVE_FANOUT)
        self._state.status = ViewStatus.LEFT

    def set_load(self, load: int) -> None:
        """Set the load of this dispatcher, 0 to 255, that is reported to other members."""
        self._state.load = load

    def set_lameduck(self, now: float, lameduck: bool) -> None:
        """Announce that this member drains, or accepts clients again."""
        if self.local.record.lameduck != lameduck:
            self._local.announce(now, ALIVE, lameduck)

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds, given as addresses."""
        self._anti_entropy.seeds = list(seeds)

    def forget_failed(self, now: float, name: str) -> bool:
        """Declare that a failed member has left, throughout the fleet.

        Returns False if no member of that name has failed.
        """
        member = self._state.members.get(name)
        if member is None or member.record.state != FAILED:
            return False
        self._merger.apply(now, structs.replace(member.record, state=LEFT), self.settings.name)
        return True

    # Internals

    def _observe_sender(self, now: float, header: MessageHeader) -> None:
        """Handle a message header: its sender is alive, and reports its own state."""
        if header.fleet != self.settings.fleet:
            raise MalformedMessageError("another fleet")
        if header.sender == self.settings.name:
            self._conflicts.observe_duplicate(now, header)
            return
        member = self._state.members.get(header.sender)
        if member is None or member.record.start_key < header.start_key:
            self._anti_entropy.sync_with(now, header.address)
        elif member.record.start_key == header.start_key:
            self._observe_member(now, member, header)

    def _observe_member(self, now: float, member: Member, header: MessageHeader) -> None:
        member.last_heard_at, member.load, self._state.last_heard_at = now, header.load, now
        self._state.reachability.record_report(now, header.sender, header.reachability)
        is_absent = member.record.state in (FAILED, LEFT)
        if is_absent and now - member.last_pinged_at >= self._state.period:
            # It may not know that it was declared failed; the ping carries that record.
            self._reconnection.ping(now, member)
        elif header.digest != self.digest and self._is_stable(now):
            self._anti_entropy.sync_with(now, header.address)

    def _is_stable(self, now: float) -> bool:
        return self._state.stable_for(now) >= SYNC_AFTER_STABLE * self._state.period

    def _handle(self, now: float, message: Datagram) -> None:
        """Handle what is specific to a kind of datagram; nacks and gossip have only a header and records."""
        match message:
            case messages.Ping(target=target) if target == self.settings.name:
                # Otherwise the ping is meant for another member, which had this address before.
                self._sender.send_ack(now, message.header.address, message.sequence)
            case messages.PingRequest():
                self.relayed_pings.relay(now, message)
            case messages.Ack():
                self._handle_ack(now, message)

    def _handle_ack(self, now: float, message: messages.Ack) -> None:
        if self._conflicts.acknowledge(now, message):
            return
        self.relayed_pings.acknowledge(now, message)
        self.probing.acknowledge(message)
        self._reconnection.acknowledge(now, message)

    def _resume_after_stall(self, delay: float) -> None:
        """Recover from a stall of this process, during which no message or refutation could be received."""
        self._state.counters.slept += 1
        self._state.local_health.worsen()
        self.probing.abandon()
        self.relayed_pings.abandon()
        self._reconnection.abandon()
        self._merger.suspicion.postpone_all(delay)

    def _forget_expired(self, now: float) -> None:
        """Forget members that have been absent for `forget_after`."""
        self._state.schedule(now, FORGET_INTERVAL, self._forget_expired)
        for member in list(self._state.members.absent.values()):
            if now - member.state_changed_at >= self.settings.forget_after:
                name = member.record.name
                self._state.members.remove(name)
                self._state.gossip_queue.remove(name)
                self._state.reachability.forget(name)
