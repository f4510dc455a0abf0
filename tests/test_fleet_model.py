"""Model check of the precedence of records for one member, as known to itself and to two others.

Records can be lost, duplicated and reordered; the member can crash, restart and leave.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest
from msgspec import structs

from laureldock.fleet import precedence
from laureldock.fleet.messages import ALIVE, FAILED, LEFT, SUSPECT, MemberRecord

Supersedes = Callable[[MemberRecord, MemberRecord | None], bool]
Refutation = Callable[[MemberRecord, MemberRecord], MemberRecord | None]
INITIAL_RECORD = MemberRecord("x", "s", "h:1", 1, 1, 0, ALIVE)
DEPTH = 10  # events, deliveries included; each state is expanded once, at its least depth


@dataclass(frozen=True, slots=True)
class State:
    """The records of member x: its own (None while it is down), those of two others, and those in transit.

    A record in transit may be delivered at any time, repeatedly or never, so it stays in `sent`.
    """

    own: MemberRecord | None
    starts: int
    first: MemberRecord
    second: MemberRecord
    sent: frozenset[MemberRecord]


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules of precedence to check."""

    supersedes: Supersedes = precedence.supersedes
    refutation: Refutation = precedence.refutation
    suspicion: bool = True  # a member is suspected before it is declared failed


def successors(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Yield all events that can occur in a state, with the states that result."""
    if state.own is None and state.starts < 3:
        own = structs.replace(INITIAL_RECORD, generation=state.starts + 1)
        yield "start", replace(state, own=own, starts=state.starts + 1, sent=state.sent | {own})
    if state.own is not None:
        yield "crash", replace(state, own=None)
        left = structs.replace(state.own, state=LEFT, incarnation=state.own.incarnation + 1)
        yield "leave", replace(state, own=None, sent=state.sent | {left})
        for record in state.sent:
            if refuting_record := rules.refutation(record, state.own):
                yield "refute", replace(state, own=refuting_record, sent=state.sent | {refuting_record})
    for side in ("first", "second"):
        member_record: MemberRecord = getattr(state, side)
        steps = {ALIVE: SUSPECT if rules.suspicion else FAILED, SUSPECT: FAILED}
        if member_record.state in steps:
            record = structs.replace(member_record, state=steps[member_record.state])
            yield "declare", replace(state, **{side: record}, sent=state.sent | {record})  # type: ignore[arg-type]
        for record in state.sent:
            if rules.supersedes(record, member_record):
                yield "deliver", replace(state, **{side: record})  # type: ignore[arg-type]


def converge(state: State, rules: Rules) -> State | None:
    """Deliver all records repeatedly, without other events, until nothing changes; None if it never ends."""
    for _ in range(40):
        sent, own = set(state.sent) | {state.first, state.second}, state.own
        for record in sorted(sent, key=repr):
            if own is not None and (refuting_record := rules.refutation(record, own)):
                own = refuting_record
                sent.add(own)
        first, second = state.first, state.second
        for record in sorted(sent, key=repr):
            first = record if rules.supersedes(record, first) else first
            second = record if rules.supersedes(record, second) else second
        after = State(own, state.starts, first, second, frozenset(sent))
        if after == state:
            return state
        state = after
    return None


def violations(before: State, name: str, after: State, rules: Rules) -> Iterator[str]:
    """Yield the violations of safety by one event."""
    for side in ("first", "second"):
        previous, current = getattr(before, side), getattr(after, side)
        if current.start_key < previous.start_key or (
            current.start_key == previous.start_key and current.incarnation < previous.incarnation
        ):
            yield f"{side} went back from {previous} to {current} by {name}"
        same = current.start_key == previous.start_key and current.incarnation == previous.incarnation
        if same and previous.state in (FAILED, LEFT) and current.state in (ALIVE, SUSPECT):
            yield f"{side} revived {previous} by a record from before its failure"
        if name == "declare" and previous.state == ALIVE and current.state == FAILED:
            yield "declared failed without time to refute"


def convergence_violations(state: State, rules: Rules) -> Iterator[str]:
    """Yield what prevents agreement if no further faults occur."""
    end = converge(state, rules)
    if end is None:
        yield "records circulate for ever"
    elif end.first != end.second:
        yield f"they disagree for ever: {end.first} and {end.second}"
    elif end.own is not None and (end.first.start_key, end.first.state) != (end.own.start_key, ALIVE):
        yield f"it runs as {end.own}, and is known as {end.first}"


def explore(rules: Rules, depth: int) -> tuple[int, str]:
    """Return the number of states up to a depth, and the first violation found."""
    start = State(INITIAL_RECORD, 1, INITIAL_RECORD, INITIAL_RECORD, frozenset({INITIAL_RECORD}))
    frontier, known = [start], {start}
    for _ in range(depth):
        next_frontier: list[State] = []
        for state in frontier:
            for name, after in successors(state, rules):
                for violation in violations(state, name, after, rules):
                    return len(known), violation
                if after not in known:
                    known.add(after)
                    next_frontier.append(after)
                    for violation in convergence_violations(after, rules):
                        return len(known), violation
        frontier = next_frontier
    return len(known), ""


def test_no_older_record_wins_and_every_state_converges(capsys: pytest.CaptureFixture[str]) -> None:
    states, violation = explore(Rules(), DEPTH)
    with capsys.disabled():
        print(f"\nrecords of members: {states} states to a depth of {DEPTH}")
    assert not violation, violation
    assert states > 10000


def ignore_incarnation(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    return (
        precedence.supersedes(claimed, known)
        if known is None or claimed.start_key != known.start_key
        else claimed.state > known.state
    )


def revive_failed(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    is_revival = (
        known is not None
        and claimed.start_key == known.start_key
        and (claimed.state, known.state) == (ALIVE, FAILED)
    )
    return is_revival or precedence.supersedes(claimed, known)


def ignore_generation(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    return precedence.supersedes(
        structs.replace(claimed, generation=1), known and structs.replace(known, generation=1)
    )


def ties_supersede(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    """Of two equal records the one delivered later wins, so they supersede each other in turn."""
    is_tie = known is not None and (claimed.start_key, claimed.incarnation) == (
        known.start_key,
        known.incarnation,
    )
    return (is_tie and claimed != known and ALIVE not in (claimed.state,)) or precedence.supersedes(
        claimed, known
    )


def refutation_without_increment(claimed: MemberRecord, own: MemberRecord) -> MemberRecord | None:
    return own if precedence.refutation(claimed, own) else None


@pytest.mark.parametrize(
    ("name", "rules"),
    [
        ("incarnation ignored", Rules(supersedes=ignore_incarnation)),
        ("failed member revived by an older record", Rules(supersedes=revive_failed)),
        ("generation ignored", Rules(supersedes=ignore_generation)),
        ("ties win", Rules(supersedes=ties_supersede)),
        ("refuted without a greater incarnation", Rules(refutation=refutation_without_increment)),
        ("never refuted", Rules(refutation=lambda claimed, own: None)),
        ("suspicion skipped", Rules(suspicion=False)),
    ],
)
def test_each_faulty_rule_set_is_detected(name: str, rules: Rules) -> None:
    _, violation = explore(rules, DEPTH)
    assert violation, name
