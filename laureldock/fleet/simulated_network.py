"""A simulated network between members of a fleet: loss, delay, duplication and cuts of its links."""

from __future__ import annotations

from dataclasses import dataclass, field

Pair = tuple[str, str]
"""A directed pair of members: sender and receiver."""


@dataclass(slots=True)
class Link:
    """Impairments of one directed link; `loss` and `duplicated` are fractions of its datagrams."""

    cuts: int = 0  # number of active faults that cut it
    loss: float = 0.0
    duplicated: float = 0.0
    delay: float = 0.0  # maximum additional delay in seconds


@dataclass(slots=True)
class SimulatedNetwork:
    """Loss and delay (in seconds) on all links, and additional impairments of single links."""

    loss: float = 0.0
    min_delay: float = 0.001
    max_delay: float = 0.01
    links: dict[Pair, Link] = field(default_factory=dict)

    def link(self, sender: str, receiver: str) -> Link:
        """Return the link from one member to another, which the caller may change."""
        return self.links.setdefault((sender, receiver), Link())

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether the link from one member to another is cut."""
        link = self.links.get((sender, receiver))
        return link is not None and link.cuts > 0
