"""Receivers listed in the configuration itself; read again with it."""

from __future__ import annotations

from dataclasses import replace

from laureldock import interface as face
from laureldock.core.seams import News
from laureldock.setup.entries import kind_of, name_of
from laureldock.setup.plan import Plan
from laureldock.tariff import Entry

Listing = dict[str, tuple[Entry, str]]  # by name, each with where to dial


def number_of(destination: str) -> int | str:
    """As fronts name it."""
    return int(destination) if destination.isdigit() else destination


def entries(plan: Plan) -> list[tuple[Entry, str]]:
    return [
        (
            Entry(
                name_of(each),
                number_of(each.destination),
                each.zone,
                kind_of(plan, each.destination),
                each.rate,
                face.Listed.UP,
            ),
            str(each.address),
        )
        for each in plan.endpoints
    ]


def listing(plan: Plan) -> Listing:
    return {entry.name: (entry, dial) for entry, dial in entries(plan)}


def owner(entry: Entry) -> tuple[int | str, str]:
    return entry.destination, entry.kind


class Listed:
    def __init__(self, core: News, held: Listing) -> None:
        self.core, self.held = core, held

    def start(self) -> None:
        self.core.news(list(self.held.values()), True)

    def reread(self, fresh: Listing) -> None:
        """Tell what differs. What is listed no more drains: what is out there runs on, nothing new goes."""
        before, self.held = self.held, fresh
        gone = [
            (replace(entry, listed=face.Listed.REMOVED), dial)
            for name, (entry, dial) in before.items()
            if name not in fresh or owner(fresh[name][0]) != owner(entry)
        ]
        told = [each for name, each in fresh.items() if before.get(name) != each]
        # Guards mails against a name that moved: its route is the old destination's until it is gone.
        for news in (gone, told):
            if news:
                self.core.guard(self.core.news, news, False)

    settled = True

    def ask(self, asked: face.AskList) -> None:
        """There is nobody to ask."""

    def close(self) -> None:
        """Nothing is open."""
