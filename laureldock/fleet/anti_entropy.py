"""Anti-entropy: two members compare digests over a stream, and exchange the records of buckets that differ.

Gossip may miss a member by chance; anti-entropy repairs what it missed. A stream has three frames: the
digests of the initiator, the responder's records in the buckets that differ, and the initiator's records in
the same buckets.
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

# Periods between streams to seeds that are not known to be present. A member that knows no other present
# member tries each period.
SEED_INTERVAL = 5.0
SEED_INTERVAL_ALONE = 1.0


class AntiEntropy:
    """Opens streams to other members and to seeds, and handles the frames of both ends."""

    def __init__(self, state: ViewState, sender: DatagramSender, merger: RecordMerger) -> None:
        self._state, self._sender, self._merger = state, sender, merger
        self.seeds = list(state.settings.seeds)
        self._last_opened = -inf

    def start(self, now: float) -> None:
        """Start contacting seeds."""
        self._state.schedule(now, 0.0, self._sync_with_seed)

    def sync_with(self, now: float, address: str) -> None:
        """Open a stream to a member; all calls together open at most one stream per period."""
        is_due = now - self._last_opened >= self._state.period
        if is_due and address != self._state.local.record.address:
            self._last_opened = now
            self._state.effects.append(OpenStream(address))

    def first_frame(self, now: float) -> bytes:
        """Return the first frame of a stream that this member opened."""
        self._state.counters.streams += 1
        digests = tuple(self._state.members.digests)
        return messages.encode(messages.SyncDigests(self._sender.header(now), digests))

    def handle_frame(self, now: float, frame: Frame) -> bytes | None:
        """Handle a received frame; return the next frame to send, or None after the last one."""
        match frame:
            case messages.SyncDigests(buckets=remote_digests):
                return self._respond_to_digests(now, remote_digests)
            case messages.SyncDifference(buckets=buckets, records=records):
                own = self._records_in(buckets)  # read before the merge changes them
                self._merge(now, records, frame.header.sender)
                return messages.encode(messages.SyncCompletion(self._sender.header(now), own))
            case messages.SyncCompletion(records=records):
                self._merge(now, records, frame.header.sender)
        return None

    def _respond_to_digests(self, now: float, remote_digests: tuple[int, ...]) -> bytes:
        own = self._state.members.digests
        differing = tuple(bucket for bucket in range(len(own)) if own[bucket] != remote_digests[bucket])
        records = self._records_in(differing)
        return messages.encode(messages.SyncDifference(self._sender.header(now), differing, records))

    def _records_in(self, buckets: tuple[int, ...]) -> tuple[MemberRecord, ...]:
        if not buckets:
            return ()
        wanted = set(buckets)
        records = (member.record for member in self._state.members if member.bucket in wanted)
        return tuple(records)[:MAX_FRAME_RECORDS]

    def _merge(self, now: float, records: tuple[MemberRecord, ...], reported_by: str) -> None:
        for record in records:
            try:
                self._merger.apply_synced(now, record, reported_by)
            except MalformedMessageError as error:
                self._state.count_refused(str(error))

    def _sync_with_seed(self, now: float) -> None:
        """Sync with a random absent seed, which may know members that joined beyond a partition."""
        present = {each.record.address for each in self._state.members if each.record.state in PRESENT_STATES}
        absent_seeds = [seed for seed in self.seeds if seed not in present]
        is_alone = self._state.members.present_count <= 1
        interval = SEED_INTERVAL_ALONE if is_alone else SEED_INTERVAL
        self._state.schedule(now, interval * self._state.random.jitter(), self._sync_with_seed)
        if absent_seeds:
            seed = absent_seeds[int(self._state.random.fraction() * len(absent_seeds))]
            self._state.effects.append(OpenStream(seed))
