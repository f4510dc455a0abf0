"""Receivers listed in the configuration itself; read again with it."""

from __future__ import annotations

from dataclasses import replace

from laureldock import interface as face
from laureldock.core.seams import News
from laureldock.setup.entries import kind_of, name_of
from laureldock.setup.plan import Plan
from laureldock.tariff import Entry


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


def owner(entry: Entry) -> tuple[int | str, str]:
    return entry.destination, entry.kind


class Listed:
    def __init__(self, core: News, plan: Plan) -> None:
        self.core, self.plan = core, plan

    def start(self) -> None:
        self.core.news(entries(self.plan), True)

    def reread(self, plan: Plan) -> None:
        """Tell what differs. What is listed no more drains: what is out there runs on, nothing new goes."""
        before = {entry.name: (entry, dial) for entry, dial in entries(self.plan)}
        after = {entry.name: (entry, dial) for entry, dial in entries(plan)}
        self.plan = plan
        gone = [
            (replace(entry, listed=face.Listed.REMOVED), dial)
            for name, (entry, dial) in before.items()
            if name not in after or owner(after[name][0]) != owner(entry)
        ]
        told = [each for name, each in after.items() if before.get(name) != each]
        # Guards mails against a name that moved: its route is the old destination's until it is gone.
        for news in (gone, told):
            if news:
                self.core.guard(self.core.news, news, False)

    def ask(self, asked: face.AskList) -> None:
        """There is nobody to ask."""

    def close(self) -> None:
        """Nothing is open."""
