"""Suspicion: a member that answers no probe has a while to refute before it is held to have failed.

The while is the shorter the more members confirm the suspicion. Source: Dadgar, Phillips, Currey,
"Lifeguard" (arXiv:1707.00788), section 4.B.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log, log10

from msgspec import structs

from laureldock.fleet.members import Member
from laureldock.fleet.messages import ALIVE, FAILED, SUSPECT, MemberRecord, StartKey
from laureldock.fleet.state import ViewState

# The shortest timeout: so many periods, times log10 of the members that are present, at least one. Gossip
# goes round in two periods.
SUSPICION_MULTIPLIER = 3.0
# Times the shortest one while nobody else suspects the member (Lifeguard's beta).
SUSPICION_MAX_MULTIPLIER = 6.0
EXPECTED_CONFIRMATIONS = 3  # others after whom the shortest timeout holds (Lifeguard's K)
TIMER_TOLERANCE = 1e-9  # seconds

ApplyRecord = Callable[[float, MemberRecord, str], None]
"""Takes the time, a record and the name of the member that told of it."""


class Suspicion:
    """Suspects members, counts confirmations, and declares failed what did not refute in time."""

    def __init__(self, state: ViewState, apply_record: ApplyRecord) -> None:
        self._state, self._apply_record = state, apply_record

    def suspect(self, now: float, member: Member, suspected_by: str) -> None:
        """This member's own suspicion, or another's; a second one of the same record confirms the first."""
        record = member.record
        if record.state == ALIVE:
            suspected = structs.replace(record, state=SUSPECT, suspected_by=suspected_by)
            self._apply_record(now, suspected, suspected_by)
        elif record.state == SUSPECT and self._counts(member, suspected_by):
            member.confirmed_by.add(suspected_by)
            # Others count the confirmation, too.
            self._state.gossip_queue.enqueue(structs.replace(record, suspected_by=suspected_by))
            self._schedule_check(now, 0.0, record)

    def start_timer(self, now: float, member: Member) -> None:
        """A suspicion became known: give the member its time to refute."""
        member.confirmed_by = {member.record.suspected_by}
        self._schedule_check(now, self.timeout(member), member.record)

    def timeout(self, member: Member) -> float:
        """Seconds from the start of the suspicion within which a member may refute."""
        members = self._state.members
        shortest = SUSPICION_MULTIPLIER * max(1.0, log10(max(1, members.present_count))) * self._state.period
        # Members that are suspect themselves confirm nothing: of many that die at once the rest must do.
        expected = min(EXPECTED_CONFIRMATIONS, members.alive_count - 1)
        if expected < 1:
            return shortest
        confirmations = min(expected, max(0, len(member.confirmed_by) - 1))
        progress = log(confirmations + 1) / log(expected + 1)
        multiplier = SUSPICION_MAX_MULTIPLIER - (SUSPICION_MAX_MULTIPLIER - 1) * progress
        return max(shortest, shortest * multiplier)

    def postpone_all(self, seconds: float) -> None:
        """Give every suspect so much more time."""
        self._state.timers.postpone(self._check, seconds)

    def _counts(self, member: Member, suspected_by: str) -> bool:
        is_new = suspected_by not in member.confirmed_by
        return is_new and len(member.confirmed_by) <= EXPECTED_CONFIRMATIONS

    def _schedule_check(self, now: float, delay: float, record: MemberRecord) -> None:
        arguments = (record.name, record.start_key, record.incarnation)
        self._state.timers.schedule(now, delay, self._check, *arguments)

    def _check(self, now: float, name: str, start_key: StartKey, incarnation: int) -> None:
        """Declare the member failed if this suspicion of it still stands and its time is over."""
        member = self._state.members.get(name)
        if member is None or member.record.state != SUSPECT:
            return
        if (member.record.start_key, member.record.incarnation) != (start_key, incarnation):
            return
        remaining = member.state_since + self.timeout(member) - now
        if remaining > TIMER_TOLERANCE:
            # Checked again each period: fewer may be left to confirm it than there were.
            self._schedule_check(now, min(remaining, self._state.period), member.record)
        else:
            failed = structs.replace(member.record, state=FAILED)
            self._apply_record(now, failed, self._state.settings.name)
