"""A simulated network between members of a fleet: losses, delays and cuts of all links or of single ones."""

from __future__ import annotations

from dataclasses import dataclass, field

Pair = tuple[str, str]
"""A directed pair of members: sender and receiver."""


@dataclass(slots=True)
class Link:
    """From one member to another. Times are seconds, `loss` and `doubled` shares of all datagrams."""

    cuts: int = 0  # faults that cut it now
    loss: float = 0.0
    doubled: float = 0.0
    delay: float = 0.0  # at most, beside the network's own


@dataclass(slots=True)
class SimulatedNetwork:
    """What becomes of datagrams on all links, and of those on single links beside that."""

    loss: float = 0.0
    min_delay: float = 0.001
    max_delay: float = 0.01
    links: dict[Pair, Link] = field(default_factory=dict)

    def link(self, sender: str, receiver: str) -> Link:
        """The link from one member to another, to be changed."""
        return self.links.setdefault((sender, receiver), Link())

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether nothing passes from one member to another now."""
        link = self.links.get((sender, receiver))
        return link is not None and link.cuts > 0
