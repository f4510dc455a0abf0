"""A token bucket in bytes. No I/O; callers pass the time, in seconds."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate` bytes per second, and `burst` bytes at once after an idle period.

    A message is sent whole while the level is above zero, which may make the level negative: within any time
    span at most `burst + rate * span` bytes and one message are allowed.
    """

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self._level, self._updated_at = burst, now

    def level(self, now: float) -> float:
        """Bytes that may be sent now; if negative, bytes that were sent ahead of time."""
        if now > self._updated_at:
            self._level = min(self.burst, self._level + (now - self._updated_at) * self.rate)
            self._updated_at = now
        return self._level

    def take(self, now: float, size: int) -> None:
        self._level = self.level(now) - size

    def ready_at(self, now: float) -> float:
        """When a message may be sent; `now` if it may be sent at once."""
        level = self.level(now)
        return now if level > 0 else now + (1 - level) / self.rate
