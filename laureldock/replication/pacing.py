"""A token bucket in bytes. No I/O; the clock is handed in, in seconds."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate` bytes a second, and `burst` at once after a rest.

    A message goes whole where the level is above nought, and may take it below: over any time no more than
    `burst + rate * time` and one message are let through.
    """

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level, self._at = burst, now

    def level(self, now: float) -> float:
        """Bytes that may go now; below nought: those that went ahead of time."""
        if now > self._at:
            self._level = min(self.burst, self._level + (now - self._at) * self.rate)
            self._at = now
        return self._level

    def take(self, now: float, size: int) -> None:
        self._level = self.level(now) - size

    def ready_at(self, now: float) -> float:
        """When a message may go; `now` where it may at once."""
        level = self.level(now)
        return now if level > 0 else now + (1 - level) / self.rate
