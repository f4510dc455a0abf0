"""Members as one of them knows them: which word wins over which, and digests that are equal where views are.

The precedence is the whole of what keeps views from going back: it is a table, and the model check of
`tests/test_fleet_model.py` walks every order in which words can come. No I/O, no clock of its own.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from msgspec import structs
from xxhash import xxh3_64_intdigest

from laureldock.fleet.messages import ALIVE, FAILED, LEFT, SUSPECT, MemberRecord

# Of one start of a member: which incarnation a told word must have to win over the known one. A later start
# wins whatever it says, and an earlier one never does. Only the member itself raises its incarnation, so
# an older word never wins, and nobody is revived by what was said before it failed. Left is the member's
# own last word (or the operators', of one that failed).
PRECEDENCE = {
    (ALIVE, ALIVE): "greater",
    (ALIVE, SUSPECT): "greater",
    (ALIVE, FAILED): "greater",
    (ALIVE, LEFT): "never",
    (SUSPECT, ALIVE): "as great",
    (SUSPECT, SUSPECT): "greater",
    (SUSPECT, FAILED): "greater",
    (SUSPECT, LEFT): "never",
    (FAILED, ALIVE): "as great",
    (FAILED, SUSPECT): "as great",
    (FAILED, FAILED): "greater",
    (FAILED, LEFT): "never",
    (LEFT, ALIVE): "as great",
    (LEFT, SUSPECT): "as great",
    (LEFT, FAILED): "as great",
    (LEFT, LEFT): "never",
}
# What is told to those who use the view, by the state known before and the one that won; "" is nothing.
TRANSITION_EVENTS = {
    (None, ALIVE): "joined",
    (None, SUSPECT): "joined",
    (ALIVE, SUSPECT): "suspected",
    (SUSPECT, ALIVE): "refuted",
    (ALIVE, FAILED): "failed",
    (SUSPECT, FAILED): "failed",
    (FAILED, ALIVE): "returned",
    (FAILED, SUSPECT): "returned",
    (LEFT, ALIVE): "returned",
    (LEFT, SUSPECT): "returned",
    (ALIVE, LEFT): "left",
    (SUSPECT, LEFT): "left",
    (FAILED, LEFT): "left",
}
PRESENT_STATES = (ALIVE, SUSPECT)
# Of the buckets that a stream compares: one differing member costs the words of a 64th of the fleet.
DIGEST_BUCKETS = 64


def wins(told: MemberRecord, known: MemberRecord | None) -> bool:
    """Whether a word takes the place of the known one."""
    if known is None or told.era != known.era:
        return known is None or told.era > known.era
    match PRECEDENCE[told.state, known.state]:
        case "greater":
            return told.incarnation > known.incarnation
        case "as great":
            return told.incarnation >= known.incarnation
    return False


def refuted(told: MemberRecord, mine: MemberRecord) -> MemberRecord | None:
    """A member's own next word after a false one of the same start: nobody else raises its incarnation."""
    false = told.era == mine.era and told.state != ALIVE and told.incarnation >= mine.incarnation
    return structs.replace(mine, incarnation=told.incarnation + 1, state=ALIVE) if false else None


def mark(word: MemberRecord) -> int:
    """What a member adds to the digest: nought where it is not here, so that forgetting changes nothing."""
    if word.state not in PRESENT_STATES:
        return 0
    text = f"{word.name}|{word.site}|{word.address}|{word.generation}|{word.boot}|{word.incarnation}"
    return xxh3_64_intdigest(f"{text}|{word.state}|{word.lameduck}".encode()) >> 2


def bucket(name: str) -> int:
    return xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS


@dataclass(eq=False, slots=True)
class Member:
    word: MemberRecord
    since: float  # when it got its state here
    heard: float = float("-inf")  # when a datagram of it came
    load: int = 0  # as it last told
    called: float = float("-inf")  # when it was last called again, having failed
    confirmed: set[str] = field(default_factory=set)  # who said it is suspect, besides this member
    place: int = 0  # its bucket
    index: int = 0  # in `Roll.order`


class MemberTable:
    """All members that are known, by name, and the digests over those that are here."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.members: dict[str, Member] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.here = self.alive = 0
        self.gone: dict[str, Member] = {}  # those that failed or left
        self.order: list[Member] = []  # in no order that matters: chance picks by place

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def full(self) -> bool:
        """Guards memory against made-up members: no more are taken on until some are forgotten."""
        return len(self.members) >= self.most

    def put(self, now: float, word: MemberRecord) -> Member:
        """Set a member's word, whatever was known. The caller has asked `wins`."""
        member = self.members.get(word.name)
        if member is None:
            member = Member(word, now, place=bucket(word.name), index=len(self.order))
            self.members[word.name] = member
            self.order.append(member)
        else:
            self.count(member, -1)
            if member.word.state != word.state or member.word.era != word.era:
                member.since = now
                member.confirmed.clear()
            member.word = word
        self.count(member, 1)
        return member

    def drop(self, name: str) -> None:
        member = self.members.pop(name)
        self.count(member, -1)
        self.gone.pop(name, None)
        last = self.order.pop()
        if last is not member:
            self.order[member.index], last.index = last, member.index

    def count(self, member: Member, sign: int) -> None:
        found = mark(member.word)
        self.digests[member.place] ^= found
        self.digest ^= found
        if member.word.state in PRESENT_STATES:
            self.here += sign
            self.alive += sign * (member.word.state == ALIVE)
            self.gone.pop(member.word.name, None)
        elif sign > 0:
            self.gone[member.word.name] = member
