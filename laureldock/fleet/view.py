"""The view that one member has of its fleet: SWIM with suspicion, Lifeguard's local health, compared streams.

Bytes in, effects out; no I/O, no clock of its own, and all chance from a seed and a counter, so that
thousands of them run on one clock set by hand. Why this and not another way: `docs/design/fleet-view.md`.
Sources: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (arXiv:1707.00788).

What two members may disagree on, and for how long, is said on the operators' page: nothing here is consensus.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from itertools import count
from math import inf, log, log10
from typing import Any, ClassVar

import msgspec

from laureldock.fleet import messages
from laureldock.fleet.gossip_queue import GossipQueue
from laureldock.fleet.members import (
    PRESENT_STATES,
    TRANSITION_EVENTS,
    Member,
    MemberTable,
    refutation,
    supersedes,
)
from laureldock.fleet.messages import (
    ALIVE,
    FAILED,
    LEFT,
    SUSPECT,
    MalformedMessageError,
    MemberRecord,
    MessageHeader,
)
from laureldock.fleet.reachability import ReachabilityTracker

# In periods, but for what has another unit.
# within which an ack must come before others are asked: far more than a network that is well
DIRECT_TIMEOUT = 0.3
# asked to ping in one's place; SWIM's k, at which one in 4 lost datagrams fails no probe in 50
INDIRECT_PROBES = 3
# Times log10 of the members, at least one: in which a suspect may refute. Word goes round in two periods.
SUSPICION_MULTIPLIER = 3.0
# times that while nobody else suspects it (Lifeguard's beta), falling with each that does
SUSPICION_MAX_MULTIPLIER = 6.0
EXPECTED_CONFIRMATIONS = 3  # others after whom the shortest wait holds (Lifeguard's K)
MAX_LOCAL_HEALTH = 8  # of local health: nine times the waits for one that is itself slow (Lifeguard's S)
STALL_THRESHOLD = 0.5  # late by so much, this process stood still: what it waited for says nothing of others
GOSSIP_INTERVAL = 0.25  # between datagrams of news alone, while there is any
GOSSIP_FANOUT = 2  # members that each of these goes to
# views that differ for so long are compared over a stream: news has gone round by then
SYNC_AFTER_STABLE = 2.0
# between calls to those that failed, at least; up to RECONNECT_MAX_BACKOFF times that when all is still
RECONNECT_INTERVAL = 2.0
RECONNECT_MAX_BACKOFF = 2.0
SEED_INTERVAL = 5.0  # between streams to seeds that are not known to be here; a period while alone
NAME_CHALLENGE_TIMEOUT = 3.0  # for an answer of another process of one's own name
# Words this much ahead of what is known come from no member: each refutation raises an incarnation by one.
MAX_INCARNATION_LEAP = 1 << 16
MAX_RELAYED_PINGS = 64  # pings in others' place that are out at once
LEAVE_FANOUT = 8  # told at once that this one leaves


class ViewStatus(Enum):
    """Whether this member takes part in the fleet; the values are what operators are shown."""

    ACTIVE = "here"
    STEPPED_DOWN = "stepped down"
    LEFT = "gone"


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """What a member is told at its start."""

    fleet: str
    name: str
    site: str
    address: str  # where others reach it
    generation: int  # greater than that of any start of this name before, as far as is known
    boot_id: int  # at random, of this start
    seeds: tuple[str, ...] = ()
    period: float = 1.0
    random_seed: int = 0
    max_members: int = 4096  # members known at once
    forget_after: float = 86400.0  # seconds after which one that failed or left is forgotten


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram."""

    address: str
    data: bytes


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream there, send `begin`, and hand its frames to `frame` until there is no answer to one."""

    address: str


@dataclass(frozen=True, slots=True)
class ViewEvent:
    name: str
    fields: dict[str, Any]


Effect = SendDatagram | OpenStream | ViewEvent


@dataclass(eq=False, slots=True)
class Probe:
    """A member asked whether it is there."""

    name: str
    start_key: tuple[int, int]
    sent: float
    answered: bool = False
    reconnects: bool = False  # of one that failed: no answer says nothing new


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping in another's place."""

    address: str
    sequence: int


