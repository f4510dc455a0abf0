"""Indexes of a catalog, kept up entry by entry, so that a change looks only at what it touches. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TypeVar

from laureldock.setup.terms import uncount

# A destination, and the name of one of its routes; "" for the destination itself.
Place = tuple[str, str]

Outer = TypeVar("Outer")
Inner = TypeVar("Inner")
# Sets by key; dicts without values, since those keep their order.
Groups = dict[Outer, dict[Inner, None]]


def put_in(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
    groups.setdefault(key, {})[member] = None


def take_out(groups: Groups[Outer, Inner], key: Outer, member: Inner) -> None:
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


class PlaceIndex:
    """Places by kind of destination: those with settings of their own one by one, the others counted.

    What holds at a destination without settings of its own is the same for all such destinations of its kind:
    one stands for all of them.
    """

    def __init__(self) -> None:
        self._plain: Counter[str] = Counter()  # destinations without own settings
        self._own: Groups[str, Place] = {}  # places with own settings
        self._own_routes: Groups[str, str] = {}  # names of routes with own settings, by destination

    def add(self, kind: str, place: Place, own: bool) -> None:
        """A route without own settings is no place: what holds there holds at its destination."""
        destination, route = place
        if own:
            put_in(self._own, kind, place)
            if route:
                put_in(self._own_routes, destination, route)
        elif not route:
            self._plain[kind] += 1

    def discard(self, kind: str, place: Place, own: bool) -> None:
        """The same that was added."""
        destination, route = place
        if own:
            take_out(self._own, kind, place)
            if route:
                take_out(self._own_routes, destination, route)
        elif not route:
            uncount(self._plain, kind, 1)

    def __bool__(self) -> bool:
        """Whether there is any place."""
        return bool(self._plain or self._own)

    def kinds(self) -> Iterator[str]:
        yield from {**self._plain, **self._own}

    def has_plain(self, kind: str) -> bool:
        return kind in self._plain

    def own(self, kind: str) -> Iterator[Place]:
        yield from self._own.get(kind, ())

    def own_routes(self, destination: str) -> list[str]:
        return list(self._own_routes.get(destination, ()))
