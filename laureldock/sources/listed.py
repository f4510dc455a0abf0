"""Receivers listed in the configuration itself; read again with it."""

from __future__ import annotations

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


class Listed:
    def __init__(self, core: News, plan: Plan) -> None:
        self.core, self.plan = core, plan

    def start(self) -> None:
        self.core.news(entries(self.plan), True)

    def reread(self, plan: Plan) -> None:
        """What is listed no more drains: what is out there runs on, nothing new goes."""
        self.plan = plan
        self.core.guard(self.core.news, entries(plan), True)

    def ask(self, asked: face.AskList) -> None:
        """There is nobody to ask."""

    def close(self) -> None:
        """Nothing is open."""
