"""What is read at start: the operators' settings, turned into the `Tariff` and the sorts of mail.

Both doors read their settings here: the bench's adapter and the dispatcher on sockets. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from laureldock import interface as face

Fields = dict[str, Any]
NS = 1e9
RERUNS = {
    "retryable": face.Rerun.REDELIVERABLE,
    "dedup": face.Rerun.TAGGED,
    "fragile": face.Rerun.ONCE_ONLY,
}


def seconds(value: Any) -> float:
    return float(value or 0) / NS


def queue_class(entry: Fields, halving: bool) -> face.QueueClass:
    return face.QueueClass(
        rerun=RERUNS[entry["effect"]],
        importance=float(entry["points"]),
        target_delay=seconds(entry["aim_ns"]),
        lifetime=seconds(entry["deadline_ns"]),
        late_share=float(entry.get("late_share") or 0),
        halving=halving,
        in_order=bool(entry.get("in_order")),
        memory=seconds(entry.get("window_ns")) if entry["effect"] == "dedup" else inf,
        one_zone=entry["effect"] == "dedup" and entry.get("dedup_scope") != "all",
    )


def tariff(seed: int, profile: Fields, sockets: bool) -> face.Tariff:
    limits, rules, family = profile["limits"], profile["invariants"], profile["family_info"]
    return face.Tariff(
        seed=seed,
        instances=profile["n_instances"],
        slots=family["call_slots"],
        room=limits["most_held"],
        most_connects=limits["max_attempts"],
        may_cancel=bool(limits.get("may_cancel")),
        may_probe=bool(limits.get("probes")),
        may_copy=bool(limits.get("second_copies")),
        must_ask=sockets or profile.get("discovery") == "subscribe",
        near_list=sockets,
        notices=sockets,
        over_quota=float(profile.get("over_share_worth") or 0),
        most_retry_after=seconds(limits.get("max_retry_after_ns")) if limits.get("retry_after") else 0.0,
        key_rest=seconds(rules.get("key_rest_ns")),
        start_capacity=float(rules["start_capacity"]),
        tip_multiple=float(rules["tip_multiple"]),
        fall_time=seconds(rules["fall_ns"]),
        warm_time=seconds(rules["warm_after_ns"]),
        rates=profile.get("weight_kind") or "off",
        connect_time=seconds(limits.get("connect_timeout_ns")),
        idle_time=seconds(limits.get("conn_idle_ns")),
    )


@dataclass(frozen=True, slots=True)
class Entry:
    """An endpoint as the list names it."""

    name: str
    destination: Any
    zone: str
    kind: str
    rate: float
    listed: face.Listed


class Book:
    """The names at the door: queue classes, customers, destinations, and the routes listed."""

    def __init__(self, seed: int, profile: Fields, sockets: bool = False) -> None:
        family = profile["family_info"]
        halving = family.get("fades") == "halving"
        self.tariff = tariff(seed, profile, sockets)
        self.classes = {entry["name"]: queue_class(entry, halving) for entry in profile["classes"]}
        self.customers = {
            entry["name"]: face.Customer(float(entry.get("quota_per_s") or 0))
            for entry in profile.get("customers") or []
        }
        batches, apart = family.get("batch_by_kind") or [], family.get("routes_apart") or []
        self.kinds = {
            name: face.Kind(max([1, *batches[place : place + 1]]), any(apart[place : place + 1]))
            for place, name in enumerate(profile.get("kinds") or [])
        }
        self.reports: list[str] = (profile.get("telemetry") or {}).get("fields") or []
        self.destinations: dict[Any, face.Destination] = {}
        self.routes: dict[str, face.Route] = {}

    def destination(self, number: Any) -> face.Destination:
        return self.destinations.setdefault(number, face.Destination())

    def listed(self, entries: list[Entry], whole: bool) -> list[face.Route]:
        """The routes named, brought up to date; what is gone is forgotten."""
        named = [self.route(entry) for entry in entries]
        known = set(named)
        for name, route in list(self.routes.items()):
            if whole and route not in known:
                route.listed = face.Listed.REMOVED
            if route.listed is face.Listed.REMOVED:
                del self.routes[name]
        return named

    def route(self, entry: Entry) -> face.Route:
        route = self.routes.get(entry.name)
        if route is None:
            kind, owner = self.kinds.get(entry.kind) or face.Kind(), self.destination(entry.destination)
            route = face.Route(owner, entry.zone, kind, entry.rate, entry.listed, entry.name)
            self.routes[entry.name] = route
        route.listed, route.rate = entry.listed, entry.rate
        return route
