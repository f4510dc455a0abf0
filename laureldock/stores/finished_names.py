"""Names of messages that have finished, kept until their lifetimes are over.

A client whose connection ended may send its request once more under the same id. By these names the message
does not run a second time, in this process, a peer process or the next one. The number of names is bounded.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass

from laureldock.stores.record_sizes import finished_name_bytes

FINISHED_RECORD = "finished"
MAX_NAMES = 4096  # more than a dispatcher finishes within the longest lifetime at its usual load
MIN_KEPT_TIME = 2.0  # seconds; a request that crossed the end of its connection comes again sooner
PRUNE_INTERVAL = 1.0  # seconds


@dataclass(frozen=True, slots=True)
class FinishedName:
    """Until when a name is kept, in seconds of the monotonic clock, and what a repeat is told."""

    until: float
    accepted: bool  # the message was delivered, or its end was told by a notice; else it may have run


class FinishedNames:
    """The names, the oldest first."""

    def __init__(self) -> None:
        self._entries: dict[bytes, FinishedName] = {}
        self._pruned_at = 0.0
        self.record_bytes = 0  # of the records of all names, at most

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, name: bytes, until: float, accepted: bool) -> None:
        """Keep a name until a time, or a little longer."""
        now = time.monotonic()
        self.remove(name)
        self._entries[name] = FinishedName(max(until, now + MIN_KEPT_TIME), accepted)
        self.record_bytes += bytes_of(name)
        self.drop_expired()
        if len(self._entries) > MAX_NAMES:
            self.remove(next(iter(self._entries)))

    def get(self, name: bytes) -> FinishedName | None:
        """The entry of a name; None if it is not known, or not any more."""
        entry = self._entries.get(name)
        return entry if entry is not None and entry.until > time.monotonic() else None

    def remove(self, name: bytes) -> None:
        """Forget a name, since a new message has it."""
        if self._entries.pop(name, None) is not None:
            self.record_bytes -= bytes_of(name)

    def drop_expired(self) -> None:
        """Drop the names that are kept no longer, if that was not done a moment ago."""
        now = time.monotonic()
        if now <= self._pruned_at + PRUNE_INTERVAL:
            return
        self._pruned_at = now
        for name in [name for name, entry in self._entries.items() if entry.until <= now]:
            self.remove(name)

    def newest(self) -> Iterator[tuple[bytes, FinishedName]]:
        """The names that are still kept, the newest first."""
        now = time.monotonic()
        return ((name, entry) for name, entry in reversed(self._entries.items()) if entry.until > now)


def bytes_of(name: bytes) -> int:
    """Bytes of the record of a name, at most."""
    return finished_name_bytes(name.decode())
