"""State shared by the parts of a membership view."""

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

SELECTION_ATTEMPTS = 8  # random draws per requested member


@dataclass(eq=False, slots=True)
class ViewCounters:
    """Counts since the start; the names are shown to operators."""

    datagrams: int = 0
    refused: int = 0
    sent: int = 0
    bytes_sent: int = 0
    streams: int = 0
    slept: int = 0
    refuted: int = 0


def accept_any(member: Member) -> bool:
    """Filter that accepts every member."""
    return True


class ViewState:
    """Members, timers, pending effects and counters of one view."""

    def __init__(self, settings: ViewSettings, now: float) -> None:
        self.settings = settings
        self.counter = count(1)  # serial numbers of timers, pings and random draws
        self.random = SeededRandom(settings.random_seed, settings.name, self.counter)
        self.timers = TimerQueue(self.counter)
        self.members = MemberTable(settings.max_members)
        self.probe_round = ProbeRound(self.random)
        self.gossip_queue = GossipQueue()
        self.reachability = ReachabilityTracker(settings.period)
        self.local_health = LocalHealth()
        self.counters = ViewCounters()
        self.effects: list[Effect] = []  # not yet returned by `MembershipView.advance`
        self.status = ViewStatus.ACTIVE
        self.load = 0  # load of this dispatcher, 0 to 255
        self.version = 0  # counts changes of the view
        self.last_changed_at = now
        self.last_heard_at = -inf  # when the last message from any other member was received
        self.local: Member = self.members.put(now, initial_record(settings))

    @property
    def period(self) -> float:
        """Seconds between probes; all intervals and timeouts of the view scale with it."""
        return self.settings.period

    @property
    def is_active(self) -> bool:
        return self.status is ViewStatus.ACTIVE

    def schedule(self, now: float, periods: float, action: Callable[..., None], *arguments: object) -> None:
        """Call `action` with the time and `arguments` after `periods` periods."""
        self.timers.schedule(now, periods * self.period, action, *arguments)

    def emit(self, name: str, **fields: object) -> None:
        """Emit an event for operators."""
        self.effects.append(ViewEvent(name, fields))

    def count_refused(self, reason: str) -> None:
        """Count a refused message; the first emits an event, later ones with decreasing frequency."""
        self.counters.refused += 1
        so_far = self.counters.refused
        if so_far in (1, 10, 100, 1000) or so_far % 10000 == 0:
            self.emit("refused", why=reason, so_far=so_far)

    def record_change(self, now: float) -> None:
        """Record that the view has changed."""
        self.version += 1
        self.last_changed_at = now

    def stable_for(self, now: float) -> float:
        """Return the seconds since the view last changed."""
        return now - self.last_changed_at

    def random_members(self, limit: int, accepts: Callable[[Member], bool] = accept_any) -> list[Member]:
        """Select up to `limit` other members at random that are present and accepted by a filter.

        May return fewer than exist, since the number of draws is bounded.
        """
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
    """Return the first record that a member announces of itself."""
    return MemberRecord(
        settings.name, settings.site, settings.address, settings.generation, settings.boot_id, 0, ALIVE
    )
