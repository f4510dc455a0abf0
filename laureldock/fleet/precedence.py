"""Precedence of records: which of two records of one member is newer.

The precedence alone keeps a view from returning to an older state. It is a table, and the model check in
`tests/test_fleet_model.py` explores every order in which records can arrive.

A record of a later start of a member supersedes any record of an earlier one. Within one start, `PRECEDENCE`
states which incarnation a claimed record needs. Only the member itself raises its incarnation, so an older
record never wins, and a record from before a failure cannot revive a member. LEFT is the last record of a
start: the member announces it itself or, for a member that failed, its operators do.
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


# By the claimed state and the known state.
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
# Events of a view, by the state known before (None: not known) and the state that superseded it.
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
    """Whether a claimed record replaces the known one."""
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
    """Return a member's record that refutes a false one of the same start; None if none needs refuting."""
    if claimed.start_key != own.start_key or claimed.state == ALIVE or claimed.incarnation < own.incarnation:
        return None
    return structs.replace(own, incarnation=claimed.incarnation + 1, state=ALIVE)


def transition_event(record: MemberRecord, known: MemberRecord | None) -> str:
    """Return the name of the event for a record that superseded the known one; "" for none."""
    if known is None:
        return TRANSITION_EVENTS.get((None, record.state), "")
    if known.start_key != record.start_key:
        return "generation changed"
    if name := TRANSITION_EVENTS.get((known.state, record.state)):
        return name
    return "lameduck" if known.lameduck != record.lameduck else ""
