"""Model of the network between members, applied by the sender: delay, jitter, loss and partitions. No I/O.

A link joins two regions (or a region with itself) and behaves the same in both directions.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from laureldock.rehearsal.scale.topology import MemberLocation, Topology

MAX_JITTER = 0.1  # as a fraction of the delay
RETRANSMISSION_TIMEOUT = 0.2  # seconds; extra delay of data that a stream loses and retransmits


@dataclass(slots=True)
class LinkState:
    """State that a script has set for all links between two regions."""

    cut: bool = False
    loss: float = 0.0  # fraction of datagrams
    slowdown: float = 1.0  # factor on the delay


class Network:
    """The copy of one process. Link states are sent to all processes, random numbers are each copy's own."""

    def __init__(self, topology: Topology, seed: str) -> None:
        self.topology = topology
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], LinkState] = {}

    def link(self, one: str, other: str) -> LinkState:
        """The mutable state of the link between two regions."""
        pair = (one, other) if one <= other else (other, one)
        return self.links.setdefault(pair, LinkState())

    def is_cut(self, one: MemberLocation, other: MemberLocation) -> bool:
        return self.link(one.region, other.region).cut

    def datagram_delay(self, sender: MemberLocation, receiver: MemberLocation) -> float | None:
        """Delay of a datagram in seconds; None if it is lost."""
        state = self.link(sender.region, receiver.region)
        if state.cut or (state.loss and self.random.random() < state.loss):
            return None
        return self._delay(sender, receiver, state)

    def stream_delay(self, sender: MemberLocation, receiver: MemberLocation) -> float:
        """Delay of a chunk of a stream in seconds. The caller checks whether the link is cut."""
        state = self.link(sender.region, receiver.region)
        delay = self._delay(sender, receiver, state)
        if state.loss and self.random.random() < state.loss:
            delay += RETRANSMISSION_TIMEOUT
        return delay

    def _delay(self, sender: MemberLocation, receiver: MemberLocation, state: LinkState) -> float:
        delay = self.topology.delay(sender, receiver) * state.slowdown
        return delay * (1.0 + MAX_JITTER * self.random.random())
