"""What the decisions remember of routes, destinations and mails: plain records.

Nothing here decides, and no value here is tuned: every field starts empty, or is given by `control`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import Any

from laureldock.interface import Attempt, Destination, Mail, QueueClass, Reason, Route, Terms


@dataclass(eq=False, slots=True)
class Lane:
    """A route, as one instance sees it."""

    route: Route
    line: Line
    state: Any  # of control's route states
    tally: Any  # how long its calls took
    part: float = 1.0  # scales its share, and what this instance takes of its limit
    credit: float = 1.0  # calls it may be sent now
    back: float = -inf  # when its last trial after an outage was served
    ill: float = 0.0  # how much of what it did lately was failing
    told_rate: float | None = None  # its limit, in calls a second; 0 where it has none, None while not told
    told_left: float = 1.0  # of its limit, what is left
    until: float = 0.0  # nothing is sent before: told, or refused
    hush: float = 0.0  # nothing is sent before, since it was silent or failed
    backoff: float = 0.0  # between its trials
    down: bool = False  # it went to nought by a run of failures
    since: float = 0.0  # when it first failed, of what failed since it was last served
    gone: float = 0.0  # of these, the first that was no refusal and no want of a connection
    refused: float = 0.0  # when it was first refused, of the refusals since it was last served
    rest: float = 0.0  # after its latest refusal
    filled: float = 0.0  # when its credit was last filled
    heard: float = 0.0  # when it last answered anything
    used: float = 0.0  # when its last call ended
    drained: float = -inf  # when it was told to drain, or to be gone
    cost: float = 0.0  # seconds of a slot that a mail takes
    calls: dict[Call, None] = field(default_factory=dict)  # those out

    @property
    def opens(self) -> float:
        return max(self.until, self.hush)


@dataclass(eq=False, slots=True)
class Line:
    """A destination: its routes, its window, and the mails that wait for it."""

    destination: Destination
    window: float  # calls that may be out
    batch: int = 1  # mails that may share a call
    out: int = 0  # calls out
    stuck: int = 0  # of them, those overdue
    cost: float = 0.0  # seconds of a slot that a mail takes
    cut: float = 0.0  # when the window was last halved
    until: float = 0.0  # nothing is sent before
    refused: float = 0.0  # when it was first refused, of the refusals since it was last served
    rest: float = 0.0  # after its latest refusal
    waiting: int = 0  # mails in all of its lines
    lanes: dict[Route, Lane] = field(default_factory=dict)
    first: dict[QueueClass, deque[Case]] = field(default_factory=dict)
    further: deque[Case] = field(default_factory=deque)
    late: deque[Case] = field(default_factory=deque)


@dataclass(eq=False, slots=True)
class Case:
    """A mail, as one instance sees it."""

    mail: Mail
    line: Line
    stage: Any  # of control's stages of a mail
    born: float  # when it was first handed in, to whichever instance
    end: float  # of its queue lifetime
    fades: float  # when its importance begins to fade fast
    once: bool  # once-only
    single: bool  # nothing more may be sent for it once it may have run
    terms: Terms
    queued: bool = False  # in a line; not while an earlier mail of its key has the turn
    attempts: int = 0
    out: int = 0  # attempts without an outcome
    doubt: float = 0.0  # when the first attempt that may have run was sent
    zone: str | None = None  # the only one that may get it now, since it may have run or runs there
    last: Lane | None = None  # the route of its last attempt
    turns: Turns | None = None
    reason: Reason | None = None  # why it ends undelivered, where its state does not tell


@dataclass(eq=False, slots=True)
class Turns:
    """The mails of one key, of which only the first may be sent."""

    key: str
    cases: deque[Case] = field(default_factory=deque)
    rest: float = 0.0  # nothing goes before then, but the one whose call was broken
    rested_by: Case | None = None  # that one


@dataclass(eq=False, slots=True)
class Call:
    """What one turn sends over one route: an attempt, or several that share its fate."""

    lane: Lane
    sent: float
    limit: float  # overdue after so long
    trial: bool
    once: bool  # its first mail is once-only
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0  # attempts without an outcome
    judged: bool = False  # it has spoken for its route
    overdue: bool = False  # it spoke before its outcome, by taking too long
