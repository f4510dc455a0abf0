"""Failure detection: each period one member is probed, first directly, then indirectly.

Source: Das, Gupta, Motivala, "SWIM" (DSN 2002), sections 3.1 and 4.3; Dadgar, Phillips, Currey, "Lifeguard"
(arXiv:1707.00788), section 4.A, for the longer timeouts of a member that is slow itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from laureldock.fleet import messages
from laureldock.fleet.members import PRESENT_STATES, Member
from laureldock.fleet.messages import ALIVE, StartKey
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState
from laureldock.fleet.suspicion import Suspicion

# In periods, before multiplication by the local health multiplier.
DIRECT_TIMEOUT = 0.3  # then indirect probes start; far more than a round trip in a healthy network
PROBE_TIMEOUT = 0.95  # then the probe fails
# Members asked to ping in this member's place (SWIM's k). With one in 4 datagrams lost, fewer than one probe
# in 50 fails.
INDIRECT_PROBES = 3


@dataclass(eq=False, slots=True)
class Probe:
    """A member that was pinged, and whether an ack was received."""

    name: str
    start_key: StartKey
    sent_at: float
    acknowledged: bool = False


class Probing:
    """Probes all present members in rounds, each once per round, and suspects unreachable ones."""

    def __init__(self, state: ViewState, sender: DatagramSender, suspicion: Suspicion) -> None:
        self._state, self._sender, self._suspicion = state, sender, suspicion
        self.probes: dict[int, Probe] = {}  # by sequence number

    def start(self, now: float, delay: float) -> None:
        """Start after `delay` periods; the delay keeps members that start together from probing in step."""
        self._state.schedule(now, delay, self._probe_next)

    def acknowledge(self, message: messages.Ack) -> None:
        """Record an ack, from the member itself or relayed by another."""
        if probe := self.probes.get(message.sequence):
            probe.acknowledged = True

    def abandon(self) -> None:
        """Drop all probes in progress, whose outcome says nothing about other members."""
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
        """Return the next member of this round or of a new one; None if no other member is present."""
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
        """Ask others to ping, since the link may be at fault, if no direct ack was received in time."""
        probe = self.probes.get(sequence)
        target = self._state.members.get(probe.name) if probe else None
        if probe is None or probe.acknowledged or target is None:
            return
        name, address = probe.name, target.record.address

        def build(header: messages.MessageHeader, max_bytes: int) -> messages.PingRequest:
            return messages.PingRequest(
                header, sequence, name, address, self._sender.select_gossip(max_bytes)
            )

        helpers = self._state.random_members(
            INDIRECT_PROBES, lambda member: member is not target and member.record.state == ALIVE
        )
        for helper in helpers:
            self._sender.send(now, helper.record.address, build)

    def _finish(self, now: float, sequence: int) -> None:
        """Evaluate a probe whose timeout has expired."""
        probe = self.probes.pop(sequence, None)
        member = self._state.members.get(probe.name) if probe else None
        if probe is None or member is None:
            return
        # A member from which anything was received since the ping is alive, even if its acks were lost.
        reached = probe.acknowledged or member.last_heard_at > probe.sent_at
        self._state.reachability.record_probe(now, member.record.site, reached)
        if reached:
            self._state.local_health.improve()
            return
        # If nothing was received from any member since, not even a nack, this member's own link may be at
        # fault. Missing nacks alone are no evidence of that: when many members crash at once, some of those
        # that were asked to ping have crashed too.
        if self._state.last_heard_at < probe.sent_at:
            self._state.local_health.worsen()
        if member.record.start_key == probe.start_key and member.record.state in PRESENT_STATES:
            self._suspicion.suspect(now, member, self._state.settings.name)
            # This ping carries the suspicion: a member whose datagrams were merely lost refutes at once.
            self._sender.send_ping(now, member, next(self._state.counter))
