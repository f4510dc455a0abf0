"""Source of endpoints from the configuration itself; read again with it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from laureldock import interface
from laureldock.core.protocols import EndpointListListener
from laureldock.delivery_settings import ListedEndpoint
from laureldock.setup.entries import destination_id, kind_of, name_of
from laureldock.setup.plan import Endpoint, Plan

EndpointList = dict[str, tuple[ListedEndpoint, str]]  # by name, each with the address to connect to


def listed_endpoints(plan: Plan) -> list[tuple[ListedEndpoint, str]]:
    return list(endpoint_list(plan).values())


def endpoint_list(plan: Plan) -> EndpointList:
    return endpoint_list_of(plan, plan.endpoints)


def endpoint_list_of(plan: Plan, endpoints: Iterable[Endpoint]) -> EndpointList:
    """The list of the given endpoints; the kinds of their destinations are taken from the plan."""
    return {
        name_of(endpoint): (
            ListedEndpoint(
                name_of(endpoint),
                destination_id(endpoint.destination),
                endpoint.zone,
                kind_of(plan, endpoint.destination),
                endpoint.rate,
                interface.ListedState.UP,
            ),
            str(endpoint.address),
        )
        for endpoint in endpoints
    }


class ListedSource:
    """Reports the endpoints of the configuration, and what changes in them."""

    def __init__(self, core: EndpointListListener, endpoints: EndpointList) -> None:
        self.core, self.endpoints = core, endpoints

    def start(self) -> None:
        self.core.list_updated(list(self.endpoints.values()), True)

    def replace_list(self, new_list: EndpointList) -> None:
        """Replace the full list; only what differs is reported."""
        self.update(new_list, [name for name in self.endpoints if name not in new_list])

    def update(self, put: EndpointList, removed: Iterable[str]) -> None:
        """Report the entries of `put` that differ from those held, and the removal of those in `removed`.

        Attempts in flight to a removed endpoint continue; nothing new is sent to it.
        """
        removed_entries = [self.endpoints.pop(name) for name in removed]
        updated = []
        for name, listed in put.items():
            if self.endpoints.get(name) != listed:
                self.endpoints[name] = listed
                updated.append(listed)
        removals = [
            (replace(entry, listed_state=interface.ListedState.REMOVED), address)
            for entry, address in removed_entries
        ]
        for entries in (removals, updated):
            if entries:
                self.core.guard(self.core.list_updated, entries, False)

    settled = True

    def fetch_list(self, asked: interface.FetchList) -> None:
        """Does nothing: the list is the configuration's."""

    def close(self) -> None:
        """Does nothing: no connection is open."""
