"""What is still to be told: each word rides on so many datagrams, the least told first. No I/O."""

from __future__ import annotations

import heapq
from itertools import count
from math import ceil, log10

from laureldock.fleet.messages import MemberRecord, encoded_size

# Each word goes 4 log10(n + 1) times from each that heard it (as memberlist's default), by which all of n
# have it but for chance; streams bring the rest.
RETRANSMIT_MULTIPLIER = 4


class GossipQueue:
    def __init__(self) -> None:
        self.queue: dict[str, tuple[int, int, MemberRecord, int]] = {}  # times, serial, word, its size
        self.serial = count()

    def __len__(self) -> int:
        return len(self.queue)

    def enqueue(self, record: MemberRecord) -> None:
        """A newer word of a member takes the place of the older one."""
        self.queue[record.name] = (0, next(self.serial), record, encoded_size(record))

    def remove(self, name: str) -> None:
        self.queue.pop(name, None)

    def select(
        self, max_bytes: int, members: int, max_records: int, first: MemberRecord | None = None
    ) -> tuple[MemberRecord, ...]:
        """Words for one datagram, at most so many, within `room` bytes; `first` goes whatever was told."""
        selected, max_transmissions = [], RETRANSMIT_MULTIPLIER * ceil(log10(members + 1))
        if first is not None:
            selected.append(first)
            max_bytes -= encoded_size(first)
        for transmissions, serial, record, size in heapq.nsmallest(
            max_records - len(selected), self.queue.values()
        ):
            if size > max_bytes:
                break
            if first is not None and record.name == first.name:
                continue
            max_bytes -= size
            selected.append(record)
            if transmissions + 1 >= max_transmissions:
                del self.queue[record.name]
            else:
                self.queue[record.name] = (transmissions + 1, serial, record, size)
        return tuple(selected)
