"""Precedence of records: which of two records of one member is the later knowledge.

The precedence is all that keeps views from going back. It is a table, and the model check in
`tests/test_fleet_model.py` walks every order in which records can arrive.

A later start of a member supersedes an earlier one whatever it says. Within one start, `PRECEDENCE` tells
which incarnation a claimed record needs. Only the member itself raises its incarnation, so an older record
never wins, and nobody is revived by what was said before it failed. LEFT is the last record of a start: by
the member itself or, of one that failed, by its operators.
"""

from __future__ import annotations

from enum import Enum, auto

from msgspec import structs

from laureldock.fleet.messages import ALIVE, FAILED, LEFT, SUSPECT, MemberRecord


class Needs(Enum):
    """The incarnation that a claimed record needs to supersede the known one."""

    GREATER = auto()
    NOT_LESS = auto()
    NEVER = auto()  # no incarnation is enough


# By the claimed state and the known one.
PRECEDENCE = {
    (ALIVE, ALIVE): Needs.GREATER,
    (ALIVE, SUSPECT): Needs.GREATER,
    (ALIVE, FAILED): Needs.GREATER,
    (ALIVE, LEFT): Needs.NEVER,
    (SUSPECT, ALIVE): Needs.NOT_LESS,
    (SUSPECT, SUSPECT): Needs.GREATER,
    (SUSPECT, FAILED): Needs.GREATER,
    (SUSPECT, LEFT): Needs.NEVER,
    (FAILED, ALIVE): Needs.NOT_LESS,
    (FAILED, SUSPECT): Needs.NOT_LESS,
    (FAILED, FAILED): Needs.GREATER,
    (FAILED, LEFT): Needs.NEVER,
    (LEFT, ALIVE): Needs.NOT_LESS,
    (LEFT, SUSPECT): Needs.NOT_LESS,
    (LEFT, FAILED): Needs.NOT_LESS,
    (LEFT, LEFT): Needs.NEVER,
}
# Events of a view, by the state known before (None: not known) and the one that superseded it.
TRANSITION_EVENTS = {
    (None, ALIVE): "joined",
    (None, SUSPECT): "joined",
    (ALIVE, SUSPECT): "suspected",
    (SUSPECT, ALIVE): "refuted",
    (ALIVE, FAILED): "failed",
    (SUSPECT, FAILED): "failed",
    (FAILED, ALIVE): "returned",
    (FAILED, SUSPECT): "returned",
    (LEFT, ALIVE): "returned",
    (LEFT, SUSPECT): "returned",
    (ALIVE, LEFT): "left",
    (SUSPECT, LEFT): "left",
    (FAILED, LEFT): "left",
}


def supersedes(claimed: MemberRecord, known: MemberRecord | None) -> bool:
    """Whether a claimed record takes the place of the known one."""
    if known is None:
        return True
    if claimed.start_key != known.start_key:
        return claimed.start_key > known.start_key
    match PRECEDENCE[claimed.state, known.state]:
        case Needs.GREATER:
            return claimed.incarnation > known.incarnation
        case Needs.NOT_LESS:
            return claimed.incarnation >= known.incarnation
        case Needs.NEVER:
            return False


def refutation(claimed: MemberRecord, own: MemberRecord) -> MemberRecord | None:
    """A member's own next record against a false one of the same start; None where nothing is to refute."""
    if claimed.start_key != own.start_key or claimed.state == ALIVE or claimed.incarnation < own.incarnation:
        return None
    return structs.replace(own, incarnation=claimed.incarnation + 1, state=ALIVE)


def transition_event(record: MemberRecord, known: MemberRecord | None) -> str:
    """The event that operators are shown when a record superseded the known one; "" for none."""
    if known is None:
        return TRANSITION_EVENTS.get((None, record.state), "")
    if known.start_key != record.start_key:
        return "generation changed"
    if name := TRANSITION_EVENTS.get((known.state, record.state)):
        return name
    return "lameduck" if known.lameduck != record.lameduck else ""
