"""Local health awareness: a member that is slow itself waits longer before it suspects others.

Source: Dadgar, Phillips, Currey, "Lifeguard" (arXiv:1707.00788), section 4.A.
"""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S: a member that is slow itself waits up to nine times as long


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """What probe intervals and timeouts of this member are multiplied by."""
        return 1 + self.score

    def worsen(self) -> None:
        """Evidence that this member, or its own link, is slow."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Evidence that it is not."""
        self.score = max(0, self.score - 1)
