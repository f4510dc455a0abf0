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

    recovered_at: float | None
    seen_at: float


def newest_records(found: Iterable[Mapping[str, RouteRecord]]) -> dict[str, RouteRecord]:
    """Of each route, what was seen last."""
    together: dict[str, RouteRecord] = {}
    for records in found:
        for name, record in records.items():
            if name not in together or record.seen_at > together[name].seen_at:
                together[name] = record
    return together


@dataclass(frozen=True, slots=True)
class PeerView:
    """Of all other processes together. Times are seconds of the monotonic clock."""

    processes: int = 0
    calls_in_flight: int = 0
    calls_by_route: Mapping[str, int] = field(default_factory=dict)  # the same, by route
    accepted_at: Mapping[bytes, float] = field(default_factory=dict)  # when, by message that is owed
    accepted_by_key: Mapping[str, Mapping[bytes, float]] = field(default_factory=dict)  # the same, by key
    recently_finished: Set[bytes] = frozenset()  # messages that were over lately
    requested_waits: Mapping[str, float] = field(default_factory=dict)  # by route, until when
    cooldowns: Mapping[str, float] = field(default_factory=dict)  # by key, until when
    routes: Mapping[str, RouteRecord] = field(default_factory=dict)

    def first_accepted(self, key: str) -> float:
        """When the first message of a key that is owed there was accepted; infinite if none is owed."""
        return min(self.accepted_by_key.get(key, {}).values(), default=inf)

    def knows(self, name: bytes) -> bool:
        """Whether a message is owed there, or was lately."""
        return name in self.accepted_at or name in self.recently_finished

    def to_peer_load(self) -> PeerLoad:
        """What the decisions need of it."""
        first = {key: min(owed.values()) for key, owed in self.accepted_by_key.items() if owed}
        return PeerLoad(
            self.processes, self.calls_in_flight, self.calls_by_route, len(self.accepted_at), first
        )
