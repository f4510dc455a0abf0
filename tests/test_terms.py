"""Precedence of settings, against its definition: an entry overrides another if it covers a proper subset."""

from __future__ import annotations

from itertools import product
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from laureldock.setup.terms import EVERYWHERE, Level, Scope, TermsIndex

CLASSES = ("a", "b")
KINDS = {"k1": ("d1", "d2"), "k2": ("d3", "d4")}
KIND_OF = {destination: kind for kind, owned in KINDS.items() for destination in owned}
ROUTES = {f"{destination}/{number}": destination for destination in KIND_OF for number in (1, 2)}
CELLS = frozenset(product(CLASSES, ROUTES))


class SetTerm(NamedTuple):
    queue_class: str
    scope: Scope
    value: int

    def covers(self) -> frozenset[tuple[str, str]]:
        level, name = self.scope
        names = {
            route: {
                Level.ANY: "",
                Level.KIND: KIND_OF[destination],
                Level.DESTINATION: destination,
                Level.ROUTE: route,
            }
            for route, destination in ROUTES.items()
        }
        return frozenset(
            (queue_class, route)
            for queue_class, route in CELLS
            if self.queue_class in ("", queue_class) and names[route][level] == name
        )


scopes = st.one_of(
    st.just(EVERYWHERE),
    *(
        st.tuples(st.just(level), st.sampled_from(sorted(names)))
        for level, names in ((Level.KIND, KINDS), (Level.DESTINATION, KIND_OF), (Level.ROUTE, ROUTES))
    ),
)
entries = st.builds(SetTerm, st.sampled_from(["", *CLASSES]), scopes, st.integers(1, 3))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(entries, max_size=8))
def test_the_narrowest_setting_is_in_force_and_an_ambiguous_one_is_a_conflict(
    entered: list[SetTerm],
) -> None:
    index = TermsIndex()
    for place, each in enumerate(entered):
        assert index.add("time_out", each.value, ("terms", place), each.queue_class, each.scope) is None
    for queue_class, route in CELLS:
        destination = ROUTES[route]
        where: list[Scope] = [
            (Level.KIND, KIND_OF[destination]), (Level.DESTINATION, destination), (Level.ROUTE, route)
        ]  # fmt: skip
        matching = [each for each in entered if (queue_class, route) in each.covers()]
        narrowest = {
            each.value for each in matching if not any(other.covers() < each.covers() for other in matching)
        }
        conflicts = list(index.conflicts(queue_class, where))
        assert bool(conflicts) == (len(narrowest) > 1)
        if len(narrowest) <= 1:
            assert index.value("time_out", queue_class, where, None) == next(iter(narrowest), None)
        else:
            assert all(fault.also and fault.path != fault.also for fault in conflicts)


def test_a_setting_is_accepted_only_in_its_allowed_scopes() -> None:
    index = TermsIndex()
    for setting, queue_class, scope in (
        ("window", "a", (Level.DESTINATION, "d1")), ("window", "", EVERYWHERE),
        ("connects", "", (Level.ROUTE, "d1/1")), ("retry_after", "a", (Level.ROUTE, "d1/1")),
    ):  # fmt: skip
        fault = index.add(setting, 1, ("terms", 0, setting), queue_class, scope)
        assert fault and setting in fault.reason and fault.allowed
    assert not index.settings
