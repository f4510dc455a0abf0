"""The gossip queue: records to disseminate, each on a limited number of datagrams. No I/O."""

from __future__ import annotations

import heapq
from itertools import count
from math import ceil, log10
from typing import NamedTuple

from laureldock.fleet.messages import MemberRecord, encoded_size

# Each member that receives a record transmits it 4 log10(n + 1) times (memberlist's default), which reaches
# all n members with high probability; anti-entropy repairs the rest.
RETRANSMIT_MULTIPLIER = 4


class QueuedRecord(NamedTuple):
    """A record to disseminate; sorts by the number of transmissions, then by age."""

    transmissions: int
    serial: int
    record: MemberRecord
    size: int  # encoded size in bytes


class GossipQueue:
    """The latest queued record of each member; those with the fewest transmissions are sent first."""

    def __init__(self) -> None:
        self._queue: dict[str, QueuedRecord] = {}
        self._serial = count()

    def __len__(self) -> int:
        return len(self._queue)

    def enqueue(self, record: MemberRecord) -> None:
        """Queue a record; it replaces a queued record of the same member."""
        self._queue[record.name] = QueuedRecord(0, next(self._serial), record, encoded_size(record))

    def remove(self, name: str) -> None:
        """Remove the queued record of a member, if any."""
        self._queue.pop(name, None)

    def select(
        self, max_bytes: int, members: int, max_records: int, first: MemberRecord | None = None
    ) -> tuple[MemberRecord, ...]:
        """Return records for one datagram, and count their transmission.

        `first` is always included, and its transmission is not counted. `members` is the number of present
        members; it determines how often a record is transmitted before it is removed from the queue.
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
