"""Precedence of settings, against what it means: an entry beats another if it covers less of the same."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from laureldock.setup.terms import EVERYWHERE, Level, Scope, TermsIndex

CLASSES = ("a", "b")
KINDS = {"k1": ("d1", "d2"), "k2": ("d3", "d4")}
OWNERS = {destination: kind for kind, owned in KINDS.items() for destination in owned}
ROUTES = {f"{destination}/{number}": destination for destination in OWNERS for number in (1, 2)}
CELLS = frozenset(product(CLASSES, ROUTES))


class Written(NamedTuple):
    queue_class: str
    scope: Scope
    value: int

    def covers(self) -> frozenset[tuple[str, str]]:
        level, name = self.scope
        names = {
            route: {Level.ANY: "", Level.KIND: OWNERS[owner], Level.DESTINATION: owner, Level.ROUTE: route}
            for route, owner in ROUTES.items()
        }
        return frozenset(
            (sort, route)
            for sort, route in CELLS
            if self.queue_class in ("", sort) and names[route][level] == name
        )


places = st.one_of(
    st.just(EVERYWHERE),
    *(
        st.tuples(st.just(level), st.sampled_from(sorted(names)))
        for level, names in ((Level.KIND, KINDS), (Level.DESTINATION, OWNERS), (Level.ROUTE, ROUTES))
    ),
)
entries = st.builds(Written, st.sampled_from(["", *CLASSES]), places, st.integers(1, 3))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(entries, max_size=8))
def test_what_holds_is_what_covers_least_and_what_cannot_be_told_is_a_conflict(
    written: list[Written],
) -> None:
    book = TermsIndex()
    for place, each in enumerate(written):
        assert book.add("time_out", each.value, ("terms", place), each.queue_class, each.scope) is None
    for sort, route in CELLS:
        destination = ROUTES[route]
        where: list[Scope] = [
            (Level.KIND, OWNERS[destination]), (Level.DESTINATION, destination), (Level.ROUTE, route)
        ]  # fmt: skip
        fit = [each for each in written if (sort, route) in each.covers()]
        least = {each.value for each in fit if not any(other.covers() < each.covers() for other in fit)}
        conflicts = list(book.conflicts(sort, where))
        assert bool(conflicts) == (len(least) > 1)
        if len(least) <= 1:
            assert book.value("time_out", sort, where, None) == next(iter(least), None)
        else:
            assert all(fault.also and fault.path != fault.also for fault in conflicts)


def test_a_setting_stands_only_where_it_can_be_told() -> None:
    book = TermsIndex()
    for setting, queue_class, scope in (
        ("window", "a", (Level.DESTINATION, "d1")), ("window", "", EVERYWHERE),
        ("connects", "", (Level.ROUTE, "d1/1")), ("retry_after", "a", (Level.ROUTE, "d1/1")),
    ):  # fmt: skip
        fault = book.add(setting, 1, ("terms", 0, setting), queue_class, scope)
        assert fault and setting in fault.reason and fault.allowed
    assert not book.settings
