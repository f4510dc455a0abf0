"""Records of a spool file that belong to no message: requested waits, cooldowns and records of routes."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import inf

from laureldock.clocks import read_clocks
from laureldock.core.peer_view import RouteRecord, SharedRecords, newest_records
from laureldock.stores.record_sizes import kept_records_bytes
from laureldock.stores.spool_records import encode_payload, encode_route

DESTINATION_WAIT_RECORD = "wait_all"  # earlier releases skip it
MAX_ROUTE_RECORDS = 4096  # more than a list is expected to have endpoints
ROUTE_KEPT_TIME = 60.0  # seconds; a route that recovered longer ago is warm under any settings


class KeptRecords:
    """Until when waits and cooldowns last, and what was seen of routes, by route or by ordering key.

    They were recorded by this process, or in a file that it took over. Times are seconds of the monotonic
    clock.
    """

    def __init__(self) -> None:
        self.requested_waits: dict[str, float] = {}
        self.cooldowns: dict[str, float] = {}
        self.routes: dict[str, RouteRecord] = {}
        self.destination_waits: dict[str, float] = {}
        self._record_bytes: int | None = None  # unknown after a change

    @property
    def record_bytes(self) -> int:
        """Bytes of all records in a rewritten file, at most."""
        if self._record_bytes is None:
            self._record_bytes = kept_records_bytes(
                (self.requested_waits, self.cooldowns, self.routes, self.destination_waits)
            )
        return self._record_bytes

    def set_wait(self, route: str, until: float, now: float) -> None:
        """Keep a requested wait unless a longer one is kept; those that are over `now` are dropped."""
        self.requested_waits = {name: end for name, end in self.requested_waits.items() if end > now}
        self.replay_wait(route, until)

    def set_destination_wait(self, destination: str, until: float, now: float) -> None:
        """Keep a wait that was requested for all routes of a destination, as `set_wait` does."""
        self.destination_waits = {name: end for name, end in self.destination_waits.items() if end > now}
        self.replay_destination_wait(destination, until)

    def set_cooldown(self, key: str, until: float, now: float) -> None:
        """Keep the cooldown of a key unless a longer one is kept; those that are over `now` are dropped."""
        self.cooldowns = {name: end for name, end in self.cooldowns.items() if end > now}
        self.replay_cooldown(key, until)

    def set_route(self, route: str, record: RouteRecord) -> None:
        """Keep what was seen of a route; of too many, the one that was changed longest ago gives way."""
        self.routes.pop(route, None)  # to the end
        self.routes[route] = record
        self._drop_excess_routes()

    def _drop_excess_routes(self) -> None:
        while len(self.routes) > MAX_ROUTE_RECORDS:
            del self.routes[next(iter(self.routes))]
        self._record_bytes = None

    def replay_wait(self, route: str, until: float) -> None:
        """Keep a wait that was read; the one that ends last counts."""
        self.requested_waits[route] = max(until, self.requested_waits.get(route, -inf))
        self._record_bytes = None

    def replay_destination_wait(self, destination: str, until: float) -> None:
        """Keep a wait for a destination that was read; the one that ends last counts."""
        self.destination_waits[destination] = max(until, self.destination_waits.get(destination, -inf))
        self._record_bytes = None

    def replay_cooldown(self, key: str, until: float) -> None:
        """Keep a cooldown that was read; the one that ends last counts."""
        self.cooldowns[key] = max(until, self.cooldowns.get(key, -inf))
        self._record_bytes = None

    def add(self, other: SharedRecords) -> None:
        """Add the records of another file; of each wait and cooldown the one that ends last counts."""
        for route, until in other.requested_waits.items():
            self.replay_wait(route, until)
        for key, until in other.cooldowns.items():
            self.replay_cooldown(key, until)
        for destination, until in other.destination_waits.items():
            self.replay_destination_wait(destination, until)
        self.routes = newest_records([self.routes, other.routes])
        self._drop_excess_routes()

    @property
    def has_waits(self) -> bool:
        """Whether there is any wait."""
        return bool(self.requested_waits or self.destination_waits)

    def end_waits(self) -> None:
        """Drop all waits."""
        self.requested_waits, self.destination_waits = {}, {}
        self._record_bytes = None

    def snapshot(self) -> SharedRecords:
        """A copy of all records that are not obsolete."""
        routes = {name: record for name, record in self.routes.items() if not is_old(record)}
        return SharedRecords(
            dict(self.requested_waits), dict(self.cooldowns), routes, dict(self.destination_waits)
        )

    def newer_than(self, other: KeptRecords) -> SharedRecords:
        """Waits and cooldowns, and the records of routes that are newer here or unknown to the other."""
        found = self.snapshot()
        newest = newest_records([other.routes, found.routes])
        routes = {name: record for name, record in found.routes.items() if newest[name] is record}
        return replace(found, routes=routes)

    def payloads(self) -> Iterator[bytes]:
        """The payloads of all records, obsolete ones left out."""
        for route, until in self.requested_waits.items():
            yield encode_payload(["wait", route, until])
        for destination, until in self.destination_waits.items():
            yield encode_payload([DESTINATION_WAIT_RECORD, destination, until])
        for key, until in self.cooldowns.items():
            yield encode_payload(["rest", key, until])
        for route, record in self.routes.items():
            if not is_old(record):
                yield encode_route(route, record)


def is_old(record: RouteRecord) -> bool:
    """Whether a record is obsolete: the route recovered so long ago that it is warm."""
    return record.recovered_at is not None and record.recovered_at < read_clocks().monotonic - ROUTE_KEPT_TIME
