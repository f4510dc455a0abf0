"""The network between members, as the sender models it: delay, jitter, loss and cuts. No I/O.

Links are between regions (or within one) and the same in both directions.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from laureldock.rehearsal.scale.topology import Place, Topology

JITTER = 0.1  # of the delay, at most
RETRANSMISSION_TIMEOUT = 0.2  # seconds; what a stream loses comes again, so much later


@dataclass(slots=True)
class LinkState:
    """What a script has done to all links between two regions."""

    cut: bool = False
    loss: float = 0.0  # share of datagrams
    slowdown: float = 1.0  # times the delay


class Network:
    """One process's copy: the random numbers are its own, the link states are told to all."""

    def __init__(self, topology: Topology, seed: str) -> None:
        self.topology = topology
        self.random = random.Random(seed)
        self.links: dict[tuple[str, str], LinkState] = {}

    def link(self, one: str, other: str) -> LinkState:
        """The state between two regions, to be read or set."""
        pair = (one, other) if one <= other else (other, one)
        return self.links.setdefault(pair, LinkState())

    def is_cut(self, one: Place, other: Place) -> bool:
        return self.link(one.region, other.region).cut

    def datagram_delay(self, sender: Place, receiver: Place) -> float | None:
        """Seconds for which a datagram is held back; None: it is lost."""
        state = self.link(sender.region, receiver.region)
        if state.cut or (state.loss and self.random.random() < state.loss):
            return None
        return self._delay(sender, receiver, state)

    def stream_delay(self, sender: Place, receiver: Place) -> float:
        """Seconds for which a piece of a stream is held back. A cut is the caller's to look at."""
        state = self.link(sender.region, receiver.region)
        delay = self._delay(sender, receiver, state)
        if state.loss and self.random.random() < state.loss:
            delay += RETRANSMISSION_TIMEOUT
        return delay

    def _delay(self, sender: Place, receiver: Place, state: LinkState) -> float:
        delay = self.topology.delay(sender, receiver) * state.slowdown
        return delay * (1.0 + JITTER * self.random.random())
