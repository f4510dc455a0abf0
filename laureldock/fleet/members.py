"""The table of known members, and digests that are equal where views are equal. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from xxhash import xxh3_64_intdigest

from laureldock.fleet.messages import ALIVE, SUSPECT, MemberRecord

PRESENT_STATES = (ALIVE, SUSPECT)
# Digests compared by a stream: one differing member costs the transfer of the records of a 64th of the fleet.
DIGEST_BUCKETS = 64


def record_digest(record: MemberRecord) -> int:
    """Return what a record contributes to the digest: 0 if absent, so forgetting a member has no effect."""
    if record.state not in PRESENT_STATES:
        return 0
    text = f"{record.name}|{record.site}|{record.address}"
    text += f"|{record.generation}|{record.boot_id}|{record.incarnation}"
    return xxh3_64_intdigest(f"{text}|{record.state}|{record.lameduck}".encode()) >> 2


def bucket_of(name: str) -> int:
    """Return the digest bucket of a member."""
    return xxh3_64_intdigest(name.encode()) % DIGEST_BUCKETS


@dataclass(eq=False, slots=True)
class Member:
    """One known member: its record, and what the local member observed of it. Times are seconds."""

    record: MemberRecord
    state_changed_at: float  # when the present state was recorded in this view
    last_heard_at: float = float("-inf")  # when the last message from it was received
    load: int = 0  # 0 to 255, as it last reported
    last_pinged_at: float = float("-inf")  # when it was last pinged while it was absent
    confirmed_by: set[str] = field(default_factory=set)  # names of members that suspect it
    bucket: int = 0  # index of its digest bucket
    index: int = 0  # position in `MemberTable.by_index`


class MemberTable:
    """All known members by name, with the digests and counts of those that are present."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.members: dict[str, Member] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.present_count = self.alive_count = 0
        self.absent: dict[str, Member] = {}  # members that failed or left
        self.by_index: list[Member] = []  # in no particular order; for random selection

    def __getitem__(self, name: str) -> Member:
        return self.members[name]

    def get(self, name: str) -> Member | None:
        """Return the member of a name; None if it is not known."""
        return self.members.get(name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def is_full(self) -> bool:
        """Whether the table is at its capacity, which bounds memory; no new members are added then."""
        return len(self.members) >= self.capacity

    def put(self, now: float, record: MemberRecord) -> Member:
        """Set a member's record without a check of its precedence; that is up to the caller."""
        member = self.members.get(record.name)
        if member is None:
            member = Member(record, now, bucket=bucket_of(record.name), index=len(self.by_index))
            self.members[record.name] = member
            self.by_index.append(member)
        else:
            self._update_totals(member, -1)
            if member.record.state != record.state or member.record.start_key != record.start_key:
                member.state_changed_at = now
                member.confirmed_by.clear()
            member.record = record
        self._update_totals(member, 1)
        return member

    def remove(self, name: str) -> None:
        """Remove a member. Raises KeyError if it is not known."""
        member = self.members.pop(name)
        self._update_totals(member, -1)
        self.absent.pop(name, None)
        last = self.by_index.pop()
        if last is not member:
            self.by_index[member.index], last.index = last, member.index

    def _update_totals(self, member: Member, sign: int) -> None:
        """Add a member to the digests and counts; with sign -1 remove it from them."""
        contribution = record_digest(member.record)
        self.digests[member.bucket] ^= contribution
        self.digest ^= contribution
        if member.record.state in PRESENT_STATES:
            self.present_count += sign
            self.alive_count += sign * (member.record.state == ALIVE)
            self.absent.pop(member.record.name, None)
        elif sign > 0:
            self.absent[member.record.name] = member
