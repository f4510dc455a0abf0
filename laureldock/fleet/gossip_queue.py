"""What is still to be told: each word rides on so many datagrams, the least told first. No I/O."""

from __future__ import annotations

import heapq
from itertools import count
from math import ceil, log10

from laureldock.fleet.messages import MemberRecord, size_of

# Each word goes 4 log10(n + 1) times from each that heard it (as memberlist's default), by which all of n
# have it but for chance; streams bring the rest.
RETRANSMIT_MULTIPLIER = 4


class GossipQueue:
    def __init__(self) -> None:
        self.told: dict[str, tuple[int, int, MemberRecord, int]] = {}  # times, serial, word, its size
        self.serial = count()

    def __len__(self) -> int:
        return len(self.told)

    def add(self, word: MemberRecord) -> None:
        """A newer word of a member takes the place of the older one."""
        self.told[word.name] = (0, next(self.serial), word, size_of(word))

    def drop(self, name: str) -> None:
        self.told.pop(name, None)

    def pick(
        self, room: int, members: int, most: int, first: MemberRecord | None = None
    ) -> tuple[MemberRecord, ...]:
        """Words for one datagram, at most so many, within `room` bytes; `first` goes whatever was told."""
        picked, limit = [], RETRANSMIT_MULTIPLIER * ceil(log10(members + 1))
        if first is not None:
            picked.append(first)
            room -= size_of(first)
        for times, serial, word, size in heapq.nsmallest(most - len(picked), self.told.values()):
            if size > room:
                break
            if first is not None and word.name == first.name:
                continue
            room -= size
            picked.append(word)
            if times + 1 >= limit:
                del self.told[word.name]
            else:
                self.told[word.name] = (times + 1, serial, word, size)
        return tuple(picked)
