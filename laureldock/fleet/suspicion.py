"""Suspicion: a member that acknowledges no probe has a timeout to refute before it is declared failed.

The more members confirm the suspicion, the shorter the timeout. Source: Dadgar, Phillips, Currey,
"Lifeguard" (arXiv:1707.00788), section 4.B.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log, log10

from msgspec import structs

from laureldock.fleet.members import Member
from laureldock.fleet.messages import ALIVE, FAILED, SUSPECT, MemberRecord, StartKey
from laureldock.fleet.state import ViewState

# The minimum timeout is this many periods times the larger of 1 and log10 of the number of present members.
# Gossip reaches all members within two periods.
SUSPICION_MULTIPLIER = 3.0
# Multiple of the minimum timeout while no other member confirms the suspicion (Lifeguard's beta).
SUSPICION_MAX_MULTIPLIER = 6.0
EXPECTED_CONFIRMATIONS = 3  # confirmations at which the minimum timeout applies (Lifeguard's K)
TIMER_TOLERANCE = 1e-9  # seconds

ApplyRecord = Callable[[float, MemberRecord, str], None]
"""Called with the time, a record, and the name of the member that reported it."""


class Suspicion:
    """Suspects members, counts confirmations, and declares members failed that do not refute in time."""

    def __init__(self, state: ViewState, apply_record: ApplyRecord) -> None:
        self._state, self._apply_record = state, apply_record

    def suspect(self, now: float, member: Member, suspected_by: str) -> None:
        """Suspect a member, or confirm an existing suspicion of it; `suspected_by` is any member."""
        record = member.record
        if record.state == ALIVE:
            suspected = structs.replace(record, state=SUSPECT, suspected_by=suspected_by)
            self._apply_record(now, suspected, suspected_by)
        elif record.state == SUSPECT and self._is_new_confirmation(member, suspected_by):
            member.confirmed_by.add(suspected_by)
            # Gossiped again, so that other members count the confirmation.
            self._state.gossip_queue.enqueue(structs.replace(record, suspected_by=suspected_by))
            self._schedule_check(now, 0.0, record)

    def start_timer(self, now: float, member: Member) -> None:
        """Start the timeout in which a suspect member may refute."""
        member.confirmed_by = {member.record.suspected_by}
        self._schedule_check(now, self.timeout(member), member.record)

    def timeout(self, member: Member) -> float:
        """Return the seconds from the start of the suspicion in which a member may refute."""
        members = self._state.members
        min_timeout = (
            SUSPICION_MULTIPLIER * max(1.0, log10(max(1, members.present_count))) * self._state.period
        )
        # Suspect members are not expected to confirm: when many members crash at once, only those that remain
        # can.
        expected = min(EXPECTED_CONFIRMATIONS, members.alive_count - 1)
        if expected < 1:
            return min_timeout
        confirmations = min(expected, max(0, len(member.confirmed_by) - 1))
        progress = log(confirmations + 1) / log(expected + 1)
        multiplier = SUSPICION_MAX_MULTIPLIER - (SUSPICION_MAX_MULTIPLIER - 1) * progress
        return max(min_timeout, min_timeout * multiplier)

    def postpone_all(self, seconds: float) -> None:
        """Postpone the checks of all suspicions by `seconds`."""
        self._state.timers.postpone(self._check, seconds)

    def _is_new_confirmation(self, member: Member, suspected_by: str) -> bool:
        is_new = suspected_by not in member.confirmed_by
        return is_new and len(member.confirmed_by) <= EXPECTED_CONFIRMATIONS

    def _schedule_check(self, now: float, delay: float, record: MemberRecord) -> None:
        arguments = (record.name, record.start_key, record.incarnation)
        self._state.timers.schedule(now, delay, self._check, *arguments)

    def _check(self, now: float, name: str, start_key: StartKey, incarnation: int) -> None:
        """Declare a member failed if this suspicion of it still holds and its timeout has expired."""
        member = self._state.members.get(name)
        if member is None or member.record.state != SUSPECT:
            return
        if (member.record.start_key, member.record.incarnation) != (start_key, incarnation):
            return
        remaining = member.state_changed_at + self.timeout(member) - now
        if remaining > TIMER_TOLERANCE:
            # Checked each period, since the timeout shrinks when fewer members remain that could confirm the
            # suspicion.
            self._schedule_check(now, min(remaining, self._state.period), member.record)
        else:
            failed = structs.replace(member.record, state=FAILED)
            self._apply_record(now, failed, self._state.settings.name)
