"""Indexes of a catalog, kept up entry by entry, so that a change looks only at what it touches. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from laureldock.setup.terms import OwnSettings

# A destination, and the name of one of its routes; "" for the destination itself.
Place = tuple[str, str]
# Kind of the destination, and what is set at the destination and at the route.
Signature = tuple[str, OwnSettings, OwnSettings]

Outer = TypeVar("Outer")
Inner = TypeVar("Inner")
# Sets by key; dicts without values, since those keep their order.
Groups = dict[Outer, dict[Inner, None]]


def add_to_group(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
    groups.setdefault(key, {})[member] = None


def remove_from_group(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
    """Nothing where it was not in; no empty group is left behind."""
    members = groups.get(key, {})
    members.pop(member, None)
    if not members:
        groups.pop(key, None)


class AddressIndex:
    """Names of endpoints by destination and address.

    One each in all states that are accepted; several while a change is tried.
    """

    def __init__(self) -> None:
        self._names: dict[tuple[str, str], tuple[str, ...]] = {}

    def add(self, destination: str, address: str, name: str) -> None:
        key = (destination, address)
        self._names[key] = (*self._names.get(key, ()), name)

    def discard(self, destination: str, address: str, name: str) -> None:
        key = (destination, address)
        others = tuple(each for each in self._names[key] if each != name)
        if others:
            self._names[key] = others
        else:
            del self._names[key]

    def others(self, destination: str, address: str, name: str) -> tuple[str, ...]:
        """Those that share the address with it."""
        return tuple(each for each in self._names.get((destination, address), ()) if each != name)


@dataclass(frozen=True, slots=True)
class PlaceState:
    """A place as it is at one time. Two with one kind and equal settings of their own are alike in all."""

    place: Place
    kind: str
    destination_settings: OwnSettings
    route_settings: OwnSettings = ()

    @property
    def signature(self) -> Signature:
        return self.kind, self.destination_settings, self.route_settings


class PlaceIndex:
    """Destinations, and routes with settings of their own, in groups of those that are alike.

    What holds at one of a group holds at all of it. A route without own settings is in none: what holds there
    holds at its destination.
    """

    def __init__(self) -> None:
        self._groups: dict[str, Groups[Signature, Place]] = {}  # by kind
        self._own_routes: Groups[str, str] = {}  # names of the routes in it, by destination

    def add(self, state: PlaceState) -> None:
        add_to_group(self._groups.setdefault(state.kind, {}), state.signature, state.place)
        destination, route = state.place
        if route:
            add_to_group(self._own_routes, destination, route)

    def discard(self, state: PlaceState) -> None:
        """The same that was added."""
        groups = self._groups[state.kind]
        remove_from_group(groups, state.signature, state.place)
        if not groups:
            del self._groups[state.kind]
        destination, route = state.place
        if route:
            remove_from_group(self._own_routes, destination, route)

    def move(self, before: PlaceState | None, after: PlaceState | None) -> None:
        """None: no place."""
        if before is not None:
            self.discard(before)
        if after is not None:
            self.add(after)

    def __bool__(self) -> bool:
        """Whether there is any place."""
        return bool(self._groups)

    def kinds(self) -> Iterator[str]:
        yield from self._groups

    def groups(self, kind: str) -> Iterator[Iterable[Place]]:
        """Those that are alike, together."""
        yield from self._groups.get(kind, {}).values()

    def own_routes(self, destination: str) -> list[str]:
        return list(self._own_routes.get(destination, ()))
