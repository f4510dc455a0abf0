"""The local member's own record: announcements and refutations. Only it raises its own incarnation."""

from __future__ import annotations

from msgspec import structs

from laureldock.fleet.dissemination import Dissemination
from laureldock.fleet.messages import MemberRecord
from laureldock.fleet.precedence import refutation
from laureldock.fleet.state import ViewState


class LocalMember:
    """The record of this member in its own view."""

    def __init__(self, state: ViewState, dissemination: Dissemination) -> None:
        self._state, self._dissemination = state, dissemination

    @property
    def record(self) -> MemberRecord:
        return self._state.local.record

    def announce(self, now: float, state: int, lameduck: bool | None = None) -> None:
        """Announce a state with a new incarnation; `lameduck` is unchanged unless given."""
        self._replace(
            now,
            structs.replace(
                self.record,
                state=state,
                lameduck=self.record.lameduck if lameduck is None else lameduck,
                incarnation=self.record.incarnation + 1,
            ),
        )

    def refute(self, now: float, claimed: MemberRecord) -> None:
        """Refute a false record of this member by a greater incarnation; ignore one that is not false."""
        if refuting_record := refutation(claimed, self.record):
            self._state.counters.refuted += 1
            self._state.local_health.worsen()
            self._replace(now, refuting_record)

    def set_generation(self, now: float, generation: int) -> None:
        """Set the generation of this start; the caller then calls `announce`."""
        self._state.members.put(now, structs.replace(self.record, generation=generation))

    def _replace(self, now: float, record: MemberRecord) -> None:
        self._state.members.put(now, record)
        self._state.record_change(now)
        self._dissemination.enqueue(now, record)
