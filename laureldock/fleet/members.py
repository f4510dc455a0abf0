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


def supersedes(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    """Whether a word takes the place of the known one."""
    if known is None or claimed.start_key != known.start_key:
        return known is None or claimed.start_key > known.start_key
    match PRECEDENCE[claimed.state, known.state]:
        case "greater":
            return claimed.incarnation > known.incarnation
        case "as great":
            return claimed.incarnation >= known.incarnation
    return False


def refutation(claimed: MemberRecord, own: MemberRecord) -> MemberRecord | None:
    """A member's own next word after a false one of the same start: nobody else raises its incarnation."""
    is_false = (
        claimed.start_key == own.start_key
        and claimed.state != ALIVE
        and claimed.incarnation >= own.incarnation
    )
    return structs.replace(own, incarnation=claimed.incarnation + 1, state=ALIVE) if is_false else None


def record_digest(record: MemberRecord) -> int:
    """What a member adds to the digest: nought where it is not here, so that forgetting changes nothing."""
    if record.state not in PRESENT_STATES:
        return 0
    text = f"{record.name}|{record.site}|{record.address}"
    text += f"|{record.generation}|{record.boot_id}|{record.incarnation}"
    return xxh3_64_intdigest(f"{text}|{record.state}|{record.lameduck}".encode()) >> 2


def bucket_of(name: str) -> int:
    return xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS


@dataclass(eq=False, slots=True)
class Member:
    record: MemberRecord
    state_since: float  # when it got its state here
    last_heard: float = float("-inf")  # when a datagram of it came
    load: int = 0  # as it last told
    last_called: float = float("-inf")  # when it was last called again, having failed
    confirmed_by: set[str] = field(default_factory=set)  # who said it is suspect, besides this member
    bucket: int = 0  # its bucket
    index: int = 0  # in `Roll.order`


class MemberTable:
    """All members that are known, by name, and the digests over those that are here."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.members: dict[str, Member] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.present_count = self.alive_count = 0
        self.absent: dict[str, Member] = {}  # those that failed or left
        self.by_index: list[Member] = []  # in no order that matters: chance picks by place

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def get(self, name: str) -> Member | None:
        return self.members.get(name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def is_full(self) -> bool:
        """Guards memory against made-up members: no more are taken on until some are forgotten."""
        return len(self.members) >= self.capacity

    def put(self, now: float, record: MemberRecord) -> Member:
        """Set a member's word, whatever was known. The caller has asked `wins`."""
        member = self.members.get(record.name)
        if member is None:
            member = Member(record, now, bucket=bucket_of(record.name), index=len(self.by_index))
            self.members[record.name] = member
            self.by_index.append(member)
        else:
            self.account_for(member, -1)
            if member.record.state != record.state or member.record.start_key != record.start_key:
                member.state_since = now
                member.confirmed_by.clear()
            member.record = record
        self.account_for(member, 1)
        return member

    def remove(self, name: str) -> None:
        member = self.members.pop(name)
        self.account_for(member, -1)
        self.absent.pop(name, None)
        last = self.by_index.pop()
        if last is not member:
            self.by_index[member.index], last.index = last, member.index

    def account_for(self, member: Member, sign: int) -> None:
        digest_part = record_digest(member.record)
        self.digests[member.bucket] ^= digest_part
        self.digest ^= digest_part
        if member.record.state in PRESENT_STATES:
            self.present_count += sign
            self.alive_count += sign * (member.record.state == ALIVE)
            self.absent.pop(member.record.name, None)
        elif sign > 0:
            self.absent[member.record.name] = member
