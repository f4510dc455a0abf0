"""The precedence of words in every order: loss, doubling, reordering, crash and restart, three members."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest
from msgspec import structs

from laureldock.fleet import precedence
from laureldock.fleet.messages import ALIVE, FAILED, LEFT, SUSPECT, MemberRecord

Wins = Callable[[MemberRecord, MemberRecord | None], bool]
Refuted = Callable[[MemberRecord, MemberRecord], MemberRecord | None]
FIRST = MemberRecord("x", "s", "h:1", 1, 1, 0, ALIVE)
DEPTH = 10  # events that are no delivery or are one; each state is expanded once at its least depth


@dataclass(frozen=True, slots=True)
class State:
    """What is known of member x: by itself (None while it is down), by two others, and on its way.

    A word on its way may come now, later, twice or never: it stays among `sent`.
    """

    own: MemberRecord | None
    starts: int
    first: MemberRecord
    second: MemberRecord
    sent: frozenset[MemberRecord]


@dataclass(frozen=True, slots=True)
class Rules:
    supersedes: Wins = precedence.supersedes
    refutation: Refuted = precedence.refutation
    suspicion: bool = True  # before anyone fails it


def following(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    """Everything that may happen next."""
    if state.own is None and state.starts < 3:
        own = structs.replace(FIRST, generation=state.starts + 1)
        yield "start", replace(state, own=own, starts=state.starts + 1, sent=state.sent | {own})
    if state.own is not None:
        yield "crash", replace(state, own=None)
        left = structs.replace(state.own, state=LEFT, incarnation=state.own.incarnation + 1)
        yield "leave", replace(state, own=None, sent=state.sent | {left})
        for record in state.sent:
            if answer := rules.refutation(record, state.own):
                yield "refute", replace(state, own=answer, sent=state.sent | {answer})
    for side in ("first", "second"):
        held: MemberRecord = getattr(state, side)
        steps = {ALIVE: SUSPECT if rules.suspicion else FAILED, SUSPECT: FAILED}
        if held.state in steps:
            record = structs.replace(held, state=steps[held.state])
            yield "judge", replace(state, **{side: record}, sent=state.sent | {record})  # type: ignore[arg-type]
        for record in state.sent:
            if rules.supersedes(record, held):
                yield "deliver", replace(state, **{side: record})  # type: ignore[arg-type]


def settled(state: State, rules: Rules) -> State | None:
    """All that is on its way comes, again and again, and nothing else happens; None if that never ends."""
    for _ in range(40):
        sent, own = set(state.sent) | {state.first, state.second}, state.own
        for record in sorted(sent, key=repr):
            if own is not None and (answer := rules.refutation(record, own)):
                own = answer
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


def faults(before: State, name: str, after: State, rules: Rules) -> Iterator[str]:
    for side in ("first", "second"):
        old, new = getattr(before, side), getattr(after, side)
        if new.start_key < old.start_key or (
            new.start_key == old.start_key and new.incarnation < old.incarnation
        ):
            yield f"{side} went back from {old} to {new} by {name}"
        same = new.start_key == old.start_key and new.incarnation == old.incarnation
        if same and old.state in (FAILED, LEFT) and new.state in (ALIVE, SUSPECT):
            yield f"{side} revived {old} by an old word"
        if name == "judge" and old.state == ALIVE and new.state == FAILED:
            yield "failed without a time to refute"


def ends(state: State, rules: Rules) -> Iterator[str]:
    """From here on nothing fails: do all agree?"""
    end = settled(state, rules)
    if end is None:
        yield "words go round for ever"
    elif end.first != end.second:
        yield f"they disagree for ever: {end.first} and {end.second}"
    elif end.own is not None and (end.first.start_key, end.first.state) != (end.own.start_key, ALIVE):
        yield f"it lives as {end.own}, and is held to be {end.first}"


def walk(rules: Rules, depth: int) -> tuple[int, str]:
    """How many states there are to that depth, and the first fault found."""
    start = State(FIRST, 1, FIRST, FIRST, frozenset({FIRST}))
    layer, known = [start], {start}
    for _ in range(depth):
        fresh: list[State] = []
        for state in layer:
            for name, after in following(state, rules):
                for fault in faults(state, name, after, rules):
                    return len(known), fault
                if after not in known:
                    known.add(after)
                    fresh.append(after)
                    for fault in ends(after, rules):
                        return len(known), fault
        layer = fresh
    return len(known), ""


def test_no_older_word_wins_and_every_way_leads_back_to_agreement(capsys: pytest.CaptureFixture[str]) -> None:
    states, fault = walk(Rules(), DEPTH)
    with capsys.disabled():
        print(f"\nwords of members: {states} states to a depth of {DEPTH}")
    assert not fault, fault
    assert states > 10000


def incarnation_ignored(told: MemberRecord, known: MemberRecord | None) -> bool:
    return (
        precedence.supersedes(told, known)
        if known is None or told.start_key != known.start_key
        else told.state > known.state
    )


def revived(told: MemberRecord, known: MemberRecord | None) -> bool:
    old = (
        known is not None
        and told.start_key == known.start_key
        and (told.state, known.state) == (ALIVE, FAILED)
    )
    return old or precedence.supersedes(told, known)


def generation_ignored(told: MemberRecord, known: MemberRecord | None) -> bool:
    return precedence.supersedes(
        structs.replace(told, generation=1), known and structs.replace(known, generation=1)
    )


def ties_win(told: MemberRecord, known: MemberRecord | None) -> bool:
    """Of two equal words the later to come wins: they take turns."""
    level = known is not None and (told.start_key, told.incarnation) == (known.start_key, known.incarnation)
    return (level and told != known and ALIVE not in (told.state,)) or precedence.supersedes(told, known)


def not_raised(told: MemberRecord, mine: MemberRecord) -> MemberRecord | None:
    return mine if precedence.refutation(told, mine) else None


@pytest.mark.parametrize(
    ("name", "rules"),
    [
        ("incarnation ignored", Rules(supersedes=incarnation_ignored)),
        ("dead revived by an old word", Rules(supersedes=revived)),
        ("generation ignored", Rules(supersedes=generation_ignored)),
        ("ties win", Rules(supersedes=ties_win)),
        ("refuted without a greater incarnation", Rules(refutation=not_raised)),
        ("never refuted", Rules(refutation=lambda told, mine: None)),
        ("suspicion skipped", Rules(suspicion=False)),
    ],
)
def test_each_sabotaged_copy_is_caught(name: str, rules: Rules) -> None:
    _, fault = walk(rules, DEPTH)
    assert fault, name
