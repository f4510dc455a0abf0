"""Receivers listed in the configuration itself; read again with it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from laureldock import interface
from laureldock.core.protocols import EndpointListListener
from laureldock.delivery_settings import ListedEndpoint
from laureldock.setup.entries import destination_id, kind_of, name_of
from laureldock.setup.plan import Endpoint, Plan

Listing = dict[str, tuple[ListedEndpoint, str]]  # by name, each with where to dial


def entries(plan: Plan) -> list[tuple[ListedEndpoint, str]]:
    return list(listing(plan).values())


def listing(plan: Plan) -> Listing:
    return listing_of(plan, plan.endpoints)


def listing_of(plan: Plan, endpoints: Iterable[Endpoint]) -> Listing:
    """Of some endpoints, with the kinds of their destinations by that plan."""
    return {
        name_of(each): (
            ListedEndpoint(
                name_of(each),
                destination_id(each.destination),
                each.zone,
                kind_of(plan, each.destination),
                each.rate,
                interface.ListedState.UP,
            ),
            str(each.address),
        )
        for each in endpoints
    }


def fixed(entry: ListedEndpoint) -> tuple[int | str, str, str]:
    """What a route has for as long as it is listed: where it is another, another route is listed."""
    return entry.destination, entry.kind, entry.zone


class Listed:
    def __init__(self, core: EndpointListListener, held: Listing) -> None:
        self.core, self.held = core, held

    def start(self) -> None:
        self.core.list_updated(list(self.held.values()), True)

    def reread(self, fresh: Listing) -> None:
        """All anew; what differs is told."""
        self.change(fresh, [name for name in self.held if name not in fresh])

    def change(self, put: Listing, removed: Iterable[str]) -> None:
        """Tell what differs. What is listed no more drains: what is out there runs on, nothing new goes."""
        gone = [self.held.pop(name) for name in removed]
        told = []
        for name, each in put.items():
            before = self.held.get(name)
            if before == each:
                continue
            if before is not None and fixed(before[0]) != fixed(each[0]):
                gone.append(before)
            self.held[name] = each
            told.append(each)
        removals = [
            (replace(entry, listed_state=interface.ListedState.REMOVED), dial) for entry, dial in gone
        ]
        # Guards mails against a name that moved: its route is the old destination's until it is gone.
        for news in (removals, told):
            if news:
                self.core.guard(self.core.list_updated, news, False)

    settled = True

    def fetch_list(self, asked: interface.FetchList) -> None:
        """There is nobody to ask."""

    def close(self) -> None:
        """Nothing is open."""
