"""The view that one member has of its fleet: SWIM with suspicion, Lifeguard's local health, anti-entropy.

Bytes in, effects out; no I/O, no clock of its own, and all randomness from a seed and a counter, so that
thousands of views run on one clock set by hand. Why this and not another way: `docs/design/fleet-view.md`.
Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (arXiv:1707.00788).

What two members may disagree on, and for how long, is said on the operators' page: nothing here is consensus.
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

# Periods.
STALL_THRESHOLD = 0.5  # a timer this late: the process stood still, and its timeouts say nothing of others
SYNC_AFTER_STABLE = 2.0  # views that still differ after this are compared: gossip has gone round by then
FORGET_INTERVAL = 10.0  # between looks for members that have been absent for long
LEAVE_FANOUT = 8  # members that are told at once that this one leaves


class MembershipView:
    """One member's view: its transport passes bytes and the time in, and carries out the effects.

    All times are seconds of one clock, which the transport chooses.
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

    # What the view shows

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
        """Equal digests mean equal views."""
        return self._state.members.digest

    @property
    def version(self) -> int:
        """How often the view has changed."""
        return self._state.version

    @property
    def local_health(self) -> int:
        """0 for a healthy member; above, it is slow itself and waits longer before it suspects others."""
        return self._state.local_health.score

    @property
    def queued_records(self) -> int:
        """Records that are still to be spread."""
        return len(self._state.gossip_queue)

    @property
    def pending_timers(self) -> int:
        return len(self._state.timers)

    @property
    def next_due(self) -> float:
        """When `advance` must be called next; infinity where this member takes no part any more."""
        return self._state.timers.next_due if self._state.is_active else inf

    def members(self) -> list[Member]:
        """All known members, by name."""
        return sorted(self._state.members, key=lambda member: member.record.name)

    def stable_for(self, now: float) -> float:
        """Seconds since the view last changed."""
        return self._state.stable_for(now)

    def reachability_shares(self, now: float) -> dict[str, dict[str, float]]:
        """By site, then by member: the share of its calls to that site that was answered lately."""
        return self._state.reachability.answered_shares(now, self.settings.name)

    # Time and messages

    def advance(self, now: float) -> list[Effect]:
        """Run the timers that are due; all effects since the last call, in their order."""
        late = now - self.next_due
        if late > STALL_THRESHOLD * self._state.period:
            self._resume_after_stall(late)
        while self.next_due <= now:
            self._state.timers.run_next(now)
        effects, self._state.effects = self._state.effects, []
        return effects

    def receive_datagram(self, now: float, data: bytes) -> None:
        """Take in a datagram. What is malformed, or of another fleet, is counted and dropped."""
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
        """The first frame of a stream that this member opened."""
        return self._anti_entropy.first_frame(now)

    def receive_frame(self, now: float, data: bytes) -> bytes | None:
        """The answer to a frame of a stream; None where the stream has ended.

        MalformedMessageError: the stream is to be closed.
        """
        if not self._state.is_active:
            return None
        try:
            frame = messages.decode_frame(data)
            self._observe_sender(now, frame.header)
        except MalformedMessageError as error:
            self.count_refused(str(error))
            raise
        return self._anti_entropy.answer(now, frame)

    def count_refused(self, why: str) -> None:
        """Count what came in and is not taken; operators are told of the first, and ever more seldom."""
        self._state.count_refused(why)

    # What operators and the dispatcher ask

    def leave(self, now: float) -> None:
        """Announce that this member leaves; the transport carries out what `advance` gives, then closes."""
        self._local.announce(now, LEFT)
        self._dissemination.send_to_random(now, LEAVE_FANOUT)
        self._state.status = ViewStatus.LEFT

    def set_load(self, load: int) -> None:
        """How full this dispatcher is, 0 to 255, as other members are told."""
        self._state.load = load

    def set_lameduck(self, now: float, lameduck: bool) -> None:
        """Announce that this member is being emptied, or takes clients again."""
        if self.local.record.lameduck != lameduck:
            self._local.announce(now, ALIVE, lameduck)

    def set_seeds(self, seeds: list[str]) -> None:
        """Take over other seeds, as addresses."""
        self._anti_entropy.seeds = list(seeds)

    def forget_failed(self, now: float, name: str) -> bool:
        """Hold a failed member to have left, here and everywhere; False where no such member failed."""
        member = self._state.members.get(name)
        if member is None or member.record.state != FAILED:
            return False
        self._merger.apply(now, structs.replace(member.record, state=LEFT), self.settings.name)
        return True

    # Internals

    def _observe_sender(self, now: float, header: MessageHeader) -> None:
        """A message shows that its sender lives, and what it says of itself."""
        if header.fleet != self.settings.fleet:
            raise MalformedMessageError("another fleet")
        if header.sender == self.settings.name:
            self._conflicts.observe_rival(now, header)
            return
        member = self._state.members.get(header.sender)
        if member is None or member.record.start_key < header.start_key:
            self._anti_entropy.sync_with(now, header.address)
        elif member.record.start_key == header.start_key:
            self._observe_member(now, member, header)

    def _observe_member(self, now: float, member: Member, header: MessageHeader) -> None:
        member.last_heard, member.load, self._state.last_heard = now, header.load, now
        self._state.reachability.record_report(now, header.sender, header.reachability)
        is_absent = member.record.state in (FAILED, LEFT)
        if is_absent and now - member.last_called >= self._state.period:
            # It may not know that it is held to have failed; the ping tells it.
            self._reconnection.ping(now, member)
        elif header.digest != self.digest and self._is_stable(now):
            self._anti_entropy.sync_with(now, header.address)

    def _is_stable(self, now: float) -> bool:
        return self._state.stable_for(now) >= SYNC_AFTER_STABLE * self._state.period

    def _handle(self, now: float, message: Datagram) -> None:
        """Act on a datagram, beyond its header and its records; a nack or gossip asks for nothing more."""
        match message:
            case messages.Ping(target=target) if target == self.settings.name:
                # Else another member has this address now.
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

    def _resume_after_stall(self, late: float) -> None:
        """The process stood still: nobody could be heard meanwhile, and nobody had time to refute."""
        self._state.counters.slept += 1
        self._state.local_health.worsen()
        self.probing.abandon()
        self.relayed_pings.abandon()
        self._reconnection.abandon()
        self._merger.suspicion.postpone_all(late)

    def _forget_expired(self, now: float) -> None:
        """Forget members that have been absent for long."""
        self._state.schedule(now, FORGET_INTERVAL, self._forget_expired)
        for member in list(self._state.members.absent.values()):
            if now - member.state_since >= self.settings.forget_after:
                name = member.record.name
                self._state.members.remove(name)
                self._state.gossip_queue.remove(name)
                self._state.reachability.forget(name)