@dataclass(eq=False, slots=True)
class ViewCounters:
    datagrams: int = 0
    refused: int = 0
    sent: int = 0
    bytes_sent: int = 0
    streams: int = 0
    slept: int = 0
    refuted: int = 0


class MembershipView:
    def __init__(self, settings: ViewSettings, now: float) -> None:
        self.settings = told = settings
        self.period, self.serial = told.period, count(1)
        self.member_table = MemberTable(told.max_members)
        self.gossip_queue, self.reachability, self.counts = (
            GossipQueue(),
            ReachabilityTracker(told.period),
            ViewCounters(),
        )
        self.status, self.local_health, self.load, self.version = ViewStatus.ACTIVE, 0, 0, 0
        self.last_change = now
        self.effects: list[Effect] = []
        self.timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, RelayedPing] = {}
        self.probe_round: list[str] = []  # those still to be probed in this round
        self.reconnect_round: list[str] = []  # of those that failed, still to be called in this round
        self.seeds = list(told.seeds)
        self.last_sync = -inf  # when this one last began a stream
        self.last_heard = -inf  # when any other was
        self.gossip_scheduled = False
        self.rival_start: tuple[int, int] | None = None  # another start of this name, which may be alive
        self.challenges: dict[int, tuple[int, int]] = {}  # numbers that it has to answer
        self.me = self.member_table.put(
            now, MemberRecord(told.name, told.site, told.address, told.generation, told.boot_id, 0, ALIVE)
        )
        self.enqueue_gossip(now, self.me.record)
        for action, after in (
            (self.probe_next, self.random_fraction()),  # members that start at once don't probe in step
            (self.reconnect_to_failed, 1.0 + self.random_fraction()),
            (self.sync_with_seed, 0.0),
            (self.forget_expired, 10.0),
        ):
            self.schedule(now, after * self.period, action)

    # What others use

    def members(self) -> list[Member]:
        return sorted(self.member_table, key=lambda each: each.record.name)

    @property
    def digest(self) -> int:
        return self.member_table.digest

    def stable_for(self, now: float) -> float:
        """Seconds since anything here changed."""
        return now - self.last_change

    def reachability_shares(self, now: float) -> dict[str, dict[str, float]]:
        return self.reachability.answered_shares(now, self.settings.name)

    @property
    def next_due(self) -> float:
        return self.timers[0][0] if self.timers and self.status is ViewStatus.ACTIVE else inf

    # What the rim and the operators tell

    def advance(self, now: float) -> list[Effect]:
        """Do what is due; all effects since the last turn, in their order."""
        late = now - self.next_due
        if late > STALL_THRESHOLD * self.period:
            self.resume_after_stall(now, late)
        while self.next_due <= now:
            _, _, action, told = heapq.heappop(self.timers)
            action(now, *told)
        effects, self.effects = self.effects, []
        return effects

    def receive_datagram(self, now: float, data: bytes) -> None:
        """A datagram. What is malformed, or of another fleet, is counted and dropped."""
        self.counts.datagrams += 1
        if self.status is not ViewStatus.ACTIVE:
            return
        try:
            message = messages.decode_datagram(data)
            self.observe_sender(now, message.header)
            if self.status is ViewStatus.ACTIVE:
                self.apply_records(now, message.records, message.header.sender)
                self.HANDLERS[type(message)](self, now, message)
        except MalformedMessageError as error:
            self.count_refused(str(error))

    def first_frame(self, now: float) -> bytes:
        """The first frame of a stream that this one opened."""
        self.counts.streams += 1
        return messages.encode(messages.SyncDigests(self.header(now), tuple(self.member_table.digests)))

    def receive_frame(self, now: float, data: bytes) -> bytes | None:
        """The answer to a frame; None where the stream has ended. BadWord: it is to be closed."""
        if self.status is not ViewStatus.ACTIVE:
            return None
        try:
            message = messages.decode_frame(data)
            self.observe_sender(now, message.header)
        except MalformedMessageError as error:
            self.count_refused(str(error))
            raise
        match message:
            case messages.SyncDigests(buckets=told):
                mine = self.member_table.digests
                differ = tuple(place for place in range(len(mine)) if mine[place] != told[place])
                return messages.encode(
                    messages.SyncDifference(self.header(now), differ, self.records_in(differ))
                )
            case messages.SyncDifference(buckets=differ, records=told):
                own = self.records_in(differ)
                self.merge_records(now, told, message.header.sender)
                return messages.encode(messages.SyncCompletion(self.header(now), own))
            case messages.SyncCompletion(records=told):
                self.merge_records(now, told, message.header.sender)
        return None

    def leave(self, now: float) -> None:
        """The last word of this start. The rim sends what `turn` gives and closes."""
        self.announce(now, LEFT)
        self.gossip_to_random(now, LEAVE_FANOUT)
        self.status = ViewStatus.LEFT

    def lameduck(self, now: float, on: bool) -> None:
        if self.me.record.lameduck != on:
            self.announce(now, ALIVE, on)

    def set_seeds(self, seeds: list[str]) -> None:
        self.seeds = list(seeds)

    def forget_failed(self, now: float, name: str) -> bool:
        """Operators' word that one that failed will not return; it goes round as if the member had left."""
        member = self.member_table.get(name)
        if member is None or member.record.state != FAILED:
            return False
        self.apply_record(now, msgspec.structs.replace(member.record, state=LEFT), self.settings.name)
        return True

    # Chance and time

    def random_fraction(self) -> float:
        return (
            zlib.crc32(f"{self.settings.random_seed}:{self.settings.name}:{next(self.serial)}".encode())
            / 2**32
        )

    def schedule(self, now: float, wait: float, action: Callable[..., None], *told: Any) -> None:
        heapq.heappush(self.timers, (now + wait, next(self.serial), action, told))

    def shuffled(self, names: list[str]) -> list[str]:
        return sorted(names, key=lambda name: zlib.crc32(f"{next(self.serial)}:{name}".encode()))

    def random_members(self, limit: int, fit: Callable[[Member], bool] = lambda each: True) -> list[Member]:
        """Others that are here, at random."""
        found: list[Member] = []
        order = self.member_table.by_index
        # Several tries for each wanted; where few fit, fewer are found.
        for _ in range(8 * limit if len(order) > 1 else 0):
            member = order[int(self.random_fraction() * len(order))]
            if (
                member is not self.me
                and member.record.state in PRESENT_STATES
                and member not in found
                and fit(member)
            ):
                found.append(member)
                if len(found) == limit:
                    break
        return found

    def resume_after_stall(self, now: float, late: float) -> None:
        """This process stood still: nobody could be heard meanwhile, and nobody had time to refute."""
        self.counts.slept += 1
        self.adjust_local_health(1)
        self.probes.clear()
        self.relays.clear()
        self.timers = [
            (at + late if action == self.check_suspicion else at, serial, action, told)
            for at, serial, action, told in self.timers
        ]
        heapq.heapify(self.timers)

    def adjust_local_health(self, change: int) -> None:
        self.local_health = min(MAX_LOCAL_HEALTH, max(0, self.local_health + change))

    # Datagrams out

    def header(self, now: float) -> MessageHeader:
        record, told = self.me.record, self.settings
        return MessageHeader(
            told.fleet, record.name, record.generation, record.boot_id, record.address,
            self.load, self.digest, self.reachability.own_report(now),
        )  # fmt: skip

    def select_gossip(self, room: int, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        return self.gossip_queue.select(room, self.member_table.present_count, 64, first)

    def send(self, now: float, address: str, make: Callable[[MessageHeader, int], messages.Datagram]) -> None:
        header = self.header(now)
        texts = sum(len(each.site) + 8 for each in header.reachability)
        texts += len(header.fleet) + len(header.sender) + len(header.address)
        # Numbers, and the name and address of an `Ask`, take under 260 bytes beside the head's texts.
        room = messages.MAX_DATAGRAM_BYTES - 260 - texts
        data = messages.encode(make(header, room))
        self.counts.sent += 1
        self.counts.bytes_sent += len(data)
        self.effects.append(SendDatagram(address, data))

    def send_ping(self, now: float, member: Member, probe: Probe | None, sequence: int) -> None:
        # A suspect, or one that failed, hears of it by the very call that tests it (Lifeguard's buddies).
        record = member.record
        first = record if record.state != ALIVE else None
        if probe:
            self.probes[sequence] = probe
        self.send(
            now,
            record.address,
            lambda header, room: messages.Ping(
                header, sequence, record.name, self.select_gossip(room, first)
            ),
        )

    # Detection

    def probe_next(self, now: float) -> None:
        """One member each period, all in a round before any twice (SWIM): none waits over two rounds."""
        member = self.next_probe_target()
        # One that is itself slow waits longer, and asks less often.
        slower = 1 + self.local_health
        self.schedule(now, slower * self.period, self.probe_next)
        if member:
            sequence = next(self.serial)
            probe = Probe(member.record.name, member.record.start_key, now)
            self.send_ping(now, member, probe, sequence)
            self.schedule(now, DIRECT_TIMEOUT * slower * self.period, self.request_indirect_probes, sequence)
            self.schedule(now, 0.95 * slower * self.period, self.finish_probe, sequence)

    def next_probe_target(self) -> Member | None:
        for _ in range(2):
            while self.probe_round:
                member = self.member_table.get(self.probe_round.pop())
                if member and member is not self.me and member.record.state in PRESENT_STATES:
                    return member
            self.probe_round = self.shuffled(
                [each.record.name for each in self.member_table if each.record.state in PRESENT_STATES]
            )
        return None

    def request_indirect_probes(self, now: float, sequence: int) -> None:
        probe = self.probes.get(sequence)
        member = self.member_table.get(probe.name) if probe else None
        if probe is None or probe.answered or member is None:
            return
        helpers = self.random_members(
            INDIRECT_PROBES, lambda each: each is not member and each.record.state == ALIVE
        )
        name, address = probe.name, member.record.address
        for helper in helpers:
            self.send(
                now,
                helper.record.address,
                lambda header, room: messages.PingRequest(
                    header, sequence, name, address, self.select_gossip(room)
                ),
            )

    def finish_probe(self, now: float, sequence: int) -> None:
        """The end of a probe."""
        probe = self.probes.pop(sequence, None)
        member = self.member_table.get(probe.name) if probe else None
        if probe is None or member is None or probe.reconnects:
            return
        # Whoever was heard since is alive, also where only its answers are lost.
        well = probe.answered or member.last_heard > probe.sent
        self.reachability.record_call(now, member.record.site, well)
        if well:
            self.adjust_local_health(-1)
            return
        # Where nobody at all was heard since, not even a helper's nack, this one's own link may be at fault.
        # Helpers that are silent tell nothing by themselves: of many that die at once some were asked.
        self.adjust_local_health(1 if self.last_heard < probe.sent else 0)
        if member.record.start_key == probe.start_key and member.record.state in PRESENT_STATES:
            self.suspect(now, member, self.settings.name)
            # It hears of it at once, where only datagrams were lost, and its answer refutes.
            self.send_ping(now, member, None, next(self.serial))

    def suspect(self, now: float, member: Member, by: str) -> None:
        """This member's own suspicion, or another's that confirms it."""
        if member.record.state == ALIVE:
            self.apply_record(now, msgspec.structs.replace(member.record, state=SUSPECT, suspected_by=by), by)
        elif (
            member.record.state == SUSPECT
            and by not in member.confirmed_by
            and len(member.confirmed_by) <= EXPECTED_CONFIRMATIONS
        ):
            member.confirmed_by.add(by)
            # What confirms goes on: others wait less, too.
            self.gossip_queue.enqueue(msgspec.structs.replace(member.record, suspected_by=by))
            self.schedule(
                now,
                0.0,
                self.check_suspicion,
                member.record.name,
                member.record.start_key,
                member.record.incarnation,
            )

    def suspicion_timeout(self, member: Member) -> float:
        """How long a suspect may refute: the shorter the more suspect it (Lifeguard)."""
        least = SUSPICION_MULTIPLIER * max(1.0, log10(max(1, self.member_table.present_count))) * self.period
        # Those that are suspect themselves will not say so: of many that die at once the rest must do.
        needed = min(EXPECTED_CONFIRMATIONS, self.member_table.alive_count - 1)
        if needed < 1:
            return least
        others = min(needed, max(0, len(member.confirmed_by) - 1))
        return max(
            least,
            least
            * (SUSPICION_MAX_MULTIPLIER - (SUSPICION_MAX_MULTIPLIER - 1) * log(others + 1) / log(needed + 1)),
        )

    def check_suspicion(self, now: float, name: str, start_key: tuple[int, int], incarnation: int) -> None:
        member = self.member_table.get(name)
        if member is None or member.record.state != SUSPECT:
            return
        if (member.record.start_key, member.record.incarnation) != (start_key, incarnation):
            return
        left = member.state_since + self.suspicion_timeout(member) - now
        if left > 1e-9:
            # Looked at again each period: fewer may be left to confirm it than there were.
            self.schedule(now, min(left, self.period), self.check_suspicion, name, start_key, incarnation)
        else:
            self.apply_record(now, msgspec.structs.replace(member.record, state=FAILED), self.settings.name)

    # Datagrams in

    def count_refused(self, why: str) -> None:
        self.counts.refused += 1
        if self.counts.refused in (1, 10, 100, 1000) or self.counts.refused % 10000 == 0:
            self.effects.append(ViewEvent("refused", {"why": why, "so_far": self.counts.refused}))

    def observe_sender(self, now: float, header: MessageHeader) -> None:
        """The sender itself: it lives, and what it says of itself."""
        if header.fleet != self.settings.fleet:
            raise MalformedMessageError("another fleet")
        if header.sender == self.settings.name:
            self.observe_rival(now, header)
            return
        member = self.member_table.get(header.sender)
        if member is None or member.record.start_key < (header.generation, header.boot_id):
            self.start_sync(now, header.address)
        elif member.record.start_key == (header.generation, header.boot_id):
            member.last_heard, member.load, self.last_heard = now, header.load, now
            self.reachability.record_report(now, header.sender, header.reachability)
            if member.record.state in (FAILED, LEFT) and now - member.last_called >= self.period:
                self.reconnect(now, member)  # it may not know that it is held to have failed
            elif header.digest != self.digest and self.stable_for(now) >= SYNC_AFTER_STABLE * self.period:
                self.start_sync(now, header.address)

    def apply_records(self, now: float, told: tuple[messages.MemberRecord, ...], sender: str) -> None:
        for record in told:
            self.apply_record(now, record, sender)

    def on_ping(self, now: float, message: messages.Ping) -> None:
        if message.target == self.settings.name:  # else its address has another owner now
            sequence = message.sequence
            self.send(
                now,
                message.header.address,
                lambda header, room: messages.Ack(header, sequence, self.select_gossip(room)),
            )

    def on_ack(self, now: float, message: messages.Ack) -> None:
        sequence = message.sequence
        if start_key := self.challenges.pop(sequence, None):
            self.answered(now, message.header, start_key)
            return
        relay = self.relays.pop(sequence, None)
        if relay:
            self.send(
                now,
                relay.address,
                lambda header, room: messages.Ack(header, relay.sequence, self.select_gossip(room)),
            )
        probe = self.probes.get(sequence)
        if probe and not probe.answered:
            probe.answered = True
            member = self.member_table.get(probe.name)
            if probe.reconnects and member and member.record.state in PRESENT_STATES:
                self.start_sync(now, member.record.address)  # it is back: what else does it know?

    def on_ping_request(self, now: float, message: messages.PingRequest) -> None:
        if len(self.relays) >= MAX_RELAYED_PINGS or message.target == self.settings.name:
            return
        sequence, target = next(self.serial), message.target
        self.relays[sequence] = RelayedPing(message.header.address, message.sequence)
        self.send(
            now,
            message.address,
            lambda header, room: messages.Ping(header, sequence, target, self.select_gossip(room)),
        )
        self.schedule(now, DIRECT_TIMEOUT * self.period, self.relayed_ping_expired, sequence)

    def relayed_ping_expired(self, now: float, sequence: int) -> None:
        if relay := self.relays.pop(sequence, None):
            self.send(
                now,
                relay.address,
                lambda header, room: messages.Nack(header, relay.sequence, self.select_gossip(room)),
            )

    def on_nack(self, now: float, message: messages.Nack) -> None:
        """The helper lives, and heard nothing of the one it asked: it was heard, which is all that counts."""

    def on_gossip(self, now: float, message: messages.Gossip) -> None:
        """Its words were taken."""

    HANDLERS: ClassVar[dict[type[messages.Datagram], Callable[..., None]]] = {
        messages.Ping: on_ping,
        messages.Ack: on_ack,
        messages.PingRequest: on_ping_request,
        messages.Nack: on_nack,
        messages.Gossip: on_gossip,
    }

    # Words

    def apply_record(self, now: float, record: MemberRecord, by: str, streamed: bool = False) -> None:
        """A word about a member, from whomever: it wins over what is known, or is nothing new."""
        if record.name == self.settings.name:
            self.apply_own_record(now, record)
            return
        member = self.member_table.get(record.name)
        known = member.record if member else None
        if known is None and (record.state not in PRESENT_STATES or self.member_table.is_full()):
            return  # those that are gone are no news to one that never knew them
        if (
            known
            and known.start_key == record.start_key
            and record.incarnation > known.incarnation + MAX_INCARNATION_LEAP
        ):
            raise MalformedMessageError("an incarnation far ahead")
        if streamed and record.state == FAILED and (known is None or known.state != FAILED):
            # What failed beyond a cut may be well: it is suspect here, and has its time to refute.
            record = msgspec.structs.replace(record, state=SUSPECT, suspected_by=by)
        if not supersedes(record, known):
            same = known and (known.start_key, known.incarnation) == (record.start_key, record.incarnation)
            if member and same and record.state == SUSPECT:
                self.suspect(now, member, record.suspected_by)
            return
        member = self.member_table.put(now, record)
        self.enqueue_gossip(now, record)
        self.note_change(now)
        if record.state == SUSPECT:
            member.confirmed_by = {record.suspected_by}
            self.schedule(
                now,
                self.suspicion_timeout(member),
                self.check_suspicion,
                record.name,
                record.start_key,
                record.incarnation,
            )
        if known and known.start_key != record.start_key:
            name = "generation changed"
        else:
            name = TRANSITION_EVENTS.get((known.state if known else None, record.state), "")
            if known and not name and known.lameduck != record.lameduck:
                name = "lameduck"
        if name:
            told = {"member": record.name, "site": record.site, "generation": record.generation, "by": by}
            self.effects.append(ViewEvent(name, told))

    def merge_records(self, now: float, told: tuple[MemberRecord, ...], sender: str) -> None:
        for record in told:
            try:
                self.apply_record(now, record, sender, streamed=True)
            except MalformedMessageError as error:
                self.count_refused(str(error))

    def records_in(self, buckets: tuple[int, ...]) -> tuple[MemberRecord, ...]:
        wanted = set(buckets)
        return (
            tuple(each.record for each in self.member_table if each.bucket in wanted)[:8192] if wanted else ()
        )

    def enqueue_gossip(self, now: float, record: MemberRecord) -> None:
        self.gossip_queue.enqueue(record)
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            self.schedule(now, 0.0, self.gossip_round)

    def gossip_round(self, now: float) -> None:
        self.gossip_scheduled = bool(len(self.gossip_queue))
        if not self.gossip_scheduled:
            return
        self.gossip_to_random(now, GOSSIP_FANOUT)
        self.schedule(now, GOSSIP_INTERVAL * self.period, self.gossip_round)

    def gossip_to_random(self, now: float, limit: int) -> None:
        for member in self.random_members(limit):
            self.send(
                now,
                member.record.address,
                lambda header, room: messages.Gossip(header, self.select_gossip(room)),
            )

    def note_change(self, now: float) -> None:
        self.version += 1
        self.last_change = now

    # This member itself

    def announce(self, now: float, state: int, lameduck: bool | None = None) -> None:
        """A new word of this member about itself."""
        lameduck_now = self.me.record.lameduck if lameduck is None else lameduck
        record = msgspec.structs.replace(
            self.me.record, state=state, lameduck=lameduck_now, incarnation=self.me.record.incarnation + 1
        )
        self.replace_own_record(now, record)

    def replace_own_record(self, now: float, record: MemberRecord) -> None:
        self.member_table.put(now, record)
        self.note_change(now)
        self.enqueue_gossip(now, record)

    def apply_own_record(self, now: float, record: MemberRecord) -> None:
        mine = self.me.record
        if record.start_key > mine.start_key:
            self.observe_later_start(now, record)
        elif (
            record.start_key == mine.start_key
            and record.incarnation > mine.incarnation + MAX_INCARNATION_LEAP
        ):
            raise MalformedMessageError("an incarnation of mine far ahead")
        elif own := refutation(record, mine):
            self.counts.refuted += 1
            self.adjust_local_health(1)
            self.replace_own_record(now, own)

    def observe_later_start(self, now: float, record: MemberRecord) -> None:
        """A later start of this name is known: its own forgotten past, or another process that lives."""
        if record.address == self.me.record.address:
            self.raise_generation(now, record.start_key)  # one address has one process, and that is this one
        elif self.rival_start is None or self.rival_start < record.start_key:
            self.challenge(now, record.address, record.start_key)
            self.schedule(now, NAME_CHALLENGE_TIMEOUT * self.period, self.challenge_expired, record.start_key)

    def challenge(self, now: float, address: str, start_key: tuple[int, int]) -> None:
        """Only what answers from there with a number of this moment lives; a word alone could be made up."""
        self.rival_start = start_key
        self.challenges = {self.send_challenge(now, address): start_key}

    def send_challenge(self, now: float, address: str) -> int:
        """The number that an answer from there has to bear."""
        sequence, name = next(self.serial), self.settings.name
        self.send(now, address, lambda header, room: messages.Ping(header, sequence, name, ()))
        return sequence

    def challenge_expired(self, now: float, start_key: tuple[int, int]) -> None:
        if self.rival_start == start_key and self.status is ViewStatus.ACTIVE:
            self.raise_generation(now, start_key)

    def raise_generation(self, now: float, start_key: tuple[int, int]) -> None:
        """What was known of this name is gone with its disk: this start is made the later one."""
        self.rival_start = None
        self.member_table.put(now, msgspec.structs.replace(self.me.record, generation=start_key[0] + 1))
        self.effects.append(ViewEvent("generation raised", {"generation": start_key[0] + 1}))
        self.announce(now, ALIVE)

    def observe_rival(self, now: float, header: MessageHeader) -> None:
        """Another living process of this name. The later start stays."""
        mine, theirs = self.me.record, (header.generation, header.boot_id)
        if theirs == mine.start_key or header.boot_id == mine.boot_id:
            return  # its own datagram, come back to it
        if self.rival_start == theirs:
            return  # challenged already, or told of
        if theirs > mine.start_key:
            self.challenge(now, header.address, theirs)
        else:  # told once, and heard by it: it steps down
            self.rival_start = theirs
            self.report_name_conflict(header, stays=True)
            self.send_challenge(now, header.address)
        self.schedule(now, self.period, self.clear_rival)

    def report_name_conflict(self, header: MessageHeader, stays: bool) -> None:
        told = {"address": header.address, "generation": header.generation, "stays": stays}
        self.effects.append(ViewEvent("name taken", told))

    def answered(self, now: float, header: MessageHeader, start_key: tuple[int, int]) -> None:
        """By another process of this name: it lives, and if it is the later start this one gives way."""
        theirs = header.generation, header.boot_id
        if header.sender == self.settings.name and theirs == start_key > self.me.record.start_key:
            self.status = ViewStatus.STEPPED_DOWN
            self.note_change(now)
            self.report_name_conflict(header, stays=False)

    def clear_rival(self, now: float) -> None:
        self.rival_start = None

    # Streams, seeds and those that failed

    def start_sync(self, now: float, address: str) -> None:
        if now - self.last_sync >= self.period and address != self.me.record.address:
            self.last_sync = now
            self.effects.append(OpenStream(address))

    def reconnect_to_failed(self, now: float) -> None:
        """Calls of all members together: about one a period to each that failed, however many there are.

        Without them two sides that failed each other would never meet again.
        """
        gone = [each.record.name for each in self.member_table.absent.values() if each.record.state == FAILED]
        slower = min(RECONNECT_MAX_BACKOFF, 1.0 + self.stable_for(now) / (60.0 * self.period))
        wait = max(RECONNECT_INTERVAL, self.member_table.present_count / max(1, len(gone))) * slower
        self.schedule(
            now, wait * (0.75 + 0.5 * self.random_fraction()) * self.period, self.reconnect_to_failed
        )
        while gone:
            if not self.reconnect_round:
                self.reconnect_round = self.shuffled(gone)
            member = self.member_table.get(self.reconnect_round.pop())
            if member and member.record.state == FAILED:
                self.reconnect(now, member)
                return

    def reconnect(self, now: float, member: Member) -> None:
        member.last_called = now
        sequence = next(self.serial)
        self.send_ping(
            now, member, Probe(member.record.name, member.record.start_key, now, reconnects=True), sequence
        )
        self.schedule(now, self.period, self.finish_probe, sequence)

    def sync_with_seed(self, now: float) -> None:
        """Those that started beyond a cut are known to nobody here; the seeds may know them."""
        here = {each.record.address for each in self.member_table if each.record.state in PRESENT_STATES}
        away = [seed for seed in self.seeds if seed not in here]
        alone = self.member_table.present_count <= 1
        self.schedule(
            now,
            (1.0 if alone else SEED_INTERVAL) * (0.75 + 0.5 * self.random_fraction()) * self.period,
            self.sync_with_seed,
        )
        if away:
            self.effects.append(OpenStream(away[int(self.random_fraction() * len(away))]))

    def forget_expired(self, now: float) -> None:
        """Forgets those that have been gone for long."""
        self.schedule(now, 10 * self.period, self.forget_expired)
        for member in list(self.member_table.absent.values()):
            if now - member.state_since >= self.settings.forget_after:
                self.member_table.remove(member.record.name)
                self.gossip_queue.remove(member.record.name)
                self.reachability.forget(member.record.name)
