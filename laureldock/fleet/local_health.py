"""Local health awareness (Lifeguard): a member that is slow itself waits longer before it suspects others.

Source: Dadgar, Phillips, Currey, "Lifeguard" (arXiv:1707.00788), section 4.A.
"""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S: the timeouts of a slow member grow up to ninefold


class LocalHealth:
    """A score from 0 (healthy) to `MAX_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """Factor for the probe interval and the probe timeouts of this member."""
        return 1 + self.score

    def worsen(self) -> None:
        """Raise the score, on evidence that this member or its own link is slow."""
        self.score = min(MAX_SCORE, self.score + 1)

    def improve(self) -> None:
        """Lower the score, on evidence that this member and its link are healthy."""
        self.score = max(0, self.score - 1)
