"""Anti-entropy: two members compare digests over a stream, and exchange the records of buckets that differ.

Gossip may miss a member by chance; a stream brings the rest. It has three frames: the digests of the side
that opened it, the other side's records of the buckets that differ, and the first side's records of these.
"""

from __future__ import annotations

from math import inf

from laureldock.fleet import messages
from laureldock.fleet.effects import OpenStream
from laureldock.fleet.members import PRESENT_STATES
from laureldock.fleet.merging import RecordMerger
from laureldock.fleet.messages import MAX_FRAME_RECORDS, Frame, MalformedMessageError, MemberRecord
from laureldock.fleet.sender import DatagramSender
from laureldock.fleet.state import ViewState

# Periods between streams to seeds that are not known to be present; one period while this member is alone.
SEED_INTERVAL = 5.0
SEED_INTERVAL_ALONE = 1.0


class AntiEntropy:
    """Opens streams to other members and to seeds, and answers the frames of both ends."""

    def __init__(self, state: ViewState, sender: DatagramSender, merger: RecordMerger) -> None:
        self._state, self._sender, self._merger = state, sender, merger
        self.seeds = list(state.settings.seeds)
        self._last_opened = -inf

    def start(self, now: float) -> None:
        """Begin to look for seeds."""
        self._state.schedule(now, 0.0, self._sync_with_seed)

    def sync_with(self, now: float, address: str) -> None:
        """Open a stream to a member; at most one a period in all."""
        is_due = now - self._last_opened >= self._state.period
        if is_due and address != self._state.local.record.address:
            self._last_opened = now
            self._state.effects.append(OpenStream(address))

    def first_frame(self, now: float) -> bytes:
        """The first frame of a stream that this member opened."""
        self._state.counters.streams += 1
        digests = tuple(self._state.members.digests)
        return messages.encode(messages.SyncDigests(self._sender.header(now), digests))

    def answer(self, now: float, frame: Frame) -> bytes | None:
        """The answer to a frame; None after the last one."""
        match frame:
            case messages.SyncDigests(buckets=theirs):
                return self._answer_digests(now, theirs)
            case messages.SyncDifference(buckets=buckets, records=records):
                own = self._records_in(buckets)  # as they were before the merge
                self._merge(now, records, frame.header.sender)
                return messages.encode(messages.SyncCompletion(self._sender.header(now), own))
            case messages.SyncCompletion(records=records):
                self._merge(now, records, frame.header.sender)
        return None

    def _answer_digests(self, now: float, theirs: tuple[int, ...]) -> bytes:
        own = self._state.members.digests
        differing = tuple(bucket for bucket in range(len(own)) if own[bucket] != theirs[bucket])
        records = self._records_in(differing)
        return messages.encode(messages.SyncDifference(self._sender.header(now), differing, records))

    def _records_in(self, buckets: tuple[int, ...]) -> tuple[MemberRecord, ...]:
        if not buckets:
            return ()
        wanted = set(buckets)
        records = (member.record for member in self._state.members if member.bucket in wanted)
        return tuple(records)[:MAX_FRAME_RECORDS]

    def _merge(self, now: float, records: tuple[MemberRecord, ...], told_by: str) -> None:
        for record in records:
            try:
                self._merger.apply_synced(now, record, told_by)
            except MalformedMessageError as error:
                self._state.count_refused(str(error))

    def _sync_with_seed(self, now: float) -> None:
        """Members that started beyond a cut are known to nobody here, but the seeds may know them."""
        present = {each.record.address for each in self._state.members if each.record.state in PRESENT_STATES}
        absent_seeds = [seed for seed in self.seeds if seed not in present]
        is_alone = self._state.members.present_count <= 1
        interval = SEED_INTERVAL_ALONE if is_alone else SEED_INTERVAL
        self._state.schedule(now, interval * self._state.random.jitter(), self._sync_with_seed)
        if absent_seeds:
            seed = absent_seeds[int(self._state.random.fraction() * len(absent_seeds))]
            self._state.effects.append(OpenStream(seed))
