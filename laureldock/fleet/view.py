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
from laureldock.fleet.members import PRESENT_STATES, TRANSITION_EVENTS, Member, MemberTable, refuted, wins
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
    boot: int  # at random, of this start
    seeds: tuple[str, ...] = ()
    period: float = 1.0
    seed: int = 0
    most: int = 4096  # members known at once
    forget: float = 86400.0  # seconds after which one that failed or left is forgotten


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
    era: tuple[int, int]
    sent: float
    answered: bool = False
    again: bool = False  # of one that failed: no answer says nothing new


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping in another's place."""

    address: str
    number: int


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
    def __init__(self, charter: ViewSettings, now: float) -> None:
        self.charter = told = charter
        self.period, self.serial = told.period, count(1)
        self.roll = MemberTable(told.most)
        self.rumours, self.sites, self.counts = (
            GossipQueue(),
            ReachabilityTracker(told.period),
            ViewCounters(),
        )
        self.standing, self.ill, self.load, self.version = ViewStatus.ACTIVE, 0, 0, 0
        self.changed = now
        self.effects: list[Effect] = []
        self.timers: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, RelayedPing] = {}
        self.circle: list[str] = []  # those still to be probed in this round
        self.calls: list[str] = []  # of those that failed, still to be called in this round
        self.seeds = list(told.seeds)
        self.compared = -inf  # when this one last began a stream
        self.heard = -inf  # when any other was
        self.gossiping = False
        self.twin: tuple[int, int] | None = None  # another start of this name, which may be alive
        self.challenges: dict[int, tuple[int, int]] = {}  # numbers that it has to answer
        self.me = self.roll.put(
            now, MemberRecord(told.name, told.site, told.address, told.generation, told.boot, 0, ALIVE)
        )
        self.tell(now, self.me.word)
        for action, after in (
            (self.probe, self.chance()),  # members that start at once don't probe in step
            (self.call_again, 1.0 + self.chance()),
            (self.call_seeds, 0.0),
            (self.sweep, 10.0),
        ):
            self.after(now, after * self.period, action)

    # What others use

    def members(self) -> list[Member]:
        return sorted(self.roll, key=lambda each: each.word.name)

    @property
    def digest(self) -> int:
        return self.roll.digest

    def still(self, now: float) -> float:
        """Seconds since anything here changed."""
        return now - self.changed

    def reach(self, now: float) -> dict[str, dict[str, float]]:
        return self.sites.figures(now, self.charter.name)

    @property
    def due(self) -> float:
        return self.timers[0][0] if self.timers and self.standing is ViewStatus.ACTIVE else inf

    # What the rim and the operators tell

    def turn(self, now: float) -> list[Effect]:
        """Do what is due; all effects since the last turn, in their order."""
        late = now - self.due
        if late > STALL_THRESHOLD * self.period:
            self.woke(now, late)
        while self.due <= now:
            _, _, action, told = heapq.heappop(self.timers)
            action(now, *told)
        effects, self.effects = self.effects, []
        return effects

    def hear(self, now: float, data: bytes) -> None:
        """A datagram. What is malformed, or of another fleet, is counted and dropped."""
        self.counts.datagrams += 1
        if self.standing is not ViewStatus.ACTIVE:
            return
        try:
            message = messages.datagram(data)
            self.meet(now, message.head)
            if self.standing is ViewStatus.ACTIVE:
                self.take(now, message.words, message.head.sender)
                self.HANDLERS[type(message)](self, now, message)
        except MalformedMessageError as fault:
            self.refuse(str(fault))

    def begin(self, now: float) -> bytes:
        """The first frame of a stream that this one opened."""
        self.counts.streams += 1
        return messages.encode(messages.SyncDigests(self.head(now), tuple(self.roll.digests)))

    def frame(self, now: float, data: bytes) -> bytes | None:
        """The answer to a frame; None where the stream has ended. BadWord: it is to be closed."""
        if self.standing is not ViewStatus.ACTIVE:
            return None
        try:
            message = messages.frame(data)
            self.meet(now, message.head)
        except MalformedMessageError as fault:
            self.refuse(str(fault))
            raise
        match message:
            case messages.SyncDigests(buckets=told):
                mine = self.roll.digests
                differ = tuple(place for place in range(len(mine)) if mine[place] != told[place])
                return messages.encode(messages.SyncDifference(self.head(now), differ, self.inside(differ)))
            case messages.SyncDifference(buckets=differ, words=told):
                own = self.inside(differ)
                self.merge(now, told, message.head.sender)
                return messages.encode(messages.SyncCompletion(self.head(now), own))
            case messages.SyncCompletion(words=told):
                self.merge(now, told, message.head.sender)
        return None

    def leave(self, now: float) -> None:
        """The last word of this start. The rim sends what `turn` gives and closes."""
        self.say(now, LEFT)
        self.spread(now, LEAVE_FANOUT)
        self.standing = ViewStatus.LEFT

    def lameduck(self, now: float, on: bool) -> None:
        if self.me.word.lameduck != on:
            self.say(now, ALIVE, on)

    def reseed(self, seeds: list[str]) -> None:
        self.seeds = list(seeds)

    def forget(self, now: float, name: str) -> bool:
        """Operators' word that one that failed will not return; it goes round as if the member had left."""
        member = self.roll.get(name)
        if member is None or member.word.state != FAILED:
            return False
        self.accept(now, msgspec.structs.replace(member.word, state=LEFT), self.charter.name)
        return True

    # Chance and time

    def chance(self) -> float:
        return zlib.crc32(f"{self.charter.seed}:{self.charter.name}:{next(self.serial)}".encode()) / 2**32

    def after(self, now: float, wait: float, action: Callable[..., None], *told: Any) -> None:
        heapq.heappush(self.timers, (now + wait, next(self.serial), action, told))

    def shuffled(self, names: list[str]) -> list[str]:
        return sorted(names, key=lambda name: zlib.crc32(f"{next(self.serial)}:{name}".encode()))

    def some(self, most: int, fit: Callable[[Member], bool] = lambda each: True) -> list[Member]:
        """Others that are here, at random."""
        found: list[Member] = []
        order = self.roll.order
        # Several tries for each wanted; where few fit, fewer are found.
        for _ in range(8 * most if len(order) > 1 else 0):
            member = order[int(self.chance() * len(order))]
            if (
                member is not self.me
                and member.word.state in PRESENT_STATES
                and member not in found
                and fit(member)
            ):
                found.append(member)
                if len(found) == most:
                    break
        return found

    def woke(self, now: float, late: float) -> None:
        """This process stood still: nobody could be heard meanwhile, and nobody had time to refute."""
        self.counts.slept += 1
        self.sick(1)
        self.probes.clear()
        self.relays.clear()
        self.timers = [
            (at + late if action == self.verdict else at, serial, action, told)
            for at, serial, action, told in self.timers
        ]
        heapq.heapify(self.timers)

    def sick(self, change: int) -> None:
        self.ill = min(MAX_LOCAL_HEALTH, max(0, self.ill + change))

    # Datagrams out

    def head(self, now: float) -> MessageHeader:
        word, told = self.me.word, self.charter
        return MessageHeader(
            told.fleet, word.name, word.generation, word.boot, word.address, self.load, self.digest,
            self.sites.own(now),
        )  # fmt: skip

    def pick(self, room: int, first: MemberRecord | None = None) -> tuple[MemberRecord, ...]:
        return self.rumours.pick(room, self.roll.here, 64, first)

    def send(self, now: float, address: str, make: Callable[[MessageHeader, int], messages.Datagram]) -> None:
        head = self.head(now)
        texts = sum(len(each.site) + 8 for each in head.reach)
        texts += len(head.fleet) + len(head.sender) + len(head.address)
        # Numbers, and the name and address of an `Ask`, take under 260 bytes beside the head's texts.
        room = messages.MAX_DATAGRAM_BYTES - 260 - texts
        data = messages.encode(make(head, room))
        self.counts.sent += 1
        self.counts.bytes_sent += len(data)
        self.effects.append(SendDatagram(address, data))

    def ping(self, now: float, member: Member, probe: Probe | None, number: int) -> None:
        # A suspect, or one that failed, hears of it by the very call that tests it (Lifeguard's buddies).
        word = member.word
        first = word if word.state != ALIVE else None
        if probe:
            self.probes[number] = probe
        self.send(
            now,
            word.address,
            lambda head, room: messages.Ping(head, number, word.name, self.pick(room, first)),
        )

    # Detection

    def probe(self, now: float) -> None:
        """One member each period, all in a round before any twice (SWIM): none waits over two rounds."""
        member = self.next_probed()
        # One that is itself slow waits longer, and asks less often.
        slower = 1 + self.ill
        self.after(now, slower * self.period, self.probe)
        if member:
            number = next(self.serial)
            probe = Probe(member.word.name, member.word.era, now)
            self.ping(now, member, probe, number)
            self.after(now, DIRECT_TIMEOUT * slower * self.period, self.ask_others, number)
            self.after(now, 0.95 * slower * self.period, self.unanswered, number)

    def next_probed(self) -> Member | None:
        for _ in range(2):
            while self.circle:
                member = self.roll.get(self.circle.pop())
                if member and member is not self.me and member.word.state in PRESENT_STATES:
                    return member
            self.circle = self.shuffled(
                [each.word.name for each in self.roll if each.word.state in PRESENT_STATES]
            )
        return None

    def ask_others(self, now: float, number: int) -> None:
        probe = self.probes.get(number)
        member = self.roll.get(probe.name) if probe else None
        if probe is None or probe.answered or member is None:
            return
        helpers = self.some(INDIRECT_PROBES, lambda each: each is not member and each.word.state == ALIVE)
        name, address = probe.name, member.word.address
        for helper in helpers:
            self.send(
                now,
                helper.word.address,
                lambda head, room: messages.PingRequest(head, number, name, address, self.pick(room)),
            )

    def unanswered(self, now: float, number: int) -> None:
        """The end of a probe."""
        probe = self.probes.pop(number, None)
        member = self.roll.get(probe.name) if probe else None
        if probe is None or member is None or probe.again:
            return
        # Whoever was heard since is alive, also where only its answers are lost.
        well = probe.answered or member.heard > probe.sent
        self.sites.tried(now, member.word.site, well)
        if well:
            self.sick(-1)
            return
        # Where nobody at all was heard since, not even a helper's nack, this one's own link may be at fault.
        # Helpers that are silent tell nothing by themselves: of many that die at once some were asked.
        self.sick(1 if self.heard < probe.sent else 0)
        if member.word.era == probe.era and member.word.state in PRESENT_STATES:
            self.suspect(now, member, self.charter.name)
            # It hears of it at once, where only datagrams were lost, and its answer refutes.
            self.ping(now, member, None, next(self.serial))

    def suspect(self, now: float, member: Member, by: str) -> None:
        """This member's own suspicion, or another's that confirms it."""
        if member.word.state == ALIVE:
            self.accept(now, msgspec.structs.replace(member.word, state=SUSPECT, by=by), by)
        elif (
            member.word.state == SUSPECT
            and by not in member.confirmed
            and len(member.confirmed) <= EXPECTED_CONFIRMATIONS
        ):
            member.confirmed.add(by)
            # What confirms goes on: others wait less, too.
            self.rumours.add(msgspec.structs.replace(member.word, by=by))
            self.after(now, 0.0, self.verdict, member.word.name, member.word.era, member.word.incarnation)

    def wait(self, member: Member) -> float:
        """How long a suspect may refute: the shorter the more suspect it (Lifeguard)."""
        least = SUSPICION_MULTIPLIER * max(1.0, log10(max(1, self.roll.here))) * self.period
        # Those that are suspect themselves will not say so: of many that die at once the rest must do.
        needed = min(EXPECTED_CONFIRMATIONS, self.roll.alive - 1)
        if needed < 1:
            return least
        others = min(needed, max(0, len(member.confirmed) - 1))
        return max(
            least,
            least
            * (SUSPICION_MAX_MULTIPLIER - (SUSPICION_MAX_MULTIPLIER - 1) * log(others + 1) / log(needed + 1)),
        )

    def verdict(self, now: float, name: str, era: tuple[int, int], incarnation: int) -> None:
        member = self.roll.get(name)
        if member is None or member.word.state != SUSPECT:
            return
        if (member.word.era, member.word.incarnation) != (era, incarnation):
            return
        left = member.since + self.wait(member) - now
        if left > 1e-9:
            # Looked at again each period: fewer may be left to confirm it than there were.
            self.after(now, min(left, self.period), self.verdict, name, era, incarnation)
        else:
            self.accept(now, msgspec.structs.replace(member.word, state=FAILED), self.charter.name)

    # Datagrams in

    def refuse(self, why: str) -> None:
        self.counts.refused += 1
        if self.counts.refused in (1, 10, 100, 1000) or self.counts.refused % 10000 == 0:
            self.effects.append(ViewEvent("refused", {"why": why, "so_far": self.counts.refused}))

    def meet(self, now: float, head: MessageHeader) -> None:
        """The sender itself: it lives, and what it says of itself."""
        if head.fleet != self.charter.fleet:
            raise MalformedMessageError("another fleet")
        if head.sender == self.charter.name:
            self.meet_twin(now, head)
            return
        member = self.roll.get(head.sender)
        if member is None or member.word.era < (head.generation, head.boot):
            self.compare(now, head.address)
        elif member.word.era == (head.generation, head.boot):
            member.heard, member.load, self.heard = now, head.load, now
            self.sites.hear(now, head.sender, head.reach)
            if member.word.state in (FAILED, LEFT) and now - member.called >= self.period:
                self.call(now, member)  # it may not know that it is held to have failed
            elif head.digest != self.digest and self.still(now) >= SYNC_AFTER_STABLE * self.period:
                self.compare(now, head.address)

    def take(self, now: float, told: tuple[messages.MemberRecord, ...], sender: str) -> None:
        for word in told:
            self.accept(now, word, sender)

    def on_ping(self, now: float, message: messages.Ping) -> None:
        if message.target == self.charter.name:  # else its address has another owner now
            number = message.number
            self.send(
                now, message.head.address, lambda head, room: messages.Ack(head, number, self.pick(room))
            )

    def on_ack(self, now: float, message: messages.Ack) -> None:
        number = message.number
        if era := self.challenges.pop(number, None):
            self.answered(now, message.head, era)
            return
        relay = self.relays.pop(number, None)
        if relay:
            self.send(
                now, relay.address, lambda head, room: messages.Ack(head, relay.number, self.pick(room))
            )
        probe = self.probes.get(number)
        if probe and not probe.answered:
            probe.answered = True
            member = self.roll.get(probe.name)
            if probe.again and member and member.word.state in PRESENT_STATES:
                self.compare(now, member.word.address)  # it is back: what else does it know?

    def on_ask(self, now: float, message: messages.PingRequest) -> None:
        if len(self.relays) >= MAX_RELAYED_PINGS or message.target == self.charter.name:
            return
        number, target = next(self.serial), message.target
        self.relays[number] = RelayedPing(message.head.address, message.number)
        self.send(
            now, message.address, lambda head, room: messages.Ping(head, number, target, self.pick(room))
        )
        self.after(now, DIRECT_TIMEOUT * self.period, self.no_answer, number)

    def no_answer(self, now: float, number: int) -> None:
        if relay := self.relays.pop(number, None):
            self.send(
                now, relay.address, lambda head, room: messages.Nack(head, relay.number, self.pick(room))
            )

    def on_nack(self, now: float, message: messages.Nack) -> None:
        """The helper lives, and heard nothing of the one it asked: it was heard, which is all that counts."""

    def on_gossip(self, now: float, message: messages.Gossip) -> None:
        """Its words were taken."""

    HANDLERS: ClassVar[dict[type[messages.Datagram], Callable[..., None]]] = {
        messages.Ping: on_ping,
        messages.Ack: on_ack,
        messages.PingRequest: on_ask,
        messages.Nack: on_nack,
        messages.Gossip: on_gossip,
    }

    # Words

    def accept(self, now: float, word: MemberRecord, by: str, streamed: bool = False) -> None:
        """A word about a member, from whomever: it wins over what is known, or is nothing new."""
        if word.name == self.charter.name:
            self.of_me(now, word)
            return
        member = self.roll.get(word.name)
        known = member.word if member else None
        if known is None and (word.state not in PRESENT_STATES or self.roll.full()):
            return  # those that are gone are no news to one that never knew them
        if known and known.era == word.era and word.incarnation > known.incarnation + MAX_INCARNATION_LEAP:
            raise MalformedMessageError("an incarnation far ahead")
        if streamed and word.state == FAILED and (known is None or known.state != FAILED):
            # What failed beyond a cut may be well: it is suspect here, and has its time to refute.
            word = msgspec.structs.replace(word, state=SUSPECT, by=by)
        if not wins(word, known):
            same = known and (known.era, known.incarnation) == (word.era, word.incarnation)
            if member and same and word.state == SUSPECT:
                self.suspect(now, member, word.by)
            return
        member = self.roll.put(now, word)
        self.tell(now, word)
        self.news(now)
        if word.state == SUSPECT:
            member.confirmed = {word.by}
            self.after(now, self.wait(member), self.verdict, word.name, word.era, word.incarnation)
        if known and known.era != word.era:
            name = "generation changed"
        else:
            name = TRANSITION_EVENTS.get((known.state if known else None, word.state), "")
            if known and not name and known.lameduck != word.lameduck:
                name = "lameduck"
        if name:
            told = {"member": word.name, "site": word.site, "generation": word.generation, "by": by}
            self.effects.append(ViewEvent(name, told))

    def merge(self, now: float, told: tuple[MemberRecord, ...], sender: str) -> None:
        for word in told:
            try:
                self.accept(now, word, sender, streamed=True)
            except MalformedMessageError as fault:
                self.refuse(str(fault))

    def inside(self, buckets: tuple[int, ...]) -> tuple[MemberRecord, ...]:
        wanted = set(buckets)
        return tuple(each.word for each in self.roll if each.place in wanted)[:8192] if wanted else ()

    def tell(self, now: float, word: MemberRecord) -> None:
        self.rumours.add(word)
        if not self.gossiping:
            self.gossiping = True
            self.after(now, 0.0, self.gossip)

    def gossip(self, now: float) -> None:
        self.gossiping = bool(len(self.rumours))
        if not self.gossiping:
            return
        self.spread(now, GOSSIP_FANOUT)
        self.after(now, GOSSIP_INTERVAL * self.period, self.gossip)

    def spread(self, now: float, most: int) -> None:
        for member in self.some(most):
            self.send(now, member.word.address, lambda head, room: messages.Gossip(head, self.pick(room)))

    def news(self, now: float) -> None:
        self.version += 1
        self.changed = now

    # This member itself

    def say(self, now: float, state: int, lameduck: bool | None = None) -> None:
        """A new word of this member about itself."""
        duck = self.me.word.lameduck if lameduck is None else lameduck
        word = msgspec.structs.replace(
            self.me.word, state=state, lameduck=duck, incarnation=self.me.word.incarnation + 1
        )
        self.become(now, word)

    def become(self, now: float, word: MemberRecord) -> None:
        self.roll.put(now, word)
        self.news(now)
        self.tell(now, word)

    def of_me(self, now: float, word: MemberRecord) -> None:
        mine = self.me.word
        if word.era > mine.era:
            self.claimed(now, word)
        elif word.era == mine.era and word.incarnation > mine.incarnation + MAX_INCARNATION_LEAP:
            raise MalformedMessageError("an incarnation of mine far ahead")
        elif own := refuted(word, mine):
            self.counts.refuted += 1
            self.sick(1)
            self.become(now, own)

    def claimed(self, now: float, word: MemberRecord) -> None:
        """A later start of this name is known: its own forgotten past, or another process that lives."""
        if word.address == self.me.word.address:
            self.overtake(now, word.era)  # one address has one process, and that is this one
        elif self.twin is None or self.twin < word.era:
            self.challenge(now, word.address, word.era)
            self.after(now, NAME_CHALLENGE_TIMEOUT * self.period, self.nobody, word.era)

    def challenge(self, now: float, address: str, era: tuple[int, int]) -> None:
        """Only what answers from there with a number of this moment lives; a word alone could be made up."""
        self.twin = era
        self.challenges = {self.ping_twin(now, address): era}

    def ping_twin(self, now: float, address: str) -> int:
        """The number that an answer from there has to bear."""
        number, name = next(self.serial), self.charter.name
        self.send(now, address, lambda head, room: messages.Ping(head, number, name, ()))
        return number

    def nobody(self, now: float, era: tuple[int, int]) -> None:
        if self.twin == era and self.standing is ViewStatus.ACTIVE:
            self.overtake(now, era)

    def overtake(self, now: float, era: tuple[int, int]) -> None:
        """What was known of this name is gone with its disk: this start is made the later one."""
        self.twin = None
        self.roll.put(now, msgspec.structs.replace(self.me.word, generation=era[0] + 1))
        self.effects.append(ViewEvent("generation raised", {"generation": era[0] + 1}))
        self.say(now, ALIVE)

    def meet_twin(self, now: float, head: MessageHeader) -> None:
        """Another living process of this name. The later start stays."""
        mine, theirs = self.me.word, (head.generation, head.boot)
        if theirs == mine.era or head.boot == mine.boot:
            return  # its own datagram, come back to it
        if self.twin == theirs:
            return  # challenged already, or told of
        if theirs > mine.era:
            self.challenge(now, head.address, theirs)
        else:  # told once, and heard by it: it steps down
            self.twin = theirs
            self.name_taken(head, stays=True)
            self.ping_twin(now, head.address)
        self.after(now, self.period, self.look_again)

    def name_taken(self, head: MessageHeader, stays: bool) -> None:
        told = {"address": head.address, "generation": head.generation, "stays": stays}
        self.effects.append(ViewEvent("name taken", told))

    def answered(self, now: float, head: MessageHeader, era: tuple[int, int]) -> None:
        """By another process of this name: it lives, and if it is the later start this one gives way."""
        theirs = head.generation, head.boot
        if head.sender == self.charter.name and theirs == era > self.me.word.era:
            self.standing = ViewStatus.STEPPED_DOWN
            self.news(now)
            self.name_taken(head, stays=False)

    def look_again(self, now: float) -> None:
        self.twin = None

    # Streams, seeds and those that failed

    def compare(self, now: float, address: str) -> None:
        if now - self.compared >= self.period and address != self.me.word.address:
            self.compared = now
            self.effects.append(OpenStream(address))

    def call_again(self, now: float) -> None:
        """Calls of all members together: about one a period to each that failed, however many there are.

        Without them two sides that failed each other would never meet again.
        """
        gone = [each.word.name for each in self.roll.gone.values() if each.word.state == FAILED]
        slower = min(RECONNECT_MAX_BACKOFF, 1.0 + self.still(now) / (60.0 * self.period))
        wait = max(RECONNECT_INTERVAL, self.roll.here / max(1, len(gone))) * slower
        self.after(now, wait * (0.75 + 0.5 * self.chance()) * self.period, self.call_again)
        while gone:
            if not self.calls:
                self.calls = self.shuffled(gone)
            member = self.roll.get(self.calls.pop())
            if member and member.word.state == FAILED:
                self.call(now, member)
                return

    def call(self, now: float, member: Member) -> None:
        member.called = now
        number = next(self.serial)
        self.ping(now, member, Probe(member.word.name, member.word.era, now, again=True), number)
        self.after(now, self.period, self.unanswered, number)

    def call_seeds(self, now: float) -> None:
        """Those that started beyond a cut are known to nobody here; the seeds may know them."""
        here = {each.word.address for each in self.roll if each.word.state in PRESENT_STATES}
        away = [seed for seed in self.seeds if seed not in here]
        alone = self.roll.here <= 1
        self.after(
            now,
            (1.0 if alone else SEED_INTERVAL) * (0.75 + 0.5 * self.chance()) * self.period,
            self.call_seeds,
        )
        if away:
            self.effects.append(OpenStream(away[int(self.chance() * len(away))]))

    def sweep(self, now: float) -> None:
        """Forgets those that have been gone for long."""
        self.after(now, 10 * self.period, self.sweep)
        for member in list(self.roll.gone.values()):
            if now - member.since >= self.charter.forget:
                self.roll.drop(member.word.name)
                self.rumours.drop(member.word.name)
                self.sites.forget(member.word.name)
