"""Failure detection: one member is pinged each period, directly, then by way of others.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), sections 3.1 and 4.3; Dadgar, Phillips, Currey, "Lifeguard"
(arXiv:1707.00788), section 4.A, for the stretched timeouts of a member that is slow itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from laureldock.fleet import messages
from laureldock.fleet.members import PRESENT_STATES, Member
from laureldock.fleet.messages import ALIVE, StartKey
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState
from laureldock.fleet.suspicion import Suspicion

# Periods, before they are multiplied by the local health.
DIRECT_TIMEOUT = 0.3  # then others are asked to ping: far more than a round trip of a healthy network
PROBE_TIMEOUT = 0.95  # then the probe has failed
# Others that are asked (SWIM's k): one in 4 datagrams lost fails not one probe in 50.
INDIRECT_PROBES = 3


@dataclass(eq=False, slots=True)
class Probe:
    """A member that was pinged, and whether an ack came."""

    name: str
    start_key: StartKey
    sent_at: float
    answered: bool = False


class Probing:
    """Probes all present members in rounds, each once a round, and suspects those that cannot be reached."""

    def __init__(self, state: ViewState, sender: DatagramSender, suspicion: Suspicion) -> None:
        self._state, self._sender, self._suspicion = state, sender, suspicion
        self.probes: dict[int, Probe] = {}  # by sequence number

    def start(self, now: float, delay: float) -> None:
        """Begin after so many periods; members that start at once should not probe in step."""
        self._state.schedule(now, delay, self._probe_next)

    def acknowledge(self, message: messages.Ack) -> None:
        """An ack came, from the member itself or by way of another."""
        if probe := self.probes.get(message.sequence):
            probe.answered = True

    def abandon(self) -> None:
        """Drop all probes that are under way; they say nothing of others."""
        self.probes.clear()

    def _probe_next(self, now: float) -> None:
        member = self._next_target()
        multiplier = self._state.local_health.multiplier
        self._state.schedule(now, multiplier, self._probe_next)
        if member is None:
            return
        sequence = next(self._state.counter)
        self.probes[sequence] = Probe(member.record.name, member.record.start_key, now)
        self._sender.send_ping(now, member, sequence)
        self._state.schedule(now, DIRECT_TIMEOUT * multiplier, self._request_indirect_probes, sequence)
        self._state.schedule(now, PROBE_TIMEOUT * multiplier, self._finish, sequence)

    def _next_target(self) -> Member | None:
        """The next member of the round, or the first of a new one; None where nobody else is present."""
        for _ in range(2):
            while (name := self._state.probe_round.take()) is not None:
                member = self._state.members.get(name)
                if member and member is not self._state.local and member.record.state in PRESENT_STATES:
                    return member
            present = [
                each.record.name for each in self._state.members if each.record.state in PRESENT_STATES
            ]
            self._state.probe_round.begin(present)
        return None

    def _request_indirect_probes(self, now: float, sequence: int) -> None:
        """No direct ack came in time: the link may be at fault, so others are asked to ping."""
        probe = self.probes.get(sequence)
        target = self._state.members.get(probe.name) if probe else None
        if probe is None or probe.answered or target is None:
            return
        name, address = probe.name, target.record.address

        def make(header: messages.MessageHeader, room: int) -> messages.PingRequest:
            return messages.PingRequest(header, sequence, name, address, self._sender.select_gossip(room))

        helpers = self._state.random_members(
            INDIRECT_PROBES, lambda member: member is not target and member.record.state == ALIVE
        )
        for helper in helpers:
            self._sender.send(now, helper.record.address, make)

    def _finish(self, now: float, sequence: int) -> None:
        """The probe's time is over."""
        probe = self.probes.pop(sequence, None)
        member = self._state.members.get(probe.name) if probe else None
        if probe is None or member is None:
            return
        # A member heard since the ping is alive, also where only its acks are lost.
        reached = probe.answered or member.last_heard > probe.sent_at
        self._state.reachability.record_call(now, member.record.site, reached)
        if reached:
            self._state.local_health.improve()
            return
        # Where nobody at all was heard since, not even a nack, this member's own link may be at fault.
        # Missing nacks alone tell nothing: where many die at once, some of those asked are dead.
        if self._state.last_heard < probe.sent_at:
            self._state.local_health.worsen()
        if member.record.start_key == probe.start_key and member.record.state in PRESENT_STATES:
            self._suspicion.suspect(now, member, self._state.settings.name)
            # It is told at once, and refutes where only datagrams were lost.
            self._sender.send_ping(now, member, next(self._state.counter))
