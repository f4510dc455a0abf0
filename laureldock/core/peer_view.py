"""What the peer processes of a dispatcher have recorded, as far as this process has to respect it. No I/O.

While one process hands over to the next, both count as one dispatcher for the rules and limits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field
from math import inf

from laureldock.interface import PeerLoad


@dataclass(frozen=True, slots=True)
class RouteRecord:
    """That a route failed or recovered. Times are seconds of the monotonic clock.

    `recovered_at`: since when it is cold after its recovery, 0 if it is not; None if it failed. `seen_at`:
    when a process saw this. `shut`: it refused calls, and none failed otherwise.
    """

    recovered_at: float | None
    seen_at: float
    shut: bool = False


def newest_records(sources: Iterable[Mapping[str, RouteRecord]]) -> dict[str, RouteRecord]:
    """The newest record of each route."""
    newest: dict[str, RouteRecord] = {}
    for records in sources:
        for name, record in records.items():
            if name not in newest or record.seen_at > newest[name].seen_at:
                newest[name] = record
    return newest


@dataclass(frozen=True, slots=True)
class SharedRecords:
    """Records that bind every process of a dispatcher. Times are seconds of the monotonic clock."""

    requested_waits: Mapping[str, float] = field(default_factory=dict)  # until when, by route name
    cooldowns: Mapping[str, float] = field(default_factory=dict)  # until when, by ordering key
    routes: Mapping[str, RouteRecord] = field(default_factory=dict)
    # Until when, by destination, for those whose endpoints share one limit.
    destination_waits: Mapping[str, float] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there is no record."""
        return not (self.requested_waits or self.cooldowns or self.routes or self.destination_waits)


@dataclass(frozen=True, slots=True)
class PeerView(SharedRecords):
    """Records of all peer processes together. Times are seconds of the monotonic clock."""

    processes: int = 0
    calls_in_flight: int = 0
    calls_by_route: Mapping[str, int] = field(default_factory=dict)  # the same, by route name
    accepted_at: Mapping[bytes, float] = field(default_factory=dict)  # when, by name of a pending message
    # The same, by ordering key.
    accepted_by_key: Mapping[str, Mapping[bytes, float]] = field(default_factory=dict)
    recently_finished: Set[bytes] = frozenset()  # names of messages that finished a moment ago

    def first_accepted(self, key: str) -> float:
        """When the first pending message of an ordering key was accepted; infinite if there is none."""
        return min(self.accepted_by_key.get(key, {}).values(), default=inf)

    def knows(self, name: bytes) -> bool:
        """Whether a message is pending in a peer process, or finished there a moment ago."""
        return name in self.accepted_at or name in self.recently_finished

    def to_peer_load(self) -> PeerLoad:
        """What the delivery policy needs of it."""
        first = {key: min(accepted.values()) for key, accepted in self.accepted_by_key.items() if accepted}
        return PeerLoad(
            self.processes, self.calls_in_flight, self.calls_by_route, len(self.accepted_at), first
        )
