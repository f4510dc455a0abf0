"""What other living processes of one dispatcher have recorded, as far as it binds this one. No I/O.

While one process hands over to the next, both are one dispatcher to the rules and to the limits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field
from math import inf

from laureldock.interface import PeerLoad


@dataclass(frozen=True, slots=True)
class RouteRecord:
    """What became of a route, in seconds of the monotonic clock.

    `back_at`: when it came back cold; None: it failed. `at`: when that was seen.
    """

    back_at: float | None
    at: float


def newest_records(found: Iterable[Mapping[str, RouteRecord]]) -> dict[str, RouteRecord]:
    """Of each route, what was seen last."""
    together: dict[str, RouteRecord] = {}
    for records in found:
        for name, record in records.items():
            if name not in together or record.at > together[name].at:
                together[name] = record
    return together


@dataclass(frozen=True, slots=True)
class PeerView:
    """Of all other processes together. Times are seconds of the monotonic clock."""

    processes: int = 0
    calls_out: int = 0
    calls_to: Mapping[str, int] = field(default_factory=dict)  # the same, by route
    accepted: Mapping[bytes, float] = field(default_factory=dict)  # when, by message that is owed
    keys: Mapping[str, Mapping[bytes, float]] = field(default_factory=dict)  # the same, by key
    ended: Set[bytes] = frozenset()  # messages that were over lately
    waits: Mapping[str, float] = field(default_factory=dict)  # by route, until when
    rests: Mapping[str, float] = field(default_factory=dict)  # by key, until when
    routes: Mapping[str, RouteRecord] = field(default_factory=dict)

    def first_accepted(self, key: str) -> float:
        """When the first message of a key that is owed there was accepted; infinite if none is owed."""
        return min(self.keys.get(key, {}).values(), default=inf)

    def knows(self, name: bytes) -> bool:
        """Whether a message is owed there, or was lately."""
        return name in self.accepted or name in self.ended

    def as_limits(self) -> PeerLoad:
        """What the decisions need of it."""
        first = {key: min(owed.values()) for key, owed in self.keys.items() if owed}
        return PeerLoad(self.processes, self.calls_out, self.calls_to, len(self.accepted), first)
