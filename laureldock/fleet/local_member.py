"""What this member says of itself: announcements and refutations. Nobody else raises its incarnation."""

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
        """A new incarnation with this state; `lameduck` stays as it is unless given."""
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
        """Answer a false record of this member by a greater incarnation; a true one needs no answer."""
        if answer := refutation(claimed, self.record):
            self._state.counters.refuted += 1
            self._state.local_health.worsen()
            self._replace(now, answer)

    def set_generation(self, now: float, generation: int) -> None:
        """Make this start a later one; to be followed by `announce`."""
        self._state.members.put(now, structs.replace(self.record, generation=generation))

    def _replace(self, now: float, record: MemberRecord) -> None:
        self._state.members.put(now, record)
        self._state.note_change(now)
        self._dissemination.enqueue(now, record)
