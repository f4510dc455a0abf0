"""The gossip queue: records still to be spread, each on a limited number of datagrams. No I/O."""

from __future__ import annotations

import heapq
from itertools import count
from math import ceil, log10
from typing import NamedTuple

from laureldock.fleet.messages import MemberRecord, encoded_size

# Each member that heard a record sends it 4 log10(n + 1) times (memberlist's default), by which all n have it
# with high probability; anti-entropy brings the rest.
RETRANSMIT_MULTIPLIER = 4


class QueuedRecord(NamedTuple):
    """A record to be spread; sorts by how often it was sent, then by age."""

    transmissions: int
    serial: int
    record: MemberRecord
    size: int  # bytes, encoded


class GossipQueue:
    """The latest record of each member that has news, the least sent first."""

    def __init__(self) -> None:
        self._queue: dict[str, QueuedRecord] = {}
        self._serial = count()

    def __len__(self) -> int:
        return len(self._queue)

    def enqueue(self, record: MemberRecord) -> None:
        """Queue a record, in place of an older one of the same member."""
        self._queue[record.name] = QueuedRecord(0, next(self._serial), record, encoded_size(record))

    def remove(self, name: str) -> None:
        """Drop what is queued of a member, if anything."""
        self._queue.pop(name, None)

    def select(
        self, max_bytes: int, members: int, max_records: int, first: MemberRecord | None = None
    ) -> tuple[MemberRecord, ...]:
        """Records for one datagram, counted as sent; `first` goes in any case, and is not counted.

        `members` is how many are present: it sets how often a record is sent before it leaves the queue.
        """
        selected = []
        if first is not None:
            selected.append(first)
            max_bytes -= encoded_size(first)
        max_transmissions = RETRANSMIT_MULTIPLIER * ceil(log10(members + 1))
        for queued in heapq.nsmallest(max_records - len(selected), self._queue.values()):
            if queued.size > max_bytes:
                break
            if first is not None and queued.record.name == first.name:
                continue
            max_bytes -= queued.size
            selected.append(queued.record)
            self._count_transmission(queued, max_transmissions)
        return tuple(selected)

    def _count_transmission(self, queued: QueuedRecord, max_transmissions: int) -> None:
        if queued.transmissions + 1 >= max_transmissions:
            del self._queue[queued.record.name]
        else:
            self._queue[queued.record.name] = queued._replace(transmissions=queued.transmissions + 1)
