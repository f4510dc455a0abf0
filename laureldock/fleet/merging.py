"""Merging of received records into the view: which of them are newer, and what follows from them."""

from __future__ import annotations

from msgspec import structs

from laureldock.fleet.dissemination import Dissemination
from laureldock.fleet.local_member import LocalMember
from laureldock.fleet.members import PRESENT_STATES
from laureldock.fleet.messages import FAILED, SUSPECT, MalformedMessageError, MemberRecord
from laureldock.fleet.name_conflicts import NameConflicts
from laureldock.fleet.precedence import supersedes, transition_event
from laureldock.fleet.state import ViewState
from laureldock.fleet.suspicion import Suspicion

# Each refutation raises an incarnation by one, so a record further ahead than this is not genuine.
MAX_INCARNATION_LEAP = 1 << 16


class RecordMerger:
    """Applies records from any source; each either supersedes the known record or is ignored."""

    def __init__(
        self, state: ViewState, dissemination: Dissemination, local: LocalMember, conflicts: NameConflicts
    ) -> None:
        self._state, self._dissemination = state, dissemination
        self._local, self._conflicts = local, conflicts
        self.suspicion = Suspicion(state, self.apply)

    def apply(self, now: float, record: MemberRecord, reported_by: str) -> None:
        """Apply one record. Raises MalformedMessageError if its incarnation is far ahead of the known one."""
        if record.name == self._state.settings.name:
            self._apply_own(now, record)
            return
        member = self._state.members.get(record.name)
        known = member.record if member else None
        if known is None and (record.state not in PRESENT_STATES or self._state.members.is_full()):
            return  # an absent member that was never known here needs no record
        if known and is_far_ahead(record, known):
            raise MalformedMessageError("an incarnation far ahead")
        if supersedes(record, known):
            self._replace(now, record, known, reported_by)
        elif member and record.state == SUSPECT and is_same_incarnation(record, member.record):
            self.suspicion.suspect(now, member, record.suspected_by)

    def apply_all(self, now: float, records: tuple[MemberRecord, ...], reported_by: str) -> None:
        """Apply the records of a datagram. Raises MalformedMessageError at the first that is far ahead."""
        for record in records:
            self.apply(now, record, reported_by)

    def apply_synced(self, now: float, record: MemberRecord, reported_by: str) -> None:
        """Apply one record of a stream. Raises MalformedMessageError as `apply` does.

        A member that the other side declared failed may be alive, as after a partition that has healed: here
        it becomes suspect instead, and has the suspicion timeout to refute.
        """
        if record.state == FAILED and record.name != self._state.settings.name:
            member = self._state.members.get(record.name)
            if member and member.record.state != FAILED:
                record = structs.replace(record, state=SUSPECT, suspected_by=reported_by)
        self.apply(now, record, reported_by)

    def _replace(
        self, now: float, record: MemberRecord, known: MemberRecord | None, reported_by: str
    ) -> None:
        member = self._state.members.put(now, record)
        self._dissemination.enqueue(now, record)
        self._state.record_change(now)
        if record.state in PRESENT_STATES and (known is None or known.state not in PRESENT_STATES):
            self._state.probe_round.add(record.name)
        if record.state == SUSPECT:
            self.suspicion.start_timer(now, member)
        if event := transition_event(record, known):
            self._state.emit(
                event, member=record.name, site=record.site, generation=record.generation, by=reported_by
            )

    def _apply_own(self, now: float, record: MemberRecord) -> None:
        own = self._local.record
        if record.start_key > own.start_key:
            self._conflicts.observe_later_start(now, record)
        elif is_far_ahead(record, own):
            raise MalformedMessageError("an incarnation of mine far ahead")
        else:
            self._local.refute(now, record)


def is_same_incarnation(one: MemberRecord, other: MemberRecord) -> bool:
    """Whether two records are of one start and incarnation of a member."""
    return (one.start_key, one.incarnation) == (other.start_key, other.incarnation)


def is_far_ahead(record: MemberRecord, known: MemberRecord) -> bool:
    """Whether a record of the same start has an incarnation that no member could have reached."""
    if record.start_key != known.start_key:
        return False
    return record.incarnation > known.incarnation + MAX_INCARNATION_LEAP
