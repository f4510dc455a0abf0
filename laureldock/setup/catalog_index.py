"""Indexes of a catalog, updated entry by entry, so that a change reads only what it affects. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from laureldock.setup.terms import OwnSettings

# A destination and the name of one of its routes, or "" for the destination itself.
Place = tuple[str, str]
# Kind of the destination, and the settings of the destination and of the route.
Signature = tuple[str, OwnSettings, OwnSettings]

Outer = TypeVar("Outer")
Inner = TypeVar("Inner")
# Ordered sets by key: dicts without values, since these keep the insertion order.
Groups = dict[Outer, dict[Inner, None]]


def add_to_group(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
    groups.setdefault(key, {})[member] = None


def remove_from_group(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
    """Remove the member if it is there, and its group if that becomes empty."""
    members = groups.get(key, {})
    members.pop(member, None)
    if not members:
        groups.pop(key, None)


class AddressIndex:
    """Names of endpoints by destination and address.

    An accepted state has one name for each; there may be several while a change is tried.
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
        """The other endpoints with the same destination and address."""
        return tuple(each for each in self._names.get((destination, address), ()) if each != name)


@dataclass(frozen=True, slots=True)
class PlaceState:
    """State of a place. The same settings are in force at places with equal signatures."""

    place: Place
    kind: str
    destination_settings: OwnSettings
    route_settings: OwnSettings = ()

    @property
    def signature(self) -> Signature:
        return self.kind, self.destination_settings, self.route_settings


class PlaceIndex:
    """Destinations, and routes with settings of their own, grouped by signature.

    The same settings are in force at all places of a group. A route without settings of its own is in no
    group, since the settings of its destination are in force there.
    """

    def __init__(self) -> None:
        self._groups: dict[str, Groups[Signature, Place]] = {}  # by kind
        self._own_routes: Groups[str, str] = {}  # names of indexed routes by destination

    def add(self, state: PlaceState) -> None:
        add_to_group(self._groups.setdefault(state.kind, {}), state.signature, state.place)
        destination, route = state.place
        if route:
            add_to_group(self._own_routes, destination, route)

    def discard(self, state: PlaceState) -> None:
        """Remove a place, given in the state in which it was added."""
        groups = self._groups[state.kind]
        remove_from_group(groups, state.signature, state.place)
        if not groups:
            del self._groups[state.kind]
        destination, route = state.place
        if route:
            remove_from_group(self._own_routes, destination, route)

    def move(self, before: PlaceState | None, after: PlaceState | None) -> None:
        """Replace one state by another; None: not indexed."""
        if before is not None:
            self.discard(before)
        if after is not None:
            self.add(after)

    def __bool__(self) -> bool:
        """Whether any place is indexed."""
        return bool(self._groups)

    def kinds(self) -> Iterator[str]:
        yield from self._groups

    def groups(self, kind: str) -> Iterator[Iterable[Place]]:
        """The places of a kind, grouped by signature."""
        yield from self._groups.get(kind, {}).values()

    def own_routes(self, destination: str) -> list[str]:
        return list(self._own_routes.get(destination, ()))
