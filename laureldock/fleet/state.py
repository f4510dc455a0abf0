"""State that the parts of a membership view share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from math import inf

from laureldock.fleet.effects import Effect, ViewEvent
from laureldock.fleet.gossip_queue import GossipQueue
from laureldock.fleet.local_health import LocalHealth
from laureldock.fleet.members import PRESENT_STATES, Member, MemberTable
from laureldock.fleet.messages import ALIVE, MemberRecord
from laureldock.fleet.probe_round import ProbeRound
from laureldock.fleet.randomness import SeededRandom
from laureldock.fleet.reachability import ReachabilityTracker
from laureldock.fleet.settings import ViewSettings, ViewStatus
from laureldock.fleet.timers import TimerQueue

SELECTION_ATTEMPTS = 8  # random draws for each member that is wanted


@dataclass(eq=False, slots=True)
class ViewCounters:
    """Counts since the start; operators are shown the names."""

    datagrams: int = 0
    refused: int = 0
    sent: int = 0
    bytes_sent: int = 0
    streams: int = 0
    slept: int = 0
    refuted: int = 0


def accept_any(member: Member) -> bool:
    """A filter that lets every member pass."""
    return True


class ViewState:
    """Members, timers, pending effects and counters of one view."""

    def __init__(self, settings: ViewSettings, now: float) -> None:
        self.settings = settings
        self.counter = count(1)  # serial numbers: of timers, of pings, of random draws
        self.random = SeededRandom(settings.random_seed, settings.name, self.counter)
        self.timers = TimerQueue(self.counter)
        self.members = MemberTable(settings.max_members)
        self.probe_round = ProbeRound(self.random)
        self.gossip_queue = GossipQueue()
        self.reachability = ReachabilityTracker(settings.period)
        self.local_health = LocalHealth()
        self.counters = ViewCounters()
        self.effects: list[Effect] = []  # since they were last taken
        self.status = ViewStatus.ACTIVE
        self.load = 0  # of this dispatcher, 0 to 255
        self.version = 0  # counts changes of the view
        self.last_change = now
        self.last_heard = -inf  # when a datagram of any other member came
        self.local: Member = self.members.put(now, initial_record(settings))

    @property
    def period(self) -> float:
        """Seconds between probes; every wait of the view scales with it."""
        return self.settings.period

    @property
    def is_active(self) -> bool:
        return self.status is ViewStatus.ACTIVE

    def schedule(self, now: float, periods: float, action: Callable[..., None], *arguments: object) -> None:
        """Call `action` after so many periods."""
        self.timers.schedule(now, periods * self.period, action, *arguments)

    def emit(self, name: str, **fields: object) -> None:
        """Report an event to operators."""
        self.effects.append(ViewEvent(name, fields))

    def count_refused(self, why: str) -> None:
        """Count what came in and is not taken; operators are told of the first, and ever more seldom."""
        self.counters.refused += 1
        so_far = self.counters.refused
        if so_far in (1, 10, 100, 1000) or so_far % 10000 == 0:
            self.emit("refused", why=why, so_far=so_far)

    def note_change(self, now: float) -> None:
        """The view is another one now."""
        self.version += 1
        self.last_change = now

    def stable_for(self, now: float) -> float:
        """Seconds since the view last changed."""
        return now - self.last_change

    def random_members(self, limit: int, accepts: Callable[[Member], bool] = accept_any) -> list[Member]:
        """Up to `limit` other members that are present and accepted; fewer where few are."""
        selected: list[Member] = []
        candidates = self.members.by_index
        attempts = SELECTION_ATTEMPTS * limit if len(candidates) > 1 else 0
        for _ in range(attempts):
            member = candidates[int(self.random.fraction() * len(candidates))]
            is_other = member is not self.local and member.record.state in PRESENT_STATES
            if is_other and member not in selected and accepts(member):
                selected.append(member)
                if len(selected) == limit:
                    break
        return selected


def initial_record(settings: ViewSettings) -> MemberRecord:
    """What a member says of itself when it starts."""
    return MemberRecord(
        settings.name, settings.site, settings.address, settings.generation, settings.boot_id, 0, ALIVE
    )
